"""Tests of the port blocks."""

from limpetusher_standins.ports import PortBlock


def test_blocks_in_use_do_not_overlap():
    """Guards against two fleets on one machine that take each other's ports."""
    first, second = PortBlock(), PortBlock()
    assert first.end_port <= second.next_port or second.end_port <= first.next_port
    taken = {first.allocate_address() for _ in range(20)}
    assert len(taken) == 20
    assert second.allocate_address() not in taken
    first.close()
    second.close()
