"""Cancelled means gone: a user hears `cancelled` once every task is proven gone and that is stored. Three nodes, leased
workers, a store that refuses one and all, and what may meet that. Each row asserts that its meeting came about, and
deliberate faults are found."""

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
REFUSED_S, OUTAGE_S, ASIDE_S = 29.4, 30.6, 30.7
REFUSED = {"kind": "store_refuses", "at_s": REFUSED_S, "node": "leader", "for_s": 14.0}
OUTAGE = {"kind": "store_outage", "at_s": OUTAGE_S, "for_s": 34.0}
CLOUD_DOWN = {"kind": "cloud_outage", "at_s": 28.0, "for_s": 40.0}
LONELY = [
    {"kind": "node_cut", "at_s": REFUSED_S, "node": "leader", "apart": apart, "for_s": 36.0}
    for apart in ("store", "peers")
]
APART = [
    {"kind": "node_cut", "at_s": 26.0, "node": node, "apart": "peers", "for_s": 20.0} for node in ("n0", "n1", "n2")
]


STOPPED_S = OUTAGE_S + 4.0
"""By then a leader that knows of them has stopped what was called off before the outage."""
HELD = [
    CLOUD_DOWN | {"for_s": 60.0},
    {"kind": "late_commands", "at_s": 26.5, "for_s": 7.0, "share": 0.7, "factor": 40.0},
]
"""Carried out up to 72 s after they were sent."""


class Gap:
    """A play of `cancelled-unheard` with other troubles: jobs with long tasks, ten cancelled a second from 27 s on."""

    patch: pytest.MonkeyPatch

    def __init__(self, faults, seed=1, clocks=(), fetch_gb_per_s=1.0):
        scenario = load(str(WHERE / "cancelled-unheard.toml"))
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
        scenario.duration_s = 110.0 if faults is HELD else 85.0
        scenario.clocks_s = list(clocks)
        scenario.jobs = [one for one in scenario.jobs if one.job_class != "index"]
        # Cancelled as soon as they are placed.
        brief = {"class": "brief", "team": "b", "tasks": 2, "cpus": 0.2, "memory_gb": 0.2, "run_s": 300.0, "count": 30}
        scenario.jobs.append(msgspec.convert(brief | {"at_s": 26.6, "every_s": 0.2, "cancel_after_s": 1.0}, Jobs))
        facts = scenario.workers
        facts.report_s, facts.lease_s, facts.cancel_s = 2.0, 10.0, CANCEL_S
        facts.fetch_gb_per_s = fetch_gb_per_s
        self.lab = Lab(scenario, seed)
        self.leaders: list[str | None] = []
        self.kept: dict[float, int] = {}
        """By time, how many jobs whose users had called them off were on machines."""
        for at in (REFUSED_S - 0.1, OUTAGE_S + 0.1):
            self.lab.simulation.at(at, lambda: self.leaders.append(self.lab.leader()))
        for at in (STOPPED_S, OUTAGE_S + 25.0):
            self.lab.simulation.at(at, lambda at=at: self.kept.update({at: self.still_on()}))

    def still_on(self):
        judge = self.lab.judge
        now = judge._now()
        until = min(now, OUTAGE_S) - 0.5
        called_off = [name for name, seen in judge.jobs.items() if (seen.cancel_asked or now) < until]
        return sum(map(judge.is_on, called_off))

    def play(self):
        self.result = self.lab.play()
        broken = {one["rule"] for one in self.result["broken"]}
        return broken | ({"told before they were gone"} if self.result["kept_at_word"] else set())

    def told(self, since, until):
        """How many users heard of their cancel within this time."""
        waits = [seen.cancel_told for seen in self.lab.judge.jobs.values() if seen.cancel_told is not None]
        return sum(since <= at <= until for at in waits)

    def asked(self, since, until):
        asked = [seen.cancel_asked for seen in self.lab.judge.jobs.values() if seen.cancel_asked is not None]
        return sum(since <= at <= until for at in asked)

    def all_told_soon(self, most):
        cancels = self.result["cancels"]
        return cancels["told"] == cancels["asked"] > 0 and cancels["longest_s"] <= most


# What came about


