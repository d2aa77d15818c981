"""Command line of a controller process: arguments, logging and the reactor."""

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
EXIT_OK, EXIT_USAGE = 0, 2


def build_parser(program: str) -> argparse.ArgumentParser:
    """The options of `run.py` and of `meadowcross run`."""
    options = argparse.ArgumentParser(prog=program, description="A controller node of meadowcross.")
    options.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    options.add_argument(
        "--operator-settings",
        metavar="FILE",
        help=f"the operators' own settings (XML); default {DEFAULT_OPERATOR_SETTINGS_PATH}, if it exists",
    )
    options.add_argument("--check", action="store_true", help="read both settings files, report, and exit")
    options.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    return options


def main(arguments: list[str], program: str = "run.py") -> int:
    """Run a controller until it is told to stop. Returns the exit status: 0, or 2 for settings that can't be used."""
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
    """Build and start a controller on the process's reactor, and return when that has stopped."""
    # What a leader allocates lives long or is freed by its count; looking through it all for cycles every few hundred
    # objects took a tenth of its time.
    gc.set_threshold(GC_THRESHOLD_OBJECTS, GC_GENERATION_RATIO, GC_GENERATION_RATIO)
    # Only now: --help and --check need no reactor, and a start's time is counted.
    from twisted.internet import reactor  # noqa: PLC0415
    from twisted.internet.defer import Deferred  # noqa: PLC0415

    from meadowcross.controller.controller import Controller  # noqa: PLC0415

    controller = Controller(reactor, settings, operator)
    controller.start()
    loop: Any = reactor
    loop.addSystemEventTrigger(
        "before", "shutdown", lambda: Deferred.fromCoroutine(controller.transfer_leadership("told to stop"))
    )
    gc.freeze()
    loop.run()
