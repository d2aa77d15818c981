"""Messages, stored records and files are encoded byte for byte as at the reference commit e82f744."""

from __future__ import annotations

import gzip
import importlib
import json
import pkgutil
from typing import Any

import msgspec
import pytest
from msgspec import Struct, structs
from twisted.internet.testing import MemoryReactorClock, StringTransport

import meadowcross
from meadowcross.common.types import FencingToken, NodeName
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.messages import encode as encode_peer
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.relay.messages import RelayGrant
from meadowcross.snapshots.files import DATA_SUFFIX, MANIFEST_SUFFIX, read_newest
from meadowcross.store.messages import encode as encode_store
from tests.support import wire_constants
from tests.support.peers import connect_quiet_node
from tests.support.wire_samples import (
    CODECS,
    ENCODED_ONLY,
    make_transaction,
    read_samples,
    reencode,
    wire_names,
)

SAMPLES = read_samples()
RECORDS = [key for key, codec in CODECS.items() if wire_names(codec.message_type)]
ADDED_NAMES = {"relay.grant": ["newest"], "leadership.beat": ["raised", "newest"]}
"""Fields that later commits added behind the others; a message that does not set them is encoded without them."""
COMPRESSION_DEPENDENT = ('"size"', '"sha256"')
"""Lines of a manifest that depend on the version of the compression library."""


def test_every_sample_has_a_message_and_every_message_a_sample():
    assert SAMPLES.keys() == CODECS.keys() | ENCODED_ONLY.keys()
    sampled = {codec.message_type for codec in CODECS.values() if wire_names(codec.message_type)}
    sampled |= set(ENCODED_ONLY.values())
    modules = [module.name for module in pkgutil.walk_packages(meadowcross.__path__, "meadowcross.")]
    messages = [name for name in modules if name.endswith(".messages")]
    assert len(messages) == 9
    defined = {
        value
        for name in messages
        for value in vars(importlib.import_module(name)).values()
        if isinstance(value, type) and issubclass(value, Struct) and value.__module__ == name
    }
    assert defined and not defined - sampled


@pytest.mark.parametrize("key", CODECS)
def test_full_sample_is_decoded_and_reencoded_byte_for_byte(key):
    assert reencode(CODECS[key], SAMPLES[key]["full"]) == SAMPLES[key]["full"]


@pytest.mark.parametrize("key", RECORDS)
def test_sample_with_required_fields_only_gets_the_same_defaults(key):
    assert reencode(CODECS[key], SAMPLES[key]["required"]) == SAMPLES[key]["required_encoded"]


@pytest.mark.parametrize("key", [*RECORDS, *ENCODED_ONLY])
def test_encoded_names_and_their_order_are_unchanged(key):
    message_type = CODECS[key].message_type if key in CODECS else ENCODED_ONLY[key]
    assert wire_names(message_type) == SAMPLES[key]["names"] + ADDED_NAMES.get(key, [])


def test_added_fields_are_encoded_behind_the_others_only_if_they_are_set():
    grant = RelayGrant(NodeName("n1"), FencingToken(5), 3.0)
    assert encode_peer(grant) == b'{"kind":"grant","node":"n1","token":5,"expires_s":3.0}'
    assert encode_peer(structs.replace(grant, newest_token=FencingToken(9))).endswith(b',"expires_s":3.0,"newest":9}')
    heartbeat = PeerHeartbeat(NodeName("n1"), True)
    assert encode_peer(heartbeat).endswith(b',"relay_room":null}')
    with_tokens = structs.replace(heartbeat, relays_raised_tokens=True, newest_token=FencingToken(9))
    assert encode_peer(with_tokens).endswith(b',"relay_room":null,"raised":true,"newest":9}')