def stopped_in_the_gap(gap):
    """The leader is refused and stays the leader into the outage. What was called off then is stopped by the word, and
    its users hear of it when that can be stored."""
    assert gap.leaders[0] == gap.leaders[1] is not None
    assert gap.asked(REFUSED_S + 0.1, OUTAGE_S - 0.5) >= 5
    assert gap.told(REFUSED_S + 1.0, OUTAGE_S + OUTAGE["for_s"]) == 0
    assert gap.kept[STOPPED_S] == 0, gap.kept
    assert gap.all_told_soon(60.0), gap.result["cancels"]


def told_after_the_gap(gap):
    """The same where nobody could stop them at once."""
    assert gap.leaders[0] is not None and gap.asked(REFUSED_S + 0.1, OUTAGE_S - 0.5) >= 5
    assert gap.told(REFUSED_S + 1.0, OUTAGE_S + OUTAGE["for_s"]) == 0
    assert gap.all_told_soon(60.0), gap.result["cancels"]


def told_by_the_next_leader(gap):
    assert gap.leaders[0] != gap.lab.leader()
    # What had ended before the cut is heard of by whoever follows the store within its pace.
    assert gap.told(REFUSED_S + 0.6, OUTAGE_S) <= 2, "nobody hears while who leads can store nothing"
    assert gap.told(ASIDE_S, 60.0) >= 5 and gap.all_told_soon(40.0), gap.result["cancels"]


def told_within_seconds(gap):
    assert gap.all_told_soon(3.0), gap.result["cancels"]


def told_at_last(gap):
    assert gap.all_told_soon(60.0), gap.result["cancels"]


def hung_and_told_at_last(gap):
    """Machines hung with tasks of cancelled jobs, and their users waited for as long as that could not be proven."""
    assert gap.kept[STOPPED_S] > 0, "no machine hung with what was called off"
    assert gap.result["cancels"]["longest_s"] > 4.0
    told_at_last(gap)


def fetching_and_told(gap):
    """Tasks were called off on machines that fetched their image, and heard nothing of it for a while."""
    assert gap.fetching >= 5, gap.fetching
    told_at_last(gap)


def started_late(gap):
    assert gap.lab.world.late["started though cancelled"] > 0
    told_at_last(gap)


def held_back(gap):
    """All machines hear only the leader of before, which goes on: while that lasts nobody hears of what runs there."""
    assert gap.leaders[0] != gap.lab.leader()
    assert gap.unreached >= 5 and len(gap.held) >= 10 and not any(gap.held), (gap.unreached, gap.held)
    told_at_last(gap)


def silent(gap):
    assert gap.lab.takeovers[-1].node == gap.leaders[0], "no other can be elected in an outage"
    told_after_the_gap(gap)


def unread(gap):
    """A leader held the key through the outage, and had read nothing: what is called off ends all the same."""
    assert gap.waited >= 25.0 and gap.kept[OUTAGE_S + 25.0] == 0, gap.kept
    told_at_last(gap)


def nothing_more(gap):
    """The machines' sessions have ended, as none of them heard anything."""
    assert sum(machine.session > 1 for machine in gap.lab.machines.values()) >= 4
    told_after_the_gap(gap)


# Further troubles, by hand


def hears_only_the_old_leader(gap):
    lab = gap.lab

    def cut():
        # One that the next leader reaches would show the old one its token, and end it.
        machines = [name for name in lab.simulation.hosts if name.startswith("i-")]
        others = [name for name in lab.names if name != lab.leader()]
        lab.simulation.add_cut(Cut(machines, others), 36.0)

    def look():
        old = lab.nodes[gap.leaders[0]].term
        assert not old.stopped
        gap.unreached = sum(
            m.contact.last_heartbeat_at > 1053.0 for m in old.worker_registry.machines.values() if m.is_up
        )
        judge = lab.judge
        on = [seen for name, seen in judge.jobs.items() if judge.is_on(name) and (seen.cancel_asked or 0.0) > REFUSED_S]
        gap.held = [seen.cancel_told is not None for seen in on]

    lab.simulation.at(REFUSED_S, cut)
    lab.simulation.at(55.0, look)


