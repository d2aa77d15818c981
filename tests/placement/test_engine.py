"""Placement: filter, score, queue order, topology constraints, quotas, victims and the descheduler."""

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


def make_candidate(name, cpus=4.0, memory_gb=16.0, zone="east", spot=True, kind="small", images=(), gpus=0.0):
    return Candidate(MachineId(name), MachineKind(kind, zone, spot), cpus, gpus, memory_gb, set(images))


def make_pending_job(count=None, rank=1, slack_s=0.0, siblings=None, **changes):
    spec = msgspec.convert(job(**changes), JobSpec)
    count = spec.tasks if count is None else count
    return PendingJob(JobId(spec.id), spec, count, rank, slack_s, siblings=siblings or {})


def make_headroom(**limits):
    return {team: QuotaHeadroom(limits.get(team, 1e15), 1e15) for team in ("a", "b")}


def test_score_is_weighted_sum_of_resource_and_network_terms():
    spec = make_pending_job().spec
    assert resource_term(spec, 4.0, 16.0, WEIGHTS) == pytest.approx(0.5 * 75 + 0.5 * 87.5)
    siblings = {MachineId("x"): ("east", 2), MachineId("y"): ("east", 1), MachineId("z"): ("west", 1)}
    assert network_term(MachineId("x"), "east", siblings, WEIGHTS) == -(2 * 0 + 1 * 1 + 1 * 4)
    gang = make_pending_job(breed="group").spec
    expected = 0.5 * 81.25 + 0.5 * -5
    assert score(gang, make_candidate("x"), siblings, WEIGHTS) == pytest.approx(expected)
    assert score(spec, make_candidate("x"), siblings, WEIGHTS) == pytest.approx(0.5 * 81.25)


FILTER_CASES = [
    ("spot machine, job excludes spot", make_candidate("m"), {"stubble": False}, 0),
    ("on-demand machine, job excludes spot", make_candidate("m", spot=False), {"stubble": False}, 2),
    ("wrong zone", make_candidate("m"), {"field": "west"}, 0),
    ("wrong type", make_candidate("m"), {"builds": ["large"]}, 0),
    ("memory for one task only", make_candidate("m", memory_gb=3.0), {}, 1),
    ("machine without gpu", make_candidate("m"), {"gpus": 1.0}, 0),
]


@pytest.mark.parametrize(
    ("machine", "changes", "placed_count"), [case[1:] for case in FILTER_CASES], ids=[case[0] for case in FILTER_CASES]
)
def test_place_filters_machines_by_job_requirements(machine, changes, placed_count):
    decisions = place([machine], [make_pending_job(**changes)], make_headroom(), WEIGHTS)
    assert sum(len(decision.machines) for decision in decisions) == placed_count


def test_tasks_go_to_cached_image_first_then_to_highest_score():
    candidates = [
        make_candidate("big", cpus=16.0, memory_gb=64.0),
        make_candidate("cold"),
        make_candidate("warm", images=["img"]),
    ]
    decisions = place(candidates, [make_pending_job(heads=6)], make_headroom(), WEIGHTS)
    assert Counter(decisions[0].machines) == {"warm": 4, "big": 2}


def test_queue_is_sorted_by_priority_then_slack():
    pending_jobs = [
        make_pending_job(id="wk-000001", heads=1, rank=2, slack_s=-50.0),
        make_pending_job(id="wk-000002", heads=1, rank=1, slack_s=40.0),
        make_pending_job(id="wk-000003", heads=1, rank=1, slack_s=10.0),
    ]
    decisions = place([make_candidate("m", cpus=2.0)], pending_jobs, make_headroom(), WEIGHTS)
    assert [decision.job_id for decision in decisions] == ["wk-000003", "wk-000002"]


def test_team_quota_limits_placed_tasks():
    decisions = place(
        [make_candidate("m", cpus=16.0, memory_gb=64.0)],
        [make_pending_job(steward="a", heads=9)],
        make_headroom(a=3.5),
        WEIGHTS,
    )
    assert len(decisions[0].machines) == 3


GANG_CASES = [
    # name, tasks, changes of the job, placed tasks
    ("fits", 4, {}, 4),
    ("more tasks than fit", 9, {}, 0),
    ("more tasks than the quota allows", 4, {"steward": "a"}, 0),
    ("one zone, fits in one zone", 4, {"oneZone": True}, 4),
    ("one zone, fits only across zones", 6, {"oneZone": True}, 0),
    ("spread, at most half per zone, rounded up", 5, {"scatter": True}, 5),
]


