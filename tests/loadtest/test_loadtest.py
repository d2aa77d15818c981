"""Load tests: invalid plans, violations in the events of a run, and one run with a hundred workers."""

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
def test_example_plan_is_valid(path):
    plan = load(str(path))
    stretched_plan = stretched(plan)
    assert stretched_plan == plan or stretched_plan.duration_s > plan.duration_s


INVALID_PLANS = [
    ("unknown field", "workers = 100", "workers = 100\nwombats = 1", "wombats"),
    ("out of bounds", "duration_s = 14.0", "duration_s = -1.0", "$.duration_s"),
    ("text instead of a number", "workers = 100", 'workers = "many"', "$.workers"),
    ("too many processes", "hollow_processes = 2", "hollow_processes = 99", "$.hollow_processes"),
    ("unknown team", 'team = "a"', 'team = "c"', "$.loads[0].team"),
    ("fault after the end", "at_s = 6.0", "at_s = 60.0", "$.faults[0].at_s"),
    ("unknown controller", 'node = "relay"', 'node = "n9"', "$.faults[0].node"),
    ("invalid TOML", 'name = "short"', "name = ", "line"),
]


@pytest.mark.parametrize(
    ("old", "new", "message_part"), [row[1:] for row in INVALID_PLANS], ids=[row[0] for row in INVALID_PLANS]
)
def test_invalid_plan_is_rejected_and_nothing_is_started(tmp_path, old, new, message_part):
    text = SHORT.read_text()
    assert old in text
    plan = tmp_path / "plan.toml"
    plan.write_text(text.replace(old, new, 1))
    with pytest.raises(PlanError, match=message_part.replace("$", r"\$").replace("[", r"\[")):
        load(str(plan))
    command = [sys.executable, "-m", "loadtest", "run", str(plan), "--out", str(tmp_path / "out")]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 2 and message_part in completed.stderr and not (tmp_path / "out").exists()


SPEC = Spec("wk-000001", "urgent", "a", "array", 2, 100.0, True, None, False, False)
STARTED = e.TaskOn(2.0, "wk-000001", 0, "i-000000", "box", "east", False)
STARTED_AGAIN = e.TaskOn(3.0, "wk-000001", 0, "i-000001", "box", "east", False)
OTHER_STARTED = e.TaskOn(3.0, "wk-000001", 1, "i-000001", "box", "east", False)
SUBMITTED, ACCEPTED = e.Submitted(1.0, SPEC), e.Told(1.1, "wk-000001", "pending")
EVENT_SEQUENCES = [
    # case, events, rules that break
    ("no violation", [SUBMITTED, ACCEPTED, STARTED], set()),
    ("task on two machines", [SUBMITTED, ACCEPTED, STARTED, STARTED_AGAIN], {"ran_twice", "quota"}),
    (
        "task on another machine after a deletion",
        [SUBMITTED, ACCEPTED, STARTED, e.Deleted(2.5, "i-000000"), STARTED_AGAIN],
        set(),
    ),
    ("use beyond the quota", [SUBMITTED, ACCEPTED, STARTED, OTHER_STARTED], {"quota"}),
    (
        "start after a confirmed cancellation",
        [
            SUBMITTED,
            ACCEPTED,
            e.Cancelling(1.2, "wk-000001"),
            e.Told(1.5, "wk-000001", "cancelled"),
            STARTED,
        ],
        {"ran_cancelled"},
    ),
    (
        "query of an accepted job gets 404",
        [SUBMITTED, ACCEPTED, STARTED, e.Polled(5.0, "wk-000001", 404)],
        {"forgotten"},
    ),
    ("job reported done too early", [SUBMITTED, ACCEPTED, STARTED, e.Told(5.0, "wk-000001", "done")], {"not_done"}),
    ("query of an unknown job gets 200", [SUBMITTED, ACCEPTED, STARTED, e.Stray(5.0, "wk-999999", 200)], {"invented"}),
    ("no task was started", [SUBMITTED, ACCEPTED], {"nothing_ran"}),
]


