"""A term's access to the recovery of a store that has lost data."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.types import Revision
from meadowcross.jobs.job_table import JobTable
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.recovery.writeback import WriteBack
from meadowcross.store.group_commit import GroupCommitter


class TermRecovery:
    """Reports losses, and owns the write-back of a term that began on a store with lost data.

    `recovery` is None where a node does not take part in recovery: then nothing counts as lost."""

    def __init__(self, recovery: StateRecovery | None) -> None:
        self._recovery = recovery
        self._write_back: WriteBack | None = None

    @property
    def collector(self) -> StateRecovery | None:
        """What collects the state that nodes still know; None where this node takes no part in recovery."""
        return self._recovery

    @property
    def store_epochs(self) -> StoreEpochs | None:
        """The epochs of the store; None where this node takes no part in recovery."""
        return self._recovery.store_epochs if self._recovery is not None else None

    @property
    def is_writing_back(self) -> bool:
        """Whether this term began with recovered state, all of it stored again or not."""
        return self._write_back is not None

    def is_unsettled(self) -> bool:
        """Whether jobs may still turn up that no record tells of."""
        return self._recovery is not None and self._recovery.is_unsettled()

    def report_data_loss(self, reason: str, is_loss_older: bool = False) -> None:
        """Report proof that the store lost data: revisions only grow, and only a leader moves jobs away."""
        if self._recovery is not None:
            self._recovery.store_epochs.report_loss(reason, is_loss_older)

    def begin_write_back(
        self,
        clock: Clock,
        merged: MergedState,
        job_table: JobTable,
        committer: GroupCommitter,
        on_open_jobs_stored: Callable[[], None],
        on_late_job: Callable[[str, Raw, Revision], None],
    ) -> None:
        """Begin to store what the recovery collected. Callbacks as in `WriteBack`."""
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
        """The key is in the store, or was deleted from it."""
        if self._write_back is not None:
            self._write_back.on_stored(key)

    def stop(self) -> None:
        """End the write-back; the next leader goes on with it."""
        if self._write_back is not None:
            self._write_back.stop()
