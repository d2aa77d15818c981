"""A cancelled job is reported as `cancelled` only once all its tasks have provably ended and its end is stored.

The simulated clusters have three controllers, workers with leases, and a store that refuses the leader or fails for all
nodes, combined with further faults. Each case also checks that its faults took effect, and injected bugs must be
detected.
"""

from __future__ import annotations

import json

import msgspec
import pytest
from twisted.internet.testing import StringTransport

from meadowcross.common.types import FencingToken, Revision
from meadowcross.jobs.api import JobApi, job_response
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.jobs.messages import JobState
from meadowcross.leadership import cancellation_tracker
from meadowcross.leadership.cancellation_broadcast import MAX_REMEMBERED_JOBS, CancellationBroadcast
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.heartbeat_handler import CancellationsBeforeLoad
from meadowcross.leadership.messages import MAX_CANCELLATIONS, CancellationNotice, decode, encode
from meadowcross.leadership.peer_connection import PeerProtocol
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.state_loader import StateReader
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.store_replica import StoreReplica
from simulation.machines import Machine
from simulation.net import Cut
from simulation.scenario import Fault, Jobs, load
from simulation.world import Lab
from tests.simulation.test_isolation_and_starvation import WHERE
from tests.simulation.test_overlapping_failures import signs_of
from tests.support.peers import connect_quiet_node
from tests.support.terms import before_each_tick

CANCEL_S = 24.0
REFUSED_AT_S, OUTAGE_AT_S, EARLY_OUTAGE_AT_S = 29.4, 30.6, 30.7
LEADER_REFUSED = {"kind": "store_refuses", "at_s": REFUSED_AT_S, "node": "leader", "for_s": 14.0}
STORE_OUTAGE = {"kind": "store_outage", "at_s": OUTAGE_AT_S, "for_s": 34.0}
CLOUD_OUTAGE = {"kind": "cloud_outage", "at_s": 28.0, "for_s": 40.0}
LEADER_ISOLATED = [
    {"kind": "node_cut", "at_s": REFUSED_AT_S, "node": "leader", "apart": apart, "for_s": 36.0}
    for apart in ("store", "peers")
]
CONTROLLERS_ISOLATED = [
    {"kind": "node_cut", "at_s": 26.0, "node": node, "apart": "peers", "for_s": 20.0} for node in ("n0", "n1", "n2")
]


STOPPED_BY_S = OUTAGE_AT_S + 4.0
"""Time by which an informed leader has stopped the tasks of jobs that were cancelled before the outage."""
LATE_COMMANDS = [
    CLOUD_OUTAGE | {"for_s": 60.0},
    {"kind": "late_commands", "at_s": 26.5, "for_s": 7.0, "share": 0.7, "factor": 40.0},
]
"""Commands are executed up to 72 s after they were sent."""


