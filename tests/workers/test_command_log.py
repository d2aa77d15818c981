"""Log lines and counts of the commands of one term."""

from __future__ import annotations

import logging

import pytest

from meadowcross.common.types import FencingToken, Instant, MachineId
from meadowcross.workers.command_log import COUNTS_INTERVAL_S, MAX_RELEASED_ATTEMPTS, CommandLog, SentCommands
from meadowcross.workers.messages import Command, Heartbeat, TaskReport, TaskState

MACHINE, TASK, TOKEN = MachineId("i-1"), "wk-000001/0", FencingToken(7)


def make_heartbeat(*tasks):
    return Heartbeat(MACHINE, "i-1:9000", "small", "east", True, 1, 5, TOKEN, None, list(tasks))


def running_task(attempt=2):
    return TaskReport(TASK, attempt, TaskState.RUNNING)


def test_released_attempt_that_returns_is_logged_once(caplog):
    command_log = CommandLog()
    command_log.on_heartbeat_response(make_heartbeat(), TOKEN, [Command("reap", TASK, 2)])
    for _ in range(2):
        command_log.check_stale_tasks(make_heartbeat(running_task()), [running_task()])
    (record,) = [record for record in caplog.records if record.levelno == logging.ERROR]
    assert record.getMessage().startswith(f"released attempt reported again task={TASK} attempt=2 machine=i-1")


@pytest.mark.parametrize(("machine", "attempt"), [(MACHINE, 3), (MachineId("i-2"), 2)])
def test_stale_task_that_was_not_released_is_not_logged(caplog, machine, attempt):
    command_log = CommandLog()
    command_log.on_released(machine, TASK, attempt)
    command_log.check_stale_tasks(make_heartbeat(running_task()), [running_task()])
    assert not caplog.records


def test_number_of_remembered_attempts_is_bounded(caplog):
    command_log = CommandLog()
    for attempt in range(MAX_RELEASED_ATTEMPTS + 1):
        command_log.on_released(MACHINE, TASK, attempt)
    command_log.check_stale_tasks(make_heartbeat(), [running_task(0)])
    assert not caplog.records
    command_log.check_stale_tasks(make_heartbeat(), [running_task(1)])
    assert len(caplog.records) == 1


def test_each_start_stop_and_reap_is_logged_with_attempt_token_and_incarnation(caplog):
    caplog.set_level(logging.DEBUG, "workers")
    command_log = CommandLog()
    start, stop = Command("start", TASK, 2), Command("stop", TASK, 1, 0.0)
    command_log.on_sent(SentCommands(MACHINE, TOKEN, 1, [start], [], [stop]))
    command_log.on_heartbeat_response(make_heartbeat(), TOKEN, [Command("reap", TASK, 1)])
    sent, answered = (record.getMessage() for record in caplog.records)
    assert f"token=7 incarnation=1 starts={TASK}@2 repeated_starts=- stops={TASK}@1" in sent
    assert f"token=7 incarnation=1 sequence=5 seen_token=7 stops=- reaps={TASK}@1" in answered


def test_counts_are_logged_once_in_an_interval(caplog):
    caplog.set_level(logging.INFO, "workers")
    command_log = CommandLog()
    command_log.log_counts_if_due(TOKEN, Instant(1.0))
    command_log.on_sent(SentCommands(MACHINE, TOKEN, 1, [Command("start", TASK, 2)], [], []))
    command_log.log_counts_if_due(TOKEN, Instant(COUNTS_INTERVAL_S))
    assert not caplog.records
    command_log.log_counts_if_due(TOKEN, Instant(COUNTS_INTERVAL_S + 1.0))
    command_log.log_counts_if_due(TOKEN, Instant(2 * COUNTS_INTERVAL_S + 1.0))
    (record,) = caplog.records
    assert "worker commands term=7 elapsed_s=60 requests=1 starts=1 repeated_starts=0 stops=0" in record.getMessage()
