"""Workers as the protocol has them: leases, sessions, tokens, images, saved progress, gangs; they die, hang, go on."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from meadowcross.common.clock import pause
from meadowcross.common.http import ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.types import Address
from simulation.http import Answer, serve
from simulation.judge import Judge
from simulation.net import Reactor, Simulation
from simulation.scenario import Workers
from simulation.standins import Worker

ANSWER_S = 4.0
ELSEWHERE_S = 1.0
CHANGE_S = 0.5
KEPT_S = 0.6
Start = tuple[str, int]


@dataclass(slots=True)
class Work:
    """A job as its user uploaded it, and what its tasks have saved and completed, outside all machines."""

    spec: dict[str, Any]
    run_s: list[float]
    saved: dict[int, float] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Run:
    """A task on this machine that has not ended."""

    number: int
    work: Work
    on: bool = False
    began: float | None = None
    timer: Any = None


class Gang:
    """One attempt of a gang: its members meet, start, save and fail together."""

    def __init__(self) -> None:
        self.members: dict[int, Machine] = {}
        self.running = False
        self.stopping = False
        self.broken = False
        self.told: set[int] = set()


class World:
    """What machines share: the jobs as uploaded, gangs' meetings, who judges, which nodes there are."""

    def __init__(self, simulation: Simulation, judge: Judge, facts: Workers, nodes: dict[str, Address]) -> None:
        self.simulation = simulation
        self.judge = judge
        self.facts = facts
        self.nodes = nodes
        """Address for workers and users by node's name."""
        self.works: dict[str, Work] = {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.on_start: Callable[[int], None] = lambda token: None
        self.copy_after: float | None = None
        """Seconds after which the network delivers each report once more, to any node."""
        self.kept: list[bytes] | None = None
        """Copies of reports that the network keeps for the next leader."""
        self.hold = (0.0, 0.0)
        """Of direct commands, the share that is held up, and for about how long; their senders have given up."""
        self.late: Counter[str] = Counter()
        """What came of those: carried out or refused, and starts of tasks whose user has cancelled their job."""
        self.courier: HttpClient | None = None
        """Who delivers what outlives its sender."""

    def deliver(self, body: bytes, node: str) -> None:
        """A copy of a report; nobody hears the answer."""
        if self.courier is not None:
            call = self.courier.call("POST", self.nodes[node], "/checkin", body, ANSWER_S)
            Deferred.fromCoroutine(call).addErrback(
                lambda failure: failure.trap(ConnectionFailedError, NoResponseError)
            )

    def deliver_kept(self) -> None:
        """Somebody begins to lead: what was kept reaches every controller, as it reads what is stored or soon after."""
        if self.kept is None:
            return
        kept, self.kept = self.kept, []
        self.late["kept for the next"] += len(kept)
        for body in kept:
            for node in sorted(self.nodes):
                wait = self.simulation.random.uniform(0.0, KEPT_S)
                self.simulation.later(wait, lambda body=body, node=node: self.deliver(body, node))  # type: ignore[misc]


class Machine(Worker):
    def __init__(self, world: World, machine: dict[str, Any], reactor: Reactor) -> None:
        super().__init__({k: machine[k] for k in ("id", "addr", "build", "field", "stubble")})
        self._world = world
        self._reactor = reactor
        self._client = HttpClient(reactor)
        self._runs: dict[Start, Run] = {}
        self._images: set[str] = set()
        self._fetching: dict[str, float] = {}
        self._cpus, self._memory = machine["cpus"], machine["memoryGb"]
        self._lease_from = reactor.seconds()
        self._reported = 0.0
        self._wake: Deferred[None] | None = None
        self._wake_set = False
        self._nodes = sorted(world.nodes)
        self._node = world.simulation.random.choice(self._nodes)
        self.sick = False
        self.deaf = False
        """Its reports arrive; answers and commands don't reach it."""
        self.mute = False
        """It reaches no controller; direct commands reach it, and are answered."""
        self.ended = False
        """It is gone, on a reactor that goes on."""

    @property
    def now(self) -> float:
        return self._reactor.seconds()

    def has_room(self, spec: dict[str, Any]) -> bool:
        """Whether one more task of the job would be taken."""
        specs = [run.work.spec for run in self._runs.values()] + [spec]
        cpus, memory_gb = sum(s["cpus"] for s in specs), sum(s["memoryGb"] for s in specs)
        return bool(cpus <= self._cpus + 1e-6 and memory_gb <= self._memory + 1e-6)

    def start(self) -> None:
        serve(self._reactor, 9000, self._serve)
        self._reactor.callLater(self._world.facts.lease_s, self._check_lease)
        Deferred.fromCoroutine(self._live())

    def stop(self, why: str) -> None:
        """The machine is gone, with all that was on it."""
        for key in list(self._runs):
            self._off(key, why)
        self._runs.clear()
        self.tasks.clear()

    # Reports and leases

    async def _live(self) -> None:
        facts, random = self._world.facts, self._world.simulation.random
        while not self.ended:
            wait = await self._report()
            if wait is None:
                wait = facts.report_s * random.uniform(0.75, 1.25)
                self._wake = Deferred()
                self._reactor.callLater(wait, self._ring, self._wake)
                await self._wake
                since = self.now - self._reported
                if since < CHANGE_S:
                    await pause(self._reactor, CHANGE_S - since)
            else:
                await pause(self._reactor, wait)

    def _ring(self, wake: Deferred[None]) -> None:
        if self._wake is wake:
            self._wake = None
            wake.callback(None)

    def _changed(self) -> None:
        if self._wake is not None and not self._wake_set:
            self._wake_set = True
            wake = self._wake
            self._reactor.callLater(0.0, self._ring_changed, wake)

    def _ring_changed(self, wake: Deferred[None]) -> None:
        self._wake_set = False
        self._ring(wake)

    async def _report(self) -> float | None:
        """One report; how long to wait before the next node is tried, or None to stay."""
        self._check_lease(False)
        sent, session = self.now, self.session
        self._reported = sent
        if self.mute:
            await pause(self._reactor, ANSWER_S)
            self._next()
            return ELSEWHERE_S
        body = json.dumps(self.report()).encode()
        if self._world.kept is not None:
            self._world.kept.append(body)
        if self._world.copy_after is not None:
            self._world.simulation.later(
                self._world.copy_after * self._world.simulation.random.uniform(0.2, 1.8),
                lambda: self._copied(body, session),
            )
        try:
            status, content = await self._client.call("POST", self._world.nodes[self._node], "/checkin", body, ANSWER_S)
            if self.deaf:
                await pause(self._reactor, sent + ANSWER_S - self.now)
        except (ConnectionFailedError, NoResponseError):
            status = 0
        if not status or self.deaf:
            self._next()
            return ELSEWHERE_S
        if status == 200:
            self._check_lease(False)
            answer = json.loads(content)
            if session == self.session and answer.get("crook", -1) >= self.token:
                self._lease_from = max(self._lease_from, sent)
                self._see(answer["crook"])
                self.obey(answer["calls"])
            return None
        drover = json.loads(content).get("drover") if status == 421 else None
        if drover in self._world.nodes and drover != self._node:
            self._node = drover
            return self._world.simulation.random.uniform(0.0, CHANGE_S)
        self._next()
        return ELSEWHERE_S

    def _copied(self, body: bytes, session: int) -> None:
        """A copy comes late, whatever has become of the machine; nobody hears the answer."""
        self._world.late["copies"] += 1
        self._world.late["copies of an earlier session"] += session < self.session
        self._world.deliver(body, self._world.simulation.random.choice(self._nodes))

    def _next(self) -> None:
        self._node = self._nodes[(self._nodes.index(self._node) + 1) % len(self._nodes)]

    def _see(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self._changed()

    def _check_lease(self, again: bool = True) -> None:
        left = self._lease_from + self._world.facts.lease_s - self.now
        if left < 0:
            self.stop("lease")
            self.session += 1
            self._lease_from = self.now
            self._changed()
            left = self._world.facts.lease_s
        if again and not self.ended:
            self._reactor.callLater(left + 0.01, self._check_lease)

    # Commands

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        if self.deaf:
            return Deferred()
        self._check_lease(False)
        if path == "/commands":
            share, for_s = self._world.hold
            if share and self._world.simulation.random.random() < share:
                wait = for_s * self._world.simulation.random.uniform(0.2, 1.8)
                self._reactor.callLater(wait, self._commanded, json.loads(body), True)
                return Deferred()
            return self._commanded(json.loads(body), False)
        return 200, self.report()

    def _commanded(self, request: dict[str, Any], late: bool) -> Answer:
        if "crook" not in request or "tenure" not in request:
            return 400, {}
        good = request["crook"] >= self.token and request["tenure"] == self.session
        starts = [call["head"] for call in request["calls"] if call["call"] == "start"]
        if late:
            self._world.late["carried out" if good else "refused"] += 1
            told = self._world.judge.jobs
            cancelled = [name for name in starts if told[name.rpartition("/")[0]].cancel_asked is not None]
            self._world.late["started though cancelled"] += len(cancelled) if good else 0
        if not good:
            return 409, self.report()
        self._see(request["crook"])
        if starts:
            self._world.on_start(request["crook"])
        self.obey(request["calls"])
        return 200, self.report()

    def obey(self, calls: list[dict[str, Any]]) -> None:
        for call in calls:
            key = (call["head"], call["round"])
            if call["call"] == "start":
                self._start(key)
            elif call["call"] == "stop" and key in self._runs:
                self._stop(key, call.get("gatherS", 0.0))
            elif call["call"] == "reap" and key in self.tasks and key not in self._runs:
                del self.tasks[key]

    def _start(self, key: Start) -> None:
        if key in self.tasks:
            return
        name, _, number = key[0].rpartition("/")
        work = self._world.works.get(name)
        self.tasks[key] = {"head": key[0], "round": key[1], "standing": "fetching"}
        if work is None or int(number) >= work.spec["heads"]:
            self._refuse(key, "no_such")
        elif any(other[0] == key[0] for other in self._runs):
            self._refuse(key, "busy")
        else:
            if not self.has_room(work.spec):
                self._refuse(key, "full")
                return
            run = self._runs[key] = Run(int(number), work)
            image = work.spec["feedstock"]
            if image in self._images:
                self._ready(key)
            else:
                there = self._fetching.setdefault(
                    image, self.now + work.spec["pullGb"] / self._world.facts.fetch_gb_per_s
                )
                run.timer = self._reactor.callLater(max(0.0, there - self.now), self._fetched, key, image)
        self._changed()

    def _refuse(self, key: Start, why: str) -> None:
        self.tasks[key].update(standing="ended", cause=why)

    def _fetched(self, key: Start, image: str) -> None:
        self._images.add(image)
        self._fetching.pop(image, None)
        self._ready(key)

    def _ready(self, key: Start) -> None:
        run = self._runs[key]
        run.timer, run.on = None, True
        spec, machine = run.work.spec, self.machine
        self._world.judge.task_on(
            spec["id"], run.number, machine["id"], machine["build"], machine["field"], machine["stubble"]
        )
        if run.number in run.work.done:
            self._end(key, "done")
        elif self.sick:
            run.timer = self._reactor.callLater(0.5, self._end, key, "error")
        elif spec["breed"] == "group":
            self.tasks[key]["standing"] = "waiting"
            run.timer = self._reactor.callLater(self._world.facts.gang_wait_s, self._end, key, "incomplete")
            self._meet(key, run)
        else:
            self._run(key, run)
        self._changed()

    def _run(self, key: Start, run: Run) -> None:
        self.tasks[key]["standing"] = "running"
        run.began = self.now
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if run.work.spec["breed"] != "daemon":
            left = run.work.run_s[run.number] - run.work.saved.get(run.number, 0.0)
            run.timer = self._reactor.callLater(max(0.01, left), self._end, key, "done")
        self._changed()

    def _progress(self, run: Run) -> float:
        saved = run.work.saved.get(run.number, 0.0)
        return saved + (self.now - run.began if run.began is not None else 0.0)

    def _checkpoint(self, run: Run) -> None:
        """What a task saved by itself while it ran."""
        every = run.work.spec["stookS"]
        if every > 0 and run.began is not None:
            run.work.saved[run.number] = max(run.work.saved.get(run.number, 0.0), self._progress(run) // every * every)

    def _stop(self, key: Start, grace: float) -> None:
        run = self._runs[key]
        spec = run.work.spec
        can_save = spec["stookS"] > 0 and run.began is not None and grace >= spec["baleS"]
        if self.tasks[key]["standing"] == "flushing":
            if grace == 0:
                self._end(key, "stopped")
        elif not can_save:
            self._end(key, "stopped")
        else:
            self.tasks[key]["standing"] = "flushing"
            run.timer.cancel()
            progress = self._progress(run)
            run.timer = self._reactor.callLater(spec["baleS"], self._saved, key, progress)
            if spec["breed"] == "group":
                gang = self._world.gangs[spec["id"], key[1]]
                gang.told.add(run.number)
                if not gang.stopping:
                    gang.stopping = True
                    self._world.simulation.later(
                        self._world.facts.gang_peer_s, lambda: break_gang(gang, spec["id"], key[1])
                    )
            self._changed()

    def _saved(self, key: Start, progress: float) -> None:
        run = self._runs[key]
        spec = run.work.spec
        if spec["breed"] == "group" and len(self._world.gangs[spec["id"], key[1]].told) < spec["heads"]:
            run.timer = self._reactor.callLater(0.1, self._saved, key, progress)
            return
        run.work.saved[run.number] = max(run.work.saved.get(run.number, 0.0), progress)
        run.began = None
        self._end(key, "stopped", True)

    def _end(self, key: Start, why: str, kept: bool = False) -> None:
        if key not in self._runs:
            return
        self.tasks[key].update(standing="ended", cause=why)
        if kept:
            self.tasks[key]["kept"] = True
        self._off(key, why)
        self._changed()

    def _off(self, key: Start, why: str) -> None:
        run = self._runs.pop(key)
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if why == "done":
            # A gang completes together: if one task is done, all are, also one whose machine went in that moment.
            together = run.work.spec["breed"] == "group"
            run.work.done.update(range(run.work.spec["heads"]) if together else [run.number])
        else:
            self._checkpoint(run)
        spec = run.work.spec
        if run.on:
            self._world.judge.task_off(spec["id"], run.number, self.machine["id"], why)
            gang = self._world.gangs.get((spec["id"], key[1])) if spec["breed"] == "group" else None
            if gang is not None and gang.members.get(run.number) is self:
                del gang.members[run.number]
                if gang.running and why != "done" and not (gang.stopping and why == "stopped"):
                    self._world.simulation.later(
                        self._world.facts.gang_peer_s / 2, lambda: break_gang(gang, spec["id"], key[1], True)
                    )

    def _meet(self, key: Start, run: Run) -> None:
        spec = run.work.spec
        gang = self._world.gangs.setdefault((spec["id"], key[1]), Gang())
        gang.members[run.number] = self
        if len(gang.members) == spec["heads"] and not gang.running:
            gang.running = True
            for number, member in sorted(gang.members.items()):
                mate = (f"{spec['id']}/{number}", key[1])
                member._run(mate, member._runs[mate])

    def hang(self, for_s: float) -> None:
        """Stands still, and goes on later: its tasks make no progress meanwhile."""
        self._reactor.frozen_until = self.now + for_s
        for run in self._runs.values():
            if run.timer is not None and run.timer.active():
                run.timer.delay(for_s)


def break_gang(gang: Gang, job: str, attempt: int, always: bool = False) -> None:
    """Who was not told of the stop in time, or lost a mate, leaves."""
    for number, member in sorted(gang.members.items()):
        if always or number not in gang.told:
            member._end((f"{job}/{number}", attempt), "mates_gone")