def fetched_slowly(gap):
    """Each image takes twelve seconds: many machines are at it, and hear nothing, as their tasks are called off."""
    lab = gap.lab

    def look():
        cancelled = [name for name, seen in lab.judge.jobs.items() if seen.cancel_asked is not None]
        gap.fetching = sum(
            task["standing"] == "fetching" and task["head"].rpartition("/")[0] in cancelled
            for machine in lab.machines.values()
            if machine.deaf
            for task in machine.tasks.values()
        )

    lab.simulation.at(29.5, look)


def stops_lost(gap):
    """The first stop to each machine that reaches no controller is lost on its way."""
    lost = gap.lost = set()
    commanded = Machine._commanded

    def without(self, request, late):
        stops = [call["head"] for call in request["calls"] if call["call"] == "stop"]
        if self.mute and stops and self.machine["id"] not in lost:
            lost.add(self.machine["id"])
            request["calls"] = [call for call in request["calls"] if call["call"] != "stop"]
            commanded(self, request, late)
            return 503, {}
        return commanded(self, request, late)

    gap.patch.setattr(Machine, "_commanded", without)


def stopped_in_time(gap):
    """Before their leases end."""
    assert len(gap.lost) >= 4, gap.lost
    assert gap.all_told_soon(6.0), gap.result["cancels"]


def leader_of_before(gap):
    """The first leader is of the version before: it drops the word as of an unknown kind."""
    received = PeerLink.on_message

    def without(self, line, message):
        if not isinstance(message, CancellationNotice):
            received(self, line, message)

    gap.patch.setattr(PeerLink, "on_message", without)


def outage_before_reading(gap):
    """The second leader's first read fails, and all others for as long as the outage lasts."""
    lab = gap.lab
    read_stored_state, began = StateReader.read, []
    gap.waited = 0.0

    async def read(self):
        if len(lab.takeovers) >= 2 and not began:
            began.append(self)
            lab.strike(msgspec.convert(OUTAGE | {"for_s": 28.0}, Fault))
        stored = await read_stored_state(self)
        if began and self is began[0]:
            gap.waited = self._context.now - self._context.started_at
        return stored

    gap.patch.setattr(StateReader, "read", read)


HANGS = {"kind": "cancel_now", "at_s": 29.0, "count": 20}
ENDS = {"kind": "node_kill", "at_s": 29.3, "node": "leader", "back_s": 6.0}
HEARS_NOTHING = {"kind": "machine_deaf", "at_s": 27.2, "count": 12, "for_s": 14.0}
ROWS = [
    # what happens, by which troubles, what else, what came about
    ("refused alone, then all", [REFUSED, OUTAGE], None, stopped_in_the_gap),
    (
        "and the leader is back at once without its memory",
        [REFUSED, OUTAGE, {"kind": "node_kill", "at_s": 32.0, "node": "leader", "back_s": 0.05}],
        None,
        told_after_the_gap,
    ),
    (
        "and the leader is back after a second",
        [REFUSED, OUTAGE, {"kind": "node_kill", "at_s": ASIDE_S, "node": "leader", "back_s": 1.0}],
        None,
        told_after_the_gap,
    ),
    (
        "and the leader is silent",
        [REFUSED, OUTAGE, {"kind": "node_freeze", "at_s": ASIDE_S, "node": "leader", "for_s": 30.0}],
        None,
        silent,
    ),
    ("and the cloud is down", [REFUSED, OUTAGE, CLOUD_DOWN], None, stopped_in_the_gap),
    (
        "and machines hear nothing",
        [REFUSED, OUTAGE, CLOUD_DOWN, {"kind": "machine_deaf", "at_s": 29.0, "count": 9, "for_s": 30.0}],
        None,
        nothing_more,
    ),
    ("cancelled through the next, the leader cut from store and peers", LONELY, None, told_by_the_next_leader),
    (
        "and some machines hear only the old leader, the cloud down",
        [*LONELY, CLOUD_DOWN],
        hears_only_the_old_leader,
        held_back,
    ),
    (
        "the next leader holds the key, and has read nothing; machines heard no stop",
        [REFUSED, {"kind": "machine_deaf", "at_s": 29.0, "count": 6, "for_s": 4.0}],
        outage_before_reading,
        unread,
    ),
    ("starts held up, and the cloud is down", HELD, None, started_late),
    ("machines hang for less than a lease", [HANGS | {"hang_s": 8.0}, CLOUD_DOWN], None, hung_and_told_at_last),
    (
        "machines hang for longer than a cancel has, the cloud down",
        [HANGS | {"hang_s": CANCEL_S + 6.0}, CLOUD_DOWN],
        None,
        hung_and_told_at_last,
    ),
    ("machines hang, and the leader ends", [HANGS | {"hang_s": 8.0}, ENDS, CLOUD_DOWN], None, hung_and_told_at_last),
    ("machines fetch an image and hear nothing", [HEARS_NOTHING, CLOUD_DOWN], fetched_slowly, fetching_and_told),
    (
        "machines that reach no controller lose the stop",
        [{"kind": "machine_mute", "at_s": 26.5, "count": 12, "for_s": 20.0}, CLOUD_DOWN],
        stops_lost,
        stopped_in_time,
    ),
    ("controllers don't reach each other", APART, None, told_within_seconds),
    ("the leader is of the version before", [], leader_of_before, told_within_seconds),
    ("nothing but cancels", [], None, told_within_seconds),
]
SLOW_FETCH = {"machines fetch an image and hear nothing": 0.04}
DRAWN = {"starts held up, and the cloud is down": 2}
"""By row, the seed with which what is left to luck comes about."""


