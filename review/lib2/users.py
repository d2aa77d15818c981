"""A stand-in of the load balancer, and users who poll for their jobs, by PROTOCOL-meadowcross.md."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections import deque
from typing import Any

from lib2.cluster import NODES, Cluster
from lib2.wire import HOST, Answer, call

POLL_S = 5.0
POLL_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 5.0
PROBE_S = 1.0
RETURN_S = 3.0


class LoadBalancer:
    """Picks a healthy node for each new connection: one of those with the fewest open connections of users."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._lock = threading.Lock()
        self.open_connections = dict.fromkeys(NODES, 0)
        self._healthy = set(NODES)
        self._is_over = threading.Event()
        for node in NODES:
            threading.Thread(target=self._probe, args=(node,), daemon=True).start()

    def stop(self) -> None:
        """Stop probing."""
        self._is_over.set()

    def _probe(self, node: str) -> None:
        last_six: deque[bool] = deque(maxlen=6)
        removed_at = 0.0
        while not self._is_over.wait(PROBE_S):
            last_six.append(call(self._cluster.ports[node], "GET", "/ready", timeout=1.0)[0] == 200)
            last_two = list(last_six)[-2:]
            if node in self._healthy and (last_two == [False, False] or list(last_six).count(False) >= 3):
                self._healthy.discard(node)
                removed_at = time.monotonic()
                self._cluster.record.add(f"load balancer takes out {node}")
            elif node not in self._healthy and last_two == [True, True] and time.monotonic() - removed_at > RETURN_S:
                self._healthy.add(node)
                last_six.clear()
                self._cluster.record.add(f"load balancer takes in {node}")

    def connect(self) -> str:
        """Return the node for a new connection, which counts as open until `close`."""
        with self._lock:
            nodes = [node for node in NODES if node in self._healthy] or list(NODES)
            fewest = min(self.open_connections[node] for node in nodes)
            node = random.choice([name for name in nodes if self.open_connections[name] == fewest])
            self.open_connections[node] += 1
            return node

    def close(self, node: str) -> None:
        """Record that a connection was closed."""
        with self._lock:
            self.open_connections[node] -= 1


class User:
    """A user with one connection, which stays open until a request gets no answer."""

    def __init__(self, cluster: Cluster, balancer: LoadBalancer, name: str) -> None:
        self._cluster, self._balancer = cluster, balancer
        self.name = name
        self._node: str | None = None
        self._connection: http.client.HTTPConnection | None = None
        self.answered_at = 0.0
        """When a question for the user's job was last answered with 200."""
        self.asked = self.answered = 0

    def request(self, method: str, path: str, body: Any = None, timeout: float = POLL_TIMEOUT_S) -> Answer:
        """Send a request on the user's connection; the status is 0 without an answer."""
        if self._connection is None:
            self._node = self._balancer.connect()
            self._connection = http.client.HTTPConnection(HOST, self._cluster.ports[self._node], timeout=timeout)
        if self._connection.sock is not None:
            self._connection.sock.settimeout(timeout)
        self._connection.timeout = timeout
        began_at = time.monotonic()
        try:
            self._connection.request(method, path, None if body is None else json.dumps(body))
            response = self._connection.getresponse()
            answer: Answer = (response.status, json.loads(response.read() or b"null"))
        except (OSError, ValueError, http.client.HTTPException):
            answer = (0, None)
        took_s = time.monotonic() - began_at
        self._cluster.record.add(f"{self.name} {method} {path} at {self._node}: {answer[0]} after {took_s:.2f} s")
        if answer[0] == 0:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None and self._node is not None:
            self._connection.close()
            self._balancer.close(self._node)
            self._connection = None

    def submit(self, submission: dict[str, Any]) -> bool:
        """Submit a job, for up to 60 s in total; return whether it was accepted."""
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            if self.request("POST", "/v1/jobs", submission, SUBMIT_TIMEOUT_S)[0] in (200, 201):
                self.answered_at = time.monotonic()
                return True
            time.sleep(1.0)
        return False

    def poll(self, job_id: str, until: float) -> None:
        """Ask for a job about every 5 s until an instant."""
        while time.monotonic() < until:
            self.asked += 1
            if self.request("GET", f"/v1/jobs/{job_id}")[0] == 200:
                self.answered += 1
                self.answered_at = time.monotonic()
            time.sleep(max(0.0, min(POLL_S * random.uniform(0.9, 1.1), until - time.monotonic())))
