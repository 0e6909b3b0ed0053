"""Requirements 1 and 2: the fairness gap is bounded, and no customer starves while another floods."""

import contextlib

import pytest

from builders_integration import BackgroundCallers, make_chat, small_plan
from limpetusher_standins.audit import audit
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.load_generator import PROMPT_TOKEN_COST

pytestmark = pytest.mark.integration
REQUEST_TOKENS = 20
SLOTS = 4
ENGINES = 2
TOKEN_SECONDS = 0.01
EXCHANGE_INTERVAL_SECONDS = 0.25
PEER_DELAY_SECONDS = 0.05
"""Assumed delay between routers; far above that of loopback addresses, to allow for a busy machine."""
FLOOD_WORKERS = 50
SERVED_TIMEOUT_SECONDS = 10.0
SMALLEST_SHARE = 1.0
LARGE_SHARE = 4.0


@pytest.fixture(scope="module")
def fleet():
    """Start four routers and two engines; customer 1 has four times the share of the others."""
    plan = small_plan(
        engines=ENGINES,
        applications=0,
        customers=4,
        large_customers=1,
        large_share=LARGE_SHARE,
        slots=SLOTS,
        cold_slots=SLOTS,
        patience_seconds=30.0,
        with_proxy=False,
        engine_options={"token_seconds": TOKEN_SECONDS, "batch_slowdown": 0.0},
    )
    with Fleet(plan) as started:
        yield started


def request_cost() -> float:
    """Return an upper bound of the cost of one request of these tests."""
    return REQUEST_TOKENS + PROMPT_TOKEN_COST * REQUEST_TOKENS


def gap_bound() -> float:
    """Return the bound of the fairness gap (section 6 of the design), in cost units per unit of share."""
    slots = ENGINES * SLOTS
    rate = slots / TOKEN_SECONDS
    window = (EXCHANGE_INTERVAL_SECONDS + PEER_DELAY_SECONDS) * rate
    return (window + (slots + ENGINES) * request_cost()) / SMALLEST_SHARE


def service_per_share(fleet: Fleet, begin: float, end: float) -> dict[str, float]:
    """Return each customer's service per unit of share from requests that ended in an interval."""
    shares = {customer.customer_id: customer.share for customer in fleet.customers}
    service = dict.fromkeys(shares, 0.0)
    for record in fleet.fetch_records("engine").values():
        for entry in record["requests"]:
            if entry["ended"] is not None and begin < entry["ended"] <= end:
                cost = entry["generated_tokens"] + PROMPT_TOKEN_COST * entry["prompt_tokens"]
                service[entry["customer"]] += cost / shares[entry["customer"]]
    return service


def completed_since(fleet: Fleet, customer: str, begin: float) -> int:
    """Return how many requests of a customer the engines completed after a wall-clock time."""
    entries = [entry for record in fleet.fetch_records("engine").values() for entry in record["requests"]]
    return sum(
        entry["customer"] == customer and entry["state"] == "complete" and (entry["ended"] or 0.0) > begin
        for entry in entries
    )


def make_request_of_bound(caller, name):
    """Return a request with the length that the bound assumes."""
    return make_chat(caller, name, tokens=REQUEST_TOKENS)


def latest_end_time(fleet: Fleet) -> float:
    """Return the wall-clock time at which the last request ended at the engines."""
    ends = [
        entry["ended"] for record in fleet.fetch_records("engine").values() for entry in record["requests"]
    ]
    return max((end for end in ends if end is not None), default=0.0)


def total_completed_since(fleet: Fleet, begin: float) -> int:
    """Return how many requests of all customers were completed after a wall-clock time."""
    return sum(completed_since(fleet, customer.customer_id, begin) for customer in fleet.customers)


def test_gap_between_backlogged_customers_stays_below_the_bound(fleet):
    """Guards against service in proportion to open requests: one customer has 12 times as many as others.

    The customers call different routers, so that no router sees the whole demand. The large customer has
    as many open requests per unit of share as the small ones.
    """
    assert fleet.fetch_record(PLATFORM)["versions"]
    routers = list(fleet.routers)
    plans = [
        (0, 8, routers[:2]),
        (1, 4, routers[1:2]),
        (2, 4, routers[2:3]),
        (3, FLOOD_WORKERS, routers[3:]),
    ]
    bound = gap_bound()
    # Without fairness, service would differ by several times the bound in an interval of this length.
    minimum_completed = int(8 * bound / REQUEST_TOKENS)
    with contextlib.ExitStack() as stack:
        callers = [
            stack.enter_context(
                BackgroundCallers(
                    fleet,
                    workers=workers,
                    routers=names,
                    customer=customer,
                    make_request=make_request_of_bound,
                    label=f"gap-{customer}",
                    finish_open_requests=False,
                )
            )
            for customer, workers, names in plans
        ]
        fleet.wait_until(
            lambda: all(completed_since(fleet, plan.customer_id, 0.0) > 0 for plan in fleet.customers),
            "all customers are served",
            SERVED_TIMEOUT_SECONDS,
        )
        begin = latest_end_time(fleet)
        fleet.wait_until(
            lambda: total_completed_since(fleet, begin) >= minimum_completed,
            "work is done",
            2 * SERVED_TIMEOUT_SECONDS,
        )
        end = latest_end_time(fleet)
    service = service_per_share(fleet, begin, end)
    assert max(service.values()) - min(service.values()) <= bound, service
    assert not audit(fleet, [result for group in callers for result in group.results]).wrong_answers


def test_small_customer_is_served_while_another_floods_all_routers(fleet):
    """Guards against starvation of a customer with one open request by a customer with 200 at all routers."""
    with (
        BackgroundCallers(
            fleet,
            workers=FLOOD_WORKERS,
            customer=3,
            make_request=make_request_of_bound,
            label="flood",
            finish_open_requests=False,
        ) as flood,
        BackgroundCallers(
            fleet,
            workers=1,
            routers=["router-1"],
            customer=1,
            make_request=make_request_of_bound,
            label="small",
        ) as small,
    ):
        fleet.wait_until(
            lambda: flood.complete_answers_since(0) >= FLOOD_WORKERS, "the flood runs", SERVED_TIMEOUT_SECONDS
        )
        begin = latest_end_time(fleet)
        fleet.wait_until(
            lambda: small.complete_answers_since(begin) >= 5,
            "the small customer is served",
            SERVED_TIMEOUT_SECONDS,
        )
    assert set(small.outcomes()) == {"whole"}
    entries = [entry for record in fleet.fetch_records("engine").values() for entry in record["requests"]]
    started = {entry["request_id"]: entry["started"] for entry in entries}
    flooding = fleet.customers[3].customer_id
    for result in small.results:
        if result.started_wall > begin:
            served = service_per_share(fleet, result.started_wall, started[result.request_id])[flooding]
            assert served <= gap_bound()
