"""Tests of the digests by which repeats of a request are recognised."""

import subprocess
import sys

import pytest

from builders_platform import fleet_run, request_text
from limpetusher.events import Event
from limpetusher_router.connection.framing import parse_request_head
from limpetusher_router.fleet.digests import request_digest
from limpetusher_router.platform.requests import decode_request


def digest(text: str = "/safe/1?x=1", *, body: str = "text", customer: str = "acme", **headers: str) -> str:
    text, _, rest = request_text(text, method="POST", body=body, **headers).partition("\r\n\r\n")
    head = parse_request_head(f"{text}\r\n\r\n".encode())
    return request_digest(head, rest.encode(), customer, decode_request(head).parts)


def test_repeats_of_a_request_have_one_digest():
    """Guards against repeats that are not recognised because their headers differ."""
    assert digest() == digest(x_request_id="req-2", x_deadline_ms="700", last_event_id="3")


@pytest.mark.parametrize(
    "other",
    [
        {"text": "/safe/1?x=2"},
        {"text": "/safe/2?x=1"},
        {"body": "other"},
        {"customer": "bolt"},
        {"x_prompt_prefix": "a:10,b:20"},
    ],
)
def test_requests_that_differ_have_different_digests(other):
    """Guards against refusing a sound request because it looks like one that crashes targets."""
    assert digest(**other) != digest()


def test_requests_with_other_prompts_have_different_digests():
    """Guards against requests with a deadly part that count as repeats of one, which hides the part."""
    prompts = ["a:10,b:20", "a:10,c:20", "deadly:10,b:20", "a:10", "a:10,b:20,c:5"]
    assert len({digest(x_prompt_prefix=prompt) for prompt in prompts}) == len(prompts)


def test_digest_is_the_same_in_all_processes():
    """Guards against a hash that depends on the process, so that other routers do not recognise a repeat."""
    program = (
        "from limpetusher_router.connection.framing import parse_request_head as parse\n"
        "from limpetusher_router.fleet.digests import request_digest\n"
        "head = parse(b'GET /a?b HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n')\n"
        "print(request_digest(head, b'body', 'acme'))"
    )
    outputs = {
        subprocess.run([sys.executable, "-c", program], capture_output=True, check=True).stdout
        for _ in range(2)
    }
    assert len(outputs) == 1


@pytest.mark.integration
def test_log_lines_name_the_digest_of_a_request(tmp_path):
    """Guards against repeats of a failing request that an operator can't link to each other."""
    with fleet_run(tmp_path, lambda call, _number: call.cut_connection()) as run:
        run.ask("/unsafe/1", method="POST", body="x", x_request_id="req-1")
        run.ask("/unsafe/1", method="POST", body="x", x_request_id="req-2")
        lines = [
            line
            for line in run.router.log.read_text().splitlines()
            if any(
                f'"event":{event.number},' in line for event in (Event.ATTEMPT_FAILED, Event.REQUEST_FAILED)
            )
        ]
    assert len(lines) == 4
    assert len({line.partition('"digest":"')[2][:16] for line in lines}) == 1
