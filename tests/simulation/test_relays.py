"""Simulated clusters whose workers report to relays, with faults at critical moments.

Each row also asserts that its fault did arrive. Injected bugs show that each row detects a fault of the code
(`docs/design.md` has the table).
"""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.http import ConnectionFailedError, NoResponseError
from meadowcross.common.settings import RelayMode
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.relay.pool import RelayPool
from meadowcross.relay.relay import Relay
from meadowcross.relay.service import RelayService
from meadowcross.workers.registry import TaskChange, TaskOutcome
from simulation.scenario import Fault, Jobs, load
from simulation.world import Lab
from tests.simulation.test_isolation_and_starvation import WHERE
from tests.simulation.test_overlapping_failures import signs_of

LONG_JOBS = {"class": "long", "tasks": 12, "run_s": 40.0, "count": 8, "every_s": 1.0}
SHORT_JOBS = {"class": "flow", "team": "a", "tasks": 4, "run_s": 5.0, "count": 70, "at_s": 3.0, "every_s": 1.0}
GANGS = {"class": "train", "kind": "gang", "tasks": 6, "run_s": 6.0, "count": 40, "at_s": 6.0, "every_s": 1.0}
SERVICE = {"class": "web", "kind": "service", "tasks": 4, "spread": True, "spot": False, "at_s": 8.0}
RELAY = "follower"
"""The scenario's name for a controller that does not lead; all followers are relays here."""


class RelayRun:
    """One run of a scenario with relays from the first worker on."""

    def __init__(
        self, faults, until=90.0, jobs=(LONG_JOBS, SHORT_JOBS, SERVICE), nodes=3, seed=1, lab=Lab, report_s=3.0
    ):
        scenario = load(str(WHERE / "quiet.toml"))
        scenario.operator = {"relays": "always"}
        scenario.nodes = nodes
        scenario.zones = ["east", "west"]
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
        scenario.duration_s = until
        scenario.workers.report_s = report_s
        scenario.jobs = [msgspec.convert({"team": "b", "memory_gb": 0.2} | spec, Jobs) for spec in jobs]
        self.lab = lab(scenario, seed)
        self.observations: list = []
        self.patch: tuple | None = None
        """The method that the row replaces: class, name and function."""

    @property
    def pool(self) -> RelayPool:
        return self.lab.nodes[self.lab.leader()].term.relay_pool

    def call_at(self, when, act):
        self.lab.simulation.at(when, act)

    def play(self):
        """Run the scenario and return the violations."""
        self.result = self.lab.play()
        violations = {violation["rule"] for violation in self.result["broken"]}
        if self.result["lost"]:
            violations.add("work was lost")
        if any(machine.session > 1 for machine in self.lab.machines.values()):
            violations.add("a lease ended")
        if min(self.result["served"].values()) < 0.5:
            violations.add("not served")
        return violations


def node_kill(at_s, back_s, node=RELAY):
    return {"kind": "node_kill", "at_s": at_s, "node": node, "back_s": back_s}


def node_cut(apart, at_s=20.0, for_s=20.0, node=RELAY):
    return {"kind": "node_cut", "at_s": at_s, "node": node, "apart": apart, "for_s": for_s}


def record_workers_at(run, *times):
    """Record at these times which workers report to each node except the leader, as the workers see it."""

    def record():
        workers = {node: set() for node in run.lab.names if node != run.lab.leader()}
        for name, machine in run.lab.machines.items():
            workers.get(machine._node, set()).add(name)
        run.observations.append(workers)

    for when in times:
        run.call_at(when, record)
    return run


# Faults, each with the check that it arrived


def kill_relays_with_starts_in_flight():
    """Three times a relay is killed after a worker received start commands, while the response is on its way."""
    run = RelayRun([], 100.0)
    send_commands = Relay.send_commands
    kill_times = [15.0, 35.0, 55.0]

    async def send_and_kill(self, passed):
        now = run.lab.judge._now()
        if (
            kill_times
            and now >= kill_times[0]
            and b'"start"' in bytes(passed.body)
            and run.lab.nodes[self._node].relay is self
        ):
            del kill_times[0]
            run.observations.append(self._node)
            run.lab.simulation.later(0.0016, lambda: run.lab.kill(self._node, 5.0))
        return await send_commands(self, passed)

    run.patch = (Relay, "send_commands", send_and_kill)
    return run


