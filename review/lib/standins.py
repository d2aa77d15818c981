"""Stand-ins of the state service, the cloud and the workers, written from PROTOCOL-meadowcross.md."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.lib.web import Answer, Client, Server

Record = Callable[..., None]


class Rate:
    """A limit per second that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, per_s: float, burst_s: float) -> None:
        self._per_s, self._most = per_s, per_s * burst_s
        self._left, self._at = self._most, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Take the amount if it is left."""
        now = time.monotonic()
        self._left = min(self._most, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < amount:
            return False
        self._left -= amount
        return True


class StateService:
    """The state service: keys with revisions, leases, transactions and watches."""

    def __init__(self, rps: float = 200.0, write_rps: float = 80.0, value_kb: float = 16.0, txn_ops: int = 24) -> None:
        self.keys: dict[str, dict[str, Any]] = {}
        self.ledger = 0
        self.holds: dict[int, list[float]] = {}
        self._next_hold = 1
        self.news: deque[dict[str, Any]] = deque(maxlen=10_000)
        self._requests, self._writes = Rate(rps, 1.0), Rate(write_rps, 1.0)
        self._value_bytes, self._txn_ops = int(value_kb * 1024), txn_ops
        self._changed = asyncio.Condition()
        self.latency_s = 0.003
        self.request_count = 0
        self.refused_count = 0
        self.server = Server(self.handle)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _end_hold(self, hold: int) -> None:
        self.holds.pop(hold, None)
        for key in [key for key, item in self.keys.items() if item.get("tether") == hold]:
            self.ledger += 1
            del self.keys[key]
            self.news.append({"drop": key, "mark": self.ledger})

    async def expire_forever(self) -> None:
        """End the leases whose time is over."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            over = [hold for hold, (until, _) in self.holds.items() if now > until]
            for hold in over:
                self._end_hold(hold)
            if over:
                await self._notify()

    async def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
        """Answer one request."""
        self.request_count += 1
        if not self._requests.take():
            self.refused_count += 1
            return 429, {"error": "too many requests"}
        await asyncio.sleep(self.latency_s)
        return await self.execute(method, path, query, body)

    async def execute(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Execute one request, and return its answer."""
        if path == "/multi":
            answer = self._transact(json.loads(body))
            await self._notify()
            return answer
        if path == "/holds":
            ttl_s = json.loads(body)["ttlMs"] / 1000
            hold, self._next_hold = self._next_hold, self._next_hold + 1
            self.holds[hold] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"tether": hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if method == "DELETE":
                self._end_hold(hold)
                await self._notify()
            else:
                self.holds[hold][0] = time.monotonic() + self.holds[hold][1]
            return 200, {}
        if path == "/watch":
            return await self._watch(query)
        if path.startswith("/kv/"):
            item = self.keys.get(path[len("/kv/") :])
            return (200, item) if item is not None else (404, {"ledger": self.ledger})
        if path == "/kv":
            return 200, self._page(query["under"], query.get("since", ""), int(query.get("limit", "1000")))
        return 400, {"error": "malformed"}

    def _page(self, under: str, since: str, limit: int) -> dict[str, Any]:
        names = sorted(key for key in self.keys if key.startswith(under) and key > since)
        items: list[dict[str, Any]] = []
        size = 0
        for name in names[: min(limit, 1000)]:
            size += len(json.dumps(self.keys[name]))
            if items and size > 512 * 1024:
                break
            items.append(self.keys[name])
        return {"items": items, "hasNext": len(items) < len(names), "ledger": self.ledger}

    def _transact(self, request: dict[str, Any]) -> Answer:  # noqa: C901 - the page's checks, one after the other
        conditions, writes = request.get("if", []), request.get("writes", [])
        if len(writes) > self._txn_ops or len(conditions) > 4 * self._txn_ops:
            return 400, {"error": "too large"}
        if writes and not self._writes.take(len(writes)):
            self.refused_count += 1
            return 429, {"error": "too many writes"}
        for write in writes:
            if len(json.dumps(write.get("data"), separators=(",", ":"))) > self._value_bytes:
                return 400, {"error": "value too large"}
            if write.get("tether") is not None and write["tether"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions if self.keys.get(c["key"], {"mark": 0})["mark"] != c["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.ledger += 1
        for write in writes:
            if "write" in write:
                item = {"key": write["write"], "data": write["data"], "mark": self.ledger}
                if write.get("tether") is not None:
                    item["tether"] = write["tether"]
                self.keys[write["write"]] = item
                self.news.append({"write": write["write"], "data": write["data"], "mark": self.ledger})
            elif self.keys.pop(write["drop"], None) is not None:
                self.news.append({"drop": write["drop"], "mark": self.ledger})
        return 200, {"ledger": self.ledger}

    async def _watch(self, query: dict[str, str]) -> Answer:
        under, since = query["under"], int(query["since"])
        until = time.monotonic() + min(60_000, int(query.get("waitMs", "0"))) / 1000
        while True:
            if len(self.news) == self.news.maxlen and since < self.news[0]["mark"] - 1:
                return 410, {}
            found: list[dict[str, Any]] = []
            for change in reversed(self.news):
                if change["mark"] <= since:
                    break
                if (change.get("write") or change["drop"]).startswith(under):
                    found.append(change)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"ledger": self.ledger, "news": found[::-1]}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), min(left, 1.0))

    def leader(self) -> str | None:
        """The name of the leading controller, as its key says."""
        item = self.keys.get("lead")
        return item["data"]["node"] if item is not None else None


@dataclass(eq=False)
class Task:
    """One attempt on a worker."""

    head: str
    round: int
    standing: str = "fetching"
    cause: str | None = None
    timer: asyncio.TimerHandle | None = None
    on_machine: bool = False

    def report(self) -> dict[str, Any]:
        """The attempt as a report shows it."""
        shown: dict[str, Any] = {"head": self.head, "round": self.round, "standing": self.standing}
        if self.cause is not None:
            shown["cause"] = self.cause
        return shown


@dataclass
class Uploaded:
    """A job's description as its user uploaded it for the workers."""

    spec: dict[str, Any]
    run_s: float
    done: set[int] = field(default_factory=set)


class Worker:
    """A worker with its reports, lease, sessions, tokens, images and tasks."""

    def __init__(self, platform: Platform, name: str, build: dict[str, Any], zone: str, spot: bool) -> None:
        self._platform = platform
        self.name, self.build, self.zone, self.spot = name, build, zone, spot
        self.tenure, self.tally, self.crook = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self._images: set[str] = set()
        self._client = Client()
        self.server = Server(self.handle)
        self.server.on_too_large = self._refuse_too_large
        self.sick = False
        """Whether it fails each task that it starts."""
        self._lease_from = time.monotonic()
        self._node = random.randrange(len(platform.nodes))
        self._changed = asyncio.Event()
        self._loops: list[asyncio.Task[None]] = []
        self.gone = False
        self.last_answer_at = 0.0
        """When the last report that got an answer was sent."""

    async def start(self) -> None:
        """Begin to serve commands and to report."""
        await self.server.start()
        self._lease_from = time.monotonic()
        self._loops = [asyncio.create_task(self._report_forever()), asyncio.create_task(self._watch_lease())]

    async def end(self, why: str) -> None:
        """The machine is gone, with everything on it."""
        self.gone = True
        for loop in self._loops:
            loop.cancel()
        await self.server.stop()
        self._kill_all(why)

    def _kill_all(self, why: str) -> None:
        for task in list(self.tasks.values()):
            self._finish(task, why)
        self.tasks.clear()

    def free_cpus(self) -> float:
        """CPUs that no task takes; fetching tasks count."""
        used = (self._platform.jobs[t.head.rpartition("/")[0]].spec["cpus"] for t in self._unfinished())
        return float(self.build["cpus"] - sum(used))

    def _unfinished(self) -> list[Task]:
        return [task for task in self.tasks.values() if task.standing != "ended"]

    # Reports and lease

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "stall": self.name,
            "addr": self.server.address,
            "build": self.build["label"],
            "field": self.zone,
            "stubble": self.spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "crook": self.crook,
            "recallS": None,
            "heads": [task.report() for task in self.tasks.values()],
        }

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() - self._lease_from > self._platform.lease_s:
                self._platform.record("lease_over", machine=self.name, tenure=self.tenure)
                self._kill_all("lease over")
                self.tenure += 1
                self._lease_from = time.monotonic()
                self._changed.set()

    async def _report_forever(self) -> None:
        while True:
            sent_at, tenure = time.monotonic(), self.tenure
            self._changed.clear()
            status, value = await self._client.call(
                "POST", self._platform.nodes[self._node][1], "/checkin", self._report()
            )
            next_s = 1.0
            if status == 200 and value is not None:
                self.last_answer_at = sent_at
                if tenure == self.tenure and value.get("crook", -1) >= self.crook:
                    self._lease_from = max(self._lease_from, sent_at)
                    self._see(value["crook"])
                    self._obey(value.get("calls", []))
                next_s = self._platform.report_s * random.uniform(0.75, 1.25)
            elif status == 421 and value and self._index(value.get("drover")) not in (None, self._node):
                self._node = self._index(value["drover"]) or 0
                next_s = random.uniform(0.0, 0.5)
            else:
                self._node = (self._node + 1) % len(self._platform.nodes)
            if status == 200:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), next_s)
                await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
            else:
                await asyncio.sleep(next_s)

    def _index(self, node: str | None) -> int | None:
        names = [name for name, _ in self._platform.nodes]
        return names.index(node) if node in names else None

    def _see(self, crook: int) -> None:
        if crook > self.crook:
            self.crook = crook
            self._changed.set()

    # Commands

    async def handle(self, _method: str, path: str, _query: dict[str, str], body: bytes) -> Answer | None:
        """Answer a direct request."""
        if path == "/status":
            return 200, self._report()
        request = json.loads(body)
        self._platform.record("commands", machine=self.name, bytes=len(body), calls=len(request.get("calls", [])))
        if "crook" not in request or "tenure" not in request:
            return 400, {}
        if request["crook"] < self.crook or request["tenure"] != self.tenure:
            return 409, self._report()
        self._see(request["crook"])
        self._obey(request.get("calls", []))
        return 200, self._report()

    def _refuse_too_large(self, _method: str, path: str, body: bytes) -> None:
        starts = body.count(b'"call":"start"')
        self._platform.record("too_large", machine=self.name, path=path, bytes=len(body), starts=starts)
        self._platform.too_large.append(len(body))

    def _obey(self, calls: list[dict[str, Any]]) -> None:
        for call in calls:
            key = (call["head"], call["round"])
            self._platform.record("command", machine=self.name, **call)
            if call["call"] == "start" and key not in self.tasks:
                self._start(Task(*key))
            elif call["call"] == "stop" and key in self.tasks and self.tasks[key].standing != "ended":
                self._finish(self.tasks[key], "stopped")
            elif call["call"] == "reap" and key in self.tasks and self.tasks[key].standing == "ended":
                del self.tasks[key]

    def _start(self, task: Task) -> None:
        name, _, number = task.head.rpartition("/")
        job = self._platform.jobs.get(name)
        self.tasks[task.head, task.round] = task
        self._changed.set()
        if job is None or int(number) >= job.spec["heads"]:
            self._finish(task, "no_such")
            return
        others = [other for other in self._unfinished() if other is not task]
        if any(other.head == task.head for other in others):
            self._finish(task, "busy")
            return
        specs = [self._platform.jobs[t.head.rpartition("/")[0]].spec for t in others] + [job.spec]
        if (
            sum(s["cpus"] for s in specs) > self.build["cpus"] + 1e-6
            or sum(s["memoryGb"] for s in specs) > self.build["memoryGb"] + 1e-6
        ):
            self._finish(task, "full")
            return
        image = job.spec["feedstock"]
        fetch_s = 0.0 if image in self._images else job.spec["pullGb"] / self.build["fetchGbPerS"]
        task.timer = asyncio.get_running_loop().call_later(fetch_s, self._has_image, task, job, image)

    def _has_image(self, task: Task, job: Uploaded, image: str) -> None:
        self._images.add(image)
        number = int(task.head.rpartition("/")[2])
        task.standing, task.on_machine = "running", True
        self._platform.record("task_on", machine=self.name, head=task.head, round=task.round)
        self._platform.on_task(self, task)
        loop = asyncio.get_running_loop()
        if job.spec["breed"] == "group" and not self.sick and number not in job.done:
            task.standing = "waiting"
            task.timer = loop.call_later(self._platform.gang_wait_s, self._finish, task, "incomplete")
            self._platform.join_gang(self, task, job)
        elif self.sick:
            task.timer = loop.call_later(0.3, self._finish, task, "error")
        elif number in job.done:
            self._finish(task, "done")
        elif job.spec["breed"] != "daemon":
            task.timer = loop.call_later(job.run_s, self._finish, task, "done")
        self._changed.set()

    def run_in_gang(self, task: Task, job: Uploaded) -> None:
        """Run a task whose gang is complete."""
        if task.timer is not None:
            task.timer.cancel()
        task.standing = "running"
        task.timer = asyncio.get_running_loop().call_later(job.run_s, self._finish, task, "done")
        self._changed.set()

    def lose_mates(self, task: Task) -> None:
        """End a task of a running gang that has lost another task."""
        if task.standing == "running":
            self._finish(task, "mates_gone")

    def _finish(self, task: Task, cause: str) -> None:
        if task.standing == "ended":
            return
        if task.timer is not None:
            task.timer.cancel()
        task.standing, task.cause = "ended", cause
        if cause == "done":
            name, _, number = task.head.rpartition("/")
            self._platform.jobs[name].done.add(int(number))
        if task.on_machine:
            task.on_machine = False
            self._platform.record("task_off", machine=self.name, head=task.head, round=task.round, cause=cause)
            self._platform.off_task(self, task)
            self._platform.leave_gang(task, cause)
        elif cause in ("full", "busy", "no_such"):
            self._platform.record("refused", machine=self.name, head=task.head, round=task.round, cause=cause)
        self._changed.set()


