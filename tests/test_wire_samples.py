"""What is on the wire, in the store and in files stays as it was at commit e82f744, byte for byte."""

from __future__ import annotations

import gzip
import importlib
import json
import pkgutil
from typing import Any

import msgspec
import pytest
from msgspec import Struct
from twisted.internet.testing import MemoryReactorClock, StringTransport

import meadowcross
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.snapshots.files import DATA_SUFFIX, MANIFEST_SUFFIX, read_newest
from meadowcross.store.messages import encode as encode_store
from tests.support import wire_constants
from tests.support.peers import connect_quiet_node
from tests.support.wire_samples import (
    CODECS,
    ENCODED_ONLY,
    encode_again,
    make_transaction,
    read_samples,
    wire_names,
)

SAMPLES = read_samples()
RECORDS = [key for key, codec in CODECS.items() if wire_names(codec.message_type)]
COMPRESSION_DEPENDENT = ('"size"', '"sha256"')
"""Of a manifest: they follow the compressing library."""


def test_every_sample_has_a_message_and_every_message_a_sample():
    assert SAMPLES.keys() == CODECS.keys() | ENCODED_ONLY.keys()
    sampled = {codec.message_type for codec in CODECS.values() if wire_names(codec.message_type)}
    sampled |= set(ENCODED_ONLY.values())
    modules = [module.name for module in pkgutil.walk_packages(meadowcross.__path__, "meadowcross.")]
    messages = [name for name in modules if name.endswith(".messages")]
    assert len(messages) == 9
    defined = {
        found
        for name in messages
        for found in vars(importlib.import_module(name)).values()
        if isinstance(found, type) and issubclass(found, Struct) and found.__module__ == name
    }
    assert defined and not defined - sampled


@pytest.mark.parametrize("key", CODECS)
def test_full_sample_is_read_and_written_again_byte_for_byte(key):
    assert encode_again(CODECS[key], SAMPLES[key]["full"]) == SAMPLES[key]["full"]


@pytest.mark.parametrize("key", RECORDS)
def test_sample_with_required_fields_only_gets_the_same_defaults(key):
    assert encode_again(CODECS[key], SAMPLES[key]["required"]) == SAMPLES[key]["required_encoded"]


@pytest.mark.parametrize("key", [*RECORDS, *ENCODED_ONLY])
def test_names_on_the_wire_and_their_order(key):
    message_type = CODECS[key].message_type if key in CODECS else ENCODED_ONLY[key]
    assert wire_names(message_type) == SAMPLES[key]["names"]


@pytest.mark.parametrize("key", RECORDS)
def test_full_sample_sets_every_field_to_what_is_not_its_default(key):
    sample = SAMPLES[key]
    full, required = json.loads(sample["full"]), json.loads(sample["required"])
    defaults = json.loads(sample["required_encoded"])
    if isinstance(full, list):
        full, required, defaults = (dict(zip(sample["names"], one, strict=False)) for one in (full, required, defaults))
    assert set(full) - {"kind"} | {"kind"} & set(sample["names"]) == set(sample["names"])
    optional = [name for name in sample["names"] if name not in required]
    assert [name for name in optional if name in defaults and full[name] == defaults[name]] == []


def test_transaction_is_written_byte_for_byte():
    assert encode_store(make_transaction(SAMPLES)).decode() == SAMPLES["store.transaction"]["full"]


def test_stored_keys_values_and_tokens():
    stored = json.loads((wire_constants.WIRE / "constants.json").read_text(encoding="utf-8"))
    assert wire_constants.constants() == stored


def test_settings_files_are_read_as_before():
    stored = json.loads((wire_constants.WIRE / "settings.json").read_text(encoding="utf-8"))
    assert wire_constants.settings() == stored


def test_operator_sample_sets_every_element_to_what_is_not_its_default():
    stored = json.loads((wire_constants.WIRE / "settings.json").read_text(encoding="utf-8"))
    operator, defaults = stored["operator.xml"], stored["operator defaults"]
    assert operator.keys() == defaults.keys()
    assert [name for name in operator if operator[name] == defaults[name]] == []


def test_snapshot_of_before_is_read():
    source, refused = read_newest(str(wire_constants.SNAPSHOT))
    assert refused == [] and source is not None
    written = {key: json.loads(msgspec.json.encode(item)) for key, item in source.items.items()}
    assert written == {
        "w/m-1": {"key": "w/m-1", "data": [2], "mark": 7, "tether": None},
        "e/wk-123456": {"key": "e/wk-123456", "data": {"s": "done", "n": 1}, "mark": 12, "tether": None},
    }


def test_snapshot_is_written_as_before(tmp_path):
    wire_constants.write_sample_snapshot(tmp_path)
    names = sorted(path.name for path in wire_constants.SNAPSHOT.iterdir())
    assert sorted(path.name for path in tmp_path.iterdir()) == names and len(names) == 4
    for name in names:
        then, now = ((folder / name).read_bytes() for folder in (wire_constants.SNAPSHOT, tmp_path))
        if name.endswith(DATA_SUFFIX):
            assert gzip.decompress(now) == gzip.decompress(then)
        else:
            assert name.endswith(MANIFEST_SUFFIX)
            lines = [
                [line for line in text.splitlines() if not line.strip().startswith(COMPRESSION_DEPENDENT)]
                for text in (now.decode(), then.decode())
            ]
            assert lines[0] == lines[1] and len(lines[0]) == 10


def framed(text: str) -> bytes:
    body = text.encode()
    return b"%d:%s," % (len(body), body)


class TcpTransport(StringTransport):
    def setTcpNoDelay(self, on):
        """Nothing to set."""


@pytest.mark.parametrize(
    ("question", "answer"),
    [
        ("leadership.progress_question", '{"kind":"progress","number":1001,"counts":{},"ends":{}}'),
        ("replica.handover_question", '{"kind":"handover","number":1001,"hold":null,"life":""}'),
    ],
)
def test_peer_link_frames_messages_as_netstrings(question, answer):
    reactor = MemoryReactorClock()
    link = connect_quiet_node(PeerLink(reactor, []))
    link.start(reactor, "127.0.0.1:1")
    factory: Any = reactor.tcpServers[0][1]
    line = factory.buildProtocol(None)
    transport = TcpTransport()
    line.makeConnection(transport)
    line.dataReceived(framed(SAMPLES[question]["full"]))
    assert transport.value() == framed(answer)
