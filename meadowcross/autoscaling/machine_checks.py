"""Finds machines that are silent, can't be reached, or do not come up, and decommissions them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.machine_list import LIST_LAG_FACTOR
from meadowcross.autoscaling.silence_timeouts import silence_timeout_by_zone
from meadowcross.common.types import Instant, Seconds
from meadowcross.workers.machine import Machine

DEAD_MACHINE_LISTED_S: Seconds = 30.0
"""The cloud lists a dead machine as running for about so long."""
UNKNOWN_TYPE_GIVE_UP_S: Seconds = 180.0
"""How long a machine of unknown type may take to come up."""
MIN_BOOT_WATCH_S: Seconds = 10.0
"""A leader gives up no booting machine before it has led for so long."""


class MachineChecker:
    """Checks every machine's contact at each tick."""

    def __init__(self, context: AutoscalerContext, decommissioner: Decommissioner) -> None:
        self._context = context
        self._decommissioner = decommissioner

    def check(self) -> None:
        """Probe machines that are silent, and decommission those that were so for too long."""
        view = self._context.host.scheduling_view
        is_recently_heard = view.contact_check()
        timeouts = self._silence_timeouts(is_recently_heard)
        # Nearly all machines are well, and nothing is to be done about them.
        may_skip_heard = view.contact_window_s <= self._context.operator.silent_s
        for machine in list(self._context.machines().values()):
            if machine.decommission_reason is not None:
                continue
            if may_skip_heard and machine.contact.unresponsive_since is None and is_recently_heard(machine):
                continue
            if machine.is_up or machine.contact.hinted_contact_at is not None:
                self._check_contacted(machine, timeouts[machine.kind.zone])
            elif machine.placements or machine.address is not None:
                self._check_inherited(machine)
            else:
                self._check_booting(machine)

    def _silence_timeouts(self, is_recently_heard: Callable[[Machine], bool]) -> dict[str, Seconds]:
        """Return by zone how long a silent machine is kept."""
        # A machine counts as silent as soon as it is, or those silent first would be given up before the others.
        known_by_zone: Counter[str] = Counter()
        silent_by_zone: Counter[str] = Counter()
        for machine in self._context.machines().values():
            if machine.is_up or machine.contact.hinted_contact_at is not None:
                known_by_zone[machine.kind.zone] += 1
                is_silent = not is_recently_heard(machine) or machine.contact.unresponsive_since is not None
                silent_by_zone[machine.kind.zone] += is_silent
        list_lag_s = self._context.facts.cloud.list_lag_s
        cloud_list_s = DEAD_MACHINE_LISTED_S + 2 * LIST_LAG_FACTOR * list_lag_s
        return silence_timeout_by_zone(known_by_zone, silent_by_zone, self._context.operator.silent_s, cloud_list_s)

    def _check_contacted(self, machine: Machine, timeout_s: Seconds) -> None:
        """Check a machine that this leader or, by its hints, the one before has heard.

        What the leader before heard is judged as if this leader had heard it, once the machine had time to report here.
        """
        view, host = self._context.host.scheduling_view, self._context.host
        led_s = self._context.now - self._context.started_at
        had_time_to_report = machine.is_up or led_s > view.contact_window_s
        silence_s = view.silence_s(machine)
        if had_time_to_report and silence_s > timeout_s:
            self._decommissioner.decommission(machine, f"silent for {silence_s:.1f} s", is_only_silent=True)
        elif machine.contact.unresponsive_since is not None and self._is_unreachable_too_long(
            machine, machine.contact.unresponsive_since, timeout_s
        ):
            self._decommissioner.decommission(machine, "it reports, and nothing reaches it", is_only_silent=True)
        elif view.is_silent(machine) or machine.contact.unresponsive_since is not None:
            host.dispatcher.probe(machine.id)

    def _is_unreachable_too_long(self, machine: Machine, since: Instant, timeout_s: Seconds) -> bool:
        """Return whether a machine that reports but answers nothing is given up.

        If answers don't reach it either, its lease has run out and its tasks are gone; if they do, what it runs may go
        on. It is kept for a lease, and as long again as a silent one of its zone would be.
        """
        has_started_tasks = any(
            (placement.task, placement.attempt) not in machine.proof.open_starts
            for placement in machine.placements.values()
        )
        return not has_started_tasks and self._context.now - since > self._context.facts.workers.lease_s + timeout_s

    def _check_inherited(self, machine: Machine) -> None:
        """Check a machine that was up under an earlier leader; its worker may still look for this one."""
        if machine.address is not None:
            self._context.host.dispatcher.probe(machine.id)
        known_since = max(self._context.started_at, machine.contact.first_seen_at)
        if self._context.now - known_since > self._context.facts.workers.lease_s:
            self._decommissioner.decommission(machine, "silent since it is known to this term", is_only_silent=True)

    def _check_booting(self, machine: Machine) -> None:
        """Give up a machine that has not come up in several times the boot time."""
        now = self._context.now
        give_up_s = UNKNOWN_TYPE_GIVE_UP_S
        if machine.machine_type:
            give_up_s = self._context.boot_times.give_up_after_s(machine.machine_type, now)
        waited_s = now - max(machine.rented_at, Instant(0.0))
        is_overdue = waited_s > give_up_s + 2 * self._context.facts.cloud.list_lag_s
        if is_overdue and now - self._context.started_at > MIN_BOOT_WATCH_S:
            self._decommissioner.decommission(machine, f"not up {waited_s:.0f} s after its rental")
