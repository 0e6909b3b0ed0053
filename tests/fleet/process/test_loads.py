"""Tests of the open work of the fleet."""

from limpetusher.fleet.process.loads import Loads, OpenWork, PeerLoad


def test_old_reports_no_longer_count():
    """Guards against work of a router that has died holding a target's slots for ever."""
    loads = Loads(report_lifetime_seconds=2.0)
    loads.report("peer", PeerLoad(0.0, {"e1": OpenWork(3, 100, 200)}))
    loads.start("e1", OpenWork(1, 10, 20))
    assert loads.total("e1") == OpenWork(4, 110, 220)
    loads.sum_up(2.5)
    assert loads.total("e1") == OpenWork(1, 10, 20)


def test_ended_work_leaves_nothing_behind():
    loads = Loads()
    loads.start("e1", OpenWork(1, 10, 20))
    loads.read("e1", 10)
    loads.end("e1", OpenWork(1, 0, 20))
    assert loads.own == {}
