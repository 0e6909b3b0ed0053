"""Use and return of grants that a router receives from a peer."""

import pytest

from builders_decision import (
    MODEL,
    make_configuration,
    make_core,
    make_heartbeat,
    make_host_list,
    make_report,
    make_request,
)
from limpetusher.core.actions import Dispatch, SendToPeer
from limpetusher.core.inputs import (
    ConfigurationReceived,
    HostListReceived,
    Outcome,
    PeerMessage,
    ResponseEnded,
    TimerDue,
)
from limpetusher.wire.messages import Grant, GrantRelease, GrantReturn, Heartbeat

HOSTS = {"routers": {"a1": "a", "a2": "a"}, "engines": {"e1": "a"}}


@pytest.fixture
def core():
    """Return a core with one request running or waiting at its own slot and one that waits."""
    core = make_core()
    core.handle(HostListReceived(make_host_list(**HOSTS)), 0.0)
    core.handle(ConfigurationReceived(make_configuration(slots=1)), 0.0)
    # The router is ready once a peer has confirmed its configuration.
    core.handle(PeerMessage("a2", 5, make_heartbeat()), 0.0)
    for number in range(2):
        core.handle(make_request(f"r{number}"), 0.1)
    return core


def deliver_grant(core, now, *, echo, customer="alpha"):
    grant = Grant("g1", 1, "e1", MODEL, customer, echo, 1.0)
    return core.handle(PeerMessage("a2", 5, grant), now)


def last_sequence(core):
    """Return the newest sequence number that was sent to the peer."""
    return core.context.peers.state("a2").last_sequence


def dispatches_and_returns(actions):
    """Return the dispatches and the payloads to the peer, without heartbeats and demands."""
    payloads = [action.payload for action in actions if isinstance(action, SendToPeer)]
    return (
        [action for action in actions if isinstance(action, Dispatch)],
        [payload for payload in payloads if isinstance(payload, GrantReturn | GrantRelease)],
    )


def test_grant_validity_counts_from_the_echoed_message(core):
    """Guards against a late grant that is used after its owner has granted the slot to another router."""
    sent_at = core.context.peers.sent_at("a2", last_sequence(core))
    (dispatch,), returned = dispatches_and_returns(
        deliver_grant(core, sent_at + 0.9, echo=last_sequence(core))
    )
    assert (dispatch.target_id, dispatch.send_before, returned) == ("e1", sent_at + 1.0, [])


def test_grant_that_has_expired_is_returned(core):
    """Guards against a router that uses an expired grant after a pause (requirement 3)."""
    sequence = last_sequence(core)
    sent_at = core.context.peers.sent_at("a2", sequence)
    dispatches, returned = dispatches_and_returns(deliver_grant(core, sent_at + 1.0, echo=sequence))
    assert (dispatches, returned) == ([], [GrantReturn("g1", "e1")])


def test_grant_with_an_unknown_echo_is_returned(core):
    """Guards against a grant that was meant for this router before it restarted."""
    dispatches, returned = dispatches_and_returns(deliver_grant(core, 0.2, echo=last_sequence(core) + 100))
    assert (dispatches, returned) == ([], [GrantReturn("g1", "e1")])


@pytest.mark.parametrize(
    "change",
    [
        ConfigurationReceived(make_configuration(version=2, slots=1, out=("a",))),
        HostListReceived(make_host_list(version=2, leaving=("e1",), **HOSTS)),
    ],
)
def test_grant_for_a_drained_target_is_returned(core, change):
    """Guards against dispatches for an owner that has not yet learned of a drain (requirements 4 and 8)."""
    core.handle(change, 0.2)
    dispatches, returned = dispatches_and_returns(deliver_grant(core, 0.3, echo=last_sequence(core)))
    assert (dispatches, returned) == ([], [GrantReturn("g1", "e1")])


def test_grant_for_which_nothing_waits_is_returned(core):
    """Guards against slots that stay reserved for requests that were granted elsewhere."""
    dispatches, returned = dispatches_and_returns(
        deliver_grant(core, 0.2, echo=last_sequence(core), customer="beta")
    )
    assert (dispatches, returned) == ([], [GrantReturn("g1", "e1")])


def test_release_reports_the_cost_and_a_broken_connection(core):
    """Guards against an owner that charges too little, or sends full load to an engine that has failed."""
    ((dispatch,), _) = dispatches_and_returns(deliver_grant(core, 0.2, echo=last_sequence(core)))
    failed = ResponseEnded(dispatch.request_id, 1, Outcome.CUT_BEFORE_OUTPUT)
    _, (release,) = dispatches_and_returns(core.handle(failed, 0.3))
    assert (release.cost, release.complete, release.target_failed) == (None, False, True)


def test_held_grants_are_listed_in_heartbeats(core):
    """Guards against an owner that counts a slot as free while the request runs."""
    ((dispatch,), _) = dispatches_and_returns(deliver_grant(core, 0.2, echo=last_sequence(core)))
    payloads = [a.payload for a in core.handle(TimerDue(), 0.25) if isinstance(a, SendToPeer)]
    (heartbeat,) = [payload for payload in payloads if isinstance(payload, Heartbeat)]
    assert "g1" in [held.grant_id for held in heartbeat.held]
    assert dispatch.request_id in core.lifecycle.running


def free_slots_after_silence(*, heard_until, paused_from, checked_at):
    """Return the free slots of a warm target after the other carrier of its slots has become silent."""
    core = make_core()
    core.handle(HostListReceived(make_host_list(**HOSTS)), 0.0)
    core.handle(ConfigurationReceived(make_configuration(slots=4)), 0.0)
    for tick in range(1, int(paused_from / 0.25) + 1):
        now = tick * 0.25
        if now <= heard_until:
            values = {"ready": True, "leaving": False, "configuration_version": 1, "host_list_version": 1}
            heartbeat = Heartbeat(tick, last_sequence(core), configuration_digest=b"", **values)
            core.handle(PeerMessage("a2", 5, heartbeat), now)
        core.handle(make_report("e1"), now)
    core.handle(TimerDue(), checked_at)
    (target,) = core.status().targets
    return target.free


def test_own_pause_does_not_count_as_silence_of_others():
    """Guards against borrowing slots that a carrier, which was never silent, uses itself.

    The own slots of this router are still lent to the other one when this router resumes.
    """
    assert free_slots_after_silence(heard_until=3.0, paused_from=12.0, checked_at=12.25) == 4
    assert free_slots_after_silence(heard_until=3.0, paused_from=3.25, checked_at=6.125) == 0
