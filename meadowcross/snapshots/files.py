"""Snapshot files: a full snapshot and the changes after it, each a data file with a manifest that is written last.

A data file holds one JSON line per key, compressed with gzip; its manifest holds its kind, length and SHA-256. Both are
written under a temporary name, flushed to the disk and renamed, so a manifest exists only if its data file is whole. A
reader reports an unusable snapshot with the reason and uses the previous one instead.
"""

from __future__ import annotations

import gzip
import hashlib
import os
from collections.abc import Iterable, Iterator, Sequence
from contextlib import suppress
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
COMPRESSION_LEVEL = 5


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """Origin of a snapshot: the node, the time, and the range of revisions."""

    epoch: int
    revision: Revision
    base_revision: Revision
    """The snapshot holds the changes after this revision; 0: a full snapshot."""
    node: NodeName
    written_at: float
    """Seconds of the time of day."""


class Manifest(Struct):
    """Description of a data file, stored in a file beside it."""

    kind: str
    format: int
    epoch: int = field(name="era")
    revision: Revision
    base_revision: Revision = field(name="after")
    """The data file holds the changes after this revision; 0: a full snapshot."""
    key_count: int = field(name="keys")
    size_bytes: int = field(name="size")
    sha256: str
    node: NodeName
    written_at: float = field(name="at")
    """Seconds of the time of day, shown to operators and compared with the maximum age."""

    @property
    def is_full(self) -> bool:
        """Whether the snapshot holds all keys, not only changes."""
        return self.base_revision == 0


class SnapshotEntry(Struct, array_like=True):
    """One key with its revision and value, or the deletion of a key."""

    key: str
    revision: Revision = field(name="mark")
    value: Raw = Raw(b"null")
    is_deleted: bool = field(name="dropped", default=False)


class UnusableSnapshotError(Exception):
    """A snapshot can't be used. The message has the snapshot's name and the reason."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")


class SnapshotTooLargeError(OSError):
    """The compressed data of a snapshot would exceed the limit; nothing is written."""

    def __init__(self, name: str, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{name}: {size_bytes} bytes, at most {max_bytes} are allowed")


class SnapshotInfo(NamedTuple):
    """A snapshot in a directory, usable or not."""

    name: str
    manifest: Manifest | None
    """None if the manifest could not be read."""
    defect: str | None
    """Why the snapshot can't be used; None if its manifest and length are correct."""


class UsableSnapshot(NamedTuple):
    """A snapshot whose manifest and length are correct; its content is not checked yet."""

    name: str
    manifest: Manifest


class ReadResult(NamedTuple):
    """The newest usable state in a directory, and the reasons why snapshots were rejected."""

    source: RecoverySource | None
    """None if the directory has no usable full snapshot."""
    rejections: list[str]


def snapshot_name(epoch: int, revision: int, base_revision: int) -> str:
    """Return the name of a snapshot's files without suffix. Names sort by epoch and revision."""
    kind = "full" if base_revision == 0 else f"changes-{base_revision:012d}"
    return f"{epoch:06d}-{revision:012d}-{kind}"


def write_snapshot(
    directory: str, header: SnapshotHeader, entries: Sequence[SnapshotEntry], max_bytes: int
) -> Manifest:
    """Write the data file, then its manifest, and return the manifest.

    Raises OSError, or its subclass SnapshotTooLargeError if the compressed data exceeds `max_bytes`. No partial file
    remains.
    """
    name = snapshot_name(header.epoch, header.revision, header.base_revision)
    content = _compress(entries)
    if len(content) > max_bytes:
        raise SnapshotTooLargeError(name, len(content), max_bytes)
    manifest = Manifest(
        kind=MANIFEST_KIND,
        format=FORMAT_VERSION,
        epoch=header.epoch,
        revision=header.revision,
        base_revision=header.base_revision,
        key_count=len(entries),
        size_bytes=len(content),
        sha256=hashlib.sha256(content).hexdigest(),
        node=header.node,
        written_at=header.written_at,
    )
    _write_durably(directory, name + DATA_SUFFIX, content)
    manifest_text = msgspec.json.format(msgspec.json.encode(manifest), indent=1)
    _write_durably(directory, name + MANIFEST_SUFFIX, manifest_text + b"\n")
    return manifest


def _compress(entries: Iterable[SnapshotEntry]) -> bytes:
    encode = msgspec.json.Encoder().encode
    lines = b"".join(encode(entry) + b"\n" for entry in entries)
    # mtime=0 leaves the time out of the gzip header, so that equal entries give equal files.
    return gzip.compress(lines, COMPRESSION_LEVEL, mtime=0)


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
    """Return all snapshots in a directory, newest first, with the defects of their manifests and lengths.

    The content of the data files is not read. Raises OSError.
    """
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
    return SnapshotInfo(name, manifest, _find_defect(directory, name, manifest))