class CancellationRun:
    """A simulation of the scenario `cancelled-unheard` with other faults.

    Jobs have long tasks, and from 27 s on ten jobs per second are cancelled.
    """

    patch: pytest.MonkeyPatch

    def __init__(self, faults, seed=1, clocks=(), fetch_gb_per_s=1.0):
        scenario = load(str(WHERE / "cancelled-unheard.toml"))
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
        scenario.duration_s = 110.0 if faults is LATE_COMMANDS else 85.0
        scenario.clocks_s = list(clocks)
        scenario.jobs = [jobs for jobs in scenario.jobs if jobs.job_class != "index"]
        # These jobs are cancelled as soon as they are placed.
        brief = {"class": "brief", "team": "b", "tasks": 2, "cpus": 0.2, "memory_gb": 0.2, "run_s": 300.0, "count": 30}
        scenario.jobs.append(msgspec.convert(brief | {"at_s": 26.6, "every_s": 0.2, "cancel_after_s": 1.0}, Jobs))
        facts = scenario.workers
        facts.report_s, facts.lease_s, facts.cancel_s = 2.0, 10.0, CANCEL_S
        facts.fetch_gb_per_s = fetch_gb_per_s
        self.lab = Lab(scenario, seed)
        self.leaders: list[str | None] = []
        """The leader shortly before the store refuses it, and shortly after the outage began."""
        self.cancelled_on_machines: dict[float, int] = {}
        """By time, the number of cancelled jobs with tasks on machines."""
        for at in (REFUSED_AT_S - 0.1, OUTAGE_AT_S + 0.1):
            self.lab.simulation.at(at, lambda: self.leaders.append(self.lab.leader()))
        for at in (STOPPED_BY_S, OUTAGE_AT_S + 25.0):
            self.lab.simulation.at(
                at, lambda at=at: self.cancelled_on_machines.update({at: self.count_cancelled_on_machines()})
            )

    def count_cancelled_on_machines(self):
        judge = self.lab.judge
        now = judge._now()
        until = min(now, OUTAGE_AT_S) - 0.5
        cancelled = [name for name, job in judge.jobs.items() if (job.cancel_asked or now) < until]
        return sum(map(judge.is_on, cancelled))

    def play(self):
        self.result = self.lab.play()
        broken = {violation["rule"] for violation in self.result["broken"]}
        return broken | ({"reported before tasks were gone"} if self.result["kept_at_word"] else set())

    def count_reported(self, since, until):
        """Return how many users received `cancelled` within this time."""
        reported_at = [job.cancel_told for job in self.lab.judge.jobs.values() if job.cancel_told is not None]
        return sum(since <= at <= until for at in reported_at)

    def count_requested(self, since, until):
        """Return how many cancellations users requested within this time."""
        requested_at = [job.cancel_asked for job in self.lab.judge.jobs.values() if job.cancel_asked is not None]
        return sum(since <= at <= until for at in requested_at)

    def all_reported_within(self, limit_s):
        cancels = self.result["cancels"]
        return cancels["told"] == cancels["asked"] > 0 and cancels["longest_s"] <= limit_s


# Checks of the outcome


def check_stopped_during_outage(run):
    """The store refuses the leader, which stays leader into the outage. Announcements stop the tasks of jobs cancelled
    in between, and their users receive `cancelled` once the ends can be stored."""
    assert run.leaders[0] == run.leaders[1] is not None
    assert run.count_requested(REFUSED_AT_S + 0.1, OUTAGE_AT_S - 0.5) >= 5
    assert run.count_reported(REFUSED_AT_S + 1.0, OUTAGE_AT_S + STORE_OUTAGE["for_s"]) == 0
    assert run.cancelled_on_machines[STOPPED_BY_S] == 0, run.cancelled_on_machines
    assert run.all_reported_within(60.0), run.result["cancels"]


def check_reported_after_outage(run):
    """The tasks can't be stopped at once, and users receive `cancelled` after the outage."""
    assert run.leaders[0] is not None and run.count_requested(REFUSED_AT_S + 0.1, OUTAGE_AT_S - 0.5) >= 5
    assert run.count_reported(REFUSED_AT_S + 1.0, OUTAGE_AT_S + STORE_OUTAGE["for_s"]) == 0
    assert run.all_reported_within(60.0), run.result["cancels"]


def check_reported_by_next_leader(run):
    assert run.leaders[0] != run.lab.leader()
    # Followers still report ends that were stored before the leader was cut off, within their polling interval.
    assert run.count_reported(REFUSED_AT_S + 0.6, OUTAGE_AT_S) <= 2, "nothing is reported while the leader can't store"
    assert run.count_reported(EARLY_OUTAGE_AT_S, 60.0) >= 5 and run.all_reported_within(40.0), run.result["cancels"]


def check_reported_within_seconds(run):
    assert run.all_reported_within(3.0), run.result["cancels"]


def check_reported_eventually(run):
    assert run.all_reported_within(60.0), run.result["cancels"]


def check_reported_after_hang(run):
    """Machines hang with tasks of cancelled jobs, and users wait until the tasks have provably ended."""
    assert run.cancelled_on_machines[STOPPED_BY_S] > 0, "no machine hung with tasks of cancelled jobs"
    assert run.result["cancels"]["longest_s"] > 4.0
    check_reported_eventually(run)


def check_reported_after_fetch(run):
    """Jobs are cancelled while machines fetch their image and do not receive the stops for a while."""
    assert run.fetching_count >= 5, run.fetching_count
    check_reported_eventually(run)


def check_reported_after_late_starts(run):
    assert run.lab.world.late["started though cancelled"] > 0
    check_reported_eventually(run)


