"""Simulated clusters with failures while jobs are submitted, cancelled, started and finished.

Each row also asserts that its failure arrived at the critical moment. Injected bugs show that each row detects a fault
of the code (`docs/design.md` has the table).
"""

from __future__ import annotations

import json
from collections import Counter

import msgspec
import pytest

from meadowcross.common.clock import pause
from meadowcross.jobs import messages as jm
from meadowcross.jobs.api import JobApi, job_response
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.state_loader import StateLoader
from meadowcross.workers.registry import TaskChange, WorkerRegistry
from simulation.judge import MAX_WAIT_S, Judge, Spec
from tests.simulation.test_isolation_and_starvation import release_unreachable_machines, skip_largest_jobs
from tests.simulation.test_overlapping_failures import (
    LONG_JOBS,
    SERVICE,
    SHORT_JOBS,
    FailureRun,
    answer_queries_from_cache,
    node_kill,
    release_unreached_placements,
    signs_of,
    transfer_leadership,
)
from tests.simulation.test_scenarios import forget_placements, ignore_quotas, start_before_storing

CLOUD_OUTAGE = {"kind": "cloud_outage", "at_s": 28.0, "for_s": 34.0}
CANCELLED_JOBS = {"class": "idle", "tasks": 2, "run_s": 200.0, "count": 30, "at_s": 8.0, "every_s": 1.0}


def assert_all_confirmed(run, min_count, longest_s=60.0):
    cancels = run.result["cancels"]
    assert cancels["asked"] == cancels["told"] >= min_count and cancels["longest_s"] <= longest_s, cancels


def cancelled_within(run, since, until):
    return sum(since <= (job.cancel_asked or 0.0) <= until for job in run.lab.judge.jobs.values())


def call_at(run, when, observe):
    run.lab.simulation.at(when, observe)


TRANSFERS_AT_S = (16.0, 30.0, 44.0)


def cancel_during_leadership_transfers():
    """Four one-task jobs a second, a quarter of them cancelled, while the leader changes four times."""
    small = {"class": "tiny", "run_s": 6.0, "image_gb": 0.1, "at_s": 4.0, "every_s": 0.333, "count": 150}
    cancelled = small | {"class": "called-off", "run_s": 60.0, "every_s": 1.0, "count": 50, "cancel_after_s": 4.0}
    run = FailureRun("quiet", [node_kill(58.0, 6.0)], 100.0, [small, cancelled])
    for when in TRANSFERS_AT_S:
        call_at(run, when, lambda: transfer_leadership(run.lab))
    return run


def cancellations_fell_into_each_transfer(run):
    assert len(run.lab.takeovers) >= 4
    assert all(cancelled_within(run, when - 1.0, when + 2.0) >= 2 for when in (*TRANSFERS_AT_S, 53.0)), TRANSFERS_AT_S
    assert_all_confirmed(run, 50, 20.0)


def run_at_quota(machine_fault):
    """Teams use their whole quota, machines are unreachable, jobs are cancelled, and a new leader has no cloud."""
    cancel_fault = {"kind": "cancel_now", "at_s": 30.6, "count": 8, "hang_s": 9.0}
    jobs = [
        LONG_JOBS | {"team": "a", "class": "a-long", "run_s": 80.0, "count": 10},
        LONG_JOBS | {"team": "b", "class": "b-long", "run_s": 80.0, "count": 10},
        SHORT_JOBS | {"team": "a", "class": "a-flow"},
        SHORT_JOBS | {"team": "b", "class": "b-flow"},
    ]
    run = FailureRun(
        "quiet", [machine_fault, cancel_fault, CLOUD_OUTAGE, node_kill(31.0, 6.0)], 150.0, jobs, limit=24.0
    )
    run.used_cpus, run.unreachable_placements = {}, []

    def record_use():
        run.used_cpus = dict(run.lab.judge._used_cpus)

    def count_unreachable():
        term = run.lab.nodes[run.lab.leader()].term
        placements = [
            placement
            for machine in term.worker_registry.machines.values()
            if not machine.proof.has_confirmed_token or machine.contact.unresponsive_since
            for placement in machine.placements
        ]
        run.unreachable_placements.append(len(placements))

    call_at(run, 30.5, record_use)
    for when in (36.0, 40.0):
        call_at(run, when, count_unreachable)
    return run


def partition_machines_at_quota():
    return run_at_quota({"kind": "machine_cut", "at_s": 30.2, "count": 4, "for_s": 26.0})


