"""Tests of the configuration document and the host list."""

import json

import pytest

from builders_versions import document_fields
from limpetusher.configuration.compiled import DataCentreState, HostRole, HostState, TargetKind
from limpetusher.configuration.document import (
    MAXIMUM_DOCUMENT_BYTES,
    dump_document,
    load_configuration,
    load_host_list,
    parse_document,
)
from limpetusher.errors import ConfigurationError


def encode_document(fields: dict) -> bytes:
    """Encode fields as a document."""
    return json.dumps(fields).encode()


def find_problems(fields: dict) -> list[str]:
    """Return the problems for which a document is refused."""
    with pytest.raises(ConfigurationError) as caught:
        load_configuration(encode_document(fields))
    return caught.value.problems


def test_valid_document_is_compiled():
    """Guards against values that are lost or mixed up in compilation."""
    compiled = load_configuration(encode_document(document_fields(7)))
    customer = compiled.customers["press"]
    assert compiled.version == 7
    assert (customer.share, customer.patience_for("assessor"), customer.patience_for("booking")) == (
        2,
        30,
        60,
    )
    assert customer.api_keys[0].key_id == "press-1"
    assert compiled.services["booking"].routes[0].idempotent is False
    assert compiled.target_classes["large"].kind is TargetKind.ENGINE
    assert compiled.data_centres["north"] is DataCentreState.IN_SERVICE
    assert compiled.placements["engine-1"].role == "mixed"


def test_digest_depends_on_the_whole_document():
    """Guards against two different documents of the same version that compare as equal."""
    document = encode_document(document_fields(7))
    assert load_configuration(document).digest != load_configuration(document + b"\n").digest


def test_dumped_document_loads_as_the_same_model():
    """Guards against the operator tool altering values that it only reads and writes back."""
    model = parse_document(encode_document(document_fields(7)))
    assert parse_document(dump_document(model)) == model


def test_all_problems_are_reported_at_once():
    """Guards against validation that stops at the first problem."""
    fields = document_fields(0, extra=1)
    fields["customers"][0]["share"] = 0
    fields["customers"].append({"customer_id": "news", "share": 1, "services": ["nothing"]})
    fields["target_classes"][0]["cold_slots"] = 9
    found = "\n".join(find_problems(fields))
    for part in ("version", "extra", "customers[0].share", "unknown service 'nothing'", "cold_slots 9"):
        assert part in found


def with_customer_changes(fields: dict, **changes: object) -> dict:
    """Return document fields with changes to the first customer."""
    fields["customers"][0] |= changes
    return fields


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"services": ["assessor"], "patience_seconds": {"booking": 1}}, "patience_seconds names 'booking'"),
        ({"share": float("inf")}, "share"),
        ({"queue_limit": "10"}, "queue_limit"),
        ({"queue_limit": True}, "queue_limit"),
        ({"customer_id": "a b"}, "customer_id"),
        ({"patience_seconds": {"assessor": 0}}, "patience_seconds.assessor"),
    ],
)
def test_bad_customer_is_refused(changes: dict, expected: str):
    """Guards against invalid customer values, such as an infinite share or a patience of 0."""
    assert any(
        expected in problem for problem in find_problems(with_customer_changes(document_fields(), **changes))
    )


@pytest.mark.parametrize(
    ("section", "entry", "expected"),
    [
        ("customers", {"customer_id": "press", "share": 1, "services": []}, "occurs 2 times"),
        ("data_centres", {"name": "north"}, "'north' occurs 2 times"),
        ("services", {"name": "lookup", "kind": "application"}, "needs at least one route"),
        (
            "target_classes",
            {"name": "small", "kind": "application", "services": ["assessor"], "slots": 1, "cold_slots": 1},
            "kind is application",
        ),
        ("placements", {"target_id": "engine-2", "model": "booking", "version": "1"}, "unknown model"),
    ],
)
def test_inconsistent_document_is_refused(section: str, entry: dict, expected: str):
    """Guards against duplicate identifiers and invalid references between sections."""
    fields = document_fields()
    fields[section].append(entry)
    assert any(expected in problem for problem in find_problems(fields))


def test_values_of_api_keys_are_not_shown():
    """Guards against logging a secret that was entered in place of its digest."""
    fields = document_fields()
    fields["customers"][0]["api_keys"][0]["digest"] = "my secret"
    assert not any("my secret" in problem for problem in find_problems(fields))


@pytest.mark.parametrize("document", [b"", b"[]", b"{", b"\xff", b"null", b"[" * 100_000])
def test_invalid_json_is_refused(document: bytes):
    """Guards against a document whose parsing raises another exception and ends the process."""
    with pytest.raises(ConfigurationError):
        load_configuration(document)


def test_too_long_document_is_refused():
    """Guards against documents that are too large for a message between routers."""
    with pytest.raises(ConfigurationError, match="at most"):
        load_configuration(b" " * (MAXIMUM_DOCUMENT_BYTES + 1))


HOST = {"host_id": "r", "role": "router", "data_centre": "north", "address": "127.0.0.1:7000"}


def test_host_list_is_compiled():
    """Guards against hosts with a wrong role or state."""
    hosts = [HOST, HOST | {"host_id": "e", "role": "target", "address": "[::1]:1", "target_class": "large"}]
    hosts[1]["state"] = "leaving"
    compiled = load_host_list(encode_document({"version": 3, "hosts": hosts}))
    assert [(host.role, host.state) for host in compiled.hosts] == [
        (HostRole.ROUTER, HostState.LIVE),
        (HostRole.TARGET, HostState.LEAVING),
    ]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"address": "localhost:7000"}, "IP:PORT"),
        ({"address": "127.0.0.1"}, "IP:PORT"),
        ({"address": "127.0.0.1:70000"}, "IP:PORT"),
        ({"role": "target"}, "needs target_class"),
        ({"target_class": "large"}, "only for targets"),
        ({"state": "gone"}, "state"),
    ],
)
def test_bad_host_is_refused(changes: dict, expected: str):
    """Guards against host entries with an invalid address, role or state."""
    with pytest.raises(ConfigurationError, match=expected):
        load_host_list(encode_document({"version": 3, "hosts": [HOST | changes]}))


def test_duplicate_host_is_refused():
    """Guards against two hosts with the same identifier or address."""
    with pytest.raises(ConfigurationError, match=r"host_id 'r' occurs 2 times; .*address"):
        load_host_list(encode_document({"version": 3, "hosts": [HOST, HOST]}))
