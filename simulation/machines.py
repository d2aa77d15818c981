"""Simulated workers with the whole protocol: leases, incarnations, fencing tokens, images, checkpoints, gangs."""

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

RESPONSE_TIMEOUT_S = 4.0
NEXT_NODE_DELAY_S = 1.0
"""Delay before the next node is tried after a failed report."""
MIN_REPORT_INTERVAL_S = 0.5
"""Shortest time between two reports to the same node."""
KEPT_DELIVERY_S = 0.6
"""Kept copies of reports are delivered at random within this time after a new leader was elected."""
AttemptKey = tuple[str, int]
"""A task's name and the number of its attempt."""


@dataclass(slots=True)
class UploadedJob:
    """A job as its user uploaded it, and the progress that its tasks stored outside their machines.

    `saved` holds checkpointed seconds of work by task number.
    """

    spec: dict[str, Any]
    run_s: list[float]
    saved: dict[int, float] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)


@dataclass(slots=True)
class RunningTask:
    """An attempt on this machine that has not ended."""

    number: int
    job: UploadedJob
    has_image: bool = False
    """Whether its image is there."""
    running_since: float | None = None
    timer: Any = None


@dataclass(frozen=True, slots=True)
class CommandCopies:
    """Late copies of direct commands that a worker has executed and answered."""

    share: float
    """Share of the requests that are copied."""
    delay_s: float
    """Mean delay of a copy."""
    count: int
    """Copies of each of these requests."""


class Gang:
    """One attempt of a gang, whose members start, save their progress and fail together."""

    def __init__(self) -> None:
        self.members: dict[int, Machine] = {}
        self.running = False
        self.stopping = False
        self.stop_received_by: set[int] = set()
        """Numbers of the members that received the stop command."""


