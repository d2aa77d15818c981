"""A state service that lost data: noticed, held still for, rebuilt; by tables, and with several nodes in the lab."""

from __future__ import annotations

import gzip
import os

import msgspec
import pytest
from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.cli import main as command
from meadowcross.common.types import FencingToken, NodeName, Revision, compose_token, revision_of, store_epoch_of
from meadowcross.recovery.audit import StoreAuditor
from meadowcross.recovery.merge import RecoverySource, merge
from meadowcross.recovery.store_epochs import EpochState, StoreEpochs
from meadowcross.snapshots import files
from meadowcross.snapshots.restore import restore
from meadowcross.store.client import ConflictError, StoreClient, StoreUnavailableError
from meadowcross.store.messages import Condition, Item, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority
from simulation.scenario import Fault, load
from simulation.world import Lab
from tests.replication.test_replication import follow, write
from tests.simulation.test_scenarios import EXAMPLES

# Tokens


@pytest.mark.parametrize("era", [0, 1, 7, 2**23])
def test_tokens_grow_with_eras_and_within_them(era):
    token = compose_token(era, Revision(412))
    assert (store_epoch_of(token), revision_of(token)) == (era, 412) and token < 2**64
    assert token < compose_token(era, Revision(413)) < compose_token(era + 1, Revision(1))
    assert compose_token(0, Revision(412)) == 412, "a cluster of the version before goes on with its tokens"


# Merging


def items(**marks):
    """Keys written with `_` for `/`; the value tells its version."""
    named = {key.replace("_", "/"): mark for key, mark in marks.items()}
    return {key: Item(key, Raw(b'"%d"' % mark), Revision(mark)) for key, mark in named.items()}


def source(name, revision, era=0, whole=False, **marks):
    return RecoverySource(NodeName(name), era, Revision(revision), whole, items(**marks))


MERGES = [
    # name, sources, left in the store, version of the new era's record, what it should hold, what must be written
    ("all lost, one picture", [source("a", 9, j_x=3, w_m=4)], {}, 1, {"j/x": 3, "w/m": 4}, {"j/x", "w/m"}),
    ("the newer version of two", [source("a", 9, j_x=3), source("b", 7, j_x=2)], {}, 1, {"j/x": 3}, {"j/x"}),
    (
        "who was cut off undoes no drop",
        [source("a", 9, j_x=3), source("b", 5, j_x=3, w_m=4)],
        {},
        1,
        {"j/x": 3},
        {"j/x"},
    ),
    (
        "nor an end",
        [source("a", 9, j_x=3, e_y=8), source("b", 5, j_x=3, j_y=4, **{"t_y_00000": 4})],
        {},
        1,
        {"j/x": 3, "e/y": 8},
        {"j/x", "e/y"},
    ),
    (
        "a job without an end is not over",
        [source("a", 9, j_x=3), source("b", 5, j_y=4)],
        {},
        1,
        {"j/x": 3, "j/y": 4},
        {"j/x", "j/y"},
    ),
    (
        "who is ahead of the base adds",
        [source("a", 9, j_x=3), source("b", 8, j_x=3, j_z=12)],
        {},
        1,
        {"j/x": 3, "j/z": 12},
        {"j/x", "j/z"},
    ),
    (
        "an end is kept whoever knows it",
        [source("a", 9, j_x=3), source("b", 5, e_y=4)],
        {},
        1,
        {"j/x": 3, "e/y": 4},
        {"j/x", "e/y"},
    ),
    (
        "what ended is open no more",
        [source("a", 9, e_x=8), source("b", 5, j_x=3, **{"t_x_00000": 4})],
        {},
        1,
        {"e/x": 8},
        {"e/x"},
    ),
    ("tasks without their job are dropped", [source("a", 9, **{"t_x_00000": 4})], {}, 1, {}, set()),
    (
        "what came back older",
        [source("a", 9, j_x=8, **{"t_x_00000": 9})],
        items(j_x=8, **{"t_x_00000": 5}),
        20,
        {"j/x": 8, "t/x/00000": 9},
        {"t/x/00000"},
    ),
    ("one key gone", [source("a", 9, j_x=8, w_m=2)], items(j_x=8), 20, {"j/x": 8, "w/m": 2}, {"w/m"}),
    (
        "came back though it was dropped",
        [source("a", 9, j_x=8, e_y=9)],
        items(j_x=8, j_y=3, w_m=2),
        20,
        {"j/x": 8, "e/y": 9},
        {"e/y"},
    ),
    (
        "the store is ahead of every picture",
        [source("a", 9, j_x=8)],
        items(j_x=8, j_y=11),
        20,
        {"j/x": 8, "j/y": 11},
        set(),
    ),
    ("written in the new era", [source("a", 9, j_x=8)], items(j_x=25), 20, {"j/x": 25}, set()),
    ("nobody knows anything", [], items(j_x=8), 20, {"j/x": 8}, set()),
    (
        "of an older era only ends count",
        [source("a", 4, era=1, j_x=3), source("b", 90, j_x=80, j_y=81, e_z=82)],
        {},
        1,
        {"j/x": 3, "e/z": 82},
        {"j/x", "e/z"},
    ),
    (
        "a leader's own picture is the base",
        [source("a", 9, j_x=3, w_m=4), source("b", 7, whole=True, j_x=3)],
        {},
        1,
        {"j/x": 3},
        {"j/x"},
    ),
]


