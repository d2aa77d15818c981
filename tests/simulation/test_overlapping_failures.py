"""Simulated clusters in which two failures overlap.

Each row also asserts that the delayed or outdated messages did arrive at the critical moment. Injected bugs show that
each row detects a fault of the code.
"""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.defer import succeed

from meadowcross.common.http import ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.jobs.job_reader import ABSENT_JOB, JobReader
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.recovery import writeback
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.store.group_commit import Write
from meadowcross.workers import heartbeat_commands
from simulation.scenario import Fault, Jobs, load
from simulation.world import Lab
from tests.simulation.test_isolation_and_starvation import WHERE, accept_old_heartbeats, release_unreachable_machines
from tests.simulation.test_scenarios import complete_after_first_task, forget_placements, omit_leader_condition
from tests.support.combined_failures import mixed
from tests.support.terms import before_each_tick


class FailureRun:
    """One run of a scenario, with the observations that its checks use afterwards."""

    used_cpus: dict
    unreachable_placements: list
    machines_in_zone: list
    incarnations: list
    busy_new_machines: int
    machines_with_late_starts: list
    placements_on_mute: list
    pinned_placements: list
    incarnations_after: list
    socket_counts: list
    partly_done_jobs: list

    def __init__(self, base, faults, until, jobs=None, seed=1, limit=None, boot_s=None, **facts):
        """`limit`: the quota of each team in CPUs; `boot_s`: the boot time of each machine type."""
        scenario = load(str(WHERE / f"{base}.toml"))
        for team in scenario.teams:
            team.cpus_max = team.cpus_max if limit is None else limit
        for machine_type in scenario.types:
            machine_type.boot_s = machine_type.boot_s if boot_s is None else boot_s
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
        scenario.duration_s = until
        if jobs is not None:
            scenario.jobs = [
                msgspec.convert({"team": "b", "cpus": 0.2, "memory_gb": 0.2} | spec, Jobs) for spec in jobs
            ]
        for name, value in facts.items():
            setattr(scenario.workers, name, value)
        self.lab = Lab(scenario, seed)
        self.held_at = []
        """When each delayed transaction was requested."""

    def delay_transactions(self, is_selected, delay_s, max_count=1, since=0.0):
        """Delay the first `max_count` transactions that `is_selected` accepts after `since`; they get no response."""

        def delay(caller, request):
            now = self.lab.judge._now()
            if now < since or len(self.held_at) >= max_count or not is_selected(request):
                return None
            self.held_at.append(now)
            return delay_s

        self.lab.store.transaction_delay = delay

    def play(self):
        self.result = self.lab.play()
        broken = {violation["rule"] for violation in self.result["broken"]}
        return broken | ({"reported before tasks were gone"} if self.result["kept_at_word"] else set())


def signs_of(run, check):
    """Return the rules that a run breaks, and `the row's mark` if the row's check fails."""
    violations = run.play()
    try:
        check(run)
    except AssertionError:
        violations.add("the row's mark")
    return violations


def writes_below(request, prefix):
    return [write for write in request["writes"] if str(write.get("write", "")).startswith(prefix)]


ALL_DATA_LOST = {"kind": "store_loss", "at_s": 30.1, "what": "all"}


def delay_recovery_stage():
    run = FailureRun("loss", [ALL_DATA_LOST], 60.0)
    run.delay_transactions(
        lambda request: any(write["data"].get("p") == 2 for write in writes_below(request, "rebuild")), 10.0
    )
    return run


def recovery_stays_complete(run):
    """A late write of an earlier stage made all nodes forward all requests to the leader for its whole term."""
    store = run.lab.store
    assert len(run.held_at) == 1 and (store.late_applied, store.late_rejected) == (0, 1)
    progress = store.service.value("rebuild")
    assert progress is None or progress["p"] == 3


def delay_write_back_of_open_jobs():
    brief = {"class": "brief", "run_s": 4.0, "image_gb": 0.1, "count": 40, "at_s": 25.0, "every_s": 0.1}
    first = {"class": "first", "tasks": 8, "cpus": 1.0, "run_s": 20.0, "at_s": 1.0}
    run = FailureRun("loss", [ALL_DATA_LOST], 75.0, [first, brief])
    run.delay_transactions(lambda request: len(writes_below(request, "j/")) > 5, 12.0, since=30.0)
    return run


