"""The commands that the leader puts into its response to a heartbeat.

Only these responses carry reaps: a worker never executes the commands of a response late.
"""

from __future__ import annotations

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Attempt, TaskId
from meadowcross.jobs.job_table import JobTable
from meadowcross.workers.fencing import TaskAttempt
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import EXIT_DONE, Command, HeartbeatResponse, TaskReport
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("workers")


def respond_to_heartbeat(machine: Machine, job_table: JobTable, registry: WorkerRegistry) -> HeartbeatResponse:
    """Return the response to a heartbeat, according to the newest status of its machine."""
    commands = _stop_commands(machine)
    if not machine.reported.exited:
        return HeartbeatResponse(registry.token_for(machine), commands)
    finished = [task for task in machine.reported.exited if _is_result_safe(task, job_table)]
    token = registry.token_to_reap(machine, [_attempt_of(task) for task in finished])
    commands += [
        Command("reap", task.task, task.attempt)
        for task in finished
        if machine.proof.fence.may_reap(_attempt_of(task), token)
    ]
    return HeartbeatResponse(token, commands)


def _stop_commands(machine: Machine) -> list[Command]:
    commands = [
        Command("stop", str(placement.task), placement.attempt, placement.grace_s)
        for placement in machine.placements.values()
        if placement.stop_requested_at is not None and placement.may_have_started
    ]
    for stale_task in machine.reported.stale:
        log.info("stopping stale task task=%s attempt=%d machine=%s", stale_task.task, stale_task.attempt, machine.id)
        commands.append(Command("stop", stale_task.task, stale_task.attempt, 0.0))
    return commands


def _is_result_safe(task: TaskReport, job_table: JobTable) -> bool:
    """Whether the result that an exited task's report proves is stored, or is not needed."""
    task_id = TaskId.parse(task.task)
    job = job_table.jobs.get(task_id.job)
    if job is None or task.exit_reason != EXIT_DONE:
        return True
    return task_id.number in job.stored_done_tasks or job.cancelled_at is not None or not job.done_flags[task_id.number]


def _attempt_of(task: TaskReport) -> TaskAttempt:
    return TaskAttempt(TaskId.parse(task.task), Attempt(task.attempt))
