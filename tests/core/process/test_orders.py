"""Tests of orders to engines: fencing numbers, dwell times and the limit of loads."""

from builders_versions import configuration, host_list, router, target
from limpetusher.configuration.compiled import Configuration
from limpetusher.core.connection.peers import Peers
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.membership import Membership
from limpetusher.core.process.orders import LOAD_SECONDS, ORDER_ANSWER_SECONDS, Orders
from limpetusher.core.settings import PolicySettings

SETTINGS = PolicySettings()
WALL = 1_700_000_000_000
LATE = 600.0


class LeasesHeld:
    """Stands for `Shares`."""

    def __init__(self, majority: bool = True):
        self.majority = majority

    def has_majority(self, target_id: str, now: float) -> bool:
        return self.majority


def placed(version: str = "3", role: str = "mixed", targets: int = 1) -> Configuration:
    """Return a configuration that places a model on some targets."""
    placements = [
        {"target_id": f"engine-{number}", "model": "assessor", "version": version, "role": role}
        for number in range(1, targets + 1)
    ]
    return configuration(1, placements=placements)


def report(*loaded: str, number: int = 1, role: str | None = None, fencing: int = 0) -> LoadReported:
    """Return a load report."""
    return LoadReported(f"engine-{number}", 0, True, "boot", 0.1, fencing, loaded, role)


class Scene:
    """An ordering router, two engines and the time."""

    def __init__(self):
        self.orders = Orders(SETTINGS, "router-0")
        self.membership = Membership(SETTINGS, "router-0", Peers(SETTINGS))
        self.membership.update(host_list(1, router(0), target(1), target(2)), 0.0)
        self.decide(placed(), [], 0.0)

    def decide(self, wanted: Configuration, reports: list, now: float, majority: bool = True) -> list:
        return self.orders.decide(
            wanted,
            {one.target_id: one for one in reports},
            LeasesHeld(majority),
            WALL + int(now * 1000),
            now,
            membership=self.membership,
        )


def test_missing_model_is_ordered_once():
    """Guards against placements that are not carried out, and against a stream of orders."""
    scene = Scene()
    (order,) = scene.decide(placed(), [report()], LATE)
    assert (order.model, order.version, order.address) == ("assessor", "3", "127.0.0.1:8001")
    assert scene.decide(placed(), [report()], LATE + 1) == []


def test_loaded_model_is_not_ordered():
    """Guards against loading again what a target has."""
    assert Scene().decide(placed(), [report("assessor@3")], LATE) == []


def test_without_a_majority_of_leases_nothing_is_ordered():
    """Guards against two routers that order at once."""
    assert Scene().decide(placed(), [report()], LATE, majority=False) == []


def test_fencing_numbers_grow_beyond_all_known_ones():
    """Guards against an order that the target refuses after a wall clock went back."""
    scene = Scene()
    scene.orders.heard(WALL * 2)
    (order,) = scene.decide(placed(), [report()], LATE)
    assert order.fencing_number == WALL * 2 + 1
    scene.orders.answered("engine-1", order.fencing_number, True)
    (again,) = scene.decide(placed(), [report()], LATE + LOAD_SECONDS)
    assert again.fencing_number > order.fencing_number


def test_unanswered_order_is_repeated():
    """Guards against a lost order that is never carried out."""
    scene = Scene()
    scene.decide(placed(role="prefill"), [report("assessor@3", role="decode")], LATE)
    later = LATE + ORDER_ANSWER_SECONDS
    assert len(scene.decide(placed(role="prefill"), [report("assessor@3", role="decode")], later)) == 1


def test_order_is_not_undone_within_the_dwell_time():
    """Guards against targets that load models to and fro."""
    scene = Scene()
    scene.decide(placed("3"), [report()], LATE)
    dwell = SETTINGS.order_dwell_seconds
    assert scene.decide(placed("4"), [report("assessor@3")], LATE + dwell - 1) == []
    assert len(scene.decide(placed("4"), [report("assessor@3")], LATE + dwell)) == 1


def test_dwell_time_holds_for_the_next_ordering_router():
    """Guards against a new ordering router that undoes the order of the one before."""
    scene = Scene()
    recent = WALL + int((LATE - 10) * 1000)
    assert scene.decide(placed(), [report(fencing=recent)], LATE) == []
    assert len(scene.decide(placed(), [report(fencing=recent)], LATE + SETTINGS.order_dwell_seconds)) == 1


def test_loads_wait_for_the_weight_store():
    """Guards against more loads than the weight store allows, also just after a start."""
    scene = Scene()
    wanted = placed(targets=2)
    reports = [report(number=1), report(number=2)]
    assert scene.decide(wanted, reports, 9.0) == []
    assert len(scene.decide(wanted, reports, 10.0)) == 1
    assert len(scene.decide(wanted, reports, 15.0)) == 0
    assert len(scene.decide(wanted, reports, 20.0)) == 1


def test_change_of_role_does_not_wait_for_the_weight_store():
    """Guards against role changes that queue behind loads."""
    reports = [report("assessor@3", role="decode")]
    assert len(Scene().decide(placed(role="prefill"), reports, 0.1)) == 1


def test_leaving_and_unlisted_targets_are_not_ordered():
    """Guards against loads for targets that go away."""
    scene = Scene()
    scene.membership.update(host_list(2, router(0)), 1.0)
    assert scene.decide(placed(), [report()], LATE) == []