def ended_jobs_stay_ended(run):
    store = run.lab.store
    assert len(run.held_at) == 1 and (store.late_applied, store.late_rejected) == (0, 1)
    # By then all those jobs had ended; only the keys of ended jobs show it.
    assert not [key for key in store.service.keys if key.startswith("j/")]


def cancel_jobs_known_to_machines_only():
    """All data and all nodes are lost; then users cancel jobs that exist only as long tasks on machines.

    Two of the machines hang at that moment.
    """
    kills = {"kind": "node_kill", "node": "all", "at_s": 30.0, "back_s": 6.0}
    long = {"class": "long", "tasks": 3, "run_s": 300.0, "count": 20, "at_s": 2.0, "every_s": 0.2}
    hangs = {"kind": "machine_hang", "at_s": 46.5, "count": 2, "for_s": 7.0}
    run = FailureRun("loss", [ALL_DATA_LOST, kills, hangs], 100.0, [long | {"cancel_after_s": 45.0}], cancel_s=40.0)
    run.lab.scenario.operator["lost_wait_s"] = 0.0
    return run


def all_tasks_stopped_and_cancellations_confirmed(run):
    cancels, judge = run.result["cancels"], run.lab.judge
    assert cancels["asked"] == cancels["told"] == 20 and 7.0 < cancels["longest_s"] < 15.0, cancels
    ended = [key for key in run.lab.store.service.keys if key.startswith("e/")]
    assert len(ended) == 20 and not any(map(judge.is_on, judge.jobs))


def node_kill(at_s, back_s, node="leader"):
    return {"kind": "node_kill", "at_s": at_s, "node": node, "back_s": back_s}


LONG_JOBS = {"class": "long", "tasks": 6, "cpus": 1.0, "run_s": 60.0, "count": 8, "every_s": 1.0}
SHORT_JOBS = {
    "class": "flow",
    "team": "a",
    "tasks": 3,
    "cpus": 1.0,
    "run_s": 6.0,
    "count": 60,
    "at_s": 3.0,
    "every_s": 1.0,
}
SERVICE = {"class": "web", "kind": "service", "tasks": 4, "spread": True, "spot": False, "at_s": 8.0}


def delay_commands():
    """Commands are delayed, some for longer than a lease, while the leader is killed and leadership is transferred."""
    delayed = {"kind": "late_commands", "at_s": 12.0, "for_s": 50.0, "share": 0.25, "factor": 12.0}
    run = FailureRun("quiet", [delayed, node_kill(32.0, 0.2)], 100.0, [LONG_JOBS, SHORT_JOBS, SERVICE])
    for at in (45.0, 47.0):
        run.lab.simulation.at(at, lambda: transfer_leadership(run.lab))
    return run


def transfer_leadership(lab):
    election = lab.nodes[lab.leader()].election
    election._has_unconfirmed_transfer = False
    election.begin_transfer("asked to")


def delayed_commands_arrived(run):
    late = run.lab.world.late
    assert late["carried out"] >= 5 and late["refused"] >= 5, late
    assert len(run.lab.takeovers) >= 4


def transfer_leadership_repeatedly():
    """Leadership is transferred away and back within one report interval; later all nodes are killed.

    One of them is back within a second.
    """
    kills = [node_kill(50.0, back_s, node) for node, back_s in (("n0", 12.0), ("n1", 0.3), ("n2", 12.0))]
    run = FailureRun("quiet", kills, 100.0, [LONG_JOBS, SHORT_JOBS, SERVICE])
    for at in (30.0, 31.2, 32.4):
        run.lab.simulation.at(at, lambda: transfer_leadership(run.lab))
    return run


def one_node_led_twice_within_an_interval(run):
    terms = [(takeover.at_s, takeover.node) for takeover in run.lab.takeovers]
    transfers = [node for at, node in terms if 29.0 < at < 34.0]
    assert len(transfers) >= 3 and len(set(transfers)) < len(transfers), terms
    assert any(50.0 < at < 56.0 and node == "n1" for at, node in terms), terms