def check_not_reported_by_old_leader(run):
    """All machines receive messages of the old leader only, which continues. Until then no job with tasks on these
    machines is reported as cancelled."""
    assert run.leaders[0] != run.lab.leader()
    assert run.machines_of_old_leader >= 5 and len(run.reported_flags) >= 10 and not any(run.reported_flags), (
        run.machines_of_old_leader,
        run.reported_flags,
    )
    check_reported_eventually(run)


def check_frozen_leader_stays(run):
    assert run.lab.takeovers[-1].node == run.leaders[0], "no other node can be elected in an outage"
    check_reported_after_outage(run)


def check_stopped_before_load(run):
    """A leader holds the key during the outage without having loaded the state, and still stops cancelled tasks."""
    assert run.load_wait_s >= 25.0 and run.cancelled_on_machines[OUTAGE_AT_S + 25.0] == 0, run.cancelled_on_machines
    check_reported_eventually(run)


def check_new_incarnations(run):
    """Workers that receive nothing lose their leases and start new incarnations."""
    assert sum(machine.session > 1 for machine in run.lab.machines.values()) >= 4
    check_reported_after_outage(run)


# Further faults


def partition_machines_from_next_leader(run):
    lab = run.lab

    def cut():
        # A machine that the next leader reached would send the higher token to the old leader and end its term.
        machines = [name for name in lab.simulation.hosts if name.startswith("i-")]
        other_nodes = [name for name in lab.names if name != lab.leader()]
        lab.simulation.add_cut(Cut(machines, other_nodes), 36.0)

    def record():
        old_term = lab.nodes[run.leaders[0]].term
        assert not old_term.is_stopped
        run.machines_of_old_leader = sum(
            m.contact.last_heartbeat_at > 1053.0 for m in old_term.worker_registry.machines.values() if m.is_up
        )
        judge = lab.judge
        running = [
            job for name, job in judge.jobs.items() if judge.is_on(name) and (job.cancel_asked or 0.0) > REFUSED_AT_S
        ]
        run.reported_flags = [job.cancel_told is not None for job in running]

    lab.simulation.at(REFUSED_AT_S, cut)
    lab.simulation.at(55.0, record)


def record_fetching_tasks(run):
    """Count cancelled tasks on machines that fetch their image and receive nothing; each fetch takes twelve seconds."""
    lab = run.lab

    def record():
        cancelled = [name for name, job in lab.judge.jobs.items() if job.cancel_asked is not None]
        run.fetching_count = sum(
            task["standing"] == "fetching" and task["head"].rpartition("/")[0] in cancelled
            for machine in lab.machines.values()
            if machine.deaf
            for task in machine.tasks.values()
        )

    lab.simulation.at(29.5, record)


def drop_first_stops(run):
    """Drop the first stop command to each machine that reaches no controller."""
    lost_stops = run.lost_stops = set()
    execute_commands = Machine._commanded

    def without_first_stops(self, request, late):
        stops = [call["head"] for call in request["calls"] if call["call"] == "stop"]
        if self.mute and stops and self.machine["id"] not in lost_stops:
            lost_stops.add(self.machine["id"])
            request["calls"] = [call for call in request["calls"] if call["call"] != "stop"]
            execute_commands(self, request, late)
            return 503, {}
        return execute_commands(self, request, late)

    run.patch.setattr(Machine, "_commanded", without_first_stops)


def check_stopped_before_lease_end(run):
    """The stops are repeated before the worker leases end."""
    assert len(run.lost_stops) >= 4, run.lost_stops
    assert run.all_reported_within(6.0), run.result["cancels"]


def ignore_notices(run):
    """Drop cancellation notices, as a leader of the previous version does with messages of an unknown kind."""
    handle_message = PeerLink.on_message

    def without_notices(self, connection, message):
        if not isinstance(message, CancellationNotice):
            handle_message(self, connection, message)

    run.patch.setattr(PeerLink, "on_message", without_notices)


def start_outage_at_second_load(run):
    """Start an outage of the store when the second leader loads the state."""
    lab = run.lab
    read_stored_state, first_readers = StateReader.read, []
    run.load_wait_s = 0.0

    async def read(self):
        if len(lab.takeovers) >= 2 and not first_readers:
            first_readers.append(self)
            lab.strike(msgspec.convert(STORE_OUTAGE | {"for_s": 28.0}, Fault))
        stored = await read_stored_state(self)
        if first_readers and self is first_readers[0]:
            run.load_wait_s = self._context.now - self._context.started_at
        return stored

    run.patch.setattr(StateReader, "read", read)


