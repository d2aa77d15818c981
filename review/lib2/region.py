"""Stand-ins of the state service and of the cloud, by PROTOCOL-meadowcross.md."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import Any

from lib2.wire import Answer

from simulation.standins import StateService

MAX_REQUEST_BYTES = 64 * 1024


class State(StateService):
    """The project's own stand-in of the state service, with the limits of the protocol and on the real clock."""

    def __init__(self, value_kb: float = 16.0, txn_ops: int = 24) -> None:
        super().__init__(time.monotonic)
        self.value_bytes = int(value_kb * 1024)
        self.txn_ops = txn_ops

    def transact(self, request: dict[str, Any]) -> Answer:
        """Refuse a transaction above the limits with 400, else carry it out."""
        writes = request["writes"]
        too_large = any(len(_compact(write.get("data"))) > self.value_bytes for write in writes)
        if too_large or len(writes) > self.txn_ops or len(request["if"]) > 4 * self.txn_ops:
            return 400, {"error": "malformed"}
        return super().transact(request)

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer any request, also a watch."""
        if len(body) > MAX_REQUEST_BYTES:
            return 400, {"error": "malformed"}
        return self._watch(query) if path == "/watch" else self.handle(method, path, query, body)

    def _watch(self, query: dict[str, str]) -> Answer:
        with self.lock:
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                answer = self.watch_response(query)
                if answer is not None:
                    return answer
                remaining_s = until - time.monotonic()
                if remaining_s <= 0:
                    return 200, {"ledger": self.revision, "news": []}
                self.lock.wait(min(remaining_s, 0.05))

    def leader(self) -> str | None:
        """Return the name of the node that holds the leader key."""
        with self.lock:
            self.expire()
            value = self.value("lead")
        return value["node"] if value else None


def _compact(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


class Cloud:
    """Rents machines: `on_rent` starts the worker of a machine and returns its address, `on_delete` ends it."""

    def __init__(
        self, types: list[dict[str, Any]], on_rent: Callable[[dict[str, Any]], str], on_delete: Callable[[str], None]
    ) -> None:
        self.types = types
        self.capacity = 10_000
        """Machines that may exist at the same time."""
        self.boots = True
        """Whether rented machines come up; otherwise they stay `booting`."""
        self._on_rent = on_rent
        self._on_delete = on_delete
        self._lock = threading.Lock()
        self._machines: dict[str, dict[str, Any]] = {}
        self._rented: dict[str, list[str]] = {}
        self._count = 0
        self.requests: list[tuple[float, str, str, dict[str, Any]]] = []
        """Instant, node, path and body of each request that changes something."""
        self.on_request: Callable[[str, str], None] = lambda _node, _path: None

    def answer_for(self, node: str) -> Callable[[str, str, dict[str, str], bytes], Answer]:
        """Return the handler of one node's requests."""

        def answer(method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
            if method == "POST":
                with self._lock:
                    self.requests.append((time.monotonic(), node, path, json.loads(body)))
                self.on_request(node, path)
            with self._lock:
                return self._answer(method, path, query, body)

        return answer

    def _answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/rentals/delete":
            for name in json.loads(body)["stalls"]:
                machine = self._machines.pop(name, None)
                if machine is not None and machine["addr"] is not None:
                    self._on_delete(name)
            return 200, {}
        if method == "GET":
            names = [name for name in sorted(self._machines) if name > query.get("since", "")]
            limit = int(query.get("limit", "500"))
            stalls = [self._listed(self._machines[name]) for name in names[:limit]]
            return 200, {"stalls": stalls, "hasNext": len(names) > limit}
        return self._rent(json.loads(body))

    def _listed(self, machine: dict[str, Any]) -> dict[str, Any]:
        shown = {key: value for key, value in machine.items() if key != "rented_at"}
        standing = "running" if machine["addr"] is not None else "booting"
        return {**shown, "standing": standing, "ageS": time.monotonic() - machine["rented_at"]}

    def _rent(self, request: dict[str, Any]) -> Answer:
        if request["hire"] in self._rented:
            return 200, {"stalls": self._rented[request["hire"]]}
        names = []
        for _ in range(min(request["howMany"], self.capacity - len(self._machines))):
            self._count += 1
            machine = {key: request[key] for key in ("build", "field", "stubble")}
            machine["id"] = f"i-{self._count:06d}"
            machine["addr"] = self._on_rent(machine) if self.boots else None
            machine["rented_at"] = time.monotonic()
            self._machines[machine["id"]] = machine
            names.append(machine["id"])
        if not names:
            return 503, {"error": "no capacity"}
        self._rented[request["hire"]] = names
        return 200, {"stalls": names}
