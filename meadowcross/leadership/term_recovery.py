"""Connects a leader term to the recovery of a store that lost data."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.types import FencingToken, Revision
from meadowcross.jobs.job_table import JobTable
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.recovery.writeback import WriteBack
from meadowcross.store.group_commit import GroupCommitter


class TermRecovery:
    """Reports data loss, and runs the write-back of a term that began on a store with lost data.

    `recovery` is None on a controller that takes no part in recovery: data loss is then ignored."""

    def __init__(self, recovery: StateRecovery | None) -> None:
        self._recovery = recovery
        self._write_back: WriteBack | None = None

    @property
    def collector(self) -> StateRecovery | None:
        """The recovery, which collects the state that controllers still hold; None if this controller takes no part."""
        return self._recovery

    @property
    def store_epochs(self) -> StoreEpochs | None:
        """The epochs of the store; None if this controller takes no part in recovery."""
        return self._recovery.store_epochs if self._recovery is not None else None

    @property
    def is_writing_back(self) -> bool:
        """Whether this term began with recovered state; stays true after all of it is stored again."""
        return self._write_back is not None

    def is_unsettled(self) -> bool:
        """Whether tasks without a record may still belong to an accepted job whose record was lost."""
        return self._recovery is not None and self._recovery.is_unsettled()

    def observe_token(self, token: FencingToken) -> None:
        """Record a token that a worker has shown; see `StoreEpochs.observe_token`."""
        if self._recovery is not None:
            self._recovery.store_epochs.observe_token(token)

    def report_data_loss(self, reason: str, is_loss_before_replica: bool = False) -> None:
        """Report proof that the store lost data: a key with a lower revision, though revisions only grow, or an open
        job that is gone, though only a leader deletes open jobs. `is_loss_before_replica` as in
        `StoreEpochs.report_loss`."""
        if self._recovery is not None:
            self._recovery.store_epochs.report_loss(reason, is_loss_before_replica)

    def begin_write_back(
        self,
        clock: Clock,
        merged: MergedState,
        job_table: JobTable,
        committer: GroupCommitter,
        on_open_jobs_stored: Callable[[], None],
        on_late_job: Callable[[str, Raw, Revision], None],
    ) -> None:
        """Begin to store the state that the recovery collected. The callbacks are those of `WriteBack`."""
        assert self._recovery is not None
        self._write_back = WriteBack(
            clock,
            merged,
            job_table,
            committer,
            self._recovery,
            on_open_jobs_stored,
            on_late_job,
        )
        self._write_back.begin()

    def on_stored(self, key: str) -> None:
        """Record that the key is in the store, or was deleted from it."""
        if self._write_back is not None:
            self._write_back.on_stored(key)

    def stop(self) -> None:
        """Stop the write-back; the next leader continues it."""
        if self._write_back is not None:
            self._write_back.stop()
