"""`meadowcross ticket`: check a ticket, or explain what it would become, without submitting it."""

from __future__ import annotations

import argparse
import sys

PERMISSIVE = "anyone"


def add(options: argparse.ArgumentParser) -> None:
    commands = options.add_subparsers(metavar="ACTION", required=True)
    for name, act, text in (
        ("check", _check, "whether the ticket can be taken"),
        ("explain", _explain, "the native jobs that it would become"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("file", metavar="FILE", help="the ticket: an Open Job Description template, YAML or JSON")
        command.add_argument("-p", "--parameter", metavar="NAME=VALUE", action="append", default=[], help="repeatable")
        command.add_argument("--site", metavar="FILE", help="the site's submitters (XML)")
        command.add_argument("--submitter", metavar="NAME", help="as whom; required if the site has several")
        command.add_argument("--json", action="store_true", help="print one object")
        command.set_defaults(act=act)


def _check(options: argparse.Namespace) -> int:
    return _planned(options, explain=False)


def _explain(options: argparse.Namespace) -> int:
    return _planned(options, explain=True)


def _say(text: str) -> int:
    print(f"meadowcross ticket: {text}", file=sys.stderr)
    return 2


def _planned(options: argparse.Namespace, explain: bool) -> int:
    import msgspec

    from meadowcross.common.settings import SettingsError
    from meadowcross.jobs.messages import Priority
    from meadowcross.tickets.plan import plan_of
    from meadowcross.tickets.reading import TicketError
    from meadowcross.tickets.site import Site, Submitter, load

    parameters: dict[str, str] = {}
    for given in options.parameter:
        name, equals, value = given.partition("=")
        if not equals or not name:
            return _say(f"-p {given[:60]}: expected NAME=VALUE")
        if name in parameters:
            return _say(f"-p {name[:60]}: given twice")
        parameters[name] = value
    try:
        if options.site is not None:
            site = load(options.site)
        else:
            site = Site([Submitter(PERMISSIVE, "any", "any", Priority.NORMAL, "any", max_gpus=64.0)])
    except SettingsError as error:
        return _say(str(error))
    name = options.submitter or (site.submitters[0].name if len(site.submitters) == 1 else None)
    submitter = site.named(name) if name is not None else None
    if submitter is None:
        known = ", ".join(one.name for one in site.submitters)
        return _say(f"--submitter {name}: unknown" if name else f"--submitter: say which of {known}")
    try:
        with open(options.file, "rb") as file:
            raw = file.read(1024 * 1024)
    except OSError as error:
        return _say(f"{options.file}: can't be read: {error.strerror}")
    try:
        plan = plan_of(raw, parameters, submitter)
    except TicketError as error:
        return _say(f"{options.file}: {error}")
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(plan)).decode())
    elif not explain:
        print(f"{options.file}: good, {len(plan.steps)} steps, {plan.tasks} tasks")
    else:
        print(f"{plan.name}: as {plan.submitter}, team {plan.team}, class {plan.job_class}, {plan.priority}")
        for number, step in enumerate(plan.steps):
            after = ", ".join(plan.steps[one].name for one in step.after) or "at once"
            bound = " ".join([*(step.types or []), *([step.zone] if step.zone else [])]) or "any machine"
            print(
                f"  {number} {step.name}: {step.tasks} tasks of {step.cpus:g} CPUs, {step.gpus:g} GPUs,"
                f" {step.memory_gb:g} GB on {bound}; after: {after}; kept: {'; '.join(step.kept)}"
            )
    return 0
