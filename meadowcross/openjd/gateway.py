"""A ticket gateway process: reads its settings (XML), connects its parts, starts and stops them."""

from __future__ import annotations

import ipaddress
import os
import time
import uuid
from random import Random
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from meadowcross.common.http import HttpClient, Router
from meadowcross.common.settings import SettingsError, StateFacts, read_plain_elements, read_xml
from meadowcross.common.types import Address
from meadowcross.openjd.api import TicketApi
from meadowcross.openjd.controller_client import ControllerClient
from meadowcross.openjd.driver import Driver
from meadowcross.openjd.membership import Membership, start_membership
from meadowcross.openjd.site import Site, load_site
from meadowcross.store.client import StoreClient

_HostPort = Annotated[str, Meta(pattern=r"^[^:\s]+:\d{1,5}$")]
_Positive = Annotated[float, Meta(gt=0)]


class GatewaySettings(Struct, frozen=True):
    """The settings of one gateway.

    Its limits at the state service are its own, and no part of the controllers' limits.
    """

    name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,60}$")]
    listen: _HostPort
    state: _HostPort
    controllers: Annotated[list[_HostPort], Meta(min_length=1)]
    site: Annotated[str, Meta(min_length=1)]
    store_requests_per_s: _Positive = 20.0
    store_writes_per_s: _Positive = 20.0
    value_kb: _Positive = 16.0
    txn_ops: Annotated[int, Meta(ge=4)] = 24
    hold_s: Annotated[float, Meta(ge=1, le=60)] = 5.0
    """Duration of the lease that this gateway's membership and claims are attached to."""
    tickets_per_s: _Positive = 2.0
    """Limit of one submitter; the limit of all submitters together is four times as high."""
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""
    tls_revoked: str = ""
    """The four TLS files are set all or none; renewed files are read without a restart."""
    secrets: str = ""
    """A directory with one file for each submitter who signs requests."""

    @property
    def tls(self) -> tuple[str, str, str, str]:
        """The paths of the four TLS files: certificate, key, authority, revoked."""
        return self.tls_certificate, self.tls_key, self.tls_authority, self.tls_revoked


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read a gateway's settings file, with paths made absolute.

    Raises SettingsError with the file, the element and what was expected.
    """
    root = read_xml(path, "gateway")
    known_elements = {field.encode_name for field in msgspec.structs.fields(GatewaySettings)}
    values = read_plain_elements(path, root, known_elements, ("controllers",))
    try:
        settings = msgspec.convert(values, GatewaySettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    host = settings.listen.rpartition(":")[0]
    try:
        is_loopback_host = ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback_host = host == "localhost"
    if any(settings.tls) and not all(settings.tls):
        raise SettingsError(f"{path}: <tls-certificate>, <tls-key>, <tls-authority> and <tls-revoked> go together")
    if not is_loopback_host and not all(settings.tls):
        raise SettingsError(f"{path}: element <listen>: {settings.listen}: expected a loopback address, or TLS")
    directory = os.path.dirname(os.path.abspath(path))
    path_settings = ("site", "tls_certificate", "tls_key", "tls_authority", "tls_revoked", "secrets")
    return msgspec.structs.replace(
        settings,
        **{name: os.path.join(directory, getattr(settings, name)) for name in path_settings if getattr(settings, name)},
    )


class Gateway:
    """One gateway: the API for submitters, the driver of tickets and the membership among gateways."""

    def __init__(
        self, reactor: Any, http: HttpClient, settings: GatewaySettings, site: Site, random_source: Random
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        store_limits = StateFacts(
            settings.store_requests_per_s, settings.store_writes_per_s, settings.value_kb, settings.txn_ops
        )
        self.store = StoreClient(reactor, http, Address(settings.state), store_limits)
        # The settings grant these limits to this gateway alone: it uses all of them.
        self.store.reset_share(1.0)
        self.controllers = ControllerClient(reactor, http, [Address(address) for address in settings.controllers])
        self.driver = Driver(reactor, self.store, self.controllers, random_source, lambda: self.membership)
        self.membership = Membership(
            reactor,
            self.store,
            settings.name,
            uuid.uuid4().hex,
            settings.hold_s,
            self.driver.on_partition_claimed,
            self.driver.on_partition_lost,
        )
        self.api = TicketApi(reactor, self.store, site, settings.tickets_per_s)
        self.router = Router()
        self.api.add_routes(self.router)

    def start(self) -> None:
        """Start to claim partitions and to drive tickets."""
        start_membership(self.membership)
        self.driver.start()

    async def stop(self) -> None:
        """Stop driving tickets, and release all partitions."""
        self.driver.stop()
        await self.membership.stop()

    def listen(self) -> Any:
        """Listen for requests; with TLS or secrets, only authenticated ones are served. Raises CredentialError."""
        from meadowcross.common.http import build_api_factory

        host, _, port = self._settings.listen.rpartition(":")
        if not any(self._settings.tls) and not self._settings.secrets:
            factory = build_api_factory(self.router, self._reactor)
            return self._reactor.listenTCP(int(port), factory, interface=host, backlog=128)
        # Imported here, so that a gateway without credentials does not load the TLS libraries.
        from meadowcross.openjd.authentication import Authenticator, TlsContextFactory
        from meadowcross.openjd.signing import SignatureVerifier

        tls_context_factory = TlsContextFactory(*self._settings.tls) if any(self._settings.tls) else None
        secrets = self._settings.secrets
        authenticator = Authenticator(tls_context_factory, SignatureVerifier(secrets, time.time) if secrets else None)
        factory = build_api_factory(self.router, self._reactor, authenticator)
        if tls_context_factory is None:
            return self._reactor.listenTCP(int(port), factory, interface=host, backlog=128)
        return self._reactor.listenSSL(int(port), factory, tls_context_factory, interface=host, backlog=128)


def serve(path: str) -> int:
    """Run a gateway until the process is asked to stop. Raises SettingsError and CredentialError."""
    settings = load_gateway_settings(path)
    site = load_site(settings.site)
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    from meadowcross.common import logging as process_logging

    process_logging.configure_logging(settings.name)
    event_loop: Any = reactor
    gateway = Gateway(event_loop, HttpClient(event_loop), settings, site, Random())
    gateway.listen()
    gateway.start()
    event_loop.addSystemEventTrigger("before", "shutdown", lambda: Deferred.fromCoroutine(gateway.stop()))
    event_loop.run()
    return 0
