"""Tests of the open work at targets."""

from limpetusher.fleet.process.loads import Loads, OpenWork


def test_ended_work_leaves_nothing_behind():
    loads = Loads()
    loads.start("e1", OpenWork(1, 10, 20))
    loads.start("e1", OpenWork(3, 100, 200))
    loads.read("e1", 10)
    assert loads.total("e1") == OpenWork(4, 100, 220)
    loads.end("e1", OpenWork(1, 0, 20))
    loads.end("e1", OpenWork(3, 100, 200))
    assert loads.work == {}
    assert loads.total("e1").is_empty
