"""What all parts of a controller share: its identity, its settings and its clients of the services outside."""

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
    """Built once at the start. `digest` tells whether another node decides by the same settings."""

    reactor: Any
    settings: Settings
    operator: OperatorSettings
    node: NodeName
    incarnation: str
    digest: str
    http: HttpClient
    short_lived_http: HttpClient
    """Keeps no idle connections: for many addresses that are called seldom."""
    initial_share: float
    """Of the store's limits, until a leader has told what it uses: a cluster's first users come all at once."""
    store: StoreClient
    cloud: CloudClient
    machine_types: MachineTypeCatalog

    @property
    def node_count(self) -> int:
        """How many nodes the cluster has, this one included."""
        return 1 + len(self.settings.peers)

    @property
    def peer_names(self) -> list[NodeName]:
        """The other nodes of the cluster."""
        return [NodeName(peer.host_name) for peer in self.settings.peers]

    @property
    def may_relay(self) -> bool:
        """Whether nodes may answer workers for the leader."""
        return self.operator.relays is not RelayMode.NEVER


def build_services(reactor: Any, settings: Settings, operator: OperatorSettings) -> Services:
    """A new incarnation of the node that the settings name. Nothing is asked of any service yet."""
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
