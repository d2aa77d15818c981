"""Recovery from a data loss of the state service: detection, merge, snapshots, and whole simulated clusters."""

from __future__ import annotations

import gzip
import os

import msgspec
import pytest
from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.cli import main as run_command
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
from tests.replication.test_replication import start_follower, write_key
from tests.simulation.test_scenarios import EXAMPLES

# Tokens


@pytest.mark.parametrize("epoch", [0, 1, 7, 2**23])
def test_tokens_increase_within_an_epoch_and_across_epochs(epoch):
    token = compose_token(epoch, Revision(412))
    assert (store_epoch_of(token), revision_of(token)) == (epoch, 412) and token < 2**64
    assert token < compose_token(epoch, Revision(413)) < compose_token(epoch + 1, Revision(1))
    assert compose_token(0, Revision(412)) == 412, "tokens of a version without epochs must stay valid"


# Merge of recovery sources


def items(**revisions):
    """Items by key, with `_` in place of `/` in the keyword. The value is the revision."""
    revision_by_key = {key.replace("_", "/"): revision for key, revision in revisions.items()}
    return {key: Item(key, Raw(b'"%d"' % revision), Revision(revision)) for key, revision in revision_by_key.items()}


def source(name, revision, epoch=0, is_complete=False, **revisions):
    return RecoverySource(NodeName(name), epoch, Revision(revision), is_complete, items(**revisions))


MERGES = [
    # name, sources, items left in the store, revision of the new epoch's record, expected items, keys to write back
    ("all lost, one source", [source("a", 9, j_x=3, w_m=4)], {}, 1, {"j/x": 3, "w/m": 4}, {"j/x", "w/m"}),
    ("newer of two revisions", [source("a", 9, j_x=3), source("b", 7, j_x=2)], {}, 1, {"j/x": 3}, {"j/x"}),
    (
        "outdated source does not undo a deletion",
        [source("a", 9, j_x=3), source("b", 5, j_x=3, w_m=4)],
        {},
        1,
        {"j/x": 3},
        {"j/x"},
    ),
    (
        "outdated source does not undo the end of a job",
        [source("a", 9, j_x=3, e_y=8), source("b", 5, j_x=3, j_y=4, **{"t_y_00000": 4})],
        {},
        1,
        {"j/x": 3, "e/y": 8},
        {"j/x", "e/y"},
    ),
    (
        "job without an end record stays open",
        [source("a", 9, j_x=3), source("b", 5, j_y=4)],
        {},
        1,
        {"j/x": 3, "j/y": 4},
        {"j/x", "j/y"},
    ),
    (
        "source adds an item newer than the base",
        [source("a", 9, j_x=3), source("b", 8, j_x=3, j_z=12)],
        {},
        1,
        {"j/x": 3, "j/z": 12},
        {"j/x", "j/z"},
    ),
    (
        "end record of an outdated source is kept",
        [source("a", 9, j_x=3), source("b", 5, e_y=4)],
        {},
        1,
        {"j/x": 3, "e/y": 4},
        {"j/x", "e/y"},
    ),
    (
        "ended job is no longer open",
        [source("a", 9, e_x=8), source("b", 5, j_x=3, **{"t_x_00000": 4})],
        {},
        1,
        {"e/x": 8},
        {"e/x"},
    ),
    ("tasks without their job are deleted", [source("a", 9, **{"t_x_00000": 4})], {}, 1, {}, set()),
    (
        "store holds an older revision",
        [source("a", 9, j_x=8, **{"t_x_00000": 9})],
        items(j_x=8, **{"t_x_00000": 5}),
        20,
        {"j/x": 8, "t/x/00000": 9},
        {"t/x/00000"},
    ),
    ("one key missing", [source("a", 9, j_x=8, w_m=2)], items(j_x=8), 20, {"j/x": 8, "w/m": 2}, {"w/m"}),
    (
        "store holds deleted keys again",
        [source("a", 9, j_x=8, e_y=9)],
        items(j_x=8, j_y=3, w_m=2),
        20,
        {"j/x": 8, "e/y": 9},
        {"e/y"},
    ),
    (
        "store is ahead of every source",
        [source("a", 9, j_x=8)],
        items(j_x=8, j_y=11),
        20,
        {"j/x": 8, "j/y": 11},
        set(),
    ),
    ("written in the new epoch", [source("a", 9, j_x=8)], items(j_x=25), 20, {"j/x": 25}, set()),
    ("no source", [], items(j_x=8), 20, {"j/x": 8}, set()),
    (
        "only end records of an older epoch are used",
        [source("a", 4, epoch=1, j_x=3), source("b", 90, j_x=80, j_y=81, e_z=82)],
        {},
        1,
        {"j/x": 3, "e/z": 82},
        {"j/x", "e/z"},
    ),
    (
        "leader's own replica is the base",
        [source("a", 9, j_x=3, w_m=4), source("b", 7, is_complete=True, j_x=3)],
        {},
        1,
        {"j/x": 3},
        {"j/x"},
    ),
]


