"""Fixtures that all tests share, and the plugin that marks known failures."""

from __future__ import annotations

import gc
import logging
import os
import sys
from collections.abc import Iterator

import pytest
from twisted.logger import globalLogPublisher

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from meadowcross.common import error_boundary
from tests.support.contained_errors import ContainedErrors
from tests.support.unhandled_errors import UnhandledErrors
from tests.support.world import World

pytest_plugins = ["tests.support.known_red"]


@pytest.fixture
def world() -> World:
    """A controller's components on a fake clock with simulated services."""
    return World()


def pytest_unconfigure() -> None:
    """Disables logging: coroutines that are closed when the interpreter exits would log errors of no interest."""
    logging.disable()


@pytest.fixture(autouse=True)
def unhandled_errors() -> Iterator[UnhandledErrors]:
    """Fails a test that leaves an unhandled error in a Deferred.

    Twisted logs such an error only when the Deferred is collected, so garbage is collected before the test ends.
    """
    errors = UnhandledErrors()
    globalLogPublisher.addObserver(errors)
    try:
        yield errors
        gc.collect()
    finally:
        globalLogPublisher.removeObserver(errors)
    assert not errors.tracebacks, f"{len(errors.tracebacks)} unhandled errors in Deferreds: {errors.tracebacks[0]}"


@pytest.fixture(autouse=True)
def contained_errors() -> Iterator[ContainedErrors]:
    """Fails a test in which an error boundary contained an error, unless the test expects that."""
    errors = ContainedErrors()
    error_boundary.repeat_filter.reset()
    error_boundary.log.addHandler(errors)
    try:
        yield errors
    finally:
        error_boundary.log.removeHandler(errors)
    assert errors.are_expected or not errors.records, errors.describe_first()
