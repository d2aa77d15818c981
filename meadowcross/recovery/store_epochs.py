"""Eras: whether the state service still holds what was stored in it.

A store that came back empty, or as it was minutes ago, answers like any other. What gives it away: the era's record
is gone or another; a revision lower than one seen before the question was sent; a version of a key of ours that went
back; a worker's token that the store's own count has not reached. Each of these is proof, and none is a matter of
time, so slow, late or missing answers raise no alarm.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Revision, Seconds, compose_token, store_epoch_of
from meadowcross.recovery.messages import (
    EPOCH_KEY,
    LEADER_KEY,
    RECOVERY_PROGRESS_KEY,
    RecoveryProgress,
    RecoveryStage,
    StoreEpochRecord,
)
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("rebuild")

POLL_INTERVAL_S: Seconds = 0.3
"""Between looks at the record, while something is the matter with it."""
RENTAL_AGE_MARGIN_S: Seconds = 5.0
"""Beyond this a machine's age is not explained by clocks, or by who rented what just now."""
STARTUP_POLL_INTERVAL_S: Seconds = 0.02
NEW_CLUSTER_KEYS = (EPOCH_KEY, LEADER_KEY, "types")
"""What a new cluster's nodes may store before anybody else does."""
decode_epoch_record = msgspec.json.Decoder(StoreEpochRecord).decode
decode_progress = msgspec.json.Decoder(RecoveryProgress).decode


class EpochState(Enum):
    UNKNOWN = "unknown"
    INTACT = "whole"
    LOST = "lost"
    RECOVERING = "rebuilding"