def gap_of(row, patch, seed=1):
    seed += DRAWN.get(row, 1) - 1
    faults, more, _ = next(one[1:] for one in ROWS if one[0] == row)
    gap = Gap(faults, seed, fetch_gb_per_s=SLOW_FETCH.get(row, 1.0))
    gap.patch = patch
    if more is not None:
        more(gap)
    return gap


@pytest.mark.parametrize(("row", "came"), [(row[0], row[3]) for row in ROWS], ids=[row[0] for row in ROWS])
def test_told_only_when_the_tasks_are_gone(monkeypatch, row, came):
    gap = gap_of(row, monkeypatch)
    assert gap.play() == set()
    came(gap)


def test_clocks_that_differ_by_far_more_than_they_may():
    gap = Gap([REFUSED, OUTAGE], clocks=[20.0, -20.0])
    assert gap.play() == set()
    stopped_in_the_gap(gap)


# Deliberate faults of our own code, and the row that shows each


def told_before_the_proof(monkeypatch):
    """As soon as the cancel is stored."""

    async def cancelled(self, job, found, until):
        self._events.on_cancelled(job, found.mod_revision, found.is_unrecorded)
        return job_response(job, JobState.CANCELLED, 0, 0)

    monkeypatch.setattr(JobApi, "_await_cancellation", cancelled)


def not_told_to_the_leader(monkeypatch):
    monkeypatch.setattr(CancellationBroadcast, "announce", lambda self, job, mark, unrecorded: None)


def taken_and_not_acted_on(monkeypatch):
    monkeypatch.setattr(CancellationTracker, "apply_announced", lambda self, notice: self._lifecycle.is_loaded)


def nothing_stopped_before_reading(monkeypatch):
    monkeypatch.setattr(CancellationsBeforeLoad, "list_stops", lambda self, heartbeat: [])


def stops_not_repeated(monkeypatch):
    monkeypatch.setattr(cancellation_tracker, "unacknowledged_stops", lambda jobs, now, most: [])


def fetching_counts_as_gone(monkeypatch):
    """What has not begun to run when its job is called off counts as never placed."""
    stop_all_tasks = CancellationTracker.stop_all_tasks

    def cleared(self, job):
        for placement in list(job.placements.values()):
            if placement.phase in (PlacementPhase.SENT, PlacementPhase.FETCHING):
                self._worker_registry.unassign(placement, job.spec, self._context.now)
                self._job_table.release(placement)
        stop_all_tasks(self, job)

    monkeypatch.setattr(CancellationTracker, "stop_all_tasks", cleared)


def queued_starts_leave(monkeypatch):
    """A start that waits behind others is sent whatever has become of its job."""
    monkeypatch.setattr(PlacementWriter, "may_start", lambda self, placement: not self._lifecycle.is_stopped)


