"""Several decision cores that exchange messages."""

from builders_decision import make_configuration, make_host_list, make_request
from core_harness import Fleet
from limpetusher.core.inputs import Outcome


def two_routers(**settings) -> Fleet:
    hosts = make_host_list(routers={"a1": "a", "a2": "a"}, engines={"e1": "a", "e2": "a"})
    return Fleet(hosts, make_configuration(), **settings)


def test_every_request_of_two_routers_is_answered():
    """Guards against requests that get lost between demand, grant and release."""
    fleet = two_routers()
    fleet.run(4.0)
    for number in range(40):
        fleet.request(("a1", "a2")[number % 2], make_request(f"r{number}"))
    fleet.run(5.0)
    assert [how for _, how in fleet.answers.values()] == [Outcome.COMPLETE] * 40
    assert max(target.most_running for target in fleet.targets.values()) == 4
