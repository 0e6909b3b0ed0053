"""Tests of how routers find each other."""

from limpetusher.fleet.process.members import Members


def test_silent_peer_keeps_its_part_of_the_limits_until_it_is_forgotten():
    """Guards against both sides of a partition taking the whole cold limit or retry budget."""
    members = Members("10.0.0.1")
    members.heard("10.0.0.2", 0.0)
    assert members.reachable(10.0) == []
    assert sorted(members.routers()) == ["10.0.0.1", "10.0.0.2"]
    members.forget(100.0)
    assert members.routers() == ["10.0.0.1"]


def test_peers_are_found_through_seeds_and_other_peers():
    members = Members("10.0.0.1")
    members.set_seeds(("10.0.0.1", "10.0.0.2"))
    assert members.addressees() == ["10.0.0.2"]
    members.told(["10.0.0.1", "10.0.0.3"], 0.0)
    assert set(members.addressees()) == {"10.0.0.2", "10.0.0.3"}
    assert members.routers() == ["10.0.0.1"]


def test_return_of_a_peer_is_told_once():
    members = Members("10.0.0.1")
    assert members.heard("10.0.0.2", 0.0)
    assert not members.heard("10.0.0.2", 0.5)
    assert members.heard("10.0.0.2", 5.0)