def hung_counts_as_gone(monkeypatch):
    """What a machine that is silent has of a job that was called off counts as gone after a few seconds."""

    def release_hung(term):
        now = term.context.now
        for job in list(term.job_table.jobs.values()):
            for placement in list(job.placements.values()) if job.cancelled_at is not None else []:
                if placement.stop_requested_at is not None and now - placement.stop_requested_at > 3.0:
                    term.worker_registry.unassign(placement, job.spec, now)
                    term.job_table.release(placement)
                    term.placement_writer.after_release(job)

    before_each_tick(monkeypatch, release_hung)


FAULTS = [
    # the fault, the row that shows it, what is seen
    (told_before_the_proof, "refused alone, then all", "told before they were gone"),
    (told_before_the_proof, "machines hang for longer than a cancel has, the cloud down", "ran_cancelled"),
    (told_before_the_proof, "machines fetch an image and hear nothing", "ran_cancelled"),
    (not_told_to_the_leader, "refused alone, then all", "the row's mark"),
    (taken_and_not_acted_on, "refused alone, then all", "the row's mark"),
    (
        nothing_stopped_before_reading,
        "the next leader holds the key, and has read nothing; machines heard no stop",
        "the row's mark",
    ),
    (stops_not_repeated, "machines that reach no controller lose the stop", "the row's mark"),
    (fetching_counts_as_gone, "machines fetch an image and hear nothing", "ran_cancelled"),
    (queued_starts_leave, "starts held up, and the cloud is down", "ran_cancelled"),
    (hung_counts_as_gone, "machines hang for longer than a cancel has, the cloud down", "ran_cancelled"),
]


@pytest.mark.parametrize(("fault", "row", "shown"), FAULTS, ids=[f"{fault.__name__}-{row}" for fault, row, _ in FAULTS])
def test_a_deliberate_fault_shows(monkeypatch, fault, row, shown):
    came = next(one[3] for one in ROWS if one[0] == row)
    fault(monkeypatch)
    assert any(shown in signs_of(gap_of(row, monkeypatch, seed), came) for seed in (1, 2, 3))


# The word to who leads


class Office:
    """A term, as cancels see it."""

    def __init__(self, takes=True):
        self.takes, self.taken = takes, []

    def apply_announced_cancellations(self, told):
        self.taken.append(dict(told.revisions))
        return self.takes


def node(world, term=None, known=None, answers=()):
    """A node's cancels, and what it told the leader; `answers` in their order, then none."""
    told, answers = [], list(answers)

    async def ask(name, message):
        told.append((name, message))
        return answers.pop(0) if answers else False

    known_leader = known if callable(known) else lambda: known
    return CancellationBroadcast(world.clock, lambda: term, known_leader, ask), told


NAME = "wk-000001"
LATER = [
    # the token of whoever leads later, and whether the cancel at version 50 was stored after its election
    ("elected after the cancel was stored", 51, False),
    ("elected before it, and not known until now", 49, True),
    ("in a new era, whose versions begin anew", (1 << 40) + 3, True),
]


def test_hundreds_of_cancels_cost_a_few_messages(world):
    cancels, told = node(world, known=("n1", FencingToken(7)), answers=[True] * 9)
    for number in range(400):
        cancels.announce(f"wk-{number:06d}", Revision(50 + number), False)
    world.pass_time(2.0)
    assert len(told) == 1 and len(told[0][1].revisions) == 400 and cancels.is_announced("wk-000399")


@pytest.mark.parametrize(("token", "again"), [one[1:] for one in LATER], ids=[one[0] for one in LATER])
def test_the_word_is_repeated_until_it_is_taken_in_or_whoever_leads_has_read_it(world, token, again):
    cancels, told = node(world, known=("n1", FencingToken(7)), answers=[False] * 5 + [True])
    cancels.announce(NAME, Revision(50), False)
    # All may be without the store meanwhile; the leader hears it all the same.
    world.pass_time(8.0)
    assert len(told) == 6 and all(message.revisions == {NAME: 50} for _, message in told)
    known = ["n1", FencingToken(7)]
    other, told = node(world, known=lambda: tuple(known))
    other.announce(NAME, Revision(50), False)
    other.announce("wk-000002", Revision(50), True)
    world.pass_time(2.0)
    known[1] = FencingToken(token)
    world.pass_time(1.2)
    count = len(told)
    world.pass_time(5.0)
    later = [message for _, message in told[count:]]
    # What is on no record, a leader reads nowhere.
    assert len(later) >= 4 and all(message.unrecorded == ["wk-000002"] for message in later)
    assert all((NAME in message.revisions) is again for message in later)


