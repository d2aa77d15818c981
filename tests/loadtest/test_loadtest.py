"""Scale runs: plans that are refused, histories that break rules and are found, and a run with a hundred workers."""

from __future__ import annotations

import json
import socket
import subprocess
import sys

import pytest

from loadtest import events as e
from loadtest.copies import Growth, enlarge
from loadtest.hosts import WORKER_PORT, free_network, worker_address
from loadtest.plan import PlanError, load, stretched
from loadtest.report import report, usage_by_role
from loadtest.run import Interval, Usage
from loadtest.verdict import Replay
from simulation.judge import Spec
from tests.support.paths import ROOT

PLANS = sorted((ROOT / "examples" / "loadtest").rglob("*.toml"))
SHORT = ROOT / "examples" / "loadtest" / "short.toml"


@pytest.mark.parametrize("path", PLANS, ids=[path.stem for path in PLANS])
def test_the_plans_that_ship_are_good(path):
    plan = load(str(path))
    slow = stretched(plan)
    assert slow == plan or slow.duration_s > plan.duration_s


BAD = [
    ("an unknown field", "workers = 100", "workers = 100\nwombats = 1", "wombats"),
    ("out of bounds", "duration_s = 14.0", "duration_s = -1.0", "$.duration_s"),
    ("a word for a number", "workers = 100", 'workers = "many"', "$.workers"),
    ("too many processes", "hollow_processes = 2", "hollow_processes = 99", "$.hollow_processes"),
    ("an unknown team", 'team = "a"', 'team = "c"', "$.loads[0].team"),
    ("a fault after the end", "at_s = 6.0", "at_s = 60.0", "$.faults[0].at_s"),
    ("an unknown controller", 'node = "relay"', 'node = "n9"', "$.faults[0].node"),
    ("no TOML", 'name = "short"', "name = ", "line"),
]


@pytest.mark.parametrize(("old", "new", "told"), [row[1:] for row in BAD], ids=[row[0] for row in BAD])
def test_a_bad_plan_is_refused_and_nothing_is_started(tmp_path, old, new, told):
    text = SHORT.read_text()
    assert old in text
    plan = tmp_path / "plan.toml"
    plan.write_text(text.replace(old, new, 1))
    with pytest.raises(PlanError, match=told.replace("$", r"\$").replace("[", r"\[")):
        load(str(plan))
    command = [sys.executable, "-m", "loadtest", "run", str(plan), "--out", str(tmp_path / "out")]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and told in done.stderr and not (tmp_path / "out").exists()


SPEC = Spec("wk-000001", "urgent", "a", "array", 2, 100.0, True, None, False, False)
ON = e.TaskOn(2.0, "wk-000001", 0, "i-000000", "box", "east", False)
TWICE = e.TaskOn(3.0, "wk-000001", 0, "i-000001", "box", "east", False)
OTHER = e.TaskOn(3.0, "wk-000001", 1, "i-000001", "box", "east", False)
SUBMITTED, ACCEPTED = e.Submitted(1.0, SPEC), e.Told(1.1, "wk-000001", "pending")
HISTORIES = [
    # what is found of a history
    ("nothing", [SUBMITTED, ACCEPTED, ON], set()),
    ("on two machines", [SUBMITTED, ACCEPTED, ON, TWICE], {"ran_twice", "quota"}),
    ("on another after the first was deleted", [SUBMITTED, ACCEPTED, ON, e.Deleted(2.5, "i-000000"), TWICE], set()),
    ("beyond the quota", [SUBMITTED, ACCEPTED, ON, OTHER], {"quota"}),
    (
        "told of the cancel, then started",
        [
            SUBMITTED,
            ACCEPTED,
            e.Cancelling(1.2, "wk-000001"),
            e.Told(1.5, "wk-000001", "cancelled"),
            ON,
        ],
        {"ran_cancelled"},
    ),
    ("forgotten", [SUBMITTED, ACCEPTED, ON, e.Polled(5.0, "wk-000001", 404)], {"forgotten"}),
    ("said to be done too soon", [SUBMITTED, ACCEPTED, ON, e.Told(5.0, "wk-000001", "done")], {"not_done"}),
    ("invented", [SUBMITTED, ACCEPTED, ON, e.Stray(5.0, "wk-999999", 200)], {"invented"}),
    ("nothing ran", [SUBMITTED, ACCEPTED], {"nothing_ran"}),
]


