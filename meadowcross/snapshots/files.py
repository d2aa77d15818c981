"""Snapshots as files: a full one, changes after it, each with a manifest that is written last.

A data file holds a JSON line a key, compressed; its manifest says what it is, how long, and its SHA-256. Both are
written beside their place, flushed to the disk and renamed into it, so a manifest that is there has all of its data.
What can't be used is told by the name of what is wrong with it, and the snapshot before it is taken.
"""

from __future__ import annotations

import gzip
import hashlib
import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from msgspec import Raw, Struct

from meadowcross.common.types import Mark, NodeName
from meadowcross.rebuild.merge import Source
from meadowcross.store.messages import Item

FORMAT = 1
KIND = "meadowcross snapshot"
MANIFEST = ".manifest"
DATA = ".data.gz"


class Manifest(Struct):
    """What a data file is. `after`: only the changes since that revision; 0: everything."""

    kind: str
    format: int
    era: int
    revision: Mark
    after: Mark
    keys: int
    size: int
    sha256: str
    node: NodeName
    at: float
    """Time of day, in seconds, for people and for the bound on age."""


class Line(Struct, array_like=True):
    """One key, with its version and value, or that it was dropped."""

    key: str
    mark: Mark
    value: Raw = Raw(b"null")
    dropped: bool = False


class Unusable(Exception):
    """Why a snapshot can't be used."""


@dataclass(slots=True)
class Found:
    """A snapshot in a directory, usable or not."""

    name: str
    manifest: Manifest | None
    wrong: str | None


def name_of(era: int, revision: int, after: int) -> str:
    kind = "full" if after == 0 else f"changes-{after:012d}"
    return f"{era:06d}-{revision:012d}-{kind}"


def write(directory: str, manifest: Manifest, lines: Iterable[Line], most_bytes: int) -> Manifest:
    """Raises OSError, also where it would take more than `most_bytes`; nothing half written stays behind."""
    name = name_of(manifest.era, manifest.revision, manifest.after)
    encode = msgspec.json.Encoder().encode
    content = gzip.compress(b"".join(encode(line) + b"\n" for line in lines), 5, mtime=0)
    if len(content) > most_bytes:
        raise OSError(f"{name}: {len(content)} bytes, at most {most_bytes} are allowed")
    manifest.size, manifest.sha256 = len(content), hashlib.sha256(content).hexdigest()
    _put(directory, name + DATA, content)
    _put(directory, name + MANIFEST, msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n")
    return manifest


def _put(directory: str, name: str, content: bytes) -> None:
    path = os.path.join(directory, name)
    beside = f"{path}.{os.getpid()}.tmp"
    try:
        with open(beside, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        if os.path.exists(beside):
            os.unlink(beside)
        raise
    folder = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def found(directory: str) -> list[Found]:
    """All snapshots there, newest first, judged by their manifests and lengths alone."""
    names = sorted((name for name in os.listdir(directory) if name.endswith(MANIFEST)), reverse=True)
    return [_look(directory, name.removesuffix(MANIFEST)) for name in names]


def _look(directory: str, name: str) -> Found:
    try:
        with open(os.path.join(directory, name + MANIFEST), "rb") as file:
            manifest = msgspec.json.decode(file.read(), type=Manifest)
    except OSError as error:
        return Found(name, None, f"can't be read: {error.strerror}")
    except msgspec.DecodeError as error:
        return Found(name, None, f"its manifest is broken: {error}")
    if manifest.kind != KIND:
        return Found(name, manifest, "foreign: not a snapshot of ours")
    if manifest.format > FORMAT:
        return Found(name, manifest, f"of a newer format {manifest.format}, this version reads {FORMAT}")
    if name != name_of(manifest.era, manifest.revision, manifest.after):
        return Found(name, manifest, "its manifest is another's")
    try:
        size = os.stat(os.path.join(directory, name + DATA)).st_size
    except OSError:
        return Found(name, manifest, "its data are gone")
    wrong = None if size == manifest.size else f"torn: {size} of {manifest.size} bytes"
    return Found(name, manifest, wrong)


def lines_of(directory: str, one: Found) -> Iterator[Line]:
    """Raises Unusable."""
    if one.wrong is not None or one.manifest is None:
        raise Unusable(f"{one.name}: {one.wrong}")
    try:
        with open(os.path.join(directory, one.name + DATA), "rb") as file:
            content = file.read()
    except OSError as error:
        raise Unusable(f"{one.name}: can't be read: {error.strerror}") from error
    if hashlib.sha256(content).hexdigest() != one.manifest.sha256:
        raise Unusable(f"{one.name}: broken: its checksum is another")
    decode = msgspec.json.Decoder(Line).decode
    try:
        for line in gzip.decompress(content).splitlines():
            yield decode(line)
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise Unusable(f"{one.name}: broken: {error}") from error


class Read(NamedTuple):
    """What a directory gives: the newest state that holds, and what could not be used on the way."""

    source: Source | None
    refused: list[str]


def read(directory: str) -> Read:
    """The newest full snapshot that holds, with all changes after it that hold in a row."""
    refused: list[str] = []
    try:
        there = found(directory)
    except OSError as error:
        return Read(None, [f"{directory}: can't be read: {error.strerror}"])
    refused += [f"{one.name}: {one.wrong}" for one in there if one.wrong is not None]
    usable = [one for one in there if one.wrong is None]
    for full in usable:
        if full.manifest is None or full.manifest.after:
            continue
        items: dict[str, Item] = {}
        try:
            _apply(items, lines_of(directory, full))
        except Unusable as error:
            refused.append(str(error))
            continue
        era, revision = full.manifest.era, full.manifest.revision
        for change in reversed(usable):
            if change.manifest is None or (change.manifest.era, change.manifest.after) != (era, revision):
                continue
            before = dict(items)
            try:
                _apply(items, lines_of(directory, change))
            except Unusable as error:
                # What comes after it builds on it.
                refused.append(str(error))
                items = before
                break
            revision = change.manifest.revision
        return Read(Source(NodeName(f"snapshot {full.name}"), era, revision, False, items), refused)
    return Read(None, refused)


def _apply(items: dict[str, Item], lines: Iterable[Line]) -> None:
    for line in lines:
        if line.dropped:
            items.pop(line.key, None)
        else:
            items[line.key] = Item(line.key, Raw(bytes(line.value)), line.mark)


def remove_old(directory: str, keep: int, oldest: float) -> int:
    """Drop whole chains beyond the newest `keep` full snapshots, and those written before `oldest`; the newest
    that holds always stays. Returns how many snapshots went."""
    there = found(directory)
    fulls = [one for one in there if one.manifest is not None and one.manifest.after == 0 and one.wrong is None]
    gone = 0
    last = 0
    for number, full in enumerate(fulls):
        if number == 0 or (number < keep and full.manifest is not None and full.manifest.at >= oldest):
            last = number
    for one in there:
        # Whatever is older than the last full snapshot that stays belongs to chains that go.
        if fulls and one.name < fulls[last].name:
            for ending in (MANIFEST, DATA):
                try:
                    os.unlink(os.path.join(directory, one.name + ending))
                except FileNotFoundError:
                    continue
            gone += 1
    return gone
