"""The decision core of a lone router, input by input."""

import pytest

from builders_decision import (
    MODEL,
    WALL_OFFSET_SECONDS,
    make_booking,
    make_configuration,
    make_core,
    make_heartbeat,
    make_host_list,
    make_lone_core,
    make_report,
    make_request,
    make_settings,
)
from limpetusher.configuration.compiled import ModelPlacement
from limpetusher.core.actions import (
    CancelDispatch,
    Dispatch,
    OrderTarget,
    Refuse,
    Replay,
    SendToPeer,
    Stopped,
    WatchConfiguration,
)
from limpetusher.core.inputs import (
    CallerGone,
    ConfigurationReceived,
    HostListReceived,
    Outcome,
    PeerMessage,
    ResponseEnded,
    ResponseStarted,
    StopRequested,
    TimerDue,
)
from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.wire.messages import Demand, DemandEntry


def single_action(kind, actions):
    """Return the only action of a type."""
    (action,) = [action for action in actions if isinstance(action, kind)]
    return action


def count_actions(kind, actions):
    return sum(isinstance(action, kind) for action in actions)


def make_response_ended(request_id, outcome=Outcome.COMPLETE, *, attempt=1, cost=50.0, status=200, **answer):
    return ResponseEnded(request_id, attempt, outcome, cost, status, **answer)


def run_timers(core, until):
    """Wake the core at each time that it requests; return the actions and the number of wake-ups."""
    actions, wakeups = [], 0
    while core.next_wakeup() <= until:
        actions += core.handle(TimerDue(), core.next_wakeup())
        wakeups += 1
    return actions, wakeups


def test_request_is_dispatched_at_once_while_a_slot_is_free():
    """Guards against added latency: a lone router must not wait for messages or timers."""
    core = make_lone_core()
    dispatch = single_action(Dispatch, core.handle(make_request(), 1.0))
    assert (dispatch.request_id, dispatch.target_id, dispatch.attempt) == ("r1", "e1", 1)
    assert dispatch.send_before == 2.0


def test_slots_are_not_exceeded_and_are_used_again():
    """Guards against overload of a target and against slots that are lost after an answer."""
    core = make_lone_core(slots=2)
    assert [count_actions(Dispatch, core.handle(make_request(f"r{i}"), 1.0)) for i in range(4)] == [
        1,
        1,
        0,
        0,
    ]
    assert single_action(Dispatch, core.handle(make_response_ended("r0"), 1.5)).request_id == "r2"
    assert core.status().running == 2


def test_request_before_configuration_is_refused_as_not_run():
    """Guards against requests that wait at a router without a host list."""
    refuse = single_action(Refuse, make_core().handle(make_request(), 0.0))
    assert (refuse.status, refuse.code, refuse.ran) == (503, RefusalCode.NOT_READY, Ran.NO)


def test_request_is_refused_exactly_at_its_deadline():
    """Guards against refusals before the deadline of a request, or after it."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2", patience_seconds=2.5), 1.0)
    actions, _ = run_timers(core, 3.49)
    assert count_actions(Refuse, actions) == 0
    actions, _ = run_timers(core, 3.5)
    refuse = single_action(Refuse, actions)
    assert (refuse.request_id, refuse.status, refuse.ran) == ("r2", 504, Ran.NO)
    assert refuse.retry_after_seconds >= 1.0
    assert core.context.now == 3.5


def test_queue_limit_counts_the_customer_only():
    """Guards against one customer that fills the queue of the others."""
    core = make_lone_core(slots=1, queue_limit=2)
    actions = [action for i in range(4) for action in core.handle(make_request(f"r{i}"), 1.0)]
    refuse = single_action(Refuse, actions)
    assert (refuse.request_id, refuse.status, refuse.code) == ("r3", 429, RefusalCode.QUEUE_FULL)
    assert count_actions(Refuse, core.handle(make_request("s0", customer="beta"), 1.0)) == 0


def serve_slowly(core, requests, seconds):
    """Build up a backlog and complete one request every `seconds`; return the time and the actions."""
    now = 1.0
    actions = []
    for i in range(requests):
        actions += core.handle(make_request(f"r{i}"), now)
    for i in range(6):
        now += seconds
        actions += core.handle(make_response_ended(f"r{i}"), now)
    return now, actions


def test_request_that_cannot_be_served_in_time_is_refused_early():
    """Guards against queueing a request that, at the measured rate, can't be served before its deadline."""
    core = make_lone_core(slots=1)
    now, _ = serve_slowly(core, 20, 1.0)
    refuse = single_action(Refuse, core.handle(make_request("late", patience_seconds=5.0), now))
    assert (refuse.status, refuse.code, refuse.ran) == (503, RefusalCode.NO_CAPACITY, Ran.NO)
    assert refuse.retry_after_seconds == pytest.approx(13.0)
    assert count_actions(Refuse, core.handle(make_request("patient", patience_seconds=14.0), now)) == 0