@pytest.mark.parametrize(("history", "rules"), [row[1:] for row in HISTORIES], ids=[row[0] for row in HISTORIES])
def test_the_rules_are_judged_over_the_histories(tmp_path, history, rules):
    for number, event in enumerate(history):
        # Of several processes, whose files are read in the order of the times.
        recorder = e.Recorder(tmp_path, f"p{number % 3}")
        recorder.write(event)
        recorder.flush()
    replay = Replay(load(str(SHORT)), 0.0)
    replay.play(e.history(tmp_path))
    assert {one["rule"] for one in replay.judge.broken} == rules


def test_how_long_a_takeover_takes():
    history = [
        SUBMITTED,
        ACCEPTED,
        e.TokenSeen(1.0, "i-000000", 5),
        e.TokenSeen(1.0, "i-000001", 5),
        e.Killed(4.0, "n0", True),
        e.LeaderSet(5.0, "n1", 9),
        e.Commanded(5.5, 9),
        e.TokenSeen(6.0, "i-000000", 9),
        e.TokenSeen(8.0, "i-000001", 9),
        ON,
    ]
    replay = Replay(load(str(SHORT)), 0.0)
    replay.play(iter(history))
    takeover = replay.takeovers[0]
    assert (takeover.elected_s, takeover.first_start_s, takeover.all_workers_s) == (1.0, 1.5, 2.0)


def test_a_copy_of_a_site_file_differs_in_its_counts_only():
    site = 'name = "s"\n[nodes]\ncount = 3\n[[capacity]]\ncount = 10\nspot = 4\n[[jobs]]\ninitial = 2\n'
    site += "arrivals = { rate = 0.5, start_s = 5.0 }\n[[targets]]\ncount = 0\n"
    assert enlarge(site, Growth("t", 2.0, 3.0, 5)) == (
        'name = "t"\n[nodes]\ncount = 5\n[[capacity]]\ncount = 20\nspot = 8\n[[jobs]]\ninitial = 6\n'
        "arrivals = { rate = 1.5000, start_s = 5.0 }\n[[targets]]\ncount = 0\n"
    )


def test_usage_goes_by_the_role_in_each_interval():
    before = Interval(1.0, "n0", [Usage("n0", 0.5, 50.0, 10), Usage("n1", 0.1, 40.0, 5), Usage("hollow3", 0.2, 9.0, 7)])
    after = Interval(2.0, "n1", [Usage("n0", 0.1, 30.0, 4), Usage("n1", 0.7, 60.0, 12)])
    roles = usage_by_role([before, after])
    assert roles["leader"] == {
        "processor_mean": 0.6,
        "processor_peak": 0.7,
        "memory_peak_mb": 60.0,
        "sockets_peak": 12,
    }
    assert roles["other controllers"]["sockets_peak"] == 5 and roles["hollow"]["sockets_peak"] == 7


def test_a_run_without_a_summary_is_named(tmp_path, capsys):
    assert report([tmp_path], None) == 2
    assert "no summary" in capsys.readouterr().err


def test_a_hundred_hollow_workers_and_real_controllers(tmp_path):
    """A relay is killed in the middle, and comes back. Everything that was started has ended."""
    out = tmp_path / "out"
    command = [sys.executable, "-m", "loadtest", "run", str(SHORT), "--out", str(out)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    summary = json.loads((out / "summary.json").read_text())
    assert summary["broken"] == [] and summary["leases_ended"] == 0
    assert summary["starts"] > 200 and summary["reports"]["count"] > 300
    assert summary["classes"]["urgent"]["begun"] > 10
    assert set(summary["usage"]) >= {"leader", "other controllers", "hollow", "state", "cloud", "users"}
    assert report([out], str(tmp_path / "curves.png")) == 0 and (tmp_path / "curves.png").stat().st_size > 1000


def test_two_runs_at_once_do_not_share_a_network():
    taken = free_network()
    with socket.create_server((f"127.{taken}.255.254", WORKER_PORT)):
        assert all(free_network() != taken for _ in range(300))
    assert worker_address(taken, 251) == f"127.{taken}.1.2:{WORKER_PORT}"