def lose_commands_at_quota():
    return run_at_quota({"kind": "machine_deaf", "at_s": 30.2, "count": 4, "for_s": 26.0})


def quotas_used_with_unreachable_machines(run):
    assert all(cpus >= 23.0 for cpus in run.used_cpus.values()) and len(run.used_cpus) == 2, run.used_cpus
    assert max(run.unreachable_placements) >= 3, run.unreachable_placements
    assert_all_confirmed(run, 8)


def elect_ten_leaders():
    """Ten leaders follow each other within two minutes, some of them during an outage of the store."""
    kills = [node_kill(15.0 + 10.0 * number, (0.2, 6.0, 1.0)[number % 3]) for number in range(12)]
    outages = [{"kind": "store_outage", "at_s": when, "for_s": 8.0} for when in (42.0, 92.0)]
    cancelled = CANCELLED_JOBS | {"cancel_after_s": 12.0, "every_s": 3.0}
    return FailureRun("quiet", [*kills, *outages], 200.0, [LONG_JOBS | {"run_s": 30.0}, SHORT_JOBS, SERVICE, cancelled])


def ten_leaders_were_elected(run):
    terms = [takeover.at_s for takeover in run.lab.takeovers if 14.0 < takeover.at_s < 140.0]
    assert len(terms) >= 10, terms
    assert run.result["again"] == 0
    assert_all_confirmed(run, 30)


def query_all_nodes_closely():
    """Users query all nodes within milliseconds after each change of state; some cancel immediately."""
    queries = {"kind": "close_looks", "at_s": 2.0, "for_s": 70.0}
    refused = {"kind": "store_refuses", "at_s": 20.0, "node": "follower", "for_s": 10.0}
    cancelled = [
        CANCELLED_JOBS | {"cancel_after_s": 8.0, "count": 20},
        CANCELLED_JOBS | {"class": "at-once", "cancel_after_s": 0.01, "count": 20},
    ]
    return FailureRun("quiet", [queries, refused, node_kill(40.0, 0.2)], 90.0, [SHORT_JOBS, *cancelled])


def many_queries_answered(run):
    assert run.lab.users.close_query_count >= 3_000
    assert_all_confirmed(run, 40)


def cancel_at_end_of_job():
    """Each job is cancelled at the moment at which it ends; there is no other fault."""
    cancellations = {"kind": "cancel_at_end", "at_s": 1.0, "for_s": 60.0, "share": 1.0}
    queries = {"kind": "close_looks", "at_s": 1.0, "for_s": 70.0}
    brief = {"class": "brief", "run_s": 4.0, "image_gb": 0.1, "count": 60, "at_s": 2.0, "every_s": 0.7}
    return FailureRun(
        "quiet", [cancellations, queries], 80.0, [brief, brief | {"class": "two", "tasks": 2, "apart_s": 3.0}]
    )


def jobs_ended_done_or_cancelled(run):
    states = Counter(job.told for job in run.lab.judge.jobs.values() if job.cancel_asked is not None)
    assert states["done"] + states["cancelled"] >= 80 and min(states["done"], states["cancelled"]) >= 5, states


def lose_responses_of_transactions():
    """A third of all transactions is applied in time and gets no response, while users query all nodes."""
    lost_responses = {"kind": "late_writes", "at_s": 6.0, "for_s": 50.0, "share": 0.3, "at_once": True}
    queries = {"kind": "close_looks", "at_s": 6.0, "for_s": 60.0}
    cancelled = CANCELLED_JOBS | {"cancel_after_s": 9.0}
    return FailureRun(
        "quiet", [lost_responses, queries, node_kill(30.0, 0.2)], 110.0, [LONG_JOBS, SHORT_JOBS, SERVICE, cancelled]
    )


def responses_were_lost(run):
    assert run.lab.store.lost_responses >= 40 and run.lab.users.close_query_count >= 1_000
    assert run.result["again"] == 0 and set(run.result["served"].values()) == {1.0}
    assert_all_confirmed(run, 30)


def deliver_copies_to_new_leader():
    """Copies of heartbeats, also of earlier incarnations, reach all controllers when a new leader is elected."""
    copies = {"kind": "report_copies", "at_s": 8.0, "for_s": 60.0, "factor": 1.0, "for_next": True}
    restarts = {"kind": "machine_back", "at_s": 26.0, "count": 3, "back_s": 0.3, "anew": False}
    partition = {"kind": "machine_cut", "at_s": 20.0, "count": 3, "for_s": 18.0}
    down = {"kind": "cloud_outage", "at_s": 20.0, "for_s": 30.0}
    faults = [copies, restarts, partition, down, node_kill(30.0, 0.2), node_kill(42.0, 6.0), node_kill(56.0, 6.0)]
    return FailureRun("quiet", faults, 120.0, [LONG_JOBS, SHORT_JOBS, SERVICE])


