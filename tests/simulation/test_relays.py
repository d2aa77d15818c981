"""Relays in the lab: whole clusters whose workers report through other controllers, with a trouble when it hurts. A row
asserts that its trouble did arrive; deliberate faults of our own code turn it red (`docs/design.md` has the table)."""

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

LONG = {"class": "long", "tasks": 12, "run_s": 40.0, "count": 8, "every_s": 1.0}
FLOW = {"class": "flow", "team": "a", "tasks": 4, "run_s": 5.0, "count": 70, "at_s": 3.0, "every_s": 1.0}
TRAIN = {"class": "train", "kind": "gang", "tasks": 6, "run_s": 6.0, "count": 40, "at_s": 6.0, "every_s": 1.0}
STAYS = {"class": "web", "kind": "service", "tasks": 4, "spread": True, "spot": False, "at_s": 8.0}
RELAY = "follower"
"""In the lab's words: a controller that does not lead; all of them are relays here."""


class Relayed:
    """A play with relays from the first worker on."""

    def __init__(self, faults, until=90.0, jobs=(LONG, FLOW, STAYS), nodes=3, seed=1, lab=Lab, report_s=3.0):
        scenario = load(str(WHERE / "quiet.toml"))
        scenario.operator = {"relays": "always"}
        scenario.nodes = nodes
        scenario.zones = ["east", "west"]
        scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
        scenario.duration_s = until
        scenario.workers.report_s = report_s
        scenario.jobs = [msgspec.convert({"team": "b", "memory_gb": 0.2} | one, Jobs) for one in jobs]
        self.lab = lab(scenario, seed)
        self.marks: list = []
        self.patch: tuple | None = None
        """Where the row watches, as class, name and function."""

    @property
    def pool(self) -> RelayPool:
        return self.lab.nodes[self.lab.leader()].term.relay_pool

    def at(self, when, look):
        self.lab.simulation.at(when, look)

    def play(self):
        """What is wrong with the play."""
        self.result = self.lab.play()
        found = {one["rule"] for one in self.result["broken"]}
        if self.result["lost"]:
            found.add("work was lost")
        if any(machine.session > 1 for machine in self.lab.machines.values()):
            found.add("a lease ended")
        if min(self.result["served"].values()) < 0.5:
            found.add("not served")
        return found


def kill(at_s, back_s, node=RELAY):
    return {"kind": "node_kill", "at_s": at_s, "node": node, "back_s": back_s}


def cut(apart, at_s=20.0, for_s=20.0, node=RELAY):
    return {"kind": "node_cut", "at_s": at_s, "node": node, "apart": apart, "for_s": for_s}


def sessions_at(play, *times):
    """Notes which workers report to each node but the leader, as the workers have it, at these times."""

    def look():
        at = {node: set() for node in play.lab.names if node != play.lab.leader()}
        for name, machine in play.lab.machines.items():
            at.get(machine._node, set()).add(name)
        play.marks.append(at)

    for when in times:
        play.at(when, look)
    return play


# Rows


def killed_with_starts_open():
    """Three times a relay ends in the moment in which a worker has got starts from it, and its answer is on its way."""
    play = Relayed([], 100.0)
    relayed = Relay.send_commands
    due = [15.0, 35.0, 55.0]

    async def commands(self, passed):
        now = play.lab.judge._now()
        if due and now >= due[0] and b'"start"' in bytes(passed.body) and play.lab.nodes[self._node].relay is self:
            del due[0]
            play.marks.append(self._node)
            play.lab.simulation.later(0.0016, lambda: play.lab.kill(self._node, 5.0))
        return await relayed(self, passed)

    play.patch = (Relay, "send_commands", commands)
    return play


def three_ended(play):
    assert len(play.marks) == 3 and len(play.lab.takeovers) == 1


def cut_from_the_leader():
    unchanged = [LONG | {"run_s": 60.0}]
    return sessions_at(Relayed([cut("peers", for_s=35.0)], 140.0, unchanged, nodes=4, report_s=4.0), 19.9, 32.0)


def cut_from_its_workers():
    return sessions_at(Relayed([cut("workers")], nodes=4, report_s=4.0), 19.9, 32.0)


def its_workers_went(play):
    """To another node, and none stayed with the one that was cut off."""
    before, after = play.marks[:2]
    assert min(map(len, before.values())) >= 3, before
    assert any(not workers & after[node] for node, workers in before.items()), after


def frozen_then_going_on():
    freeze = {"kind": "node_freeze", "node": RELAY, "at_s": 20.0, "for_s": 12.0}
    return sessions_at(Relayed([freeze], nodes=4, report_s=4.0), 19.9)


def had_workers(play):
    assert min(map(len, play.marks[0].values())) >= 3, play.marks


