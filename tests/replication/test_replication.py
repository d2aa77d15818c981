"""A warm standby: its picture, its hints, its evidence, and what a new leader checks before it decides."""

from __future__ import annotations

import msgspec
import pytest
from msgspec import Raw
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from meadowcross.common.settings import OperatorSettings, Settings, settings_digest
from meadowcross.common.types import FencingToken, NodeName, Revision
from meadowcross.leadership.failure_detector import Evidence, candidate_rank, failure_reason
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.replication.consistency_check import find_differences
from meadowcross.replication.follower import FollowerState, ReplicaFollower
from meadowcross.replication.hints import HintPublisher, HintSubscriber
from meadowcross.replication.messages import Hints
from meadowcross.replication.store_replica import KeyCounts, StoreReplica
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Event, Item
from simulation.scenario import Fault, load
from simulation.world import Lab
from tests.simulation.test_scenarios import EXAMPLES
from tests.support.world import SETTINGS


def wrote(key, mark, value=b"1"):
    return Event(written_key=key, value=Raw(value), mod_revision=Revision(mark))


def dropped(key, mark):
    return Event(deleted_key=key, mod_revision=Revision(mark))


# The picture

APPLIED = [
    # name, answers to the feed (events, revision), keys and versions in the end, revision
    ("writes and drops", [([wrote("j/a", 1), wrote("j/b", 2), dropped("j/a", 3)], 3)], {"j/b": 2}, 3),
    ("an answer that came late", [([wrote("j/a", 1), dropped("j/a", 5)], 5), ([wrote("j/a", 1)], 4)], {}, 5),
    ("the same answer twice", [([wrote("j/a", 1)], 1), ([wrote("j/a", 1)], 1)], {"j/a": 1}, 1),
    ("written again after its drop", [([wrote("j/a", 1), dropped("j/a", 2), wrote("j/a", 3)], 3)], {"j/a": 3}, 3),
]


@pytest.mark.parametrize(("answers", "keys", "revision"), [a[1:] for a in APPLIED], ids=[a[0] for a in APPLIED])
def test_a_picture_takes_in_changes_by_their_versions(answers, keys, revision):
    picture = StoreReplica()
    for events, upto in answers:
        picture.apply_events(events, Revision(upto))
    assert {item.key: item.mod_revision for item in picture.all_items()} == keys and picture.revision == revision
    for key, mark in keys.items():
        picture.drop(key, Revision(mark + 1))
    assert picture.size_bytes == 0


def test_a_picture_remembers_its_counts_by_revision():
    picture = StoreReplica()
    picture.apply_events(
        [wrote("j/a", 1), wrote("t/a/0", 1), wrote("w/m", 2), dropped("j/a", 3), wrote("e/a", 3)], Revision(4)
    )
    assert picture.counts_at(Revision(1)) == KeyCounts(1, 1, 0, 0)
    assert picture.counts_at(Revision(2)) == KeyCounts(1, 1, 1, 0)
    assert picture.counts_at(Revision(4)) == KeyCounts(0, 1, 1, 1)
    assert picture.counts_at(Revision(9)) is None


def follow(world, most=10**9, settle=1.0):
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    follower = ReplicaFollower(world.clock, store, most)
    Deferred.fromCoroutine(follower.run())
    world.pass_time(settle)
    return follower


def write(world, key, value=1, condition=None):
    conditions = [{"key": key, "mark": condition}] if condition is not None else []
    world.state.transact({"if": conditions, "writes": [{"write": key, "data": value}]})


def same(world, follower):
    return {i.key: i.mod_revision for i in follower.replica.all_items()} == {
        k: v["mark"] for k, v in world.state.keys.items()
    }


def test_a_follower_reads_once_then_follows_at_a_bounded_pace(world):
    for number in range(5):
        write(world, f"e/{number}")
    follower = follow(world)
    assert follower.is_in_sync and same(world, follower)
    before = len(world.net.calls)
    for number in range(40):
        write(world, f"t/{number}")
        world.pass_time(0.1)
    world.pass_time(0.5)
    assert same(world, follower) and follower.replica.revision == world.state.revision
    assert len(world.net.calls) - before <= 4 * 4.5 + 2
    assert 8 <= follower.leader_writes_per_s() <= 11