class Platform:
    """The cloud, with capacity by type, zone and kind, and the workers on its machines."""

    def __init__(  # noqa: PLR0913 - the settings of a site
        self,
        record: Record,
        nodes: list[tuple[str, str]],
        builds: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        report_s: float = 3.0,
        lease_s: float = 16.0,
        boot_s: float = 2.0,
        list_lag_s: float = 5.0,
        rps: float = 5.0,
    ) -> None:
        """`nodes`: names and API addresses of the controllers. `capacity`: machines by type, zone and spot."""
        self.record, self.nodes, self.builds, self.capacity = record, nodes, builds, dict(capacity)
        self.report_s, self.lease_s, self._boot_s, self._list_lag_s = report_s, lease_s, boot_s, list_lag_s
        self.gang_wait_s, self.gang_peer_s = 50.0, 8.0
        self._gangs: dict[tuple[str, int], dict[str, tuple[Worker, Task]]] = {}
        self.started_gangs: set[str] = set()
        """The jobs that are gangs all of whose tasks ran at the same time."""
        self.jobs: dict[str, Uploaded] = {}
        self.workers: dict[str, Worker] = {}
        self.on_now: dict[str, list[tuple[str, int]]] = {}
        """By task: the machines and attempts that it is on now."""
        self.broken: list[str] = []
        """Broken rules that the machines have seen."""
        self.rental_requests: list[tuple[str, str, bool]] = []
        """Type, zone and kind of each request for machines."""
        self.too_large: list[int] = []
        """Sizes of the requests to workers whose bodies were larger than the protocol allows."""
        self._hires: dict[str, list[str]] = {}
        self._created: dict[str, tuple[float, dict[str, Any], str, bool]] = {}
        self._gone: dict[str, float] = {}
        self._counter = 0
        self._rate = Rate(rps, 2.0)
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = Server(self.handle)

    def on_task(self, worker: Worker, task: Task) -> None:
        """A task is on a machine from now on."""
        places = self.on_now.setdefault(task.head, [])
        if any(machine != worker.name for machine, _ in places):
            self.broken.append(f"ran_twice: {task.head} starts on {worker.name} while it is on {places}")
            self.record("broken", rule="ran_twice", head=task.head, machine=worker.name, on=places)
        places.append((worker.name, task.round))

    def join_gang(self, worker: Worker, task: Task, job: Uploaded) -> None:
        """A task of a gang has its image and waits for the others of its attempt."""
        name = task.head.rpartition("/")[0]
        members = self._gangs.setdefault((name, task.round), {})
        members[task.head] = (worker, task)
        if len(members) == job.spec["heads"]:
            self.record("gang_runs", job=name, round=task.round)
            self.started_gangs.add(name)
            for member, member_task in members.values():
                member.run_in_gang(member_task, job)

    def leave_gang(self, task: Task, cause: str) -> None:
        """A task has left its gang; the others of a running gang notice it unless all are done."""
        members = self._gangs.get((task.head.rpartition("/")[0], task.round), {})
        if members.pop(task.head, None) is not None and cause != "done":
            for worker, mate in list(members.values()):
                asyncio.get_running_loop().call_later(self.gang_peer_s / 2, worker.lose_mates, mate)

    def off_task(self, worker: Worker, task: Task) -> None:
        """A task is not on a machine any more."""
        self.on_now[task.head].remove((worker.name, task.round))

    async def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
        """Answer one request to the cloud."""
        if not self._rate.take():
            return 429, {}
        await asyncio.sleep(0.05)
        if path == "/machine_types":
            return 200, {"builds": self.builds}
        if path == "/rentals" and method == "GET":
            return 200, self._list(query.get("since", ""), int(query.get("limit", "500")))
        if path == "/rentals":
            return self._rent(json.loads(body))
        if path == "/rentals/delete":
            for name in json.loads(body)["stalls"]:
                await self.take_away(name, "deleted")
            return 200, {}
        return 400, {}

    def _rent(self, request: dict[str, Any]) -> Answer:
        if request["hire"] in self._hires:
            return 200, {"stalls": self._hires[request["hire"]]}
        kind = (request["build"], request["field"], request["stubble"])
        self.rental_requests.append(kind)
        count = min(request["howMany"], 50, self.capacity.get(kind, 0))
        if count <= 0:
            self.record("no_capacity", hire=request["hire"], kind=list(kind))
            return 503, {"error": "no capacity"}
        build = next(b for b in self.builds if b["label"] == request["build"])
        names = []
        for _ in range(count):
            self._counter += 1
            name = f"i-{self._counter:06d}"
            self.capacity[kind] -= 1
            self._created[name] = (time.monotonic(), build, kind[1], kind[2])
            names.append(name)
            boot = asyncio.create_task(self._boot(name))
            self._tasks.add(boot)
        self._hires[request["hire"]] = names
        self.record("rented", hire=request["hire"], kind=list(kind), machines=names)
        return 200, {"stalls": names}

    async def _boot(self, name: str) -> None:
        _, build, zone, spot = self._created[name]
        await asyncio.sleep(self._boot_s * random.uniform(0.8, 1.2))
        if name in self._gone:
            return
        worker = self.workers[name] = Worker(self, name, build, zone, spot)
        await worker.start()
        self.record("machine_up", machine=name, address=worker.server.address)

    async def take_away(self, name: str, why: str) -> None:
        """End a machine, if it exists."""
        if name not in self._created or name in self._gone:
            return
        self._gone[name] = time.monotonic()
        _, build, zone, spot = self._created[name]
        self.capacity[build["label"], zone, spot] += 1
        worker = self.workers.pop(name, None)
        self.record("machine_gone", machine=name, why=why)
        if worker is not None:
            await worker.end(why)

    def _list(self, since: str, limit: int) -> dict[str, Any]:
        at = time.monotonic() - self._list_lag_s
        names = [
            name
            for name, (created_at, *_) in sorted(self._created.items())
            if name > since and created_at <= at and self._gone.get(name, at + 1.0) > at
        ]
        stalls = []
        for name in names[:limit]:
            created_at, build, zone, spot = self._created[name]
            entry: dict[str, Any] = {"id": name, "build": build["label"], "field": zone, "stubble": spot}
            worker = self.workers.get(name)
            entry.update(standing="running" if worker else "booting", ageS=at - created_at)
            if worker is not None:
                entry["addr"] = worker.server.address
            stalls.append(entry)
        return {"stalls": stalls, "hasNext": len(names) > limit}