def three_relays_were_killed(run):
    assert len(run.observations) == 3 and len(run.lab.takeovers) == 1


def partition_relay_from_leader():
    long_jobs = [LONG_JOBS | {"run_s": 60.0}]
    return record_workers_at(
        RelayRun([node_cut("peers", for_s=35.0)], 140.0, long_jobs, nodes=4, report_s=4.0), 19.9, 32.0
    )


def partition_relay_from_workers():
    return record_workers_at(RelayRun([node_cut("workers")], nodes=4, report_s=4.0), 19.9, 32.0)


def workers_left_the_relay(run):
    """The workers of a partitioned relay went to other nodes, and none of them stayed."""
    before, after = run.observations[:2]
    assert min(map(len, before.values())) >= 3, before
    assert any(not workers & after[node] for node, workers in before.items()), after


def freeze_relay():
    freeze = {"kind": "node_freeze", "node": RELAY, "at_s": 20.0, "for_s": 12.0}
    return record_workers_at(RelayRun([freeze], nodes=4, report_s=4.0), 19.9)


def relays_had_workers(run):
    assert min(map(len, run.observations[0].values())) >= 3, run.observations


def kill_leader_with_heartbeats_in_flight():
    """Three times the leader is killed while a relay waits for its response to a changed heartbeat."""
    run = RelayRun([], 100.0)
    forward_heartbeat = Relay.forward_heartbeat
    kill_times = [15.0, 35.0, 55.0]

    async def forward_and_kill(self, report, body):
        if kill_times and run.lab.judge._now() >= kill_times[0]:
            del kill_times[0]
            run.observations.append(report.machine)
            run.lab.simulation.later(0.0008, lambda: run.lab.kill(run.lab.leader(), 5.0))
        return await forward_heartbeat(self, report, body)

    run.patch = (Relay, "forward_heartbeat", forward_and_kill)
    return run


def three_leaders_were_killed(run):
    assert len(run.observations) == 3 and len(run.lab.takeovers) == 4
    assert all(
        takeover.first_start_s is not None and takeover.first_start_s < 6.0 for takeover in run.lab.takeovers[1:]
    )


def restart_relays_immediately():
    return record_workers_at(RelayRun([node_kill(at, 0.2) for at in (20.0, 32.0, 44.0)]), 19.9)


def start_gangs_while_workers_move():
    times = (20.0, 27.0, 34.0, 41.0)
    run = RelayRun([node_kill(when, 4.0) for when in times], 110.0, (GANGS, SHORT_JOBS))

    def record_starting_phases():
        jobs = run.lab.nodes[run.lab.leader()].term.job_table.jobs.values()
        phases = {placement.phase for job in jobs if job.is_gang for placement in job.placements.values()}
        run.observations.append(phases & {PlacementPhase.SENT, PlacementPhase.FETCHING, PlacementPhase.WAITING})

    for when in times:
        run.call_at(when, record_starting_phases)
    return run


def some_gang_was_starting(run):
    assert any(run.observations), run.observations


def cancel_jobs_on_hung_machines():
    cancellable = {"class": "idle", "tasks": 2, "run_s": 45.0, "count": 60, "at_s": 4.0, "every_s": 0.3}
    cancellations = {"kind": "cancel_now", "at_s": 25.0, "count": 20, "hang_s": 9.0}
    return RelayRun([cancellations, node_kill(25.3, 4.0)], 90.0, (cancellable, SHORT_JOBS))


def all_cancellations_were_confirmed(run):
    cancels = run.result["cancels"]
    assert cancels["asked"] == cancels["told"] >= 18, cancels


def store_outage_longer_than_lease():
    return record_workers_at(RelayRun([{"kind": "store_outage", "at_s": 20.0, "for_s": 24.0}], 110.0), 19.9, 40.0)


def workers_stayed_with_relays(run):
    """Workers stayed with their relays although nothing could be stored for longer than a worker lease."""
    before, after = run.observations
    assert min(map(len, before.values())) >= 3 and all(before[node] <= after[node] for node in before), run.observations