def test_a_follower_too_far_behind_reads_all_again_and_one_too_small_lets_go(world):
    follower = follow(world)
    write(world, "j/a")
    world.pass_time(6.0)
    world.state.forgotten = world.state.revision + 5
    world.state.revision += 10
    write(world, "j/b")
    world.pass_time(7.0)
    assert follower.is_in_sync and same(world, follower) and follower.resync_count == 1
    small = follow(world, 100)
    assert small.state is FollowerState.OFF and not list(small.replica.all_items())


def test_a_follower_waits_out_an_outage_and_gaps_in_what_it_is_told(world):
    follower = follow(world)
    world.state.outage = True
    world.pass_time(20.0, 0.25)
    world.state.outage = False
    write(world, "j/a")
    world.net.faults.append(("state:1/watch", "refuse"))
    world.pass_time(8.0)
    assert follower.is_in_sync and same(world, follower) and follower.resync_count == 0


def test_a_picture_is_used_only_if_it_reaches_the_revision_of_the_leaders_own_key(world):
    """A placement that is missed would break a limit, though every write is conditional."""
    follower = follow(world)
    write(world, "t/a/0")
    token = Revision(world.state.revision)
    picture = world.run(follower.catch_up_to(token))
    assert picture is follower.replica and picture.get("t/a/0") is not None
    # Its look at the feed is lost, or tells of less: not used.
    assert world.run(follower.catch_up_to(Revision(world.state.revision + 1))) is None
    world.state.forgotten = world.state.revision + 1
    write(world, "t/b/0")
    assert world.run(follower.catch_up_to(Revision(world.state.revision))) is None
    assert world.run(ReplicaFollower(world.clock, follower._store, 1).catch_up_to(token)) is None


PROOFS = [
    ("all agree", lambda world: None, []),
    ("a key is gone", lambda world: world.state.keys.pop("t/a/0"), ["t/a/0"]),
    ("a key is another", lambda world: world.state.keys["w/m"].update(mark=1), ["w/m"]),
    ("being written when asked", lambda world: write(world, "j/a"), []),
]


@pytest.mark.parametrize(("harm", "found"), [p[1:] for p in PROOFS], ids=[p[0] for p in PROOFS])
def test_a_picture_is_compared_with_the_store_without_a_write_or_a_listing(world, harm, found):
    for key in ("j/a", "t/a/0", "w/m", "e/b"):
        write(world, key)
    follower = follow(world)
    harm(world)
    revision, before = world.state.revision, len(world.net.calls)
    assert world.run(find_differences(world.clock, follower._store, follower.replica, lambda: True), 12.0) == found
    assert world.state.revision == revision
    asked = [path for _, path, _ in world.net.calls[before:] if "/watch" not in path]
    assert asked and all(path.endswith("/multi") for path in asked)


# Hints


def hints(**changes):
    return Hints(NodeName("n0"), FencingToken(0), 0, "", **changes)


def told(world, **changes):
    asked = []
    return HintPublisher(NodeName("n0"), FencingToken(7), "s"), HintSubscriber(world.clock, "s", asked.append), asked


def test_hints_are_told_as_changes_and_put_together_with_their_ages(world):
    teller, hearer, _ = told(world)
    hearer.apply(
        teller.next_message(
            hints(incarnations={"a": 1, "b": 2}, boot_times={"small": [(1.0, 9.0)]}, silence_s={"a": 3.0})
        )
    )
    world.pass_time(1.0)
    second = teller.next_message(
        hints(incarnations={"a": 1, "c": 1}, boot_times={"small": [(2.0, 9.0)]}, runtime_ratios={"train": 2.0})
    )
    assert (
        second.incarnations == {"c": 1}
        and second.removed_machines == ["b"]
        and second.boot_times == {}
        and not second.is_full
    )
    hearer.apply(second)
    world.pass_time(2.0)
    known = hearer.hints_before(FencingToken(8))
    assert known.incarnations == {"a": 1, "c": 1} and known.silence_s == {} and known.runtime_ratios == {"train": 2.0}
    assert known.boot_times["small"][0] == (pytest.approx(4.0, abs=0.1), 9.0)
    teller.request_full()
    assert teller.next_message(hints(incarnations={"a": 1, "c": 1})).incarnations == {"a": 1, "c": 1}