class SharedState:
    """The state that all machines share: uploaded jobs, gangs, the judge, the nodes and the faults of the network."""

    def __init__(self, simulation: Simulation, judge: Judge, facts: Workers, nodes: dict[str, Address]) -> None:
        self.simulation = simulation
        self.judge = judge
        self.facts = facts
        self.nodes = nodes
        """API address by node name."""
        self.uploaded_jobs: dict[str, UploadedJob] = {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.on_start_commands: Callable[[int], None] = lambda token: None
        self.copy_delay_s: float | None = None
        """Mean delay in seconds after which the network delivers a copy of each report; None: no copies."""
        self.kept_reports: list[bytes] | None = None
        """Copies of reports that the network keeps until the next leader is elected; None: it keeps none."""
        self.command_delay = (0.0, 0.0)
        """Share of delayed direct commands, and their mean delay in seconds; their senders get no response."""
        self.command_copies: CommandCopies | None = None
        """Copies of direct commands that the network delivers; None: no copies."""
        self.find_machine: Callable[[str], Machine | None] = lambda _name: None
        """Returns the worker that runs on a machine now, or None."""
        self.late: Counter[str] = Counter()
        """Counts of delayed commands and of copies by outcome, of the attempts that they started though the user had
        cancelled, or though the worker had reaped them, and of late copies of reports."""
        self.delivery_client: HttpClient | None = None
        """Delivers the copies of reports, also of machines that are gone."""

    def deliver_copy(self, body: bytes, node: str) -> None:
        """Send a copy of a report to a node, and ignore the response."""
        if self.delivery_client is not None:
            delivery = self.delivery_client.call("POST", self.nodes[node], "/checkin", body, RESPONSE_TIMEOUT_S)
            Deferred.fromCoroutine(delivery).addErrback(
                lambda failure: failure.trap(ConnectionFailedError, NoResponseError)
            )

    def deliver_command_copy(self, machine: str, body: bytes) -> None:
        """Deliver a copy of direct commands to the worker that runs on the machine now, if any."""
        worker = self.find_machine(machine)
        if worker is not None:
            worker.receive_command_copy(body)

    def deliver_kept_reports(self) -> None:
        """Deliver the kept copies to all nodes while the new leader loads the stored state, or soon after."""
        if self.kept_reports is None:
            return
        reports, self.kept_reports = self.kept_reports, []
        self.late["kept for the next"] += len(reports)
        for body in reports:
            for node in sorted(self.nodes):
                delay_s = self.simulation.random.uniform(0.0, KEPT_DELIVERY_S)
                self.simulation.later(delay_s, lambda body=body, node=node: self.deliver_copy(body, node))  # type: ignore[misc]


class Machine(Worker):
    """A worker on a simulated machine, with its lease, reports and running tasks.

    `machine` is the cloud's description of the machine.
    """

    def __init__(self, shared: SharedState, machine: dict[str, Any], reactor: Reactor) -> None:
        super().__init__({name: machine[name] for name in ("id", "addr", "build", "field", "stubble")})
        self._shared = shared
        self._reactor = reactor
        self._client = HttpClient(reactor)
        self._running_tasks: dict[AttemptKey, RunningTask] = {}
        self._images: set[str] = set()
        self._fetching: dict[str, float] = {}
        self._cpus, self._memory = machine["cpus"], machine["memoryGb"]
        self._lease_renewed_at = reactor.seconds()
        self._reported_at = 0.0
        self._wake: Deferred[None] | None = None
        self._is_wake_scheduled = False
        self._nodes = sorted(shared.nodes)
        self._node = shared.simulation.random.choice(self._nodes)
        self.fails_tasks = False
        """Whether each task that starts on it fails half a second later."""
        self.deaf = False
        """Whether its reports arrive while responses and commands don't reach it."""
        self.mute = False
        """Whether it reaches no controller while direct commands reach it and get a response."""
        self.is_gone = False
        """Whether the machine is gone although its reactor still runs."""

    @property
    def now(self) -> float:
        """The time in seconds."""
        return self._reactor.seconds()

    def has_room(self, spec: dict[str, Any]) -> bool:
        """Whether one more task of the job fits on the machine."""
        specs = [run.job.spec for run in self._running_tasks.values()] + [spec]
        cpus, memory_gb = sum(task["cpus"] for task in specs), sum(task["memoryGb"] for task in specs)
        return bool(cpus <= self._cpus + 1e-6 and memory_gb <= self._memory + 1e-6)

    def start(self) -> None:
        """Begin to serve commands and to send reports."""
        serve(self._reactor, 9000, self._serve)
        self._reactor.callLater(self._shared.facts.lease_s, self._check_lease)
        Deferred.fromCoroutine(self._report_loop())

    def stop(self, reason: str) -> None:
        """End all tasks on the machine, because it is gone or its lease has run out."""
        for key in list(self._running_tasks):
            self._remove_task(key, reason)
        self._running_tasks.clear()
        self.tasks.clear()

    # Reports and the worker lease

    async def _report_loop(self) -> None:
        facts, random = self._shared.facts, self._shared.simulation.random
        while not self.is_gone:
            wait_s = await self._send_report()
            if wait_s is None:
                wait_s = facts.report_s * random.uniform(0.75, 1.25)
                self._wake = Deferred()
                self._reactor.callLater(wait_s, self._wake_up, self._wake)
                await self._wake
                elapsed_s = self.now - self._reported_at
                if elapsed_s < MIN_REPORT_INTERVAL_S:
                    await pause(self._reactor, MIN_REPORT_INTERVAL_S - elapsed_s)
            else:
                await pause(self._reactor, wait_s)

    def _wake_up(self, wake: Deferred[None]) -> None:
        if self._wake is wake:
            self._wake = None
            wake.callback(None)

    def _report_soon(self) -> None:
        if self._wake is not None and not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            wake = self._wake
            self._reactor.callLater(0.0, self._wake_up_after_change, wake)

    def _wake_up_after_change(self, wake: Deferred[None]) -> None:
        self._is_wake_scheduled = False
        self._wake_up(wake)

    async def _send_report(self) -> float | None:
        """Send a report. Return the delay in seconds before another node is tried, or None to stay with this one."""
        self._check_lease(False)
        sent_at, session = self.now, self.session
        self._reported_at = sent_at
        if self.mute:
            await pause(self._reactor, RESPONSE_TIMEOUT_S)
            self._select_next_node()
            return NEXT_NODE_DELAY_S
        body = json.dumps(self.report()).encode()
        if self._shared.kept_reports is not None:
            self._shared.kept_reports.append(body)
        if self._shared.copy_delay_s is not None:
            self._shared.simulation.later(
                self._shared.copy_delay_s * self._shared.simulation.random.uniform(0.2, 1.8),
                lambda: self._deliver_late_copy(body, session),
            )
        try:
            status, content = await self._client.call(
                "POST", self._shared.nodes[self._node], "/checkin", body, RESPONSE_TIMEOUT_S
            )
            if self.deaf:
                await pause(self._reactor, sent_at + RESPONSE_TIMEOUT_S - self.now)
        except (ConnectionFailedError, NoResponseError):
            status = 0
        if not status or self.deaf:
            self._select_next_node()
            return NEXT_NODE_DELAY_S
        if status == 200:
            self._check_lease(False)
            response = json.loads(content)
            if session == self.session and response.get("crook", -1) >= self.token:
                self._lease_renewed_at = max(self._lease_renewed_at, sent_at)
                self._on_token_seen(response["crook"])
                self.obey(response["calls"])
            return None
        leader = json.loads(content).get("drover") if status == 421 else None
        if leader in self._shared.nodes and leader != self._node:
            self._node = leader
            return self._shared.simulation.random.uniform(0.0, MIN_REPORT_INTERVAL_S)
        self._select_next_node()
        return NEXT_NODE_DELAY_S

    def _deliver_late_copy(self, body: bytes, session: int) -> None:
        """Deliver a late copy of a report, whatever became of the machine."""
        self._shared.late["copies"] += 1
        self._shared.late["copies of an earlier session"] += session < self.session
        self._shared.deliver_copy(body, self._shared.simulation.random.choice(self._nodes))

    def _select_next_node(self) -> None:
        self._node = self._nodes[(self._nodes.index(self._node) + 1) % len(self._nodes)]

    def _on_token_seen(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self._report_soon()

    def _check_lease(self, repeats: bool = True) -> None:
        remaining_s = self._lease_renewed_at + self._shared.facts.lease_s - self.now
        if remaining_s < 0:
            self.stop("lease")
            self.session += 1
            self._lease_renewed_at = self.now
            self._report_soon()
            remaining_s = self._shared.facts.lease_s
        if repeats and not self.is_gone:
            self._reactor.callLater(remaining_s + 0.01, self._check_lease)

    # Commands

    def _serve(
        self, caller: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer | Deferred[Answer]:
        if self.deaf:
            return Deferred()
        self._check_lease(False)
        if path == "/commands":
            share, delay_s = self._shared.command_delay
            if share and self._shared.simulation.random.random() < share:
                wait_s = delay_s * self._shared.simulation.random.uniform(0.2, 1.8)
                self._reactor.callLater(wait_s, self._commanded, json.loads(body), True)
                return Deferred()
            answer = self._commanded(json.loads(body), False)
            self._copy_commands(body)
            return answer
        return 200, self.report()

    def _copy_commands(self, body: bytes) -> None:
        """Let the network deliver copies of an answered request to whatever worker the machine has then."""
        copies, random = self._shared.command_copies, self._shared.simulation.random
        if copies is None or random.random() >= copies.share:
            return
        for _ in range(copies.count):
            delay_s = copies.delay_s * random.uniform(0.2, 1.8)
            self._shared.simulation.later(delay_s, lambda: self._shared.deliver_command_copy(self.machine["id"], body))

    def receive_command_copy(self, body: bytes) -> None:
        """Judge a copy of direct commands by token and incarnation, once the machine runs; nobody gets the answer."""
        self._reactor.callLater(0.0, self._execute_copy, json.loads(body))

    def _execute_copy(self, request: dict[str, Any]) -> None:
        known = set(self.tasks)
        status = 0 if self.deaf else self._commanded(request, False)[0]
        late = self._shared.late
        late["copies executed" if status == 200 else "copies refused"] += 1
        late["attempts started by copies"] += len(self.tasks.keys() - known)

    def _commanded(self, request: dict[str, Any], late: bool) -> Answer:
        if "crook" not in request or "tenure" not in request:
            return 400, {}
        is_current = request["crook"] >= self.token and request["tenure"] == self.session
        starts = [call["head"] for call in request["calls"] if call["call"] == "start"]
        if late:
            self._shared.late["carried out" if is_current else "refused"] += 1
            records = self._shared.judge.jobs
            cancelled = [name for name in starts if records[name.rpartition("/")[0]].cancel_asked is not None]
            self._shared.late["started though cancelled"] += len(cancelled) if is_current else 0
        if not is_current:
            return 409, self.report()
        self._on_token_seen(request["crook"])
        if starts:
            self._shared.on_start_commands(request["crook"])
        self.obey(request["calls"])
        return 200, self.report()

    def obey(self, calls: list[dict[str, Any]]) -> None:
        """Execute commands: start, stop and reap."""
        for call in calls:
            key = (call["head"], call["round"])
            if call["call"] == "start":
                self._start_task(key)
            elif call["call"] == "stop" and key in self._running_tasks:
                self._stop_task(key, call.get("gatherS", 0.0))
            elif call["call"] == "reap" and key in self.tasks and key not in self._running_tasks:
                del self.tasks[key]

    def _start_task(self, key: AttemptKey) -> None:
        if key in self.tasks:
            return
        name, _, number = key[0].rpartition("/")
        job = self._shared.uploaded_jobs.get(name)
        self.tasks[key] = {"head": key[0], "round": key[1], "standing": "fetching"}
        if job is None or int(number) >= job.spec["heads"]:
            self._reject_start(key, "no_such")
        elif any(other[0] == key[0] for other in self._running_tasks):
            self._reject_start(key, "busy")
        else:
            if not self.has_room(job.spec):
                self._reject_start(key, "full")
                return
            run = self._running_tasks[key] = RunningTask(int(number), job)
            image = job.spec["feedstock"]
            if image in self._images:
                self._on_image_ready(key)
            else:
                fetched_at = self._fetching.setdefault(
                    image, self.now + job.spec["pullGb"] / self._shared.facts.fetch_gb_per_s
                )
                run.timer = self._reactor.callLater(max(0.0, fetched_at - self.now), self._on_image_fetched, key, image)
        self._report_soon()

    def _reject_start(self, key: AttemptKey, reason: str) -> None:
        self.tasks[key].update(standing="ended", cause=reason)

    def _on_image_fetched(self, key: AttemptKey, image: str) -> None:
        self._images.add(image)
        self._fetching.pop(image, None)
        self._on_image_ready(key)

    def _on_image_ready(self, key: AttemptKey) -> None:
        run = self._running_tasks[key]
        run.timer, run.has_image = None, True
        spec, machine = run.job.spec, self.machine
        self._shared.judge.task_on(
            spec["id"], run.number, machine["id"], machine["build"], machine["field"], machine["stubble"]
        )
        if run.number in run.job.done:
            self._end_task(key, "done")
        elif self.fails_tasks:
            run.timer = self._reactor.callLater(0.5, self._end_task, key, "error")
        elif spec["breed"] == "group":
            self.tasks[key]["standing"] = "waiting"
            run.timer = self._reactor.callLater(self._shared.facts.gang_wait_s, self._end_task, key, "incomplete")
            self._join_gang(key, run)
        else:
            self._start_running(key, run)
        self._report_soon()

    def _start_running(self, key: AttemptKey, run: RunningTask) -> None:
        self.tasks[key]["standing"] = "running"
        run.running_since = self.now
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if run.job.spec["breed"] != "daemon":
            remaining_s = run.job.run_s[run.number] - run.job.saved.get(run.number, 0.0)
            run.timer = self._reactor.callLater(max(0.01, remaining_s), self._end_task, key, "done")
        self._report_soon()

    def _progress(self, run: RunningTask) -> float:
        saved = run.job.saved.get(run.number, 0.0)
        return saved + (self.now - run.running_since if run.running_since is not None else 0.0)

    def _save_checkpoints(self, run: RunningTask) -> None:
        """Save the checkpoints that the task wrote while it ran."""
        interval_s = run.job.spec["stookS"]
        if interval_s > 0 and run.running_since is not None:
            run.job.saved[run.number] = max(
                run.job.saved.get(run.number, 0.0), self._progress(run) // interval_s * interval_s
            )

    def _stop_task(self, key: AttemptKey, grace_s: float) -> None:
        run = self._running_tasks[key]
        spec = run.job.spec
        can_save = spec["stookS"] > 0 and run.running_since is not None and grace_s >= spec["baleS"]
        if self.tasks[key]["standing"] == "flushing":
            if grace_s == 0:
                self._end_task(key, "stopped")
        elif not can_save:
            self._end_task(key, "stopped")
        else:
            self.tasks[key]["standing"] = "flushing"
            run.timer.cancel()
            progress = self._progress(run)
            run.timer = self._reactor.callLater(spec["baleS"], self._on_progress_saved, key, progress)
            if spec["breed"] == "group":
                gang = self._shared.gangs[spec["id"], key[1]]
                gang.stop_received_by.add(run.number)
                if not gang.stopping:
                    gang.stopping = True
                    self._shared.simulation.later(
                        self._shared.facts.gang_peer_s, lambda: end_gang_members(gang, spec["id"], key[1])
                    )
            self._report_soon()

    def _on_progress_saved(self, key: AttemptKey, progress: float) -> None:
        run = self._running_tasks[key]
        spec = run.job.spec
        if spec["breed"] == "group" and len(self._shared.gangs[spec["id"], key[1]].stop_received_by) < spec["heads"]:
            run.timer = self._reactor.callLater(0.1, self._on_progress_saved, key, progress)
            return
        run.job.saved[run.number] = max(run.job.saved.get(run.number, 0.0), progress)
        run.running_since = None
        self._end_task(key, "stopped", True)

    def _end_task(self, key: AttemptKey, reason: str, has_saved: bool = False) -> None:
        if key not in self._running_tasks:
            return
        self.tasks[key].update(standing="ended", cause=reason)
        if has_saved:
            self.tasks[key]["kept"] = True
        self._remove_task(key, reason)
        self._report_soon()

    def _remove_task(self, key: AttemptKey, reason: str) -> None:
        run = self._running_tasks.pop(key)
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if reason == "done":
            # A gang completes as a whole: once a task is done, all are, also one whose machine is lost at that moment.
            is_gang = run.job.spec["breed"] == "group"
            run.job.done.update(range(run.job.spec["heads"]) if is_gang else [run.number])
        else:
            self._save_checkpoints(run)
        spec = run.job.spec
        if run.has_image:
            self._shared.judge.task_off(spec["id"], run.number, self.machine["id"], reason)
            gang = self._shared.gangs.get((spec["id"], key[1])) if spec["breed"] == "group" else None
            if gang is not None and gang.members.get(run.number) is self:
                del gang.members[run.number]
                if gang.running and reason != "done" and not (gang.stopping and reason == "stopped"):
                    self._shared.simulation.later(
                        self._shared.facts.gang_peer_s / 2, lambda: end_gang_members(gang, spec["id"], key[1], True)
                    )

    def _join_gang(self, key: AttemptKey, run: RunningTask) -> None:
        spec = run.job.spec
        gang = self._shared.gangs.setdefault((spec["id"], key[1]), Gang())
        gang.members[run.number] = self
        if len(gang.members) == spec["heads"] and not gang.running:
            gang.running = True
            for number, member in sorted(gang.members.items()):
                sibling = (f"{spec['id']}/{number}", key[1])
                member._start_running(sibling, member._running_tasks[sibling])

    def hang(self, for_s: float) -> None:
        """Freeze the machine for a while; its tasks make no progress meanwhile."""
        self._reactor.frozen_until = self.now + for_s
        for run in self._running_tasks.values():
            if run.timer is not None and run.timer.active():
                run.timer.delay(for_s)


def end_gang_members(gang: Gang, job_id: str, attempt: int, includes_stopped: bool = False) -> None:
    """End the members that received no stop command in time, or all members if `includes_stopped`."""
    for number, member in sorted(gang.members.items()):
        if includes_stopped or number not in gang.stop_received_by:
            member._end_task((f"{job_id}/{number}", attempt), "mates_gone")