def partition_relays_and_kill_leader():
    """Relays are partitioned from all peers, and still hold a grant of the leader, which is killed a moment later."""
    faults = [node_cut("peers", 20.0, 25.0, "n1"), node_cut("peers", 20.0, 25.0, "n2"), node_kill(20.5, 6.0, "leader")]
    return RelayRun(faults, 140.0, [LONG_JOBS | {"run_s": 60.0}], nodes=5)


def another_leader_was_elected(run):
    assert len(run.lab.takeovers) >= 2


NEVER_RELAYS = "n3"


class MixedVersionsLab(Lab):
    """One node never relays, as if it ran the previous version."""

    def boot(self, name):
        operator = self.scenario.operator
        if name == NEVER_RELAYS:
            self.scenario.operator = operator | {"relays": "never"}
        super().boot(name)
        self.scenario.operator = operator


def mix_with_previous_version():
    return record_workers_at(RelayRun([node_kill(30.0, 4.0, "leader")], 90.0, nodes=4, lab=MixedVersionsLab), 25.0)


def previous_version_had_no_workers(run):
    workers = run.observations[0]
    assert not workers[NEVER_RELAYS] and sum(map(len, workers.values())) >= 8, workers
    assert len(run.lab.takeovers) == 2


def repeat_renewals_late():
    """Each batch of renewals arrives again after 0.6 and 3 s, while machines fetch images for new tasks."""
    fetched = [
        SHORT_JOBS | {"class": f"flow-{number}", "image_gb": 1.5, "count": 12, "at_s": 4.0 + 6 * number}
        for number in range(8)
    ]
    run = RelayRun([], 100.0, [LONG_JOBS, *fetched])
    apply_renewals = RelayService.apply_renewals

    def apply_repeatedly(self, renewals):
        apply_renewals(self, renewals)
        run.observations += renewals.renewals
        for delay_s in (0.6, 3.0):
            run.lab.simulation.later(delay_s, lambda: apply_renewals(self, renewals))

    run.patch = (RelayService, "apply_renewals", apply_repeatedly)
    return run


def many_renewals_arrived(run):
    assert len(run.observations) > 100


def partition_zone_of_a_relay():
    return RelayRun([{"kind": "zone_cut", "zone": "west", "at_s": 20.0, "for_s": 12.0, "mode": "hold"}], 100.0)


def tasks_were_started(run):
    assert run.result["started"] > 200


FAILURE_CASES = [
    # the run, the check that its fault arrived, violations that are allowed
    (kill_relays_with_starts_in_flight, three_relays_were_killed, set()),
    (partition_relay_from_leader, workers_left_the_relay, set()),
    (partition_relay_from_workers, workers_left_the_relay, set()),
    (freeze_relay, relays_had_workers, set()),
    (kill_leader_with_heartbeats_in_flight, three_leaders_were_killed, set()),
    (restart_relays_immediately, relays_had_workers, set()),
    (start_gangs_while_workers_move, some_gang_was_starting, set()),
    (cancel_jobs_on_hung_machines, all_cancellations_were_confirmed, {"work was lost"}),
    (store_outage_longer_than_lease, workers_stayed_with_relays, set()),
    (partition_relays_and_kill_leader, another_leader_was_elected, set()),
    (mix_with_previous_version, previous_version_had_no_workers, set()),
    (repeat_renewals_late, many_renewals_arrived, set()),
    (partition_zone_of_a_relay, tasks_were_started, {"work was lost", "a lease ended"}),
]


@pytest.mark.parametrize(
    ("make_run", "check", "allowed"), FAILURE_CASES, ids=[row[0].__name__ for row in FAILURE_CASES]
)
def test_failures_with_relays_break_no_rule(monkeypatch, make_run, check, allowed):
    run = make_run()
    if run.patch is not None:
        monkeypatch.setattr(*run.patch)
    assert signs_of(run, check) - allowed == set()


# Injected bugs


def report_unanswered_commands_as_unsent(monkeypatch):
    """Report commands that a relay may have sent as not sent."""
    send_commands = RelayPool.send_commands

    async def report_unsent(self, machine, body):
        try:
            return await send_commands(self, machine, body)
        except NoResponseError as error:
            raise ConnectionFailedError(str(error)) from error

    monkeypatch.setattr(RelayPool, "send_commands", report_unsent)


