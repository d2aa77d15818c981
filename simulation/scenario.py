"""A scenario: a small deployment, its jobs and its troubles, read from TOML and checked field by field.

`base` names a scenario file beside it whose top-level parts hold where it says nothing itself.
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
    """File, field and what was expected."""


class Type(Struct, forbid_unknown_fields=True):
    name: Name
    cpus: Amount
    memory_gb: Amount
    zones: Annotated[list[Name], Meta(min_length=1)]
    price: Amount = 0.4
    spot_price: Amount = 0.1
    boot_s: Seconds = 10.0
    most: Count = 50
    """Of this type, in each zone, spot or ordinary."""
    boot_fail: Share = 0.0


class Team(Struct, forbid_unknown_fields=True):
    name: Name
    cpus: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    cpus_max: Annotated[float, Meta(ge=0, le=1e6)] = 0.0


class Jobs(Struct, forbid_unknown_fields=True):
    """`count` jobs of a class, the first `at_s` after the start and one more each `every_s`."""

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
    """So much longer runs each task than the one before it."""
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
    "machine_back",
    "report_copies",
    "late_writes",
    "late_commands",
    "cloud_outage",
    "machine_mute",
    "cancel_now",
    "cancel_at_end",
    "close_looks",
    "odd_requests",
]


class Fault(Struct, forbid_unknown_fields=True):
    """One trouble; which fields a kind takes is in `NEEDS`."""

    kind: FaultKind
    at_s: Seconds
    node: str | None = None
    """A node's name, `leader`, `follower` or `all`."""
    for_s: Span | None = None
    back_s: Span | None = None
    """When what was killed is back."""
    apart: Literal["store", "workers", "peers", "all"] | None = None
    way: Literal["both", "out", "in"] = "both"
    """Out: what the node sends is stopped."""
    mode: Literal["hold", "reset", "refuse"] = "hold"
    count: Count | None = None
    zone: str | None = None
    factor: Annotated[float, Meta(ge=0, le=1000)] | None = None
    share: Share | None = None
    """Of transactions, or of direct commands, that are carried out late and never answered."""
    prefix: str | None = None
    what: Literal["all", "back", "prefix", "keys", "older"] | None = None
    """What is lost: everything; the last `for_s`; all below `prefix`; `count` keys; their last versions."""
    hang_s: Span | None = None
    """For so long up to eight machines hang whose tasks are called off."""
    at_once: bool = False
    """Writes are carried out in time, and only their answers are lost."""
    for_next: bool = False
    """Copies are kept for the next leader, and reach every controller as it begins."""
    anew: bool = True
    """What is back begins with session and sequence number at their start, or goes on with them."""


NEEDS: dict[str, tuple[str, ...]] = {
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
    "machine_mute": ("count", "for_s"),
    "machine_back": ("count", "back_s"),
    "cancel_now": ("count",),
    "cancel_at_end": ("share", "for_s"),
    "close_looks": ("for_s",),
    "odd_requests": ("for_s",),
    "report_copies": ("for_s", "factor"),
    "late_writes": ("share", "for_s"),
    "late_commands": ("share", "for_s", "factor"),
    "cloud_outage": ("for_s",),
    "capacity": ("factor", "for_s"),
    "store_loss": ("what",),
}
"""By kind, the fields that it can't do without."""
TAKES: dict[str, tuple[str, ...]] = {
    "node_kill": ("back_s",),
    "node_cut": ("way", "mode"),
    "zone_cut": ("mode",),
    "machine_die": ("zone",),
    "machine_hang": ("zone",),
    "machine_cut": ("zone", "mode"),
    "machine_deaf": ("zone",),
    "machine_mute": ("zone",),
    "machine_back": ("zone", "anew"),
    "report_copies": ("for_next",),
    "late_writes": ("at_once",),
    "cancel_now": ("hang_s",),
    "store_loss": ("for_s", "prefix", "count"),
}
"""By kind, the fields that it takes beside those; no other kind takes any."""


class State(Struct, forbid_unknown_fields=True):
    rps: Amount = 350.0
    write_rps: Amount = 150.0
    value_kb: Amount = 16.0
    txn_ops: Count = 24
    latency_ms: Amount = 4.0


class Cloud(Struct, forbid_unknown_fields=True):
    rps: Amount = 7.0
    list_lag_s: Seconds = 5.0
    latency_ms: Amount = 100.0


class Workers(Struct, forbid_unknown_fields=True):
    report_s: Span = 3.0
    lease_s: Span = 16.0
    cancel_s: Span = 41.0
    gang_wait_s: Span = 50.0
    gang_peer_s: Span = 8.0
    fetch_gb_per_s: Amount = 1.0


class Scenario(Struct, forbid_unknown_fields=True):
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
    """By how much the nodes' clocks are ahead, in their order; 0 for those that are left out."""
    faults: list[Fault] = []


def load(path: str) -> Scenario:
    """Raises ScenarioError."""
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
    """What single fields can't tell: names that must be known, fields that belong together."""
    nodes = {f"n{number}" for number in range(scenario.nodes)} | {"leader", "follower", "all"}
    types, teams = {one.name for one in scenario.types}, {one.name for one in scenario.teams}
    zones = set(scenario.zones).union(*(one.zones for one in scenario.types))

    def known(path: str, value: str | None, names: set[str]) -> None:
        if value is not None and value not in names:
            raise ScenarioError(f"{where}: {path}: `{value}`: expected one of {', '.join(sorted(names))}")

    for number, jobs in enumerate(scenario.jobs):
        known(f"$.jobs[{number}].team", jobs.team, teams)
        for name in jobs.types or ():
            known(f"$.jobs[{number}].types", name, types)
    for number, fault in enumerate(scenario.faults):
        known(f"$.faults[{number}].node", fault.node, nodes)
        known(f"$.faults[{number}].zone", fault.zone, zones)
        for name in NEEDS[fault.kind]:
            if getattr(fault, name) is None:
                raise ScenarioError(f"{where}: $.faults[{number}].{name}: expected with kind {fault.kind}")
        takes = {"kind", "at_s", *NEEDS[fault.kind], *TAKES.get(fault.kind, ())}
        for one in fields(fault):
            if one.name not in takes and getattr(fault, one.name) != one.default:
                raise ScenarioError(f"{where}: $.faults[{number}].{one.name}: {fault.kind} takes none")
        lacks = {"back": "for_s", "prefix": "prefix", "keys": "count", "older": "count"}.get(fault.what or "")
        if lacks is not None and getattr(fault, lacks) is None:
            raise ScenarioError(f"{where}: $.faults[{number}].{lacks}: expected with {fault.what}")
        if fault.at_s > scenario.duration_s:
            raise ScenarioError(f"{where}: $.faults[{number}].at_s: expected at most {scenario.duration_s:g}")
    return scenario