def apply_transactions_late():
    """A third of all transactions of users and leaders is applied late; five leaders are killed meanwhile."""
    late = {"kind": "late_writes", "at_s": 14.0, "for_s": 45.0, "share": 0.35}
    cancelled = {"class": "idle", "tasks": 2, "cpus": 1.0, "run_s": 200.0, "count": 12, "every_s": 2.0}
    jobs = [LONG_JOBS, SHORT_JOBS, SERVICE, cancelled | {"cancel_after_s": 15.0}]
    kills = [node_kill(at, back_s) for at, back_s in ((22.0, 6.0), (28.0, 0.1), (34.0, 6.0), (40.0, 0.3), (46.0, 6.0))]
    return FailureRun("quiet", [late, *kills], 110.0, jobs)


def late_transactions_arrived(run):
    store = run.lab.store
    assert store.late_applied >= 5 and store.late_rejected >= 5, (store.late_applied, store.late_rejected)
    assert run.result["again"] == 0


def partition_machines_before_takeover():
    """Some machines are unreachable when the leader ends, for longer than a lease, and the cloud can't delete them."""
    partition = {"kind": "machine_cut", "at_s": 30.0, "count": 4, "for_s": 32.0}
    down = {"kind": "cloud_outage", "at_s": 28.0, "for_s": 40.0}
    sweep = {"class": "sweep", "team": "a", "tasks": 12, "cpus": 1.0, "run_s": 25.0, "count": 8, "every_s": 4.0}
    run = FailureRun(
        "quiet", [partition, down, node_kill(31.0, 6.0)], 120.0, [LONG_JOBS | {"cpus": 0.5}, sweep, SERVICE]
    )
    run.pinned_placements = []

    def observe():
        term = run.lab.nodes[run.lab.leader()].term
        machines = [
            machine for machine in term.worker_registry.machines.values() if not machine.proof.has_confirmed_token
        ]
        run.pinned_placements.append(sum(len(machine.placements) for machine in machines))

    for at in (40.0, 55.0):
        run.lab.simulation.at(at, observe)
    run.incarnations_after = []
    run.lab.simulation.at(
        66.0, lambda: run.incarnations_after.extend(machine.session for machine in run.lab.machines.values())
    )
    return run


def placements_stayed_until_machines_returned(run):
    assert all(count >= 5 for count in run.pinned_placements), run.pinned_placements
    assert sum(session > 1 for session in run.incarnations_after) >= 3, run.incarnations_after


def lose_responses_of_new_leader():
    deaf = {"kind": "machine_deaf", "at_s": 30.5, "count": 6, "for_s": 12.0}
    down = {"kind": "cloud_outage", "at_s": 28.0, "for_s": 40.0}
    return FailureRun("quiet", [node_kill(30.0, 6.0), deaf, down], 100.0, [LONG_JOBS, SHORT_JOBS, SERVICE])


def new_leader_received_heartbeats(run):
    term = run.lab.nodes[run.lab.leader()].term
    assert len(run.lab.takeovers) >= 2 and term.is_loaded
    assert sum(machine.session == 1 and machine.token == term.token for machine in run.lab.machines.values()) >= 6


def slow_store_and_refuse_nodes():
    """Responses of the store take up to a second while users cancel and poll; it refuses one node at a time."""
    slow = {"kind": "store_slow", "at_s": 25.0, "for_s": 40.0, "factor": 120.0}
    refused = [
        {"kind": "store_refuses", "at_s": at, "node": node, "for_s": 8.0}
        for at, node in ((30.0, "leader"), (40.0, "follower"), (50.0, "leader"))
    ]
    cancelled = {"class": "idle", "tasks": 2, "cpus": 0.2, "run_s": 200.0, "count": 30, "at_s": 10.0, "every_s": 1.0}
    run = FailureRun("quiet", [slow, *refused], 110.0, [LONG_JOBS, SHORT_JOBS, cancelled | {"cancel_after_s": 18.0}])
    run.socket_counts = [0]

    def observe():
        for name in run.lab.names:
            run.socket_counts.append(len(run.lab.simulation.hosts[name].reactor.open_transports))

    for at in range(20, 75):
        run.lab.simulation.at(float(at), observe)
    return run


