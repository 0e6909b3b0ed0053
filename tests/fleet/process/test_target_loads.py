"""Tests of the load of targets."""

from limpetusher.fleet.process.target_loads import TargetLoad, TargetLoads


def test_ended_requests_leave_no_load():
    loads = TargetLoads()
    loads.add("e1", TargetLoad(1, 10, 20))
    loads.add("e1", TargetLoad(3, 100, 200))
    loads.end_prefill("e1", 10)
    assert loads.total("e1") == TargetLoad(4, 100, 220)
    loads.subtract("e1", TargetLoad(1, 0, 20))
    loads.subtract("e1", TargetLoad(3, 100, 200))
    assert loads.by_target == {}
    assert loads.total("e1").is_empty