@pytest.mark.parametrize(
    ("sources", "left", "era_mark", "holds", "writes"), [m[1:] for m in MERGES], ids=[m[0] for m in MERGES]
)
def test_pictures_are_merged_by_version(sources, left, era_mark, holds, writes):
    left = left or {}
    merged = merge(sources, left.values(), Revision(era_mark))
    assert {key: item.mod_revision for key, item in merged.items.items()} == holds
    assert {item.key for item in merged.missing_under("")} == writes
    assert set(merged.stale_keys()) == {key for key in left if key not in holds}
    again = merge(reversed(sources), left.values(), Revision(era_mark))
    assert again.items == merged.items, "the order in which they come is no matter"


# Noticing


def eras_of(world, rented=0.0):
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    lost = []

    async def oldest():
        return rented

    eras = StoreEpochs(world.clock, store, lost.append, lambda: None, oldest)
    Deferred.fromCoroutine(eras.run())
    world.pass_time(1.0)
    return eras, store, lost


def put(world, store, key, mark=0):
    return world.run(store.transact([Condition(key, Revision(mark))], [Put(key, encode_raw(1))], RequestPriority.USER))


def wipe(world):
    world.state.keys, world.state.revision, world.state.log = {}, 0, []


def go_back(world, revisions):
    """As it was so many revisions ago; every change is of a key of its own here."""
    world.state.revision -= revisions
    world.state.keys = {k: v for k, v in world.state.keys.items() if v["mark"] <= world.state.revision}


HARMS = [
    ("everything is gone", wipe, True),
    ("the last two changes are gone", lambda world: go_back(world, 2), True),
    ("the era's record is gone", lambda world: world.state.keys.pop("era"), True),
    ("nothing", lambda world: None, False),
    ("an outage", lambda world: setattr(world.state, "outage", True), False),
    ("an answer is lost", lambda world: world.net.faults.append(("state:1/multi", "lose")), False),
    ("a transaction is applied late", lambda world: world.net.faults.append(("state:1/multi", "late")), False),
    ("this node is refused", lambda world: world.net.faults.append(("state:1/multi", "refuse")), False),
]


