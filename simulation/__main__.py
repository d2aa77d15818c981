"""The command `python3 -m simulation run FILE [--seed N] [--json]`: play a scenario file and check its rules."""

from __future__ import annotations

import argparse
import json
import logging
import os
import sys
from typing import Any


def parser() -> argparse.ArgumentParser:
    """The command's options."""
    options = argparse.ArgumentParser(prog="python3 -m simulation", description="Whole clusters in simulated time.")
    verbs = options.add_subparsers(dest="verb", required=True)
    run = verbs.add_parser("run", help="play a scenario file and judge it; exit 1 if a rule broke")
    run.add_argument("file", metavar="FILE", help="a scenario (TOML), as under examples/simulation")
    run.add_argument("--seed", type=int, default=1, metavar="N", help="draws everything that is left to luck (1)")
    run.add_argument("--json", action="store_true", help="an object instead of lines")
    run.add_argument("--log", choices=("error", "info", "debug"), help="what the nodes log, to standard error")
    run.add_argument("--history", metavar="FILE", help="write what happened, a line each")
    return options


class _SimulationFormatter(logging.Formatter):
    """Formats log lines as a controller does, preceded by the simulated time and the name of the running process."""

    def __init__(self, simulation: Any) -> None:
        super().__init__("%(levelname).1s %(name)s: %(message)s")
        self._simulation = simulation

    def format(self, record: logging.LogRecord) -> str:
        from simulation.net import START

        node = self._simulation.current_process
        level, _, text = super().format(record).partition(" ")
        return f"{self._simulation.now - START:10.4f} {node} {level} {node} {text}"


def lines_of(result: dict[str, Any]) -> list[str]:
    """A result as lines of text."""
    lines = [
        f"broken: {violation['rule']} at {violation['at_s']:.1f} s: {violation['what']}"
        for violation in result["broken"]
    ]
    lines += [f"served: {name} {share:.3f}" for name, share in result["served"].items()]
    for takeover in result["takeovers"]:
        placed = takeover["first_placement_s"]
        lines.append(
            f"takeover: {takeover['node']} with token {takeover['token']} {takeover['token_s']:.2f} s after an end at "
            f"{takeover['dead_s']:.1f} s, placed first after {'-' if placed is None else f'{placed:.2f}'} s"
        )
    lines.append(f"{result['started']} starts, {result['lost']} lost, hash {result['hash'][:16]}")
    return lines


def main(arguments: list[str]) -> int:
    """Play the scenario and return the exit status: 0, 1 if a rule broke, 2 if the file can't be used."""
    options = parser().parse_args(arguments)
    from simulation.scenario import ScenarioError, load

    try:
        scenario = load(options.file)
    except ScenarioError as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    from simulation.world import Lab

    lab = Lab(scenario, options.seed, options.history is not None)
    root = logging.getLogger()
    if options.log is not None:
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(_SimulationFormatter(lab.simulation))
        root.handlers[:] = [handler]
        root.setLevel(options.log.upper())
    else:
        root.setLevel(logging.CRITICAL)
    result = lab.play()
    if options.history is not None:
        with open(options.history, "w", encoding="utf-8") as file:
            file.writelines(lab.judge.history or [])
    print(json.dumps(result) if options.json else "\n".join(lines_of(result)))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED", "random") == "random":
        # The order of sets of strings depends on the hash seed; with a random one, one seed would have many histories.
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "simulation", *sys.argv[1:]])
    sys.exit(main(sys.argv[1:]))