def copies_reached_new_leaders(run):
    assert run.lab.world.late["kept for the next"] >= 200, run.lab.world.late
    assert len(run.lab.takeovers) >= 4


def partition_zone():
    """A zone with workers and controllers is partitioned for longer than a worker lease; the cloud is unavailable."""
    cut = {"kind": "zone_cut", "at_s": 30.0, "zone": "east", "for_s": 26.0}
    bound = {"class": "bound", "tasks": 6, "one_zone": True, "run_s": 40.0, "count": 6, "at_s": 4.0, "every_s": 3.0}
    cancelled = CANCELLED_JOBS | {"cancel_after_s": 20.0}
    run = FailureRun("quiet", [cut, CLOUD_OUTAGE], 160.0, [LONG_JOBS, SHORT_JOBS, SERVICE, bound, cancelled])
    run.machines_in_zone = []

    def observe():
        run.machines_in_zone += [machine for machine in run.lab.machines.values() if machine.machine["field"] == "east"]

    call_at(run, 29.9, observe)
    return run


def leader_elected_outside_zone(run):
    """The old leader in the zone went on answering most machines; another was elected outside the zone."""
    assert len(run.machines_in_zone) >= 10
    assert any(30.0 < takeover.at_s < 56.0 and takeover.node == "n1" for takeover in run.lab.takeovers)
    assert run.result["again"] == 0
    assert all(share == 1.0 for share in run.result["served"].values())


def kill_all_controllers():
    """All controllers are down for longer than a worker lease."""
    kills = [node_kill(30.0, 24.0, node) for node in ("n0", "n1", "n2")]
    cancelled = CANCELLED_JOBS | {"cancel_after_s": 40.0, "count": 10}
    run = FailureRun("quiet", kills, 150.0, [LONG_JOBS, SHORT_JOBS, SERVICE, cancelled])
    run.incarnations = []
    call_at(run, 53.9, lambda: run.incarnations.extend(machine.session for machine in run.lab.machines.values()))
    return run


def all_leases_ended(run):
    assert len(run.incarnations) >= 10 and min(run.incarnations) > 1, run.incarnations
    assert all(share == 1.0 for share in run.result["served"].values())
    assert_all_confirmed(run, 10)


def lose_machines_of_zone_bound_jobs():
    """Arrays and gangs that are bound to one zone lose machines, then their zone is partitioned."""
    bound = {"class": "bound", "tasks": 14, "cpus": 1.0, "one_zone": True, "run_s": 30.0, "count": 12, "every_s": 2.0}
    gang = bound | {"class": "gang", "kind": "gang", "tasks": 6, "checkpoint_s": 5.0, "save_s": 1.0, "count": 4}
    deaths = {"kind": "machine_die", "at_s": 21.5, "count": 3}
    cut = {"kind": "zone_cut", "at_s": 22.0, "zone": "east", "for_s": 24.0}
    return FailureRun("quiet", [deaths, cut, node_kill(60.0, 6.0)], 170.0, [bound, gang, SERVICE])


def tasks_were_lost(run):
    assert run.result["lost"] >= 10 and all(share == 1.0 for share in run.result["served"].values())


def boot_machines_fast():
    """New machines are up within two seconds and get tasks while writes are slow and leaders are killed.

    Each request takes a tenth of a second; a lost response or a change of leader takes seconds.
    """
    slow = {"kind": "store_slow", "at_s": 10.0, "for_s": 40.0, "factor": 25.0}
    late = [{"kind": "store_late", "at_s": when, "count": 1, "for_s": 9.0} for when in (12.8, 19.0, 26.0)]
    faults = [slow, *late, node_kill(14.0, 0.2), node_kill(20.0, 6.0), node_kill(27.0, 0.2), node_kill(36.0, 6.0)]
    sweep = {"class": "sweep", "tasks": 12, "cpus": 1.0, "run_s": 10.0, "image_gb": 0.1}
    sweep |= {"count": 12, "at_s": 6.0, "every_s": 3.0}
    run = FailureRun("quiet", faults, 110.0, [LONG_JOBS, sweep], boot_s=1.0)
    run.busy_new_machines = 0
    start_machine = run.lab._start_machine

    def start_and_observe(machine, host):
        start_machine(machine, host)
        judge, name = run.lab.judge, machine["id"]

        def observe():
            run.busy_new_machines += any(name in judge.machines_of(job) for job in judge.jobs)

        if judge._now() > 9.0:
            run.lab.simulation.later(9.0, observe)

    run.lab._start_machine = start_and_observe
    return run


