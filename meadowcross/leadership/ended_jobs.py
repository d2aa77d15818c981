"""Tracks which jobs have ended."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.types import Instant, JobId, Revision
from meadowcross.jobs import messages as job_messages
from meadowcross.replication.follower import ReplicaFollower


class UnconfirmedEnd(NamedTuple):
    """The end of a cancelled job without a record, stored while machines may still have tasks of the job."""

    revision: Revision
    """The revision of the stored end."""
    known_since: Instant


class EndedJobs:
    """Determines whether a job has ended, from the store's replica and from the ends that this term has processed."""

    def __init__(self, follower: ReplicaFollower | None) -> None:
        self._follower = follower
        self._known_ended: set[JobId] = set()
        """Jobs that have ended although the replica may not show it yet."""
        self.unconfirmed: dict[JobId, UnconfirmedEnd] = {}

    def add(self, job_id: JobId) -> None:
        """Record that the job has ended."""
        self._known_ended.add(job_id)

    def add_unconfirmed(self, job_id: JobId, revision: Revision, now: Instant) -> None:
        """Record that the job has ended, and that machines may still have tasks of it."""
        self._known_ended.add(job_id)
        self.unconfirmed[job_id] = UnconfirmedEnd(revision, now)

    def confirm(self, job_id: JobId) -> None:
        """Record that the job's end is stored as final. Does nothing for other jobs."""
        self.unconfirmed.pop(job_id, None)

    def has_processed_end(self, job_id: JobId) -> bool:
        """Whether this term has processed the job's end. Cheaper than `has_ended`: it does not read the replica."""
        return job_id in self._known_ended

    def has_ended(self, job_id: JobId) -> bool:
        """Whether the job has ended, according to this term or the replica."""
        return job_id in self._known_ended or self._has_end_record(job_id)

    def _has_end_record(self, job_id: JobId) -> bool:
        return self._follower is not None and self._follower.get(job_messages.ended_key(job_id)) is not None
