"""Tests of route lookup and service choice."""

import pytest

from builders_fleet import make_configuration, make_route
from limpetusher.fleet.model import Destination
from limpetusher.fleet.version.routing import RouteTable, choose_service


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "short"),
        ("A.EXAMPLE", "/x/y/1", "long"),
        ("a.example", "/z", None),
        ("b.example", "/x/1", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, expected):
    """Guards against requests sent to the service of another route."""
    table = RouteTable(
        make_configuration(
            make_route(name="short", host="a.example", prefix="/x/"),
            make_route(name="long", host="a.example", prefix="/x/y/"),
        )
    )
    route = table.find(host, path)
    assert (route.name if route else None) == expected


def test_split_follows_the_weights_and_keeps_a_session_together():
    """Guards against a split that ignores its weights, or separates the requests of a session."""
    route = make_route(destinations=(Destination("old", 90.0), Destination("new", 10.0)))
    chosen = [choose_service(route, f"session-{number}") for number in range(2_000)]
    assert 0.07 < chosen.count("new") / len(chosen) < 0.13
    assert choose_service(route, "session-1") == chosen[1]


def test_destination_without_weight_gets_nothing():
    route = make_route(destinations=(Destination("old", 1.0), Destination("new", 0.0)))
    assert {choose_service(route, str(number)) for number in range(500)} == {"old"}