def new_machines_had_tasks(run):
    assert run.busy_new_machines >= 8 and len(run.lab.takeovers) >= 5
    assert run.lab.store.late_applied + run.lab.store.late_rejected == 3
    assert run.result["again"] == 0 and set(run.result["served"].values()) == {1.0}


def submit_more_than_capacity():
    """Urgent and low-priority jobs need more than the capacity, and images are fetched slowly."""
    urgent = {"class": "urgent", "priority": "high", "tasks": 10, "cpus": 1.0, "run_s": 12.0, "count": 40}
    urgent |= {"every_s": 2.0}
    low = {"class": "idle", "priority": "low", "tasks": 16, "cpus": 1.0, "run_s": 15.0, "count": 5, "every_s": 8.0}
    capacity = {"kind": "capacity", "at_s": 0.0, "factor": 0.02, "for_s": 290.0}
    jobs = [urgent, low | {"checkpoint_s": 5.0, "save_s": 1.0}, low | {"class": "large", "tasks": 24, "count": 2}]
    return FailureRun("quiet", [capacity, node_kill(50.0, 6.0)], 360.0, jobs, fetch_gb_per_s=0.06)


def half_of_each_class_served(run):
    waits = [
        job.first_started_at - job.submitted_at
        for job in run.lab.judge.jobs.values()
        if job.first_started_at is not None
    ]
    assert max(waits) > 60.0, "the capacity was enough for all jobs"
    assert all(share >= 0.5 for share in run.result["served"].values()), run.result["served"]
    assert all(share >= 0.5 for shares in run.result["largest"].values() for share in shares)


def mute_workers():
    """Workers reach no controller for longer than their lease, but receive commands; the cloud is unavailable."""
    mute = {"kind": "machine_mute", "at_s": 30.0, "count": 6, "for_s": 50.0}
    down = CLOUD_OUTAGE | {"for_s": 60.0}
    run = FailureRun("quiet", [mute, down], 150.0, [LONG_JOBS | {"count": 12}, SHORT_JOBS, SERVICE])
    run.machines_with_late_starts = []
    record_start = run.lab.judge.task_on

    def record_and_check_start(job, number, machine, *details):
        worker = run.lab.machines[machine]
        if worker.mute and worker.now - worker._lease_renewed_at > run.lab.scenario.workers.lease_s / 2:
            run.machines_with_late_starts.append(machine)
        record_start(job, number, machine, *details)

    run.lab.judge.task_on = record_and_check_start
    run.placements_on_mute = []

    def observe():
        term = run.lab.nodes[run.lab.leader()].term
        mute = [term.worker_registry.machines[name] for name, worker in run.lab.machines.items() if worker.mute]
        run.placements_on_mute.append((len(mute), sum(len(machine.placements) for machine in mute)))

    call_at(run, 31.0, observe)
    call_at(run, 62.0, observe)
    return run


def no_start_on_mute_workers(run):
    (mute_before, placed_before), (mute_after, placed_after) = run.placements_on_mute
    assert mute_before >= 4 and placed_before >= 5 and mute_after >= 4, run.placements_on_mute
    assert placed_after == 0, "the machines' responses to commands prove that their tasks are gone"
    assert len(run.machines_with_late_starts) <= 2, run.machines_with_late_starts
    assert all(share == 1.0 for share in run.result["served"].values())


def send_unusual_requests():
    """All nodes, one of them refused by the store, receive repeated and invalid submissions and late cancellations."""
    unusual = {"kind": "odd_requests", "at_s": 12.0, "for_s": 60.0}
    refused = {"kind": "store_refuses", "at_s": 30.0, "node": "follower", "for_s": 12.0}
    return FailureRun(
        "quiet",
        [unusual, refused, node_kill(50.0, 0.2)],
        90.0,
        [LONG_JOBS, SHORT_JOBS, CANCELLED_JOBS | {"cancel_after_s": 15.0}],
    )