class StoreEpochs:
    """What this node knows of the store's era, and whether it may rely on the store."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        on_data_loss: Callable[[str], None],
        on_recovered: Callable[[], None],
        oldest_rental_age: Callable[[], Awaitable[Seconds | None]],
        minimum_position: Callable[[], tuple[int, int]] = lambda: (0, 0),
    ) -> None:
        """`oldest_rental` tells the age of the oldest machine that the cloud lists, 0 where it lists none, or None
        without an answer; `floor` the era and revision that the store is known to have reached, by a snapshot."""
        self._minimum_position = minimum_position
        self._on_recovered = on_recovered
        self._oldest_rental_age = oldest_rental_age
        self._epoch_began_at = 0.0
        self._clock = clock
        self._store = store
        self._on_data_loss = on_data_loss
        self.record: StoreEpochRecord | None = None
        self.record_revision = Revision(0)
        self.state = EpochState.UNKNOWN
        self.progress: RecoveryProgress | None = None
        self._progress_revision = Revision(0)
        self.loss_reason = ""
        self.highest_token = FencingToken(0)
        """The highest token seen anywhere: on workers, in peers' beats, in snapshots."""
        self.is_loss_older = False
        """The loss is older than anything that this node, or who told it, has followed."""
        self.is_new_cluster = False
        """We began the era on an empty store, and nothing has shown yet that there was none before."""
        self._is_check_due = False
        store.guard = self

    # For the store client

    def epoch_condition(self) -> sm.Condition | None:
        """What all writes and comparisons carry, so that none succeeds on a store of another era. Raises
        Unavailable where the store can't be relied on."""
        if self.state is EpochState.LOST:
            raise StoreUnavailableError(f"the state service has lost data: {self.loss_reason}")
        if self.record is None:
            raise StoreUnavailableError("the state service's era is not known yet")
        return sm.Condition(EPOCH_KEY, self.record_revision)

    def on_epoch_mismatch(self) -> None:
        """The condition failed: the record is gone, or another one."""
        self._is_check_due = True

    def on_revision_regressed(self, known: Revision, received: Revision) -> None:
        """A request sent after revision `seen` was seen was answered with a lower one."""
        self.report_loss(f"its revision went back from {known} to {received}")

    # What was noticed

    def report_loss(self, reason: str, is_loss_older: bool = False) -> None:
        """Proof that data was lost: hold still until a rebuild has a leader. `old`: before this node followed, so
        that what it knows is no more than the store has."""
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING):
            return
        self.state, self.loss_reason, self.is_loss_older = EpochState.LOST, reason, is_loss_older
        log.error("the state service has lost data: %s", reason)
        self._on_data_loss(reason)

    def is_lost(self) -> bool:
        return self.state is EpochState.LOST

    def observe_token(self, token: FencingToken) -> None:
        self.highest_token = max(self.highest_token, token)

    def on_loss_reported(self, epoch: int, node: str, is_loss_older: bool) -> None:
        """A peer has proof for the era that we are in."""
        if self.record is not None and self.record.number == epoch:
            self.report_loss(f"{node} has noticed it", is_loss_older)

    # What it is now

    async def run(self) -> None:
        while True:
            try:
                if self.state is not EpochState.INTACT or self._is_check_due:
                    await self.refresh()
                if self.is_new_cluster:
                    await self._verify_new_cluster()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("the era can't be read: %s", error)
            except Exception:
                log.exception("looking at the era failed")
            # Nobody is served before the record is known: another node may just have written it.
            await pause(self._clock, POLL_INTERVAL_S if self.record is not None else STARTUP_POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the record and compare it with what we know."""
        item = await self._store.get(EPOCH_KEY, RequestPriority.LEADERSHIP)
        self._is_check_due = False
        known_record = self.record
        if item is None:
            if known_record is None:
                await self._begin_first_epoch()
            else:
                self.report_loss("the era's record is gone")
            return
        record = decode_epoch_record(item.value)
        if known_record is not None and (
            record.number < known_record.number
            or (
                record.number == known_record.number
                and (record.unique_id, item.mod_revision) != (known_record.unique_id, self.record_revision)
            )
        ):
            self.report_loss(f"it tells of era {record.number}, ours is {known_record.number}")
            return
        is_new_epoch = known_record is None or record.number > known_record.number
        if not is_new_epoch and self.is_lost():
            # Lost within this era: only a new one ends that.
            return
        progress_item = await self._store.get(RECOVERY_PROGRESS_KEY, RequestPriority.LEADERSHIP)
        if self.record is not known_record or (not is_new_epoch and self.is_lost()):
            # Meanwhile we began an era ourselves, or a loss was noticed: what was read is from before.
            return
        if is_new_epoch:
            if known_record is not None:
                log.info("era %d follows era %d", record.number, known_record.number)
                self._store.begin_epoch(item.mod_revision)
            # Only now, with all that requests ask for: a node that was ready once refused its first submission.
            self.record, self.record_revision = record, item.mod_revision
        self.load_progress(progress_item)
        self.state = EpochState.INTACT if self.progress is None else EpochState.RECOVERING
        if known_record is None:
            await self._check_minimum_position(record.number)
        if not self.is_lost():
            self._notify_if_recovered()

    async def _check_minimum_position(self, epoch: int) -> None:
        """At our start: a snapshot of later than what the store holds proves a loss that nobody saw."""
        minimum = self._minimum_position()
        if minimum == (0, 0):
            return
        revision = (await self._store.list_page("", 1)).revision
        if (epoch, revision) < minimum:
            self.report_loss(
                f"a snapshot has era {minimum[0]}, revision {minimum[1]}; it is at {epoch}, {revision}", True
            )

    def _notify_if_recovered(self) -> None:
        """All that was known is back: pictures of before the loss are no longer needed."""
        if self.progress is None or self.progress.stage is RecoveryStage.SETTLING:
            self._on_recovered()

    async def _begin_first_epoch(self) -> None:
        """The first era: of a new cluster, or of one whose store was written by an earlier version."""
        record = StoreEpochRecord(0, uuid.uuid4().hex)
        try:
            self.record_revision = await self._store.transact_unguarded(
                [sm.Condition(EPOCH_KEY, Revision(0))],
                [sm.Put(EPOCH_KEY, sm.encode_raw(record))],
                RequestPriority.LEADERSHIP,
            )
        except ConflictError:
            return  # Another node's; the next look reads it.
        self.record, self.state = record, EpochState.INTACT
        # Users wait for a start: what else there is, is asked for only where this was not the first change of all.
        self.is_new_cluster = self.record_revision == 1 or all(
            item.key in NEW_CLUSTER_KEYS for item in (await self._store.list_page("", len(NEW_CLUSTER_KEYS) + 1)).items
        )
        self._epoch_began_at = self._clock.seconds()
        await self._check_minimum_position(0)
        log.info("era 0 begins on %s store", "an empty" if self.is_new_cluster else "an earlier version's")

    async def _verify_new_cluster(self) -> None:
        """An empty store is a new cluster's, or one that has lost everything while nobody watched: then the cloud
        lists machines that are older than our beginning."""
        oldest_age_s = await self._oldest_rental_age()
        if oldest_age_s is None:
            return
        if oldest_age_s > self._clock.seconds() - self._epoch_began_at + RENTAL_AGE_MARGIN_S:
            self.report_loss(f"it is empty, and the cloud lists a machine rented {oldest_age_s:.0f} s ago", True)
        self.is_new_cluster = False

    # For a leader

    def token_for_key(self, leader_revision: Revision) -> FencingToken | None:
        """The token of the leader whose key has this version; None where a new era must begin first."""
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING) or self.record is None:
            return None
        token = compose_token(self.record.number, leader_revision)
        return token if token > self.highest_token else None

    async def begin_epoch(
        self, leader_key: str, leader_revision: Revision, highest_peer_epoch: int
    ) -> FencingToken | None:
        """Begin a new era under our leader's key: its tokens are higher than any seen. None: not ours to begin,
        or nothing was lost. Raises what the store client raises."""
        item = await self._store.get(EPOCH_KEY, RequestPriority.LEADERSHIP)
        stored_record = decode_epoch_record(item.value) if item is not None else None
        known_epoch = self.record.number if self.record is not None else 0
        if stored_record is not None and stored_record.number > known_epoch:
            await self.refresh()
            return self.token_for_key(leader_revision)
        epoch = (
            max(
                known_epoch,
                highest_peer_epoch,
                store_epoch_of(self.highest_token),
                self._minimum_position()[0],
                stored_record.number if stored_record else 0,
            )
            + 1
        )
        record = StoreEpochRecord(epoch, uuid.uuid4().hex)
        progress = RecoveryProgress(epoch, RecoveryStage.OPEN_JOBS)
        self.record_revision = await self._store.transact_unguarded(
            [
                sm.Condition(leader_key, leader_revision),
                sm.Condition(EPOCH_KEY, item.mod_revision if item is not None else Revision(0)),
            ],
            [sm.Put(EPOCH_KEY, sm.encode_raw(record)), sm.Put(RECOVERY_PROGRESS_KEY, sm.encode_raw(progress))],
            RequestPriority.LEADERSHIP,
        )
        self._store.begin_epoch(self.record_revision)
        self.record, self.progress, self.state, self.is_new_cluster = record, progress, EpochState.RECOVERING, False
        self._progress_revision = self.record_revision
        log.info(
            "era %d begins, after the loss in the one before: %s", epoch, self.loss_reason or "a token from beyond it"
        )
        return compose_token(epoch, leader_revision)

    def progress_condition(self) -> sm.Condition:
        """On which its record is rewritten: a stage that was carried out late, once all was settled, sent all users'
        requests to the leader for as long as it led."""
        return sm.Condition(RECOVERY_PROGRESS_KEY, self._progress_revision)

    def load_progress(self, item: sm.Item | None) -> None:
        """What the store holds of it."""
        self.progress = decode_progress(item.value) if item is not None else None
        self._progress_revision = item.mod_revision if item is not None else Revision(0)

    def record_progress(self, progress: RecoveryProgress | None, revision: Revision) -> None:
        """Our own rebuild has come further, by a transaction of this revision."""
        self._progress_revision = revision if progress is not None else Revision(0)
        self.progress = progress
        self.state = EpochState.INTACT if progress is None else EpochState.RECOVERING
        self._notify_if_recovered()

    # For users' requests

    @property
    def stage(self) -> RecoveryStage | None:
        return self.progress.stage if self.state is EpochState.RECOVERING and self.progress is not None else None

    def is_known(self) -> bool:
        """Whether the epoch's record was read."""
        return self.record is not None

    def unavailable_reason(self) -> str | None:
        """Why no request can be served now, or None."""
        if self.state is EpochState.LOST:
            return "the state service has lost data; a rebuild is waited for"
        if self.state is EpochState.UNKNOWN:
            return "the state service was not read yet"
        return "lost data is being written back" if self.stage is RecoveryStage.OPEN_JOBS else None

    def may_unknown_job_exist(self) -> bool:
        """Whether a job that the store does not know may have been accepted all the same."""
        if (
            self.stage is RecoveryStage.SETTLING
            and self.progress is not None
            and self.progress.settling_until is not None
        ):
            return self._clock.seconds() < self.progress.settling_until
        return self.is_new_cluster or self.stage is not None

    def is_job_proven(self, job: str) -> bool:
        """Whether the job's submission is lost, but machines had tasks of it."""
        return self.progress is not None and job in self.progress.proven_jobs
