"""Command line of the controller process: arguments, settings files, logging and the reactor."""

from __future__ import annotations

import argparse
import gc
import os
import sys
from typing import Any

import meadowcross
from meadowcross.common.logging import configure_logging
from meadowcross.common.settings import (
    DEFAULT_OPERATOR_SETTINGS_PATH,
    OperatorSettings,
    Settings,
    SettingsError,
    load_operator_settings,
    load_settings,
)

GC_THRESHOLD_OBJECTS, GC_GENERATION_RATIO = 100_000, 50
"""Garbage collector: new objects per collection, and collections of a generation per one of the next generation."""
EXIT_OK, EXIT_USAGE = 0, 2


def build_parser(program: str) -> argparse.ArgumentParser:
    """Return the parser of the options of `run.py` and `meadowcross run`."""
    parser = argparse.ArgumentParser(prog=program, description="A controller node of meadowcross.")
    parser.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    parser.add_argument(
        "--operator-settings",
        metavar="FILE",
        help=f"the operators' own settings (XML); default {DEFAULT_OPERATOR_SETTINGS_PATH}, if it exists",
    )
    parser.add_argument("--check", action="store_true", help="read both settings files, report, and exit")
    parser.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    return parser


def main(arguments: list[str], program: str = "run.py") -> int:
    """Run a controller until the process gets a signal to stop, or only check the settings files.

    Returns the exit status: 0, or 2 for settings files that can't be used.
    """
    options = build_parser(program).parse_args(arguments)
    try:
        settings = load_settings(options.config)
        path = options.operator_settings
        if path is None and os.path.exists(DEFAULT_OPERATOR_SETTINGS_PATH):
            path = DEFAULT_OPERATOR_SETTINGS_PATH
        operator = load_operator_settings(path) if path is not None else OperatorSettings()
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if options.check:
        print(f"{options.config}: good, node {settings.host_name}")
        print(f"{path}: good" if path else "no operators' settings: defaults apply")
        return EXIT_OK
    configure_logging(settings.host_name)
    run_controller(settings, operator)
    return EXIT_OK


def run_controller(settings: Settings, operator: OperatorSettings) -> None:
    """Build and start a controller on the process's reactor, and return when the reactor has stopped."""
    # Most objects of a leader live long or are freed by reference counting. Searching for cycles after every few
    # hundred new objects took a tenth of its time.
    gc.set_threshold(GC_THRESHOLD_OBJECTS, GC_GENERATION_RATIO, GC_GENERATION_RATIO)
    # Imported here to keep --help and --check fast, which need no reactor.
    from twisted.internet import reactor  # noqa: PLC0415
    from twisted.internet.defer import Deferred  # noqa: PLC0415

    from meadowcross.controller.controller import Controller  # noqa: PLC0415

    controller = Controller(reactor, settings, operator)
    controller.start()
    loop: Any = reactor
    loop.addSystemEventTrigger(
        "before", "shutdown", lambda: Deferred.fromCoroutine(controller.transfer_leadership("process is stopping"))
    )
    gc.freeze()
    loop.run()