def responses_as_expected(run):
    responses = run.lab.users.unusual_responses
    expected = {"fits nowhere": 422, "lacks a field": 400, "again": 200, "cancel of what is done": 200}
    assert all(responses[request, status] >= 20 for request, status in expected.items()), responses
    unexpected = sum(count for (request, status), count in responses.items() if status != expected[request])
    assert unexpected * 5 < responses.total(), responses


FAILURE_CASES = [
    (
        "cancellations during leadership transfers",
        cancel_during_leadership_transfers,
        cancellations_fell_into_each_transfer,
    ),
    ("teams at their quota, partitioned machines", partition_machines_at_quota, quotas_used_with_unreachable_machines),
    (
        "teams at their quota, machines without commands",
        lose_commands_at_quota,
        quotas_used_with_unreachable_machines,
    ),
    ("ten leaders in two minutes", elect_ten_leaders, ten_leaders_were_elected),
    ("users query all nodes within milliseconds", query_all_nodes_closely, many_queries_answered),
    ("cancellations at the end of the last task", cancel_at_end_of_job, jobs_ended_done_or_cancelled),
    ("transactions applied, responses lost", lose_responses_of_transactions, responses_were_lost),
    ("heartbeat copies at a new leader", deliver_copies_to_new_leader, copies_reached_new_leaders),
    ("zone partitioned for longer than a lease", partition_zone, leader_elected_outside_zone),
    ("all controllers down for longer than a lease", kill_all_controllers, all_leases_ended),
    ("jobs bound to one zone lose machines", lose_machines_of_zone_bound_jobs, tasks_were_lost),
    ("fast boots while writes are slow and leaders are killed", boot_machines_fast, new_machines_had_tasks),
    ("more work than capacity, slow image fetches", submit_more_than_capacity, half_of_each_class_served),
    ("workers that reach no controller", mute_workers, no_start_on_mute_workers),
    ("unusual requests at all nodes", send_unusual_requests, responses_as_expected),
]


@pytest.mark.parametrize(
    ("make_run", "check"), [row[1:] for row in FAILURE_CASES], ids=[row[0] for row in FAILURE_CASES]
)
def test_failures_during_work_break_no_rule(make_run, check):
    run = make_run()
    assert run.play() == set()
    check(run)


# Injected bugs


def accept_any_token_as_proof(monkeypatch):
    """Accept heartbeats of machines that have not seen the leader's token as proof."""
    apply = WorkerRegistry.apply_heartbeat

    def applied(self, machine, report, now):
        return apply(self, machine, msgspec.structs.replace(report, token=max(report.token, self.token)), now)

    monkeypatch.setattr(WorkerRegistry, "apply_heartbeat", applied)


def ignore_lost_tasks(monkeypatch):
    """Ignore that a machine no longer has a task."""
    compare_tasks = WorkerRegistry._compare_tasks

    def without_lost_tasks(self, machine, report, now):
        return [
            outcome
            for outcome in compare_tasks(self, machine, report, now)
            if outcome.change is not TaskChange.GONE or outcome.exit_reason != "lost"
        ]

    monkeypatch.setattr(WorkerRegistry, "_compare_tasks", without_lost_tasks)


def offer_silent_machines(monkeypatch):
    """Offer machines for placement that respond to commands although no heartbeats of them arrive."""
    is_schedulable = SchedulingView._is_schedulable

    def ignore_silence(self, machine, since):
        reported, machine.contact.last_heartbeat_at = machine.contact.last_heartbeat_at, self._now
        try:
            return is_schedulable(self, machine, since)
        finally:
            machine.contact.last_heartbeat_at = reported

    monkeypatch.setattr(SchedulingView, "_is_schedulable", ignore_silence)


def ignore_silent_siblings(monkeypatch):
    """Ignore a job's tasks on silent machines when its zone is chosen."""
    pending_job = SchedulingView._pending_job

    def without_silent_siblings(self, job, *rest):
        pending = pending_job(self, job, *rest)
        for name in list(pending.siblings):
            machine = self._worker_registry.machines.get(name)
            if machine is None or self.is_silent(machine):
                del pending.siblings[name]
        return pending

    monkeypatch.setattr(SchedulingView, "_pending_job", without_silent_siblings)


def report_done_job_cancelled(monkeypatch):
    cancel = JobApi.cancel

    async def always_cancelled(self, job):
        response = await cancel(self, job)
        return job_response(job, jm.JobState.CANCELLED, 0, 0) if response.status == 200 else response

    monkeypatch.setattr(JobApi, "cancel", always_cancelled)