@pytest.mark.parametrize(("harm", "noticed"), [h[1:] for h in HARMS], ids=[h[0] for h in HARMS])
def test_a_loss_is_noticed_by_the_next_request_and_nothing_else_is_taken_for_one(world, harm, noticed):
    eras, store, lost = eras_of(world)
    for number in range(5):
        put(world, store, f"j/{number}")
    harm(world)
    outcome = world.run(
        store.transact([Condition("j/new", Revision(0))], [Put("j/new", encode_raw(1))], RequestPriority.USER), 4.0
    )
    world.pass_time(1.0)
    assert (eras.state is EpochState.LOST) is noticed and bool(lost) is noticed
    if noticed:
        assert eras.unavailable_reason() is not None
        refused = world.run(store.find_changed_keys([Condition("j/0", Revision(9))]))
        assert refused.check(StoreUnavailableError)
        # Also what was written before it was noticed was refused, where the era's record was gone.
        assert outcome.check(StoreUnavailableError) if "era" not in world.state.keys else True


def test_answers_that_overtake_each_other_are_no_loss(world):
    _, store, lost = eras_of(world)
    then = store._request_baseline()
    put(world, store, "j/a")
    store._record_revision(then, Revision(world.state.revision - 1))
    assert lost == []
    store._record_revision(store._request_baseline(), Revision(world.state.revision - 1))
    assert len(lost) == 1


@pytest.mark.parametrize(("rented", "noticed"), [(0.0, False), (3.0, False), (300.0, True)])
def test_an_empty_store_with_old_machines_is_no_new_cluster(world, rented, noticed):
    eras, _, lost = eras_of(world, rented)
    assert bool(lost) is noticed and eras.is_loss_older is noticed and not eras.is_new_cluster


@pytest.mark.parametrize("loss", [False, True])
def test_a_node_is_ready_only_when_it_serves_and_a_loss_noticed_meanwhile_stays_noticed(world, loss):
    first, _, _ = eras_of(world)
    second, store, lost = eras_of(world)
    assert first.state is second.state is EpochState.INTACT
    second.record = second.record if loss else None
    get = store.get

    async def slow(key, urgency):
        item = await get(key, urgency)
        if key == "rebuild":
            assert second.record is not None or second.unavailable_reason() is not None
            if loss:
                second.report_loss("for the test")
        return item

    store.get, second.state = slow, EpochState.RECOVERING if loss else EpochState.UNKNOWN
    world.run(second.refresh())
    assert second.record is not None and bool(lost) is loss
    assert second.state is (EpochState.LOST if loss else EpochState.INTACT)


def test_an_earlier_versions_store_is_taken_over_without_a_pause(world):
    world.state.transact({"if": [], "writes": [{"write": "j/old", "data": 1}]})
    eras, _, lost = eras_of(world, 300.0)
    assert eras.state is EpochState.INTACT and not lost and eras.token_for_key(Revision(7)) == 7
    eras.observe_token(FencingToken(9))
    assert eras.token_for_key(Revision(8)) is None and eras.token_for_key(Revision(10)) == 10


AUDITS = [
    # name, what happens between the question that differs and the look at the key, or after that, what is said
    ("written between the question and the feed", lambda w: None, lambda w: write(w, "t/a/00000"), None),
    ("dropped meanwhile", lambda w: w.state.transact({"if": [], "writes": [{"drop": "t/a/00000"}]}), None, None),
    ("gone without a word", lambda w: w.state.keys.pop("t/a/00000"), None, "is gone"),
    ("an older version", lambda w: w.state.keys["t/a/00000"].update(mark=1), None, "went back"),
]


@pytest.mark.parametrize(("harm", "then", "said"), [a[1:] for a in AUDITS], ids=[a[0] for a in AUDITS])
def test_an_audit_tells_a_loss_from_a_change(world, harm, then, said):
    eras, store, lost = eras_of(world)
    write(world, "t/a/00000")
    follower = follow(world)
    audit = StoreAuditor(world.clock, store, eras, follower, lambda: True)
    harm(world)
    get = store.get

    async def slow(key, urgency):
        item = await get(key, urgency)
        if then is not None:
            then(world)
        return item

    store.get = slow
    world.run(audit.check_key("t/a/00000"))
    store.get = get
    assert (said in lost[0]) if said else lost == []


