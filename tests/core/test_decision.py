"""The decision core of one router, input by input."""

from builders_decision import make_lone_core, make_request
from limpetusher.core.actions import Dispatch
from limpetusher.core.inputs import Outcome, ResponseEnded


def actions_of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def test_request_is_dispatched_at_once_while_a_slot_is_free():
    """Guards against added latency: a lone router must not wait for messages or timers."""
    core = make_lone_core()
    (dispatch,) = actions_of(Dispatch, core.handle(make_request(), 1.0))
    assert (dispatch.request_id, dispatch.target_id, dispatch.attempt) == ("r1", "e1", 1)
    assert dispatch.send_before == 2.0


def test_slots_are_not_exceeded_and_are_used_again():
    """Guards against overload of a target and against slots that are lost after an answer."""
    core = make_lone_core(slots=2)
    dispatched = [len(actions_of(Dispatch, core.handle(make_request(f"r{i}"), 1.0))) for i in range(4)]
    assert dispatched == [1, 1, 0, 0]
    (dispatch,) = actions_of(Dispatch, core.handle(ResponseEnded("r0", 1, Outcome.COMPLETE, 50.0, 200), 2.0))
    assert dispatch.request_id == "r2"
    assert core.status().running == 2
