"""The measuring tools read days from logs of present and earlier versions, compute bounds, and measure costs."""

from __future__ import annotations

import json

import pytest

from benchmarks import bounds, cancels, cost, day, history, job_cost, learning, recovery, served, takeover, tickets
from benchmarks.day import attribute_costs, read_day

FACTS = """
[[machine_types]]
name = "small"
cpus = 4.0
price = 0.4
spot_price = 0.1
boot_s = 10.0
[[capacity]]
type = "small"
zone = "east"
count = 0
spot = 2
[[teams]]
name = "a"
cpus_max = 8.0
[[targets]]
kind = "deadline"
class = "train"
share = 0.9
times = 1.0
"""
ACCEPTED = (
    "I n0 jobs: job accepted job=wk-{0} class=train team=a priority={1} tasks={2} cpus=1 memory_gb=2 "
    "estimate_s=30 deadline_s={3}"
)
OLD_ACCEPTED = (
    "I n0 jobs: job wk-{0} accepted: train of a, {1}, {2} tasks of 1 CPUs and 2 GB, about 30 s, due after {3} s"
)
LOG = [
    "0.5 n0 " + ACCEPTED.format("000001", "normal", 8, 60),
    "1.0 n0 D n0 fleet: created machine=i-1 type=small zone=east market=spot",
    "1.0 n0 D n0 fleet: machine i-2 rented: small in east, spot",
    "11.0 n0 I n0 leadership: first contact machine=i-1 type=small",
    "a line of something else",
    *(f"12.0 n0 D n0 leadership: task running task=wk-000001/{n} machine=i-1 elapsed_s=0.30" for n in range(4)),
    "15.0 n0 I n0 leadership: task released task=wk-000001/3 attempt=1 machine=i-1 reason=stopped",
    *(f"42.0 n0 D n0 leadership: task done task=wk-000001/{n} machine=i-1 elapsed_s=30.00" for n in range(3)),
    *(f"43.0 n0 D n0 leadership: task running task=wk-000001/{n} machine=i-1 elapsed_s=0.30" for n in range(3, 7)),
    *(f"73.0 n0 D n0 leadership: task done task=wk-000001/{n} machine=i-1 elapsed_s=30.00" for n in range(3, 7)),
    "73.1 n0 D n0 leadership: task running task=wk-000001/7 machine=i-1 elapsed_s=0.30",
    "103.1 n0 D n0 leadership: task done task=wk-000001/7 machine=i-1 elapsed_s=30.00",
    "103.2 n0 I n0 jobs: job ended job=wk-000001 state=done elapsed_s=103 (deadline_s=60)",
    "111.0 n0 I n0 fleet: decommissioning machine=i-1 tasks=0 reason=idle for 7 s",
    "111.0 n0 I n0 fleet: deleted machines=i-1, i-2",
]


@pytest.fixture
def files(tmp_path):
    (tmp_path / "facts.toml").write_text(FACTS)
    (tmp_path / "day.log").write_text("\n".join(LOG))
    return str(tmp_path / "day.log"), str(tmp_path / "facts.toml")


def test_day_is_read_with_every_attempt():
    job = read_day(LOG).jobs["wk-000001"]
    assert (job.tasks, job.due_s, job.ended_at, job.state) == (8, 60.0, 103.2, "done")
    assert len(job.completed_run_times_s) == 8 and job.completed_run_times_s[0] == pytest.approx(30.0)
    assert [attempt.outcome for attempt in job.attempts if attempt.outcome != "done"] == ["stopped"]


def test_job_lines_of_the_older_log_format_are_read_alike():
    day, old_day = (
        read_day(["0.5 n0 " + accepted.format("000001", "normal", 8, 60), "103.2 n0 I n0 jobs: " + ended])
        for accepted, ended in (
            (ACCEPTED, "job ended job=wk-000001 state=done elapsed_s=103 (deadline_s=60)"),
            (OLD_ACCEPTED, "job wk-000001 ended: done, 103 s after its submission, due after 60 s"),
        )
    )
    job = day.jobs["wk-000001"]
    assert (job.job_class, job.team, job.priority, job.tasks) == ("train", "a", "normal", 8)
    assert (job.cpus, job.memory_gb, job.estimate_s, job.due_s) == (1.0, 2.0, 30.0, 60.0)
    assert (job.ended_at, job.state) == (103.2, "done")
    assert old_day.jobs == day.jobs


def test_every_paid_second_is_attributed_once():
    costs = attribute_costs(read_day(LOG), {("small", True): 3600.0, ("small", False): 3600.0}, {"small": 4.0})
    assert sum(value for key, value in costs.items() if not key.startswith("(")) == pytest.approx(110.0 + 110.0)
    assert costs["useful"] == pytest.approx(8 * 30.0 / 4)
    assert costs["lost: stopped"] == pytest.approx(3.0 / 4)
    assert costs["boot"] == pytest.approx(10.0) and costs["never up"] == pytest.approx(110.0)