def leader_replaced_while_reports_are_on_their_way():
    """The leader ends as some relay waits for its answer to a changed report, three times."""
    play = Relayed([], 100.0)
    passed = Relay.forward_heartbeat
    due = [15.0, 35.0, 55.0]

    async def pass_on(self, report, body):
        if due and play.lab.judge._now() >= due[0]:
            del due[0]
            play.marks.append(report.machine)
            play.lab.simulation.later(0.0008, lambda: play.lab.kill(play.lab.leader(), 5.0))
        return await passed(self, report, body)

    play.patch = (Relay, "forward_heartbeat", pass_on)
    return play


def three_leaders_ended(play):
    assert len(play.marks) == 3 and len(play.lab.takeovers) == 4
    assert all(one.first_start_s is not None and one.first_start_s < 6.0 for one in play.lab.takeovers[1:])


def back_at_once():
    return sessions_at(Relayed([kill(at, 0.2) for at in (20.0, 32.0, 44.0)]), 19.9)


def gangs_start_while_workers_move():
    times = (20.0, 27.0, 34.0, 41.0)
    play = Relayed([kill(when, 4.0) for when in times], 110.0, (TRAIN, FLOW))

    def starting():
        jobs = play.lab.nodes[play.lab.leader()].term.job_table.jobs.values()
        phases = {p.phase for job in jobs if job.is_gang for p in job.placements.values()}
        play.marks.append(phases & {PlacementPhase.SENT, PlacementPhase.FETCHING, PlacementPhase.WAITING})

    for when in times:
        play.at(when, starting)
    return play


def some_gang_was_starting(play):
    assert any(play.marks), play.marks


def cancels_and_hung_machines():
    off = {"class": "idle", "tasks": 2, "run_s": 45.0, "count": 60, "at_s": 4.0, "every_s": 0.3}
    hangs = {"kind": "cancel_now", "at_s": 25.0, "count": 20, "hang_s": 9.0}
    return Relayed([hangs, kill(25.3, 4.0)], 90.0, (off, FLOW))


def all_were_told(play):
    told = play.result["cancels"]
    assert told["asked"] == told["told"] >= 18, told


def outage_longer_than_a_lease():
    return sessions_at(Relayed([{"kind": "store_outage", "at_s": 20.0, "for_s": 24.0}], 110.0), 19.9, 40.0)


def they_stayed(play):
    """Though nothing could be stored for longer than a lease."""
    before, after = play.marks
    assert min(map(len, before.values())) >= 3 and all(before[node] <= after[node] for node in before), play.marks


def relay_without_leader_as_the_leader_ends():
    """Cut from all peers, it still has a grant of the leader that ends a moment later."""
    faults = [cut("peers", 20.0, 25.0, "n1"), cut("peers", 20.0, 25.0, "n2"), kill(20.5, 6.0, "leader")]
    return Relayed(faults, 140.0, [LONG | {"run_s": 60.0}], nodes=5)


def another_led(play):
    assert len(play.lab.takeovers) >= 2


NEVER_RELAYS = "n3"


class Mixed(Lab):
    """One node never relays, as one of the version before."""

    def boot(self, name):
        operator = self.scenario.operator
        if name == NEVER_RELAYS:
            self.scenario.operator = operator | {"relays": "never"}
        super().boot(name)
        self.scenario.operator = operator


def a_version_before_among_them():
    return sessions_at(Relayed([kill(30.0, 4.0, "leader")], 90.0, nodes=4, lab=Mixed), 25.0)


def it_had_no_workers(play):
    at = play.marks[0]
    assert not at[NEVER_RELAYS] and sum(map(len, at.values())) >= 8, at
    assert len(play.lab.takeovers) == 2


def renewals_come_late_and_twice():
    """Each comes once more after a moment, and again seconds later, while machines fetch images for new tasks."""
    fetched = [FLOW | {"class": f"flow-{n}", "image_gb": 1.5, "count": 12, "at_s": 4.0 + 6 * n} for n in range(8)]
    play = Relayed([], 100.0, [LONG, *fetched])
    renewed = RelayService.apply_renewals

    def again(self, renewals):
        renewed(self, renewals)
        play.marks += renewals.renewals
        for after in (0.6, 3.0):
            play.lab.simulation.later(after, lambda: renewed(self, renewals))

    play.patch = (RelayService, "apply_renewals", again)
    return play


def many_came(play):
    assert len(play.marks) > 100


def a_zone_with_a_relay_is_away():
    return Relayed([{"kind": "zone_cut", "zone": "west", "at_s": 20.0, "for_s": 12.0, "mode": "hold"}], 100.0)


def some_ran(play):
    assert play.result["started"] > 200


