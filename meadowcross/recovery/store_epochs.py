"""Store epochs: whether the state service still holds what was stored in it.

A store that came back empty, or as it was minutes ago, answers like any other. What gives it away: the epoch's record
is gone or another; a revision lower than one known before the request was sent; a revision of one of our keys that went
back; a worker's token that the store's own count has not reached. Each of these is proof, and none is a matter of time,
so slow, late or missing answers raise no alarm.
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
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Condition, Item, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("rebuild")

POLL_INTERVAL_S: Seconds = 0.3
"""Between reads of the record, while the store is not known to be intact."""
STARTUP_POLL_INTERVAL_S: Seconds = 0.02
RENTAL_AGE_MARGIN_S: Seconds = 5.0
"""Beyond this a machine's age is not explained by clocks, or by who rented machines just now."""
NEW_CLUSTER_KEYS = (EPOCH_KEY, LEADER_KEY, "types")
"""What a new cluster's nodes may store before anybody else does."""
decode_epoch_record = msgspec.json.Decoder(StoreEpochRecord).decode
decode_progress = msgspec.json.Decoder(RecoveryProgress).decode


class EpochState(Enum):
    """What this node knows of the store."""

    UNKNOWN = "unknown"
    """The record was not read yet."""
    INTACT = "whole"
    LOST = "lost"
    """Data was lost; nothing is served or written until a leader begins a new epoch."""
    RECOVERING = "rebuilding"
    """A leader writes back what was lost."""


