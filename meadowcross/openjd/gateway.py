"""One gateway, wired: its settings (XML), its parts, its start and stop."""

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
from meadowcross.openjd.controllers import Controllers
from meadowcross.openjd.driver import Driver
from meadowcross.openjd.intake import Intake
from meadowcross.openjd.members import Members, begin
from meadowcross.openjd.site import Site, load
from meadowcross.store.client import StoreClient

_HostPort = Annotated[str, Meta(pattern=r"^[^:\s]+:\d{1,5}$")]
_Positive = Annotated[float, Meta(gt=0)]


class GatewaySettings(Struct, frozen=True):
    """A gateway's own file. What it may ask of the state service is set apart from the controllers' share."""

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
    tickets_per_s: _Positive = 2.0
    """Of one submitter; of all four times as many."""
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""
    tls_revoked: str = ""
    """All four or none; renewed files are read without a restart."""
    secrets: str = ""
    """A directory with a file for each submitter who signs."""

    @property
    def tls(self) -> tuple[str, str, str, str]:
        return self.tls_certificate, self.tls_key, self.tls_authority, self.tls_revoked


def load_gateway(path: str) -> GatewaySettings:
    """Raises SettingsError: the file, the element, what was expected."""
    root = read_xml(path, "gateway")
    known = {field.encode_name for field in msgspec.structs.fields(GatewaySettings)}
    values = read_plain_elements(path, root, known, ("controllers",))
    try:
        made = msgspec.convert(values, GatewaySettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    host = made.listen.rpartition(":")[0]
    try:
        local = ipaddress.ip_address(host).is_loopback
    except ValueError:
        local = host == "localhost"
    if any(made.tls) and not all(made.tls):
        raise SettingsError(f"{path}: <tls-certificate>, <tls-key>, <tls-authority> and <tls-revoked> go together")
    if not local and not all(made.tls):
        raise SettingsError(f"{path}: element <listen>: {made.listen}: expected a loopback address, or TLS")
    folder = os.path.dirname(os.path.abspath(path))
    files = ("site", "tls_certificate", "tls_key", "tls_authority", "tls_revoked", "secrets")
    return msgspec.structs.replace(
        made, **{name: os.path.join(folder, getattr(made, name)) for name in files if getattr(made, name)}
    )


class Gateway:
    def __init__(self, reactor: Any, http: HttpClient, settings: GatewaySettings, site: Site, chance: Random) -> None:
        self._reactor = reactor
        self._settings = settings
        facts = StateFacts(
            settings.store_requests_per_s, settings.store_writes_per_s, settings.value_kb, settings.txn_ops
        )
        self.store = StoreClient(reactor, http, Address(settings.state), facts)
        # All of what the file grants: it is no share of the controllers' limits.
        self.store.reset_share(1.0)
        self.controllers = Controllers(reactor, http, [Address(one) for one in settings.controllers])
        self.driver = Driver(reactor, self.store, self.controllers, chance, lambda: self.members)
        self.members = Members(
            reactor, self.store, settings.name, uuid.uuid4().hex, settings.hold_s, self.driver.claimed, self.driver.lost
        )
        self.intake = Intake(reactor, self.store, site, settings.tickets_per_s)
        self.router = Router()
        self.intake.routes(self.router)

    def start(self) -> None:
        begin(self.members)
        self.driver.start()

    async def stop(self) -> None:
        self.driver.stop()
        await self.members.stop()

    def listen(self) -> Any:
        """Serve; with TLS or secrets only to those who show who they are. Raises KeyTrouble."""
        from meadowcross.common.http import build_api_factory

        host, _, port = self._settings.listen.rpartition(":")
        if not any(self._settings.tls) and not self._settings.secrets:
            factory = build_api_factory(self.router, self._reactor)
            return self._reactor.listenTCP(int(port), factory, interface=host, backlog=128)
        # Only here: without keys nothing of them is loaded.
        from meadowcross.openjd.guard import Guard, Tls
        from meadowcross.openjd.signing import Signatures

        tls = Tls(*self._settings.tls) if any(self._settings.tls) else None
        secrets = self._settings.secrets
        guard = Guard(tls, Signatures(secrets, time.time) if secrets else None)
        factory = build_api_factory(self.router, self._reactor, guard)
        if tls is None:
            return self._reactor.listenTCP(int(port), factory, interface=host, backlog=128)
        return self._reactor.listenSSL(int(port), factory, tls, interface=host, backlog=128)


def serve(path: str) -> int:
    """Run a gateway until it is told to end. Raises SettingsError, KeyTrouble."""
    settings = load_gateway(path)
    site = load(settings.site)
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    from meadowcross.common import logging as node_logging

    node_logging.configure_logging(settings.name)
    loop: Any = reactor
    gateway = Gateway(loop, HttpClient(loop), settings, site, Random())
    gateway.listen()
    gateway.start()
    loop.addSystemEventTrigger("before", "shutdown", lambda: Deferred.fromCoroutine(gateway.stop()))
    loop.run()
    return 0