MACHINES_HANG = {"kind": "cancel_now", "at_s": 29.0, "count": 20}
LEADER_KILLED = {"kind": "node_kill", "at_s": 29.3, "node": "leader", "back_s": 6.0}
MACHINES_DEAF = {"kind": "machine_deaf", "at_s": 27.2, "count": 12, "for_s": 14.0}
CASES = [
    # name, faults of the scenario, further faults, check of the outcome
    ("store refuses the leader, then all nodes", [LEADER_REFUSED, STORE_OUTAGE], None, check_stopped_during_outage),
    (
        "store outage, leader restarts at once",
        [LEADER_REFUSED, STORE_OUTAGE, {"kind": "node_kill", "at_s": 32.0, "node": "leader", "back_s": 0.05}],
        None,
        check_reported_after_outage,
    ),
    (
        "store outage, leader restarts after a second",
        [
            LEADER_REFUSED,
            STORE_OUTAGE,
            {"kind": "node_kill", "at_s": EARLY_OUTAGE_AT_S, "node": "leader", "back_s": 1.0},
        ],
        None,
        check_reported_after_outage,
    ),
    (
        "store outage, leader is frozen",
        [
            LEADER_REFUSED,
            STORE_OUTAGE,
            {"kind": "node_freeze", "at_s": EARLY_OUTAGE_AT_S, "node": "leader", "for_s": 30.0},
        ],
        None,
        check_frozen_leader_stays,
    ),
    ("store outage, cloud outage", [LEADER_REFUSED, STORE_OUTAGE, CLOUD_OUTAGE], None, check_stopped_during_outage),
    (
        "store outage, cloud outage, machines receive nothing",
        [LEADER_REFUSED, STORE_OUTAGE, CLOUD_OUTAGE, {"kind": "machine_deaf", "at_s": 29.0, "count": 9, "for_s": 30.0}],
        None,
        check_new_incarnations,
    ),
    ("leader cut from store and peers", LEADER_ISOLATED, None, check_reported_by_next_leader),
    (
        "leader cut from store and peers, machines reach only that leader, cloud outage",
        [*LEADER_ISOLATED, CLOUD_OUTAGE],
        partition_machines_from_next_leader,
        check_not_reported_by_old_leader,
    ),
    (
        "next leader can't load the state, machines receive no stops",
        [LEADER_REFUSED, {"kind": "machine_deaf", "at_s": 29.0, "count": 6, "for_s": 4.0}],
        start_outage_at_second_load,
        check_stopped_before_load,
    ),
    ("start commands are late, cloud outage", LATE_COMMANDS, None, check_reported_after_late_starts),
    (
        "machines hang for less than a worker lease",
        [MACHINES_HANG | {"hang_s": 8.0}, CLOUD_OUTAGE],
        None,
        check_reported_after_hang,
    ),
    (
        "machines hang for longer than cancel_s, cloud outage",
        [MACHINES_HANG | {"hang_s": CANCEL_S + 6.0}, CLOUD_OUTAGE],
        None,
        check_reported_after_hang,
    ),
    (
        "machines hang, leader is killed",
        [MACHINES_HANG | {"hang_s": 8.0}, LEADER_KILLED, CLOUD_OUTAGE],
        None,
        check_reported_after_hang,
    ),
    (
        "machines fetch an image and receive nothing",
        [MACHINES_DEAF, CLOUD_OUTAGE],
        record_fetching_tasks,
        check_reported_after_fetch,
    ),
    (
        "machines that reach no controller lose the stop command",
        [{"kind": "machine_mute", "at_s": 26.5, "count": 12, "for_s": 20.0}, CLOUD_OUTAGE],
        drop_first_stops,
        check_stopped_before_lease_end,
    ),
    ("controllers can't reach each other", CONTROLLERS_ISOLATED, None, check_reported_within_seconds),
    ("leader of the previous version", [], ignore_notices, check_reported_within_seconds),
    ("no faults", [], None, check_reported_within_seconds),
]
SLOW_FETCH = {"machines fetch an image and receive nothing": 0.04}
"""By case, the fetch rate in GB/s where it is not 1."""
SEEDS = {"start commands are late, cloud outage": 2}
"""By case, the seed with which the random part of its faults takes effect, where it is not 1."""


