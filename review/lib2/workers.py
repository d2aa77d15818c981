"""A stand-in of a machine's worker with its lease, reports, commands and tasks, by PROTOCOL-meadowcross.md."""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lib2.wire import HOST, Answer, call, serve

ANSWER_TIMEOUT_S = 4.0
NEXT_NODE_DELAY_S = 1.0
MIN_REPORT_GAP_S = 0.5
TICK_S = 0.05


@dataclass
class Task:
    """One attempt of a task."""

    head: str
    attempt: int
    runs_from: float
    ends_at: float
    cause: str | None = None

    def report(self, now: float) -> dict[str, Any]:
        """Return the task's entry in a report."""
        entry: dict[str, Any] = {"head": self.head, "round": self.attempt}
        if self.cause is not None:
            return {**entry, "standing": "ended", "cause": self.cause}
        return {**entry, "standing": "fetching" if now < self.runs_from else "running"}


class Worker:
    """The worker of one machine. `run_s` returns the run time of a task, `on_event` is told what happens."""

    def __init__(
        self,
        machine: dict[str, Any],
        nodes: dict[str, int],
        report_s: float,
        lease_s: float,
        run_s: Callable[[str], float],
        on_event: Callable[[str], None],
    ) -> None:
        self.machine = dict(machine)
        self._nodes = nodes
        self._report_s, self._lease_s = report_s, lease_s
        self._run_s, self._on_event = run_s, on_event
        self._lock = threading.RLock()
        self._tasks: dict[tuple[str, int], Task] = {}
        self._done: set[str] = set()
        self._tenure, self._tally, self._crook = 1, 0, 0
        self._is_gone = False
        self._has_changed = True
        self._leased_from = time.monotonic()
        self._node = random.choice(sorted(nodes))
        self.leases_lost = 0
        self.started = 0
        self.largest_report = 0
        self.machine["addr"] = f"{HOST}:{serve(self._handle)}"
        threading.Thread(target=self._report_loop, daemon=True).start()
        threading.Thread(target=self._tick_loop, daemon=True).start()

    @property
    def address(self) -> str:
        """The address for direct commands."""
        return str(self.machine["addr"])

    @property
    def done_heads(self) -> set[str]:
        """The tasks that completed here."""
        with self._lock:
            return set(self._done)

    def is_idle(self) -> bool:
        """Whether no task runs here."""
        with self._lock:
            return not self._is_gone and all(task.cause is not None for task in self._tasks.values())

    def running_count(self) -> int:
        """Return the number of tasks that run here, without those that wait for their image."""
        now = time.monotonic()
        with self._lock:
            return sum(task.cause is None and now >= task.runs_from for task in self._tasks.values())

    def delete(self) -> None:
        """End the machine with all that is on it."""
        with self._lock:
            self._is_gone = True
            self._tasks.clear()

    def _event(self, text: str) -> None:
        self._on_event(f"{self.machine['id']} {text}")

    # Reports and commands

    def _report(self) -> dict[str, Any]:
        now = time.monotonic()
        self._tally += 1
        fields = {key: self.machine[key] for key in ("addr", "build", "field", "stubble")}
        heads = [task.report(now) for task in self._tasks.values()]
        return {
            "stall": self.machine["id"],
            **fields,
            "tenure": self._tenure,
            "tally": self._tally,
            "crook": self._crook,
            "recallS": None,
            "heads": heads,
        }

    def _handle(self, _method: str, path: str, _query: dict[str, str], body: bytes) -> Answer:
        if self._is_gone:
            return -1, None
        with self._lock:
            if path != "/commands":
                return 200, self._report()
            if len(body) > 64 * 1024:
                self._event(f"refuses /commands with a body of {len(body)} bytes")
                return 413, {"error": "a request body holds at most 64 KiB"}
            request = json.loads(body)
            if request["crook"] < self._crook or request["tenure"] != self._tenure:
                return 409, self._report()
            self._see(request["crook"])
            self._execute(request["calls"])
            return 200, self._report()

    def _see(self, crook: int) -> None:
        self._has_changed = self._has_changed or crook > self._crook
        self._crook = max(self._crook, crook)

    def _execute(self, calls: list[dict[str, Any]]) -> None:
        now = time.monotonic()
        for command in calls:
            head, attempt = command["head"], command["round"]
            task = self._tasks.get((head, attempt))
            if command["call"] == "start" and task is None:
                self._start(head, attempt, now)
            elif command["call"] == "stop" and task is not None and task.cause is None:
                task.cause = "stopped"
                self._has_changed = True
                self._event(f"stops {head}@{attempt}")
            elif command["call"] == "reap" and task is not None and task.cause is not None:
                del self._tasks[head, attempt]
                self._has_changed = True

    def _start(self, head: str, attempt: int, now: float) -> None:
        self._has_changed = True
        self.started += 1
        is_busy = any(task.head == head and task.cause is None for task in self._tasks.values())
        runs_from = now + 0.2
        run_s = 0.0 if head in self._done else self._run_s(head)
        cause = "busy" if is_busy else None
        self._tasks[head, attempt] = Task(head, attempt, runs_from, runs_from + run_s, cause)
        self._event(f"starts {head}@{attempt}" + (" (refused, busy)" if is_busy else ""))

    # Loops

    def _tick_loop(self) -> None:
        while not self._is_gone:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self._lock:
                for task in self._tasks.values():
                    if task.cause is None and now >= task.ends_at:
                        task.cause = "done"
                        self._done.add(task.head)
                        self._has_changed = True
                        self._event(f"ends {task.head}@{task.attempt} done")
                if now - self._leased_from > self._lease_s:
                    self._lose_lease(now)

    def _lose_lease(self, now: float) -> None:
        running = sum(task.cause is None for task in self._tasks.values())
        self._event(f"loses its lease in session {self._tenure} with {running} tasks not ended")
        self.leases_lost += 1
        self._tasks.clear()
        self._tenure += 1
        self._leased_from = now
        self._has_changed = True

    def _report_loop(self) -> None:
        last_sent_at = 0.0
        while not self._is_gone:
            due_s = self._report_s * random.uniform(0.75, 1.25)
            while time.monotonic() - last_sent_at < due_s and not self._is_gone:
                if self._has_changed and time.monotonic() - last_sent_at >= MIN_REPORT_GAP_S:
                    break
                time.sleep(TICK_S)
            last_sent_at = time.monotonic()
            self._send_report(last_sent_at)

    def _send_report(self, sent_at: float) -> None:
        with self._lock:
            report = self._report()
            self._has_changed = False
        self.largest_report = max(self.largest_report, len(json.dumps(report, separators=(",", ":"))))
        status, answer = call(self._nodes[self._node], "POST", "/checkin", report, ANSWER_TIMEOUT_S)
        with self._lock:
            if status == 200 and not self._is_gone:
                self._accept(answer, report["tenure"], sent_at)
                return
        names = sorted(self._nodes)
        named = answer.get("drover") if status == 421 and isinstance(answer, dict) else None
        if named in self._nodes and named != self._node:
            self._node = named
            self._has_changed = True
            return
        if status not in (200, 421):
            self._event(f"report of {len(json.dumps(report))} bytes to {self._node} answered with {status}")
        time.sleep(NEXT_NODE_DELAY_S)
        self._node = names[(names.index(self._node) + 1) % len(names)]
        self._has_changed = True

    def _accept(self, answer: dict[str, Any], tenure: int, sent_at: float) -> None:
        if answer.get("crook", -1) < self._crook or tenure != self._tenure:
            return
        self._see(answer["crook"])
        self._leased_from = max(self._leased_from, sent_at)
        self._execute(answer["calls"])
