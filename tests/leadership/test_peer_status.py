"""When a peer counts as heard, and when as lost."""

from __future__ import annotations

import pytest

from meadowcross.common.types import FencingToken, NodeName
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.peer_status import HEARTBEAT_FRESH_S, PeerStatus

PEER = NodeName("n1")

CALLS = [
    # whether the connection was closed before, whether the call was refused, whether the peer is lost
    ("refused after its connection was closed", True, True, True),
    ("refused, and never connected", False, True, False),
    ("no answer after its connection was closed", True, False, False),
]


@pytest.fixture
def status(world):
    return PeerStatus(world.clock)


@pytest.mark.parametrize(("was_closed", "is_refused", "is_lost"), [c[1:] for c in CALLS], ids=[c[0] for c in CALLS])
def test_peer_is_lost_once_its_address_refuses_after_its_connection_closed(status, was_closed, is_refused, is_lost):
    status.record_heartbeat(PeerHeartbeat(PEER, True))
    if was_closed:
        status.record_disconnected(PEER)
    assert status.record_connect_failed(PEER, is_refused) is is_lost
    assert status.is_lost(PEER) is is_lost and status.lost_peers() == ([PEER] if is_lost else [])
    assert status.fresh_heartbeats() == ([] if is_lost else status.recent_heartbeats())
    assert not status.record_connect_failed(PEER, True), "told once"


def test_peer_is_no_longer_lost_when_a_heartbeat_comes_or_it_is_connected(world, status):
    for back in (lambda: status.record_heartbeat(PeerHeartbeat(PEER, True)), lambda: status.record_connected(PEER)):
        status.record_disconnected(PEER)
        assert status.record_connect_failed(PEER, True)
        world.clock.advance(0.1)
        back()
        assert not status.is_lost(PEER)
        status.record_connected(PEER)


def test_heartbeats_count_only_while_they_are_fresh(world, status):
    status.record_heartbeat(PeerHeartbeat(PEER, True, FencingToken(7), 5))
    status.record_heartbeat(PeerHeartbeat(NodeName("n2"), False, FencingToken(9), 3))
    assert (status.peer_has_store(), status.most_workers_heard(), status.reported_leader()) == (True, 5, ("n2", 9))
    world.clock.advance(HEARTBEAT_FRESH_S)
    assert (status.peer_has_store(), status.most_workers_heard(), status.reported_leader()) == (False, None, None)
