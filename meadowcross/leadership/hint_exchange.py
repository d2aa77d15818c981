"""Exports and applies hints: knowledge of a leader that the store does not hold, for the next leader.

Hints may be lost or outdated, so no decision that needs proof may rest on them.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.common.types import Instant, MachineKind, NodeName
from meadowcross.leadership.commit_outcome import CommitOutcome
from meadowcross.leadership.run_time_estimators import RunTimeEstimators
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.term_context import TermState
from meadowcross.placement.preemption import PreemptionPlanner
from meadowcross.replication.messages import Hints
from meadowcross.store.group_commit import GroupCommitter
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine

HINT_DECIMALS = 1
"""Decimals to which times in hints are rounded: tenths of a second."""


@dataclass(frozen=True, slots=True)
class HintSources:
    """The components that hold the knowledge which goes into hints."""

    scheduling_view: SchedulingView
    autoscaler: Autoscaler
    health: FailureTracker
    preemption: PreemptionPlanner
    estimators: RunTimeEstimators
    committer: GroupCommitter
    commit_outcome: CommitOutcome


class HintExchange:
    """Applies the hints of the previous leader to a term, and exports the hints of this term."""

    def __init__(self, state: TermState, sources: HintSources) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._scheduling_view = sources.scheduling_view
        self._autoscaler = sources.autoscaler
        self._health = sources.health
        self._preemption = sources.preemption
        self._estimators = sources.estimators
        self._committer = sources.committer
        self._commit_outcome = sources.commit_outcome

    def apply(self, hints: Hints) -> None:
        """Apply hints of the previous leader about machines, failed jobs, boot times, cloud capacity and run times."""
        now = self._context.now
        self._apply_machine_hints(hints, now)
        unavailable_kinds = [
            (MachineKind(name, zone, spot), remaining_s) for name, zone, spot, remaining_s in hints.unavailable_kinds
        ]
        self._autoscaler.import_state(hints.boot_times, unavailable_kinds, hints.last_shortage_age_s)
        self._health.apply_hints(hints.failed_jobs, hints.job_pauses, self._job_table.jobs, now)
        self._preemption.import_attempts(hints.preemption_requests, now)
        means = self._estimators.means
        if means is not None:
            means.ratios.update(hints.runtime_ratios)

    def _apply_machine_hints(self, hints: Hints, now: Instant) -> None:
        for machine_id, incarnation in hints.incarnations.items():
            machine = self._worker_registry.machines.get(machine_id)
            if machine is None:
                continue
            machine.proof.hinted_incarnation = incarnation
            machine.contact.hinted_contact_at = Instant(now - hints.silence_s.get(machine_id, 0.0))
            if (eviction_in_s := hints.eviction_in_s.get(machine_id)) is not None:
                machine.reclaim_at = Instant(now + eviction_in_s)

    def export(self) -> Hints | None:
        """Return all hints of this term, or None while the term is not active.

        The publisher fills in the node, the number and the settings digest.
        """
        if not self._lifecycle.is_active:
            return None
        hints = self._collect()
        # While a transaction is pending, the number of stored keys is unknown.
        key_counts = self._commit_outcome.count_stored_keys() if self._committer.is_idle() else None
        if key_counts is not None:
            hints.key_counts = key_counts
        return hints

    def _collect(self) -> Hints:
        now = self._context.now
        machines = [
            m for m in self._worker_registry.machines.values() if m.is_up or m.contact.hinted_contact_at is not None
        ]
        boot_times, unavailable_kinds, last_shortage_age_s = self._autoscaler.export_state()
        failed_jobs, job_pauses = self._health.export_hints(now)
        means = self._estimators.means
        return Hints(
            NodeName(""),
            self._context.token,
            0,
            "",
            incarnations={m.id: m.proof.heartbeat_version.incarnation or m.proof.hinted_incarnation for m in machines},
            silence_s={m.id: self._silence_s(m) for m in machines if self._scheduling_view.is_silent(m)},
            eviction_in_s={
                m.id: round(m.reclaim_at - now, HINT_DECIMALS) for m in machines if m.reclaim_at is not None
            },
            failed_jobs=failed_jobs,
            job_pauses=job_pauses,
            boot_times=boot_times,
            unavailable_kinds=[
                (kind.type, kind.zone, kind.spot, remaining_s) for kind, remaining_s in unavailable_kinds
            ],
            last_shortage_age_s=last_shortage_age_s,
            preemption_requests=self._preemption.export_attempts(now),
            runtime_ratios=dict(means.ratios) if means is not None else {},
        )

    def _silence_s(self, machine: Machine) -> float:
        return round(self._scheduling_view.silence_s(machine), HINT_DECIMALS)
