"""Reads scenarios from TOML files and validates them: a small deployment, its jobs and its faults.

`base` names a scenario file in the same directory; its top-level values are the defaults.
"""

from __future__ import annotations

import os
import tomllib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field
from msgspec.structs import fields

from simulation.fields import Amount, Count, Name, Seconds, Share, Span


class ScenarioError(Exception):
    """A scenario is unusable; the message names the file, the field and the expected value."""


class Type(Struct, forbid_unknown_fields=True):
    """A machine type of the cloud."""

    name: Name
    cpus: Amount
    memory_gb: Amount
    zones: Annotated[list[Name], Meta(min_length=1)]
    price: Amount = 0.4
    spot_price: Amount = 0.1
    boot_s: Seconds = 10.0
    most: Count = 50
    """Most machines of this type per zone, for spot and on-demand machines each."""
    boot_fail: Share = 0.0
    """Share of created machines that never boot."""


class Team(Struct, forbid_unknown_fields=True):
    """A team with its guarantee and its quota in CPUs; 0: none."""

    name: Name
    cpus: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    cpus_max: Annotated[float, Meta(ge=0, le=1e6)] = 0.0


class Jobs(Struct, forbid_unknown_fields=True):
    """`count` jobs of a class; the first is submitted `at_s` after the start, then one more every `every_s`."""

    job_class: Name = field(name="class")
    team: Name
    tasks: Count = 1
    count: Count = 1
    at_s: Seconds = 1.0
    every_s: Seconds = 1.0
    kind: Literal["array", "gang", "service"] = "array"
    priority: Literal["production", "high", "normal", "low"] = "normal"
    cpus: Amount = 1.0
    memory_gb: Amount = 1.0
    run_s: Span = 20.0
    apart_s: Seconds = 0.0
    """Each task runs so much longer than the task with the number below."""
    image_gb: Amount = 0.5
    deadline_s: Span | None = None
    checkpoint_s: Seconds = 0.0
    save_s: Seconds = 0.0
    spot: bool = True
    one_zone: bool = False
    spread: bool = False
    types: list[Name] | None = None
    cancel_after_s: Span | None = None


FaultKind = Literal[
    "node_kill",
    "node_freeze",
    "node_slow",
    "node_cut",
    "peers_refuse",
    "store_outage",
    "store_slow",
    "store_refuses",
    "store_late",
    "kill_after_write",
    "zone_cut",
    "machine_die",
    "machine_hang",
    "machine_cut",
    "capacity",
    "store_loss",
    "machine_deaf",
    "machine_faulty",
    "machine_back",
    "report_copies",
    "late_writes",
    "late_commands",
    "command_copies",
    "cloud_outage",
    "machine_mute",
    "cancel_now",
    "cancel_at_end",
    "close_looks",
    "odd_requests",
]


class Fault(Struct, forbid_unknown_fields=True):
    """One fault; `REQUIRED_FIELDS` and `OPTIONAL_FIELDS` list the fields of each kind."""

    kind: FaultKind
    at_s: Seconds
    node: str | None = None
    """A node's name, `leader`, `follower` or `all`."""
    for_s: Span | None = None
    back_s: Span | None = None
    """Seconds until a killed controller or machine starts again."""
    apart: Literal["store", "workers", "peers", "all"] | None = None
    way: Literal["both", "out", "in"] = "both"
    """Direction of a partition; `out`: packets that the node sends are affected."""
    mode: Literal["hold", "reset", "refuse"] = "hold"
    count: Count | None = None
    zone: str | None = None
    factor: Annotated[float, Meta(ge=0, le=1000)] | None = None
    share: Share | None = None
    """Share of transactions or direct commands that are carried out late and get no response, or are copied."""
    prefix: str | None = None
    what: Literal["all", "back", "prefix", "keys", "older"] | None = None
    """Lost data: everything; changes of the last `for_s`; keys with `prefix`; `count` keys; their latest versions."""
    hang_s: Span | None = None
    """Seconds for which up to eight machines with tasks of the cancelled jobs hang."""
    at_once: bool = False
    """Whether writes are carried out in time, so that only their responses are lost."""
    for_next: bool = False
    """Whether copies are kept until the next leader is elected, and then reach all controllers."""
    anew: bool = True
    """Whether a restarted worker resets its incarnation and sequence number, or continues them."""