@pytest.mark.parametrize(
    ("events", "rules"), [row[1:] for row in EVENT_SEQUENCES], ids=[row[0] for row in EVENT_SEQUENCES]
)
def test_rules_are_checked_over_events_of_all_processes(tmp_path, events, rules):
    for number, event in enumerate(events):
        # The events are written by three processes; their files are merged in the order of the times.
        recorder = e.Recorder(tmp_path, f"p{number % 3}")
        recorder.write(event)
        recorder.flush()
    replay = Replay(load(str(SHORT)), 0.0)
    replay.play(e.read_history(tmp_path))
    assert {violation["rule"] for violation in replay.judge.broken} == rules


def test_times_of_a_takeover_are_measured():
    events = [
        SUBMITTED,
        ACCEPTED,
        e.TokenSeen(1.0, "i-000000", 5),
        e.TokenSeen(1.0, "i-000001", 5),
        e.Killed(4.0, "n0", True),
        e.LeaderSet(5.0, "n1", 9),
        e.Commanded(5.5, 9),
        e.TokenSeen(6.0, "i-000000", 9),
        e.TokenSeen(8.0, "i-000001", 9),
        STARTED,
    ]
    replay = Replay(load(str(SHORT)), 0.0)
    replay.play(iter(events))
    takeover = replay.takeovers[0]
    assert (takeover.elected_s, takeover.first_start_s, takeover.all_workers_s) == (1.0, 1.5, 2.0)


def test_worker_whose_token_was_raised_again_counts_once_for_a_takeover():
    events = [
        e.TokenSeen(1.0, "i-000000", 5),
        e.TokenSeen(1.0, "i-000001", 5),
        e.Killed(4.0, "n0", True),
        e.TokenSeen(6.0, "i-000000", 9),
        e.TokenSeen(6.5, "i-000000", 11),
        e.TokenSeen(8.0, "i-000001", 9),
    ]
    replay = Replay(load(str(SHORT)), 0.0)
    replay.play(iter(events))
    assert replay.takeovers[0].half_of_workers_s == 4.0


def test_enlarged_site_file_differs_in_its_counts_only():
    site = 'name = "s"\n[nodes]\ncount = 3\n[[capacity]]\ncount = 10\nspot = 4\n[[jobs]]\ninitial = 2\n'
    site += "arrivals = { rate = 0.5, start_s = 5.0 }\n[[targets]]\ncount = 0\n"
    assert enlarge(site, Growth("t", 2.0, 3.0, 5)) == (
        'name = "t"\n[nodes]\ncount = 5\n[[capacity]]\ncount = 20\nspot = 8\n[[jobs]]\ninitial = 6\n'
        "arrivals = { rate = 1.5000, start_s = 5.0 }\n[[targets]]\ncount = 0\n"
    )


def test_usage_is_grouped_by_role_in_each_interval():
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


def test_report_names_run_without_summary(tmp_path, capsys):
    assert report([tmp_path], None) == 2
    assert "no summary" in capsys.readouterr().err


def test_run_with_100_hollow_workers_and_real_controllers(tmp_path):
    """A relay is killed during the run and starts again; all started processes end with the run."""
    out = tmp_path / "out"
    command = [sys.executable, "-m", "loadtest", "run", str(SHORT), "--out", str(out)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    summary = json.loads((out / "summary.json").read_text())
    assert summary["broken"] == [] and summary["leases_ended"] == 0
    assert summary["starts"] > 200 and summary["reports"]["count"] > 300
    assert summary["classes"]["urgent"]["begun"] > 10
    assert set(summary["usage"]) >= {"leader", "other controllers", "hollow", "state", "cloud", "users"}
    assert report([out], str(tmp_path / "curves.png")) == 0 and (tmp_path / "curves.png").stat().st_size > 1000


def test_simultaneous_runs_use_different_networks():
    used = free_network()
    with socket.create_server((f"127.{used}.255.254", WORKER_PORT)):
        assert all(free_network() != used for _ in range(300))
    assert worker_address(used, 251) == f"127.{used}.1.2:{WORKER_PORT}"