@pytest.mark.parametrize(
    ("heads", "changes", "placed_count"), [case[1:] for case in GANG_CASES], ids=[case[0] for case in GANG_CASES]
)
def test_gang_is_placed_whole_under_its_constraints(heads, changes, placed_count):
    candidates = [make_candidate("e"), make_candidate("w", zone="west")]
    decisions = place(
        candidates, [make_pending_job(heads=heads, breed="group", **changes)], make_headroom(a=3.0), WEIGHTS
    )
    machines = [machine for decision in decisions for machine in decision.machines]
    assert len(machines) == placed_count
    if changes.get("oneZone") and placed_count:
        assert len(set(machines)) == 1
    if changes.get("scatter"):
        assert max(Counter(machines).values()) == 3
    # Candidates keep the resources of tasks that were not placed.
    assert sum(candidate.free_cpus for candidate in candidates) == 8 - placed_count


FETCH_CASES = [
    # name, kind, fetch time (s), cached and fetching images of three equal machines, machines of the two tasks
    ("fast fetch: score only", "batch", 1.0, [set(), set(), set()], [set(), {"img"}, {"other"}], ["a", "b"]),
    ("cached image first", "daemon", 30.0, [set(), set(), {"img"}], [set(), set(), set()], ["c", "c"]),
    (
        "replica avoids machines that fetch",
        "daemon",
        30.0,
        [set(), set(), set()],
        [{"other"}, {"img"}, set()],
        ["c", "b"],
    ),
    ("array joins a fetch of its image", "batch", 30.0, [set(), set(), set()], [{"other"}, {"img"}, set()], ["b", "b"]),
    (
        "array begins one fetch for all tasks",
        "batch",
        30.0,
        [set(), set(), set()],
        [{"other"}, set(), {"x"}],
        ["b", "b"],
    ),
    ("gang prefers cached image", "group", 30.0, [{"img"}, {"img"}, set()], [{"x"}, set(), set()], ["a", "b"]),
]


@pytest.mark.parametrize(
    ("kind", "fetch_s", "cached", "fetching", "expected_machines"),
    [case[1:] for case in FETCH_CASES],
    ids=[case[0] for case in FETCH_CASES],
)
def test_machine_is_chosen_by_cached_images_and_running_fetches(kind, fetch_s, cached, fetching, expected_machines):
    """Guards against two image fetches on one machine, which share its rate.

    A service's replica started late because an array of low priority was fetching its image on the same machine.
    """
    candidates = [make_candidate(name, images=cached[n]) for n, name in enumerate("abc")]
    for candidate, fetching_images in zip(candidates, fetching, strict=True):
        candidate.fetching_images = set(fetching_images)
    # All machines have the same score, so their names decide.
    pending_job = make_pending_job(heads=2, breed=kind, cpus=1.0, memoryGb=4.0)
    pending_job.image_fetch_s = fetch_s
    (decision,) = place(candidates, [pending_job], make_headroom(), WEIGHTS)
    assert decision.machines == [MachineId(name) for name in expected_machines]


def test_siblings_count_for_zone_constraints_until_proven_gone():
    unproven_siblings = {MachineId("gone?"): ("west", 1)}
    candidates = [make_candidate("e", cpus=16.0, memory_gb=64.0)]
    assert (
        place(
            candidates,
            [make_pending_job(heads=2, count=1, oneZone=True, siblings=unproven_siblings)],
            make_headroom(),
            WEIGHTS,
        )
        == []
    )
    spread_siblings = {MachineId("x"): ("east", 2)}
    assert (
        place(
            candidates,
            [make_pending_job(heads=3, count=1, scatter=True, siblings=spread_siblings)],
            make_headroom(),
            WEIGHTS,
        )
        == []
    )


MOVE_CASES = [
    # name, share of CPUs in use, age (s), CPUs and GB free on another machine, moved replicas
    ("old replica, crowded machine, better machine exists", 0.9, 700.0, 16.0, 1),
    ("usage not above threshold", 0.85, 700.0, 16.0, 0),
    ("replica too young", 0.9, 600.0, 16.0, 0),
    ("no better machine", 0.9, 700.0, 1.2, 0),
]


@pytest.mark.parametrize(
    ("cpu_share", "age_s", "free_capacity", "moved_count"),
    [case[1:] for case in MOVE_CASES],
    ids=[case[0] for case in MOVE_CASES],
)
def test_descheduler_moves_at_most_one_replica_of_a_service(cpu_share, age_s, free_capacity, moved_count):
    service = make_pending_job(breed="daemon", heads=2, memoryGb=1.0)
    replicas = [ServiceReplica(i, service, MachineId("full"), age_s) for i in range(2)]
    candidates = [
        make_candidate("full", cpus=0.4, memory_gb=1.0),
        make_candidate("other", cpus=free_capacity, memory_gb=free_capacity),
    ]
    assert len(select_replicas_to_move(candidates, replicas, {MachineId("full"): cpu_share}, WEIGHTS)) == moved_count
    assert candidates[0].free_cpus == pytest.approx(0.4)


