"""Error boundaries: what is contained, what is logged, and how often."""

from __future__ import annotations

import logging

import pytest
from twisted.internet.task import Clock, LoopingCall

from meadowcross.common.error_boundary import REPEAT_INTERVAL_S, ErrorBoundary, RepeatFilter, contain_errors


def test_error_is_contained_and_logged_with_its_traceback(contained_errors):
    contained_errors.are_expected = True
    boundary = ErrorBoundary("placing", job="wk-000001")
    with boundary:
        raise OverflowError("injected")
    assert boundary.has_failed
    text = contained_errors.describe_first()
    assert 'activity="placing" job=wk-000001 machine=None' in text and "OverflowError: injected" in text


def test_block_without_an_error_has_not_failed():
    with ErrorBoundary("placing") as boundary:
        pass
    assert not boundary.has_failed


@pytest.mark.parametrize("stop", [KeyboardInterrupt, SystemExit, GeneratorExit])
def test_request_to_stop_is_not_contained(stop):
    with pytest.raises(stop), ErrorBoundary("placing"):
        raise stop


def test_same_error_is_logged_once_per_interval():
    repeat_filter = RepeatFilter()

    def is_logged(job, created_at):
        record = logging.LogRecord("common.errors", logging.ERROR, "", 0, "activity=%s job=%s", ("placing", job), None)
        record.created = created_at
        return repeat_filter.filter(record)

    assert is_logged("wk-000001", 0.0) and is_logged("wk-000002", 0.0)
    assert not is_logged("wk-000001", REPEAT_INTERVAL_S - 0.1)
    assert is_logged("wk-000001", REPEAT_INTERVAL_S)


def test_looping_call_continues_after_an_error(contained_errors):
    """Guards against a loop that its first exception ends, such as the one that sends heartbeats to the peers."""
    contained_errors.are_expected = True
    clock, calls = Clock(), []

    def fail_first():
        calls.append(clock.seconds())
        if len(calls) == 1:
            raise ValueError("injected")

    loop = LoopingCall(contain_errors("sending", fail_first))
    loop.clock = clock
    loop.start(1.0)
    clock.pump([1.0, 1.0])
    loop.stop()
    assert calls == [0.0, 1.0, 2.0]


def test_slow_step_is_logged_with_its_job(monkeypatch, caplog):
    """Guards against a leader that loses its lease in one long step, of which no line says which job it was for."""
    monkeypatch.setattr("meadowcross.common.error_boundary.perf_counter", iter([10.0, 12.5, 20.0, 20.1]).__next__)
    with caplog.at_level(logging.INFO, "common.steps"):
        with ErrorBoundary("choosing machines", job="wk-000001"):
            pass
        with ErrorBoundary("choosing machines", job="wk-000002"):
            pass
    lines = [record.getMessage() for record in caplog.records]
    assert lines == ['slow step activity="choosing machines" job=wk-000001 machine=None elapsed_s=2.50']