# Snapshots


def written(directory, *states):
    """Snapshots of states that follow each other: a full one, then changes."""
    last: dict[str, int] = {}
    before = 0
    for revision, state in states:
        header = files.SnapshotHeader(0, Revision(revision), Revision(before), NodeName("n0"), 100.0)
        lines = [files.SnapshotEntry(k, Revision(m), Raw(b"%d" % m)) for k, m in state.items() if last.get(k) != m]
        lines += [files.SnapshotEntry(k, Revision(revision), is_dropped=True) for k in last if k not in state]
        files.write_snapshot(str(directory), header, lines, 10**6)
        last, before = dict(state), revision
    return str(directory)


def spoil(path, act):
    with open(path, "rb") as file:
        content = file.read()
    with open(path, "wb") as file:
        file.write(act(content))


FIRST, SECOND, THIRD = {"j/x": 3, "w/m": 4}, {"j/x": 3, "e/y": 8}, {"j/x": 9, "e/y": 8}
CHANGES = "000000-000000000008-changes-000000000005"
LAST = "000000-000000000009-changes-000000000008"
FULL = "000000-000000000005-full"


def manifest_of(change):
    return lambda content: msgspec.json.encode(msgspec.json.decode(content) | change)


SPOILED = [
    # name, file, what is done to it, what holds then, what is said
    ("none", None, None, THIRD, None),
    ("torn", LAST + files.DATA_SUFFIX, lambda c: c[:-9], SECOND, "torn"),
    ("a bit turned", LAST + files.DATA_SUFFIX, lambda c: c[:-9] + bytes([c[-9] ^ 1]) + c[-8:], SECOND, "checksum"),
    ("in the middle of the chain", CHANGES + files.DATA_SUFFIX, lambda c: c[:-1], FIRST, "torn"),
    (
        "its manifest is broken",
        CHANGES + files.MANIFEST_SUFFIX,
        lambda c: c[: len(c) // 2],
        FIRST,
        "manifest is broken",
    ),
    ("foreign", LAST + files.MANIFEST_SUFFIX, manifest_of({"kind": "photo album"}), SECOND, "foreign"),
    ("of a newer format", LAST + files.MANIFEST_SUFFIX, manifest_of({"format": 9}), SECOND, "newer format"),
    ("another's manifest", LAST + files.MANIFEST_SUFFIX, manifest_of({"revision": 77}), SECOND, "another's"),
    ("the full one is broken", FULL + files.DATA_SUFFIX, lambda c: gzip.compress(b"{}"), None, "torn"),
]


@pytest.mark.parametrize(("file", "act", "holds", "said"), [s[1:] for s in SPOILED], ids=[s[0] for s in SPOILED])
def test_what_is_wrong_with_a_snapshot_is_named_and_the_one_before_taken(tmp_path, capsys, file, act, holds, said):
    directory = written(tmp_path, (5, FIRST), (8, SECOND), (9, THIRD))
    if file is not None:
        spoil(os.path.join(directory, file), act)
    read = files.read_newest(directory)
    found = {key: item.mod_revision for key, item in read.source.items.items()} if read.source is not None else None
    assert found == holds
    assert any(said in text for text in read.rejections) if said else read.rejections == []
    status = command(["snapshot", "verify", "--directory", directory])
    out = capsys.readouterr()
    assert status == (2 if said else 0) and (said or "good up to revision 9") in out.err + out.out
    assert command(["snapshot", "list", "--directory", directory]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 3


def test_a_restore_begins_an_era_writes_what_is_missing_and_refuses_where_somebody_leads(world, tmp_path, capsys):
    there = files.read_newest(written(tmp_path, (5, FIRST), (8, SECOND), (9, THIRD))).source
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    world.run(restore(store, there))
    assert set(world.state.keys) == {"era", "rebuild", *THIRD} and "2 keys" in capsys.readouterr().out
    world.run(restore(store, there))
    assert "era 2: 2 keys" in capsys.readouterr().out
    eras, _, lost = eras_of(world)
    assert eras.state is EpochState.RECOVERING and not lost and store_epoch_of(eras.token_for_key(Revision(9))) == 2
    write(world, "lead")
    assert world.run(restore(store, there)).check(ConflictError)


def test_old_chains_go_and_the_newest_that_holds_stays(tmp_path):
    for first in (10, 20, 30, 40):
        written(tmp_path, (first, FIRST), (first + 1, SECOND))
    assert files.remove_old_snapshots(str(tmp_path), 2, 0.0) == 4
    assert sorted(one.manifest.revision for one in files.list_snapshots(str(tmp_path))) == [30, 31, 40, 41]
    assert files.remove_old_snapshots(str(tmp_path), 9, 1e9) == 2
    assert [one.manifest.revision for one in files.list_snapshots(str(tmp_path))] == [41, 40]


def test_a_full_disk_or_too_large_a_snapshot_leaves_nothing_half_written(tmp_path, monkeypatch):
    header = files.SnapshotHeader(0, Revision(5), Revision(0), NodeName("n0"), 1.0)
    lines = [files.SnapshotEntry("j/x", Revision(3), Raw(b"1"))]
    with pytest.raises(OSError, match="at most 10"):
        files.write_snapshot(str(tmp_path), header, lines, 10)

    def full(file):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        files.write_snapshot(str(tmp_path), header, lines, 10**6)
    assert os.listdir(tmp_path) == []


# Several nodes, machines, users


def lab(faults, seed=1, **operator):
    scenario = load(str(EXAMPLES[0].parent / "loss.toml"))
    scenario.duration_s = 80.0
    scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
    scenario.operator = operator
    return Lab(scenario, seed)


ALL = {"kind": "store_loss", "at_s": 30.1, "what": "all"}
BACK = {"kind": "store_loss", "at_s": 30.1, "what": "back", "for_s": 12.0}
KILL = {"kind": "node_kill", "node": "leader", "at_s": 30.0}
LOSSES = [
    # name, troubles, by when tasks are placed again
    ("all is gone", [ALL], 1.0),
    ("the last 12 s are gone", [BACK], 1.0),
    ("placements are gone", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "t/"}], 1.0),
    ("open jobs are gone", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "j/"}], 2.0),
    ("ended jobs are gone", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "e/"}], 20.0),
    ("three keys are gone", [{"kind": "store_loss", "at_s": 30.1, "what": "keys", "count": 3}], 20.0),
    ("the era's record is gone", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "era"}], 2.0),
    ("all is gone, with the leader", [KILL, ALL], 12.0),
    ("in an outage", [{"kind": "store_outage", "at_s": 20.0, "for_s": 12.0}, ALL], 4.0),
    ("again during the rebuild", [ALL, ALL | {"at_s": 30.25}], 12.0),
    ("the rebuilding node is killed, twice", [ALL, KILL | {"at_s": 30.2}, KILL | {"at_s": 32.6}], 15.0),
    ("and machines die", [KILL, ALL, {"kind": "machine_die", "at_s": 30.5, "count": 5}], 15.0),
    (
        "a stale node comes back",
        [{"kind": "node_cut", "node": "n1", "apart": "all", "at_s": 15.0, "for_s": 20.0}, KILL, BACK],
        15.0,
    ),
]