def test_bounds_of_a_day_are_printed(files, capsys):
    assert bounds.main([*files, "--json"]) == 0
    lines = {line["aim"]: line for line in json.loads(capsys.readouterr().out)}
    # Both machines could be ready at 10.5 s, and all eight tasks done at 40.5 s.
    assert lines["train by 1 x due"]["ours"] == 0.0 and lines["train by 1 x due"]["alone"] == pytest.approx(1.0)
    assert lines["all work done (s)"]["alone"] <= 103.2
    assert 0 < lines["useful money (saved work not counted)"]["ours"] < 1


@pytest.mark.parametrize(
    ("due", "tasks", "limit", "share"),
    [(60.0, 8, 8.0, 1.0), (60.0, 24, 8.0, 0.594), (60.0, 8, 2.0, 0.45), (35.0, 8, 8.0, 0.0)],
    ids=["fits", "more work than capacity", "team limit", "task longer than the remaining time"],
)
def test_jobs_in_time_are_bounded_by_capacity_limits_and_the_longest_task(due, tasks, limit, share):
    lines = [
        "0.5 n0 " + ACCEPTED.format("000001", "normal", tasks, due),
        # The form of an earlier version.
        "103.1 n0 D n0 leadership: task wk-000001/0 done on i-1 after 30.00 s",
    ]
    jobs = list(read_day(lines).jobs.values())
    free = [0.0] * 2 + [8.0] * 30
    bound = bounds.bound_jobs_in_time(jobs, [0.5 + due], [min(limit, cpus) for cpus in free], 10.5)
    assert bound == pytest.approx(share, abs=0.002)


@pytest.mark.parametrize(
    ("replace_files", "message"),
    [
        (lambda log, facts: (log, facts + ".none"), "facts.toml.none"),
        (lambda log, facts: (log + ".none", facts), "day.log.none"),
        (lambda log, facts: (facts, facts), "no job was accepted"),
        (lambda log, facts: (log, log), "TOMLDecodeError"),
    ],
    ids=["missing facts", "missing log", "not a log", "not facts"],
)
def test_unusable_input_is_reported_in_one_line(files, capsys, replace_files, message):
    assert bounds.main(list(replace_files(*files))) == 2
    out, error = capsys.readouterr()
    assert out == "" and error.count("\n") == 1 and message in error


def test_steps_for_one_job_are_measured_by_its_tasks():
    seconds = job_cost.measure("gang, spread", 20, 4)
    assert set(seconds) == set(job_cost.STEPS) and min(seconds.values()) >= 0 and seconds["pass"] > 0


