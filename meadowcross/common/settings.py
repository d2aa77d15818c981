"""Reads and validates the platform's settings file (TOML) and the operators' settings file (XML)."""

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
    """A settings file can't be used. The message has the file, the field and the expected value."""


class Peer(Struct, frozen=True):
    """Another controller of the cluster."""

    host_name: _Text
    zone: _Text
    endpoint: _HostPort


class ExternalServices(Struct, frozen=True):
    """Addresses of the cloud and of the state service."""

    cloud: _HostPort
    state: _HostPort


class Team(Struct, frozen=True):
    """A team with its guarantee and its quota (`*_max`) for CPUs and GPUs."""

    name: _Text
    cpus: _NotNegative = 0.0
    cpus_max: _NotNegative = 0.0
    gpus: _NotNegative = 0.0
    gpus_max: _NotNegative = 0.0


class Objective(Struct, frozen=True):
    """A service-level objective. Fields that its kind does not use are None."""

    kind: _Text
    job_class: str | None = msgspec.field(name="class", default=None)
    share: float | None = None
    times: float | None = None
    within_s: float | None = None
    after_s: float | None = None


class WorkerFacts(Struct, frozen=True):
    """Time limits of workers, cancellations and gangs."""

    report_s: _Positive
    lease_s: _Positive
    cancel_s: _Positive
    gang_wait_s: _Positive = 30.0
    gang_peer_s: _Positive = 5.0


class StateFacts(Struct, frozen=True):
    """Limits of the state service: requests and writes per second, size of a value, and changes per transaction."""

    rps: _Positive
    write_rps: _Positive
    value_kb: _Positive
    txn_ops: _Count


class CloudFacts(Struct, frozen=True):
    """Limits of the cloud: requests per second, and the delay until its machine list shows a change."""

    rps: _Positive
    list_lag_s: _NotNegative


class MachineLimits(Struct, frozen=True):
    """Resource limits of the controller's own process."""

    cpu: _Positive
    mem_mb: _Positive
    fd_limit: _Count


class Facts(Struct, frozen=True):
    """Facts about the cluster, which are the same for all its nodes."""

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
    """The platform's settings file. Unknown fields are ignored."""

    host_name: _Text
    zone: _Text
    api_addr: _HostPort
    peer_bind: _HostPort
    outside: ExternalServices
    facts: Facts
    peers: list[Peer] = []


STORED_FORMAT_VERSION = 1
"""Format of stored records. A node does not use replicas or hints of another format."""


def settings_digest(settings: Settings, operator: OperatorSettings) -> str:
    """Return a hash of the facts, operators' settings and stored format on which a node's decisions depend.

    Nodes compare their hashes to find out whether they decide alike.
    """
    # Without `relays`, which affects no decision and is unknown to nodes of the previous version.
    compared_settings = {name: value for name, value in msgspec.structs.asdict(operator).items() if name != "relays"}
    encoded = msgspec.json.encode([STORED_FORMAT_VERSION, settings.facts, compared_settings])
    return hashlib.sha256(encoded).hexdigest()[:16]


def load_settings(path: str) -> Settings:
    """Read the platform's settings file. Raises SettingsError."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Settings, strict=False)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


class RelayMode(Enum):
    """Whether other controllers relay workers' heartbeats for the leader."""

    AUTO = "auto"
    """Relay only if there are more workers than the leader's sockets can serve."""
    ALWAYS = "always"
    NEVER = "never"


DIRECT_WORKERS_PER_SOCKET = 0.43
"""Workers per socket that a leader serves without relays: each uses one socket for heartbeats and one for commands."""
RELAYED_WORKERS_PER_SOCKET = 0.75
"""Workers per socket of a relay, which keeps no command connections. The remaining sockets are for users, peers and
workers that are not relayed."""
INBOUND_SOCKET_SHARE = 0.85
"""Share of a node's sockets for inbound connections. The others are for the state service, the cloud and commands."""
UNLIMITED_SOCKETS = 1_000_000
"""Allowance of a node whose settings have no socket limit."""


def socket_allowance(settings: Settings, share: float) -> int:
    """Return `share` (0 to 1) of the node's socket limit as a number of sockets."""
    limits = settings.facts.machine_limits
    return int(share * limits.fd_limit) if limits is not None else UNLIMITED_SOCKETS


class SettingBounds(NamedTuple):
    """Unit and bounds of one operators' setting, for its validation and its error messages."""

    unit: str
    low: float
    high: float
    is_low_excluded: bool = False
    is_whole_number: bool = False


class OperatorSettings(Struct, frozen=True):
    """The operators' settings with their defaults; see SETTING_BOUNDS for units and bounds."""

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
    """Absolute path; empty: no snapshots are written or read."""
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
        "0: off, 1: learned and told, 2: used as well; a whole number", 0, 2, is_whole_number=True
    ),
    "warm_standby": SettingBounds(
        "0: off, 1: follows, 2: ends a dead leader's hold as well; a whole number", 0, 2, is_whole_number=True
    ),
    "lost_wait_s": SettingBounds("seconds; 0: for ever", 0, 86400),
    "snapshot_every_s": SettingBounds("seconds", 1, 86400),
    "snapshot_keep": SettingBounds("full snapshots; a whole number", 1, 1000, is_whole_number=True),
    "snapshot_keep_h": SettingBounds("hours", 0.01, 87600),
}
"""Bounds of the numeric settings by their names in OperatorSettings."""


def read_xml(path: str, root_name: str) -> Any:
    """Return the root element of an operators' XML file.

    Raises SettingsError for another root element, and for entities and document types.
    """
    # Imported here to keep the start-up time short: a node without an operators' file needs no XML parser.
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
    """Return the texts of an element's plain children by name, with underscores in place of hyphens.

    The text of a name in `list_names` is split into a list of words. Raises SettingsError for children that are
    unknown, nested, have attributes, or occur twice.
    """
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
    """Read the operators' XML file. Raises SettingsError, also for unknown elements and values out of bounds."""
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
        bounds = SETTING_BOUNDS[name]
        tag = name.replace("_", "-")
        expected = f"{bounds.unit} {'above' if bounds.is_low_excluded else 'from'} {bounds.low:g} to {bounds.high:g}"
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{path}: element <{tag}>: expected {expected}") from None
        is_in_bounds = bounds.low <= value <= bounds.high and not (bounds.is_low_excluded and value == bounds.low)
        if not is_in_bounds or (bounds.is_whole_number and value != int(value)):
            raise SettingsError(f"{path}: element <{tag}>: expected {expected}")
        values[name] = value
    operator = OperatorSettings(**values, snapshot_directory=snapshot_directory, relays=relays)
    if abs(operator.alpha + operator.beta - 1.0) > 1e-9:
        raise SettingsError(f"{path}: elements <alpha> and <beta>: expected to sum to 1")
    return operator