@pytest.mark.parametrize(("faults", "within"), [x[1:] for x in LOSSES], ids=[x[0] for x in LOSSES])
def test_a_loss_costs_no_task_and_no_job(faults, within):
    world = lab(faults)
    result = world.play()
    assert result["broken"] == []
    assert all(share >= 0.9 for share in result["served"].values())
    placed = [t["dead_s"] + t["first_placement_s"] for t in result["takeovers"] if t["first_placement_s"] is not None]
    assert any(30.1 < at < 30.1 + within for at in placed)
    if not any(fault["kind"] == "machine_die" for fault in faults):
        assert result["lost"] == 0
    assert {node.store_epochs.state for node in world.nodes.values()} <= {EpochState.INTACT, EpochState.RECOVERING}


def test_the_rebuild_is_gone_on_with_after_each_stored_step():
    for step in range(1, 6):
        world = lab([ALL])
        world.simulation.run(30.12)
        kill = {"kind": "kill_after_write", "at_s": 30.13, "count": step}
        world.simulation.at(30.13, lambda kill=kill, world=world: world.strike(msgspec.convert(kill, Fault)))
        result = world.play()
        assert result["broken"] == [] and result["lost"] == 0, step


def test_with_reports_alone_nothing_that_runs_is_killed_or_started_twice():
    """All nodes end with the data, and nobody kept a snapshot: jobs that no machine runs are lost, and only those."""
    world = lab([ALL, {"kind": "node_kill", "node": "all", "at_s": 30.0}])
    result = world.play()
    assert {one["rule"] for one in result["broken"]} <= {"forgotten", "went_back"}
    assert result["lost"] == 0