def test_newest_requests_are_refused_when_the_rate_falls():
    """Guards against a queue in which, after a loss of capacity, each request is answered at its deadline."""
    core = make_lone_core(slots=1)
    _, actions = serve_slowly(core, 60, 1.0)
    refused = [action.request_id for action in actions if isinstance(action, Refuse)]
    assert refused[0] == "r59"
    assert "r20" not in refused


def test_idempotent_request_is_retried_after_a_broken_connection():
    """Guards against callers that see the failure of one engine."""
    core = make_lone_core()
    core.handle(make_request(), 1.0)
    core.handle(make_response_ended("r1", Outcome.CUT_BEFORE_OUTPUT), 1.1)
    actions = core.handle(make_report("e1"), 1.2)
    assert single_action(Dispatch, actions).attempt == 2


def test_retries_stop_when_the_budget_is_spent():
    """Guards against retries that amplify a failure of all targets: without successes they must stop."""
    settings = make_settings(retry_burst=3.0, maximum_attempts=10)
    core = make_lone_core(settings=settings, slots=1)
    now, dispatches = 1.0, 0
    for i in range(10):
        actions = core.handle(make_request(f"r{i}"), now)
        while dispatch := next((a for a in actions if isinstance(a, Dispatch)), None):
            dispatches += 1
            failed = make_response_ended(f"r{i}", Outcome.CUT_BEFORE_OUTPUT, attempt=dispatch.attempt)
            now += 0.01
            core.handle(failed, now)
            now += 0.01
            actions = core.handle(make_report("e1"), now)
    assert dispatches == 10 + 3


@pytest.mark.parametrize(
    ("outcome", "started", "status", "ran", "refused_status"),
    [
        (Outcome.REJECTED_NOT_RUN, False, 503, Ran.NO, 503),
        (Outcome.CUT_BEFORE_OUTPUT, False, None, Ran.UNKNOWN, 502),
        (Outcome.CUT_AFTER_OUTPUT, True, 200, Ran.YES, 502),
        (Outcome.CUT_AFTER_OUTPUT, True, 500, Ran.UNKNOWN, 502),
    ],
)
def test_failed_booking_is_not_repeated(outcome, started, status, ran, refused_status):
    """Guards against a second run of a non-idempotent request, and against a wrong claim whether it ran."""
    core = make_lone_core()
    core.handle(make_booking(), 1.0)
    if started:
        core.handle(ResponseStarted("r1", 1), 1.1)
    actions = core.handle(make_response_ended("r1", outcome, status=status), 1.2)
    actions += core.handle(make_report("p1"), 1.3)
    refuse = single_action(Refuse, actions)
    assert (refuse.ran, refuse.status, count_actions(Dispatch, actions)) == (ran, refused_status, 0)


