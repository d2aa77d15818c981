"""Requests to the controllers: spread over all nodes, none of them trusted to answer.

A node that hangs, refuses or says 503 is passed over for a growing time, and then asked by one request at a
time. Retries come out of a budget that successes fill, so that an outage of one node adds a tenth to
the requests at most. Only what may be repeated is sent: submissions carry an id that is already stored.
"""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Address, Seconds

log = get_logger("tickets")

FIRST_PAUSE_S: Seconds = 0.5
LONGEST_PAUSE_S: Seconds = 30.0
RETRY_SHARE = 0.1
RETRIES_KEPT = 10.0
CALL_S: Seconds = 2.0


class Node:
    """One controller, as this gateway has found it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open = 0
        self.failures = 0
        self.until = 0.0
        """Passed over until then."""
        self.probing = False


class Said(NamedTuple):
    """A final answer: the status, the body, and whether an earlier try may have been carried out."""

    status: int
    body: bytes
    repeated: bool


class Busy(Exception):
    """No answer in time, or none may be asked for; ask again after so many seconds."""

    def __init__(self, after: Seconds, maybe_done: bool) -> None:
        super().__init__(f"controllers give no answer; again after {after:.1f} s")
        self.after = after
        self.maybe_done = maybe_done


class Controllers:
    def __init__(self, clock: Clock, http: HttpClient, addresses: list[Address]) -> None:
        self._clock = clock
        self._http = http
        self.nodes = [Node(address) for address in addresses]
        self._turn = 0
        self._retries = RETRIES_KEPT
        self.requests = 0
        self.retried = 0
        self._quiet_until = 0.0

    def _choose(self, tried: set[Address]) -> Node | None:
        """The next node in turn among those with the fewest open requests; one that failed is probed by a
        single request once its pause is over."""
        now = self._clock.seconds()
        ready = [n for n in self.nodes if n.address not in tried and n.until <= now and not n.probing]
        if not ready:
            return None
        self._turn += 1
        order = {node.address: (i - self._turn) % len(self.nodes) for i, node in enumerate(self.nodes)}
        return min(ready, key=lambda node: (node.open, order[node.address]))

    def _failed(self, node: Node, after: Seconds | None) -> None:
        node.failures += 1
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (node.failures - 1))
        node.until = self._clock.seconds() + max(pause, after or 0.0)
        log.debug("controller %s passed over for %.1f s", node.address, max(pause, after or 0.0))

    async def call(self, method: str, path: str, body: bytes | None, within: Seconds) -> Said:
        """A final answer (below 500 and not 429). Raises Busy where there is none within the time."""
        ends = self._clock.seconds() + within
        tried: set[Address] = set()
        maybe_done = False
        wait = FIRST_PAUSE_S
        while True:
            now = self._clock.seconds()
            if now < self._quiet_until:
                # All of them were asked to be left alone.
                raise Busy(self._quiet_until - now, maybe_done)
            node = self._choose(tried) if now < ends else None
            if node is None or (tried and self._retries < 1.0):
                pauses = [one.until - now for one in self.nodes if one.until > now]
                raise Busy(max(wait, min(pauses, default=0.0)), maybe_done)
            if tried:
                self._retries -= 1.0
                self.retried += 1
            tried.add(node.address)
            answer, unsure = await self._ask(node, method, path, body, min(CALL_S, ends - now))
            maybe_done = maybe_done or unsure
            if answer is None:
                continue
            if answer.status == 429 or answer.status >= 500:
                wait = max(wait, node.until - self._clock.seconds())
                continue
            self._retries = min(RETRIES_KEPT, self._retries + RETRY_SHARE)
            return Said(answer.status, answer.body, maybe_done)

    async def _ask(
        self, node: Node, method: str, path: str, body: bytes | None, within: Seconds
    ) -> tuple[ClientResponse | None, bool]:
        """The answer, if any, and whether the request may have been carried out without one."""
        self.requests += 1
        node.open += 1
        node.probing = node.failures > 0
        try:
            reply = await self._http.call(method, node.address, path, body, within)
        except ConnectionFailedError:
            self._failed(node, None)
            return None, False
        except NoResponseError:
            self._failed(node, None)
            return None, True
        finally:
            node.open -= 1
            node.probing = False
        if reply.status == 429 or reply.status >= 500:
            self._failed(node, 1.0)
            return reply, reply.status >= 500 and reply.status != 503
        node.failures = 0
        return reply, False
