"""Tests of the operator tool through its command line."""

import hashlib
import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from builders_versions import document_fields
from limpetusher.configuration.compiled import DataCentreState
from limpetusher.configuration.document import load_configuration
from limpetusher_operator.command import main

ANSWERS = {
    "customer_id": "news",
    "work": [{"service": "assessor", "kind": "draft", "longest_wait_seconds": 30, "requests_per_hour": 60}],
}
EXPLANATION = {
    "request_id": "request-1",
    "customer": "press",
    "steps": [
        {"at": 5.0, "step": "arrived", "place": "", "reason": ""},
        {"at": 5.25, "step": "granted", "place": "engine-1", "reason": "prefix"},
    ],
}
STATUS = {
    "own_id": "router-1",
    "ready": True,
    "configuration_version": 7,
    "reachable_peers": ["router-2"],
    "targets": [{"target_id": "engine-1", "limit": 8}],
}


@pytest.fixture
def document(tmp_path: Path) -> Path:
    """Return a file with a valid document of version 3."""
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(document_fields(3)))
    return path


def write_json(path: Path, value: object) -> Path:
    """Write a JSON file."""
    path.write_text(json.dumps(value))
    return path


class StubAdminHandler(BaseHTTPRequestHandler):
    """Handler that imitates the admin port of a router."""

    pages = {
        "/configuration": json.dumps(document_fields(2)).encode(),
        "/explain/request-1": json.dumps(EXPLANATION).encode(),
        "/status": json.dumps(STATUS).encode(),
    }

    def do_GET(self):
        body = self.pages.get(self.path, b"{}")
        self.send_response(200 if self.path in self.pages else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object):
        """Suppress the access log."""