@pytest.mark.parametrize("wait", [0.0, 10.0])
def test_a_job_that_only_machines_know_stays_known_however_long_lost_jobs_are_waited_for(wait):
    """Its tasks prove that it was submitted. Its user once got 503, for ever with 0, or 404 once time was up."""
    world = lab([ALL, {"kind": "node_kill", "node": "all", "at_s": 30.0}], lost_wait_s=wait)
    world.scenario.duration_s = 150.0
    world.simulation.run(30.0)
    ran = {job for job, tasks in world.judge._of_job.items() if tasks and world.judge.jobs[job].told != "done"}
    assert len(ran) >= 3
    asked = []
    unknown = world.judge.unknown
    world.judge.unknown = lambda job, status: (asked.append(status), unknown(job, status))
    result = world.play()
    assert result["lost"] == 0 and not any(one["rule"] in ("ran_twice", "invented") for one in result["broken"])
    assert not [one for one in result["broken"] for job in ran if job in one["what"]]
    # Nobody submitted these: while lost jobs are waited for that can't be known, then it is said.
    assert (asked[-1] == 404) is (wait > 0)


def test_a_snapshot_brings_back_what_no_node_knows_any_more(tmp_path):
    world = lab(
        [ALL | {"at_s": 31.0}, {"kind": "node_kill", "node": "all", "at_s": 31.0}],
        snapshot_directory=str(tmp_path),
        snapshot_every_s=5.0,
    )
    world.simulation.run(30.9)
    assert files.read_newest(str(tmp_path)).source is not None
    result = world.play()
    assert result["lost"] == 0 and not any(one["rule"] == "ran_twice" for one in result["broken"])
    # What was accepted after the last snapshot only its user knows.
    later = {f"wk-{number:06d}" for number in range(24, 34)}
    assert all(any(job in one["what"] for job in later) for one in result["broken"] if one["rule"] == "forgotten")
    assert result["served"]["web"] == 1.0 and result["served"]["train"] == 1.0


def test_false_alarms_stop_nothing():
    """Slow, late, refused, away, cut off: none of it is a loss."""
    world = lab(
        [
            {"kind": "store_slow", "at_s": 15.0, "for_s": 8.0, "factor": 40.0},
            {"kind": "store_late", "at_s": 25.0, "for_s": 6.0, "count": 2},
            {"kind": "store_refuses", "at_s": 34.0, "for_s": 6.0, "node": "leader"},
            {"kind": "store_outage", "at_s": 45.0, "for_s": 6.0},
            {"kind": "node_cut", "at_s": 55.0, "for_s": 8.0, "node": "follower", "apart": "store"},
            KILL | {"at_s": 65.0},
        ]
    )
    result = world.play()
    assert result["broken"] == [] and {node.store_epochs.record.number for node in world.nodes.values()} == {0}
