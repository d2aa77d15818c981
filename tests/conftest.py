"""Fixtures that all tests share."""

from __future__ import annotations

import gc
import logging
import os
import sys
from collections.abc import Iterator

import pytest
from twisted.logger import globalLogPublisher

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from tests.support.unhandled_errors import UnhandledErrors
from tests.support.world import World

pytest_plugins = ["tests.support.known_red"]


@pytest.fixture
def world() -> World:
    return World()


def pytest_unconfigure() -> None:
    """Coroutines that still wait when the interpreter ends have nothing left to tell."""
    logging.disable()


@pytest.fixture(autouse=True)
def unhandled_errors() -> Iterator[UnhandledErrors]:
    """Fails the test that leaves an error of a Deferred which nobody handles.

    Twisted logs such an error only when the Deferred is collected, so garbage is collected before the test is over.
    """
    errors = UnhandledErrors()
    globalLogPublisher.addObserver(errors)
    try:
        yield errors
        gc.collect()
    finally:
        globalLogPublisher.removeObserver(errors)
    assert not errors.found, f"{len(errors.found)} errors of Deferreds that nobody handles: {errors.found[0]}"
