"""The leader's fleet: rentals, the machine list, returns, machines given up."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.autoscaling import messages as m
from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.cloud import CloudClient, CloudError, CloudRequestRejectedError, InsufficientCapacityError
from meadowcross.autoscaling.incoming_capacity import (
    COMPLETION_HORIZON_BOOTS,
    MachineAvailability,
    TaskCompletionForecast,
    collect_incoming_capacity,
)
from meadowcross.autoscaling.silence_timeouts import silence_timeout_by_zone
from meadowcross.autoscaling.sizing import (
    MIN_CHARGE_S,
    CapacityDemand,
    MachineUsage,
    ScaleOutRequest,
    find_expensive_kinds,
    kind_price,
    mark_at_risk,
    plan_scale_out,
    requires_expensive_kind,
    select_surplus_machines,
)
from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import FencingToken, Instant, MachineId, MachineKind, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.jobs.job_table import JobTable, Placement
from meadowcross.jobs.messages import JobSpec
from meadowcross.jobs.objectives import may_wait_for_cheaper_capacity
from meadowcross.placement.model import PendingJob, QuotaHeadroom, is_kind_allowed, queue_order
from meadowcross.workers.dispatcher import CommandDispatcher
from meadowcross.workers.eviction import plan_drain_evictions
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("fleet")

TICK_INTERVAL_S: Seconds = 1.0
SCALE_OUT_DELAY_S: Seconds = 1.0
NEW_WORK_DELAY_S: Seconds = 0.1
NEW_WORK_PAUSE_FACTOR = 9.0
UNAVAILABLE_S: Seconds = 12.0
MAX_REMEMBERED_DELETIONS = 5_000
LIST_LAG_FACTOR = 1.5
DEAD_MACHINE_LISTED_S: Seconds = 30.0
"""The protocol lists a dead machine as running for about so long."""


class WorkloadView(MachineAvailability, Protocol):
    """What the fleet sees of the work at hand."""

    @property
    def contact_window_s(self) -> Seconds: ...
    def is_schedulable(self, machine: Machine) -> bool: ...
    def pending_jobs(self) -> list[PendingJob]: ...
    def quota_headroom(self) -> dict[str, QuotaHeadroom]: ...
    def silence_s(self, machine: Machine) -> Seconds: ...
    def is_silent(self, machine: Machine) -> bool: ...
    def contact_check(self) -> Callable[[Machine], bool]: ...


class AutoscalerHost(Protocol):
    """What the fleet needs of the term that owns it."""

    token: FencingToken
    job_table: JobTable
    worker_registry: WorkerRegistry
    dispatcher: CommandDispatcher
    runs: Runs

    @property
    def scheduling_view(self) -> WorkloadView: ...
    def has_valid_lease(self) -> bool: ...
    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine: ...
    def store_machine(self, machine: Machine) -> None: ...
    def on_machine_deleted(self, machine_id: MachineId) -> None: ...
    def stop_task(self, placement: Placement, grace_s: Seconds) -> None: ...
    def on_cloud_list(self, described_at: Instant | None) -> None: ...


class Autoscaler:
    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        operator: OperatorSettings,
        cloud: CloudClient,
        machine_types: Callable[[], list[m.MachineType]],
        host: AutoscalerHost,
    ) -> None:
        self._clock = clock
        self._facts = settings.facts
        self._operator = operator
        self._cloud = cloud
        self._machine_types = machine_types
        self._host = host
        self._request_counter = 0
        self._open_requests: dict[str, ScaleOutRequest] = {}
        self._unavailable_until: dict[MachineKind, float] = {}
        self._deleted: OrderedDict[MachineId, None] = OrderedDict()
        self._deleting: set[MachineId] = set()
        self._listed: set[MachineId] = set()
        self._list_absences: dict[MachineId, int] = {}
        self._next_list_at = 0.0
        self._last_demand_at = 0.0
        self._last_at_risk_at = 0.0
        self._demands: list[CapacityDemand] = []
        self._expensive_kinds: set[MachineKind] = set()
        self._saves_money = may_wait_for_cheaper_capacity(settings.facts.objectives)
        self.boot_times = BootTimeEstimator()
        self._completions = TaskCompletionForecast(host.job_table, host.runs)
        self._is_listing = False
        self._started_at = Instant(clock.seconds())
        self._scale_out_from = self._started_at
        self._is_scale_out_scheduled = False
        self._last_scale_out_s: Seconds = 0.0
        self._tick = LoopingCall(self._on_tick)
        self._tick.clock = clock  # type: ignore[assignment]

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def start(self) -> None:
        self._started_at = self.now
        # What an earlier leader rented and did not store yet reports within this time;
        # where no machine is on record none is likely, and every second counts.
        self._scale_out_from = Instant(self.now + (SCALE_OUT_DELAY_S if self._host.worker_registry.machines else 0.0))
        self._tick.start(TICK_INTERVAL_S)

    def stop(self) -> None:
        if self._tick.running:
            self._tick.stop()

    def export_state(
        self,
    ) -> tuple[dict[str, list[tuple[Seconds, Seconds]]], list[tuple[MachineKind, Seconds]], Seconds]:
        """For the next leader: boots seen, kinds refused and for how much longer, how long ago work was pressed."""
        now = self.now
        unavailable = [(kind, until - now) for kind, until in self._unavailable_until.items() if until > now]
        return self.boot_times.export_samples(now), unavailable, now - self._last_at_risk_at

    def import_state(
        self,
        boot_samples: dict[str, list[tuple[Seconds, Seconds]]],
        unavailable: list[tuple[MachineKind, Seconds]],
        at_risk_age_s: Seconds | None,
    ) -> None:
        """The same, from the leader before."""
        now = self.now
        self.boot_times.import_samples(boot_samples, now)
        self._unavailable_until.update((kind, now + left) for kind, left in unavailable if left > 0)
        if at_risk_age_s is not None:
            self._last_at_risk_at = max(self._last_at_risk_at, now - at_risk_age_s)

    def is_deleted(self, machine: MachineId) -> bool:
        return machine in self._deleted

    def on_machine_up(self, machine: Machine) -> None:
        """It reports for the first time to any leader."""
        if machine.machine_type is not None:
            self.boot_times.record_boot(machine.machine_type, self.now - machine.rented_at, self.now)

    def decommission(self, machine: Machine, reason: str, is_only_silent: bool = False) -> None:
        """Take it out of use; deleting it proves what was there gone. Where it was only `silent`, and the cloud refuses
        to delete it, it is taken back when it speaks again."""
        if machine.decommission_reason is None:
            log.info("machine %s condemned with %d tasks: %s", machine.id, len(machine.placements), reason)
            machine.decommission_reason = reason
            machine.is_decommissioned_for_silence = is_only_silent

    def _reinstate_if_heard(self, machine: Machine) -> bool:
        """Taken back: in an outage of the cloud a cut ended first, and ten machines whose tasks ran on, or could
        have begun again beside their images, were deleted when the cloud was back."""
        if (
            not machine.is_decommissioned_for_silence
            or not machine.proof.has_confirmed_token
            or self._host.scheduling_view.is_silent(machine)
        ):
            return False
        if machine.contact.unresponsive_since is not None:
            self._host.dispatcher.probe(machine.id)
            return False
        log.info("machine %s speaks again before it was deleted", machine.id)
        machine.decommission_reason, machine.is_decommissioned_for_silence = None, False
        return True

    def _on_tick(self) -> None:
        try:
            if not self._host.has_valid_lease():
                # Another may lead: its machines are neither silent nor idle because we hear nothing.
                return
            if self._saves_money:
                self._expensive_kinds = find_expensive_kinds(self._machine_types(), self._operator.dear_multiple)
            self._update_demands()
            self._check_machines()
            self._scale_in()
            self._delete_decommissioned()
            self._scale_out()
            if not self._is_listing and self.now >= self._next_list_at:
                self._is_listing = True
                Deferred.fromCoroutine(self._refresh_machine_list())
        except Exception:
            log.exception("fleet tick failed")

    # Machines that exist

    async def _refresh_machine_list(self) -> None:
        try:
            machines = await self._cloud.list_machines()
            if self._tick.running:
                self._apply_machine_list(machines)
        except CloudError as error:
            log.info("machine list: %s", error)
        finally:
            self._is_listing = False
            self._next_list_at = self.now + max(2.0, self._facts.cloud.list_lag_s * LIST_LAG_FACTOR)

    def _apply_machine_list(self, machines: list[m.ListedMachine]) -> None:
        now = self.now
        listed_ids = set()
        described_at: Instant | None = None
        for listed in machines:
            listed_ids.add(listed.id)
            known = self._host.worker_registry.machines.get(listed.id)
            if known is not None and known.is_rental_time_known:
                # Its age then, and when it was rented, tell what time the list describes.
                described_at = Instant(max(described_at or 0.0, known.rented_at + listed.age_s))
            if listed.id in self._deleted:
                continue
            is_new = listed.id not in self._host.worker_registry.machines
            machine = self._host.add_machine(listed.id, listed.kind)
            if is_new:
                # Rented by an earlier leader, or by a request executed late: used or returned.
                log.info("machine %s found in the list: %s", listed.id, listed.state)
                machine.rented_at = Instant(now - listed.age_s)
            if listed.addr is not None and machine.address is None and listed.state == "running":
                machine.address = listed.addr
                self._host.dispatcher.probe(machine.id)
            if not machine.is_stored:
                self._host.store_machine(machine)
            if listed.state == "failed":
                self.decommission(machine, "the cloud lists it as failed")
        self._host.on_cloud_list(described_at)
        self._listed.update(listed_ids)
        for machine in self._host.worker_registry.machines.values():
            if machine.id in listed_ids or machine.id not in self._listed:
                self._list_absences.pop(machine.id, None)
                continue
            # A list may be older than the one before, so one absence means nothing.
            absences = self._list_absences[machine.id] = self._list_absences.get(machine.id, 0) + 1
            if absences >= 3 and self._host.scheduling_view.is_silent(machine):
                self.decommission(machine, "it left the machine list")

    def _check_machines(self) -> None:
        now = self.now
        view = self._host.scheduling_view
        # Counted as soon as silence shows, or those silent first would be given up before the others.
        contacted = [
            x
            for x in self._host.worker_registry.machines.values()
            if x.is_up or x.contact.hinted_contact_at is not None
        ]
        is_recently_heard = view.contact_check()
        silent_by_machine = [
            (x.kind.zone, not is_recently_heard(x) or x.contact.unresponsive_since is not None) for x in contacted
        ]
        cloud_list_s = DEAD_MACHINE_LISTED_S + 2 * LIST_LAG_FACTOR * self._facts.cloud.list_lag_s
        timeouts = silence_timeout_by_zone(silent_by_machine, self._operator.silent_s, cloud_list_s)
        # Nearly all machines are well, and nothing is to be done about them.
        well_within = view.contact_window_s <= self._operator.silent_s
        for machine in list(self._host.worker_registry.machines.values()):
            if machine.decommission_reason is not None:
                continue
            if well_within and machine.contact.unresponsive_since is None and is_recently_heard(machine):
                continue
            if machine.is_up or machine.contact.hinted_contact_at is not None:
                # Heard by the leader before us, it is judged as if we had been that one, once it can have found us.
                had_time_to_report = machine.is_up or now - self._started_at > view.contact_window_s
                silence_s = view.silence_s(machine)
                if had_time_to_report and silence_s > timeouts[machine.kind.zone]:
                    self.decommission(machine, f"silent for {silence_s:.1f} s", True)
                elif machine.contact.unresponsive_since is not None and self._is_unreachable_too_long(
                    machine, timeouts[machine.kind.zone]
                ):
                    self.decommission(machine, "it reports, and nothing reaches it", True)
                elif view.is_silent(machine) or machine.contact.unresponsive_since is not None:
                    self._host.dispatcher.probe(machine.id)
            elif machine.placements or machine.address is not None:
                # It was up under an earlier leader: its worker may still look for the new one.
                if machine.address is not None:
                    self._host.dispatcher.probe(machine.id)
                if now - max(self._started_at, machine.contact.first_seen_at) > self._facts.workers.lease_s:
                    self.decommission(machine, "silent since it is known to this term", True)
            else:
                give_up_s = (
                    self.boot_times.give_up_after_s(machine.machine_type, now) if machine.machine_type else 180.0
                )
                waited_s = now - max(machine.rented_at, Instant(0.0))
                if waited_s > give_up_s + 2 * self._facts.cloud.list_lag_s and now - self._started_at > 10.0:
                    self.decommission(machine, f"not up {waited_s:.0f} s after its rental")

    def _is_unreachable_too_long(self, machine: Machine, timeout_s: Seconds) -> bool:
        """Whether it is given up though it reports. If answers don't reach it either, its lease has run out and its
        tasks are gone; if they do, what it runs may go on. It is kept for a lease, and as long again as a silent one
        of its zone would be."""
        assert machine.contact.unresponsive_since is not None
        has_started_tasks = any(
            (p.task, p.attempt) not in machine.proof.open_starts for p in machine.placements.values()
        )
        return (
            not has_started_tasks
            and self.now - machine.contact.unresponsive_since > self._facts.workers.lease_s + timeout_s
        )

    def _delete_decommissioned(self) -> None:
        to_delete = [
            x.id
            for x in self._host.worker_registry.machines.values()
            if x.decommission_reason is not None and x.id not in self._deleting and not self._reinstate_if_heard(x)
        ]
        if to_delete:
            to_delete = to_delete[: m.MAX_MACHINES_PER_DELETION]
            self._deleting.update(to_delete)
            Deferred.fromCoroutine(self._delete_machines(to_delete))

    async def _delete_machines(self, machine_ids: list[MachineId]) -> None:
        try:
            await self._cloud.delete_machines(machine_ids)
        except CloudError as error:
            # Only a 200 proves the machines gone; without an answer it may still be executed.
            log.info("deletion of %s: %s", ", ".join(machine_ids), error)
            for machine in map(self._host.worker_registry.machines.get, machine_ids):
                if machine is not None and not isinstance(error, CloudRequestRejectedError):
                    machine.is_decommissioned_for_silence = False
                if machine is not None and machine.placements:
                    # It may answer though it does not report, or speak again: what it tells proves as much.
                    self._host.dispatcher.probe(machine.id)
            return
        finally:
            self._deleting.difference_update(machine_ids)
        log.info("deleted %s", ", ".join(machine_ids))
        for machine_id in machine_ids:
            machine = self._host.worker_registry.machines.get(machine_id)
            if machine is not None and machine.is_up and machine.reclaim_at is None:
                # Its room is free for what is rented next. Once 250 dead machines were deleted
                # a second after a refusal, and their kind was not asked for again for ten more.
                self._unavailable_until.pop(machine.kind, None)
            self._deleted[machine_id] = None
            self._completions.forget(machine_id)
            if self._tick.running:
                self._host.on_machine_deleted(machine_id)
        while len(self._deleted) > MAX_REMEMBERED_DELETIONS:
            self._deleted.popitem(last=False)

    def _scale_in(self) -> None:
        """Drain and return by what waits: nothing; nothing pressed; something pressed.

        Where no aim gives time to save money in, nothing is drained and no kind is dear: once the machines that a
        site had from its start were returned as dear one by one, while its idle-time work waited for room."""
        now = self.now
        if any(need.is_at_risk for need in self._demands):
            self._last_at_risk_at = now
        if self._demands:
            self._last_demand_at = now
        machines = self._host.worker_registry.machines.values()
        if self._saves_money and now - self._last_demand_at > self._operator.drain_after_s:
            self._drain_surplus()
        elif now - self._last_at_risk_at > self._operator.drain_after_s:
            waiting_specs = [need.spec for need in self._demands if self._requires_expensive_kind(need.spec)]
            for machine in machines:
                machine.is_draining = (
                    machine.kind in self._expensive_kinds
                    and machine.is_up
                    and not self._is_expensive_kind_needed(machine, waiting_specs)
                )
        else:
            for machine in machines:
                machine.is_draining = False
        for machine in machines:
            if (
                machine.decommission_reason is not None
                or machine.placements
                or machine.reported.orphaned
                or not machine.is_up
            ):
                continue
            idle_s = now - machine.idle_since
            keep_s = (
                0.0 if machine.kind in self._expensive_kinds and machine.is_draining else self._idle_keep_s(machine)
            )
            if (
                (machine.is_draining or not self._demands)
                and idle_s >= keep_s
                and now - machine.rented_at >= MIN_CHARGE_S
            ):
                self.decommission(machine, f"idle for {idle_s:.0f} s")

    def _requires_expensive_kind(self, spec: JobSpec) -> bool:
        return requires_expensive_kind(spec, self._machine_types(), self._expensive_kinds)

    def _is_expensive_kind_needed(self, machine: Machine, waiting_specs: list[JobSpec]) -> bool:
        """Whether a dear machine is needed as nothing cheaper may run what waits, or what it runs.
        Once every ordinary machine was drained as dear, and work that may use no other kind
        waited for ever."""
        jobs = {placement.task.job for placement in machine.placements.values()}
        running_specs = [job.spec for name in jobs if (job := self._host.job_table.jobs.get(name)) is not None]
        return any(is_kind_allowed(spec, machine.kind) for spec in waiting_specs) or any(
            self._requires_expensive_kind(s) for s in running_specs
        )

    def _idle_keep_s(self, machine: Machine) -> Seconds:
        """An idle machine may cost as much as the boot that returning it may bring; where money does not count it
        is kept while more work of some class is likely to come."""
        if not self._saves_money:
            return self._operator.ready_keep_s
        boot_s = (
            self.boot_times.expected_boot_s(machine.machine_type, self.now) if machine.machine_type is not None else 0.0
        )
        return self._operator.idle_keep_boots * boot_s

    def _drain_surplus(self) -> None:
        """Stop offering what the work at hand doesn't need; move what can be saved."""
        usages = [
            MachineUsage(
                x.id,
                x.machine_type.cpus,
                x.usage.cpus,
                x.machine_type.memory_gb,
                x.usage.memory_gb,
                kind_price(x.kind, x.machine_type),
            )
            for x in self._host.worker_registry.machines.values()
            if x.machine_type is not None and (x.is_draining or self._host.scheduling_view.is_schedulable(x))
        ]
        chosen = set(select_surplus_machines(usages, self._operator.spare_percent / 100))
        for machine in self._host.worker_registry.machines.values():
            if machine.is_draining != (machine.id in chosen):
                machine.is_draining = not machine.is_draining
                log.debug("machine %s draining: %s", machine.id, machine.is_draining)
            if machine.is_draining:
                self._evict_checkpointable(machine)

    def _evict_checkpointable(self, machine: Machine) -> None:
        for placement, grace_s in plan_drain_evictions(machine, self._host.job_table, self._host.runs, self.now):
            # What only dear kinds may run would come back to one, so it stays.
            if machine.kind not in self._expensive_kinds or not self._requires_expensive_kind(
                self._host.job_table.jobs[placement.task.job].spec
            ):
                self._host.stop_task(placement, grace_s)

    # Rentals

    def _update_demands(self) -> None:
        cpus = sum(
            x.machine_type.cpus
            for x in self._host.worker_registry.machines.values()
            if x.machine_type is not None and x.decommission_reason is None
        )
        headroom_by_team = self._host.scheduling_view.quota_headroom()
        self._demands = []
        slacks_s = []
        for pending_job in sorted(self._host.scheduling_view.pending_jobs(), key=queue_order):
            count = min(pending_job.task_count, headroom_by_team[pending_job.spec.team].max_tasks(pending_job.spec))
            headroom_by_team[pending_job.spec.team].consume(pending_job.spec, count)
            if count:
                self._demands.append(
                    CapacityDemand(
                        pending_job.spec,
                        count,
                        pending_job.expected_run_s,
                        placed_by_zone=pending_job.count_siblings_by_zone(),
                    )
                )
                # Late to start is late too: money may buy room for either aim.
                slacks_s.append(min(pending_job.slack_s, pending_job.start_slack_s))
        shortest_boot_s = min(
            (self.boot_times.expected_boot_s(t, self.now) for t in self._machine_types()), default=0.0
        )
        mark_at_risk(self._demands, slacks_s, cpus, shortest_boot_s)

    def on_new_work(self) -> None:
        """A job came: what it needs is rented now, not at the next tick."""
        if not self._is_scale_out_scheduled and self._tick.running:
            self._is_scale_out_scheduled = True
            # In proportion, as for passes: a swarm's jobs come many times a second.
            self._clock.callLater(
                max(NEW_WORK_DELAY_S, NEW_WORK_PAUSE_FACTOR * self._last_scale_out_s), self._scale_out_for_new_work
            )

    def _scale_out_for_new_work(self) -> None:
        self._is_scale_out_scheduled = False
        if not self._tick.running or not self._host.has_valid_lease():
            return
        started_at = self.now
        try:
            self._update_demands()
            self._scale_out()
        except Exception:
            log.exception("renting for new work failed")
        self._last_scale_out_s = self.now - started_at

    def _scale_out(self) -> None:
        now = self.now
        machine_types = {
            t.name: replace(t, boot_s=self.boot_times.expected_boot_s(t, now)) for t in self._machine_types()
        }
        if not machine_types or not self._demands or now < self._scale_out_from:
            return
        unavailable = {kind for kind, until in self._unavailable_until.items() if until > now}
        host = self._host
        # To wait for what ends saves money, and nothing else: once an array waited for minutes for tasks that were
        # always about to end, while half of the spot machines could have been rented.
        horizon_boots = COMPLETION_HORIZON_BOOTS if self._saves_money else 0.0
        incoming = collect_incoming_capacity(
            self._open_requests.values(),
            host.worker_registry,
            self._completions,
            host.scheduling_view,
            self.boot_times,
            machine_types,
            now,
            horizon_boots,
        )
        for kind, machine_count in plan_scale_out(
            self._demands, incoming, machine_types, unavailable, self._expensive_kinds
        ):
            # As many requests at once as it takes: the cloud's rate spaces them.
            for offset in range(0, machine_count, m.MAX_MACHINES_PER_CREATION):
                self._request_counter += 1
                # Token and counter: no node ever uses the name of a request again.
                request_id = f"r-{self._host.token}-{self._request_counter}"
                request = ScaleOutRequest(kind, min(m.MAX_MACHINES_PER_CREATION, machine_count - offset))
                self._open_requests[request_id] = request
                Deferred.fromCoroutine(self._request_machines(request_id, request))

    def is_kind_available(self, kind: MachineKind) -> bool:
        """Whether the cloud has not refused the kind just now."""
        return self._unavailable_until.get(kind, 0.0) <= self.now

    def _is_still_wanted(self, kind: MachineKind) -> bool:
        return self._tick.running and self.is_kind_available(kind)

    async def _request_machines(self, request_id: str, request: ScaleOutRequest) -> None:
        kind = request.kind
        try:
            machine_ids = await self._cloud.create_machines(
                request_id, kind, request.machine_count, lambda: self._is_still_wanted(kind)
            )
        except InsufficientCapacityError:
            log.info("rental %s: no capacity for %s", request_id, kind)
            self._unavailable_until[kind] = self.now + UNAVAILABLE_S
            return
        except CloudError as error:
            # May have been executed: such machines show up in reports and in the list.
            log.info("rental %s: %s", request_id, error)
            self._unavailable_until[kind] = self.now + 2.0
            return
        finally:
            del self._open_requests[request_id]
        log.info("rental %s: %d of %d %s", request_id, len(machine_ids), request.machine_count, kind)
        if len(machine_ids) < request.machine_count:
            self._unavailable_until[kind] = self.now + UNAVAILABLE_S
        if not self._tick.running:
            return
        for machine_id in machine_ids:
            if machine_id not in self._deleted:
                machine = self._host.add_machine(machine_id, kind)
                log.debug(
                    "machine %s rented: %s in %s, %s",
                    machine_id,
                    kind.type,
                    kind.zone,
                    "spot" if kind.spot else "ordinary",
                )
                self._host.store_machine(machine)
