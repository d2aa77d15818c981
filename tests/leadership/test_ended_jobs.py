"""Which jobs count as ended in a term."""

from __future__ import annotations

from types import SimpleNamespace

from meadowcross.common.types import Instant, JobId, Revision
from meadowcross.leadership.ended_jobs import EndedJobs, UnconfirmedEnd

PROCESSED, STORED, OPEN = JobId("wk-000001"), JobId("wk-000002"), JobId("wk-000003")


def test_job_has_ended_according_to_the_term_or_the_replica():
    replica = {"e/wk-000002": object()}
    ended_jobs = EndedJobs(SimpleNamespace(get=replica.get))
    ended_jobs.add(PROCESSED)
    assert [ended_jobs.has_ended(job) for job in (PROCESSED, STORED, OPEN)] == [True, True, False]
    assert [ended_jobs.has_processed_end(job) for job in (PROCESSED, STORED, OPEN)] == [True, False, False]


def test_job_with_a_confirmed_end_still_counts_as_ended():
    ended_jobs = EndedJobs(None)
    ended_jobs.add_unconfirmed(PROCESSED, Revision(7), Instant(3.0))
    assert ended_jobs.unconfirmed == {PROCESSED: UnconfirmedEnd(Revision(7), Instant(3.0))}
    ended_jobs.confirm(PROCESSED)
    ended_jobs.confirm(OPEN)
    assert ended_jobs.unconfirmed == {} and ended_jobs.has_ended(PROCESSED) and not ended_jobs.has_ended(OPEN)
