"""Example scenarios break no rule, a seed determines the history, and the judge detects injected bugs."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from meadowcross.common.http import ServerResponse
from meadowcross.common.types import JobId
from meadowcross.jobs import messages as jm
from meadowcross.jobs.api import JobApi, job_response
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.reconciler import Reconciler
from meadowcross.leadership.scheduling_loop import SchedulingLoop
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.placement import engine
from meadowcross.placement.model import QuotaHeadroom
from meadowcross.store import group_commit
from meadowcross.workers.registry import WorkerRegistry
from simulation.scenario import ScenarioError, load
from simulation.world import Lab
from tests.support.paths import ROOT
from tests.support.terms import before_each_tick

EXAMPLES = sorted(ROOT.joinpath("examples", "simulation").glob("*.toml"))


def play(name: str, seed: int = 1) -> dict:
    return Lab(load(str(EXAMPLES[0].parent / f"{name}.toml")), seed).play()


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_scenario_breaks_no_rule_and_serves_each_class_and_team(path):
    result = Lab(load(str(path)), 1).play()
    assert result["broken"] == []
    assert all(share >= 0.5 for share in [*result["served"].values(), *result["served_teams"].values()])


def test_history_depends_on_seed_only():
    first, repeated, other = (play("two-leaders-in-a-row", seed)["hash"] for seed in (3, 3, 4))
    assert first == repeated != other


def omit_leader_condition(monkeypatch):
    """Omit the condition on the leader's key, and the revisions that would reject a late transaction as well."""
    monkeypatch.setattr(group_commit._Batch, "conditions", lambda self: [])


def start_before_storing(monkeypatch):
    """Send start commands before their transaction is stored; the check that would notice is disabled too."""
    monkeypatch.setattr(Reconciler, "_detect_lost_records", lambda self, machine: None)
    apply_decisions = SchedulingLoop.apply_decisions

    def applied(self, decisions):
        apply_decisions(self, decisions)
        for job in self._job_table.jobs.values():
            for placement in list(job.placements.values()):
                if placement.phase == 0:
                    self._placement_writer.on_placement_stored(placement)

    monkeypatch.setattr(SchedulingLoop, "apply_decisions", applied)


def release_silent_machines(monkeypatch):
    """Release the placements of silent machines as if the machines were gone."""

    def release_silent(term):
        for machine in list(term.worker_registry.machines.values()):
            if term.is_loaded and machine.is_up and term.scheduling_view.silence_s(machine) > 6.0:
                for placement in list(machine.placements.values()):
                    job = term.job_table.jobs[placement.task.job]
                    term.worker_registry.unassign(placement, job.spec, term.context.now)
                    term.job_table.release(placement)

    before_each_tick(monkeypatch, release_silent)


def forget_placements(monkeypatch):
    """Let a new leader load no placements; the checks that would notice are disabled too."""
    monkeypatch.setattr(Reconciler, "_detect_lost_records", lambda self, machine: None)
    monkeypatch.setattr(Job, "load_chunk", lambda self, first, entries: iter(()))
    monkeypatch.setattr(WorkerRegistry, "_compare_tasks", lambda self, machine, report, now: [])


def ignore_quotas(monkeypatch):
    quota_headroom = SchedulingView.quota_headroom
    monkeypatch.setattr(
        SchedulingView,
        "quota_headroom",
        lambda self: {team: QuotaHeadroom(1e15, 1e15) for team in quota_headroom(self)},
    )


def allow_spot_for_all_jobs(monkeypatch):
    monkeypatch.setattr(engine, "is_kind_allowed", lambda spec, kind: True)


def confirm_unstored_cancellation(monkeypatch):
    async def cancel(self, job):
        return job_response(JobId(job), jm.JobState.CANCELLED, 0, 0)

    monkeypatch.setattr(JobApi, "cancel", cancel)


def complete_after_first_task(monkeypatch):
    monkeypatch.setattr(Job, "is_complete", property(lambda self: self.done_count > 0))


def accept_unstored_submission(monkeypatch):
    async def submit(self, body):
        return job_response(JobId(json.loads(body)["id"]), jm.JobState.PENDING, 0, 0, 201)

    monkeypatch.setattr(JobApi, "submit", submit)


def report_all_jobs_pending(monkeypatch):
    async def query(self, job):
        return job_response(JobId(job), jm.JobState.PENDING, 0, 0)

    monkeypatch.setattr(JobApi, "query", query)


def place_nothing(monkeypatch):
    monkeypatch.setattr(SchedulingView, "pending_jobs", lambda self: [])


def reject_queries_of_first_job(monkeypatch):
    async def query(self, job):
        return ServerResponse(503, b"{}") if job == "wk-000001" else await answer_query(self, job)

    answer_query = JobApi.query
    monkeypatch.setattr(JobApi, "query", query)


