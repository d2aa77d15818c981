"""One controller's components on a fake clock, with a simulated state service, cloud and workers."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.autoscaling.cloud import CloudClient
from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import Address
from meadowcross.jobs.admission import JobAdmission
from meadowcross.jobs.api import JobApi
from meadowcross.jobs.collaborators import IntactStore, JobEvents, LocalReplica, PeerQueries
from meadowcross.leadership.term import LeaderTerm
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import StoreClient
from meadowcross.workers.messages import decode_heartbeat
from simulation.standins import TYPES, CloudService, FakeNet, StateService, Worker
from tests.support.election import make_election

SETTINGS = {
    "host_name": "n0",
    "zone": "east",
    "api_addr": "127.0.0.1:1",
    "peer_bind": "127.0.0.1:2",
    "outside": {"cloud": "cloud:1", "state": "state:1"},
    "facts": {
        "zones": ["east", "west"],
        "initial_size": 3,
        "clock_off_ms": 5.0,
        "teams": [{"name": "a", "cpus": 4.0, "cpus_max": 8.0}, {"name": "b"}],
        "objectives": [
            {"kind": "finished", "class": "slow", "within_s": 250.0, "share": 0.8},
            {"kind": "deadline", "class": "train", "times": 1.0, "share": 0.9},
        ],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "cancel_s": 40.0},
        "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 50.0, "list_lag_s": 3.0},
    },
}


def job(**changes: Any) -> dict[str, Any]:
    """A valid submission, with some fields changed; the value `...` leaves a field out."""
    fields = {
        "id": "wk-000001",
        "herd": "train",
        "steward": "b",
        "breed": "batch",
        "rank": "normal",
        "heads": 2,
        "cpus": 1.0,
        "gpus": 0.0,
        "memoryGb": 2.0,
        "feedstock": "img",
        "pullGb": 1.0,
        "builds": None,
        "field": None,
        "oneZone": False,
        "scatter": False,
        "stubble": True,
        "grazeS": 30.0,
        "stookS": 0.0,
        "baleS": 0.0,
        "sundownS": 90.0,
    }
    fields.update(changes)
    return {key: value for key, value in fields.items() if value is not ...}


class World:
    """Simulated state service, cloud and workers, and the components of controller `n0`."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = FakeNet(self.clock)
        self.state = StateService(self.clock.seconds)
        self.cloud = CloudService()
        self.workers: dict[str, Worker] = {}
        self.net.state = self.state
        self.net.hosts = {"state:1": self.state.handle, "cloud:1": self.cloud.handle}
        self.cloud.on_rent = self.add_worker
        self.cloud.on_delete = self.remove_worker
        self.settings = msgspec.convert(SETTINGS, Settings)
        self.store = StoreClient(self.clock, self.net, Address("state:1"), self.settings.facts.state)
        self.types = decode_machine_types(encode({"builds": TYPES})).types
        self.operator = OperatorSettings(learned_estimates=2.0)
        self.term: LeaderTerm | None = None
        self.terms: list[LeaderTerm] = []
        self.reporting = True
        self.best_peer_reach: int | None = 0
        self.follower: ReplicaFollower | None = None

    def add_worker(self, machine: dict[str, Any]) -> None:
        """Start a worker on a machine that the cloud created."""
        worker = Worker(dict(machine))
        self.workers[machine["id"]] = worker
        self.net.hosts[machine["addr"]] = worker.handle

    def remove_worker(self, name: str) -> None:
        """Remove the worker of a machine that the cloud deleted."""
        self.net.hosts.pop(self.workers.pop(name).machine["addr"], None)

    def begin_term(self, token: int) -> LeaderTerm:
        """Start a leader's term, as the election does."""
        cloud = CloudClient(self.clock, self.net, Address("cloud:1"), self.settings.facts.cloud)
        self.term = LeaderTerm(
            self.clock,
            self.settings,
            self.operator,
            self.store,
            self.net,
            cloud,
            lambda: self.types,
            token,
            self.election,
            lambda: self.best_peer_reach,
            self.follower,
        )
        self.term.start()
        self.terms.append(self.term)
        return self.term

    def lead(self, incarnation: str = "one") -> LeaderTerm:
        """Elect this node, and wait until its term has loaded the state."""
        self.election = make_election(self.clock, self.store, "n0", incarnation, self.begin_term)
        Deferred.fromCoroutine(self.election.run())
        self.pass_time(0.5)
        assert self.term is not None and self.term.is_loaded
        return self.term

    def api(self, peers: PeerQueries | None = None, events: JobEvents | None = None) -> JobApi:
        """The controller's API for users."""
        admission = JobAdmission(self.settings.facts.teams, ["east", "west"], lambda: self.types)
        return JobApi(
            self.clock,
            self.store,
            admission,
            peers or PeerQueries(),
            IntactStore(),
            LocalReplica(),
            events or JobEvents(),
        )

    def pass_time(self, seconds: float, step: float = 0.05) -> None:
        """Advance the clock in steps; each worker sends a heartbeat every 20 steps while `reporting`."""
        for step_number in range(max(1, round(seconds / step))):
            self.clock.advance(step)
            if self.reporting and step_number % 20 == 0:
                for worker in list(self.workers.values()):
                    self.report(worker)

    def report(self, worker: Worker) -> Any:
        """Send the worker's heartbeat to the term and carry out the commands of the response; None without a term."""
        if self.term is None or self.term.is_stopped:
            return None
        response = self.term.handle_heartbeat(decode_heartbeat(encode(worker.report())))
        if response is not None:
            fields = msgspec.to_builtins(response)
            if fields["crook"] >= worker.token:
                worker.token = fields["crook"]
                worker.obey(fields["calls"])
        return response

    def run(self, work: Coroutine[Any, Any, Any], seconds: float = 3.0) -> Any:
        """The result of the coroutine, or its Failure; fails unless it ends within `seconds` of the fake clock."""
        results: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(results.append)
        for _ in range(int(seconds / 0.05)):
            if results:
                break
            self.pass_time(0.05)
        assert results, "no result in time"
        return results[0]

    def submit(self, **changes: Any) -> Any:
        """Submit the default job with some fields changed; returns the API's result."""
        return self.run(self.api().submit(encode(job(**changes))))

    def running(self) -> list[str]:
        """Ids of all tasks that workers have and that have not ended."""
        return sorted(
            task["head"]
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task["standing"] != "ended"
        )
