"""The region's services in the lab: the state service with its limits and moods, the cloud with its lags."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from simulation.http import Answer, serve
from simulation.net import Reactor
from simulation.pace import Pace
from simulation.scenario import Cloud, State, Type
from simulation.standins import CloudService, StateService

DEAD_LISTED_S = 30.0
LATE_WRITE_S = (2.0, 12.0)
BURST_S = 1.0


class Bucket:
    """A limit with a burst of some seconds' worth."""

    def __init__(self, rate: float, burst_s: float = BURST_S) -> None:
        self._rate, self._most = rate, rate * burst_s
        self._level, self._at = self._most, 0.0

    def take(self, amount: float, now: float) -> bool:
        self._level = min(self._most, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class Store:
    """The state service as a process: slow, refusing one node, late, away, and asked too often."""

    def __init__(self, reactor: Reactor, facts: State) -> None:
        self.service = StateService(reactor.seconds)
        self.service.txn_ops = facts.txn_ops
        self._reactor = reactor
        self._facts = facts
        self._requests, self._writes = Bucket(facts.rps), Bucket(facts.write_rps)
        self._looked_at = 0
        self._watches: list[tuple[str, dict[str, str], float, Deferred[Answer]]] = []
        self.slow = 1.0
        self.refused: set[str] = set()
        self.late: list[float] = []
        """For each of the next transactions that store tasks: how much later than asked it is applied, unanswered."""
        self.late_share = 0.0
        """Of all other transactions: no answer, and carried out within `LATE_WRITE_S`, after newer ones."""
        self.late_at_once = False
        """They are carried out in time instead, and only their answers are lost."""
        self.answers_lost = 0
        self.hold_if: Callable[[str, dict[str, Any]], float | None] = lambda caller, request: None
        """Of a transaction that writes: how much later than asked it is carried out, unanswered; None: in time."""
        self.late_applied = self.late_refused = 0
        self.on_written: Callable[[str, dict[str, Any]], bool] = lambda caller, request: True
        """Told of each transaction that wrote; False: its answer is lost."""
        self.requests = self.written = self.refusals = 0
        self.pace = Pace()
        self._kept: deque[tuple[float, int, dict[str, Any], dict[int, tuple[float, float]]]] = deque(maxlen=600)
        """What the store held each second: its disk, so to speak."""
        serve(reactor, 2379, self._serve)
        self._tick()
        self._keep()

    def _keep(self) -> None:
        service = self.service
        self._kept.append((self._reactor.seconds(), service.revision, dict(service.keys), dict(service.holds)))
        self._reactor.callLater(0.5, self._keep)

    def lose(self, what: str, for_s: float, prefix: str, count: int) -> None:
        """Data is gone, and nobody is told: no change, no revision says so."""
        service, now = self.service, self._reactor.seconds()
        random = self._reactor.simulation.random
        if what == "all":
            service.keys, service.holds, service.revision, service.log, service.forgotten = {}, {}, 0, [], 0
        elif what == "back":
            _, revision, keys, holds = next(kept for kept in reversed(self._kept) if kept[0] <= now - for_s)
            service.keys, service.revision = dict(keys), revision
            service.holds = {hold: (now + ttl, ttl) for hold, (_, ttl) in holds.items()}
            service.log = [event for event in service.log if event["mark"] <= revision]
        elif what == "prefix":
            service.keys = {key: item for key, item in service.keys.items() if not key.startswith(prefix)}
        else:
            names = sorted(key for key in service.keys if key[:2] in ("j/", "t/", "w/", "e/"))
            for key in random.sample(names, min(count, len(names))):
                before = next((kept[2][key] for kept in self._kept if key in kept[2]), None)
                if before is None or what == "keys":
                    del service.keys[key]
                else:
                    service.keys[key] = before
        self._look(True)

    def _tick(self) -> None:
        """Holds end without a request, and watches run out."""
        with self.service.lock:
            if not self.service.outage:
                self.service.expire()
        self._look()
        self._reactor.callLater(0.05, self._tick)

    def _look(self, new: bool = False) -> None:
        """Answer the watches that something can be told to: `new` ones, or all where something has changed."""
        if self.service.outage:
            return
        changed = new or self.service.revision != self._looked_at
        self._looked_at = self.service.revision
        now = self._reactor.seconds()
        left = []
        for caller, query, until, answer in self._watches:
            with self.service.lock:
                look = (changed or now >= until) and caller not in self.refused
                news = self.service.news(query) if look else None
            if news is None and now >= until:
                news = (200, {"ledger": self.service.revision, "news": []})
            if news is None:
                left.append((caller, query, until, answer))
            else:
                self._reactor.callLater(self._takes(), answer.callback, news)
        self._watches = left

    def _takes(self) -> float:
        random = self._reactor.simulation.random
        # Now and then a few hundred milliseconds, as the protocol says.
        rare = 0.2 if random.random() < 0.002 else 0.0
        return self.slow * (self._facts.latency_ms / 1000 * random.uniform(0.6, 1.6) + rare)

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        now = self._reactor.seconds()
        self.requests += 1
        if self.service.outage or caller in self.refused:
            return 503, {}
        writes = 0
        if path == "/multi":
            request = json.loads(body)
            writes = len(request["writes"])
        self.pace.asked(caller, writes > 0)
        if not self._requests.take(1, now) or (writes and not self._writes.take(writes, now)):
            self.refusals += 1
            return 429, {}
        answer: Deferred[Answer] = Deferred()
        if path == "/watch":
            wait = float(query.get("waitMs", 0)) / 1000
            self._watches.append((caller, query, now + wait, answer))
            self._reactor.callLater(self._takes() / 2, self._look, True)
            return answer
        if path == "/multi" and self.late and any(str(w.get("write")).startswith("t/") for w in request["writes"]):
            self._reactor.callLater(self.late.pop(0), self._apply, caller, request, None)
            return answer
        random = self._reactor.simulation.random
        if writes and (held_s := self.hold_if(caller, request)) is not None:
            self._reactor.callLater(held_s, self._apply, caller, request, None)
            return answer
        if writes and self.late_share and random.random() < self.late_share:
            late_s = random.uniform(*LATE_WRITE_S)
            if self.late_at_once:
                late_s = self._takes() / 2
                self.answers_lost += 1
            self._reactor.callLater(late_s, self._apply, caller, request, None)
            return answer
        took = self._takes()
        if path == "/multi":
            self._reactor.callLater(took / 2, self._apply, caller, request, answer)
        else:
            self._reactor.callLater(took / 2, self._do, method, path, query, body, answer)
        return answer

    def _do(self, method: str, path: str, query: dict[str, str], body: bytes, answer: Deferred[Answer]) -> None:
        result = self.service.handle(method, path, query, body)
        self._reactor.callLater(self._takes() / 2, answer.callback, result)
        self._look()

    def _apply(self, caller: str, request: dict[str, Any], answer: Deferred[Answer] | None) -> None:
        if self.service.outage:
            if answer is not None:
                answer.callback((503, {}))
            return
        result = self.service.transact(request)
        told = True
        if answer is None:
            self.late_applied += result[0] == 200
            self.late_refused += result[0] != 200
        if result[0] == 200 and request["writes"]:
            self.written += len(request["writes"])
            told = self.on_written(caller, request)
        self._look()
        if answer is not None and told:
            self._reactor.callLater(self._takes() / 2, answer.callback, result)


class Rentals(CloudService):
    """The cloud as a process: bounded room, boots, a list that lags, machines that died."""

    def __init__(self, reactor: Reactor, facts: Cloud, types: list[Type], fetch_gb_per_s: float) -> None:
        super().__init__()
        self._reactor = reactor
        self._facts = facts
        self._kinds = {one.name: one for one in types}
        self._calls = Bucket(facts.rps, 2.0)
        self.types = [
            {
                "label": one.name,
                "cpus": one.cpus,
                "gpus": 0.0,
                "memoryGb": one.memory_gb,
                "localGb": 100.0,
                "fetchGbPerS": fetch_gb_per_s,
                "rate": one.price,
                "marketPrice": one.spot_price,
                "readyS": one.boot_s,
                "fields": one.zones,
            }
            for one in types
        ]
        self.share = 1.0
        """Of the room that the types have."""
        self.rented: dict[str, float] = {}
        self.died: dict[str, float] = {}
        self._gone: dict[str, tuple[float, dict[str, Any]]] = {}
        self.refusals = 0
        serve(reactor, 8443, self._serve)

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        if not self._calls.take(1, self._reactor.seconds()):
            self.refusals += 1
            return 429, {}
        answer: Deferred[Answer] = Deferred()
        takes = self._facts.latency_ms / 1000 * self._reactor.simulation.random.uniform(0.6, 1.6)
        self._reactor.callLater(
            takes / 2,
            lambda: self._reactor.callLater(takes / 2, answer.callback, self.handle(method, path, query, body)),
        )
        return answer

    def granted(self, request: dict[str, Any]) -> int:
        kind = self._kinds[request["build"]]
        same = sum(
            1
            for one in self.machines.values()
            if (one["build"], one["field"], one["stubble"]) == (request["build"], request["field"], request["stubble"])
        )
        return max(0, min(int(request["howMany"]), int(kind.most * self.share) - same))

    def listed(self, since: str, limit: int) -> dict[str, Any]:
        now = self._reactor.seconds()
        told = now - self._facts.list_lag_s * self._reactor.simulation.random.uniform(0.5, 1.5)
        names = dict.fromkeys(name for name, at in self.rented.items() if at <= told and name in self.machines)
        names.update(dict.fromkeys(name for name, (at, _) in self._gone.items() if at > told))
        stalls = []
        for name in sorted(names):
            if name <= since:
                continue
            machine = dict(self.machines.get(name) or self._gone[name][1])
            machine.pop("cpus", None)
            machine.pop("memoryGb", None)
            machine["ageS"] = told - self.rented[name]
            dead = self.died.get(name)
            machine["standing"] = "failed" if dead is not None and now > dead + DEAD_LISTED_S else "running"
            stalls.append(machine)
        return {"stalls": stalls[:limit], "hasNext": len(stalls) > limit}

    def note_rented(self, machine: dict[str, Any]) -> None:
        kind = self._kinds[machine["build"]]
        machine.update(cpus=kind.cpus, memoryGb=kind.memory_gb)
        self.rented[machine["id"]] = self._reactor.seconds()

    def note_gone(self, machine: dict[str, Any]) -> None:
        self._gone[machine["id"]] = (self._reactor.seconds(), machine)