class StoreEpochs:
    """What this node knows of the store's epoch, and whether it may rely on the store.

    It is the guard of the store client. All methods run on the reactor thread.
    """

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        on_data_loss: Callable[[str], None],
        on_recovered: Callable[[], None],
        oldest_rental_age: Callable[[], Awaitable[Seconds | None]],
        minimum_position: Callable[[], tuple[int, int]] = lambda: (0, 0),
    ) -> None:
        """`on_data_loss` gets the reason of a loss; `on_recovered` is called once all that was known is back.

        `oldest_rental_age` gives the age of the oldest machine that the cloud lists, 0 where it lists none, or None
        without an answer; `minimum_position` the epoch and revision that the store has reached for certain, as a
        snapshot shows.
        """
        self._clock = clock
        self._store = store
        self._on_data_loss = on_data_loss
        self._on_recovered = on_recovered
        self._oldest_rental_age = oldest_rental_age
        self._minimum_position = minimum_position
        self._epoch_began_at = 0.0
        self._progress_revision = Revision(0)
        self._is_check_due = False
        self.record: StoreEpochRecord | None = None
        self.record_revision = Revision(0)
        self.state = EpochState.UNKNOWN
        self.progress: RecoveryProgress | None = None
        self.loss_reason = ""
        self.highest_token = FencingToken(0)
        """The highest token seen anywhere: on workers, in peers' heartbeats, in snapshots."""
        self.is_loss_older = False
        """The loss is older than anything that this node, or who reported it, has followed."""
        self.is_new_cluster = False
        """This node began the epoch on an empty store, and nothing has shown yet that there was one before."""
        store.guard = self

    # For the store client

    def epoch_condition(self) -> Condition | None:
        """What all writes and comparisons carry, so that none succeeds on a store of another epoch.

        Raises StoreUnavailableError where the store can't be relied on.
        """
        if self.state is EpochState.LOST:
            reason = f"the state service has lost data: {self.loss_reason}"
            raise StoreUnavailableError(reason)
        if self.record is None:
            reason = "the state service's era is not known yet"
            raise StoreUnavailableError(reason)
        return Condition(EPOCH_KEY, self.record_revision)

    def on_epoch_mismatch(self) -> None:
        """The condition failed: the record is gone, or another one."""
        self._is_check_due = True

    def on_revision_regressed(self, known: Revision, received: Revision) -> None:
        """A request sent when revision `known` was known was answered with a lower one."""
        self.report_loss(f"its revision went back from {known} to {received}")

    # Noticing a loss

    def report_loss(self, reason: str, is_loss_older: bool = False) -> None:
        """There is proof that data was lost: hold still until a recovery has a leader.

        With `is_loss_older` it was lost before this node followed the store, so that this node knows no more than the
        store has.
        """
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING):
            return
        self.state, self.loss_reason, self.is_loss_older = EpochState.LOST, reason, is_loss_older
        log.error("store_data_lost reason=%r", reason)
        self._on_data_loss(reason)

    def is_lost(self) -> bool:
        """Whether data was lost and no recovery has begun."""
        return self.state is EpochState.LOST

    def observe_token(self, token: FencingToken) -> None:
        """A worker or a peer showed this token."""
        self.highest_token = max(self.highest_token, token)

    def on_loss_reported(self, epoch: int, node: str, is_loss_older: bool) -> None:
        """A peer has proof of a loss in this epoch; it counts where that is the current one."""
        if self.record is not None and self.record.number == epoch:
            self.report_loss(f"{node} has noticed it", is_loss_older)

    # Reading the current epoch

    async def run(self) -> None:
        """Read the record whenever it is in doubt, for ever."""
        while True:
            try:
                if self.state is not EpochState.INTACT or self._is_check_due:
                    await self.refresh()
                if self.is_new_cluster:
                    await self._verify_new_cluster()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("epoch_not_read error=%s", error)
            except Exception:
                # The loop goes on: the record is read again.
                log.exception("epoch_error")
            # Nobody is served before the record is known: another node may just have written it.
            await pause(self._clock, POLL_INTERVAL_S if self.record is not None else STARTUP_POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the record and compare it with what is known. Raises what the store client raises."""
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
        if known_record is not None and self._is_other_store(record, item.mod_revision, known_record):
            self.report_loss(f"it tells of era {record.number}, ours is {known_record.number}")
            return
        is_new_epoch = known_record is None or record.number > known_record.number
        if self._is_loss_final(is_new_epoch):
            return
        progress_item = await self._store.get(RECOVERY_PROGRESS_KEY, RequestPriority.LEADERSHIP)
        if self.record is not known_record or self._is_loss_final(is_new_epoch):
            # Meanwhile this node began an epoch itself, or a loss was noticed: what was read is from before.
            return
        if is_new_epoch:
            self._enter_epoch(record, item.mod_revision)
        self.load_progress(progress_item)
        self.state = EpochState.INTACT if self.progress is None else EpochState.RECOVERING
        if known_record is None:
            await self._check_minimum_position(record.number)
        if not self.is_lost():
            self._notify_if_recovered()

    def _is_other_store(self, record: StoreEpochRecord, revision: Revision, known_record: StoreEpochRecord) -> bool:
        """Whether the record shows a store that went back, or another one."""
        if record.number != known_record.number:
            return record.number < known_record.number
        return (record.unique_id, revision) != (known_record.unique_id, self.record_revision)

    def _is_loss_final(self, is_new_epoch: bool) -> bool:
        """Lost within this epoch: only a new one ends that."""
        return not is_new_epoch and self.is_lost()

    def _enter_epoch(self, record: StoreEpochRecord, revision: Revision) -> None:
        if self.record is not None:
            log.info("epoch_entered epoch=%d previous_epoch=%d", record.number, self.record.number)
            self._store.begin_epoch(revision)
        # Set once all that requests ask for is read: a node that was ready earlier refused its first submission.
        self.record, self.record_revision = record, revision

    async def _check_minimum_position(self, epoch: int) -> None:
        """At the start: a snapshot of later than what the store holds proves a loss that nobody noticed."""
        minimum_epoch, minimum_revision = self._minimum_position()
        if (minimum_epoch, minimum_revision) == (0, 0):
            return
        revision = (await self._store.list_page("", 1)).revision
        if (epoch, revision) < (minimum_epoch, minimum_revision):
            self.report_loss(
                f"a snapshot has era {minimum_epoch}, revision {minimum_revision}; it is at {epoch}, {revision}", True
            )

    def _notify_if_recovered(self) -> None:
        """Once all that was known is back, replicas of before the loss are no longer needed."""
        if self.progress is None or self.progress.stage is RecoveryStage.SETTLING:
            self._on_recovered()

    # The first epoch

    async def _begin_first_epoch(self) -> None:
        """The first epoch: of a new cluster, or of one whose store was written by an earlier version."""
        record = StoreEpochRecord(0, uuid.uuid4().hex)
        try:
            self.record_revision = await self._store.transact_unguarded(
                [Condition(EPOCH_KEY, Revision(0))],
                [Put(EPOCH_KEY, encode_raw(record))],
                RequestPriority.LEADERSHIP,
            )
        except ConflictError:
            # Another node's record, which the next refresh reads.
            return
        self.record, self.state = record, EpochState.INTACT
        self.is_new_cluster = await self._is_store_new()
        self._epoch_began_at = self._clock.seconds()
        await self._check_minimum_position(0)
        log.info("first_epoch_began is_new_cluster=%s", self.is_new_cluster)

    async def _is_store_new(self) -> bool:
        # Users wait for a start: the store is listed only where the record was not its first change of all.
        if self.record_revision == 1:
            return True
        page = await self._store.list_page("", len(NEW_CLUSTER_KEYS) + 1)
        return all(item.key in NEW_CLUSTER_KEYS for item in page.items)

    async def _verify_new_cluster(self) -> None:
        """Tell a new cluster's empty store from one that has lost everything while nobody watched.

        In the second case the cloud lists machines that are older than the epoch.
        """
        oldest_age_s = await self._oldest_rental_age()
        if oldest_age_s is None:
            return
        if oldest_age_s > self._clock.seconds() - self._epoch_began_at + RENTAL_AGE_MARGIN_S:
            self.report_loss(f"it is empty, and the cloud lists a machine rented {oldest_age_s:.0f} s ago", True)
        self.is_new_cluster = False

    # For a leader

    def token_for_key(self, leader_revision: Revision) -> FencingToken | None:
        """The token of the leader whose key has this revision; None where a new epoch must begin first."""
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING) or self.record is None:
            return None
        token = compose_token(self.record.number, leader_revision)
        return token if token > self.highest_token else None

    async def begin_epoch(
        self, leader_key: str, leader_revision: Revision, highest_peer_epoch: int
    ) -> FencingToken | None:
        """Begin a new epoch under this node's leader key; its tokens are higher than any seen.

        None: another node has begun one, under which no token can be had. Raises what the store client raises.
        """
        item = await self._store.get(EPOCH_KEY, RequestPriority.LEADERSHIP)
        stored_epoch = decode_epoch_record(item.value).number if item is not None else 0
        known_epoch = self.record.number if self.record is not None else 0
        if stored_epoch > known_epoch:
            await self.refresh()
            return self.token_for_key(leader_revision)
        highest_seen = max(store_epoch_of(self.highest_token), self._minimum_position()[0])
        epoch = max(known_epoch, highest_peer_epoch, highest_seen) + 1
        record = StoreEpochRecord(epoch, uuid.uuid4().hex)
        progress = RecoveryProgress(epoch, RecoveryStage.OPEN_JOBS)
        stored_revision = item.mod_revision if item is not None else Revision(0)
        revision = await self._store.transact_unguarded(
            [Condition(leader_key, leader_revision), Condition(EPOCH_KEY, stored_revision)],
            [Put(EPOCH_KEY, encode_raw(record)), Put(RECOVERY_PROGRESS_KEY, encode_raw(progress))],
            RequestPriority.LEADERSHIP,
        )
        self._store.begin_epoch(revision)
        self.record, self.record_revision = record, revision
        self.progress, self._progress_revision = progress, revision
        self.state, self.is_new_cluster = EpochState.RECOVERING, False
        log.info("epoch_began epoch=%d reason=%r", epoch, self.loss_reason or "a token from beyond the epoch before")
        return compose_token(epoch, leader_revision)

    def progress_condition(self) -> Condition:
        """The condition under which the recovery's progress is rewritten.

        Without it a stage that was stored late, once all was settled, sent all users' requests to the leader for as
        long as it led.
        """
        return Condition(RECOVERY_PROGRESS_KEY, self._progress_revision)

    def load_progress(self, item: Item | None) -> None:
        """Take over the progress that the store holds."""
        self.progress = decode_progress(item.value) if item is not None else None
        self._progress_revision = item.mod_revision if item is not None else Revision(0)

    def record_progress(self, progress: RecoveryProgress | None, revision: Revision) -> None:
        """This node's own recovery stored its progress at this revision; None: it is over."""
        self._progress_revision = revision if progress is not None else Revision(0)
        self.progress = progress
        self.state = EpochState.INTACT if progress is None else EpochState.RECOVERING
        self._notify_if_recovered()

    # For users' requests

    @property
    def stage(self) -> RecoveryStage | None:
        """How far a recovery has come; None where there is none, or a loss stopped it."""
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
        progress = self.progress
        if self.stage is RecoveryStage.SETTLING and progress is not None and progress.settling_until is not None:
            return self._clock.seconds() < progress.settling_until
        return self.is_new_cluster or self.stage is not None

    def is_job_proven(self, job: str) -> bool:
        """Whether the job's submission is lost, but machines had tasks of it."""
        return self.progress is not None and job in self.progress.proven_jobs