REQUIRED_FIELDS: dict[str, tuple[str, ...]] = {
    "node_kill": ("node",),
    "node_freeze": ("node", "for_s"),
    "node_slow": ("node", "for_s", "factor"),
    "node_cut": ("node", "for_s", "apart"),
    "peers_refuse": ("for_s",),
    "store_outage": ("for_s",),
    "store_slow": ("for_s", "factor"),
    "store_refuses": ("node", "for_s"),
    "store_late": ("count", "for_s"),
    "kill_after_write": ("count",),
    "zone_cut": ("zone", "for_s"),
    "machine_die": ("count",),
    "machine_hang": ("count", "for_s"),
    "machine_cut": ("count", "for_s"),
    "machine_deaf": ("count", "for_s"),
    "machine_faulty": ("count", "for_s"),
    "machine_mute": ("count", "for_s"),
    "machine_back": ("count", "back_s"),
    "cancel_now": ("count",),
    "cancel_at_end": ("share", "for_s"),
    "close_looks": ("for_s",),
    "odd_requests": ("for_s",),
    "report_copies": ("for_s", "factor"),
    "late_writes": ("share", "for_s"),
    "late_commands": ("share", "for_s", "factor"),
    "command_copies": ("share", "for_s", "factor"),
    "cloud_outage": ("for_s",),
    "capacity": ("factor", "for_s"),
    "store_loss": ("what",),
}
"""The required fields of each kind."""
OPTIONAL_FIELDS: dict[str, tuple[str, ...]] = {
    "node_kill": ("back_s",),
    "node_cut": ("way", "mode"),
    "zone_cut": ("mode",),
    "machine_die": ("zone",),
    "machine_hang": ("zone",),
    "machine_cut": ("zone", "mode"),
    "machine_deaf": ("zone",),
    "machine_faulty": ("zone",),
    "machine_mute": ("zone",),
    "machine_back": ("zone", "anew"),
    "report_copies": ("for_next",),
    "late_writes": ("at_once",),
    "command_copies": ("count",),
    "cancel_now": ("hang_s",),
    "store_loss": ("for_s", "prefix", "count"),
}
"""The optional fields of each kind; kinds that are not listed have none."""


class State(Struct, forbid_unknown_fields=True):
    """Limits and latency of the state service."""

    rps: Amount = 350.0
    write_rps: Amount = 150.0
    value_kb: Amount = 16.0
    txn_ops: Count = 24
    latency_ms: Amount = 4.0


class Cloud(Struct, forbid_unknown_fields=True):
    """Rate limit and delays of the cloud."""

    rps: Amount = 7.0
    list_lag_s: Seconds = 5.0
    latency_ms: Amount = 100.0


class Workers(Struct, forbid_unknown_fields=True):
    """Time limits of workers and their bandwidth for images."""

    report_s: Span = 3.0
    lease_s: Span = 16.0
    cancel_s: Span = 41.0
    gang_wait_s: Span = 50.0
    gang_peer_s: Span = 8.0
    fetch_gb_per_s: Amount = 1.0


class Scenario(Struct, forbid_unknown_fields=True):
    """A deployment with its jobs and faults; all times are in simulated seconds."""

    duration_s: Span
    jobs: Annotated[list[Jobs], Meta(min_length=1)]
    types: Annotated[list[Type], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]
    nodes: Annotated[int, Meta(ge=1, le=7)] = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["east", "west"])
    state: State = field(default_factory=State)
    cloud: Cloud = field(default_factory=Cloud)
    workers: Workers = field(default_factory=Workers)
    operator: dict[str, float | str] = {}
    clocks_s: list[Annotated[float, Meta(ge=-3600, le=3600)]] = []
    """Seconds by which the clocks of the nodes are ahead, in the order of the nodes; 0 for nodes without an entry."""
    faults: list[Fault] = []


def load(path: str) -> Scenario:
    """Read and validate a scenario file; raises ScenarioError."""
    try:
        with open(path, "rb") as file:
            value = tomllib.load(file)
        if (base := value.pop("base", None)) is not None:
            with open(os.path.join(os.path.dirname(path), str(base)), "rb") as file:
                value = tomllib.load(file) | value
        return check(msgspec.convert(value, Scenario), path)
    except OSError as error:
        raise ScenarioError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error


def check(scenario: Scenario, where: str) -> Scenario:
    """Validate names and combinations of fields; `where` is the file's name for messages. Raises ScenarioError."""
    nodes = {f"n{number}" for number in range(scenario.nodes)} | {"leader", "follower", "all"}
    types, teams = {machine_type.name for machine_type in scenario.types}, {team.name for team in scenario.teams}
    zones = set(scenario.zones).union(*(machine_type.zones for machine_type in scenario.types))

    def check_known_name(path: str, value: str | None, names: set[str]) -> None:
        if value is not None and value not in names:
            raise ScenarioError(f"{where}: {path}: `{value}`: expected one of {', '.join(sorted(names))}")

    for number, jobs in enumerate(scenario.jobs):
        check_known_name(f"$.jobs[{number}].team", jobs.team, teams)
        for name in jobs.types or ():
            check_known_name(f"$.jobs[{number}].types", name, types)
    for number, fault in enumerate(scenario.faults):
        check_known_name(f"$.faults[{number}].node", fault.node, nodes)
        check_known_name(f"$.faults[{number}].zone", fault.zone, zones)
        for name in REQUIRED_FIELDS[fault.kind]:
            if getattr(fault, name) is None:
                raise ScenarioError(f"{where}: $.faults[{number}].{name}: expected with kind {fault.kind}")
        allowed_fields = {"kind", "at_s", *REQUIRED_FIELDS[fault.kind], *OPTIONAL_FIELDS.get(fault.kind, ())}
        for struct_field in fields(fault):
            if struct_field.name not in allowed_fields and getattr(fault, struct_field.name) != struct_field.default:
                raise ScenarioError(f"{where}: $.faults[{number}].{struct_field.name}: {fault.kind} takes none")
        required_field = {"back": "for_s", "prefix": "prefix", "keys": "count", "older": "count"}.get(fault.what or "")
        if required_field is not None and getattr(fault, required_field) is None:
            raise ScenarioError(f"{where}: $.faults[{number}].{required_field}: expected with {fault.what}")
        if fault.at_s > scenario.duration_s:
            raise ScenarioError(f"{where}: $.faults[{number}].at_s: expected at most {scenario.duration_s:g}")
    return scenario
