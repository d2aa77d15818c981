"""Filter, score, order, gangs, spread and limits: pure functions over a snapshot."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, MachineKind
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.descheduler import ServiceReplica, select_replicas_to_move
from meadowcross.placement.engine import place
from meadowcross.placement.model import Candidate, PendingJob, QuotaHeadroom, Reservation
from meadowcross.placement.scoring import network_term, resource_term, score
from meadowcross.placement.victims import Victim, select_victims, select_victims_constrained
from tests.support.world import job

WEIGHTS = OperatorSettings()


def make_candidate(name, cpus=4.0, memory=16.0, zone="east", spot=True, kind="small", images=(), gpus=0.0):
    return Candidate(MachineId(name), MachineKind(kind, zone, spot), cpus, gpus, memory, set(images))


def make_pending_job(count=None, rank=1, slack=0.0, siblings=None, **changes):
    spec = msgspec.convert(job(**changes), JobSpec)
    count = spec.tasks if count is None else count
    return PendingJob(JobId(spec.id), spec, count, rank, slack, siblings=siblings or {})


def make_headroom(**limits):
    return {team: QuotaHeadroom(limits.get(team, 1e15), 1e15) for team in ("a", "b")}


def test_score_is_the_weighted_sum_of_designs_terms():
    spec = make_pending_job().spec
    assert resource_term(spec, 4.0, 16.0, WEIGHTS) == pytest.approx(0.5 * 75 + 0.5 * 87.5)
    siblings = {MachineId("x"): ("east", 2), MachineId("y"): ("east", 1), MachineId("z"): ("west", 1)}
    assert network_term(MachineId("x"), "east", siblings, WEIGHTS) == -(2 * 0 + 1 * 1 + 1 * 4)
    gang = make_pending_job(breed="group").spec
    expected = 0.5 * 81.25 + 0.5 * -5
    assert score(gang, make_candidate("x"), siblings, WEIGHTS) == pytest.approx(expected)
    assert score(spec, make_candidate("x"), siblings, WEIGHTS) == pytest.approx(0.5 * 81.25)


FILTERS = [
    ("spot not allowed", make_candidate("m"), {"stubble": False}, 0),
    ("ordinary always allowed", make_candidate("m", spot=False), {"stubble": False}, 2),
    ("wrong zone", make_candidate("m"), {"field": "west"}, 0),
    ("wrong type", make_candidate("m"), {"builds": ["large"]}, 0),
    ("too little memory for both", make_candidate("m", memory=3.0), {}, 1),
    ("no gpu", make_candidate("m"), {"gpus": 1.0}, 0),
]


@pytest.mark.parametrize(("machine", "changes", "placed"), [f[1:] for f in FILTERS], ids=[f[0] for f in FILTERS])
def test_filter(machine, changes, placed):
    decisions = place([machine], [make_pending_job(**changes)], make_headroom(), WEIGHTS)
    assert sum(len(c.machines) for c in decisions) == placed


def test_the_top_score_takes_each_task_and_warm_machines_are_offered_first():
    candidates = [
        make_candidate("big", cpus=16.0, memory=64.0),
        make_candidate("cold"),
        make_candidate("warm", images=["img"]),
    ]
    decisions = place(candidates, [make_pending_job(heads=6)], make_headroom(), WEIGHTS)
    assert Counter(decisions[0].machines) == {"warm": 4, "big": 2}


def test_order_is_priority_then_slack():
    pending_jobs = [
        make_pending_job(id="wk-000001", heads=1, rank=2, slack=-50.0),
        make_pending_job(id="wk-000002", heads=1, rank=1, slack=40.0),
        make_pending_job(id="wk-000003", heads=1, rank=1, slack=10.0),
    ]
    decisions = place([make_candidate("m", cpus=2.0)], pending_jobs, make_headroom(), WEIGHTS)
    assert [c.job_id for c in decisions] == ["wk-000003", "wk-000002"]


def test_a_team_never_gets_more_than_its_limit():
    decisions = place(
        [make_candidate("m", cpus=16.0, memory=64.0)],
        [make_pending_job(steward="a", heads=9)],
        make_headroom(a=3.5),
        WEIGHTS,
    )
    assert len(decisions[0].machines) == 3


GANGS = [
    ("fits", 4, {}, 4),
    ("all or none", 9, {}, 0),
    ("all or none within the limit", 4, {"steward": "a"}, 0),
    ("one zone, fits in one", 4, {"oneZone": True}, 4),
    ("one zone, fits only across", 6, {"oneZone": True}, 0),
    ("spread, half rounded up in a zone", 5, {"scatter": True}, 5),
]


@pytest.mark.parametrize(("heads", "changes", "placed"), [g[1:] for g in GANGS], ids=[g[0] for g in GANGS])
def test_gangs(heads, changes, placed):
    candidates = [make_candidate("e"), make_candidate("w", zone="west")]
    decisions = place(
        candidates, [make_pending_job(heads=heads, breed="group", **changes)], make_headroom(a=3.0), WEIGHTS
    )
    machines = [m for c in decisions for m in c.machines]
    assert len(machines) == placed
    if changes.get("oneZone") and placed:
        assert len(set(machines)) == 1
    if changes.get("scatter"):
        assert max(Counter(machines).values()) == 3
    # What is not placed leaves no trace in the offers.
    assert sum(o.free_cpus for o in candidates) == 8 - placed


FETCHES = [
    # kind, fetch time, images and fetches of three equal machines, which get the first and the second of two tasks
    ("quick: the score alone", "batch", 1.0, [set(), set(), set()], [set(), {"img"}, {"other"}], ["a", "b"]),
    ("warm first", "daemon", 30.0, [set(), set(), {"img"}], [set(), set(), set()], ["c", "c"]),
    ("a replica not beside others", "daemon", 30.0, [set(), set(), set()], [{"other"}, {"img"}, set()], ["c", "b"]),
    ("an array joins its fetch", "batch", 30.0, [set(), set(), set()], [{"other"}, {"img"}, set()], ["b", "b"]),
    ("an array begins one fetch for all", "batch", 30.0, [set(), set(), set()], [{"other"}, set(), {"x"}], ["b", "b"]),
    ("a gang waits for its slowest", "group", 30.0, [{"img"}, {"img"}, set()], [{"x"}, set(), set()], ["a", "b"]),
]


@pytest.mark.parametrize(
    ("kind", "fetch_s", "images", "fetching", "chosen"), [f[1:] for f in FETCHES], ids=[f[0] for f in FETCHES]
)
def test_two_images_fetched_on_one_machine_make_both_late(kind, fetch_s, images, fetching, chosen):
    """A live-matching replica was late by the fetch that an idle-time array had begun on the same machine."""
    candidates = [make_candidate(name, images=images[n]) for n, name in enumerate("abc")]
    for one, under_way in zip(candidates, fetching, strict=True):
        one.fetching_images = set(under_way)
    # Alike in all that the score sees, so that the names decide among equals.
    pending_job = make_pending_job(heads=2, breed=kind, cpus=1.0, memoryGb=4.0)
    pending_job.image_fetch_s = fetch_s
    (choice,) = place(candidates, [pending_job], make_headroom(), WEIGHTS)
    assert choice.machines == [MachineId(name) for name in chosen]


def test_old_members_hold_their_zone_until_gone():
    old = {MachineId("gone?"): ("west", 1)}
    candidates = [make_candidate("e", cpus=16.0, memory=64.0)]
    assert (
        place(candidates, [make_pending_job(heads=2, count=1, oneZone=True, siblings=old)], make_headroom(), WEIGHTS)
        == []
    )
    spread = {MachineId("x"): ("east", 2)}
    assert (
        place(candidates, [make_pending_job(heads=3, count=1, scatter=True, siblings=spread)], make_headroom(), WEIGHTS)
        == []
    )


MOVES = [
    ("used, old, led by enough", 0.9, 700.0, 16.0, 1),
    ("machine used too little", 0.85, 700.0, 16.0, 0),
    ("too young", 0.9, 600.0, 16.0, 0),
    ("no lead", 0.9, 700.0, 1.2, 0),
]


@pytest.mark.parametrize(("usage", "age", "free", "moved"), [m[1:] for m in MOVES], ids=[m[0] for m in MOVES])
def test_the_move_pass_moves_at_most_one_replica_of_a_service(usage, age, free, moved):
    service = make_pending_job(breed="daemon", heads=2, memoryGb=1.0)
    replicas = [ServiceReplica(i, service, MachineId("full"), age) for i in range(2)]
    candidates = [make_candidate("full", cpus=0.4, memory=1.0), make_candidate("other", cpus=free, memory=free)]
    assert len(select_replicas_to_move(candidates, replicas, {MachineId("full"): usage}, WEIGHTS)) == moved
    assert candidates[0].free_cpus == pytest.approx(0.4)


def test_preemption_takes_the_least_loss_of_strictly_lower_priority_where_the_image_is():
    candidates = [make_candidate("warm", cpus=0.0, images=["img"]), make_candidate("cold", cpus=0.0)]

    def victim(key, machine, rank, loss):
        return Victim(key, MachineId(machine), rank, 1.0, 0.0, 2.0, loss)

    victims = [
        victim("same", "warm", 1, 0.0),
        victim("dear", "warm", 3, 9.0),
        victim("cheap", "warm", 2, 2.0),
        victim("cold", "cold", 3, 0.0),
    ]
    assert [v.task_key for v in select_victims(make_pending_job(rank=1), 1, candidates, victims)] == ["cheap"]
    assert [v.task_key for v in select_victims(make_pending_job(rank=1), 3, candidates, victims)] == [
        "cheap",
        "dear",
        "cold",
    ]
    assert select_victims(make_pending_job(rank=3), 1, candidates, victims) == []
    assert [v.task_key for v in select_victims(make_pending_job(rank=0, cpus=2.0), 1, candidates, victims)] == [
        "same",
        "cheap",
    ]


PREEMPTIBLE = [
    ("lower priority", 3, "a", False, 0, True),
    ("same priority", 2, "b", False, 1, False),
    ("borrowed, same priority, to a guarantee", 2, "b", True, 1, True),
    ("borrowed, but no guarantee left", 2, "b", True, 0, False),
    ("borrowed by the same team", 2, "a", True, 1, False),
    ("higher priority never", 1, "b", True, 1, False),
]


@pytest.mark.parametrize(
    ("rank", "team", "borrowed", "promised", "stops"), [y[1:] for y in PREEMPTIBLE], ids=[y[0] for y in PREEMPTIBLE]
)
def test_what_gives_way(rank, team, borrowed, promised, stops):
    pending_job = make_pending_job(rank=2, steward="a")
    pending_job.guaranteed_tasks = promised
    victims = [Victim(i, MachineId("m"), rank, 1.0, 0.0, 2.0, 1.0, team, borrowed) for i in range(2)]
    chosen = select_victims(pending_job, 2, [make_candidate("m", cpus=0.0)], victims)
    # What is taken by a guarantee is no more than the guarantee.
    assert len(chosen) == (0 if not stops else promised if borrowed else 2)


def test_room_is_made_for_a_whole_gang_or_not_at_all_and_held_from_lower_priority():
    candidates = [make_candidate("x", cpus=1.0), make_candidate("y", cpus=0.0, zone="west")]
    victims = [Victim(i, MachineId(name), 3, 1.0, 0.0, 2.0, float(i)) for i, name in enumerate("xyy")]
    gang = make_pending_job(rank=1, heads=4, breed="group")
    chosen, machines = select_victims_constrained(gang, 4, candidates, victims, WEIGHTS)
    assert sorted(v.task_key for v in chosen) == [0, 1, 2] and machines == {"x", "y"}
    assert select_victims_constrained(
        make_pending_job(rank=1, heads=5, breed="group"), 5, candidates, victims, WEIGHTS
    ) == ([], set())
    assert [o.free_cpus for o in candidates] == [1.0, 0.0]
    reservations = {MachineId("x"): Reservation(gang.job_id, 1)}
    low, high = make_pending_job(id="wk-000007", rank=2, heads=1), make_pending_job(id="wk-000008", rank=0, heads=1)
    assert place(candidates, [low], make_headroom(), WEIGHTS, reservations) == []
    assert [c.job_id for c in place(candidates, [low, high], make_headroom(), WEIGHTS, reservations)] == ["wk-000008"]


def test_nothing_gives_way_in_a_zone_where_a_spread_job_may_not_go():
    """Once a spread service had tasks stopped every 30 ms in a zone that was full for it."""
    candidates = [make_candidate("x", cpus=0.0), make_candidate("y", cpus=0.0, zone="west")]
    east = [Victim("e", MachineId("x"), 3, 1.0, 0.0, 2.0, 0.0)]
    west = [Victim("w", MachineId("y"), 3, 1.0, 0.0, 2.0, 9.0)]
    siblings = {MachineId("z"): ("east", 2)}
    spread = make_pending_job(rank=1, heads=3, count=1, breed="daemon", scatter=True, siblings=siblings)
    assert select_victims_constrained(spread, 1, candidates, east, WEIGHTS) == ([], set())
    assert [v.task_key for v in select_victims_constrained(spread, 1, candidates, east + west, WEIGHTS)[0]] == ["w"]