@pytest.mark.parametrize("key", RECORDS)
def test_full_sample_sets_every_field_to_a_value_other_than_its_default(key):
    sample = SAMPLES[key]
    full, required = json.loads(sample["full"]), json.loads(sample["required"])
    defaults = json.loads(sample["required_encoded"])
    if isinstance(full, list):
        full, required, defaults = (
            dict(zip(sample["names"], values, strict=False)) for values in (full, required, defaults)
        )
    assert set(full) - {"kind"} | {"kind"} & set(sample["names"]) == set(sample["names"])
    optional = [name for name in sample["names"] if name not in required]
    assert [name for name in optional if name in defaults and full[name] == defaults[name]] == []


def test_transaction_is_encoded_byte_for_byte():
    assert encode_store(make_transaction(SAMPLES)).decode() == SAMPLES["store.transaction"]["full"]


def test_stored_keys_values_and_tokens_are_unchanged():
    stored = json.loads((wire_constants.WIRE / "constants.json").read_text(encoding="utf-8"))
    assert wire_constants.collect_constants() == stored


def test_settings_files_are_read_as_before():
    stored = json.loads((wire_constants.WIRE / "settings.json").read_text(encoding="utf-8"))
    assert wire_constants.collect_settings() == stored


def test_operator_sample_sets_every_element_to_a_value_other_than_its_default():
    stored = json.loads((wire_constants.WIRE / "settings.json").read_text(encoding="utf-8"))
    operator, defaults = stored["operator.xml"], stored["operator defaults"]
    assert operator.keys() == defaults.keys()
    assert [name for name in operator if operator[name] == defaults[name]] == []


def test_snapshot_of_the_reference_commit_is_read():
    source, rejections = read_newest(str(wire_constants.SNAPSHOT))
    assert rejections == [] and source is not None
    entries = {key: json.loads(msgspec.json.encode(item)) for key, item in source.items.items()}
    assert entries == {
        "w/m-1": {"key": "w/m-1", "data": [2], "mark": 7, "tether": None},
        "e/wk-123456": {"key": "e/wk-123456", "data": {"s": "done", "n": 1}, "mark": 12, "tether": None},
    }


def test_snapshot_is_written_as_before(tmp_path):
    wire_constants.write_sample_snapshot(tmp_path)
    names = sorted(path.name for path in wire_constants.SNAPSHOT.iterdir())
    assert sorted(path.name for path in tmp_path.iterdir()) == names and len(names) == 4
    for name in names:
        expected, actual = ((folder / name).read_bytes() for folder in (wire_constants.SNAPSHOT, tmp_path))
        if name.endswith(DATA_SUFFIX):
            assert gzip.decompress(actual) == gzip.decompress(expected)
        else:
            assert name.endswith(MANIFEST_SUFFIX)
            lines = [
                [line for line in text.splitlines() if not line.strip().startswith(COMPRESSION_DEPENDENT)]
                for text in (actual.decode(), expected.decode())
            ]
            assert lines[0] == lines[1] and len(lines[0]) == 10


def frame_netstring(text: str) -> bytes:
    body = text.encode()
    return b"%d:%s," % (len(body), body)


class TcpTransport(StringTransport):
    """A StringTransport with the TCP option that the peer link sets."""

    def setTcpNoDelay(self, on):
        """Does nothing: the transport has no socket."""


@pytest.mark.parametrize(
    ("request_key", "response"),
    [
        ("leadership.progress_question", '{"kind":"progress","number":1001,"counts":{},"ends":{}}'),
        ("replica.handover_question", '{"kind":"handover","number":1001,"hold":null,"life":""}'),
    ],
)
def test_peer_link_frames_messages_as_netstrings(request_key, response):
    reactor = MemoryReactorClock()
    link = connect_quiet_node(PeerLink(reactor, []))
    link.start(reactor, "127.0.0.1:1")
    factory: Any = reactor.tcpServers[0][1]
    protocol = factory.buildProtocol(None)
    transport = TcpTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(frame_netstring(SAMPLES[request_key]["full"]))
    assert transport.value() == frame_netstring(response)
