"""Sends requests to the controllers, spread over all nodes, and retries on another node where one fails.

A node that hangs, refuses connections or responds with 503 is skipped for a growing time, then probed by one request at
a time. Retries are paid from a budget that successes refill, so that an outage of one node adds at most a tenth to the
requests. Only repeatable requests may be sent: submissions carry an id that is already stored.
"""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Address, Seconds

log = get_logger("tickets")

INITIAL_PAUSE_S: Seconds = 0.5
MAX_PAUSE_S: Seconds = 30.0
RETRIES_PER_SUCCESS = 0.1
MAX_RETRY_BUDGET = 10.0
ATTEMPT_TIMEOUT_S: Seconds = 2.0


class Node:
    """One controller, with what this gateway has observed of it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open_requests = 0
        self.failures = 0
        """Failures in a row."""
        self.paused_until = 0.0
        """The node gets no requests before this time of the clock."""
        self.is_probing = False
        """Whether a request is open that tests if a failed node works again."""


class FinalResponse(NamedTuple):
    """A final response."""

    status: int
    body: bytes
    may_be_repeated: bool
    """Whether an earlier attempt of the same request may have been executed."""


class ControllersUnavailableError(Exception):
    """No controller responded in time, or all are paused; the request may be sent again after `retry_after_s`."""

    def __init__(self, retry_after_s: Seconds, may_be_executed: bool) -> None:
        super().__init__(f"no response from the controllers; retry after {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s
        self.may_be_executed = may_be_executed


class ControllerClient:
    """Client of all controllers, with one retry budget for all its requests."""

    def __init__(self, clock: Clock, http: HttpClient, addresses: list[Address]) -> None:
        self._clock = clock
        self._http = http
        self.nodes = [Node(address) for address in addresses]
        self._round_robin_offset = 0
        self._retry_budget = MAX_RETRY_BUDGET
        self.requests = 0
        self.retried = 0
        self._paused_until = 0.0

    def _choose_node(self, tried: set[Address]) -> Node | None:
        """Choose among the nodes with the fewest open requests, in round-robin order; None if no node is available.

        A node that failed is probed by a single request once its pause is over.
        """
        now = self._clock.seconds()
        available = [
            candidate
            for candidate in self.nodes
            if candidate.address not in tried and candidate.paused_until <= now and not candidate.is_probing
        ]
        if not available:
            return None
        self._round_robin_offset += 1
        order = {node.address: (i - self._round_robin_offset) % len(self.nodes) for i, node in enumerate(self.nodes)}
        return min(available, key=lambda node: (node.open_requests, order[node.address]))

    def _pause_node(self, node: Node, min_pause_s: Seconds | None) -> None:
        node.failures += 1
        pause_s = min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2 ** (node.failures - 1))
        node.paused_until = self._clock.seconds() + max(pause_s, min_pause_s or 0.0)
        log.debug("controller paused node=%s pause_s=%.1f", node.address, max(pause_s, min_pause_s or 0.0))

    async def call(self, method: str, path: str, body: bytes | None, timeout_s: Seconds) -> FinalResponse:
        """Send a request and return the first final response (status below 500 and not 429).

        Raises ControllersUnavailableError if there is none within `timeout_s`.
        """
        deadline_at = self._clock.seconds() + timeout_s
        tried: set[Address] = set()
        may_be_executed = False
        retry_after_s = INITIAL_PAUSE_S
        while True:
            now = self._clock.seconds()
            if now < self._paused_until:
                # All controllers are paused.
                raise ControllersUnavailableError(self._paused_until - now, may_be_executed)
            node = self._choose_node(tried) if now < deadline_at else None
            if node is None or (tried and self._retry_budget < 1.0):
                pauses = [other.paused_until - now for other in self.nodes if other.paused_until > now]
                raise ControllersUnavailableError(max(retry_after_s, min(pauses, default=0.0)), may_be_executed)
            if tried:
                self._retry_budget -= 1.0
                self.retried += 1
            tried.add(node.address)
            response, is_unsure = await self._attempt(
                node, method, path, body, min(ATTEMPT_TIMEOUT_S, deadline_at - now)
            )
            may_be_executed = may_be_executed or is_unsure
            if response is None:
                continue
            if response.status == 429 or response.status >= 500:
                retry_after_s = max(retry_after_s, node.paused_until - self._clock.seconds())
                continue
            self._retry_budget = min(MAX_RETRY_BUDGET, self._retry_budget + RETRIES_PER_SUCCESS)
            return FinalResponse(response.status, response.body, may_be_executed)

    async def _attempt(
        self, node: Node, method: str, path: str, body: bytes | None, timeout_s: Seconds
    ) -> tuple[ClientResponse | None, bool]:
        """The response, or None, and whether the request may have been executed without a final response."""
        self.requests += 1
        node.open_requests += 1
        node.is_probing = node.failures > 0
        try:
            response = await self._http.call(method, node.address, path, body, timeout_s)
        except ConnectionFailedError:
            self._pause_node(node, None)
            return None, False
        except NoResponseError:
            self._pause_node(node, None)
            return None, True
        finally:
            node.open_requests -= 1
            node.is_probing = False
        if response.status == 429 or response.status >= 500:
            self._pause_node(node, 1.0)
            return response, response.status >= 500 and response.status != 503
        node.failures = 0
        return response, False
