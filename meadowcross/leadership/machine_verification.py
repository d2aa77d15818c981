"""Whether all that runs on machines is known to a term."""

from __future__ import annotations

from collections.abc import Iterable

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery

log = get_logger("leadership")

CLOUD_LIST_MARGIN_S: Seconds = 1.0
"""Tolerated error of the time at which a machine was rented."""


class MachineVerification:
    """Tracks machines that may run tasks which no record tells of. While there are any, nothing is placed."""

    def __init__(self, state: TermState, recovery: TermRecovery, pass_trigger: PassTrigger) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._worker_registry = state.worker_registry
        self._recovery = recovery
        self._pass_trigger = pass_trigger
        self._unverified: set[MachineId] = set()
        self._is_cloud_list_awaited = False
        self._awaited_answers = 0

    def require_answers(self, machine_ids: Iterable[MachineId]) -> None:
        """Place nothing until each of these machines has answered or is proven deleted. One that stays silent is
        given up like any machine that falls silent now, even if it is still booting."""
        self._unverified = set(machine_ids)
        for machine_id in self._unverified:
            self._worker_registry.machines[machine_id].contact.hinted_contact_at = self._context.now

    def require_cloud_list(self) -> None:
        """Place nothing until the cloud has listed its machines: some may be on no record."""
        self._is_cloud_list_awaited = True

    @property
    def unverified_count(self) -> int:
        """How many machines have still to answer."""
        return len(self._unverified)

    def is_state_complete(self) -> bool:
        """Whether all that runs is known, so that placing what seems to run nowhere starts nothing twice."""
        return not self._unverified and not self._is_cloud_list_awaited

    def on_machine_verified(self, machine_id: MachineId) -> None:
        """The machine has answered with our token, or is proven gone."""
        if machine_id not in self._unverified:
            return
        self._unverified.discard(machine_id)
        if self.is_state_complete():
            context = self._context
            log.info("term %d: all that runs is known after %.2f s", context.token, context.now - context.started_at)
            self._pass_trigger.schedule_pass()

    def on_cloud_list(self, described_at: Instant | None) -> None:
        """The cloud listed its machines as they were at `described_at`, where that is known."""
        if not self._is_cloud_list_awaited or not self._is_list_from_this_term(described_at):
            return
        self._is_cloud_list_awaited = False
        # A machine on no record and in no list that is younger than the loss does not exist.
        self.on_machine_verified(next(iter(self._unverified), MachineId("")))
        self._pass_trigger.schedule_pass()

    def _is_list_from_this_term(self, described_at: Instant | None) -> bool:
        context = self._context
        max_lag_s = 2 * context.settings.facts.cloud.list_lag_s
        return context.now - context.started_at > max_lag_s or (
            described_at is not None and described_at > context.started_at + CLOUD_LIST_MARGIN_S
        )

    def await_answers(self, machine_count: int) -> None:
        """Count down until nine of ten of these machines have answered; see `on_first_answer`."""
        self._awaited_answers = machine_count - machine_count // 10

    def on_first_answer(self) -> None:
        """A machine has confirmed our token for the first time."""
        if self._awaited_answers <= 0:
            return
        self._awaited_answers -= 1
        if self._awaited_answers:
            return
        self._lifecycle.log_milestone("nine of ten machines answered")
        if not self._recovery.is_writing_back and self._unverified:
            # After a cold start that is enough: a store that lost its last seconds would have shown by now.
            self._unverified.clear()
            self._pass_trigger.schedule_pass()
