"""Tests of the check of a fleet's configuration before it is sent."""

import copy
import json
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders_platform import configuration_document, target_document
from limpetusher.fleet.version.routing import RouteTable, choose_service
from limpetusher_operator.command import main
from limpetusher_operator.fleet_configuration import check_file
from limpetusher_router.platform.documents import decode_configuration


def write(path: Path, value: object) -> Path:
    path.write_bytes(value if isinstance(value, bytes) else json.dumps(value).encode())
    return path


def changed(path: tuple, value: object) -> dict:
    """Return a valid configuration with the value at a path replaced."""
    document = copy.deepcopy(configuration_document())
    container = document
    for name in path[:-1]:
        container = container[name]
    container[path[-1]] = value
    return document


def run_check(folder: Path, capsys, document: object, *options: str) -> tuple[int, list[str]]:
    """Return the exit status and the lines of the check of a configuration."""
    status = main(["check-fleet-config", str(write(folder / "new.json", document)), *options])
    printed = capsys.readouterr()
    assert "Traceback" not in printed.err
    return status, [*printed.out.splitlines(), *printed.err.splitlines()]


def test_valid_configuration_has_no_findings(tmp_path, capsys):
    """Guards against warnings that hide the ones that matter."""
    assert run_check(tmp_path, capsys, configuration_document()) == (0, ["no findings"])


ENGINE = {"slots": 200, "kvCapacity": 100}
SAFE = ("routes", 0)
DESK = ("services", 0)


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("version",), "7", "error: version: "),
        ((*SAFE, "timeoutMs"), "fast", "error: routes[r-safe]: "),
        ((*SAFE, "timeoutMs"), 0, "error: routes[r-safe].timeoutMs: 0 s; allowed: above 0"),
        ((*SAFE, "goalMs"), 2500, "warning: routes[r-safe].goalMs: 2.5 s; requests end before that"),
        ((*SAFE, "attempts"), 0, "error: routes[r-safe].attempts: 0; allowed: 1 and more"),
        ((*SAFE, "kind"), "sometimes", "error: routes[r-safe]: "),
        ((*SAFE, "service"), None, "error: routes: route r-safe has no service"),
        ((*SAFE, "service"), "other", "error: routes[r-safe].split: service other does not exist"),
        ((*SAFE, "host"), "llm.example:80", "error: routes[r-safe].host: "),
        ((*SAFE, "prefix"), "safe/", "error: routes[r-safe].prefix: "),
        ((*SAFE, "prefix"), "/safe", "warning: routes[r-safe].prefix: "),
        ((*SAFE, "gapAimMs"), 100, "warning: routes[r-safe].gapAimMs: has no effect"),
        ((*SAFE, "resumable"), True, "warning: routes[r-safe].resumable: has no effect"),
        (("routes", 1, "attempts"), 2, "warning: routes[r-unsafe].attempts: 2; only attempts"),
        (("routes", 1, "prefix"), "/safe/", "error: routes[r-unsafe].prefix: never matches, as route r-safe"),
        ((*DESK, "coldS"), 3, "warning: services[desk].coldPerS: 0 is no limit"),
        ((*DESK, "coldPerS"), -1, "error: services[desk].coldPerS: -1; allowed: 0 and more"),
        ((*DESK, "engine"), ENGINE, "warning: services[desk].maxConns: 96; fewer than the 200 slots"),
        ((*DESK, "engine"), ENGINE, "warning: services[desk].engine.kvCapacity: 100; less than one token"),
        (("limits", "maxHeaderBytes"), 0, "error: limits.maxHeaderBytes: 0; allowed: above 0"),
        (("limits", "idleTimeoutMs"), "x", "error: limits: "),
        (("tenants", 0, "apiKeys"), [], "warning: tenants[acme].apiKeys: no request can come"),
        (("tenants", 0, "apiKeys"), [""], "error: tenants[acme].apiKeys: key 0 is empty"),
        (("tenants",), [], "warning: tenants: none; all routes accept requests without a key"),
        (("routes",), None, "error: routes: missing or not a list"),
        (("services",), [7], "error: services[number 0]: "),
    ],
)
def test_finding_names_its_place(tmp_path, capsys, path, value, expected):
    """Guards against a doubtful value that is sent unnoticed."""
    status, lines = run_check(tmp_path, capsys, changed(path, value))
    assert status == 1
    assert any(line.startswith(expected) for line in lines), lines


def test_one_key_of_two_customers_is_an_error_that_does_not_show_the_key(tmp_path, capsys):
    """Guards against requests that count as another customer's, and against keys in output."""
    second = {"name": "other", "apiKeys": ["key-a"]}
    document = changed(("tenants",), [*configuration_document()["tenants"], second])
    status, lines = run_check(tmp_path, capsys, document)
    assert status == 1
    assert lines == [
        "error: tenants[other].apiKeys: key 0 is also a key of acme; requests count as the last one's"
    ]


