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
from msgspec import Raw, Struct, field

from meadowcross.common.types import NodeName, Revision
from meadowcross.recovery.merge import RecoverySource
from meadowcross.store.messages import Item

FORMAT_VERSION = 1
MANIFEST_KIND = "meadowcross snapshot"
MANIFEST_SUFFIX = ".manifest"
DATA_SUFFIX = ".data.gz"


class Manifest(Struct):
    """What a data file is. `after`: only the changes since that revision; 0: everything."""

    kind: str
    format: int
    epoch: int = field(name="era")
    revision: Revision
    base_revision: Revision = field(name="after")
    key_count: int = field(name="keys")
    size_bytes: int = field(name="size")
    sha256: str
    node: NodeName
    written_at: float = field(name="at")
    """Time of day, in seconds, for people and for the bound on age."""


class SnapshotEntry(Struct, array_like=True):
    """One key, with its version and value, or that it was dropped."""

    key: str
    revision: Revision = field(name="mark")
    value: Raw = Raw(b"null")
    is_dropped: bool = field(name="dropped", default=False)


class UnusableSnapshotError(Exception):
    """Why a snapshot can't be used."""


@dataclass(slots=True)
class SnapshotInfo:
    """A snapshot in a directory, usable or not."""

    name: str
    manifest: Manifest | None
    defect: str | None


def snapshot_name(epoch: int, revision: int, base_revision: int) -> str:
    kind = "full" if base_revision == 0 else f"changes-{base_revision:012d}"
    return f"{epoch:06d}-{revision:012d}-{kind}"


def write_snapshot(directory: str, manifest: Manifest, entries: Iterable[SnapshotEntry], max_bytes: int) -> Manifest:
    """Raises OSError, also where it would take more than `most_bytes`; nothing half written stays behind."""
    name = snapshot_name(manifest.epoch, manifest.revision, manifest.base_revision)
    encode = msgspec.json.Encoder().encode
    content = gzip.compress(b"".join(encode(entry) + b"\n" for entry in entries), 5, mtime=0)
    if len(content) > max_bytes:
        raise OSError(f"{name}: {len(content)} bytes, at most {max_bytes} are allowed")
    manifest.size_bytes, manifest.sha256 = len(content), hashlib.sha256(content).hexdigest()
    _write_durably(directory, name + DATA_SUFFIX, content)
    _write_durably(
        directory, name + MANIFEST_SUFFIX, msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n"
    )
    return manifest