ROWS = [
    # name, the play, its mark, what may be seen of it
    (killed_with_starts_open, three_ended, set()),
    (cut_from_the_leader, its_workers_went, set()),
    (cut_from_its_workers, its_workers_went, set()),
    (frozen_then_going_on, had_workers, set()),
    (leader_replaced_while_reports_are_on_their_way, three_leaders_ended, set()),
    (back_at_once, had_workers, set()),
    (gangs_start_while_workers_move, some_gang_was_starting, set()),
    (cancels_and_hung_machines, all_were_told, {"work was lost"}),
    (outage_longer_than_a_lease, they_stayed, set()),
    (relay_without_leader_as_the_leader_ends, another_led, set()),
    (a_version_before_among_them, it_had_no_workers, set()),
    (renewals_come_late_and_twice, many_came, set()),
    (a_zone_with_a_relay_is_away, some_ran, {"work was lost", "a lease ended"}),
]


@pytest.mark.parametrize(("make", "came", "may"), ROWS, ids=[row[0].__name__ for row in ROWS])
def test_relays_keep_the_rules(monkeypatch, make, came, may):
    play = make()
    if play.patch is not None:
        monkeypatch.setattr(*play.patch)
    assert signs_of(play, came) - may == set()


# Deliberate faults of our own code, and where each is found


def unanswered_is_unsent(monkeypatch):
    """What a relay was to send, and nothing is known of, counts as not sent."""
    post = RelayPool.send_commands

    async def posted(self, machine, body):
        try:
            return await post(self, machine, body)
        except NoResponseError as error:
            raise ConnectionFailedError(str(error)) from error

    monkeypatch.setattr(RelayPool, "send_commands", posted)


def grants_for_ever(monkeypatch):
    """A relay goes on with whatever it was granted once."""
    monkeypatch.setattr(Relay, "active_grant", lambda self: self._grant)


def tokens_unseen(monkeypatch):
    """And no higher token stops it, wherever it is seen."""
    grants_for_ever(monkeypatch)
    answer = Relay.answer_unchanged

    def answered(self, report):
        lowered = min(report.token, self._grant.token) if self._grant is not None else report.token
        return answer(self, msgspec.structs.replace(report, token=lowered))

    monkeypatch.setattr(Relay, "answer_unchanged", answered)
    monkeypatch.setattr(Relay, "on_token_seen", lambda self, token: None)
    monkeypatch.setattr(Relay, "accept_grant", lambda self, grant: setattr(self, "_grant", self._grant or grant))


def silence_is_theirs(monkeypatch):
    """A relay's silence counts as its workers' own."""
    monkeypatch.setattr(RelayPool, "_extend_grace", lambda self: None)
    monkeypatch.setattr(RelayPool, "_remove_relay", lambda self, node: self.assignment.remove_relay(node))


def renewals_prove(monkeypatch):
    """What did not run by the time of a renewal counts as gone, as if it were a whole report."""
    renewed = RelayService.apply_renewals

    def taken(self, renewals):
        term = self._current_term()
        for one in renewals.renewals if term is not None else []:
            machine = term.worker_registry.machines.get(one.machine)
            for placement in list(machine.placements.values()) if machine is not None else []:
                if placement.phase in (PlacementPhase.SENT, PlacementPhase.FETCHING):
                    term.task_outcomes.apply(machine, TaskOutcome(TaskChange.GONE, placement, "lost"))
        renewed(self, renewals)

    monkeypatch.setattr(RelayService, "apply_renewals", taken)


def relays_all(monkeypatch):
    """Whoever beats is made a relay."""
    grant = RelayPool.renew_grants

    def granted(self):
        peers = self._peers
        self._peers = lambda: [
            msgspec.structs.replace(beat, relay_capacity=beat.relay_capacity or 99) for beat in peers()
        ]
        try:
            grant(self)
        finally:
            self._peers = peers

    monkeypatch.setattr(RelayPool, "renew_grants", granted)


FAULTS = [
    # the fault, the row that shows it, and what of it is seen
    (unanswered_is_unsent, killed_with_starts_open, three_ended, "ran_twice"),
    (grants_for_ever, cut_from_the_leader, its_workers_went, "the row's mark"),
    (tokens_unseen, relay_without_leader_as_the_leader_ends, another_led, "work was lost"),
    (silence_is_theirs, cut_from_its_workers, its_workers_went, "work was lost"),
    (renewals_prove, renewals_come_late_and_twice, many_came, "ran_twice"),
    (relays_all, a_version_before_among_them, it_had_no_workers, "the row's mark"),
]


@pytest.mark.parametrize(
    ("fault", "make", "came", "shown"), FAULTS, ids=[f"{row[0].__name__}-{row[1].__name__}" for row in FAULTS]
)
def test_a_deliberate_fault_is_found(monkeypatch, fault, make, came, shown):
    fault(monkeypatch)
    play = make()
    if play.patch is not None:
        monkeypatch.setattr(*play.patch)
    assert shown in signs_of(play, came)


def test_without_relays_no_node_but_the_leader_has_workers():
    play = Relayed([], 30.0)
    assert play.lab.nodes["n0"].services.operator.relays is RelayMode.ALWAYS
    play.lab.simulation.run(25.0)
    assert sum(map(play.pool.assignment.load, play.pool.assignment.relays)) == len(play.lab.machines) > 5