def test_services_without_targets_are_found_from_a_list_of_targets(tmp_path, capsys):
    """Guards against a route to a service that no target serves."""
    leaving = target_document("10.0.0.1:80", state="draining")
    targets = write(tmp_path / "targets.json", {"t-1": leaving, "t-2": {"service": "desk"}})
    status, lines = run_check(tmp_path, capsys, configuration_document(), "--targets", str(targets))
    assert status == 1
    assert "error: routes[r-safe].split: no target serves desk" in lines
    assert any(line.startswith("warning: targets[t-2]: ") for line in lines)


def test_differences_from_the_version_in_force(tmp_path, capsys):
    """Guards against an unintended change; keys are shown as hashes only."""
    in_force = write(tmp_path / "old.json", configuration_document(2))
    document = changed((*SAFE, "timeoutMs"), 2500)
    document["tenants"][0]["apiKeys"].append("key-b")
    status, lines = run_check(tmp_path, capsys, document, "--in-force", str(in_force))
    assert status == 0
    assert lines[:3] == ["no findings", "differences from the configuration in force:", *lines[2:3]]
    assert "  routes[r-safe].timeoutMs: 2000 -> 2500" in lines
    assert "  version: 2 -> 3" in lines
    added = [line for line in lines if "apiKeys" in line]
    assert len(added) == 1
    assert added[0].endswith(": added")
    assert "key-b" not in added[0]


def test_version_that_routers_ignore_is_an_error(tmp_path, capsys):
    """Guards against a configuration that never comes into force."""
    in_force = write(tmp_path / "old.json", configuration_document(3))
    status, lines = run_check(tmp_path, capsys, configuration_document(3), "--in-force", str(in_force))
    assert status == 1
    assert lines[0].startswith("error: version: 3; routers ignore versions up to 3")


def test_report_as_json(tmp_path, capsys):
    in_force = write(tmp_path / "old.json", configuration_document(2))
    document = changed((*SAFE, "attempts"), 0)
    status, lines = run_check(tmp_path, capsys, document, "--in-force", str(in_force), "--json")
    report = json.loads("\n".join(lines))
    assert status == 1
    assert report["findings"] == [
        {"severity": "error", "place": "routes[r-safe].attempts", "message": "0; allowed: 1 and more"}
    ]
    assert {"kind": "changed", "path": "version", "old": 2, "new": 3} in report["differences"]


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"7", b"{", b"[" * 100_000, b'{"a":' * 5000])
def test_unreadable_input_has_a_status_of_its_own(tmp_path, capsys, data):
    """Guards against a traceback, and against a broken file that passes as one with findings."""
    status, lines = run_check(tmp_path, capsys, data)
    assert status == 2
    assert len(lines) == 1


def test_missing_file_is_unreadable(tmp_path):
    assert main(["check-fleet-config", str(tmp_path / "none.json")]) == 2


def test_large_configuration_is_checked_in_time(tmp_path):
    """Guards against comparisons of each route with all others; 2 s of processor time for 10 MB."""
    route = configuration_document()["routes"][0]
    routes = [{**route, "name": f"r-{number}", "prefix": f"/p{number}/"} for number in range(50_000)]
    path = write(tmp_path / "large.json", configuration_document(routes=routes))
    assert path.stat().st_size > 8_000_000
    began = time.process_time()
    report = check_file(path, in_force=path)
    assert time.process_time() - began < 2.0
    assert report.differences == []


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=5,
)
PLACES = [
    ("version",),
    ("limits",),
    ("tenants",),
    ("services",),
    *((section, 0) for section in ("routes", "services", "tenants")),
    *(("routes", 0, name) for name in configuration_document()["routes"][0]),
    ("routes", 3, "gapAimMs"),
    *(("services", 0, name) for name in (*configuration_document()["services"][0], "engine")),
    *(("limits", name) for name in configuration_document()["limits"]),
    ("tenants", 0, "apiKeys"),
]


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(PLACES), JSON_VALUES)
def test_router_accepts_what_the_check_passes(tmp_path_factory, place, value):
    """Guards against rules of the check that differ from those of the routers."""
    path = write(tmp_path_factory.mktemp("check") / "new.json", changed(place, value))
    report = check_file(path)
    if not any(finding.severity.value == "error" for _place, finding in report.findings):
        configuration = decode_configuration(path.read_bytes())
        for route in configuration.routes:
            assert choose_service(route, "session") in configuration.services
            assert RouteTable(configuration).find(route.host, route.prefix) is not None
