"""Tracks whether a term has learned of all tasks that run on machines."""

from __future__ import annotations

from collections.abc import Iterable

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery

log = get_logger("leadership")

CLOUD_LIST_MARGIN_S: Seconds = 1.0
"""Tolerated error of a machine's creation time: a list must be newer than the start of the term by more than this."""


class MachineVerification:
    """Tracks machines that may run orphaned tasks. While any machine is unverified, nothing is placed."""

    def __init__(self, state: TermState, recovery: TermRecovery, pass_trigger: PassTrigger) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._worker_registry = state.worker_registry
        self._recovery = recovery
        self._pass_trigger = pass_trigger
        self._unverified: set[MachineId] = set()
        self._is_cloud_list_awaited = False
        self._awaited_responses = 0

    def require_confirmations(self, machine_ids: Iterable[MachineId]) -> None:
        """Place nothing until each of these machines has confirmed the token or is proven deleted. A machine that stays
        silent is decommissioned like any machine that falls silent now, even if it is still booting."""
        self._unverified = set(machine_ids)
        for machine_id in self._unverified:
            self._worker_registry.machines[machine_id].contact.hinted_contact_at = self._context.now

    def require_cloud_list(self) -> None:
        """Place nothing until the cloud has listed its machines: some of them may have no record."""
        self._is_cloud_list_awaited = True

    @property
    def unverified_count(self) -> int:
        """How many machines have not confirmed the token yet."""
        return len(self._unverified)

    def is_state_complete(self) -> bool:
        """Whether all running tasks are known, so that placing a task that seems not to run can't start it twice."""
        return not self._unverified and not self._is_cloud_list_awaited

    def on_machine_verified(self, machine_id: MachineId) -> None:
        """Record that the machine has confirmed our token, or is proven deleted."""
        if machine_id not in self._unverified:
            return
        self._unverified.discard(machine_id)
        if self.is_state_complete():
            context = self._context
            log.info(
                "all running tasks are known term=%d elapsed_s=%.2f", context.token, context.now - context.started_at
            )
            self._pass_trigger.schedule_pass()

    def on_cloud_list(self, described_at: Instant | None) -> None:
        """Process a list of the cloud's machines, as they were at `described_at` if that is known."""
        if not self._is_cloud_list_awaited or not self._is_list_from_this_term(described_at):
            return
        self._is_cloud_list_awaited = False
        # A machine that has no record and is missing from a list made after the data loss does not exist.
        self.on_machine_verified(next(iter(self._unverified), MachineId("")))
        self._pass_trigger.schedule_pass()

    def _is_list_from_this_term(self, described_at: Instant | None) -> bool:
        context = self._context
        max_lag_s = 2 * context.settings.facts.cloud.list_lag_s
        return context.now - context.started_at > max_lag_s or (
            described_at is not None and described_at > context.started_at + CLOUD_LIST_MARGIN_S
        )

    def expect_responses(self, machine_count: int) -> None:
        """Set how many first responses `on_first_response` waits for: nine of ten of these machines."""
        self._awaited_responses = machine_count - machine_count // 10

    def on_first_response(self) -> None:
        """Count a machine that has confirmed our token for the first time. After a cold start, nine of ten responses
        complete the verification."""
        if self._awaited_responses <= 0:
            return
        self._awaited_responses -= 1
        if self._awaited_responses:
            return
        self._lifecycle.log_milestone("nine of ten machines answered")
        if not self._recovery.is_writing_back and self._unverified:
            # Enough after a cold start: if the store had lost its last seconds, a response would have shown it by now.
            self._unverified.clear()
            self._pass_trigger.schedule_pass()