def test_refused_request_may_have_run_in_an_earlier_attempt():
    """Guards against reporting "not run" for a request whose first attempt reached a target."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1", patience_seconds=3.0), 1.0)
    core.handle(make_response_ended("r1", Outcome.CUT_BEFORE_OUTPUT), 1.1)
    core.handle(HostListReceived(make_host_list(version=2, routers={"a1": "a"}, engines={"e9": "z"})), 1.1)
    actions, _ = run_timers(core, 4.0)
    assert single_action(Refuse, actions).ran is Ran.UNKNOWN


def test_target_that_refuses_connections_is_not_retried_in_a_busy_loop():
    """Guards against a dead target that appears free and attracts all requests as fast as they fail."""
    core = make_lone_core()
    actions, tried, now = core.handle(make_booking("r1"), 1.0), 0, 1.0
    while now < 3.0:
        if dispatch := next((a for a in actions if isinstance(a, Dispatch)), None):
            tried += 1
            actions = core.handle(
                make_response_ended("r1", Outcome.NOT_SENT, attempt=dispatch.attempt), now + 0.001
            )
        now = core.next_wakeup()
        actions = core.handle(TimerDue(), now)
    assert 2 <= tried <= 5


def test_late_dispatch_is_granted_again():
    """Guards against losing a request that the process could not send before the grant expired."""
    core = make_lone_core()
    core.handle(make_booking(), 1.0)
    actions = core.handle(make_response_ended("r1", Outcome.NOT_SENT), 2.1)
    assert single_action(Dispatch, actions).attempt == 2


def test_caller_gone_while_running_cancels_at_the_target():
    """Guards against engines that generate for a caller that has disconnected, and against a leaked slot."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2"), 1.0)
    core.handle(make_request("r3"), 1.0)
    assert single_action(CancelDispatch, core.handle(CallerGone("r1"), 1.1)).attempt == 1
    assert core.handle(CallerGone("r2"), 1.2) == []
    actions = core.handle(make_response_ended("r1", Outcome.CANCELLED, cost=None), 1.3)
    assert single_action(Dispatch, actions).request_id == "r3"
    assert count_actions(Refuse, actions) == 0


def test_drained_data_centre_gets_no_new_work():
    """Guards against dispatches into a data centre that was taken out of service (requirement 4)."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2"), 1.0)
    core.handle(ConfigurationReceived(make_configuration(version=2, slots=1, out=("a",))), 1.1)
    assert count_actions(Dispatch, core.handle(make_response_ended("r1"), 1.2)) == 0
    refuse = single_action(Refuse, core.handle(make_request("r3"), 1.3))
    assert (refuse.status, refuse.code) == (503, RefusalCode.NO_CAPACITY)
    actions = core.handle(ConfigurationReceived(make_configuration(version=3, slots=1)), 1.4)
    assert single_action(Dispatch, actions).request_id == "r2"


def test_leaving_target_gets_no_new_work():
    """Guards against dispatches to a target that the host list shows as leaving (requirement 8)."""
    core = make_lone_core()
    hosts = make_host_list(version=2, routers={"a1": "a"}, engines={"e1": "a"}, leaving=("e1",))
    core.handle(HostListReceived(hosts), 1.0)
    assert count_actions(Dispatch, core.handle(make_request(), 1.1)) == 0


def test_stop_finishes_waiting_and_running_requests():
    """Guards against requests that a planned stop cuts off (requirement 9)."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2"), 1.0)
    assert count_actions(Stopped, core.handle(StopRequested(), 1.1)) == 0
    assert not core.is_ready
    refuse = single_action(Refuse, core.handle(make_request("r3"), 1.2))
    assert (refuse.status, refuse.code, refuse.ran) == (503, RefusalCode.STOPPING, Ran.NO)
    assert single_action(Dispatch, core.handle(make_response_ended("r1"), 2.0)).request_id == "r2"
    assert count_actions(Stopped, core.handle(make_response_ended("r2"), 3.0)) == 1


