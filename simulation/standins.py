"""Test doubles of the state service, the cloud and workers, written from the protocol.

Each answers `handle(method, path, query, body)` with an HTTP status and a JSON value, so the same code serves the fake
network of the unit tests, the simulated network and real sockets.
"""

from __future__ import annotations

import json
import threading
from bisect import bisect_right
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from operator import itemgetter
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError

Answer = tuple[int, Any]
MAX_KEPT_CHANGES = 10_000
"""Number of latest changes that are always kept for watches."""
_revision_of = itemgetter("mark")


class StateService:
    """The state service: keys with revisions, leases, transactions and watches.

    `seconds` gives the time. `lock` guards all data and is notified of changes.
    """

    def __init__(self, seconds: Callable[[], float]) -> None:
        self.seconds = seconds
        self.lock = threading.Condition()
        self.keys: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self.holds: dict[int, tuple[float, float]] = {}
        self.log: list[dict[str, Any]] = []
        self.forgotten = 0
        """The revision up to which changes are no longer kept for watches."""
        self._outage = False
        self.txn_ops = 24

    @property
    def outage(self) -> bool:
        """Whether the service is unavailable. When an outage ends, all leases regain their full time."""
        return self._outage

    @outage.setter
    def outage(self, on: bool) -> None:
        if self._outage and not on:
            self.holds = {lease: (self.seconds() + ttl, ttl) for lease, (_, ttl) in self.holds.items()}
        self._outage = on

    def expire(self) -> None:
        """End the leases whose time is over, except in an outage."""
        for lease, (expires_at, _) in list(self.holds.items()):
            if self.seconds() > expires_at and not self.outage:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete the keys that are attached to it."""
        del self.holds[lease]
        for key in [name for name, item in self.keys.items() if item.get("tether") == lease]:
            self.revision += 1
            del self.keys[key]
            self.log.append({"drop": key, "mark": self.revision})
        self.lock.notify_all()

    def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer one request, except a watch, with a status and a JSON value."""
        with self.lock:
            if self.outage:
                return 503, {}
            self.expire()
            if path == "/multi":
                return self.transact(json.loads(body))
            if path == "/holds":
                lease = len(self.log) + len(self.holds) + 1000 + self.revision
                while lease in self.holds:
                    lease += 1
                ttl = json.loads(body)["ttlMs"] / 1000
                self.holds[lease] = (self.seconds() + ttl, ttl)
                return 200, {"tether": lease}
            if path.startswith("/holds/"):
                lease = int(path.split("/")[2])
                if lease not in self.holds:
                    return 404, {}
                if method == "DELETE":
                    self.end_lease(lease)
                else:
                    self.holds[lease] = (self.seconds() + self.holds[lease][1], self.holds[lease][1])
                return 200, {}
            if path.startswith("/kv/"):
                item = self.keys.get(path[4:])
                return (200, item) if item else (404, {"ledger": self.revision})
            prefix, since = query["under"], query.get("since", "")
            names = sorted(key for key in self.keys if key.startswith(prefix) and key > since)
            limit = int(query.get("limit", 1000))
            items = [self.keys[name] for name in names[:limit]]
            return 200, {"items": items, "hasNext": len(names) > limit, "ledger": self.revision}

    def transact(self, request: dict[str, Any]) -> Answer:
        """Carry out a transaction if all its conditions hold; else answer 409 with the keys that failed."""
        with self.lock:
            response = self._transact(request)
            self.lock.notify_all()
            return response

    def _transact(self, request: dict[str, Any]) -> Answer:
        assert len(request["writes"]) <= self.txn_ops
        assert len(request["if"]) <= 4 * self.txn_ops
        for write in request["writes"]:
            assert len(json.dumps(write.get("data"))) <= 16 * 1024 + 1024
            if write.get("tether") is not None and write["tether"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [
            condition["key"]
            for condition in request["if"]
            if self.keys.get(condition["key"], {"mark": 0})["mark"] != condition["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if request["writes"]:
            self.revision += 1
        if len(self.log) > 2 * MAX_KEPT_CHANGES:
            self.forgotten = self.log[-MAX_KEPT_CHANGES - 1]["mark"]
            del self.log[:-MAX_KEPT_CHANGES]
        for write in request["writes"]:
            if "write" in write:
                item = {"key": write["write"], "data": write["data"], "mark": self.revision}
                if write.get("tether") is not None:
                    item["tether"] = write["tether"]
                self.keys[write["write"]] = item
                self.log.append({"write": write["write"], "data": write["data"], "mark": self.revision})
            elif self.keys.pop(write["drop"], None) is not None:
                self.log.append({"drop": write["drop"], "mark": self.revision})
        return 200, {"ledger": self.revision}

    def watch_response(self, query: dict[str, str]) -> Answer | None:
        """The response to a watch, or None while there are no changes for it; 410 if its changes are no longer kept."""
        self.expire()
        since, prefix = int(query["since"]), query["under"]
        if since < self.forgotten and not self.outage:
            return 410, {}
        first = bisect_right(self.log, since, key=_revision_of)
        events = [event for event in self.log[first:] if (event.get("write") or event["drop"]).startswith(prefix)]
        return (200, {"ledger": self.revision, "news": events}) if events and not self.outage else None

    def value(self, key: str) -> Any:
        """The value of a key, or None if there is no such key."""
        item = self.keys.get(key)
        return item["data"] if item else None


TYPES = [
    {
        "label": "small",
        "cpus": 4.0,
        "gpus": 0.0,
        "memoryGb": 16.0,
        "localGb": 50.0,
        "fetchGbPerS": 1.0,
        "rate": 0.4,
        "marketPrice": 0.1,
        "readyS": 1.0,
        "fields": ["east", "west"],
    },
    {
        "label": "large",
        "cpus": 16.0,
        "gpus": 2.0,
        "memoryGb": 64.0,
        "localGb": 50.0,
        "fetchGbPerS": 1.0,
        "rate": 1.6,
        "marketPrice": 0.4,
        "readyS": 1.0,
        "fields": ["east"],
    },
]


class CloudService:
    """The cloud: creates and deletes machines; `on_rent` and `on_delete` are called to start and end their workers."""

    def __init__(self) -> None:
        self.machines: dict[str, dict[str, Any]] = {}
        self.requests: dict[str, list[str]] = {}
        self.on_rent: Callable[[dict[str, Any]], None] = lambda machine: None
        self.on_delete: Callable[[str], None] = lambda name: None
        self.types = TYPES
        self.full = False
        self.at_once = 3
        self.trouble = False
        self.deleted: list[str] = []

    def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer one request with a status and a JSON value."""
        if self.trouble:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/rentals/delete":
            for name in json.loads(body)["stalls"]:
                if self.machines.pop(name, None) is not None:
                    self.deleted.append(name)
                    self.on_delete(name)
            return 200, {}
        if method == "GET":
            return 200, self.list_machines(query.get("since", ""), int(query.get("limit", 500)))
        request = json.loads(body)
        if request["hire"] in self.requests:
            return 200, {"stalls": self.requests[request["hire"]]}
        names = []
        for _ in range(self.grant_count(request)):
            name = f"i-{len(self.machines) + len(self.deleted):06d}"
            machine = {wire_field: request[wire_field] for wire_field in ("build", "field", "stubble")}
            machine.update(id=name, standing="running", ageS=1.0, addr=f"{name}:9000")
            self.machines[name] = machine
            names.append(name)
            self.on_rent(machine)
        if not names:
            return 503, {"error": "no capacity"}
        self.requests[request["hire"]] = names
        return 200, {"stalls": names}

    def grant_count(self, request: dict[str, Any]) -> int:
        """How many of the requested machines are created."""
        return 0 if self.full else min(request["howMany"], self.at_once)

    def list_machines(self, since: str, limit: int) -> dict[str, Any]:
        """One page of the list of machines, of those with ids after `since`."""
        names = [name for name in sorted(self.machines) if name > since]
        return {"stalls": [self.machines[name] for name in names[:limit]], "hasNext": len(names) > limit}


class Worker:
    """A worker's side of the protocol without its lease; tasks end when a test ends them."""

    def __init__(self, machine: dict[str, Any]) -> None:
        self.machine = machine
        self.session = 1
        self.seq = 0
        self.token = 0
        self.notice: float | None = None
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.started: list[tuple[str, int]] = []

    def report(self) -> dict[str, Any]:
        """The next heartbeat, with a new sequence number."""
        self.seq += 1
        return {
            "stall": self.machine["id"],
            "addr": self.machine["addr"],
            "build": self.machine["build"],
            "field": self.machine["field"],
            "stubble": self.machine["stubble"],
            "tenure": self.session,
            "tally": self.seq,
            "crook": self.token,
            "recallS": self.notice,
            "heads": list(self.tasks.values()),
        }

    def obey(self, calls: list[dict[str, Any]]) -> None:
        """Execute commands: start, stop and reap."""
        for call in calls:
            key = (call["head"], call["round"])
            if call["call"] == "start" and key not in self.tasks:
                self.started.append(key)
                self.tasks[key] = {"head": key[0], "round": key[1], "standing": "running"}
            elif call["call"] == "stop" and key in self.tasks:
                self.end(key, "stopped")
            elif call["call"] == "reap":
                self.tasks.pop(key, None)

    def end(self, key: tuple[str, int], reason: str = "done") -> None:
        """End an attempt, unless it has ended already."""
        if self.tasks[key]["standing"] != "ended":
            self.tasks[key].update(standing="ended", cause=reason)

    def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer one request with a status and a JSON value; commands of an older token or incarnation get 409."""
        if path == "/commands":
            request = json.loads(body)
            if request["crook"] < self.token or request["tenure"] != self.session:
                return 409, self.report()
            self.token = request["crook"]
            self.obey(request["calls"])
        return 200, self.report()


class FakeNet:
    """Replaces HttpClient in unit tests with a fake clock.

    `hosts` holds request handlers by address. `faults` lists beginnings of targets (address and path), each with the
    fault of one request to it: "refuse", "lose" (executed, no response) or "late" (executed by `deliver_late`).
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.hosts: dict[str, Callable[[str, str, dict[str, str], bytes], Answer]] = {}
        self.state: StateService | None = None
        self.faults: list[tuple[str, str]] = []
        self.late: list[Callable[[], Any]] = []
        self.calls: list[tuple[str, str, bytes]] = []

    def fault_for(self, target: str) -> str | None:
        """Remove and return the first fault for a target; None if there is none."""
        for index, (prefix, kind) in enumerate(self.faults):
            if target.startswith(prefix):
                del self.faults[index]
                return kind
        return None

    def deliver_late(self) -> list[Any]:
        """Execute all late requests and return their results."""
        requests, self.late = self.late, []
        return [execute() for execute in requests]

    async def call(
        self, method: str, address: str, path: str, body: bytes | None = None, timeout: float = 2
    ) -> ClientResponse:
        """Execute a request; raises ConnectionFailedError or NoResponseError as HttpClient does."""
        host = self.hosts.get(address)
        self.calls.append((method, address + path, body or b""))
        fault = self.fault_for(address + path)
        if host is None or fault == "refuse":
            raise ConnectionFailedError(address)
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if fault == "late":
            self.late.append(lambda: host(method, parts.path, query, body or b""))
            raise NoResponseError(address)
        if parts.path == "/watch":
            return await self.watch(query)
        status, value = host(method, parts.path, query, body or b"")
        if fault == "lose":
            raise NoResponseError(address)
        return ClientResponse(status, json.dumps(value).encode())

    async def watch(self, query: dict[str, str]) -> ClientResponse:
        """Wait for changes until the watch's time is over."""
        assert self.state is not None
        until = self.clock.seconds() + int(query["waitMs"]) / 1000
        while True:
            with self.state.lock:
                answer = self.state.watch_response(query)
            if answer is None and self.clock.seconds() >= until:
                answer = (200, {"ledger": self.state.revision, "news": []})
            if answer is not None:
                return ClientResponse(answer[0], json.dumps(answer[1]).encode())
            step: Deferred[None] = Deferred()
            self.clock.callLater(0.01, step.callback, None)
            await step


def serve(service: Any, host: str, port: int) -> ThreadingHTTPServer:
    """Serve a test double on a real socket in background threads."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self) -> None:
            """Answer one request of any method."""
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if parts.path == "/watch":
                status, value = self.watch(query)
            else:
                status, value = service.handle(self.command, parts.path, query, body)
            content = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        def watch(self, query: dict[str, str]) -> Answer:
            """Wait for changes until the watch's time is over."""
            with service.lock:
                until = service.seconds() + int(query["waitMs"]) / 1000
                while True:
                    answer: Answer | None = service.watch_response(query)
                    if answer is not None:
                        return answer
                    remaining_s = until - service.seconds()
                    if remaining_s <= 0:
                        return 200, {"ledger": service.revision, "news": []}
                    # Changes end the wait; the limit of 50 ms lets leases expire without a request.
                    service.lock.wait(min(remaining_s, 0.05))

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, format: str, *args: Any) -> None:
            """Log nothing."""

    class Server(ThreadingHTTPServer):
        daemon_threads = True

        def handle_error(self, request: Any, client_address: Any) -> None:
            """Ignore errors: connections are lost whenever a test kills a node."""

    server = Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
