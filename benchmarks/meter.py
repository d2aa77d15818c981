"""Measures processor time of the code under test without that of the simulated services, and memory."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from tests.support.world import World


def resident_mb() -> float:
    """Resident memory of this process in MB of 2**20 bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096 / 2**20


class Meter:
    """Measures processor time without that of the simulated services."""

    def __init__(self, world: World) -> None:
        self.services_s = 0.0
        handlers = {host: self._timed(handle) for host, handle in world.net.hosts.items()}
        world.net.hosts.update(handlers)

    def _timed(self, handle: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*arguments: Any) -> Any:
            began_s = time.process_time()
            try:
                return handle(*arguments)
            finally:
                self.services_s += time.process_time() - began_s

        return timed

    def measure(self, work: Callable[[], Any]) -> float:
        """Runs `work`; returns the seconds of processor time that it took."""
        services_before_s, began_s = self.services_s, time.process_time()
        work()
        return time.process_time() - began_s - (self.services_s - services_before_s)
