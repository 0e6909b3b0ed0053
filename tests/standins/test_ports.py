"""Tests of the port blocks."""

from limpetusher_standins.ports import PortBlock


def test_blocks_in_use_do_not_overlap():
    """Guards against two fleets on one machine that take each other's ports."""
    first, second = PortBlock(), PortBlock()
    assert first.end <= second.next_port or second.end <= first.next_port
    taken = {first.take() for _ in range(20)}
    assert len(taken) == 20
    assert second.take() not in taken
    first.close()
    second.close()