@pytest.mark.parametrize(
    ("sources", "stored_items", "epoch_revision", "expected_revisions", "missing_keys"),
    [case[1:] for case in MERGES],
    ids=[case[0] for case in MERGES],
)
def test_merge_keeps_the_newest_revision_of_each_item(
    sources, stored_items, epoch_revision, expected_revisions, missing_keys
):
    stored_items = stored_items or {}
    merged = merge(sources, stored_items.values(), Revision(epoch_revision))
    assert {key: item.mod_revision for key, item in merged.items.items()} == expected_revisions
    assert {item.key for item in merged.missing_under("")} == missing_keys
    assert set(merged.stale_keys()) == {key for key in stored_items if key not in expected_revisions}
    merged_in_reverse = merge(reversed(sources), stored_items.values(), Revision(epoch_revision))
    assert merged_in_reverse.items == merged.items, "the order of the sources must not matter"


# Detection of a data loss


def make_store_epochs(world, machine_age_s=0.0):
    """Store epochs after their first read, their store client, and the list of reported losses."""
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    losses = []

    async def oldest_machine_age_s():
        return machine_age_s

    epochs = StoreEpochs(world.clock, store, losses.append, lambda: None, oldest_machine_age_s)
    Deferred.fromCoroutine(epochs.run())
    world.pass_time(1.0)
    return epochs, store, losses


def put(world, store, key, revision=0):
    return world.run(
        store.transact([Condition(key, Revision(revision))], [Put(key, encode_raw(1))], RequestPriority.USER)
    )


def wipe(world):
    world.state.keys, world.state.revision, world.state.log = {}, 0, []


def go_back(world, revisions):
    """Reset the store to its state of `revisions` changes ago. Each change must have been to a different key."""
    world.state.revision -= revisions
    world.state.keys = {k: v for k, v in world.state.keys.items() if v["mark"] <= world.state.revision}


STORE_FAULTS = [
    # name, injection of the fault, whether data is lost
    ("all keys lost", wipe, True),
    ("last two changes lost", lambda world: go_back(world, 2), True),
    ("epoch record lost", lambda world: world.state.keys.pop("era"), True),
    ("no fault", lambda world: None, False),
    ("outage", lambda world: setattr(world.state, "outage", True), False),
    ("response lost", lambda world: world.net.faults.append(("state:1/multi", "lose")), False),
    ("transaction applied late", lambda world: world.net.faults.append(("state:1/multi", "late")), False),
    ("connection refused", lambda world: world.net.faults.append(("state:1/multi", "refuse")), False),
]


@pytest.mark.parametrize(
    ("inject_fault", "is_loss"), [case[1:] for case in STORE_FAULTS], ids=[case[0] for case in STORE_FAULTS]
)
def test_the_next_request_detects_a_data_loss_and_no_other_fault(world, inject_fault, is_loss):
    epochs, store, losses = make_store_epochs(world)
    for number in range(5):
        put(world, store, f"j/{number}")
    inject_fault(world)
    write_outcome = world.run(
        store.transact([Condition("j/new", Revision(0))], [Put("j/new", encode_raw(1))], RequestPriority.USER), 4.0
    )
    world.pass_time(1.0)
    assert (epochs.state is EpochState.LOST) is is_loss and bool(losses) is is_loss
    if is_loss:
        assert epochs.unavailable_reason() is not None
        comparison_outcome = world.run(store.find_changed_keys([Condition("j/0", Revision(9))]))
        assert comparison_outcome.check(StoreUnavailableError)
        # Without the epoch record even the write that detected the loss fails.
        assert write_outcome.check(StoreUnavailableError) if "era" not in world.state.keys else True