def test_many_sessions_are_told_over_several_messages(world):
    teller, hearer, _ = told(world)
    sessions = {f"i-{number:06d}": 1 for number in range(1200)}
    sizes = []
    for _ in range(4):
        message = teller.next_message(hints(incarnations=sessions))
        sizes.append(len(message.incarnations))
        hearer.apply(message)
    assert sizes == [500, 500, 200, 0] and hearer.hints_before(FencingToken(8)).incarnations == sessions


USES = [
    # name, what is done to the second of three messages, seconds until they are taken, token that takes, usable
    ("all heard", lambda hearer, message: hearer.apply(message), 2.0, 8, True),
    ("one missed", lambda hearer, message: None, 2.0, 8, False),
    ("of other settings", lambda hearer, message: hearer.apply(replace(message, settings_digest="t")), 2.0, 8, False),
    ("too old, as after standing still for a while", lambda hearer, message: hearer.apply(message), 9.0, 8, False),
    ("of a leader not before us", lambda hearer, message: hearer.apply(message), 2.0, 7, False),
]


@pytest.mark.parametrize(("second", "after", "token", "usable"), [u[1:] for u in USES], ids=[u[0] for u in USES])
def test_hints_are_used_only_whole_fresh_and_of_like_settings(world, second, after, token, usable):
    teller, hearer, asked = told(world)
    hearer.apply(teller.next_message(hints(incarnations={"a": 1})))
    second(hearer, teller.next_message(hints(incarnations={"a": 1, "b": 1})))
    hearer.apply(teller.next_message(hints(incarnations={"a": 1, "b": 1, "c": 1})))
    world.clock.advance(after)
    assert (hearer.hints_before(FencingToken(token)) is not None) is usable
    if asked:
        teller.request_full()
        hearer.apply(teller.next_message(hints(incarnations={"a": 2})))
        assert hearer.hints_before(FencingToken(8)).incarnations == {"a": 2}


def test_settings_of_another_kind_have_another_digest():
    settings = msgspec.convert(SETTINGS, Settings)
    other = msgspec.convert(SETTINGS | {"host_name": "n1"}, Settings)
    assert (
        settings_digest(settings, OperatorSettings())
        == settings_digest(other, OperatorSettings())
        != settings_digest(settings, OperatorSettings(silent_s=9.0))
    )


# Evidence

LOST = Evidence(True, 1, 1, 20.0, 0.3, 0, 500)
EVIDENCE = [
    ("refused, the peer says so too, writes stopped", LOST, True),
    ("a busy leader that still writes", LOST._replace(quiet_s=0.0), False),
    ("quiet for less than a few of its writes", LOST._replace(writes_per_s=10.0, quiet_s=0.4), False),
    ("an idle leader: nothing can be told by its writes", LOST._replace(writes_per_s=0.5, quiet_s=1.5), False),
    ("an idle leader, its workers come by", LOST._replace(writes_per_s=0.0, quiet_s=1.0, workers_arrived=10), True),
    ("a worker or two come by anyway", LOST._replace(writes_per_s=0.0, quiet_s=1.0, workers_arrived=2), False),
    ("calls hang, as in a cut or a freeze", LOST._replace(is_refused=False), False),
    ("the other peer still hears it", LOST._replace(agreeing_peers=0), False),
    ("no peer to ask, as where all links are refused", LOST._replace(peer_count=0, agreeing_peers=0), False),
    ("one of three peers hears it", LOST._replace(peer_count=3, agreeing_peers=2), False),
]