def _find_defect(directory: str, name: str, manifest: Manifest) -> str | None:
    if manifest.kind != MANIFEST_KIND:
        return "foreign: not a snapshot of ours"
    if manifest.format > FORMAT_VERSION:
        return f"of a newer format {manifest.format}, this version reads {FORMAT_VERSION}"
    if name != snapshot_name(manifest.epoch, manifest.revision, manifest.base_revision):
        return "its manifest is another's"
    try:
        size_bytes = os.stat(os.path.join(directory, name + DATA_SUFFIX)).st_size
    except OSError:
        return "its data are gone"
    if size_bytes != manifest.size_bytes:
        return f"torn: {size_bytes} of {manifest.size_bytes} bytes"
    return None


def _select_usable(snapshots: Iterable[SnapshotInfo]) -> list[UsableSnapshot]:
    return [
        UsableSnapshot(snapshot.name, snapshot.manifest)
        for snapshot in snapshots
        if snapshot.defect is None and snapshot.manifest is not None
    ]


def read_entries(directory: str, snapshot: UsableSnapshot) -> Iterator[SnapshotEntry]:
    """Yield all entries of a snapshot. Raises UnusableSnapshotError, possibly after some entries were yielded."""
    try:
        with open(os.path.join(directory, snapshot.name + DATA_SUFFIX), "rb") as file:
            content = file.read()
    except OSError as error:
        raise UnusableSnapshotError(snapshot.name, f"can't be read: {error.strerror}") from error
    if hashlib.sha256(content).hexdigest() != snapshot.manifest.sha256:
        raise UnusableSnapshotError(snapshot.name, "broken: its checksum is another")
    decode = msgspec.json.Decoder(SnapshotEntry).decode
    try:
        for line in gzip.decompress(content).splitlines():
            yield decode(line)
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise UnusableSnapshotError(snapshot.name, f"broken: {error}") from error


def read_newest(directory: str) -> ReadResult:
    """Read the newest usable full snapshot and the unbroken chain of changes after it."""
    try:
        snapshots = list_snapshots(directory)
    except OSError as error:
        return ReadResult(None, [f"{directory}: can't be read: {error.strerror}"])
    rejections = [f"{snapshot.name}: {snapshot.defect}" for snapshot in snapshots if snapshot.defect is not None]
    usable = _select_usable(snapshots)
    for full in usable:
        if not full.manifest.is_full:
            continue
        items: dict[str, Item] = {}
        try:
            _apply_entries(items, read_entries(directory, full))
        except UnusableSnapshotError as error:
            rejections.append(str(error))
            continue
        revision = _apply_changes(directory, full, usable, items, rejections)
        name = NodeName(f"snapshot {full.name}")
        return ReadResult(RecoverySource(name, full.manifest.epoch, revision, False, items), rejections)
    return ReadResult(None, rejections)


def _apply_changes(
    directory: str,
    full: UsableSnapshot,
    usable: Sequence[UsableSnapshot],
    items: dict[str, Item],
    rejections: list[str],
) -> Revision:
    """Apply the changes after a full snapshot to `items`, up to the first change that can't be read.

    Returns the revision of the items after the last change applied.
    """
    epoch, revision = full.manifest.epoch, full.manifest.revision
    for change in reversed(usable):
        if (change.manifest.epoch, change.manifest.base_revision) != (epoch, revision):
            continue
        try:
            # All entries are read before the first one is applied, so that a broken file changes nothing.
            entries = list(read_entries(directory, change))
        except UnusableSnapshotError as error:
            # Later changes build on this one, so the chain ends here.
            rejections.append(str(error))
            break
        _apply_entries(items, entries)
        revision = change.manifest.revision
    return revision


def _apply_entries(items: dict[str, Item], entries: Iterable[SnapshotEntry]) -> None:
    for entry in entries:
        if entry.is_deleted:
            items.pop(entry.key, None)
        else:
            items[entry.key] = Item(entry.key, Raw(bytes(entry.value)), entry.revision)


def remove_old_snapshots(directory: str, keep_count: int, oldest_at: float) -> int:
    """Remove each chain beyond the newest `keep_count` ones, and each whose full snapshot is older than `oldest_at`.

    The newest usable full snapshot always stays. Returns the number of snapshots removed. Raises OSError.
    """
    snapshots = list_snapshots(directory)
    full_snapshots = [snapshot for snapshot in _select_usable(snapshots) if snapshot.manifest.is_full]
    kept = [
        full.name
        for number, full in enumerate(full_snapshots)
        if number == 0 or (number < keep_count and full.manifest.written_at >= oldest_at)
    ]
    if not kept:
        return 0
    # All snapshots older than the oldest full snapshot that is kept belong to removed chains.
    outdated = [snapshot.name for snapshot in snapshots if snapshot.name < kept[-1]]
    for name in outdated:
        _remove(directory, name)
    return len(outdated)


def _remove(directory: str, name: str) -> None:
    for suffix in (MANIFEST_SUFFIX, DATA_SUFFIX):
        with suppress(FileNotFoundError):
            os.unlink(os.path.join(directory, name + suffix))