def test_victims_have_lower_priority_then_cached_image_then_least_loss():
    candidates = [make_candidate("warm", cpus=0.0, images=["img"]), make_candidate("cold", cpus=0.0)]

    def make_victim(key, machine, rank, lost_cpu_s):
        return Victim(key, MachineId(machine), rank, 1.0, 0.0, 2.0, lost_cpu_s)

    victims = [
        make_victim("same", "warm", 1, 0.0),
        make_victim("dear", "warm", 3, 9.0),
        make_victim("cheap", "warm", 2, 2.0),
        make_victim("cold", "cold", 3, 0.0),
    ]
    assert [victim.task_key for victim in select_victims(make_pending_job(rank=1), 1, candidates, victims)] == ["cheap"]
    assert [victim.task_key for victim in select_victims(make_pending_job(rank=1), 3, candidates, victims)] == [
        "cheap",
        "dear",
        "cold",
    ]
    assert select_victims(make_pending_job(rank=3), 1, candidates, victims) == []
    assert [
        victim.task_key for victim in select_victims(make_pending_job(rank=0, cpus=2.0), 1, candidates, victims)
    ] == ["same", "cheap"]


PREEMPTIBLE_CASES = [
    # name, rank and team of the victims, is_borrowed, tasks within the guarantee, is_preemptible
    ("lower priority", 3, "a", False, 0, True),
    ("same priority, not borrowed", 2, "b", False, 1, False),
    ("borrowed, same priority, job within its guarantee", 2, "b", True, 1, True),
    ("borrowed, same priority, no guarantee left", 2, "b", True, 0, False),
    ("borrowed by the same team", 2, "a", True, 1, False),
    ("higher priority", 1, "b", True, 1, False),
]


@pytest.mark.parametrize(
    ("rank", "team", "is_borrowed", "guaranteed_tasks", "is_preemptible"),
    [case[1:] for case in PREEMPTIBLE_CASES],
    ids=[case[0] for case in PREEMPTIBLE_CASES],
)
def test_victims_are_selected_only_from_preemptible_tasks(rank, team, is_borrowed, guaranteed_tasks, is_preemptible):
    pending_job = make_pending_job(rank=2, steward="a")
    pending_job.guaranteed_tasks = guaranteed_tasks
    victims = [Victim(i, MachineId("m"), rank, 1.0, 0.0, 2.0, 1.0, team, is_borrowed) for i in range(2)]
    selected = select_victims(pending_job, 2, [make_candidate("m", cpus=0.0)], victims)
    # Borrowed tasks are stopped for no more tasks than the guarantee covers.
    assert len(selected) == (0 if not is_preemptible else guaranteed_tasks if is_borrowed else 2)


def test_gang_preempts_for_all_tasks_or_none_and_its_reservation_excludes_lower_priority():
    candidates = [make_candidate("x", cpus=1.0), make_candidate("y", cpus=0.0, zone="west")]
    victims = [Victim(i, MachineId(name), 3, 1.0, 0.0, 2.0, float(i)) for i, name in enumerate("xyy")]
    gang = make_pending_job(rank=1, heads=4, breed="group")
    selected, machines = select_victims_constrained(gang, 4, candidates, victims, WEIGHTS)
    assert sorted(victim.task_key for victim in selected) == [0, 1, 2] and machines == {"x", "y"}
    assert select_victims_constrained(
        make_pending_job(rank=1, heads=5, breed="group"), 5, candidates, victims, WEIGHTS
    ) == ([], set())
    assert [candidate.free_cpus for candidate in candidates] == [1.0, 0.0]
    reservations = {MachineId("x"): Reservation(gang.job_id, 1)}
    low, high = make_pending_job(id="wk-000007", rank=2, heads=1), make_pending_job(id="wk-000008", rank=0, heads=1)
    assert place(candidates, [low], make_headroom(), WEIGHTS, reservations) == []
    assert [decision.job_id for decision in place(candidates, [low, high], make_headroom(), WEIGHTS, reservations)] == [
        "wk-000008"
    ]


def test_spread_job_preempts_only_in_zones_that_it_may_use():
    """Guards against preemption in a zone that already has the allowed half of a spread job's tasks.

    A spread service had tasks stopped there every 30 ms without being placed.
    """
    candidates = [make_candidate("x", cpus=0.0), make_candidate("y", cpus=0.0, zone="west")]
    east = [Victim("e", MachineId("x"), 3, 1.0, 0.0, 2.0, 0.0)]
    west = [Victim("w", MachineId("y"), 3, 1.0, 0.0, 2.0, 9.0)]
    siblings = {MachineId("z"): ("east", 2)}
    spread_job = make_pending_job(rank=1, heads=3, count=1, breed="daemon", scatter=True, siblings=siblings)
    assert select_victims_constrained(spread_job, 1, candidates, east, WEIGHTS) == ([], set())
    assert [
        victim.task_key for victim in select_victims_constrained(spread_job, 1, candidates, east + west, WEIGHTS)[0]
    ] == ["w"]
