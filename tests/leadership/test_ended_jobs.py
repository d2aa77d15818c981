"""What a term knows of jobs that are over."""

from __future__ import annotations

from types import SimpleNamespace

from meadowcross.common.types import Instant, JobId, Revision
from meadowcross.leadership.ended_jobs import EndedJobs, UnconfirmedEnd

SEEN, STORED, OPEN = JobId("wk-000001"), JobId("wk-000002"), JobId("wk-000003")


def test_a_job_has_ended_by_what_was_seen_or_by_the_replica():
    replica = {"e/wk-000002": object()}
    ended = EndedJobs(SimpleNamespace(get=replica.get))
    ended.add(SEEN)
    assert [ended.has_ended(job) for job in (SEEN, STORED, OPEN)] == [True, True, False]
    assert [ended.is_known(job) for job in (SEEN, STORED, OPEN)] == [True, False, False]


def test_a_confirmed_end_stays_known():
    ended = EndedJobs(None)
    ended.add_unconfirmed(SEEN, Revision(7), Instant(3.0))
    assert ended.unconfirmed == {SEEN: UnconfirmedEnd(Revision(7), Instant(3.0))}
    ended.confirm(SEEN)
    ended.confirm(OPEN)
    assert ended.unconfirmed == {} and ended.has_ended(SEEN) and not ended.has_ended(OPEN)