def never_expire_grants(monkeypatch):
    """Let a relay use its grant after it has expired."""
    monkeypatch.setattr(Relay, "active_grant", lambda self: self._grant)


def ignore_higher_tokens(monkeypatch):
    """Let a relay use its grant after it has expired, and ignore all higher tokens."""
    never_expire_grants(monkeypatch)
    answer_unchanged = Relay.answer_unchanged

    def lower_token(self, report):
        token = min(report.token, self._grant.token) if self._grant is not None else report.token
        return answer_unchanged(self, msgspec.structs.replace(report, token=token))

    monkeypatch.setattr(Relay, "answer_unchanged", lower_token)
    monkeypatch.setattr(Relay, "on_token_seen", lambda self, token: None)
    monkeypatch.setattr(Relay, "accept_grant", lambda self, grant: setattr(self, "_grant", self._grant or grant))


def treat_workers_of_silent_relay_as_silent(monkeypatch):
    """Treat the workers of a silent relay as silent."""
    monkeypatch.setattr(RelayPool, "_extend_grace", lambda self: None)
    monkeypatch.setattr(RelayPool, "_remove_relay", lambda self, node: self.assignment.remove_relay(node))


def treat_renewals_as_full_heartbeats(monkeypatch):
    """Treat tasks that do not run at the time of a heartbeat renewal as gone, as if it were a full heartbeat."""
    apply_renewals = RelayService.apply_renewals

    def release_starting_tasks(self, renewals):
        term = self._current_term()
        for renewal in renewals.renewals if term is not None else []:
            machine = term.worker_registry.machines.get(renewal.machine)
            for placement in list(machine.placements.values()) if machine is not None else []:
                if placement.phase in (PlacementPhase.SENT, PlacementPhase.FETCHING):
                    term.task_outcomes.apply(machine, TaskOutcome(TaskChange.GONE, placement, "lost"))
        apply_renewals(self, renewals)

    monkeypatch.setattr(RelayService, "apply_renewals", release_starting_tasks)


def grant_to_all_peers(monkeypatch):
    """Make each peer a relay, also peers that offer no room for workers."""
    renew_grants = RelayPool.renew_grants

    def grant_to_all(self):
        peers = self._peers
        self._peers = lambda: [
            msgspec.structs.replace(peer, relay_capacity=peer.relay_capacity or 99, relays_raised_tokens=True)
            for peer in peers()
        ]
        try:
            renew_grants(self)
        finally:
            self._peers = peers

    monkeypatch.setattr(RelayPool, "renew_grants", grant_to_all)


INJECTED_BUGS = [
    # injected bug, the run that reveals it, its check, the expected sign
    (report_unanswered_commands_as_unsent, kill_relays_with_starts_in_flight, three_relays_were_killed, "ran_twice"),
    (never_expire_grants, partition_relay_from_leader, workers_left_the_relay, "the row's mark"),
    (ignore_higher_tokens, partition_relays_and_kill_leader, another_leader_was_elected, "work was lost"),
    (treat_workers_of_silent_relay_as_silent, partition_relay_from_workers, workers_left_the_relay, "work was lost"),
    (treat_renewals_as_full_heartbeats, repeat_renewals_late, many_renewals_arrived, "ran_twice"),
    (grant_to_all_peers, mix_with_previous_version, previous_version_had_no_workers, "the row's mark"),
]


@pytest.mark.parametrize(
    ("inject_bug", "make_run", "check", "expected"),
    INJECTED_BUGS,
    ids=[f"{row[0].__name__}-{row[1].__name__}" for row in INJECTED_BUGS],
)
def test_injected_bug_is_detected(monkeypatch, inject_bug, make_run, check, expected):
    inject_bug(monkeypatch)
    run = make_run()
    if run.patch is not None:
        monkeypatch.setattr(*run.patch)
    assert expected in signs_of(run, check)


def test_all_workers_are_assigned_to_relays_in_mode_always():
    run = RelayRun([], 30.0)
    assert run.lab.nodes["n0"].services.operator.relays is RelayMode.ALWAYS
    run.lab.simulation.run(25.0)
    assert sum(map(run.pool.assignment.load, run.pool.assignment.relays)) == len(run.lab.machines) > 5
