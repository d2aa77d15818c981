"""Jobs that a term knows to be over."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.types import Instant, JobId, Revision
from meadowcross.jobs import messages as job_messages
from meadowcross.replication.follower import ReplicaFollower


class UnconfirmedEnd(NamedTuple):
    """A job that only machines knew was cancelled; its stored end does not yet say that none of its tasks is left."""

    revision: Revision
    """Of the stored end."""
    known_since: Instant


class EndedJobs:
    """Tells whether a job is over, by the replica of the store and by what this term has seen itself."""

    def __init__(self, follower: ReplicaFollower | None) -> None:
        self._follower = follower
        self._known_ended: set[JobId] = set()
        """Jobs that are over although the replica may not say so."""
        self.unconfirmed: dict[JobId, UnconfirmedEnd] = {}

    def add(self, job_id: JobId) -> None:
        """Remember that the job is over."""
        self._known_ended.add(job_id)

    def add_unconfirmed(self, job_id: JobId, revision: Revision, now: Instant) -> None:
        """Remember that the job is over, and that its tasks may still be on machines."""
        self._known_ended.add(job_id)
        self.unconfirmed[job_id] = UnconfirmedEnd(revision, now)

    def confirm(self, job_id: JobId) -> None:
        """Its end is stored as final."""
        self.unconfirmed.pop(job_id, None)

    def is_known(self, job_id: JobId) -> bool:
        """Whether this term has seen the end itself. Cheaper than `has_ended`: asks no replica."""
        return job_id in self._known_ended

    def has_ended(self, job_id: JobId) -> bool:
        """Whether the job is over, as far as is known here."""
        return job_id in self._known_ended or self._has_end_record(job_id)

    def _has_end_record(self, job_id: JobId) -> bool:
        return self._follower is not None and self._follower.get(job_messages.ended_key(job_id)) is not None
