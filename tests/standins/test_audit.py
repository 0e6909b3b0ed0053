"""Tests of the comparison of callers' results with the targets' records."""

from types import SimpleNamespace

from limpetusher_standins.audit import AuditReport, audit
from limpetusher_standins.caller import CallResult, Outcome


def call(call_id: str, request_id: str, method: str = "POST") -> dict:
    return {"call_id": call_id, "request_id": request_id, "method": method}


def audit_of(
    *, calls: tuple[dict, ...] = (), requests: tuple[dict, ...] = (), overloads=(), results=()
) -> AuditReport:
    records = {
        "engine": {"engine-1": {"requests": requests, "overloads": overloads}},
        "application": {"application-1": {"calls": calls}},
    }
    return audit(SimpleNamespace(fetch_records=records.get), list(results))


def test_correct_run_is_clean():
    """Guards against an audit that reports repeated reads, or refusals of calls that did not run."""
    refused = CallResult("c", "crew", Outcome.REFUSED, ran="no", request_id="r-3")
    calls = (call("a", "r-1"), call("b", "r-2", "GET"), call("b", "r-4", "GET"))
    assert audit_of(calls=calls, results=[refused]).is_clean


def test_violations_are_found():
    """Guards against an audit that overlooks a violation."""
    told_not_run = CallResult("c", "crew", Outcome.REFUSED, ran="no", request_id="r-1")
    assert audit_of(calls=(call("a", "r-1"),), results=[told_not_run]).run_but_told_not_run
    assert audit_of(requests=({"request_id": "r-1"},), results=[told_not_run]).run_but_told_not_run
    assert audit_of(calls=(call("a", "r-1"), call("a", "r-2"))).run_more_than_once == ["a"]
    assert audit_of(results=[CallResult("c", "crew", Outcome.WRONG)]).wrong_answers
    assert audit_of(overloads=[{"running": 3, "cold_slots": 2}]).overloads