def cancellations_confirmed_late(run):
    cancels = run.result["cancels"]
    assert cancels["asked"] == cancels["told"] == 30 and cancels["late"] >= 5, cancels
    # Connections of some thirty machines and as many users, and of the nodes to the store and to each other.
    assert 20 < max(run.socket_counts) < 150, max(run.socket_counts)
    for node in run.lab.nodes.values():
        assert node.services.store.is_answering()


def end_tasks_under_different_leaders():
    """The tasks of a job end up to 30 seconds apart, across three changes of leader."""
    pair = {"class": "pair", "tasks": 2, "run_s": 5.0, "apart_s": 30.0, "count": 20, "at_s": 6.0, "every_s": 1.5}
    three = pair | {"class": "three", "tasks": 3, "apart_s": 14.0}
    # The first leader is killed in an outage, so the tasks that ended meanwhile are not stored.
    outage = {"kind": "store_outage", "at_s": 26.0, "for_s": 6.0}
    faults = [outage, node_kill(31.5, 0.1), node_kill(38.0, 6.0), node_kill(47.0, 0.3)]
    run = FailureRun("quiet", faults, 110.0, [pair, three])
    run.partly_done_jobs = []

    def observe():
        jobs = run.lab.judge.jobs.values()
        run.partly_done_jobs.append(sum(0 < len(job.done_tasks) < job.spec.tasks for job in jobs))

    for at in (31.4, 37.9, 46.9):
        run.lab.simulation.at(at, observe)
    return run


def each_task_done_once(run):
    assert all(count >= 3 for count in run.partly_done_jobs), run.partly_done_jobs
    assert len(run.lab.takeovers) >= 4
    assert run.result["again"] == 0 and set(run.result["served"].values()) == {1.0}


def deliver_old_heartbeats():
    """Copies of heartbeats arrive up to two leases later, also of earlier incarnations and at later leaders."""
    copies = {"kind": "report_copies", "at_s": 8.0, "for_s": 60.0, "factor": 16.0}
    restarts = {"kind": "machine_back", "at_s": 30.0, "count": 3, "back_s": 0.3, "anew": False}
    partition = {"kind": "machine_cut", "at_s": 36.0, "count": 3, "for_s": 18.0}
    down = {"kind": "cloud_outage", "at_s": 30.0, "for_s": 30.0}
    return FailureRun(
        "quiet",
        [copies, restarts, partition, down, node_kill(40.0, 0.2), node_kill(52.0, 6.0)],
        120.0,
        [LONG_JOBS, SHORT_JOBS, SERVICE],
    )


def old_heartbeats_arrived(run):
    late = run.lab.world.late
    assert late["copies of an earlier session"] >= 10 and len(run.lab.takeovers) >= 3, late


FAILURE_CASES = [
    (
        "cancel jobs known only to machines",
        cancel_jobs_known_to_machines_only,
        all_tasks_stopped_and_cancellations_confirmed,
    ),
    ("delayed commands", delay_commands, delayed_commands_arrived),
    (
        "leadership transfers, then all nodes are killed",
        transfer_leadership_repeatedly,
        one_node_led_twice_within_an_interval,
    ),
    ("late transactions", apply_transactions_late, late_transactions_arrived),
    (
        "leader killed while machines are unreachable",
        partition_machines_before_takeover,
        placements_stayed_until_machines_returned,
    ),
    ("machines receive nothing from the new leader", lose_responses_of_new_leader, new_leader_received_heartbeats),
    ("slow store refuses nodes while users cancel", slow_store_and_refuse_nodes, cancellations_confirmed_late),
    ("tasks of a job end under different leaders", end_tasks_under_different_leaders, each_task_done_once),
    ("late heartbeats of earlier incarnations", deliver_old_heartbeats, old_heartbeats_arrived),
    ("late write of a recovery stage", delay_recovery_stage, recovery_stays_complete),
    ("late write-back of open jobs that have ended", delay_write_back_of_open_jobs, ended_jobs_stay_ended),
]


@pytest.mark.parametrize(
    ("make_run", "check"), [row[1:] for row in FAILURE_CASES], ids=[row[0] for row in FAILURE_CASES]
)
def test_overlapping_failures_break_no_rule(make_run, check):
    run = make_run()
    assert run.play() == set()
    check(run)


