"""The cloud's API: types, rentals, deletions, the machine list, within its rate."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from meadowcross.common.clock import Clock
from meadowcross.common.http import HttpClient, NotSent, Reply, Unanswered
from meadowcross.common.logging import logger
from meadowcross.common.settings import CloudFacts
from meadowcross.common.types import Address, MachineId, MachineKind, Seconds
from meadowcross.fleet import messages as m
from meadowcross.store.budget import Budget, Urgency

log = logger("fleet")

CALL_S: Seconds = 6.0
LEADER_SHARE = 0.8


class CloudTrouble(Exception):
    """No usable answer; the request may have been executed, or may be later."""


class CloudRefused(CloudTrouble):
    """The request was certainly not carried out: never sent, or answered, and not with 200."""


class NoCapacity(Exception):
    """None available for this type, zone and kind."""


class Cloud:
    def __init__(self, clock: Clock, http: HttpClient, address: Address, facts: CloudFacts) -> None:
        self._http = http
        self._address = address
        # The burst that the cloud allows is two seconds' worth; keep one for the others.
        self._budget = Budget(clock, facts.rps * LEADER_SHARE, facts.rps)

    async def _call(self, method: str, path: str, body: bytes | None, urgency: Urgency) -> Reply:
        await self._budget.take(1.0, urgency)
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: bytes | None) -> Reply:
        try:
            reply = await self._http.call(method, self._address, path, body, CALL_S)
        except NotSent as error:
            raise CloudRefused(str(error)) from error
        except Unanswered as error:
            raise CloudTrouble(str(error)) from error
        if reply.status == 429:
            self._budget.empty_out()
        return reply

    async def types(self) -> m.TypeList:
        reply = await self._call("GET", "/machine_types", None, Urgency.PLACEMENT)
        if reply.status != 200:
            raise CloudTrouble(f"types: {reply.status}")
        try:
            return m.decode_types(reply.body)
        except msgspec.DecodeError as error:
            raise CloudTrouble(f"types: {error}") from error

    async def rent(
        self, request: str, kind: MachineKind, count: int, still_wanted: Callable[[], bool]
    ) -> list[MachineId]:
        """`still_wanted` is asked when the request's turn has come: what waited behind a
        refusal for the same kind would only spend the rate."""
        body = m.encode(m.RentalRequest(request, kind.type, kind.zone, kind.spot, min(count, m.MAX_RENT)))
        await self._budget.take(1.0, Urgency.USER)
        if not still_wanted():
            raise NoCapacity(f"{kind}, by an earlier answer")
        reply = await self._send("POST", "/rentals", body)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity(f"{kind}")
        if reply.status != 200:
            raise CloudTrouble(f"rental {request}: {reply.status}")
        return m.decode_names(reply.body).machines

    async def delete(self, machines: list[MachineId]) -> None:
        """Returns only once the machines and all that was on them are gone. Raises CloudRefused where the cloud said
        that it did not carry the request out, CloudTrouble where it may still."""
        body = m.encode(m.MachineNames(machines[: m.MAX_DELETE]))
        reply = await self._call("POST", "/rentals/delete", body, Urgency.USER)
        if reply.status != 200:
            raise CloudRefused(f"deletion: {reply.status}")

    async def oldest(self) -> Seconds | None:
        """The age of the oldest machine that is listed, 0 where none is; None without an answer."""
        try:
            return max((machine.age_s for machine in await self.list()), default=0.0)
        except CloudTrouble as error:
            log.info("machine list: %s", error)
            return None

    async def list(self) -> list[m.ListedMachine]:
        machines: list[m.ListedMachine] = []
        after = ""
        while True:
            since = f"since={after}&" if after else ""
            reply = await self._call("GET", f"/rentals?{since}limit={m.LIST_LIMIT}", None, Urgency.LATER)
            if reply.status != 200:
                raise CloudTrouble(f"list: {reply.status}")
            try:
                page = m.decode_list(reply.body)
            except msgspec.DecodeError as error:
                raise CloudTrouble(f"list: {error}") from error
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id