def test_stop_ends_after_the_grace_time():
    """Guards against a router that never stops because of one endless answer."""
    core = make_lone_core(settings=make_settings(stop_grace_seconds=5.0), slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2"), 1.0)
    core.handle(StopRequested(), 1.0)
    actions, _ = run_timers(core, 6.0)
    ran = {action.request_id: action.ran for action in actions if isinstance(action, Refuse)}
    assert ran == {"r1": Ran.UNKNOWN, "r2": Ran.NO}
    assert (count_actions(CancelDispatch, actions), count_actions(Stopped, actions)) == (1, 1)


def test_repeated_key_gets_the_recorded_answer():
    """Guards against a booking that runs twice when the caller repeats it (requirement 7)."""
    core = make_lone_core()
    single_action(Dispatch, core.handle(make_booking("r1", key="k"), 1.0))
    refuse = single_action(Refuse, core.handle(make_booking("r2", key="k"), 1.1))
    assert (refuse.status, refuse.ran) == (409, Ran.UNKNOWN)
    core.handle(make_response_ended("r1", content_type="text/plain", body=b"done"), 1.2)
    replay = single_action(Replay, core.handle(make_booking("r3", key="k"), 1.3))
    assert (replay.status, replay.body) == (200, b"done")
    refuse = single_action(Refuse, core.handle(make_booking("r4", key="k", body_digest=b"other"), 1.4))
    assert refuse.status == 422


def test_key_of_a_request_that_did_not_run_may_be_used_again():
    """Guards against a key that stays blocked although its request did not run."""
    core = make_lone_core(slots=1)
    core.handle(make_booking("r1"), 1.0)
    core.handle(make_booking("r2", key="k", patience_seconds=1.0), 1.0)
    actions, _ = run_timers(core, 2.0)
    assert single_action(Refuse, actions).ran is Ran.NO
    core.handle(make_response_ended("r1"), 2.1)
    assert single_action(Dispatch, core.handle(make_booking("r3", key="k"), 2.2)).request_id == "r3"


def test_idle_core_wakes_once_in_an_exchange_interval():
    """Guards against a busy loop and against missing heartbeats."""
    core = make_lone_core()
    _, wakeups = run_timers(core, 10.0)
    assert 38 <= wakeups <= 42


def test_deadline_that_passed_during_a_pause_is_handled_before_the_input():
    """Guards against a router that, after a pause, dispatches a request whose deadline has passed."""
    core = make_lone_core(slots=1)
    core.handle(make_request("r1"), 1.0)
    core.handle(make_request("r2", patience_seconds=2.0), 1.0)
    actions = core.handle(make_response_ended("r1"), 60.0)
    assert single_action(Refuse, actions).request_id == "r2"
    assert count_actions(Dispatch, actions) == 0


def test_explanation_lists_the_decisions_about_a_request():
    """Guards against an operator who can't find out why a request was slow or refused."""
    core = make_lone_core()
    core.handle(make_request(), 1.0)
    core.handle(make_response_ended("r1"), 2.0)
    explanation = core.explain("r1")
    assert (explanation.customer, explanation.service) == ("alpha", MODEL)
    assert [step.step.value for step in explanation.steps] == [
        "arrived",
        "queued",
        "spread",
        "dispatched",
        "ended",
    ]
    assert core.explain("unknown") is None


def test_engine_without_its_wanted_model_is_ordered_to_load_it():
    """Guards against orders that are never sent, and fencing numbers that decrease after a restart."""
    core = make_lone_core(placements=(ModelPlacement("e1", "chatter", "2"),))
    # The load rate of 6 a minute allows the first one after 10 s.
    actions, _ = run_timers(core, 20.0)
    order = single_action(OrderTarget, actions)
    assert (order.target_id, order.model, order.version) == ("e1", "chatter", "2")
    assert 0 <= order.fencing_number / 1000 - WALL_OFFSET_SECONDS <= 20


def test_router_without_peers_watches_the_configuration_service():
    """Guards against a fleet in which no router reads new configurations."""
    assert single_action(WatchConfiguration, make_core().handle(TimerDue(), 0.0)).active


def test_message_of_an_unlisted_router_is_dropped():
    """Guards against grants and demands from hosts that the platform does not list."""
    core = make_lone_core()
    demand = Demand(1, 0, (DemandEntry(MODEL, "alpha", 5, 0.0),))
    actions = core.handle(PeerMessage("stranger", 1, demand), 1.0)
    assert count_actions(SendToPeer, actions) == 0
    assert core.status().dropped_messages == 1


def test_stopping_router_does_not_rely_on_listed_grants():
    """Guards against a stopping owner that counts too few grants: holders report theirs to the next owner."""
    core = make_lone_core()
    target_id = core.owned_targets[0]
    assert core.context.slot_leases.all_grants_reported_since(target_id, core.context.now) is not None
    core.handle(StopRequested(), core.context.now)
    assert core.context.slot_leases.all_grants_reported_since(target_id, core.context.now) is None


def test_restarted_router_is_not_ready_before_a_peer_has_confirmed_its_configuration():
    """Guards against a restarted router that serves with an old version from a stale platform."""
    core = make_core("a1", settings=make_settings())
    hosts = make_host_list(version=1, routers={"a1": "a", "a2": "a"}, engines={"e1": "a"})
    core.handle(HostListReceived(hosts), 0.0)
    core.handle(ConfigurationReceived(make_configuration(version=5)), 0.0)
    assert not core.is_ready
    newer = make_heartbeat(sequence=1, configuration_version=6)
    core.handle(PeerMessage("a2", 7, newer), 0.1)
    assert not core.is_ready
    core.handle(ConfigurationReceived(make_configuration(version=6)), 0.2)
    assert core.is_ready
