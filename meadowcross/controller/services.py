"""Objects that all parts of a controller share: its identity, its settings and the clients of external services."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import Any

from meadowcross.autoscaling.catalog import MachineTypeCatalog
from meadowcross.autoscaling.cloud import CloudClient
from meadowcross.common.http import SHORT_IDLE_TIMEOUT_S, HttpClient
from meadowcross.common.settings import OperatorSettings, RelayMode, Settings, settings_digest
from meadowcross.common.types import Address, NodeName
from meadowcross.store.client import StoreClient
from meadowcross.store.rate_shares import follower_share_with_borrowed


@dataclass(frozen=True)
class Services:
    """The shared objects, built once at the start of the process."""

    reactor: Any
    settings: Settings
    operator: OperatorSettings
    node: NodeName
    incarnation: str
    """Identifies this process among all processes of the node."""
    digest: str
    """Hash of the settings; another node with the same digest makes its decisions by the same settings."""
    http: HttpClient
    short_lived_http: HttpClient
    """Closes idle connections soon, for many addresses that are seldom contacted."""
    initial_share: float
    """Share of the store's rate limits until a leader reports its own use. Part of the leader's share is included, as
    the first users of a new cluster all come at once."""
    store: StoreClient
    cloud: CloudClient
    machine_types: MachineTypeCatalog

    @property
    def node_count(self) -> int:
        """Number of nodes of the cluster, including this one."""
        return 1 + len(self.settings.peers)

    @property
    def peer_names(self) -> list[NodeName]:
        """Names of the other nodes of the cluster."""
        return [NodeName(peer.host_name) for peer in self.settings.peers]

    @property
    def may_relay(self) -> bool:
        """Whether the operators' settings let nodes relay workers' heartbeats for the leader."""
        return self.operator.relays is not RelayMode.NEVER


def build_services(reactor: Any, settings: Settings, operator: OperatorSettings) -> Services:
    """Build the shared objects for a new incarnation of the node. No request is sent yet."""
    facts = settings.facts
    http = HttpClient(reactor)
    short_lived_http = HttpClient(reactor, idle_timeout_s=SHORT_IDLE_TIMEOUT_S)
    initial_share = follower_share_with_borrowed(1 + len(settings.peers), 0.0)
    store = StoreClient(reactor, http, Address(settings.outside.state), facts.state, initial_share)
    cloud = CloudClient(reactor, http, Address(settings.outside.cloud), facts.cloud)
    return Services(
        reactor=reactor,
        settings=settings,
        operator=operator,
        node=NodeName(settings.host_name),
        incarnation=uuid.uuid4().hex,
        digest=settings_digest(settings, operator),
        http=http,
        short_lived_http=short_lived_http,
        initial_share=initial_share,
        store=store,
        cloud=cloud,
        machine_types=MachineTypeCatalog(reactor, cloud, store),
    )
