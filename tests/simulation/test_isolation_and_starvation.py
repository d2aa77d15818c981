"""The operators' addition to the rules, with several nodes, machines and failures in the lab; each with a fault of our
own that is found."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.http import ServerResponse
from meadowcross.jobs.api import JobApi
from meadowcross.leadership.machine_status import MachineStatusHandler
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.workers.registry import WorkerRegistry
from simulation.judge import BEGIN_S, FORGOTTEN_S, Judge, Spec
from simulation.scenario import Fault, load
from simulation.world import Lab
from tests.simulation.test_scenarios import EXAMPLES, placements_forgotten
from tests.support.terms import before_each_tick

WHERE = EXAMPLES[0].parent


def lab(name, seed=1, faults=None):
    scenario = load(str(WHERE / f"{name}.toml"))
    if faults is not None:
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
    return Lab(scenario, seed)


def ready(node):
    handler, _ = node.router.resolve("GET", "/ready")
    return handler(b"").status


def test_a_lonely_leader_lets_its_workers_go_and_says_that_it_is_not_ready():
    world = lab("lonely-leader")
    world.scenario.duration_s = 55.0
    world.simulation.run(17.9)
    name = world.leader()
    node = world.nodes[name]
    old = node.term
    world.simulation.run(26.0)
    assert world.leader() not in (None, name)
    assert old.is_stopped, "a report with the next leader's token ends it, though neither store nor peers can tell"
    assert ready(node) == 503
    new = world.nodes[world.leader()].term
    assert sum(m.contact.last_heartbeat_at is not None for m in new.worker_registry.machines.values()) == len(
        world.machines
    )
    world.simulation.run(52.0)
    assert ready(node) == 200, "it comes back by itself"
    assert world.play()["broken"] == []


MIX = [
    {"kind": "report_copies", "at_s": 5.0, "for_s": 60.0, "factor": 14.0},
    {"kind": "machine_deaf", "at_s": 12.0, "count": 2, "for_s": 25.0},
    {"kind": "store_outage", "at_s": 20.0, "for_s": 6.0},
    {"kind": "node_kill", "at_s": 22.0, "node": "leader", "back_s": 0.2},
    {"kind": "machine_back", "at_s": 30.0, "count": 2, "back_s": 0.3},
    {"kind": "node_cut", "at_s": 40.0, "node": "leader", "apart": "store", "for_s": 15.0},
    {"kind": "node_cut", "at_s": 40.0, "node": "leader", "apart": "peers", "for_s": 15.0},
    {"kind": "node_kill", "at_s": 58.0, "node": "all", "back_s": 0.5},
    {"kind": "machine_back", "at_s": 59.0, "count": 1, "back_s": 0.1, "anew": False},
]


def test_all_of_it_together():
    """One seed here; dozens are played by hand (`docs/standing.md`)."""
    result = lab("quiet", 1, MIX).play()
    assert result["broken"] == []
    assert all(share >= 0.5 for shares in result["largest"].values() for share in shares)
    assert all(share >= 0.5 for share in [*result["served"].values(), *result["served_teams"].values()])


def test_who_goes_without_an_answer_is_found_however_others_fare():
    clock = [0.0]
    judge = Judge(lambda: clock[0], 40.0, {})
    judge.quiet_from = 50.0
    for job in ("wk-000001", "wk-000002"):
        judge.submitted(Spec(job, "train", "a", "array", 1, 1.0, True, None, False, False))
        judge.told(job, "pending")
    while clock[0] < 50.0 + FORGOTTEN_S + 6.0:
        clock[0] += 5.0
        judge.polled("wk-000001", 503)
        judge.polled("wk-000002", None)
    assert {one["rule"] for one in judge.broken} == {"forgotten"} and len(judge.broken) == 2


LARGEST = [
    # tasks of the jobs of a class, when each began, the share of its largest that began in time
    ("one small class", [3, 5], [1.0, BEGIN_S + 1.0], 0.0),
    ("the largest only", [3] * 18 + [9, 9], [BEGIN_S + 1.0] * 18 + [1.0, BEGIN_S], 1.0),
    ("never begun", [9], [None], 0.0),
]


@pytest.mark.parametrize(("tasks", "began", "share"), [one[1:] for one in LARGEST], ids=[one[0] for one in LARGEST])
def test_the_largest_of_a_class_are_told_apart(tasks, began, share):
    judge = Judge(lambda: 0.0, 40.0, {})
    for number, (count, at) in enumerate(zip(tasks, began, strict=True)):
        spec = Spec(f"wk-{number:06d}", "train", "a", "array", count, 1.0, True, None, False, False)
        judge.submitted(spec).begun = at
    assert judge.largest()["train"][1] == share


# Deliberate faults of our own code, and where each is found


def one_job_starved(monkeypatch):
    asked = JobApi.query

    async def query(self, job):
        return ServerResponse(503, b"{}") if job == "wk-000007" else await asked(self, job)

    monkeypatch.setattr(JobApi, "query", query)


def deaf_is_gone(monkeypatch):
    """What commands don't reach counts as gone, though it reports."""

    def release_unreached(term):
        for machine in list(term.worker_registry.machines.values()):
            is_away = machine.contact.unresponsive_since is not None or term.scheduling_view.is_silent(machine)
            for placement in list(machine.placements.values()) if is_away and term.is_loaded else []:
                spec = term.job_table.jobs[placement.task.job].spec
                term.worker_registry.unassign(placement, spec, term.context.now)
                term.job_table.release(placement)

    before_each_tick(monkeypatch, release_unreached)