def make_run(case, patch, seed=1):
    seed += SEEDS.get(case, 1) - 1
    faults, add_faults, _ = next(other_case[1:] for other_case in CASES if other_case[0] == case)
    run = CancellationRun(faults, seed, fetch_gb_per_s=SLOW_FETCH.get(case, 1.0))
    run.patch = patch
    if add_faults is not None:
        add_faults(run)
    return run


@pytest.mark.parametrize(("case", "check"), [(case[0], case[3]) for case in CASES], ids=[case[0] for case in CASES])
def test_cancellation_is_reported_only_after_all_tasks_are_gone(monkeypatch, case, check):
    run = make_run(case, monkeypatch)
    assert run.play() == set()
    check(run)


def test_large_clock_offsets_do_not_delay_cancellations():
    run = CancellationRun([LEADER_REFUSED, STORE_OUTAGE], clocks=[20.0, -20.0])
    assert run.play() == set()
    check_stopped_during_outage(run)


# Injected bugs, each with a case that detects the bug


def report_before_proof(monkeypatch):
    """Report a job as cancelled as soon as its cancellation is stored."""

    async def report_cancelled(self, job, open_job, deadline_at):
        self._events.on_cancelled(job, open_job.mod_revision, open_job.is_unrecorded)
        return job_response(job, JobState.CANCELLED, 0, 0)

    monkeypatch.setattr(JobApi, "_await_cancellation", report_cancelled)


def announce_nothing(monkeypatch):
    monkeypatch.setattr(CancellationBroadcast, "announce", lambda self, job, revision, unrecorded: None)


def acknowledge_without_stopping(monkeypatch):
    monkeypatch.setattr(CancellationTracker, "apply_announced", lambda self, notice: self._lifecycle.is_loaded)


def stop_nothing_before_load(monkeypatch):
    monkeypatch.setattr(CancellationsBeforeLoad, "list_stop_commands", lambda self, heartbeat: [])


def send_stops_once(monkeypatch):
    monkeypatch.setattr(cancellation_tracker, "unacknowledged_stops", lambda jobs, now, limit: [])


def release_fetching_tasks(monkeypatch):
    """Treat tasks that have not begun to run when their job is cancelled as never placed."""
    stop_all_tasks = CancellationTracker.stop_all_tasks

    def release_and_stop(self, job):
        for placement in list(job.placements.values()):
            if placement.phase in (PlacementPhase.SENT, PlacementPhase.FETCHING):
                self._worker_registry.unassign(placement, job.spec, self._context.now)
                self._job_table.release(placement)
        stop_all_tasks(self, job)

    monkeypatch.setattr(CancellationTracker, "stop_all_tasks", release_and_stop)


def send_queued_starts(monkeypatch):
    """Send queued start commands even if their job has been cancelled meanwhile."""
    monkeypatch.setattr(PlacementWriter, "may_start", lambda self, placement: not self._lifecycle.is_stopped)


def release_hung_tasks(monkeypatch):
    """Treat cancelled tasks whose stop got no response as ended after three seconds."""

    def release_hung(term):
        now = term.context.now
        for job in list(term.job_table.jobs.values()):
            for placement in list(job.placements.values()) if job.cancelled_at is not None else []:
                if placement.stop_requested_at is not None and now - placement.stop_requested_at > 3.0:
                    term.worker_registry.unassign(placement, job.spec, now)
                    term.job_table.release(placement)
                    term.placement_writer.after_release(job)

    before_each_tick(monkeypatch, release_hung)


