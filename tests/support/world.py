"""State service, cloud and workers on a fake clock, with one controller's parts among them."""

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
    """A valid submission, with some fields changed; a value of ... leaves the field out."""
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
    """State service, cloud and workers on a fake clock, and one node's slices."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = FakeNet(self.clock)
        self.state = StateService(self.clock.seconds)
        self.cloud = CloudService()
        self.workers: dict[str, Worker] = {}
        self.net.state = self.state
        self.net.hosts = {"state:1": self.state.handle, "cloud:1": self.cloud.handle}
        self.cloud.on_rent = self.worker_up
        self.cloud.on_delete = self.worker_gone
        self.settings = msgspec.convert(SETTINGS, Settings)
        self.store = StoreClient(self.clock, self.net, Address("state:1"), self.settings.facts.state)
        self.types = decode_machine_types(encode({"builds": TYPES})).types
        self.operator = OperatorSettings(learned_estimates=2.0)
        self.term: LeaderTerm | None = None
        self.terms: list[LeaderTerm] = []
        self.reporting = True
        self.peers_hear: int | None = 0
        self.follower: ReplicaFollower | None = None

    def worker_up(self, machine: dict[str, Any]) -> None:
        worker = Worker(dict(machine))
        self.workers[machine["id"]] = worker
        self.net.hosts[machine["addr"]] = worker.handle

    def worker_gone(self, name: str) -> None:
        self.net.hosts.pop(self.workers.pop(name).machine["addr"], None)

    def begin(self, token: int) -> LeaderTerm:
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
            lambda: self.peers_hear,
            self.follower,
        )
        self.term.start()
        self.terms.append(self.term)
        return self.term

    def lead(self, life: str = "one") -> LeaderTerm:
        """Elect this node and let the term load."""
        self.election = make_election(self.clock, self.store, "n0", life, self.begin)
        Deferred.fromCoroutine(self.election.run())
        self.pass_time(0.5)
        assert self.term is not None and self.term.is_loaded
        return self.term

    def api(self, peers: PeerQueries | None = None, events: JobEvents | None = None) -> JobApi:
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
        """Advance the clock; workers report every second while `reporting`."""
        for i in range(max(1, round(seconds / step))):
            self.clock.advance(step)
            if self.reporting and i % 20 == 0:
                for worker in list(self.workers.values()):
                    self.report(worker)

    def report(self, worker: Worker) -> Any:
        if self.term is None or self.term.is_stopped:
            return None
        response = self.term.handle_heartbeat(decode_heartbeat(encode(worker.report())))
        if response is not None:
            answer = msgspec.to_builtins(response)
            if answer["crook"] >= worker.token:
                worker.token = answer["crook"]
                worker.obey(answer["calls"])
        return response

    def run(self, work: Coroutine[Any, Any, Any], seconds: float = 3.0) -> Any:
        """The result of a coroutine that ends within this time."""
        box: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(box.append)
        for _ in range(int(seconds / 0.05)):
            if box:
                break
            self.pass_time(0.05)
        assert box, "no result in time"
        return box[0]

    def submit(self, **changes: Any) -> Any:
        return self.run(self.api().submit(encode(job(**changes))))

    def running(self) -> list[str]:
        """Every task that some worker holds and that has not ended."""
        return sorted(
            task["head"] for w in self.workers.values() for task in w.tasks.values() if task["standing"] != "ended"
        )
