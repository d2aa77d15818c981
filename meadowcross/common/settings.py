"""The platform's settings file (TOML) and the operators' settings file (XML), both validated."""

from __future__ import annotations

import hashlib
import os
import tomllib
from collections.abc import Collection
from enum import Enum
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Struct

DEFAULT_OPERATOR_SETTINGS_PATH = "/etc/meadowcross/operator.xml"

_Positive = Annotated[float, Meta(gt=0)]
_NotNegative = Annotated[float, Meta(ge=0)]
_Count = Annotated[int, Meta(ge=1)]
_Text = Annotated[str, Meta(min_length=1)]
_HostPort = Annotated[str, Meta(pattern=r"^[^:\s]+:\d{1,5}$")]


class SettingsError(Exception):
    """A settings file that can't be used: file, field and what was expected."""


class Peer(Struct, frozen=True):
    host_name: _Text
    zone: _Text
    endpoint: _HostPort


class Outside(Struct, frozen=True):
    cloud: _HostPort
    state: _HostPort


class Team(Struct, frozen=True):
    name: _Text
    cpus: _NotNegative = 0.0
    cpus_max: _NotNegative = 0.0
    gpus: _NotNegative = 0.0
    gpus_max: _NotNegative = 0.0


class Objective(Struct, frozen=True):
    """One service-level objective; fields that its kind does not have stay null."""

    kind: _Text
    job_class: str | None = msgspec.field(name="class", default=None)
    share: float | None = None
    times: float | None = None
    within_s: float | None = None
    after_s: float | None = None


class WorkerFacts(Struct, frozen=True):
    report_s: _Positive
    lease_s: _Positive
    cancel_s: _Positive
    gang_wait_s: _Positive = 30.0
    gang_peer_s: _Positive = 5.0


class StateFacts(Struct, frozen=True):
    rps: _Positive
    write_rps: _Positive
    value_kb: _Positive
    txn_ops: _Count


class CloudFacts(Struct, frozen=True):
    rps: _Positive
    list_lag_s: _NotNegative


class MachineLimits(Struct, frozen=True):
    cpu: _Positive
    mem_mb: _Positive
    fd_limit: _Count


class Facts(Struct, frozen=True):
    zones: list[str]
    workers: WorkerFacts
    state: StateFacts
    cloud: CloudFacts
    initial_size: _Count = 3
    clock_off_ms: _NotNegative = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits | None = None


class Settings(Struct, frozen=True):
    """The file that the platform hands over; unknown fields are ignored."""

    host_name: _Text
    zone: _Text
    api_addr: _HostPort
    peer_bind: _HostPort
    outside: Outside
    facts: Facts
    peers: list[Peer] = []


STORED_FORMAT_VERSION = 1
"""Format of stored records; a node uses no replica or hints written in another format."""


def settings_digest(settings: Settings, operator: OperatorSettings) -> str:
    """Hash by which nodes compare the facts, settings and stored format that their decisions rest on."""
    # Without `relays`, which changes no decision and which nodes of the version before don't know.
    compared_settings = {name: value for name, value in msgspec.structs.asdict(operator).items() if name != "relays"}
    encoded = msgspec.json.encode([STORED_FORMAT_VERSION, settings.facts, compared_settings])
    return hashlib.sha256(encoded).hexdigest()[:16]


def load_settings(path: str) -> Settings:
    """Read the platform's file. Raises SettingsError."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Settings, strict=False)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


class RelayMode(Enum):
    """Whether other controllers relay workers' heartbeats to the leader."""

    AUTO = "auto"
    """Relay when there are more workers than the leader's own sockets serve well."""
    ALWAYS = "always"
    NEVER = "never"


DIRECT_WORKERS_PER_SOCKET = 0.43
"""Workers per socket that a leader serves without relays: each takes one socket for heartbeats and one for commands."""
RELAYED_WORKERS_PER_SOCKET = 0.75
"""Workers per socket of a relay, which keeps no command connections; the rest is for users, peers and other workers."""
INBOUND_SOCKET_SHARE = 0.85
"""Share of a node's sockets for inbound connections; the rest is for the state service, the cloud and commands."""
UNLIMITED_SOCKETS = 1_000_000


def socket_allowance(settings: Settings, share: float) -> int:
    """`share` of the node's socket limit, as a count."""
    limits = settings.facts.machine_limits
    return int(share * limits.fd_limit) if limits is not None else UNLIMITED_SOCKETS


class SettingBounds(NamedTuple):
    """Unit and bounds of one operator setting, for error messages and documentation."""

    unit: str
    low: float
    high: float
    low_excluded: bool = False
    whole: bool = False


class OperatorSettings(Struct, frozen=True):
    """The operators' settings. Defaults are those of the design, or the project's own where it gives none."""

    alpha: float = 0.5
    beta: float = 0.5
    gamma: float = 0.5
    delta: float = 0.5
    cost_same_machine: float = 0.0
    cost_same_zone: float = 1.0
    cost_across_zones: float = 4.0
    move_period_s: float = 10.0
    move_usage_percent: float = 85.0
    move_lead_points: float = 25.0
    move_age_s: float = 600.0
    hold_s: float = 2.0
    idle_keep_boots: float = 0.7
    ready_keep_s: float = 900.0
    dear_multiple: float = 2.0
    silent_s: float = 8.0
    drain_after_s: float = 10.0
    spare_percent: float = 15.0
    learned_estimates: float = 0.0
    warm_standby: float = 2.0
    lost_wait_s: float = 120.0
    snapshot_every_s: float = 60.0
    snapshot_keep: float = 5.0
    snapshot_keep_h: float = 48.0
    snapshot_directory: str = ""
    """Absolute; empty: no snapshots."""
    relays: RelayMode = RelayMode.AUTO


