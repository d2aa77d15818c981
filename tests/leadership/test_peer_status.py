"""Freshness of peer heartbeats, and detection of lost peers."""

from __future__ import annotations

import pytest

from meadowcross.common.types import FencingToken, NodeName
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.peer_status import HEARTBEAT_FRESH_S, PeerStatus

PEER = NodeName("n1")

CONNECTION_ATTEMPTS = [
    # name, whether a connection was closed before, whether the address refused the attempt, whether the peer is lost
    ("refused after its connection was closed", True, True, True),
    ("refused without an earlier connection", False, True, False),
    ("timeout after its connection was closed", True, False, False),
]


@pytest.fixture
def status(world):
    return PeerStatus(world.clock)


@pytest.mark.parametrize(
    ("was_closed", "is_refused", "is_lost"),
    [case[1:] for case in CONNECTION_ATTEMPTS],
    ids=[case[0] for case in CONNECTION_ATTEMPTS],
)
def test_peer_is_lost_if_its_address_refuses_after_its_connection_closed(status, was_closed, is_refused, is_lost):
    status.record_heartbeat(PeerHeartbeat(PEER, True))
    if was_closed:
        status.record_disconnected(PEER)
    assert status.record_connect_failed(PEER, is_refused) is is_lost
    assert status.is_lost(PEER) is is_lost and status.lost_peers() == ([PEER] if is_lost else [])
    assert status.live_peer_heartbeats() == ([] if is_lost else status.recent_heartbeats())
    assert not status.record_connect_failed(PEER, True), "a lost peer is reported once"


def test_heartbeat_or_connection_ends_the_loss_of_a_peer(world, status):
    for return_peer in (
        lambda: status.record_heartbeat(PeerHeartbeat(PEER, True)),
        lambda: status.record_connected(PEER),
    ):
        status.record_disconnected(PEER)
        assert status.record_connect_failed(PEER, True)
        world.clock.advance(0.1)
        return_peer()
        assert not status.is_lost(PEER)
        status.record_connected(PEER)


def test_old_heartbeats_are_ignored(world, status):
    status.record_heartbeat(PeerHeartbeat(PEER, True, FencingToken(7), 5))
    status.record_heartbeat(PeerHeartbeat(NodeName("n2"), False, FencingToken(9), 3))
    assert (status.has_peer_with_store(), status.max_reporting_workers(), status.reported_leader()) == (
        True,
        5,
        ("n2", 9),
    )
    world.clock.advance(HEARTBEAT_FRESH_S)
    assert (status.has_peer_with_store(), status.max_reporting_workers(), status.reported_leader()) == (
        False,
        None,
        None,
    )
