"""The cloud's API: types, rentals, deletions, the machine list, within its rate."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from meadowcross.autoscaling import messages as m
from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import CloudFacts
from meadowcross.common.types import Address, MachineId, MachineKind, Seconds
from meadowcross.store.token_bucket import RequestPriority, TokenBucket

log = get_logger("fleet")

REQUEST_TIMEOUT_S: Seconds = 6.0
LEADER_RATE_SHARE = 0.8


class CloudError(Exception):
    """No usable answer; the request may have been executed, or may be later."""


class CloudRequestRejectedError(CloudError):
    """The request was certainly not carried out: never sent, or answered, and not with 200."""


class InsufficientCapacityError(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, clock: Clock, http: HttpClient, address: Address, facts: CloudFacts) -> None:
        self._http = http
        self._address = address
        # The burst that the cloud allows is two seconds' worth; keep one for the others.
        self._rate_limiter = TokenBucket(clock, facts.rps * LEADER_RATE_SHARE, facts.rps)

    async def _send_rate_limited(
        self, method: str, path: str, body: bytes | None, urgency: RequestPriority
    ) -> ClientResponse:
        await self._rate_limiter.acquire(1.0, urgency)
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: bytes | None) -> ClientResponse:
        try:
            reply = await self._http.call(method, self._address, path, body, REQUEST_TIMEOUT_S)
        except ConnectionFailedError as error:
            raise CloudRequestRejectedError(str(error)) from error
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if reply.status == 429:
            self._rate_limiter.drain()
        return reply

    async def fetch_machine_types(self) -> m.MachineTypeList:
        reply = await self._send_rate_limited("GET", "/machine_types", None, RequestPriority.PLACEMENT)
        if reply.status != 200:
            raise CloudError(f"types: {reply.status}")
        try:
            return m.decode_machine_types(reply.body)
        except msgspec.DecodeError as error:
            raise CloudError(f"types: {error}") from error

    async def create_machines(
        self, request_id: str, kind: MachineKind, count: int, is_still_wanted: Callable[[], bool]
    ) -> list[MachineId]:
        """`still_wanted` is asked when the request's turn has come: what waited behind a
        refusal for the same kind would only spend the rate."""
        body = m.encode(
            m.CreateMachinesRequest(
                request_id, kind.type, kind.zone, kind.spot, min(count, m.MAX_MACHINES_PER_CREATION)
            )
        )
        await self._rate_limiter.acquire(1.0, RequestPriority.USER)
        if not is_still_wanted():
            raise InsufficientCapacityError(f"{kind}, by an earlier answer")
        reply = await self._send("POST", "/rentals", body)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise InsufficientCapacityError(f"{kind}")
        if reply.status != 200:
            raise CloudError(f"rental {request_id}: {reply.status}")
        return m.decode_machine_ids(reply.body).machines

    async def delete_machines(self, machines: list[MachineId]) -> None:
        """Returns only once the machines and all that was on them are gone. Raises CloudRefused where the cloud said
        that it did not carry the request out, CloudTrouble where it may still."""
        body = m.encode(m.MachineIds(machines[: m.MAX_MACHINES_PER_DELETION]))
        reply = await self._send_rate_limited("POST", "/rentals/delete", body, RequestPriority.USER)
        if reply.status != 200:
            raise CloudRequestRejectedError(f"deletion: {reply.status}")

    async def oldest_machine_age_s(self) -> Seconds | None:
        """The age of the oldest machine that is listed, 0 where none is; None without an answer."""
        try:
            return max((machine.age_s for machine in await self.list_machines()), default=0.0)
        except CloudError as error:
            log.info("machine list: %s", error)
            return None

    async def list_machines(self) -> list[m.ListedMachine]:
        machines: list[m.ListedMachine] = []
        after = ""
        while True:
            since = f"since={after}&" if after else ""
            reply = await self._send_rate_limited(
                "GET", f"/rentals?{since}limit={m.LIST_PAGE_LIMIT}", None, RequestPriority.BACKGROUND
            )
            if reply.status != 200:
                raise CloudError(f"list: {reply.status}")
            try:
                page = m.decode_machine_list(reply.body)
            except msgspec.DecodeError as error:
                raise CloudError(f"list: {error}") from error
            machines.extend(page.machines)
            if not page.has_more or not page.machines:
                return machines
            after = page.machines[-1].id