@pytest.mark.parametrize("sizes", ["many", "10", ""])
def test_invalid_sizes_are_rejected(sizes, capsys):
    assert cost.main(["--sizes", sizes]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_recovery_measures_the_gap_and_the_time_until_tasks_run_again(tmp_path, capsys):
    log = tmp_path / "day.log"
    log.write_text("\n".join(LOG))
    assert recovery.main([str(log), "--at", "14", "--json"]) == 0
    result = json.loads(capsys.readouterr().out)
    # Four tasks ran, and one was stopped at once; the next task started when the other three were done.
    assert result["cpus_before"] == 4.0 and result["no_start_s"] == pytest.approx(30.1)
    assert result["again_s"] == pytest.approx(29.0, abs=recovery.STEP_S)
    assert recovery.main([str(log), "--at", "1000"]) == 2
    assert "no second 1000" in capsys.readouterr().err


def test_capacity_used_by_higher_priority_is_not_available_to_lower_priority():
    lines = [
        "0.0 n0 " + ACCEPTED.format("000001", "urgent", 8, 60),
        "0.0 n0 " + ACCEPTED.format("000002", "idle", 8, 60),
        *(f"31.0 n0 D n0 leadership: task wk-00000{n}/0 done on i-1 after 30.00 s" for n in (1, 2)),
    ]
    urgent, idle = read_day(lines).jobs.values()
    free = [8.0] * 12
    remaining = bounds.remaining_capacity([urgent], free, 0.0)
    assert sum(free) - sum(remaining) == pytest.approx(8 * 30.0 / bounds.STEP_S)
    assert bounds.bound_jobs_in_time([idle], [48.0], free, 0.0) == pytest.approx(1.0)
    assert bounds.bound_jobs_in_time([idle], [48.0], remaining, 0.0) == pytest.approx(0.6)


def test_runs_of_a_day_are_written_as_a_history(tmp_path, capsys):
    file = tmp_path / "log"
    file.write_text("\n".join(LOG))
    assert history.main([str(file)]) == 0 and history.main([str(tmp_path / "none")]) == 2
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert lines and {line["class"] for line in lines} == {"train"}
    assert all(line["seconds"] > 0 and line["estimate"] == 30.0 and line["type"] == "small" for line in lines)
    assert {line.get("outcome", "done") for line in lines} >= {"done"}


def test_costs_of_tickets_and_of_learning_are_measured():
    ticket_cost = tickets.measure(6)
    assert ticket_cost.tickets == 6 and ticket_cost.controller_requests_per_ticket >= 6
    assert ticket_cost.accept_ms_p99 > 0
    off, on = (learning.measure(setting, 4, 3) for setting in (0, 2))
    assert off.changes_stored == 0 and off.tasks_done > 0 and on.tasks_done > 0 and on.cpu_ms_per_task > 0


def test_takeover_is_read_with_the_time_of_each_milestone(tmp_path, capsys):
    def running(at, number, node="n0"):
        return f"{at} {node} D {node} leadership: task running task=wk-000001/{number} machine=i-1 elapsed_s=0.30"

    lines = [
        "0.1 n0 " + ACCEPTED.format("000001", "normal", 80, 60),
        "0.5 n0 I n0 leadership: started leading token=7",
        *(running(1.0 + number / 4, number) for number in range(40)),
        "11.0 n1 D n1 jobs: a node that follows",
        "13.0 n1 I n1 leadership: started leading token=9",
        "13.1 n1 I n1 leadership: state loaded term=9 jobs=1 machines=5 placements=40 replica=read hints=none",
        *(running(13.2, number, "n1") for number in range(40)),
        '13.3 n1 I n1 leadership: milestone reached term=9 milestone="first placement stored" elapsed_s=0.300',
        '13.4 n1 I n1 leadership: milestone reached term=9 milestone="first start sent" elapsed_s=0.400',
        '13.5 n1 I n1 leadership: milestone reached term=9 milestone="nine of ten machines answered" elapsed_s=0.500',
        *(running(14.0 + number / 8, 40 + number, "n1") for number in range(40)),
        *(f"30.0 n1 D n1 leadership: task done task=wk-000001/{n} machine=i-1 elapsed_s=9.00" for n in range(80)),
    ]
    (tmp_path / "day.log").write_text("\n".join(lines))
    assert takeover.main([str(tmp_path / "day.log"), "--json"]) == 0
    (row,) = json.loads(capsys.readouterr().out)
    assert (row["end_s"], row["node"], row["token"], row["machines"], row["placements"]) == (10.75, "n1", 9, 5, 40)
    times_s = [round(row[name], 2) for name in ("token_s", "picture_s", "placement_s", "start_s", "answered_s")]
    assert times_s == [2.25, 2.35, 2.55, 2.65, 2.75]
    # Four tasks a second started before the end; tasks that the new leader finds running do not count as starts.
    assert 3.25 < row["again_s"] < 5.5
    assert takeover.main([str(tmp_path / "day.log")]) == 0 and "token after (s)" in capsys.readouterr().out
    assert takeover.main([str(tmp_path / "none")]) == 2


SERVED = [
    ("all jobs that were not cancelled", {"jobs": 10, "done": 8, "cancelled": 2}, {"jobs": 10, "started": 9}, 0),
    ("less than half of a class", {"jobs": 10, "done": 4}, {"jobs": 10, "started": 9}, 1),
    ("less than half of a team", {"jobs": 10, "done": 10}, {"jobs": 10, "started": 4}, 1),
]


@pytest.mark.parametrize(
    ("by_class", "by_team", "status"), [case[1:] for case in SERVED], ids=[case[0] for case in SERVED]
)
def test_class_or_team_served_less_than_half_sets_the_exit_status(tmp_path, capsys, by_class, by_team, status):
    (tmp_path / "report").write_text(json.dumps({"classes": {"train": by_class}, "teams": {"a": by_team}}))
    (tmp_path / "day.log").write_text("\n".join(LOG))
    assert served.main([str(tmp_path / "report"), str(tmp_path / "day.log"), "--json"]) == status
    result = json.loads(capsys.readouterr().out)
    largest = {"largest of train, done": 1.0, "largest of train, begun within 240 s": 1.0}
    assert {name: result["served"].pop(name) for name in largest} == largest
    assert set(result["served"]) == {"class train", "team a"} and result["thrown_away"] == {"train: stopped": 1}
    (tmp_path / "report").write_text("{")
    assert served.main([str(tmp_path / "report")]) == 2


def test_waits_for_the_response_to_a_cancellation_are_measured(tmp_path, capsys):
    log = tmp_path / "day.log"
    log.write_text(
        "10.0 n0 I n0 jobs: cancellation stored job=wk-000001\n"
        "10.1 n0 I n0 jobs: cancellation confirmed to user job=wk-000001\n"
        "11.0 n1 I n1 jobs: cancellation stored job=wk-000002\n"
        "11.2 n1 I n1 jobs: cancellation pending, tasks not proven gone job=wk-000002\n"
        "12.3 n2 I n2 jobs: cancellation pending, tasks not proven gone job=wk-000002\n"
        "14.0 n0 I n0 jobs: job ended job=wk-000002 state=cancelled elapsed_s=3 (no deadline)\n"
        "15.0 n0 I n0 jobs: cancellation stored job=wk-000003\n"
        "15.1 n0 I n0 jobs: cancellation stored for unrecorded job job=wk-000004\n"
        "no line of a log\n"
    )
    old_log = tmp_path / "old.log"
    old_log.write_text(
        "10.0 n0 I n0 jobs: job wk-000001 cancelled\n"
        "10.1 n0 I n0 jobs: job wk-000001: its user is told of the cancel\n"
        "11.0 n1 I n1 jobs: job wk-000002 cancelled\n"
        "11.2 n1 I n1 jobs: job wk-000002: its cancel is stored and not told yet, as its tasks may still be kept\n"
        "12.3 n2 I n2 jobs: job wk-000002: its cancel is stored and not told yet, as its tasks may still be kept\n"
        "14.0 n0 I n0 jobs: job wk-000002 ended: cancelled, 3 s after its submission\n"
        "15.0 n0 I n0 jobs: job wk-000003 cancelled\n"
        "15.1 n0 I n0 jobs: job wk-000004, known by its tasks only, cancelled\n"
        "no line of a log\n"
    )
    for file in (log, old_log):
        assert cancels.main([str(file), "--json"]) == 0
        assert json.loads(capsys.readouterr().out) == {
            "stored": 3,
            "told": 2,
            "withheld_at_first": 1,
            "later_than_1_s": 1,
            "p50_s": 3.0,
            "p95_s": 3.0,
            "longest_s": 3.0,
        }
    assert cancels.main([str(tmp_path / "none")]) == 2


FORMS = [
    (
        "running",
        day.RUNNING,
        "task wk-000001/3 runs on i-1 after 0.30 s",
        "task running task=wk-000001/3 machine=i-1 elapsed_s=0.30",
    ),
    (
        "done",
        day.DONE,
        "task wk-000001/3 done on i-1 after 30.00 s",
        "task done task=wk-000001/3 machine=i-1 elapsed_s=30.00",
    ),
    (
        "released",
        day.RELEASED,
        "task wk-000001/3 attempt 2 gone from i-1: stopped",
        "task released task=wk-000001/3 attempt=2 machine=i-1 reason=stopped",
    ),
    (
        "released with its machine",
        day.RELEASED,
        "task wk-000001/3 attempt 2 gone with i-1",
        "task released with its machine task=wk-000001/3 attempt=2 machine=i-1",
    ),
    (
        "created",
        day.CREATED,
        "machine i-1 rented: small in east, spot",
        "created machine=i-1 type=small zone=east market=spot",
    ),
    ("first contact", day.FIRST_CONTACT, "machine i-1 (small) reports first", "first contact machine=i-1 type=small"),
    ("deleted", day.DELETED, "deleted i-1, i-2", "deleted machines=i-1, i-2"),
    (
        "decommissioned",
        day.DECOMMISSIONED,
        "machine i-1 condemned with 0 tasks: idle for 7 s",
        "decommissioning machine=i-1 tasks=0 reason=idle for 7 s",
    ),
    ("leading", takeover.LEADING, "leads with token 9", "started leading token=9"),
    ("stopped leading", takeover.STOPPED_LEADING, "no longer leads with token 9", "stopped leading token=9"),
    (
        "state loaded",
        takeover.STATE_LOADED,
        "term 9: 1 open jobs, 5 machines, 40 placements, from the replica, no hints",
        "state loaded term=9 jobs=1 machines=5 placements=40 replica=read hints=none",
    ),
    (
        "milestone",
        takeover.MILESTONE,
        "term 9: first start sent after 0.400 s",
        'milestone reached term=9 milestone="first start sent" elapsed_s=0.400',
    ),
]


@pytest.mark.parametrize(("pattern", "old", "new"), [form[1:] for form in FORMS], ids=[form[0] for form in FORMS])
def test_log_lines_of_earlier_versions_are_read_like_present_ones(pattern, old, new):
    old_match, new_match = pattern.match(old), pattern.match(new)
    assert old_match and new_match
    assert old_match.groups() == new_match.groups()