BUGS = [
    # injected bug, case that detects the bug, broken rule or failed check
    (report_before_proof, "store refuses the leader, then all nodes", "reported before tasks were gone"),
    (report_before_proof, "machines hang for longer than cancel_s, cloud outage", "ran_cancelled"),
    (report_before_proof, "machines fetch an image and receive nothing", "ran_cancelled"),
    (announce_nothing, "store refuses the leader, then all nodes", "the row's mark"),
    (acknowledge_without_stopping, "store refuses the leader, then all nodes", "the row's mark"),
    (
        stop_nothing_before_load,
        "next leader can't load the state, machines receive no stops",
        "the row's mark",
    ),
    (send_stops_once, "machines that reach no controller lose the stop command", "the row's mark"),
    (release_fetching_tasks, "machines fetch an image and receive nothing", "ran_cancelled"),
    (send_queued_starts, "start commands are late, cloud outage", "ran_cancelled"),
    (release_hung_tasks, "machines hang for longer than cancel_s, cloud outage", "ran_cancelled"),
]


@pytest.mark.parametrize(("inject_bug", "case", "sign"), BUGS, ids=[f"{bug.__name__}-{case}" for bug, case, _ in BUGS])
def test_injected_bug_is_detected(monkeypatch, inject_bug, case, sign):
    check = next(other_case[3] for other_case in CASES if other_case[0] == case)
    inject_bug(monkeypatch)
    assert any(sign in signs_of(make_run(case, monkeypatch, seed), check) for seed in (1, 2, 3))


# Announcements to the leader


class FakeTerm:
    """Records the cancellations that it is asked to apply."""

    def __init__(self, accepts=True):
        self.accepts, self.received = accepts, []

    def apply_announced_cancellations(self, notice):
        self.received.append(dict(notice.revisions))
        return self.accepts


def make_broadcast(world, term=None, leader=None, acknowledgements=()):
    """Return a node's broadcast and the list of its messages to the leader.

    `leader` is the known leader, or a function that returns it. The leader responds with `acknowledgements` in their
    order, and then with none.
    """
    sent, acknowledgements = [], list(acknowledgements)

    async def send_notice(node, notice):
        sent.append((node, notice))
        return acknowledgements.pop(0) if acknowledgements else False

    known_leader = leader if callable(leader) else lambda: leader
    return CancellationBroadcast(world.clock, lambda: term, known_leader, send_notice), sent


JOB = "wk-000001"
LATER_LEADERS = [
    # name, token of the later leader, whether the cancellation at revision 50 is announced to it
    ("elected after the cancellation was stored", 51, False),
    ("elected before the cancellation was stored", 49, True),
    ("elected in a new store epoch", (1 << 40) + 3, True),
]


def test_hundreds_of_cancellations_are_announced_in_one_message(world):
    broadcast, sent = make_broadcast(world, leader=("n1", FencingToken(7)), acknowledgements=[True] * 9)
    for number in range(400):
        broadcast.announce(f"wk-{number:06d}", Revision(50 + number), False)
    world.pass_time(2.0)
    assert len(sent) == 1 and len(sent[0][1].revisions) == 400 and broadcast.is_announced("wk-000399")


@pytest.mark.parametrize(
    ("token", "is_repeated"), [case[1:] for case in LATER_LEADERS], ids=[case[0] for case in LATER_LEADERS]
)
def test_announcement_is_repeated_until_the_leader_has_acknowledged_or_read_it(world, token, is_repeated):
    broadcast, sent = make_broadcast(world, leader=("n1", FencingToken(7)), acknowledgements=[False] * 5 + [True])
    broadcast.announce(JOB, Revision(50), False)
    # Announcements do not need the store.
    world.pass_time(8.0)
    assert len(sent) == 6 and all(notice.revisions == {JOB: 50} for _, notice in sent)
    leader = ["n1", FencingToken(7)]
    other_broadcast, sent = make_broadcast(world, leader=lambda: tuple(leader))
    other_broadcast.announce(JOB, Revision(50), False)
    other_broadcast.announce("wk-000002", Revision(50), True)
    world.pass_time(2.0)
    leader[1] = FencingToken(token)
    world.pass_time(1.2)
    count = len(sent)
    world.pass_time(5.0)
    later_notices = [notice for _, notice in sent[count:]]
    # No leader reads an unrecorded cancellation from the store.
    assert len(later_notices) >= 4 and all(notice.unrecorded == ["wk-000002"] for notice in later_notices)
    assert all((JOB in notice.revisions) is is_repeated for notice in later_notices)


