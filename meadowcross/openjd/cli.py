"""The commands `ticket` (for submitters), `tickets` (runs a gateway) and `keys` (a site's certificate authority)."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

PERMISSIVE_SUBMITTER = "anyone"
"""Name of the submitter with wide limits that `check` and `explain` use without a site's file."""


def add_ticket_commands(options: argparse.ArgumentParser) -> None:
    """Add the actions of `meadowcross ticket` to its parser."""
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

    submit = commands.add_parser("submit", help="submit the ticket to a gateway")
    submit.add_argument("file", metavar="FILE")
    submit.add_argument("-p", "--parameter", metavar="NAME=VALUE", action="append", default=[], help="repeatable")
    submit.add_argument("--key", metavar="TEXT", required=True, help="your own; repeated, it is the same ticket")
    status = commands.add_parser("status", help="a ticket's state, step by step; without ID all open ones")
    status.add_argument("id", metavar="ID", nargs="?")
    cancel = commands.add_parser("cancel", help="cancel a ticket")
    cancel.add_argument("id", metavar="ID")
    for command, act in ((submit, _submit), (status, _status), (cancel, _cancel)):
        command.add_argument("--gateway", metavar="HOST:PORT", required=True)
        command.add_argument("--submitter", metavar="NAME", required=True, help="yourself, as the site names you")
        command.add_argument("--secret", metavar="FILE", help="sign the request with the secret in this file")
        command.add_argument("--authority", metavar="FILE", help="TLS: the certificate that the gateway's is signed by")
        command.add_argument("--certificate", metavar="FILE", help="TLS: your own certificate; its key is FILE.key")
        command.add_argument("--json", action="store_true", help="print the answer as it is")
        command.set_defaults(act=act)


def add_gateway_commands(options: argparse.ArgumentParser) -> None:
    """Add the actions of `meadowcross tickets` to its parser."""
    commands = options.add_subparsers(metavar="ACTION", required=True)
    serve = commands.add_parser("serve", help="run a gateway")
    serve.add_argument("--config", metavar="FILE", required=True, help="the gateway's settings (XML)")
    serve.add_argument("--check", action="store_true", help="read the files, report, and exit")
    serve.set_defaults(act=_serve)


def add_key_commands(options: argparse.ArgumentParser) -> None:
    """Add the actions of `meadowcross keys` to its parser."""
    commands = options.add_subparsers(metavar="ACTION", required=True)
    init = commands.add_parser("init", help="make a site's own small authority")
    init.add_argument("--site", metavar="NAME", default="site")
    issue = commands.add_parser("issue", help="a key and a certificate for a gateway or a submitter")
    issue.add_argument("name", metavar="NAME")
    issue.add_argument("--host", metavar="HOST", action="append", help="of a gateway: where it is reached; repeatable")
    for command, days in ((init, 3650), (issue, 365)):
        command.add_argument("--days", metavar="N", type=int, default=days, help=f"valid for (default: {days})")
    revoke = commands.add_parser("revoke", help="make gateways refuse a certificate")
    revoke.add_argument("name", metavar="NAME")
    list_command = commands.add_parser("list", help="what was issued")
    list_command.add_argument("--json", action="store_true")
    for command, act in ((init, _keys_init), (issue, _keys_issue), (revoke, _keys_revoke), (list_command, _keys_list)):
        command.add_argument("--directory", metavar="DIR", required=True, help="the authority's")
        command.set_defaults(act=_with_credential_errors(act))


def _with_credential_errors(act: Callable[[argparse.Namespace], None]) -> Callable[[argparse.Namespace], int]:
    """Make an action print a CredentialError as one line and return the exit status."""

    def run(options: argparse.Namespace) -> int:
        from meadowcross.openjd.keys import CredentialError

        try:
            act(options)
        except CredentialError as error:
            print(f"meadowcross keys: {error}", file=sys.stderr)
            return 2
        return 0

    return run


def _keys_init(options: argparse.Namespace) -> None:
    from meadowcross.openjd.keys import Authority

    Authority.init(options.directory, options.site, options.days)
    print(f"{options.directory}: an authority; keep its key where only you can read it")


def _keys_issue(options: argparse.Namespace) -> None:
    from meadowcross.openjd.keys import SERVER_KIND, SUBMITTER_KIND, Authority

    kind = SERVER_KIND if options.host else SUBMITTER_KIND
    path = Authority(options.directory).issue(options.name, kind, options.days, options.host or ())
    print(f"{path}.pem and {path}.key: a {kind}'s, for {options.days} days")


def _keys_revoke(options: argparse.Namespace) -> None:
    from meadowcross.openjd.keys import Authority

    print(f"revoked {Authority(options.directory).revoke(options.name)}")


def _keys_list(options: argparse.Namespace) -> None:
    import msgspec

    from meadowcross.openjd.keys import Authority

    issued = Authority(options.directory).list_issued()
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(issued)).decode())
        return
    for entry in issued:
        print(
            f"{entry.name:32} {entry.kind:10} until {entry.until}  {entry.serial}{'  revoked' if entry.revoked else ''}"
        )


def _serve(options: argparse.Namespace) -> int:
    from meadowcross.common.settings import SettingsError
    from meadowcross.openjd.gateway import load_gateway_settings, serve
    from meadowcross.openjd.keys import CredentialError
    from meadowcross.openjd.site import load_site

    try:
        if options.check:
            settings = load_gateway_settings(options.config)
            count = len(load_site(settings.site).submitters)
            print(f"{options.config}: good, gateway {settings.name}, {count} submitters")
            return 0
        return serve(options.config)
    except (SettingsError, CredentialError) as error:
        return _fail(str(error))