def test_a_leader_that_never_answers_is_told_of_the_newest_only(world):
    cancels, told = node(world, known=("n1", FencingToken(7)))
    names = [f"wk-{number:06d}" for number in range(MAX_CANCELLATIONS + 100)]
    for name in names:
        cancels.announce(name, Revision(50), False)
    world.pass_time(3.0)
    assert (
        len(told[-1][1].revisions) == cancels.unacknowledged_count == MAX_CANCELLATIONS
        and names[-1] in told[-1][1].revisions
    )


HEARD = [
    # the term of this node, if any; of whom the teller takes for the leader; whether it says that it took it in
    ("it leads", Office(), 7, True),
    ("it has just stopped leading", None, 7, False),
    ("it has read nothing yet", Office(False), 7, False),
    ("meant for another leader", Office(), 9, True),
]


@pytest.mark.parametrize(("term", "token", "answer"), [h[1:] for h in HEARD], ids=[h[0] for h in HEARD])
def test_a_word_is_for_whoever_leads_and_kept_for_whoever_leads_next(world, term, token, answer):
    cancels, _ = node(world, term)
    word = CancellationNotice(3, FencingToken(token), {NAME: 5})
    assert cancels.on_notice(word) is answer is cancels.on_notice(word)
    assert cancels.is_announced(NAME) and not cancels.is_announced("wk-000002")
    assert term is None or term.taken == [{NAME: 5}] * 2
    for first in range(0, 2 * MAX_REMEMBERED_JOBS, 1000):
        cancels.on_notice(CancellationNotice(0, FencingToken(token), {f"wk-{first + n:07d}": 5 for n in range(1000)}))
    assert not cancels.is_announced(NAME) and cancels.announced_count == MAX_REMEMBERED_JOBS


def told(**jobs):
    return CancellationNotice(0, FencingToken(7), {f"wk-{name[1:]}": mark for name, mark in jobs.items()})


def test_a_leader_takes_in_a_cancel_by_word_as_by_its_watch(world):
    """In an outage its tasks are stopped at once. Its end waits until its record is read, and copies change nothing."""
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 2
    world.state.outage = True
    world.pass_time(2.0)
    item = world.state.keys[f"j/{NAME}"]
    mark = item["mark"] + 50
    assert term.apply_announced_cancellations(told(j000001=mark)) and term.apply_announced_cancellations(
        told(j000001=mark, j000009=3)
    )
    world.pass_time(0.5)
    assert world.running() == [] and term.job_table.jobs[NAME].cancelled_at is not None
    # Lost with the state service's last minutes, or not stored at all: it is stopped, and no end of it is told.
    world.state.outage = False
    world.pass_time(5.0)
    assert f"e/{NAME}" not in world.state.keys and world.running() == [] and NAME in term.job_table.jobs
    write = {"write": f"j/{NAME}", "data": item["data"] | {"c": 1.0}}
    assert world.state.transact({"if": [], "writes": [write]})[0] == 200
    world.pass_time(5.0)
    assert world.state.value(f"e/{NAME}")["s"] == "cancelled" and NAME not in term.job_table.jobs
    assert term.apply_announced_cancellations(told(j000001=mark)), "a late copy, after the end"
    world.pass_time(5.0)
    assert NAME not in term.job_table.jobs
    term.stop()
    assert not term.apply_announced_cancellations(told(j000001=mark))


