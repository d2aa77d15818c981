"""Store epochs: detects whether the state service still holds the data that was stored in it.

A store that restarts empty, or with a state of some minutes ago, responds like an intact one. Its data loss shows by
one of these proofs: the epoch record is missing or differs; the store's revision is lower than one known before the
request was sent; the revision of a key decreased; a worker has a token that the store's revision has not reached. No
proof depends on time, so slow, late or missing responses never count as a data loss.
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
"""Time between reads of the epoch record while the store is not known to be intact."""
STARTUP_POLL_INTERVAL_S: Seconds = 0.02
"""The same before the epoch record has been read for the first time."""
MACHINE_AGE_MARGIN_S: Seconds = 5.0
"""Tolerance for a machine's age beyond the epoch's: clock offsets, and machines created as the epoch began."""
NEW_CLUSTER_KEYS = (EPOCH_KEY, LEADER_KEY, "types")
"""Keys that the nodes of a new cluster may store before there is any job or machine."""
decode_epoch_record = msgspec.json.Decoder(StoreEpochRecord).decode
decode_progress = msgspec.json.Decoder(RecoveryProgress).decode


class EpochState(Enum):
    """Whether the store is intact, as far as this node has detected."""

    UNKNOWN = "unknown"
    """The epoch record has not been read yet."""
    INTACT = "whole"
    LOST = "lost"
    """Data was lost; nothing is served or written until a leader begins a new epoch."""
    RECOVERING = "rebuilding"
    """A leader writes lost data back."""


class StoreEpochs:
    """Tracks the store's epoch and decides whether this node may rely on the store.

    The store client uses an instance as its guard. All methods run on the reactor thread.
    """

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        on_data_loss: Callable[[str], None],
        on_recovered: Callable[[], None],
        get_oldest_machine_age_s: Callable[[], Awaitable[Seconds | None]],
        minimum_position: Callable[[], tuple[int, int]] = lambda: (0, 0),
    ) -> None:
        """Register as the guard of `store`.

        `on_data_loss` is called with the reason of a loss, and `on_recovered` once all collected data is written back.
        `get_oldest_machine_age_s` returns the age of the oldest machine that the cloud lists, 0 if it lists none, or
        None without a response. `minimum_position` returns an epoch and revision that the store is known to have
        reached, as a snapshot proves.
        """
        self._clock = clock
        self._store = store
        self._on_data_loss = on_data_loss
        self._on_recovered = on_recovered
        self._get_oldest_machine_age_s = get_oldest_machine_age_s
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
        """The highest token received from any worker or peer."""
        self.highest_leader_token = FencingToken(0)
        """The highest token that a known leader, this node or a peer, gives to workers."""
        self.is_loss_before_replica = False
        """Whether the loss happened before this node, or the peer that reported the loss, began to follow the store."""
        self.is_new_cluster = False
        """Whether this node began the first epoch on an empty store, with no sign so far of an earlier cluster."""
        store.guard = self

    # Guard of the store client

    def epoch_condition(self) -> Condition | None:
        """Return the condition that every write and comparison carries, so that none succeeds in another epoch.

        Raises StoreUnavailableError if the store has lost data or its epoch is not known yet.
        """
        if self.state is EpochState.LOST:
            reason = f"the state service has lost data: {self.loss_reason}"
            raise StoreUnavailableError(reason)
        if self.record is None:
            reason = "the state service's epoch is not known yet"
            raise StoreUnavailableError(reason)
        return Condition(EPOCH_KEY, self.record_revision)

    def on_epoch_mismatch(self) -> None:
        """Handle a failed epoch condition: the epoch record is missing or differs, so `run` reads it again."""
        self._is_check_due = True

    def on_revision_regressed(self, known: Revision, received: Revision) -> None:
        """Report a loss: `received` came in response to a request that was sent after revision `known` was known."""
        self.report_loss(f"the store's revision decreased from {known} to {received}")

    # Detection of a data loss

    def report_loss(self, reason: str, is_loss_before_replica: bool = False) -> None:
        """Record a proven data loss: nothing is served or written until a leader begins a new epoch.

        `is_loss_before_replica`: the data was lost before this node followed the store, so its replica has nothing that
        the store lacks. The call has no effect in the states UNKNOWN and LOST.
        """
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING):
            return
        self.state, self.loss_reason, self.is_loss_before_replica = EpochState.LOST, reason, is_loss_before_replica
        log.error("store_data_lost reason=%r", reason)
        self._on_data_loss(reason)

    def is_lost(self) -> bool:
        """Return whether data was lost and no recovery has begun."""
        return self.state is EpochState.LOST

    def observe_token(self, token: FencingToken) -> None:
        """Record a token that a worker or a peer sent."""
        self.highest_token = max(self.highest_token, token)

    def observe_leader_token(self, token: FencingToken) -> None:
        """Record the highest token that a known leader gives to workers."""
        self.highest_leader_token = max(self.highest_leader_token, token)

    def on_loss_reported(self, epoch: int, node: str, is_loss_before_replica: bool) -> None:
        """Handle a peer's report of a loss; a report about an epoch other than the current one is ignored."""
        if self.record is not None and self.record.number == epoch:
            self.report_loss(f"{node} reported a data loss", is_loss_before_replica)

    # Reading the epoch record

    async def run(self) -> None:
        """Read the epoch record whenever it may have changed, without end. Errors are logged."""
        while True:
            try:
                if self.state is not EpochState.INTACT or self._is_check_due:
                    await self.refresh()
                if self.is_new_cluster:
                    await self._verify_new_cluster()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("epoch_not_read error=%s", error)
            except Exception:
                # An unexpected error must not end the loop: the record is read again.
                log.exception("epoch_error")
            # No request is served before the record is known, so the first reads follow each other quickly: another
            # node may just have written the record.
            await pause(self._clock, POLL_INTERVAL_S if self.record is not None else STARTUP_POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the epoch record and compare it with the known one. Raises the errors of the store client."""
        item = await self._store.get(EPOCH_KEY, RequestPriority.LEADERSHIP)
        self._is_check_due = False
        known_record = self.record
        if item is None:
            if known_record is None:
                await self._begin_first_epoch()
            else:
                self.report_loss("the epoch record is missing")
            return
        record = decode_epoch_record(item.value)
        if known_record is not None and self._is_other_store(record, item.mod_revision, known_record):
            self.report_loss(f"the store holds epoch {record.number}, expected epoch {known_record.number}")
            return
        is_new_epoch = known_record is None or record.number > known_record.number
        if self._is_loss_final(is_new_epoch):
            return
        progress_item = await self._store.get(RECOVERY_PROGRESS_KEY, RequestPriority.LEADERSHIP)
        if self.record is not known_record or self._is_loss_final(is_new_epoch):
            # This node began an epoch or detected a loss during the read, so the result is outdated.
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
        """Return whether the record proves that the store went back to an earlier state or was replaced."""
        if record.number != known_record.number:
            return record.number < known_record.number
        return (record.unique_id, revision) != (known_record.unique_id, self.record_revision)

    def _is_loss_final(self, is_new_epoch: bool) -> bool:
        """Return whether data was lost in the current epoch: only a new epoch ends that state."""
        return not is_new_epoch and self.is_lost()

    def _enter_epoch(self, record: StoreEpochRecord, revision: Revision) -> None:
        if self.record is not None:
            log.info("epoch_entered epoch=%d previous_epoch=%d", record.number, self.record.number)
            self._store.begin_epoch(revision)
        # Set only after the recovery's progress has been read, too: a node that was ready earlier rejected its first
        # submission.
        self.record, self.record_revision = record, revision

    async def _check_minimum_position(self, epoch: int) -> None:
        """Report a loss that no node detected, at the start: a snapshot is newer than the store."""
        minimum_epoch, minimum_revision = self._minimum_position()
        if (minimum_epoch, minimum_revision) == (0, 0):
            return
        revision = (await self._store.list_page("", 1)).revision
        if (epoch, revision) < (minimum_epoch, minimum_revision):
            self.report_loss(
                f"a snapshot has epoch {minimum_epoch}, revision {minimum_revision}; "
                f"the store has epoch {epoch}, revision {revision}",
                True,
            )

    def _notify_if_recovered(self) -> None:
        """Call `on_recovered` once all collected data is written back and pre-loss replicas are no longer needed."""
        if self.progress is None or self.progress.stage is RecoveryStage.SETTLING:
            self._on_recovered()

    # The first epoch

    async def _begin_first_epoch(self) -> None:
        """Store the record of the first epoch, of a new cluster or of one whose store an earlier version wrote."""
        record = StoreEpochRecord(0, uuid.uuid4().hex)
        try:
            self.record_revision = await self._store.transact_unguarded(
                [Condition(EPOCH_KEY, Revision(0))],
                [Put(EPOCH_KEY, encode_raw(record))],
                RequestPriority.LEADERSHIP,
            )
        except ConflictError:
            # Another node stored the record first; the next refresh reads it.
            return
        self.record, self.state = record, EpochState.INTACT
        self.is_new_cluster = await self._is_store_new()
        self._epoch_began_at = self._clock.seconds()
        await self._check_minimum_position(0)
        log.info("first_epoch_began is_new_cluster=%s", self.is_new_cluster)

    async def _is_store_new(self) -> bool:
        # Users wait while a node starts, so the store is listed only if the record is not its very first change.
        if self.record_revision == 1:
            return True
        page = await self._store.list_page("", len(NEW_CLUSTER_KEYS) + 1)
        return all(item.key in NEW_CLUSTER_KEYS for item in page.items)

    async def _verify_new_cluster(self) -> None:
        """Tell a new cluster's empty store from one that lost all its data while no node ran.

        In the latter case the cloud lists machines that are older than the epoch.
        """
        oldest_age_s = await self._get_oldest_machine_age_s()
        if oldest_age_s is None:
            return
        if oldest_age_s > self._clock.seconds() - self._epoch_began_at + MACHINE_AGE_MARGIN_S:
            self.report_loss(
                f"the store is empty, and the cloud lists a machine created {oldest_age_s:.0f} s ago", True
            )
        self.is_new_cluster = False

    # Methods for a leader

    def token_for_key(self, leader_revision: Revision) -> FencingToken | None:
        """Return the token of the leader whose key has this revision; None: a new epoch must begin first."""
        if self.state not in (EpochState.INTACT, EpochState.RECOVERING) or self.record is None:
            return None
        token = compose_token(self.record.number, leader_revision)
        return token if token > self.highest_token else None

    async def begin_epoch(
        self, leader_key: str, leader_revision: Revision, highest_peer_epoch: int
    ) -> FencingToken | None:
        """Begin a new epoch under this node's leader key and return the leader's token, above any token known so far.

        Returns None if another node has begun an epoch in which this node gets no token. Raises the errors of the store
        client.
        """
        item = await self._store.get(EPOCH_KEY, RequestPriority.LEADERSHIP)
        stored_epoch = decode_epoch_record(item.value).number if item is not None else 0
        known_epoch = self.record.number if self.record is not None else 0
        if stored_epoch > known_epoch:
            await self.refresh()
            return self.token_for_key(leader_revision)
        highest_proven_epoch = max(store_epoch_of(self.highest_token), self._minimum_position()[0])
        epoch = max(known_epoch, highest_peer_epoch, highest_proven_epoch) + 1
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
        log.info("epoch_began epoch=%d reason=%r", epoch, self.loss_reason or "a token is ahead of the previous epoch")
        return compose_token(epoch, leader_revision)

    def progress_condition(self) -> Condition:
        """Return the condition under which the recovery's progress is rewritten.

        Without the condition, a write of an earlier stage that was applied after the end of the recovery made all nodes
        forward users' requests to the leader until its term ended.
        """
        return Condition(RECOVERY_PROGRESS_KEY, self._progress_revision)

    def load_progress(self, item: Item | None) -> None:
        """Set the progress from the stored item; None: no recovery is in progress."""
        self.progress = decode_progress(item.value) if item is not None else None
        self._progress_revision = item.mod_revision if item is not None else Revision(0)

    def record_progress(self, progress: RecoveryProgress | None, revision: Revision) -> None:
        """Set the progress that this node's own recovery stored at `revision`; None: the recovery is complete."""
        self._progress_revision = revision if progress is not None else Revision(0)
        self.progress = progress
        self.state = EpochState.INTACT if progress is None else EpochState.RECOVERING
        self._notify_if_recovered()

    # Methods for users' requests

    @property
    def stage(self) -> RecoveryStage | None:
        """Stage of the recovery; None if there is none, or if a further loss interrupted it."""
        return self.progress.stage if self.state is EpochState.RECOVERING and self.progress is not None else None

    def is_known(self) -> bool:
        """Return whether the epoch record has been read."""
        return self.record is not None

    def unavailable_reason(self) -> str | None:
        """Return why no request can be served now, as the text of the response; None: requests are served."""
        if self.state is EpochState.LOST:
            return "the state service has lost data; a rebuild is waited for"
        if self.state is EpochState.UNKNOWN:
            return "the state service was not read yet"
        return "lost data is being written back" if self.stage is RecoveryStage.OPEN_JOBS else None

    def may_unknown_job_exist(self) -> bool:
        """Return whether a job without a record in the store may nevertheless have been accepted."""
        progress = self.progress
        if self.stage is RecoveryStage.SETTLING and progress is not None and progress.settling_until is not None:
            return self._clock.seconds() < progress.settling_until
        return self.is_new_cluster or self.stage is not None

    def has_reported_tasks(self, job: str) -> bool:
        """Return whether the job's submission is lost, but tasks on machines prove that it was accepted."""
        return self.progress is not None and job in self.progress.proven_jobs
