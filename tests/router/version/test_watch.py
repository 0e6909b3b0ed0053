"""Tests of the configuration watch and the host list reader with a real router process."""

import json
import time

import pytest

from builders_router import (
    answer_bytes,
    completions_body,
    configuration_document,
    request_bytes,
    running_router,
)

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
CONFIGURATION_TIMEOUT_SECONDS = 19.0


@pytest.fixture
def router(tmp_path):
    with running_router(tmp_path, lambda connection: connection.send(answer_bytes(b"ok"))) as run:
        yield run


def wait_for(condition, seconds: float = CONFIGURATION_TIMEOUT_SECONDS) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def version(router) -> int:
    return json.loads(router.page("/configuration")[1])["version"]


def test_new_version_is_applied_and_an_invalid_one_refused(router):
    """Guards against applying parts of an invalid document, and against ending the watch after one."""
    router.platform.configuration = json.dumps(configuration_document(2) | {"unknown": 1}).encode()
    wait_for(lambda: "configuration refused" in router.log.read_text())
    time.sleep(1.0)
    assert version(router) == 1
    assert router.log.read_text().count("configuration refused") == 1
    assert router.exchange(request_bytes(body=completions_body(), connection="close")).endswith(b"ok")
    router.platform.configuration = json.dumps(configuration_document(3)).encode()
    wait_for(lambda: version(router) == 3)


def test_platform_outage_and_recovery(router):
    """Guards against losing the configuration during an outage of the platform, and against a retry loop."""
    address = router.platform.server_address
    router.stop_platform()
    wait_for(lambda: "configuration service unreachable" in router.log.read_text())
    assert router.exchange(request_bytes(body=completions_body(), connection="close")).endswith(b"ok")
    time.sleep(1.0)
    assert router.log.read_text().count("configuration service unreachable") == 1
    router.restart_platform(address, json.dumps(configuration_document(4)).encode())
    wait_for(lambda: version(router) == 4)


def test_leaving_target_gets_no_requests(router):
    """Guards against sending work to a target after the host list shows it as leaving."""
    hosts = json.loads(router.platform.hosts)
    hosts["version"] = 2
    hosts["hosts"][1]["state"] = "leaving"
    router.platform.hosts = json.dumps(hosts).encode()
    wait_for(lambda: '"host_list_version":2' in router.page("/status")[1], 5)
    before = len(router.engine.requests)
    answer = router.exchange(request_bytes(body=completions_body(), connection="close"))
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert len(router.engine.requests) == before