@pytest.mark.parametrize(("seen", "is_dead"), [e[1:] for e in EVIDENCE], ids=[e[0] for e in EVIDENCE])
def test_a_leader_is_dead_only_by_evidence_of_several_kinds(seen, is_dead):
    assert (failure_reason(seen) is not None) is is_dead


def beat(name, hears=0, warm=True, store_ok=True):
    return PeerHeartbeat(NodeName(name), store_ok, None, hears, name, warm)


RANKS = [
    ("by name among equals", beat("n1"), [beat("n0"), beat("n2")], 1),
    ("warm first", beat("n1"), [beat("n0", warm=False), beat("n2")], 0),
    ("whom workers do not reach comes last", beat("n0", 1), [beat("n1", 40), beat("n2", 30)], 2),
    ("without the store, last of all", beat("n0", 50, store_ok=False), [beat("n1", 1, warm=False)], 1),
    ("alone", beat("n2"), [], 0),
]


@pytest.mark.parametrize(("own", "peers", "place"), [r[1:] for r in RANKS], ids=[r[0] for r in RANKS])
def test_who_stands_first_follows_from_who_is_warm_and_heard(own, peers, place):
    assert candidate_rank(own, peers) == place


# Several nodes, machines and failures


def lab(faults, seed=1, **changes):
    scenario = load(str(EXAMPLES[0].parent / "busy.toml"))
    scenario.faults = [Fault(**fault) for fault in faults]
    for name, value in changes.items():
        setattr(scenario, name, value)
    return Lab(scenario, seed)


def ended(lab):
    return sum(node.failure_detector.revoked_count for node in lab.nodes.values() if node.failure_detector is not None)


def test_a_killed_leader_is_followed_by_evidence_long_before_its_hold_ends():
    world = lab([{"kind": "node_kill", "at_s": 30.0, "node": "leader"}])
    result = world.play()
    assert result["broken"] == [] and ended(world) == 1
    assert result["takeovers"][1]["token_s"] < 1.0 and result["takeovers"][1]["first_placement_s"] < 1.5


def test_switched_off_the_hold_alone_decides():
    world = lab([{"kind": "node_kill", "at_s": 30.0, "node": "leader"}], operator={"warm_standby": 0.0})
    result = world.play()
    assert result["broken"] == [] and result["takeovers"][1]["token_s"] > 1.4


ALARMS = [
    # name, troubles, after which the leader must still be the same
    ("peers refuse all calls, old links live on", [{"kind": "peers_refuse", "at_s": 30.0, "for_s": 20.0}]),
    (
        "the leader is cut off from its peers only, with resets",
        [{"kind": "node_cut", "at_s": 30.0, "node": "leader", "apart": "peers", "for_s": 20.0, "mode": "reset"}],
    ),
    ("it stands still for a second", [{"kind": "node_freeze", "at_s": 30.0, "node": "leader", "for_s": 1.2}]),
    (
        "a slow store, and the link is cut",
        [
            {"kind": "store_slow", "at_s": 28.0, "for_s": 20.0, "factor": 30.0},
            {"kind": "node_cut", "at_s": 30.0, "node": "leader", "apart": "peers", "for_s": 15.0, "mode": "reset"},
        ],
    ),
    (
        "a leader much slower than the rest",
        [
            {"kind": "node_slow", "at_s": 25.0, "node": "leader", "factor": 3.0, "for_s": 20.0},
            {"kind": "node_cut", "at_s": 30.0, "node": "leader", "apart": "peers", "for_s": 10.0, "mode": "reset"},
        ],
    ),
    (
        "an outage of the store, and the link is cut",
        [
            {"kind": "store_outage", "at_s": 29.0, "for_s": 8.0},
            {"kind": "node_cut", "at_s": 30.0, "node": "leader", "apart": "peers", "for_s": 5.0, "mode": "reset"},
        ],
    ),
]