def test_only_the_newest_cancellations_are_announced_to_an_unresponsive_leader(world):
    broadcast, sent = make_broadcast(world, leader=("n1", FencingToken(7)))
    names = [f"wk-{number:06d}" for number in range(MAX_CANCELLATIONS + 100)]
    for name in names:
        broadcast.announce(name, Revision(50), False)
    world.pass_time(3.0)
    assert (
        len(sent[-1][1].revisions) == broadcast.unacknowledged_count == MAX_CANCELLATIONS
        and names[-1] in sent[-1][1].revisions
    )


RECEIVERS = [
    # name, term of this node if any, token of the leader that the sender knows, whether this node acknowledges
    ("leader", FakeTerm(), 7, True),
    ("former leader", None, 7, False),
    ("leader that has not loaded the state", FakeTerm(False), 7, False),
    ("leader with another token than the notice", FakeTerm(), 9, True),
]


@pytest.mark.parametrize(
    ("term", "token", "is_acknowledged"), [case[1:] for case in RECEIVERS], ids=[case[0] for case in RECEIVERS]
)
def test_notice_is_applied_by_the_leader_and_remembered_by_every_node(world, term, token, is_acknowledged):
    broadcast, _ = make_broadcast(world, term)
    notice = CancellationNotice(3, FencingToken(token), {JOB: 5})
    assert broadcast.on_notice(notice) is is_acknowledged is broadcast.on_notice(notice)
    assert broadcast.is_announced(JOB) and not broadcast.is_announced("wk-000002")
    assert term is None or term.received == [{JOB: 5}] * 2
    for first in range(0, 2 * MAX_REMEMBERED_JOBS, 1000):
        broadcast.on_notice(CancellationNotice(0, FencingToken(token), {f"wk-{first + n:07d}": 5 for n in range(1000)}))
    assert not broadcast.is_announced(JOB) and broadcast.announced_count == MAX_REMEMBERED_JOBS


def make_notice(**jobs):
    """Return a notice for jobs by number and revision, such as `j000001=5`."""
    return CancellationNotice(0, FencingToken(7), {f"wk-{name[1:]}": revision for name, revision in jobs.items()})


def test_announced_cancellation_stops_tasks_without_the_store(world):
    """During an outage the tasks stop at once. The end is stored only after the job record has been read, and repeated
    notices have no effect."""
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 2
    world.state.outage = True
    world.pass_time(2.0)
    item = world.state.keys[f"j/{JOB}"]
    revision = item["mark"] + 50
    assert term.apply_announced_cancellations(make_notice(j000001=revision)) and term.apply_announced_cancellations(
        make_notice(j000001=revision, j000009=3)
    )
    world.pass_time(0.5)
    assert world.running() == [] and term.job_table.jobs[JOB].cancelled_at is not None
    # The store does not hold the cancellation, as after a data loss: the tasks stay stopped, and no end is stored.
    world.state.outage = False
    world.pass_time(5.0)
    assert f"e/{JOB}" not in world.state.keys and world.running() == [] and JOB in term.job_table.jobs
    write = {"write": f"j/{JOB}", "data": item["data"] | {"c": 1.0}}
    assert world.state.transact({"if": [], "writes": [write]})[0] == 200
    world.pass_time(5.0)
    assert world.state.value(f"e/{JOB}")["s"] == "cancelled" and JOB not in term.job_table.jobs
    assert term.apply_announced_cancellations(make_notice(j000001=revision)), "a late notice, after the end"
    world.pass_time(5.0)
    assert JOB not in term.job_table.jobs
    term.stop()
    assert not term.apply_announced_cancellations(make_notice(j000001=revision))