SETTING_BOUNDS = {
    "alpha": SettingBounds("weight", 0, 1),
    "beta": SettingBounds("weight", 0, 1),
    "gamma": SettingBounds("weight", 0, 1000, True),
    "delta": SettingBounds("weight", 0, 1000, True),
    "cost_same_machine": SettingBounds("units", 0, 1000),
    "cost_same_zone": SettingBounds("units", 0, 1000),
    "cost_across_zones": SettingBounds("units", 0, 1000),
    "move_period_s": SettingBounds("seconds", 0.5, 3600),
    "move_usage_percent": SettingBounds("percent", 0, 100),
    "move_lead_points": SettingBounds("points", 0, 1000),
    "move_age_s": SettingBounds("seconds", 0, 86400),
    "hold_s": SettingBounds("seconds", 0.5, 60),
    "idle_keep_boots": SettingBounds("boot times", 0, 1000),
    "ready_keep_s": SettingBounds("seconds; where no aim is a deadline", 0, 86400),
    "dear_multiple": SettingBounds("times the cheapest price of a CPU", 1, 1000),
    "silent_s": SettingBounds("seconds", 2, 600),
    "drain_after_s": SettingBounds("seconds", 0, 86400),
    "spare_percent": SettingBounds("percent", 0, 1000),
    "learned_estimates": SettingBounds(
        "0: off, 1: learned and told, 2: used as well; a whole number", 0, 2, whole=True
    ),
    "warm_standby": SettingBounds(
        "0: off, 1: follows, 2: ends a dead leader's hold as well; a whole number", 0, 2, whole=True
    ),
    "lost_wait_s": SettingBounds("seconds; 0: for ever", 0, 86400),
    "snapshot_every_s": SettingBounds("seconds", 1, 86400),
    "snapshot_keep": SettingBounds("full snapshots; a whole number", 1, 1000, whole=True),
    "snapshot_keep_h": SettingBounds("hours", 0.01, 87600),
}


def read_xml(path: str, root_name: str) -> Any:
    """The root element of an operators' file; entities and document types are refused. Raises SettingsError."""
    # Imported late for start-up time: a node without an operators' file needs no XML parser.
    from xml.etree.ElementTree import ParseError

    from defusedxml import DefusedXmlException
    from defusedxml.ElementTree import parse

    try:
        root = parse(path, forbid_dtd=True).getroot()
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except ParseError as error:
        raise SettingsError(f"{path}: not well-formed XML: {error}") from error
    except DefusedXmlException as error:
        raise SettingsError(f"{path}: document type and entity declarations are refused: {error}") from error
    if root.tag != root_name:
        raise SettingsError(f"{path}: element <{root.tag}>: expected <{root_name}>")
    return root


def read_plain_elements(
    location: str, element: Any, known_names: Collection[str], list_names: Collection[str] = ()
) -> dict[str, Any]:
    """The texts of an element's plain children, under their names with underscores; those in `lists` are words
    apart. Raises SettingsError for what is unknown, nested, or given twice."""
    values: dict[str, Any] = {}
    for child in element:
        name = child.tag.replace("-", "_")
        if name not in known_names or len(child) or child.attrib:
            raise SettingsError(f"{location}: element <{child.tag}>: unknown, or not a plain value")
        if name in values:
            raise SettingsError(f"{location}: element <{child.tag}>: given twice")
        text = (child.text or "").strip()
        values[name] = text.split() if name in list_names else text
    return values


def load_operator_settings(path: str) -> OperatorSettings:
    """Read the operators' XML file. Raises SettingsError for unknown elements, values out of bounds and entities."""
    root = read_xml(path, "meadowcross")
    values: dict[str, float] = {}
    snapshot_directory = ""
    relays = RelayMode.AUTO
    for name, text in read_plain_elements(path, root, {*SETTING_BOUNDS, "snapshot_directory", "relays"}).items():
        if name == "snapshot_directory":
            if not os.path.isabs(text):
                raise SettingsError(f"{path}: element <snapshot-directory>: expected an absolute path")
            snapshot_directory = text
            continue
        if name == "relays":
            if text not in {mode.value for mode in RelayMode}:
                raise SettingsError(f"{path}: element <relays>: expected auto, always or never")
            relays = RelayMode(text)
            continue
        bound = SETTING_BOUNDS[name]
        tag = name.replace("_", "-")
        expected = f"{bound.unit} {'above' if bound.low_excluded else 'from'} {bound.low:g} to {bound.high:g}"
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{path}: element <{tag}>: expected {expected}") from None
        is_in_bounds = bound.low <= value <= bound.high and not (bound.low_excluded and value == bound.low)
        if not is_in_bounds or (bound.whole and value != int(value)):
            raise SettingsError(f"{path}: element <{tag}>: expected {expected}")
        values[name] = value
    operator = OperatorSettings(**values, snapshot_directory=snapshot_directory, relays=relays)
    if abs(operator.alpha + operator.beta - 1.0) > 1e-9:
        raise SettingsError(f"{path}: elements <alpha> and <beta>: expected to sum to 1")
    return operator
