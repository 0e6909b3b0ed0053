"""Tests of the memory of engines."""

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_request, make_service
from limpetusher.fleet.model import Engine, PromptPart
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.settings import FleetSettings

ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)
LIMIT_TOKENS = FleetSettings().memory_fraction * MEMORY_TOKENS
LARGE_TOKENS = 90_000


def make_memory_placement(engines: int = 1):
    return make_placement(engines, service=make_service(engine=ENGINE))


def make_large(name: str = "large", **changes):
    request = make_request(name, unshared_tokens=LARGE_TOKENS, **changes)
    request.latest_start_at, request.is_queued = 1.0, True
    return request


def take(placement, target_id: str, tokens: float) -> TargetLoad:
    """Open a request without prefill that takes memory; return its load."""
    load = TargetLoad(1, 0, int(tokens))
    placement.add_load(target_id, load, 0.0)
    return load


def hold_back(placement, request) -> None:
    """Consider a request without memory until smaller ones may overtake it no longer."""
    assert placement.choose(request, 0.0) is None
    assert placement.choose(request, 0.11 * request.goal_seconds) is None


def test_request_whose_memory_does_not_fit_is_not_sent():
    """Guards against running requests that an engine preempts for want of memory."""
    placement = make_memory_placement()
    take(placement, "e1", LIMIT_TOKENS - LARGE_TOKENS)
    assert placement.choose(make_large(), 0.0) is None
    assert placement.choose(make_request("small"), 0.0) is not None


def test_request_without_prompt_parts_is_not_sent_without_memory_either():
    """Guards against requests without a session that bypass the limit of memory."""
    placement = make_memory_placement()
    take(placement, "e1", LIMIT_TOKENS)
    assert placement.choose(make_request(parts=(), prompt_tokens=10), 0.0) is None


def test_large_request_is_not_overtaken_for_longer_than_a_tenth_of_its_goal():
    """Guards against a flood of small requests that takes all memory as soon as it is free."""
    placement = make_memory_placement()
    loads = [take(placement, "e1", LIMIT_TOKENS / 4) for _ in range(3)]
    large = make_large()
    assert placement.choose(large, 0.0) is None
    assert placement.choose(make_request("small"), 0.09) is not None
    assert placement.choose(large, 0.11) is None
    assert placement.choose(make_request("small"), 0.11) is None
    placement.record_end("e1", loads[0], 0.2)
    assert placement.choose(make_request("small"), 0.2) is None
    placement.record_end("e1", loads[1], 0.3)
    assert placement.choose(large, 0.3) is not None


def test_small_request_that_leaves_enough_memory_is_not_held_up():
    """Guards against an engine that stands idle while a large request waits for another reason."""
    placement = make_memory_placement()
    loads = [take(placement, "e1", LIMIT_TOKENS / 4) for _ in range(3)]
    hold_back(placement, make_large())
    for load in loads[:2]:
        placement.record_end("e1", load, 0.2)
    assert placement.choose(make_request("small"), 0.2) is not None


def test_reservation_ends_with_its_request():
    """Guards against memory that is kept for a request that was refused or withdrawn."""
    placement = make_memory_placement()
    take(placement, "e1", LIMIT_TOKENS - LARGE_TOKENS)
    large = make_large()
    hold_back(placement, large)
    assert placement.choose(make_request("small"), 0.2) is None
    large.is_queued = False
    assert placement.choose(make_request("small"), 0.2) is not None


def test_customer_above_its_share_holds_up_nobody():
    """Guards against large requests of a flooding customer that keep memory from the others."""
    placement = make_memory_placement()
    take(placement, "e1", LIMIT_TOKENS - LARGE_TOKENS)
    large = make_large()
    large.share_used = 1.0
    hold_back(placement, large)
    assert placement.choose(make_request("small"), 0.2) is not None


def test_cache_is_what_open_requests_leave():
    """Guards against transfers of parts that an engine has evicted for its running requests."""
    placement = make_memory_placement()
    first = make_request("w1", session="s1")
    choice = placement.choose(first, 0.0)
    placement.record_start(first, choice, 0.0)
    placement.record_end("e1", choice.load, 0.1)
    take(placement, "e1", MEMORY_TOKENS - 15_000)
    assert "s1" in placement.caches.by_engine["e1"].parts
    second = make_request("w2", session="s2")
    placement.record_start(second, placement.engine_choice(second, first_engine(placement, second)), 0.2)
    assert set(placement.caches.by_engine["e1"].parts) == {"common", "s2"}


def first_engine(placement, request):
    view = placement.view(request.pool, 0.2)
    return placement.session_engines(request, view)[0]


def test_cache_of_an_engine_with_little_to_do_holds_more_than_a_fixed_part():
    """Guards against repeated prefill of parts that an engine still has."""
    placement = make_memory_placement()
    parts = tuple(PromptPart(f"s{number}", 10_000) for number in range(20))
    for now, part in enumerate(parts):
        request = make_request(parts=(part, PromptPart("own", 10)), prompt_tokens=10_010)
        choice = placement.choose(request, float(now))
        placement.record_start(request, choice, float(now))
        placement.record_end("e1", choice.load, float(now))
    assert set(placement.caches.by_engine["e1"].parts) == {part.part_id for part in parts}


def test_cache_of_engines_without_transfers_keeps_its_fixed_part():
    """Guards against another order of service where waits are not weighed."""
    placement = make_placement(1, service=make_service(engine=Engine(SLOTS, MEMORY_TOKENS)))
    for number in range(40):
        request = make_request(f"w{number}", at=float(number), session=f"s{number}")
        choice = placement.choose(request, float(number))
        placement.record_start(request, choice, float(number))
        placement.record_end("e1", choice.load, float(number))
    cached = placement.caches.by_engine["e1"].tokens
    assert 0.3 * MEMORY_TOKENS < cached <= placement.settings.cache_fraction * MEMORY_TOKENS