@pytest.mark.parametrize("answered", [True, False])
def test_the_watch_tells_of_a_cancel_after_the_job_has_ended(world, answered):
    """A read can be faster than the watch, as the word was when it still ended jobs. Once the job came back into the
    book with no attempts, and the task that its machine still showed counted as proof that records were lost. Also
    where the end's answer was lost."""
    follower = world.follower = ReplicaFollower(world.clock, world.store, 1 << 20)
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    lost = []
    term.recovery.report_data_loss = lambda reason, is_loss_older=False: lost.append(reason)
    follower.begin_leading(StoreReplica(), True)
    apply, held, fed = term.job_records.apply, [], []
    term.job_records.apply = lambda *event: held.append(event)
    follower.apply_events = lambda *events: fed.append(events)
    item = world.state.keys[f"j/{NAME}"]
    write = {"write": f"j/{NAME}", "data": item["data"] | {"c": 1.0}}
    mark = world.state.transact({"if": [], "writes": [write]})[1]["ledger"]
    if not answered:
        world.net.faults.append(("state:1/multi", "lose"))
    assert term.apply_announced_cancellations(told(j000001=mark))
    # As read after a conflict, or a lost answer.
    apply(f"j/{NAME}", msgspec.Raw(json.dumps(write["data"]).encode()), mark)
    world.pass_time(4.0)
    assert NAME not in term.job_table.jobs and world.state.value(f"e/{NAME}") is not None
    worker = next(iter(world.workers.values()))
    worker.tasks[f"{NAME}/0", 1] = {"head": f"{NAME}/0", "round": 1, "standing": "ended", "cause": "stopped"}
    assert any(event[2] == mark for event in held)
    # Nothing is answered at once, as it is here: what such a job has to write waits.
    world.state.outage = True
    for event in held:
        apply(*event)
    del follower.apply_events
    for events in fed:
        follower.apply_events(*events)
    assert NAME not in term.job_table.jobs and follower.get(f"j/{NAME}") is None
    world.pass_time(2.0)
    assert lost == []


def test_a_canceller_whose_clock_is_ahead_puts_off_no_deletion(world):
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    for worker in world.workers.values():
        worker.obey = lambda calls: None
    item = world.state.keys[f"j/{NAME}"]
    ahead = item["data"] | {"c": world.clock.seconds() + 3600.0}
    assert world.state.transact({"if": [], "writes": [{"write": f"j/{NAME}", "data": ahead}]})[0] == 200
    world.pass_time(1.0)
    assert term.job_table.jobs[NAME].cancelled_at <= world.clock.seconds()
    world.pass_time(0.5 * world.settings.facts.workers.cancel_s + 3.0)
    assert world.running() == [] and world.cloud.deleted


class Wire(StringTransport):
    def setTcpNoDelay(self, on):
        """Nothing to set."""


def link_of(world, take):
    return connect_quiet_node(PeerLink(world.clock, []), on_notice=take)


MESSAGES = [
    ("no object", b"[]"),
    ("of an unknown kind", b'{"kind":"cancels!","number":1}'),
    ("of another version", b'{"kind":"cancels?","number":1,"jobs":["wk-000001"]}'),
    ("a version that is none", b'{"kind":"cancels?","number":1,"token":7,"jobs":{"wk-000001":"x"}}'),
    (
        "too many",
        encode(CancellationNotice(1, FencingToken(7), {f"wk-{n:06d}": 1 for n in range(MAX_CANCELLATIONS + 1)})),
    ),
]


@pytest.mark.parametrize("body", [one[1] for one in MESSAGES], ids=[one[0] for one in MESSAGES])
def test_what_is_no_message_is_dropped_with_one_line(world, caplog, body):
    heard = []
    line = PeerProtocol(link_of(world, heard.append))
    line.makeConnection(Wire())
    good = encode(CancellationNotice(0, FencingToken(7), {NAME: 1}))
    with caplog.at_level("INFO"):
        line.dataReceived(b"%d:%s," % (len(body), body))
        line.dataReceived(b"%d:%s," % (len(good), good))
    # An ended world of an earlier test may still say something when its garbage is collected.
    ours = [record for record in caplog.records if record.filename == "peer_connection.py"]
    assert len(ours) == 1 and [one.revisions for one in heard] == [{NAME: 1}]
    assert decode(good).revisions == {NAME: 1}


def test_a_line_that_sends_too_much_at_once_is_closed_with_one_line(world, caplog):
    line, transport = PeerProtocol(link_of(world, lambda told: None)), Wire()
    line.makeConnection(transport)
    with caplog.at_level("INFO"):
        line.dataReceived(b"%d:" % (line.MAX_LENGTH + 1))
        assert transport.disconnecting
        line.connectionLost()
    assert len([record for record in caplog.records if record.filename == "peer_connection.py"]) == 1