def _submit(options: argparse.Namespace) -> int:
    import msgspec

    parameters = _parse_parameters(options.parameter)
    if isinstance(parameters, str):
        return _fail(parameters)
    try:
        with open(options.file, "rb") as file:
            document = file.read(1024 * 1024).decode()
    except OSError as error:
        return _fail(f"{options.file}: can't be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _fail(f"{options.file}: document: not UTF-8 at byte {error.start}")
    body = msgspec.json.encode({"key": options.key, "document": document, "parameters": parameters})
    return _request(options, "POST", f"/v1/submitters/{options.submitter}/tickets", body)


def _status(options: argparse.Namespace) -> int:
    path = f"/v1/submitters/{options.submitter}/tickets"
    return _request(options, "GET", f"{path}/{options.id}" if options.id else path, None)


def _cancel(options: argparse.Namespace) -> int:
    return _request(options, "POST", f"/v1/submitters/{options.submitter}/tickets/{options.id}/cancel", b"{}")


def _request(options: argparse.Namespace, method: str, path: str, body: bytes | None) -> int:
    """Send one request to the gateway, and print the response, or its error in one line."""
    import msgspec

    from meadowcross.common.reactor_runner import run_until_complete
    from meadowcross.openjd.client import GatewayUnavailableError, send_request
    from meadowcross.openjd.keys import CredentialError

    try:
        status, response_body = run_until_complete(send_request(options, method, path, body))
    except (GatewayUnavailableError, CredentialError) as error:
        return _fail(str(error))
    if status not in (200, 201):
        rejection = msgspec.json.decode(response_body, type=dict[str, str]) if response_body.startswith(b"{") else {}
        field = f"{rejection['field']}: " if "field" in rejection else ""
        return _fail(f"{field}{rejection.get('error', rejection.get('reason', ''))} ({status})")
    if options.json:
        print(response_body.decode().strip())
        return 0
    result = msgspec.json.decode(response_body)
    for ticket in result.get("tickets", [result]):
        print(f"{ticket['id']} {ticket['state']}: {ticket['name']}")
        for step in ticket["steps"]:
            reason = f" ({step['why']})" if "why" in step else ""
            print(f"  {step['name']}: {step['tasks']} tasks, {step['state']}{reason} {step.get('job', '')}".rstrip())
    return 0


def _parse_parameters(arguments: list[str]) -> dict[str, str] | str:
    """Parse `NAME=VALUE` arguments; the result is an error message if one is wrong."""
    parameters: dict[str, str] = {}
    for argument in arguments:
        name, equals, value = argument.partition("=")
        if not equals or not name:
            return f"-p {argument[:60]}: expected NAME=VALUE"
        if name in parameters:
            return f"-p {name[:60]}: given twice"
        parameters[name] = value
    return parameters


def _check(options: argparse.Namespace) -> int:
    return _plan(options, explain=False)


def _explain(options: argparse.Namespace) -> int:
    return _plan(options, explain=True)


def _fail(text: str) -> int:
    """Print an error in one line, and return the exit status."""
    print(f"meadowcross ticket: {text}", file=sys.stderr)
    return 2


def _plan(options: argparse.Namespace, explain: bool) -> int:
    """Plan a ticket, and print that it is good, or with `explain` its native jobs."""
    import msgspec

    from meadowcross.common.settings import SettingsError
    from meadowcross.jobs.messages import Priority
    from meadowcross.openjd.plan import build_plan
    from meadowcross.openjd.site import Site, Submitter, load_site
    from meadowcross.openjd.template import TicketError

    parameters = _parse_parameters(options.parameter)
    if isinstance(parameters, str):
        return _fail(parameters)
    try:
        if options.site is not None:
            site = load_site(options.site)
        else:
            site = Site([Submitter(PERMISSIVE_SUBMITTER, "any", "any", Priority.NORMAL, "any", max_gpus=64.0)])
    except SettingsError as error:
        return _fail(str(error))
    name = options.submitter or (site.submitters[0].name if len(site.submitters) == 1 else None)
    submitter = site.find_submitter(name) if name is not None else None
    if submitter is None:
        known_names = ", ".join(entry.name for entry in site.submitters)
        return _fail(f"--submitter {name}: unknown" if name else f"--submitter: say which of {known_names}")
    try:
        with open(options.file, "rb") as file:
            raw = file.read(1024 * 1024)
    except OSError as error:
        return _fail(f"{options.file}: can't be read: {error.strerror}")
    try:
        plan = build_plan(raw, parameters, submitter)
    except TicketError as error:
        return _fail(f"{options.file}: {error}")
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(plan)).decode())
    elif not explain:
        print(f"{options.file}: good, {len(plan.steps)} steps, {plan.tasks} tasks")
    else:
        print(f"{plan.name}: as {plan.submitter}, team {plan.team}, class {plan.job_class}, {plan.priority}")
        for number, step in enumerate(plan.steps):
            after = ", ".join(plan.steps[dependency].name for dependency in step.dependencies) or "at once"
            machines = " ".join([*(step.types or []), *([step.zone] if step.zone else [])]) or "any machine"
            print(
                f"  {number} {step.name}: {step.tasks} tasks of {step.cpus:g} CPUs, {step.gpus:g} GPUs,"
                f" {step.memory_gb:g} GB on {machines}; after: {after}; kept: {'; '.join(step.preserved)}"
            )
    return 0
