"""Tests of sequence numbers, echoes, reachability and incarnations."""

from limpetusher.core.connection.peers import RECENT_SEQUENCES, Peers
from limpetusher.core.settings import PolicySettings


def make_peers() -> Peers:
    return Peers(PolicySettings(), first_sequence=1000)


def test_send_times_are_known_only_for_recent_sequence_numbers():
    """Guards against leases counted from a wrong time when an echo is very old or was never sent."""
    peers = make_peers()
    sent = {peers.next_sequence("p", float(i)): float(i) for i in range(2 * RECENT_SEQUENCES)}
    newest = max(sent)
    assert min(sent) == 1001
    assert all(peers.sent_at("p", s) == sent[s] for s in range(newest - RECENT_SEQUENCES + 1, newest + 1))
    assert [peers.sent_at("p", s) for s in (newest - RECENT_SEQUENCES, newest + 1, 1000, 0)] == [None] * 4


def test_sequence_numbers_are_not_repeated_after_a_peer_was_forgotten():
    """Guards against a lease that is lengthened by a late echo from before the peer was forgotten."""
    peers = make_peers()
    before = peers.next_sequence("p", 1.0)
    assert peers.forget_unlisted({"q"}) == ("p",)
    assert peers.next_sequence("p", 2.0) > before


def test_late_heartbeats_are_outdated_and_a_restart_is_reported_once():
    """Guards against a reordered heartbeat, or one of an ended incarnation, that undoes newer state."""
    peers = make_peers()
    assert peers.record_heartbeat("p", 1, 5, 0, 10.0, False).became_reachable
    assert peers.record_heartbeat("p", 1, 4, 0, 10.1, True).outdated
    assert peers.record_heartbeat("p", 2, 1, 0, 10.2, False).restarted
    assert peers.record_heartbeat("p", 1, 6, 0, 10.3, True).outdated
    assert (peers.incarnation("p"), peers.echo_for("p"), peers.is_leaving("p")) == (2, 1, False)


def test_a_peer_is_unreachable_after_the_timeout():
    """Guards against choosing owners that no longer send heartbeats."""
    peers = make_peers()
    peers.record_heartbeat("p", 1, 1, 0, 10.0, False)
    assert peers.is_reachable("p", 11.0)
    assert not peers.is_reachable("p", 11.01)
    assert peers.peers_to_forget(10.0 + PolicySettings().peer_forget_seconds) == ("p",)