# Injected bugs


def report_unanswered_commands_as_unsent(monkeypatch):
    """Report commands without a response as not sent, so that a started task is placed elsewhere too."""
    call = HttpClient.call

    async def called(self, method, address, path, body, timeout):
        try:
            return await call(self, method, address, path, body, timeout)
        except NoResponseError as error:
            if path == "/commands":
                raise ConnectionFailedError(str(error)) from error
            raise

    monkeypatch.setattr(HttpClient, "call", called)


def answer_queries_from_cache(monkeypatch):
    """Answer queries from the cache without reading the store."""
    find = JobReader.find

    def find_cached(self, job):
        cached = self._open_cache.get(job)
        return succeed(cached) if cached is not None and cached is not ABSENT_JOB else find(self, job)

    monkeypatch.setattr(JobReader, "find", find_cached)


def release_unreached_placements(monkeypatch):
    """Release inherited placements on machines that a new leader can't reach within four seconds."""

    def release_unreached(term):
        now = term.context.now
        for machine in list(term.worker_registry.machines.values()):
            is_unreached = not machine.is_up and now - term.context.started_at > 4.0
            for placement in list(machine.placements.values()):
                if is_unreached and placement.is_inherited:
                    term.worker_registry.unassign(placement, term.job_table.jobs[placement.task.job].spec, now)
                    term.job_table.release(placement)

    before_each_tick(monkeypatch, release_unreached)


def reap_before_storing(monkeypatch):
    monkeypatch.setattr(heartbeat_commands, "_is_result_safe", lambda task, job_table: True)


def skip_query_of_machines(monkeypatch):
    """Treat a job without a record as running on no machine."""
    monkeypatch.setattr(CancellationTracker, "_is_on_no_machine", lambda self, job_id, known_since: True)


def omit_stage_condition(monkeypatch):
    monkeypatch.setattr(StoreEpochs, "progress_condition", StoreEpochs.epoch_condition)


def omit_ended_job_condition(monkeypatch):
    def build_write(conditions, changes, done):
        return Write([condition for condition in conditions if not condition.key.startswith("e/")], changes, done)

    monkeypatch.setattr(writeback, "Write", build_write)


INJECTED_BUGS = [
    # injected bug, part of the name of the case that reveals it, the expected sign
    (report_unanswered_commands_as_unsent, "delayed commands", "ran_twice"),
    (forget_placements, "leadership transfers", "ran_twice"),
    (omit_leader_condition, "late transactions", "again"),
    (release_unreached_placements, "machines are unreachable", "ran_twice"),
    (release_unreachable_machines, "receive nothing", "ran_twice"),
    (answer_queries_from_cache, "slow store", "went_back"),
    (complete_after_first_task, "different leaders", "not_done"),
    (reap_before_storing, "different leaders", "again"),
    (accept_old_heartbeats, "late heartbeats", "ran_twice"),
    (skip_query_of_machines, "known only to machines", "reported before tasks were gone"),
    (omit_stage_condition, "recovery stage", "the row's mark"),
    (omit_ended_job_condition, "late write-back", "went_back"),
]


@pytest.mark.parametrize(
    ("inject_bug", "case", "expected"), INJECTED_BUGS, ids=[row[0].__name__ for row in INJECTED_BUGS]
)
def test_injected_bug_is_detected(monkeypatch, inject_bug, case, expected):
    make_run, check = next(row[1:] for row in FAILURE_CASES if case in row[0])
    inject_bug(monkeypatch)
    run = make_run()
    violations = signs_of(run, check)
    if run.result["again"]:
        violations.add("again")
    assert expected in violations


@pytest.mark.parametrize("seed", [1, 2])
def test_combined_failures_at_150_machines_break_no_rule(seed):
    """Plays two seeds; `docs/standing.md` describes runs with dozens of seeds."""
    result, machines = mixed(seed)
    assert result["broken"] == [] and machines >= 150
    assert all(share >= 0.5 for share in result["served"].values())
    assert all(share >= 0.5 for shares in result["largest"].values() for share in shares)