INJECTED_BUGS = [
    # injected bug, the scenario that reveals it, the rule that breaks
    (omit_leader_condition, "late-transaction", "ran_twice"),
    (start_before_storing, "late-transaction", "ran_twice"),
    (release_silent_machines, "cut-from-workers", "ran_twice"),
    (forget_placements, "two-leaders-in-a-row", "ran_twice"),
    (ignore_quotas, "overload", "quota"),
    (allow_spot_for_all_jobs, "quiet", "wrong_place"),
    (confirm_unstored_cancellation, "cancelled", "ran_cancelled"),
    (complete_after_first_task, "quiet", "not_done"),
    (accept_unstored_submission, "quiet", "forgotten"),
    (reject_queries_of_first_job, "quiet", "forgotten"),
    (report_all_jobs_pending, "quiet", "invented"),
    (report_all_jobs_pending, "quiet", "went_back"),
    (place_nothing, "quiet", "nothing_ran"),
]


@pytest.mark.parametrize(
    ("inject_bug", "name", "rule"), INJECTED_BUGS, ids=[f"{row[0].__name__}-{row[2]}" for row in INJECTED_BUGS]
)
def test_judge_detects_injected_bug(monkeypatch, inject_bug, name, rule):
    inject_bug(monkeypatch)
    assert any(violation["rule"] == rule for seed in (1, 2) for violation in play(name, seed)["broken"])


INVALID_SCENARIOS = [
    ("duration_s = 0", "duration_s"),
    ("duration_s = 5\nnodes = 9", "$.nodes"),
    ('base = "quiet.toml"\nfaults = [{ kind = "flood", at_s = 1 }]', "$.faults[0].kind"),
    ('base = "quiet.toml"\nfaults = [{ kind = "node_kill", at_s = 1, node = "n7" }]', "$.faults[0].node"),
    ('base = "quiet.toml"\nfaults = [{ kind = "store_slow", at_s = 1, for_s = 3 }]', "$.faults[0].factor"),
    ('base = "quiet.toml"\nfaults = [{ kind = "store_outage", at_s = 900, for_s = 3 }]', "$.faults[0].at_s"),
    ('base = "quiet.toml"\nfaults = [{ kind = "late_writes", at_s = 1, for_s = 3 }]', "$.faults[0].share"),
    ('base = "quiet.toml"\nfaults = [{ kind = "late_writes", at_s = 1, for_s = 3, share = 1.5 }]', "<= 1"),
    ('base = "quiet.toml"\nfaults = [{ kind = "late_commands", at_s = 1, for_s = 3, share = 1 }]', "factor"),
    ('base = "quiet.toml"\nfaults = [{ kind = "cloud_outage", at_s = 1 }]', "$.faults[0].for_s"),
    ('base = "quiet.toml"\nfaults = [{ kind = "cancel_now", at_s = 1, hang_s = 3 }]', "$.faults[0].count"),
    ('base = "quiet.toml"\nfaults = [{ kind = "cancel_at_end", at_s = 1, for_s = 3, share = 2 }]', "<= 1"),
    ('base = "quiet.toml"\nfaults = [{ kind = "close_looks", at_s = 1, for_s = 3, share = 1 }]', "share: close_looks"),
    ('base = "quiet.toml"\nfaults = [{ kind = "node_kill", at_s = 1, node = "n1", at_once = true }]', "at_once: n"),
    ('base = "quiet.toml"\nfaults = [{ kind = "cancel_now", at_s = 1, count = 3, hang_s = 0 }]', "$.faults[0].hang_s"),
    ('base = "quiet.toml"\nclocks_s = [0, 9999]', "$.clocks_s"),
    ('base = "quiet.toml"\ncolour = "red"', "colour"),
    ('base = "none.toml"', "can't be read"),
    ("duration_s = ", "Invalid value"),
]


@pytest.mark.parametrize(("text", "message_part"), INVALID_SCENARIOS, ids=[row[1] for row in INVALID_SCENARIOS])
def test_invalid_scenario_error_names_file_and_field(tmp_path, text, message_part):
    (tmp_path / "quiet.toml").write_text((EXAMPLES[0].parent / "quiet.toml").read_text())
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as raised:
        load(str(path))
    assert "bad.toml" in str(raised.value) and message_part in str(raised.value)


def test_command_prints_one_object_and_exits_with_matching_status(tmp_path):
    def run(*arguments):
        return subprocess.run([sys.executable, "-m", "simulation", "run", *arguments], capture_output=True, text=True)

    valid = run(str(EXAMPLES[0].parent / "quiet.toml"), "--seed", "2", "--json")
    result = json.loads(valid.stdout)
    assert valid.returncode == 0 and result["broken"] == [] and set(result["served"]) >= {"sweep", "web"}
    assert all(key in result["takeovers"][0] for key in ("dead_s", "token_s", "first_placement_s"))
    unreadable = run(str(tmp_path / "absent.toml"))
    assert unreadable.returncode == 2 and "absent.toml" in unreadable.stderr and unreadable.stdout == ""
