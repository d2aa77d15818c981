"""Decommissions machines that are silent, unreachable, or do not come up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.machine_list import LIST_LAG_FACTOR
from meadowcross.autoscaling.silence_timeouts import silence_timeout_by_zone
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import Instant, Seconds
from meadowcross.workers.machine import Machine

DEAD_MACHINE_LISTED_S: Seconds = 30.0
"""The cloud lists a failed machine as running for about this long."""
UNKNOWN_TYPE_BOOT_TIMEOUT_S: Seconds = 180.0
"""Boot timeout of a machine whose type is unknown."""
MIN_TERM_AGE_S: Seconds = 10.0
"""A leader decommissions no booting machine before its term has lasted this long."""


class MachineChecker:
    """Checks the contact with every machine at each tick."""

    def __init__(self, context: AutoscalerContext, decommissioner: Decommissioner) -> None:
        self._context = context
        self._decommissioner = decommissioner

    def check(self) -> None:
        """Probe machines that are silent or unresponsive, and decommission them after the timeout that applies."""
        view = self._context.host.scheduling_view
        is_reporting = view.contact_check()
        timeouts = self._silence_timeouts(is_reporting)
        # Nearly all machines report, and need no further check.
        may_skip_reporting = view.contact_window_s <= self._context.operator.silent_s
        for machine in list(self._context.machines().values()):
            if machine.decommission_reason is not None:
                continue
            if may_skip_reporting and machine.contact.unresponsive_since is None and is_reporting(machine):
                continue
            with ErrorBoundary("checking a machine", machine=machine.id):
                self._check_machine(machine, timeouts)

    def _check_machine(self, machine: Machine, timeouts: dict[str, Seconds]) -> None:
        if machine.is_up or machine.contact.hinted_contact_at is not None:
            self._check_contacted(machine, timeouts[machine.kind.zone])
        elif machine.placements or machine.address is not None:
            self._check_inherited(machine)
        else:
            self._check_booting(machine)

    def _silence_timeouts(self, is_reporting: Callable[[Machine], bool]) -> dict[str, Seconds]:
        """Return the silence timeout by zone."""
        # Each silent machine counts at once; otherwise the first ones of a partition would be decommissioned before the
        # partition is recognized.
        known_by_zone: Counter[str] = Counter()
        silent_by_zone: Counter[str] = Counter()
        for machine in self._context.machines().values():
            if machine.is_up or machine.contact.hinted_contact_at is not None:
                known_by_zone[machine.kind.zone] += 1
                is_silent = not is_reporting(machine) or machine.contact.unresponsive_since is not None
                silent_by_zone[machine.kind.zone] += is_silent
        list_lag_s = self._context.facts.cloud.list_lag_s
        cloud_list_timeout_s = DEAD_MACHINE_LISTED_S + 2 * LIST_LAG_FACTOR * list_lag_s
        return silence_timeout_by_zone(
            known_by_zone, silent_by_zone, self._context.operator.silent_s, cloud_list_timeout_s
        )

    def _check_contacted(self, machine: Machine, timeout_s: Seconds) -> None:
        """Check a machine that has had contact with this leader or, by its hints, with the previous leader.

        Contact with the previous leader counts like contact with this one once the machine has had time to report here.
        """
        view, host = self._context.host.scheduling_view, self._context.host
        term_age_s = self._context.now - self._context.started_at
        has_had_time_to_report = machine.is_up or term_age_s > view.contact_window_s
        silence_s = view.silence_s(machine)
        if has_had_time_to_report and silence_s > timeout_s:
            self._decommissioner.decommission(machine, f"silent for {silence_s:.1f} s", is_silence_only=True)
        elif machine.contact.unresponsive_since is not None and self._is_unreachable_too_long(
            machine, machine.contact.unresponsive_since, timeout_s
        ):
            self._decommissioner.decommission(machine, "reports, but is unreachable", is_silence_only=True)
        elif view.is_silent(machine) or machine.contact.unresponsive_since is not None:
            host.dispatcher.probe(machine.id)

    def _is_unreachable_too_long(self, machine: Machine, unresponsive_since: Instant, timeout_s: Seconds) -> bool:
        """Return whether a machine that reports but does not respond to commands is to be decommissioned.

        If heartbeat responses reach the machine, its worker lease is renewed and its started tasks go on, so a machine
        with started tasks is kept. If they do not, its lease runs out and its tasks end. A machine without started
        tasks is kept for one lease and the silence timeout of its zone.
        """
        has_started_tasks = any(
            (placement.task, placement.attempt) not in machine.proof.open_starts
            for placement in machine.placements.values()
        )
        return (
            not has_started_tasks
            and self._context.now - unresponsive_since > self._context.facts.workers.lease_s + timeout_s
        )

    def _check_inherited(self, machine: Machine) -> None:
        """Check a machine that was up under an earlier leader; its worker may not have found this leader yet."""
        if machine.address is not None:
            self._context.host.dispatcher.probe(machine.id)
        known_since = max(self._context.started_at, machine.contact.first_seen_at)
        if self._context.now - known_since > self._context.facts.workers.lease_s:
            self._decommissioner.decommission(machine, "no contact in this term", is_silence_only=True)

    def _check_booting(self, machine: Machine) -> None:
        """Decommission a machine that has not come up within its boot timeout."""
        now = self._context.now
        timeout_s = UNKNOWN_TYPE_BOOT_TIMEOUT_S
        if machine.machine_type:
            timeout_s = self._context.boot_times.boot_timeout_s(machine.machine_type, now)
        waited_s = now - max(machine.created_at, Instant(0.0))
        is_overdue = waited_s > timeout_s + 2 * self._context.facts.cloud.list_lag_s
        if is_overdue and now - self._context.started_at > MIN_TERM_AGE_S:
            self._decommissioner.decommission(machine, f"not up {waited_s:.0f} s after its creation")