def copies_are_new(monkeypatch):
    """Whatever arrives is taken for the newest report."""
    apply = MachineStatusHandler.apply

    def applied(self, heartbeat):
        machine = self._worker_registry.machines.get(heartbeat.machine)
        if machine is not None and heartbeat.token >= self._context.token:
            machine.proof.heartbeat_version = machine.proof.heartbeat_version._replace(incarnation=0, sequence=0)
        return apply(self, heartbeat)

    monkeypatch.setattr(MachineStatusHandler, "apply", applied)


def lonely_for_ever(monkeypatch):
    """A lonely leader keeps its workers whatever token they show."""
    apply = WorkerRegistry.apply_heartbeat

    def applied(self, machine, report, now):
        # Passed over as a whole. With its token lowered instead, the next leader's tasks in it counted as proof that
        # records were lost, and the lonely leader stood down for that: another guard hid the fault.
        return None if report.token > self.token else apply(self, machine, report, now)

    monkeypatch.setattr(WorkerRegistry, "apply_heartbeat", applied)


def largest_starved(monkeypatch):
    wants = SchedulingView.pending_jobs
    monkeypatch.setattr(
        SchedulingView, "pending_jobs", lambda self: [want for want in wants(self) if want.spec.tasks < 12]
    )


FAULTS = [
    # the fault, where it is found, for how long that is played, what shows it
    (one_job_starved, "quiet", 150.0, "forgotten"),
    (deaf_is_gone, "one-way-machines", 60.0, "ran_twice"),
    (copies_are_new, "late-copies", 60.0, "ran_twice"),
    (lonely_for_ever, "lonely-leader", 45.0, "a lease ended"),
    (largest_starved, "quiet", 60.0, "largest"),
    (placements_forgotten, "back-at-once", 40.0, "ran_twice"),
]


def signs(name, lasts):
    """What is wrong with a play: rules broken, a largest job never begun, a lease that ran out."""
    world = lab(name)
    world.scenario.duration_s = lasts
    result = world.play()
    found = {one["rule"] for one in result["broken"]}
    if any(begun < 0.5 for _, begun in result["largest"].values()):
        found.add("largest")
    if any(machine.session > 1 for machine in world.machines.values()):
        found.add("a lease ended")
    return found


@pytest.mark.parametrize(("fault", "name", "lasts", "shown"), FAULTS, ids=[fault[0].__name__ for fault in FAULTS])
def test_a_deliberate_fault_is_found(monkeypatch, fault, name, lasts, shown):
    if lasts < 100.0:
        assert shown not in signs(name, lasts), "nothing of it without the fault"
    fault(monkeypatch)
    assert shown in signs(name, lasts)