@pytest.fixture
def admin_address() -> Iterator[str]:
    """Return the address of a running stub admin port."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), StubAdminHandler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_valid_document_is_accepted(document: Path, capsys: pytest.CaptureFixture):
    """Guards against refusing a valid document."""
    assert main(["check-config", str(document)]) == 0
    assert "version 3" in capsys.readouterr().out


def test_all_problems_are_reported_one_per_line(tmp_path: Path, capsys: pytest.CaptureFixture):
    """Guards against validation that stops at the first problem, and against a wrong exit status."""
    fields = document_fields(0, surplus=1)
    hosts = write_json(tmp_path / "hosts.json", {"version": 1, "hosts": [{"host_id": "r"}]})
    path = write_json(tmp_path / "bad.json", fields)
    assert main(["check-config", str(path), "--host-list", str(hosts)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert all(line.startswith("limpetusher: ") for line in lines)
    for part in ("version", "surplus", "hosts[0].role", "hosts[0].address"):
        assert any(part in line for line in lines)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["check-config", "/nonexistent"], "/nonexistent"),
        (["drain", "nowhere", "--config", "DOCUMENT"], "expected one of east, north, south, west"),
        (["return", "north", "--config", "DOCUMENT"], "already 'in'"),
        (["drain", "north", "--config", "DOCUMENT", "--output", "/nonexistent/file"], "can't be written"),
        (["diff", "DOCUMENT"], "--router"),
        (["status", "--router", "somewhere"], "IP:PORT"),
        (["status", "--router", "127.0.0.1:1"], "127.0.0.1:1"),
        (["explain", "request-1", "--router", "127.0.0.1:0"], "IP:PORT"),
        (["questionnaire"], "--template"),
        (["questionnaire", "/nonexistent"], "/nonexistent"),
        (["unknown-command"], "unknown-command"),
        (["drain"], "DATA_CENTRE"),
        (["check-config", "DOCUMENT", "--surplus"], "--surplus"),
    ],
)
def test_error_is_a_single_line(
    arguments: list[str], expected: str, document: Path, capsys: pytest.CaptureFixture
):
    """Guards against tracebacks and against errors that do not name the faulty value or the allowed ones."""
    assert main([str(document) if argument == "DOCUMENT" else argument for argument in arguments]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert expected in line


def test_drain_and_return_write_the_next_versions(document: Path, capsys: pytest.CaptureFixture):
    """Guards against a version that is not incremented, and against changes to other values."""
    original = load_configuration(document.read_bytes())
    assert main(["drain", "north", "--config", str(document), "--output", str(document)]) == 0
    drained = load_configuration(document.read_bytes())
    assert drained.version == 4
    assert drained.data_centres["north"] is DataCentreState.OUT_OF_SERVICE
    assert drained.customers == original.customers
    assert "data_centres[north].state: in -> out" in capsys.readouterr().err
    assert main(["return", "north", "--config", str(document), "--output", str(document)]) == 0
    returned = load_configuration(document.read_bytes())
    assert (returned.version, returned.data_centres) == (5, original.data_centres)


def test_draining_the_last_data_centre_needs_a_flag(tmp_path: Path, capsys: pytest.CaptureFixture):
    """Guards against taking the last data centre out of service by mistake."""
    path = write_json(tmp_path / "one.json", document_fields(data_centres=[{"name": "north", "state": "in"}]))
    assert main(["drain", "north", "--config", str(path)]) == 2
    assert main(["drain", "north", "--config", str(path), "--allow-none-left"]) == 0


def test_template_is_a_valid_example(tmp_path: Path, capsys: pytest.CaptureFixture):
    """Guards against a template that the questionnaire command refuses."""
    path = tmp_path / "answers.json"
    assert main(["questionnaire", "--template", "--output", str(path)]) == 0
    assert main(["questionnaire", str(path)]) == 0
    customer = json.loads(capsys.readouterr().out)
    assert customer["patience_seconds"] == {"assessor": 30, "summariser": 14_400}


def test_new_api_key_is_shown_once_and_matches_the_stored_digest(
    document: Path, tmp_path: Path, capsys: pytest.CaptureFixture
):
    """Guards against keys that fail authentication, and against a secret in the document."""
    answers = write_json(tmp_path / "answers.json", ANSWERS)
    output = tmp_path / "next.json"
    command = ["questionnaire", str(answers), "--into", str(document), "--output", str(output)]
    assert main(command) == 0
    (token,) = [line.split()[-1] for line in capsys.readouterr().err.splitlines() if "API key" in line]
    key_id, _, secret = token.partition(".")
    merged = load_configuration(output.read_bytes())
    (key,) = merged.customers["news"].api_keys
    assert merged.version == 4
    assert key.key_id == key_id
    assert key.digest == hashlib.sha256(bytes.fromhex(key.salt) + secret.encode()).hexdigest()
    assert secret not in output.read_text()


def test_repeating_the_questionnaire_keeps_api_keys(
    document: Path, tmp_path: Path, capsys: pytest.CaptureFixture
):
    """Guards against a repeated questionnaire that removes the existing API keys of a customer."""
    answers = write_json(tmp_path / "answers.json", ANSWERS | {"customer_id": "press"})
    command = ["questionnaire", str(answers), "--into", str(document), "--output", str(document)]
    assert main(command) == 0
    assert "API key" not in capsys.readouterr().err
    assert [key.key_id for key in load_configuration(document.read_bytes()).customers["press"].api_keys] == [
        "press-1"
    ]
    assert main([*command, "--new-key"]) == 0
    assert len(load_configuration(document.read_bytes()).customers["press"].api_keys) == 2


def test_unknown_service_in_answers_is_refused(document: Path, tmp_path: Path, capsys: pytest.CaptureFixture):
    """Guards against writing a document that the routers refuse."""
    work = [ANSWERS["work"][0] | {"service": "assesor"}]
    answers = write_json(tmp_path / "answers.json", ANSWERS | {"work": work})
    output = tmp_path / "next.json"
    assert main(["questionnaire", str(answers), "--into", str(document), "--output", str(output)]) == 2
    assert "known names: assessor, booking" in capsys.readouterr().err
    assert not output.exists()


def test_diff_with_the_configuration_of_a_router(
    document: Path, admin_address: str, capsys: pytest.CaptureFixture
):
    """Guards against a diff that does not show that a document is unpublished."""
    assert main(["diff", str(document), "--router", admin_address]) == 0
    assert capsys.readouterr().out == "version: 2 -> 3\n"


def test_explanation_is_shown_with_times(admin_address: str, capsys: pytest.CaptureFixture):
    """Guards against steps without times relative to the arrival of the request."""
    assert main(["explain", "request-1", "--router", admin_address]) == 0
    assert "250.0 ms  granted  engine-1  prefix" in capsys.readouterr().out
    assert main(["explain", "request/2", "--router", admin_address]) == 2
    assert "'request/2'" in capsys.readouterr().err


def test_status_of_several_routers(admin_address: str, capsys: pytest.CaptureFixture):
    """Guards against one unreachable router preventing the report of the others."""
    assert main(["status", "--router", "127.0.0.1:1", "--router", admin_address]) == 2
    shown = capsys.readouterr()
    assert "router-1" in shown.out
    assert "configuration_version=7" in shown.out
    assert "127.0.0.1:1" in shown.err


def test_tool_imports_no_router_libraries():
    """Guards against an operator tool that requires the router's libraries."""
    program = (
        "import sys, limpetusher_operator.command; "
        "print(sorted({'circuits', 'pynng', 'limpetusher_router'} & set(sys.modules)))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env={"PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.stdout.strip() == "[]", completed.stderr