@pytest.mark.parametrize("answered", [True, False])
def test_late_watch_event_does_not_reopen_an_ended_job(world, answered):
    """A cancellation is applied by a read or a notice before the watch delivers it. The late event put the ended job
    back into the job table without attempts, and the task that its machine still reported then counted as proof of a
    data loss. The same holds if the response to the write of the end is lost."""
    follower = world.follower = ReplicaFollower(world.clock, world.store, 1 << 20)
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    loss_reasons = []
    term.recovery.report_data_loss = lambda reason, is_loss_before_replica=False: loss_reasons.append(reason)
    follower.begin_leading(StoreReplica(), True)
    apply, delayed_events, delayed_batches = term.job_records.apply, [], []
    term.job_records.apply = lambda *event: delayed_events.append(event)
    follower.apply_events = lambda *events: delayed_batches.append(events)
    item = world.state.keys[f"j/{JOB}"]
    write = {"write": f"j/{JOB}", "data": item["data"] | {"c": 1.0}}
    revision = world.state.transact({"if": [], "writes": [write]})[1]["ledger"]
    if not answered:
        world.net.faults.append(("state:1/multi", "lose"))
    assert term.apply_announced_cancellations(make_notice(j000001=revision))
    # The record is read directly, as after a conflict or a lost response.
    apply(f"j/{JOB}", msgspec.Raw(json.dumps(write["data"]).encode()), revision)
    world.pass_time(4.0)
    assert JOB not in term.job_table.jobs and world.state.value(f"e/{JOB}") is not None
    worker = next(iter(world.workers.values()))
    worker.tasks[f"{JOB}/0", 1] = {"head": f"{JOB}/0", "round": 1, "standing": "ended", "cause": "stopped"}
    assert any(event[2] == revision for event in delayed_events)
    # The outage keeps the store from responding at once, so writes for such a job would stay pending.
    world.state.outage = True
    for event in delayed_events:
        apply(*event)
    del follower.apply_events
    for events in delayed_batches:
        follower.apply_events(*events)
    assert JOB not in term.job_table.jobs and follower.get(f"j/{JOB}") is None
    world.pass_time(2.0)
    assert loss_reasons == []


def test_clock_ahead_on_the_cancelling_node_does_not_delay_machine_deletion(world):
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    for worker in world.workers.values():
        worker.obey = lambda calls: None
    item = world.state.keys[f"j/{JOB}"]
    cancelled_ahead = item["data"] | {"c": world.clock.seconds() + 3600.0}
    assert world.state.transact({"if": [], "writes": [{"write": f"j/{JOB}", "data": cancelled_ahead}]})[0] == 200
    world.pass_time(1.0)
    assert term.job_table.jobs[JOB].cancelled_at <= world.clock.seconds()
    world.pass_time(0.5 * world.settings.facts.workers.cancel_s + 3.0)
    assert world.running() == [] and world.cloud.deleted


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        """Do nothing."""


def make_link(world, on_notice):
    return connect_quiet_node(PeerLink(world.clock, []), on_notice=on_notice)


INVALID_MESSAGES = [
    ("not an object", b"[]"),
    ("unknown kind", b'{"kind":"cancels!","number":1}'),
    ("format of another version", b'{"kind":"cancels?","number":1,"jobs":["wk-000001"]}'),
    ("revision is not a number", b'{"kind":"cancels?","number":1,"token":7,"jobs":{"wk-000001":"x"}}'),
    (
        "too many cancellations",
        encode(CancellationNotice(1, FencingToken(7), {f"wk-{n:06d}": 1 for n in range(MAX_CANCELLATIONS + 1)})),
    ),
]


@pytest.mark.parametrize("body", [case[1] for case in INVALID_MESSAGES], ids=[case[0] for case in INVALID_MESSAGES])
def test_invalid_message_is_dropped_and_logged_once(world, caplog, body):
    received = []
    connection = PeerProtocol(make_link(world, received.append))
    connection.makeConnection(Transport())
    valid_body = encode(CancellationNotice(0, FencingToken(7), {JOB: 1}))
    with caplog.at_level("INFO"):
        connection.dataReceived(b"%d:%s," % (len(body), body))
        connection.dataReceived(b"%d:%s," % (len(valid_body), valid_body))
    # Worlds of earlier tests may still log when they are garbage collected.
    own_records = [record for record in caplog.records if record.filename == "peer_connection.py"]
    assert len(own_records) == 1 and [notice.revisions for notice in received] == [{JOB: 1}]
    assert decode(valid_body).revisions == {JOB: 1}


def test_oversized_message_closes_the_connection_and_is_logged_once(world, caplog):
    connection, transport = PeerProtocol(make_link(world, lambda notice: None)), Transport()
    connection.makeConnection(transport)
    with caplog.at_level("INFO"):
        connection.dataReceived(b"%d:" % (connection.MAX_LENGTH + 1))
        assert transport.disconnecting
        connection.connectionLost()
    assert len([record for record in caplog.records if record.filename == "peer_connection.py"]) == 1