def test_responses_out_of_order_are_no_data_loss(world):
    _, store, losses = make_store_epochs(world)
    earlier_baseline = store._request_baseline()
    put(world, store, "j/a")
    store._record_revision(earlier_baseline, Revision(world.state.revision - 1))
    assert losses == []
    store._record_revision(store._request_baseline(), Revision(world.state.revision - 1))
    assert len(losses) == 1


@pytest.mark.parametrize(("machine_age_s", "is_loss"), [(0.0, False), (3.0, False), (300.0, True)])
def test_an_empty_store_with_old_machines_is_a_data_loss(world, machine_age_s, is_loss):
    epochs, _, losses = make_store_epochs(world, machine_age_s)
    assert bool(losses) is is_loss and epochs.is_loss_before_replica is is_loss and not epochs.is_new_cluster


@pytest.mark.parametrize("is_loss", [False, True])
def test_a_node_is_not_ready_before_a_full_read_and_a_loss_detected_during_the_read_persists(world, is_loss):
    first, _, _ = make_store_epochs(world)
    second, store, losses = make_store_epochs(world)
    assert first.state is second.state is EpochState.INTACT
    second.record = second.record if is_loss else None
    get = store.get

    async def get_and_check(key, priority):
        item = await get(key, priority)
        if key == "rebuild":
            assert second.record is not None or second.unavailable_reason() is not None
            if is_loss:
                second.report_loss("for the test")
        return item

    store.get, second.state = get_and_check, EpochState.RECOVERING if is_loss else EpochState.UNKNOWN
    world.run(second.refresh())
    assert second.record is not None and bool(losses) is is_loss
    assert second.state is (EpochState.LOST if is_loss else EpochState.INTACT)


def test_the_store_of_an_earlier_version_is_usable_at_once(world):
    world.state.transact({"if": [], "writes": [{"write": "j/old", "data": 1}]})
    epochs, _, losses = make_store_epochs(world, 300.0)
    assert epochs.state is EpochState.INTACT and not losses and epochs.token_for_key(Revision(7)) == 7
    epochs.observe_token(FencingToken(9))
    assert epochs.token_for_key(Revision(8)) is None and epochs.token_for_key(Revision(10)) == 10


AUDITS = [
    # name, change before the audit reads the key, change between the read and the poll, expected part of the reason
    ("key written between read and poll", lambda w: None, lambda w: write_key(w, "t/a/00000"), None),
    ("key deleted", lambda w: w.state.transact({"if": [], "writes": [{"drop": "t/a/00000"}]}), None, None),
    ("key missing without a deletion", lambda w: w.state.keys.pop("t/a/00000"), None, "is missing without a deletion"),
    ("older revision", lambda w: w.state.keys["t/a/00000"].update(mark=1), None, "is outdated: expected revision"),
]


@pytest.mark.parametrize(
    ("change_before_read", "change_after_read", "expected_reason"),
    [case[1:] for case in AUDITS],
    ids=[case[0] for case in AUDITS],
)
def test_an_audit_distinguishes_a_loss_from_a_change(world, change_before_read, change_after_read, expected_reason):
    epochs, store, losses = make_store_epochs(world)
    write_key(world, "t/a/00000")
    follower = start_follower(world)
    auditor = StoreAuditor(world.clock, store, epochs, follower, lambda: True)
    change_before_read(world)
    get = store.get

    async def get_then_change(key, priority):
        item = await get(key, priority)
        if change_after_read is not None:
            change_after_read(world)
        return item

    store.get = get_then_change
    world.run(auditor.check_key("t/a/00000"))
    store.get = get
    assert (expected_reason in losses[0]) if expected_reason else losses == []


# Snapshots


def write_snapshots(directory, *states):
    """Write snapshots of successive states: a full one, then changes. Returns the directory."""
    last: dict[str, int] = {}
    base_revision = 0
    for revision, state in states:
        header = files.SnapshotHeader(0, Revision(revision), Revision(base_revision), NodeName("n0"), 100.0)
        entries = [files.SnapshotEntry(k, Revision(m), Raw(b"%d" % m)) for k, m in state.items() if last.get(k) != m]
        entries += [files.SnapshotEntry(k, Revision(revision), is_deleted=True) for k in last if k not in state]
        files.write_snapshot(str(directory), header, entries, 10**6)
        last, base_revision = dict(state), revision
    return str(directory)


