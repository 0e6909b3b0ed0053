"""Tests of orders to engines: fencing numbers, dwell times and the rate limit of model loads."""

from builders_versions import configuration, host_list, router, target
from limpetusher.configuration.compiled import Configuration
from limpetusher.core.connection.peers import Peers
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.membership import Membership
from limpetusher.core.process.orders import MODEL_LOAD_TIMEOUT_SECONDS, ORDER_ANSWER_TIMEOUT_SECONDS, Orders
from limpetusher.core.settings import PolicySettings

SETTINGS = PolicySettings()
WALL_MILLISECONDS = 1_700_000_000_000
LATE_SECONDS = 600.0


class FakeSlotLeases:
    """Fake of `SlotLeases` that holds leases of a majority of carriers, or not, for all targets."""

    def __init__(self, majority: bool = True):
        self.majority = majority

    def has_majority(self, target_id: str, now: float) -> bool:
        return self.majority


def placement_configuration(version: str = "3", role: str = "mixed", targets: int = 1) -> Configuration:
    """Return a configuration that places a model on some targets."""
    placements = [
        {"target_id": f"engine-{number}", "model": "assessor", "version": version, "role": role}
        for number in range(1, targets + 1)
    ]
    return configuration(1, placements=placements)


def report(*loaded: str, number: int = 1, role: str | None = None, fencing: int = 0) -> LoadReported:
    """Return a load report."""
    return LoadReported(f"engine-{number}", 0, True, "boot", 0.1, fencing, loaded, role)


class OrderScenario:
    """A router that sends orders, and a host list with two engines."""

    def __init__(self):
        self.orders = Orders(SETTINGS, "router-0")
        self.membership = Membership(SETTINGS, "router-0", Peers(SETTINGS))
        self.membership.update(host_list(1, router(0), target(1), target(2)), 0.0)
        self.decide(placement_configuration(), [], 0.0)

    def decide(self, wanted: Configuration, reports: list, now: float, majority: bool = True) -> list:
        return self.orders.due_orders(
            wanted,
            {one.target_id: one for one in reports},
            FakeSlotLeases(majority),
            WALL_MILLISECONDS + int(now * 1000),
            now,
            membership=self.membership,
        )


def test_missing_model_is_ordered_once():
    """Guards against placements that are not carried out, and against repeated orders."""
    scenario = OrderScenario()
    (order,) = scenario.decide(placement_configuration(), [report()], LATE_SECONDS)
    assert (order.model, order.version, order.address) == ("assessor", "3", "127.0.0.1:8001")
    assert scenario.decide(placement_configuration(), [report()], LATE_SECONDS + 1) == []


def test_loaded_model_is_not_ordered():
    """Guards against loading a model again that a target has loaded."""
    assert OrderScenario().decide(placement_configuration(), [report("assessor@3")], LATE_SECONDS) == []


def test_without_a_majority_of_leases_nothing_is_ordered():
    """Guards against two routers that send orders to a target at the same time."""
    assert OrderScenario().decide(placement_configuration(), [report()], LATE_SECONDS, majority=False) == []


def test_fencing_numbers_grow_beyond_all_known_ones():
    """Guards against an order that the target refuses after a wall clock went back."""
    scenario = OrderScenario()
    scenario.orders.record_fencing_number(WALL_MILLISECONDS * 2)
    (order,) = scenario.decide(placement_configuration(), [report()], LATE_SECONDS)
    assert order.fencing_number == WALL_MILLISECONDS * 2 + 1
    scenario.orders.record_answer("engine-1", order.fencing_number, True)
    (again,) = scenario.decide(
        placement_configuration(), [report()], LATE_SECONDS + MODEL_LOAD_TIMEOUT_SECONDS
    )
    assert again.fencing_number > order.fencing_number


def test_unanswered_order_is_repeated():
    """Guards against a lost order that is never carried out."""
    scenario = OrderScenario()
    scenario.decide(
        placement_configuration(role="prefill"), [report("assessor@3", role="decode")], LATE_SECONDS
    )
    later = LATE_SECONDS + ORDER_ANSWER_TIMEOUT_SECONDS
    assert (
        len(
            scenario.decide(
                placement_configuration(role="prefill"), [report("assessor@3", role="decode")], later
            )
        )
        == 1
    )


def test_order_is_not_undone_within_the_dwell_time():
    """Guards against targets that load models back and forth."""
    scenario = OrderScenario()
    scenario.decide(placement_configuration("3"), [report()], LATE_SECONDS)
    dwell = SETTINGS.order_dwell_seconds
    assert (
        scenario.decide(placement_configuration("4"), [report("assessor@3")], LATE_SECONDS + dwell - 1) == []
    )
    assert (
        len(scenario.decide(placement_configuration("4"), [report("assessor@3")], LATE_SECONDS + dwell)) == 1
    )


def test_dwell_time_holds_for_the_next_ordering_router():
    """Guards against a new owner that undoes the recent order of the previous one."""
    scenario = OrderScenario()
    recent = WALL_MILLISECONDS + int((LATE_SECONDS - 10) * 1000)
    assert scenario.decide(placement_configuration(), [report(fencing=recent)], LATE_SECONDS) == []
    assert (
        len(
            scenario.decide(
                placement_configuration(),
                [report(fencing=recent)],
                LATE_SECONDS + SETTINGS.order_dwell_seconds,
            )
        )
        == 1
    )


def test_loads_wait_for_the_weight_store():
    """Guards against more loads than the weight store allows, also just after a start."""
    scenario = OrderScenario()
    wanted = placement_configuration(targets=2)
    reports = [report(number=1), report(number=2)]
    assert scenario.decide(wanted, reports, 9.0) == []
    assert len(scenario.decide(wanted, reports, 10.0)) == 1
    assert len(scenario.decide(wanted, reports, 15.0)) == 0
    assert len(scenario.decide(wanted, reports, 20.0)) == 1


def test_change_of_role_does_not_wait_for_the_weight_store():
    """Guards against role changes that wait for the rate limit of model loads."""
    reports = [report("assessor@3", role="decode")]
    assert len(OrderScenario().decide(placement_configuration(role="prefill"), reports, 0.1)) == 1


def test_leaving_and_unlisted_targets_are_not_ordered():
    """Guards against orders to targets that are leaving or no longer listed."""
    scenario = OrderScenario()
    scenario.membership.update(host_list(2, router(0)), 1.0)
    assert scenario.decide(placement_configuration(), [report()], LATE_SECONDS) == []