@pytest.mark.parametrize("faults", [a[1] for a in ALARMS], ids=[a[0] for a in ALARMS])
def test_a_leader_that_store_and_workers_hear_keeps_its_place(faults):
    world = lab(faults)
    result = world.play()
    assert result["broken"] == [] and len(result["takeovers"]) == 1 and ended(world) == 0


def test_a_false_alarm_is_counted_and_not_raised_again():
    """Whatever raised it: here the evidence itself is told wrongly."""
    world = lab([])
    for name in world.names:
        node = world.nodes[name]
        node.failure_detector.evidence_against = lambda leader, lost_at, writes_per_s: LOST
        node.cluster_view.is_lost = lambda leader: True
    world.simulation.run(30.0)
    first = world.leader()
    others = [world.nodes[name] for name in world.names if name != first]
    for node in others:
        node.failure_detector.on_peer_lost(first)
    world.simulation.run(35.0)
    assert len(world.takeovers) == 2 and sum(node.failure_detector.false_alarm_count for node in others) == 1
    second = world.leader()
    wrong = next(node for node in others if node.failure_detector.false_alarm_count)
    if wrong.election.token is None:
        wrong.failure_detector.on_peer_lost(second)
        assert not wrong.failure_detector.is_investigating
    assert world.play()["broken"] == []


def test_a_leader_told_to_stop_hands_over_in_one_step():
    world = lab([])
    world.simulation.run(30.0)
    first = world.leader()
    Deferred.fromCoroutine(world.nodes[first].transfer_leadership("told to stop"))
    world.simulation.run(30.3)
    assert world.leader() not in (None, first) and len(world.takeovers) == 2
    assert world.takeovers[1].token_s == 0.0
    assert world.play()["broken"] == []


def dead_machines(warm):
    """Machines die with the leader: how long until the last of them is given up."""
    world = lab(
        [{"kind": "machine_die", "at_s": 30.0, "count": 3}, {"kind": "node_kill", "at_s": 30.0, "node": "leader"}],
        operator={"warm_standby": warm},
    )
    world.simulation.run(30.5)
    dead_ones = set(world.cloud.died)
    at = 30.5
    while not dead_ones <= set(world.cloud.deleted):
        at += 0.5
        world.simulation.run(at)
        assert at < 100.0
    assert world.play()["broken"] == []
    return at - 30.0


def test_machines_the_old_leader_heard_are_judged_as_if_no_takeover_had_been():
    assert dead_machines(2.0) < 12.0 < 16.0 < dead_machines(0.0)


def test_hints_prove_nothing_about_tasks():
    """Hints that call every machine silent for long, and name sessions that never were."""
    world = lab([{"kind": "node_kill", "at_s": 30.0, "node": "leader"}])
    world.simulation.run(29.9)
    for node in world.nodes.values():
        if node.term is None or node.term.stopped:
            take = node.term_manager.begin_term

            def begin(token, node=node, take=take):
                term = take(token)
                if term.hints is not None:
                    names = list(term.hints.incarnations)
                    term.hints = replace(
                        term.hints, incarnations=dict.fromkeys(names, 9), silence_s=dict.fromkeys(names, 500.0)
                    )
                return term

            node.term_manager.begin_term = begin
    result = world.play()
    assert result["broken"] == [] and len(result["takeovers"]) == 2
    assert all(share >= 0.5 for share in result["served"].values())


def test_a_picture_that_differs_ends_its_term_and_is_read_anew():
    world = lab([{"kind": "node_kill", "at_s": 30.0, "node": "leader"}])
    world.simulation.run(29.9)
    first = world.leader()
    for name in world.names:
        if name != first:
            picture = world.nodes[name].follower.replica
            item = picture.items_under("w/")[0]
            # As after a bug of ours: a version that the store never had.
            picture._items_by_prefix["w/"][item.key] = Item(item.key, item.value, Revision(item.mod_revision - 1))
    result = world.play()
    assert result["broken"] == []
    again = [node.follower.resync_count for node in world.nodes.values()]
    assert sum(again) == 1 and len(result["takeovers"]) == 3
