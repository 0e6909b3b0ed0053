"""Tests of the questionnaire."""

import json

import pytest

from builders_versions import document_fields
from limpetusher.configuration.document import parse_document
from limpetusher.configuration.questionnaire import (
    LEAST_QUEUE_LIMIT,
    LEAST_SHARE,
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
    """Return the customer derived from some answers."""
    document = json.dumps({"customer_id": "news", "work": work} | answers).encode()
    return derive_customer(load_answers(document), [])


def test_patience_is_what_the_team_can_wait():
    """Guards against drafts that wait for hours, and against overnight work that is refused after seconds."""
    customer = derive(DRAFTS, SUMMARIES).customer
    assert customer.patience_seconds == {"assessor": 30, "summariser": 14_400}
    assert customer.default_patience_seconds == 30


def test_share_follows_the_cost_of_the_work():
    """Guards against shares that do not match the work: here 1 request/s of 4000 units, 100 to a share."""
    assert derive(DRAFTS).customer.share == 40
    assert derive(SUMMARIES).customer.share == LEAST_SHARE
    assert derive(DRAFTS, share=2.5).customer.share == 2.5


def test_queue_holds_what_arrives_within_the_patience():
    """Guards against refusals of requests that could wait: 30 a 30 s, with half of that in reserve."""
    assert derive(DRAFTS).customer.queue_limit == 45
    assert derive(SUMMARIES).customer.queue_limit == LEAST_QUEUE_LIMIT


def test_each_derived_value_is_explained():
    """Guards against values that operators can't discuss with a team."""
    derived = derive(DRAFTS, SUMMARIES)
    explained = {value.field: value for value in derived.derived}
    assert set(explained) == {
        "share",
        "patience_seconds[assessor]",
        "patience_seconds[summariser]",
        "default_patience_seconds",
        "queue_limit",
    }
    assert all(value.reason for value in derived.derived)
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
    """Guards against a configuration made from a misunderstanding."""
    with pytest.raises(ConfigurationError, match=expected):
        derive(DRAFTS | changes)


def test_work_described_twice_is_refused():
    """Guards against one of two answers being ignored."""
    with pytest.raises(ConfigurationError, match="more than once"):
        derive(DRAFTS, DRAFTS)


def test_merging_replaces_only_the_same_customer():
    """Guards against a new team that overwrites another one."""
    model = parse_document(json.dumps(document_fields(3)).encode())
    merged = merge_customer(model, derive(DRAFTS).customer)
    assert [one.customer_id for one in merged.customers] == ["press", "news"]
    assert merged.customers[0] == model.customers[0]
    again = merge_customer(merged, derive(DRAFTS, share=9.0).customer)
    assert [one.share for one in again.customers] == [2, 9]
    assert again.version == 5
