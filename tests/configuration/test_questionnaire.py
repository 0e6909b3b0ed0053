"""Tests of the questionnaire."""

import json

import pytest

from builders_versions import document_fields
from limpetusher.configuration.document import parse_document
from limpetusher.configuration.questionnaire import (
    MINIMUM_QUEUE_LIMIT,
    MINIMUM_SHARE,
    derive_customer,
    load_answers,
    merge_customer,
)
from limpetusher.errors import ConfigurationError

DRAFTS = {
    "service": "assessor",
    "kind": "draft",
    "longest_wait_seconds": 30,
    "requests_per_hour": 3600,
    "prompt_tokens": 12_000,
    "answer_tokens": 1_000,
}
SUMMARIES = {"service": "summariser", "kind": "summary", "requests_per_hour": 1}


def derive(*work: dict, **answers: object):
    """Derive a customer from answers."""
    document = json.dumps({"customer_id": "news", "work": work} | answers).encode()
    return derive_customer(load_answers(document), [])


def test_patience_comes_from_the_longest_wait():
    """Guards against drafts that may wait for hours, and against overnight work refused within seconds."""
    customer = derive(DRAFTS, SUMMARIES).customer
    assert customer.patience_seconds == {"assessor": 30, "summariser": 14_400}
    assert customer.default_patience_seconds == 30


def test_share_follows_the_cost_of_the_work():
    """Guards against wrong shares: 1 request/s of 4000 units at 100 units/s per share."""
    assert derive(DRAFTS).customer.share == 40
    assert derive(SUMMARIES).customer.share == MINIMUM_SHARE
    assert derive(DRAFTS, share=2.5).customer.share == 2.5


def test_queue_limit_covers_arrivals_within_the_patience():
    """Guards against refusing requests that could wait: 30 in 30 s, plus a reserve of half of that."""
    assert derive(DRAFTS).customer.queue_limit == 45
    assert derive(SUMMARIES).customer.queue_limit == MINIMUM_QUEUE_LIMIT


def test_each_derived_value_is_explained():
    """Guards against derived values without a reason."""
    derived = derive(DRAFTS, SUMMARIES)
    explained = {value.field: value for value in derived.derived_values}
    assert set(explained) == {
        "share",
        "patience_seconds[assessor]",
        "patience_seconds[summariser]",
        "default_patience_seconds",
        "queue_limit",
    }
    assert all(value.reason for value in derived.derived_values)
    assert explained["share"].value == derived.customer.share


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"kind": "poems"}, "'draft', 'summary', 'chat' or 'call'"),
        ({"longest_wait_seconds": 0}, "longest_wait_seconds"),
        ({"requests_per_hour": -1}, "requests_per_hour"),
        ({"surplus": 1}, "surplus"),
    ],
)
def test_bad_answers_are_refused(changes: dict, expected: str):
    """Guards against a configuration derived from invalid answers."""
    with pytest.raises(ConfigurationError, match=expected):
        derive(DRAFTS | changes)


def test_work_described_twice_is_refused():
    """Guards against ignoring one of two descriptions of the same service."""
    with pytest.raises(ConfigurationError, match="more than once"):
        derive(DRAFTS, DRAFTS)


def test_merge_replaces_only_the_same_customer():
    """Guards against a merge that overwrites another customer."""
    model = parse_document(json.dumps(document_fields(3)).encode())
    merged = merge_customer(model, derive(DRAFTS).customer)
    assert [customer.customer_id for customer in merged.customers] == ["press", "news"]
    assert merged.customers[0] == model.customers[0]
    merged_twice = merge_customer(merged, derive(DRAFTS, share=9.0).customer)
    assert [customer.share for customer in merged_twice.customers] == [2, 9]
    assert merged_twice.version == 5