def rewrite_file(path, change_content):
    with open(path, "rb") as file:
        content = file.read()
    with open(path, "wb") as file:
        file.write(change_content(content))


FIRST, SECOND, THIRD = {"j/x": 3, "w/m": 4}, {"j/x": 3, "e/y": 8}, {"j/x": 9, "e/y": 8}
CHANGES = "000000-000000000008-changes-000000000005"
LAST = "000000-000000000009-changes-000000000008"
FULL = "000000-000000000005-full"


def change_manifest(changes):
    return lambda content: msgspec.json.encode(msgspec.json.decode(content) | changes)


SNAPSHOT_DEFECTS = [
    # name, file, change of its content, expected state, expected part of the reason
    ("no defect", None, None, THIRD, None),
    ("truncated", LAST + files.DATA_SUFFIX, lambda c: c[:-9], SECOND, "torn"),
    ("flipped bit", LAST + files.DATA_SUFFIX, lambda c: c[:-9] + bytes([c[-9] ^ 1]) + c[-8:], SECOND, "checksum"),
    ("truncated in the middle of the chain", CHANGES + files.DATA_SUFFIX, lambda c: c[:-1], FIRST, "torn"),
    (
        "truncated manifest",
        CHANGES + files.MANIFEST_SUFFIX,
        lambda c: c[: len(c) // 2],
        FIRST,
        "manifest is broken",
    ),
    ("foreign kind", LAST + files.MANIFEST_SUFFIX, change_manifest({"kind": "photo album"}), SECOND, "foreign"),
    ("newer format", LAST + files.MANIFEST_SUFFIX, change_manifest({"format": 9}), SECOND, "newer format"),
    (
        "manifest of another snapshot",
        LAST + files.MANIFEST_SUFFIX,
        change_manifest({"revision": 77}),
        SECOND,
        "another's",
    ),
    ("broken full snapshot", FULL + files.DATA_SUFFIX, lambda c: gzip.compress(b"{}"), None, "torn"),
]


@pytest.mark.parametrize(
    ("file", "change_content", "expected_state", "expected_reason"),
    [case[1:] for case in SNAPSHOT_DEFECTS],
    ids=[case[0] for case in SNAPSHOT_DEFECTS],
)
def test_an_unusable_snapshot_is_reported_and_the_previous_one_used(
    tmp_path, capsys, file, change_content, expected_state, expected_reason
):
    directory = write_snapshots(tmp_path, (5, FIRST), (8, SECOND), (9, THIRD))
    if file is not None:
        rewrite_file(os.path.join(directory, file), change_content)
    result = files.read_newest(directory)
    state = {key: item.mod_revision for key, item in result.source.items.items()} if result.source is not None else None
    assert state == expected_state
    assert any(expected_reason in text for text in result.rejections) if expected_reason else result.rejections == []
    status = run_command(["snapshot", "verify", "--directory", directory])
    output = capsys.readouterr()
    assert (
        status == (2 if expected_reason else 0)
        and (expected_reason or "good up to revision 9") in output.err + output.out
    )
    assert run_command(["snapshot", "list", "--directory", directory]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 3


def test_a_restore_begins_an_epoch_writes_missing_items_and_fails_while_a_node_leads(world, tmp_path, capsys):
    snapshot = files.read_newest(write_snapshots(tmp_path, (5, FIRST), (8, SECOND), (9, THIRD))).source
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    world.run(restore(store, snapshot))
    assert set(world.state.keys) == {"era", "rebuild", *THIRD} and "2 keys" in capsys.readouterr().out
    world.run(restore(store, snapshot))
    assert "era 2: 2 keys" in capsys.readouterr().out
    epochs, _, losses = make_store_epochs(world)
    assert (
        epochs.state is EpochState.RECOVERING and not losses and store_epoch_of(epochs.token_for_key(Revision(9))) == 2
    )
    write_key(world, "lead")
    assert world.run(restore(store, snapshot)).check(ConflictError)


def test_old_chains_are_removed_and_the_newest_usable_one_is_kept(tmp_path):
    for first in (10, 20, 30, 40):
        write_snapshots(tmp_path, (first, FIRST), (first + 1, SECOND))
    assert files.remove_old_snapshots(str(tmp_path), 2, 0.0) == 4
    assert sorted(info.manifest.revision for info in files.list_snapshots(str(tmp_path))) == [30, 31, 40, 41]
    assert files.remove_old_snapshots(str(tmp_path), 9, 1e9) == 2
    assert [info.manifest.revision for info in files.list_snapshots(str(tmp_path))] == [41, 40]


def test_a_full_disk_or_an_oversized_snapshot_leaves_no_partial_file(tmp_path, monkeypatch):
    header = files.SnapshotHeader(0, Revision(5), Revision(0), NodeName("n0"), 1.0)
    entries = [files.SnapshotEntry("j/x", Revision(3), Raw(b"1"))]
    with pytest.raises(OSError, match="at most 10"):
        files.write_snapshot(str(tmp_path), header, entries, 10)

    def fail_with_full_disk(file):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_with_full_disk)
    with pytest.raises(OSError, match="No space"):
        files.write_snapshot(str(tmp_path), header, entries, 10**6)
    assert os.listdir(tmp_path) == []


# Whole clusters in simulated time


def make_lab(faults, seed=1, **operator):
    """A simulated cluster with several nodes, machines and users, and the given faults."""
    scenario = load(str(EXAMPLES[0].parent / "loss.toml"))
    scenario.duration_s = 80.0
    scenario.faults = [msgspec.convert(fault, Fault) for fault in faults]
    scenario.operator = operator
    return Lab(scenario, seed)


LOSE_ALL_KEYS = {"kind": "store_loss", "at_s": 30.1, "what": "all"}
LOSE_LAST_CHANGES = {"kind": "store_loss", "at_s": 30.1, "what": "back", "for_s": 12.0}
KILL_LEADER = {"kind": "node_kill", "node": "leader", "at_s": 30.0}
LOSSES = [
    # name, faults, time in seconds after the loss within which tasks are placed again
    ("all keys", [LOSE_ALL_KEYS], 1.0),
    ("changes of the last 12 s", [LOSE_LAST_CHANGES], 1.0),
    ("placements", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "t/"}], 1.0),
    ("open jobs", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "j/"}], 2.0),
    ("ended jobs", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "e/"}], 20.0),
    ("three keys", [{"kind": "store_loss", "at_s": 30.1, "what": "keys", "count": 3}], 20.0),
    ("epoch record", [{"kind": "store_loss", "at_s": 30.1, "what": "prefix", "prefix": "era"}], 2.0),
    ("all keys and the leader", [KILL_LEADER, LOSE_ALL_KEYS], 12.0),
    ("all keys in an outage", [{"kind": "store_outage", "at_s": 20.0, "for_s": 12.0}, LOSE_ALL_KEYS], 4.0),
    ("all keys again during the recovery", [LOSE_ALL_KEYS, LOSE_ALL_KEYS | {"at_s": 30.25}], 12.0),
    (
        "all keys and two recovering leaders",
        [LOSE_ALL_KEYS, KILL_LEADER | {"at_s": 30.2}, KILL_LEADER | {"at_s": 32.6}],
        15.0,
    ),
    (
        "all keys, the leader and machines",
        [KILL_LEADER, LOSE_ALL_KEYS, {"kind": "machine_die", "at_s": 30.5, "count": 5}],
        15.0,
    ),
    (
        "last 12 s and the leader while an outdated node reconnects",
        [
            {"kind": "node_cut", "node": "n1", "apart": "all", "at_s": 15.0, "for_s": 20.0},
            KILL_LEADER,
            LOSE_LAST_CHANGES,
        ],
        15.0,
    ),
]


