"""The link between controllers handles every message type."""

from __future__ import annotations

from typing import get_args

from meadowcross.leadership.messages import Message
from meadowcross.leadership.peer_link import PeerLink


def test_every_message_type_has_a_handler(world):
    assert PeerLink(world.clock, []).handled_types == set(get_args(Message))
