"""Simulated services of the region: the state service with its limits and faults, and the cloud with its delays."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from simulation.http import Answer, serve
from simulation.net import Reactor
from simulation.pace import RequestLoopDetector
from simulation.scenario import Cloud, State, Type
from simulation.standins import CloudService, StateService

DEAD_LISTED_AS_RUNNING_S = 30.0
"""The cloud lists a machine that died as running for so long, then as failed."""
LATE_WRITE_DELAYS_S = (2.0, 12.0)
"""Shortest and longest delay of a transaction that is applied late."""
BURST_S = 1.0


class TokenBucket:
    """A token bucket; its capacity is the rate of `burst_s` seconds."""

    def __init__(self, rate: float, burst_s: float = BURST_S) -> None:
        self._rate, self._capacity = rate, rate * burst_s
        self._tokens, self._updated_at = self._capacity, 0.0

    def take(self, amount: float, now: float) -> bool:
        """Take `amount` tokens; False if there are fewer."""
        self._tokens = min(self._capacity, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class SimulatedStore:
    """The state service as a simulated process, with limits on its rate and with injected faults.

    It can be slow, unavailable, refuse single nodes, apply transactions late and lose responses or data.
    """

    def __init__(self, reactor: Reactor, settings: State) -> None:
        self.service = StateService(reactor.seconds)
        self.service.txn_ops = settings.txn_ops
        self._reactor = reactor
        self._settings = settings
        self._requests, self._writes = TokenBucket(settings.rps), TokenBucket(settings.write_rps)
        self._answered_revision = 0
        self._watches: list[tuple[str, dict[str, str], float, Deferred[Answer]]] = []
        self.slowdown = 1.0
        self.refused_nodes: set[str] = set()
        self.late_transaction_delays_s: list[float] = []
        """Delays in seconds of the next transactions that store tasks; they are applied late and get no response."""
        self.late_share = 0.0
        """Share of all other transactions that get no response and are applied after one of `LATE_WRITE_DELAYS_S`."""
        self.loses_only_responses = False
        """Whether those transactions are applied in time instead, and only their responses are lost."""
        self.lost_responses = 0
        self.transaction_delay: Callable[[str, dict[str, Any]], float | None] = lambda caller, request: None
        """Returns a delay in seconds for a transaction that writes, which then gets no response; None: no delay."""
        self.late_applied = self.late_rejected = 0
        self.on_written: Callable[[str, dict[str, Any]], bool] = lambda caller, request: True
        """Called after each transaction that wrote something; if it returns False, the response is lost."""
        self.requests = self.written = self.rate_limited = 0
        self.request_loops = RequestLoopDetector()
        self._versions: deque[tuple[float, int, dict[str, Any], dict[int, tuple[float, float]]]] = deque(maxlen=600)
        """Earlier contents of the store, one every half second: time, revision, keys and leases."""
        serve(reactor, 2379, self._serve)
        self._tick()
        self._record_version()

    def _record_version(self) -> None:
        service = self.service
        self._versions.append((self._reactor.seconds(), service.revision, dict(service.keys), dict(service.holds)))
        self._reactor.callLater(0.5, self._record_version)

    def lose_data(self, scope: str, for_s: float, prefix: str, count: int) -> None:
        """Lose data without a change or a new revision that shows it.

        `scope` is `all`, `back` (to the contents `for_s` seconds ago), `prefix` (all keys that begin with `prefix`),
        `keys` (`count` random keys) or `older` (`count` random keys fall back to their oldest kept versions).
        """
        service, now = self.service, self._reactor.seconds()
        random = self._reactor.simulation.random
        if scope == "all":
            service.keys, service.holds, service.revision, service.log, service.forgotten = {}, {}, 0, [], 0
        elif scope == "back":
            _, revision, keys, leases = next(
                version for version in reversed(self._versions) if version[0] <= now - for_s
            )
            service.keys, service.revision = dict(keys), revision
            service.holds = {lease: (now + ttl, ttl) for lease, (_, ttl) in leases.items()}
            service.log = [event for event in service.log if event["mark"] <= revision]
        elif scope == "prefix":
            service.keys = {key: item for key, item in service.keys.items() if not key.startswith(prefix)}
        else:
            names = sorted(key for key in service.keys if key[:2] in ("j/", "t/", "w/", "e/"))
            for key in random.sample(names, min(count, len(names))):
                before = next((version[2][key] for version in self._versions if key in version[2]), None)
                if before is None or scope == "keys":
                    del service.keys[key]
                else:
                    service.keys[key] = before
        self._answer_watches(True)

    def _tick(self) -> None:
        """Expire leases and answer watches whose time is over; called every 50 ms."""
        with self.service.lock:
            if not self.service.outage:
                self.service.expire()
        self._answer_watches()
        self._reactor.callLater(0.05, self._tick)

    def _answer_watches(self, is_new: bool = False) -> None:
        """Answer the watches with changes, and those whose time is over; `is_new`: a watch was added."""
        if self.service.outage:
            return
        changed = is_new or self.service.revision != self._answered_revision
        self._answered_revision = self.service.revision
        now = self._reactor.seconds()
        open_watches = []
        for caller, query, ends_at, response_due in self._watches:
            with self.service.lock:
                may_answer = (changed or now >= ends_at) and caller not in self.refused_nodes
                response = self.service.watch_response(query) if may_answer else None
            if response is None and now >= ends_at:
                response = (200, {"ledger": self.service.revision, "news": []})
            if response is None:
                open_watches.append((caller, query, ends_at, response_due))
            else:
                self._reactor.callLater(self._draw_latency(), response_due.callback, response)
        self._watches = open_watches

    def _draw_latency(self) -> float:
        random = self._reactor.simulation.random
        # Few requests take a few hundred milliseconds longer, as the protocol says.
        rare_delay_s = 0.2 if random.random() < 0.002 else 0.0
        return self.slowdown * (self._settings.latency_ms / 1000 * random.uniform(0.6, 1.6) + rare_delay_s)

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        now = self._reactor.seconds()
        self.requests += 1
        if self.service.outage or caller in self.refused_nodes:
            return 503, {}
        writes = 0
        if path == "/multi":
            request = json.loads(body)
            writes = len(request["writes"])
        self.request_loops.count_request(caller, writes > 0)
        if not self._requests.take(1, now) or (writes and not self._writes.take(writes, now)):
            self.rate_limited += 1
            return 429, {}
        response_due: Deferred[Answer] = Deferred()
        if path == "/watch":
            wait_s = float(query.get("waitMs", 0)) / 1000
            self._watches.append((caller, query, now + wait_s, response_due))
            self._reactor.callLater(self._draw_latency() / 2, self._answer_watches, True)
            return response_due
        if (
            path == "/multi"
            and self.late_transaction_delays_s
            and any(str(write.get("write")).startswith("t/") for write in request["writes"])
        ):
            self._reactor.callLater(self.late_transaction_delays_s.pop(0), self._apply, caller, request, None)
            return response_due
        random = self._reactor.simulation.random
        if writes and (delay_s := self.transaction_delay(caller, request)) is not None:
            self._reactor.callLater(delay_s, self._apply, caller, request, None)
            return response_due
        if writes and self.late_share and random.random() < self.late_share:
            late_s = random.uniform(*LATE_WRITE_DELAYS_S)
            if self.loses_only_responses:
                late_s = self._draw_latency() / 2
                self.lost_responses += 1
            self._reactor.callLater(late_s, self._apply, caller, request, None)
            return response_due
        latency_s = self._draw_latency()
        if path == "/multi":
            self._reactor.callLater(latency_s / 2, self._apply, caller, request, response_due)
        else:
            self._reactor.callLater(latency_s / 2, self._handle, method, path, query, body, response_due)
        return response_due

    def _handle(
        self, method: str, path: str, query: dict[str, str], body: bytes, response_due: Deferred[Answer]
    ) -> None:
        result = self.service.handle(method, path, query, body)
        self._reactor.callLater(self._draw_latency() / 2, response_due.callback, result)
        self._answer_watches()

    def _apply(self, caller: str, request: dict[str, Any], response_due: Deferred[Answer] | None) -> None:
        if self.service.outage:
            if response_due is not None:
                response_due.callback((503, {}))
            return
        result = self.service.transact(request)
        is_answered = True
        if response_due is None:
            self.late_applied += result[0] == 200
            self.late_rejected += result[0] != 200
        if result[0] == 200 and request["writes"]:
            self.written += len(request["writes"])
            is_answered = self.on_written(caller, request)
        self._answer_watches()
        if response_due is not None and is_answered:
            self._reactor.callLater(self._draw_latency() / 2, response_due.callback, result)


class SimulatedCloud(CloudService):
    """The cloud as a simulated process: limited capacity and rate, a delayed list of machines, machines that died."""

    def __init__(self, reactor: Reactor, settings: Cloud, types: list[Type], fetch_gb_per_s: float) -> None:
        super().__init__()
        self._reactor = reactor
        self._settings = settings
        self._types_by_name = {machine_type.name: machine_type for machine_type in types}
        self._calls = TokenBucket(settings.rps, 2.0)
        self.types = [
            {
                "label": machine_type.name,
                "cpus": machine_type.cpus,
                "gpus": 0.0,
                "memoryGb": machine_type.memory_gb,
                "localGb": 100.0,
                "fetchGbPerS": fetch_gb_per_s,
                "rate": machine_type.price,
                "marketPrice": machine_type.spot_price,
                "readyS": machine_type.boot_s,
                "fields": machine_type.zones,
            }
            for machine_type in types
        ]
        self.share = 1.0
        """The share of the types' capacity that is available."""
        self.created_at: dict[str, float] = {}
        """When each machine was created, also of deleted ones."""
        self.died: dict[str, float] = {}
        """When each machine died that the cloud has not deleted by itself."""
        self._deleted_machines: dict[str, tuple[float, dict[str, Any]]] = {}
        self.rate_limited = 0
        serve(reactor, 8443, self._serve)

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        if not self._calls.take(1, self._reactor.seconds()):
            self.rate_limited += 1
            return 429, {}
        response_due: Deferred[Answer] = Deferred()
        latency_s = self._settings.latency_ms / 1000 * self._reactor.simulation.random.uniform(0.6, 1.6)
        self._reactor.callLater(
            latency_s / 2,
            lambda: self._reactor.callLater(
                latency_s / 2, response_due.callback, self.handle(method, path, query, body)
            ),
        )
        return response_due

    def grant_count(self, request: dict[str, Any]) -> int:
        """How many of the requested machines the type's capacity in the zone allows."""
        machine_type = self._types_by_name[request["build"]]
        existing = sum(
            1
            for machine in self.machines.values()
            if (machine["build"], machine["field"], machine["stubble"])
            == (request["build"], request["field"], request["stubble"])
        )
        return max(0, min(int(request["howMany"]), int(machine_type.most * self.share) - existing))

    def list_machines(self, since: str, limit: int) -> dict[str, Any]:
        """One page of the list of machines, as it was a few seconds ago."""
        now = self._reactor.seconds()
        listed_at = now - self._settings.list_lag_s * self._reactor.simulation.random.uniform(0.5, 1.5)
        names = dict.fromkeys(name for name, at in self.created_at.items() if at <= listed_at and name in self.machines)
        names.update(dict.fromkeys(name for name, (at, _) in self._deleted_machines.items() if at > listed_at))
        machines = []
        for name in sorted(names):
            if name <= since:
                continue
            machine = dict(self.machines.get(name) or self._deleted_machines[name][1])
            machine.pop("cpus", None)
            machine.pop("memoryGb", None)
            machine["ageS"] = listed_at - self.created_at[name]
            died_at = self.died.get(name)
            machine["standing"] = (
                "failed" if died_at is not None and now > died_at + DEAD_LISTED_AS_RUNNING_S else "running"
            )
            machines.append(machine)
        return {"stalls": machines[:limit], "hasNext": len(machines) > limit}

    def record_created(self, machine: dict[str, Any]) -> None:
        """Record that a machine was created, and complete its description."""
        machine_type = self._types_by_name[machine["build"]]
        machine.update(cpus=machine_type.cpus, memoryGb=machine_type.memory_gb)
        self.created_at[machine["id"]] = self._reactor.seconds()

    def record_deleted(self, machine: dict[str, Any]) -> None:
        """Record that a machine was deleted; the list still shows it for a while."""
        self._deleted_machines[machine["id"]] = (self._reactor.seconds(), machine)