@pytest.mark.parametrize(("faults", "within_s"), [case[1:] for case in LOSSES], ids=[case[0] for case in LOSSES])
def test_a_data_loss_costs_no_task_and_no_job(faults, within_s):
    lab = make_lab(faults)
    result = lab.play()
    assert result["broken"] == []
    assert all(share >= 0.9 for share in result["served"].values())
    placed_at = [
        takeover["dead_s"] + takeover["first_placement_s"]
        for takeover in result["takeovers"]
        if takeover["first_placement_s"] is not None
    ]
    assert any(30.1 < at < 30.1 + within_s for at in placed_at)
    if not any(fault["kind"] == "machine_die" for fault in faults):
        assert result["lost"] == 0
    assert {node.store_epochs.state for node in lab.nodes.values()} <= {EpochState.INTACT, EpochState.RECOVERING}


def test_a_new_leader_continues_the_recovery_after_each_stored_step():
    for step in range(1, 6):
        lab = make_lab([LOSE_ALL_KEYS])
        lab.simulation.run(30.12)
        kill = {"kind": "kill_after_write", "at_s": 30.13, "count": step}
        lab.simulation.at(30.13, lambda kill=kill, lab=lab: lab.strike(msgspec.convert(kill, Fault)))
        result = lab.play()
        assert result["broken"] == [] and result["lost"] == 0, step