def _write_durably(directory: str, file_name: str, content: bytes) -> None:
    path = os.path.join(directory, file_name)
    temporary_path = f"{path}.{os.getpid()}.tmp"
    try:
        with open(temporary_path, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
    except OSError:
        if os.path.exists(temporary_path):
            os.unlink(temporary_path)
        raise
    directory_fd = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(directory_fd)
    finally:
        os.close(directory_fd)


def list_snapshots(directory: str) -> list[SnapshotInfo]:
    """All snapshots there, newest first, judged by their manifests and lengths alone."""
    names = sorted((name for name in os.listdir(directory) if name.endswith(MANIFEST_SUFFIX)), reverse=True)
    return [_inspect(directory, name.removesuffix(MANIFEST_SUFFIX)) for name in names]


def _inspect(directory: str, name: str) -> SnapshotInfo:
    try:
        with open(os.path.join(directory, name + MANIFEST_SUFFIX), "rb") as file:
            manifest = msgspec.json.decode(file.read(), type=Manifest)
    except OSError as error:
        return SnapshotInfo(name, None, f"can't be read: {error.strerror}")
    except msgspec.DecodeError as error:
        return SnapshotInfo(name, None, f"its manifest is broken: {error}")
    if manifest.kind != MANIFEST_KIND:
        return SnapshotInfo(name, manifest, "foreign: not a snapshot of ours")
    if manifest.format > FORMAT_VERSION:
        return SnapshotInfo(name, manifest, f"of a newer format {manifest.format}, this version reads {FORMAT_VERSION}")
    if name != snapshot_name(manifest.epoch, manifest.revision, manifest.base_revision):
        return SnapshotInfo(name, manifest, "its manifest is another's")
    try:
        size = os.stat(os.path.join(directory, name + DATA_SUFFIX)).st_size
    except OSError:
        return SnapshotInfo(name, manifest, "its data are gone")
    defect = None if size == manifest.size_bytes else f"torn: {size} of {manifest.size_bytes} bytes"
    return SnapshotInfo(name, manifest, defect)


def read_entries(directory: str, snapshot: SnapshotInfo) -> Iterator[SnapshotEntry]:
    """Raises Unusable."""
    if snapshot.defect is not None or snapshot.manifest is None:
        raise UnusableSnapshotError(f"{snapshot.name}: {snapshot.defect}")
    try:
        with open(os.path.join(directory, snapshot.name + DATA_SUFFIX), "rb") as file:
            content = file.read()
    except OSError as error:
        raise UnusableSnapshotError(f"{snapshot.name}: can't be read: {error.strerror}") from error
    if hashlib.sha256(content).hexdigest() != snapshot.manifest.sha256:
        raise UnusableSnapshotError(f"{snapshot.name}: broken: its checksum is another")
    decode = msgspec.json.Decoder(SnapshotEntry).decode
    try:
        for line in gzip.decompress(content).splitlines():
            yield decode(line)
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise UnusableSnapshotError(f"{snapshot.name}: broken: {error}") from error


class ReadResult(NamedTuple):
    """What a directory gives: the newest state that holds, and what could not be used on the way."""

    source: RecoverySource | None
    rejections: list[str]


def read_newest(directory: str) -> ReadResult:
    """The newest full snapshot that holds, with all changes after it that hold in a row."""
    rejections: list[str] = []
    try:
        snapshots = list_snapshots(directory)
    except OSError as error:
        return ReadResult(None, [f"{directory}: can't be read: {error.strerror}"])
    rejections += [f"{snapshot.name}: {snapshot.defect}" for snapshot in snapshots if snapshot.defect is not None]
    usable = [snapshot for snapshot in snapshots if snapshot.defect is None]
    for full in usable:
        if full.manifest is None or full.manifest.base_revision:
            continue
        items: dict[str, Item] = {}
        try:
            _apply_entries(items, read_entries(directory, full))
        except UnusableSnapshotError as error:
            rejections.append(str(error))
            continue
        epoch, revision = full.manifest.epoch, full.manifest.revision
        for change in reversed(usable):
            if change.manifest is None or (change.manifest.epoch, change.manifest.base_revision) != (epoch, revision):
                continue
            previous_items = dict(items)
            try:
                _apply_entries(items, read_entries(directory, change))
            except UnusableSnapshotError as error:
                # What comes after it builds on it.
                rejections.append(str(error))
                items = previous_items
                break
            revision = change.manifest.revision
        return ReadResult(RecoverySource(NodeName(f"snapshot {full.name}"), epoch, revision, False, items), rejections)
    return ReadResult(None, rejections)


def _apply_entries(items: dict[str, Item], entries: Iterable[SnapshotEntry]) -> None:
    for entry in entries:
        if entry.is_dropped:
            items.pop(entry.key, None)
        else:
            items[entry.key] = Item(entry.key, Raw(bytes(entry.value)), entry.revision)


def remove_old_snapshots(directory: str, keep_count: int, oldest_at: float) -> int:
    """Drop whole chains beyond the newest `keep` full snapshots, and those written before `oldest`; the newest
    that holds always stays. Returns how many snapshots went."""
    snapshots = list_snapshots(directory)
    full_snapshots = [
        snapshot
        for snapshot in snapshots
        if snapshot.manifest is not None and snapshot.manifest.base_revision == 0 and snapshot.defect is None
    ]
    removed_count = 0
    last_kept = 0
    for number, full in enumerate(full_snapshots):
        if number == 0 or (number < keep_count and full.manifest is not None and full.manifest.written_at >= oldest_at):
            last_kept = number
    for snapshot in snapshots:
        # Whatever is older than the last full snapshot that stays belongs to chains that go.
        if full_snapshots and snapshot.name < full_snapshots[last_kept].name:
            for suffix in (MANIFEST_SUFFIX, DATA_SUFFIX):
                try:
                    os.unlink(os.path.join(directory, snapshot.name + suffix))
                except FileNotFoundError:
                    continue
            removed_count += 1
    return removed_count
