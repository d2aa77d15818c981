"""Client of the cloud's API: machine types, creation and deletion of machines, the machine list.

The rate of requests is limited to a share of the rate that the cloud allows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from meadowcross.autoscaling.messages import (
    LIST_PAGE_LIMIT,
    MAX_MACHINES_PER_CREATION,
    MAX_MACHINES_PER_DELETION,
    CreateMachinesRequest,
    ListedMachine,
    MachineIds,
    MachineListPage,
    MachineTypeList,
    decode_machine_ids,
    decode_machine_list,
    decode_machine_types,
    encode,
)
from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import CloudFacts
from meadowcross.common.types import Address, MachineId, MachineKind, Seconds
from meadowcross.store.token_bucket import RequestPriority, TokenBucket

log = get_logger("fleet")

REQUEST_TIMEOUT_S: Seconds = 6.0
LEADER_RATE_SHARE = 0.8
"""Share of the allowed rate that one client uses, so that the leader leaves some of it to other controllers."""
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503
NO_CAPACITY_REASON = b"no capacity"

Body = TypeVar("Body")


class CloudError(Exception):
    """The cloud sent no usable response; the request may have been executed, or may still be."""

    def __init__(self, path: str, reason: object) -> None:
        super().__init__(f"{path} failed: {reason}")


class CloudRequestRejectedError(CloudError):
    """The request was certainly not executed: it was never sent, or the cloud responded with an error."""


class InsufficientCapacityError(CloudError):
    """The cloud has no capacity for this machine kind now, or the request is not wanted any more."""


class CloudClient:
    """Sends requests to the cloud; each method sends one HTTP request, except that the list is read page by page."""

    def __init__(self, clock: Clock, http: HttpClient, address: Address, facts: CloudFacts) -> None:
        self._http = http
        self._address = address
        # The cloud allows a burst of two seconds' worth of requests; one second's worth is left to other controllers.
        self._rate_limiter = TokenBucket(clock, facts.rps * LEADER_RATE_SHARE, facts.rps)

    async def fetch_machine_types(self) -> MachineTypeList:
        """Return the machine types; raise CloudError without a usable response."""
        response = await self._send_rate_limited("GET", "/machine_types", None, RequestPriority.PLACEMENT)
        return _decode("/machine_types", response, decode_machine_types)

    async def create_machines(
        self, request_id: str, kind: MachineKind, count: int, is_still_wanted: Callable[[], bool]
    ) -> list[MachineId]:
        """Create up to `count` machines and return the ids of those that the cloud created.

        `is_still_wanted` is called once the rate limit admits the request: if another request for the kind was refused
        meanwhile, this one would only use up the rate. Raises InsufficientCapacityError if the kind has no capacity or
        the request is not wanted any more, and CloudError if the request may still be executed.
        """
        request = CreateMachinesRequest(
            request_id, kind.type, kind.zone, kind.spot, min(count, MAX_MACHINES_PER_CREATION)
        )
        body = encode(request)
        await self._rate_limiter.acquire(1.0, RequestPriority.USER)
        if not is_still_wanted():
            raise InsufficientCapacityError("/rentals", kind)
        response = await self._send("POST", "/rentals", body)
        if response.status == HTTP_SERVICE_UNAVAILABLE and NO_CAPACITY_REASON in response.body:
            raise InsufficientCapacityError("/rentals", kind)
        if response.status != HTTP_OK:
            raise CloudError("/rentals", response.status)
        return decode_machine_ids(response.body).machines

    async def delete_machines(self, machines: list[MachineId]) -> None:
        """Delete at most `MAX_MACHINES_PER_DELETION` machines; return once they and all their tasks are gone.

        Raises CloudRequestRejectedError if the cloud did not execute the request, and CloudError if it may still be
        executed.
        """
        body = encode(MachineIds(machines[:MAX_MACHINES_PER_DELETION]))
        response = await self._send_rate_limited("POST", "/rentals/delete", body, RequestPriority.USER)
        if response.status != HTTP_OK:
            raise CloudRequestRejectedError("/rentals/delete", response.status)

    async def oldest_machine_age_s(self) -> Seconds | None:
        """Return the age of the oldest machine in the list, 0 if the list is empty; None without a usable response."""
        try:
            return max((machine.age_s for machine in await self.list_machines()), default=0.0)
        except CloudError as error:
            log.info("reading the machine list failed error=%s", error)
            return None

    async def list_machines(self) -> list[ListedMachine]:
        """Return all machines, read page by page; raise CloudError without a usable response."""
        machines: list[ListedMachine] = []
        last_id = ""
        while True:
            since_parameter = f"since={last_id}&" if last_id else ""
            path = f"/rentals?{since_parameter}limit={LIST_PAGE_LIMIT}"
            response = await self._send_rate_limited("GET", path, None, RequestPriority.BACKGROUND)
            page: MachineListPage = _decode("/rentals", response, decode_machine_list)
            machines.extend(page.machines)
            if not page.has_more or not page.machines:
                return machines
            last_id = page.machines[-1].id

    async def _send_rate_limited(
        self, method: str, path: str, body: bytes | None, priority: RequestPriority
    ) -> ClientResponse:
        await self._rate_limiter.acquire(1.0, priority)
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: bytes | None) -> ClientResponse:
        try:
            response = await self._http.call(method, self._address, path, body, REQUEST_TIMEOUT_S)
        except ConnectionFailedError as error:
            raise CloudRequestRejectedError(path, error) from error
        except NoResponseError as error:
            raise CloudError(path, error) from error
        if response.status == HTTP_TOO_MANY_REQUESTS:
            self._rate_limiter.discard_tokens()
        return response


def _decode(path: str, response: ClientResponse, decode: Callable[[bytes], Body]) -> Body:
    """Return the decoded body; raise CloudError if the status is not 200 or the body can't be decoded."""
    if response.status != HTTP_OK:
        raise CloudError(path, response.status)
    try:
        return decode(response.body)
    except msgspec.DecodeError as error:
        raise CloudError(path, error) from error