def test_running_tasks_are_neither_stopped_nor_started_twice_if_only_heartbeats_are_left():
    """All nodes end when the data is lost, and there is no snapshot: only jobs without a running task may be lost."""
    lab = make_lab([LOSE_ALL_KEYS, {"kind": "node_kill", "node": "all", "at_s": 30.0}])
    result = lab.play()
    assert {violation["rule"] for violation in result["broken"]} <= {"forgotten", "went_back"}
    assert result["lost"] == 0


@pytest.mark.parametrize("lost_wait_s", [0.0, 10.0])
def test_a_job_without_a_record_stays_known_while_its_tasks_prove_it(lost_wait_s):
    """The tasks on machines prove that the job was submitted.

    Its user once got status 503 without end (with `lost_wait_s` 0), or 404 after that time.
    """
    lab = make_lab([LOSE_ALL_KEYS, {"kind": "node_kill", "node": "all", "at_s": 30.0}], lost_wait_s=lost_wait_s)
    lab.scenario.duration_s = 150.0
    lab.simulation.run(30.0)
    running_jobs = {job for job, tasks in lab.judge._of_job.items() if tasks and lab.judge.jobs[job].told != "done"}
    assert len(running_jobs) >= 3
    unknown_job_statuses = []
    unknown = lab.judge.unknown
    lab.judge.unknown = lambda job, status: (unknown_job_statuses.append(status), unknown(job, status))
    result = lab.play()
    assert result["lost"] == 0 and not any(
        violation["rule"] in ("ran_twice", "invented") for violation in result["broken"]
    )
    assert not [violation for violation in result["broken"] for job in running_jobs if job in violation["what"]]
    # These requests are for jobs that were never submitted, which is certain only after the wait for lost jobs.
    assert (unknown_job_statuses[-1] == 404) is (lost_wait_s > 0)


def test_a_snapshot_restores_data_that_no_node_has(tmp_path):
    lab = make_lab(
        [LOSE_ALL_KEYS | {"at_s": 31.0}, {"kind": "node_kill", "node": "all", "at_s": 31.0}],
        snapshot_directory=str(tmp_path),
        snapshot_every_s=5.0,
    )
    lab.simulation.run(30.9)
    assert files.read_newest(str(tmp_path)).source is not None
    result = lab.play()
    assert result["lost"] == 0 and not any(violation["rule"] == "ran_twice" for violation in result["broken"])
    # Jobs that were accepted after the last snapshot are known only to their users.
    jobs_after_snapshot = {f"wk-{number:06d}" for number in range(24, 34)}
    assert all(
        any(job in violation["what"] for job in jobs_after_snapshot)
        for violation in result["broken"]
        if violation["rule"] == "forgotten"
    )
    assert result["served"]["web"] == 1.0 and result["served"]["train"] == 1.0


def test_slow_late_or_missing_responses_are_no_data_loss():
    """A store that is slow, late, unavailable or cut off, and a killed leader, begin no new epoch."""
    lab = make_lab(
        [
            {"kind": "store_slow", "at_s": 15.0, "for_s": 8.0, "factor": 40.0},
            {"kind": "store_late", "at_s": 25.0, "for_s": 6.0, "count": 2},
            {"kind": "store_refuses", "at_s": 34.0, "for_s": 6.0, "node": "leader"},
            {"kind": "store_outage", "at_s": 45.0, "for_s": 6.0},
            {"kind": "node_cut", "at_s": 55.0, "for_s": 8.0, "node": "follower", "apart": "store"},
            KILL_LEADER | {"at_s": 65.0},
        ]
    )
    result = lab.play()
    assert result["broken"] == [] and {node.store_epochs.record.number for node in lab.nodes.values()} == {0}