def count_only_running_tasks(monkeypatch):
    """Count only running tasks against the quotas."""
    quota_headroom = SchedulingView.quota_headroom

    def count_running_tasks(self):
        headroom = quota_headroom(self)
        for job in self._job_table.jobs.values():
            not_running = sum(placement.phase is not PlacementPhase.RUNNING for placement in job.placements.values())
            team = headroom[job.spec.team]
            headroom[job.spec.team] = type(team)(team.cpus + not_running * job.spec.cpus, team.gpus)
        return headroom

    monkeypatch.setattr(SchedulingView, "quota_headroom", count_running_tasks)


def load_state_late(monkeypatch):
    """Let a new leader load the stored state, and with it cancellations, 30 seconds late."""
    load = StateLoader.load

    async def load_late(self):
        await pause(self._context.clock, 30.0)
        return await load(self)

    monkeypatch.setattr(StateLoader, "load", load_late)


INJECTED_BUGS = [
    # injected bug, part of the name of the case that reveals it, the expected sign
    (forget_placements, "ten leaders", "ran_twice"),
    (load_state_late, "leadership transfers", "the row's mark"),
    (release_unreached_placements, "partitioned machines", "quota"),
    (ignore_quotas, "partitioned machines", "quota"),
    (release_unreachable_machines, "without commands", "ran_twice"),
    (count_only_running_tasks, "without commands", "quota"),
    (answer_queries_from_cache, "within milliseconds", "went_back"),
    (answer_queries_from_cache, "end of the last task", "went_back"),
    (answer_queries_from_cache, "responses lost", "went_back"),
    (accept_any_token_as_proof, "heartbeat copies", "ran_twice"),
    (release_unreached_placements, "zone partitioned", "ran_twice"),
    (ignore_lost_tasks, "all controllers down", "the row's mark"),
    (ignore_silent_siblings, "bound to one zone", "wrong_place"),
    (start_before_storing, "fast boots", "ran_twice"),
    (skip_largest_jobs, "more work than capacity", "the row's mark"),
    (offer_silent_machines, "reach no controller", "the row's mark"),
    (report_done_job_cancelled, "unusual requests", "went_back"),
]


@pytest.mark.parametrize(
    ("inject_bug", "case", "expected"),
    INJECTED_BUGS,
    ids=[f"{inject_bug.__name__}-{case}" for inject_bug, case, _ in INJECTED_BUGS],
)
def test_injected_bug_is_detected(monkeypatch, inject_bug, case, expected):
    make_run, check = next(row[1:] for row in FAILURE_CASES if case in row[0])
    inject_bug(monkeypatch)
    assert expected in signs_of(make_run(), check)


WAITING_JOBS = [
    # case, for how long there was room, whether the team is at its quota, whether a task is on a machine, broken rules
    ("room for longer than the limit", MAX_WAIT_S + 10.0, False, False, {"left_waiting"}),
    ("room for less than the limit", MAX_WAIT_S - 10.0, False, False, set()),
    ("team at its quota", MAX_WAIT_S + 10.0, True, False, set()),
    ("task on a machine", MAX_WAIT_S + 10.0, False, True, set()),
]


@pytest.mark.parametrize(
    ("duration_s", "is_full", "is_running", "broken"),
    [row[1:] for row in WAITING_JOBS],
    ids=[row[0] for row in WAITING_JOBS],
)
def test_job_that_waits_despite_room_is_detected(duration_s, is_full, is_running, broken):
    clock = [0.0]
    judge = Judge(lambda: clock[0], 40.0, {"a": 1.0 if is_full else 2.0})
    for job in ("wk-000001", "wk-000002"):
        judge.record_submission(Spec(job, "train", "a", "array", 1, 1.0, True, None, False, False))
        judge.record_state(job, "pending")
    if is_running or is_full:
        judge.task_on("wk-000001" if is_running else "wk-000002", 0, "i-1", "small", "east", False)
    while clock[0] < duration_s:
        clock[0] += 5.0
        judge.check_wait("wk-000001", True)
    judge.check_wait("wk-000001", False)
    assert {violation["rule"] for violation in judge.broken} == broken


def test_unexpected_response_is_detected(monkeypatch):
    """The judge reports a repeated submission that is rejected."""
    submit = JobApi.submit

    async def reject_repeated(self, body):
        response = await submit(self, body)
        is_repeated = response.status == 200
        return job_response(json.loads(body)["id"], jm.JobState.DONE, 0, 0, 422) if is_repeated else response

    monkeypatch.setattr(JobApi, "submit", reject_repeated)
    assert "forgotten" in send_unusual_requests().play()
