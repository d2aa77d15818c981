"""Runs a scenario: unmodified controllers with simulated services, machines, users and faults, checked by a judge."""

from __future__ import annotations

import gc
import random
from collections import Counter
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.http import HttpClient
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import Address
from meadowcross.controller.controller import Controller
from meadowcross.store.rate_shares import LEADER_SHARE, follower_share
from simulation.judge import Judge, Spec
from simulation.machines import CommandCopies, Machine, SharedState, UploadedJob
from simulation.net import START, Cut, Host, Simulation
from simulation.scenario import Fault, Jobs, Scenario
from simulation.services import LATE_WRITE_DELAYS_S, SimulatedCloud, SimulatedStore
from simulation.users import Users

WIRE_KINDS = {"array": "batch", "gang": "group", "service": "daemon"}
WIRE_PRIORITIES = {"production": "critical", "high": "urgent", "normal": "normal", "low": "idle"}
RESTART_AFTER_S = 6.0
"""A killed controller starts again after this time, unless its fault sets another."""
UNKNOWN_JOB_QUERY_INTERVAL_S = 15.0
GARBAGE_COLLECTION_INTERVAL_S = 20.0
CANCELLED_WITHIN_S = 0.2
MAX_HUNG_MACHINES = 8
UNUSUAL_REQUESTS_INTERVAL_S = 0.5
WAIT_CHECK_INTERVAL_S = 5.0
DELAYED_KINDS = ("report_copies", "late_commands", "command_copies")
"""Faults whose messages arrive up to twice `factor` seconds late."""
MACHINE_FLAGS = {"machine_deaf": "deaf", "machine_mute": "mute", "machine_faulty": "fails_tasks"}
"""The attribute of a machine that a fault sets while it lasts."""
SERVICE_HOSTS = ("state", "cloud", "users")
"""Hosts that are neither controllers nor machines."""


class Takeover(msgspec.Struct):
    """One change of leader; `token_s` and the times of first events count from the end of the previous leader."""

    at_s: float
    token: int
    node: str
    dead_s: float
    """When a fault ended the previous leader; without such a fault, when the new leader's key was written."""
    token_s: float
    first_placement_s: float | None = None
    first_start_s: float | None = None


def fault_end_at(fault: Fault) -> float:
    """When a fault and its delayed effects are over, in seconds from the start."""
    delay_s = 2 * (fault.factor or 0.0) if fault.kind in DELAYED_KINDS else 0.0
    delay_s = LATE_WRITE_DELAYS_S[1] if fault.kind == "late_writes" else delay_s
    back_s = fault.back_s if fault.back_s is not None else RESTART_AFTER_S
    return fault.at_s + (fault.for_s or 0.0) + (fault.hang_s or 0.0) + back_s + delay_s


class Lab:
    """A simulated cluster that runs one scenario with one seed; `keeps_history`: the judge keeps the hashed lines."""

    def __init__(self, scenario: Scenario, seed: int, keeps_history: bool = False) -> None:
        # Objects of an earlier cluster are collected now or not before the next cluster: collected during this run,
        # they would draw from its random numbers. Garbage of this run is collected at set times (see
        # `Simulation.run`).
        gc.unfreeze()
        gc.collect()
        gc.freeze()
        # Twisted draws the jitter of its reconnections from the global generator.
        random.seed(seed)
        self.scenario = scenario
        self.simulation = Simulation(seed)
        self.random = self.simulation.random
        self.judge = Judge(
            lambda: self.simulation.now - START,
            scenario.workers.cancel_s,
            {team.name: team.cpus_max for team in scenario.teams},
        )
        self.judge.history = [] if keeps_history else None
        self.names = [f"n{number}" for number in range(scenario.nodes)]
        self.nodes: dict[str, Controller] = {}
        self.api = {name: Address(f"{name}:8080") for name in self.names}
        self.world = SharedState(self.simulation, self.judge, scenario.workers, self.api)
        self.world.on_start_commands = self._on_start_commands
        self.machines: dict[str, Machine] = {}
        self.world.find_machine = self.machines.get
        self.takeovers: list[Takeover] = []
        self._leader_ended_at: float | None = None
        self._kill_after_writes: dict[str, int] = {}
        self._write_counts: Counter[str] = Counter()
        self._scenario_values = msgspec.to_builtins(scenario)
        self._start_services()
        for number, name in enumerate(self.names):
            self.simulation.host(name, scenario.zones[number % len(scenario.zones)])
            self.boot(name)
        for at in range(
            int(GARBAGE_COLLECTION_INTERVAL_S), int(scenario.duration_s), int(GARBAGE_COLLECTION_INTERVAL_S)
        ):
            self.simulation.at(float(at), self._collect_garbage)
        for at in range(1, int(scenario.duration_s)):
            self.simulation.at(float(at), self._check_request_loops)
        self.judge.quiet_from = max((fault_end_at(fault) for fault in scenario.faults), default=0.0)
        for at in range(int(self.judge.quiet_from) + 1, int(scenario.duration_s), int(WAIT_CHECK_INTERVAL_S)):
            self.simulation.at(float(at), self._check_waiting_jobs)
        for fault in scenario.faults:
            self.simulation.at(fault.at_s, lambda fault=fault: self.strike(fault))  # type: ignore[misc]
        count = 0
        for jobs in scenario.jobs:
            for number in range(jobs.count):
                count += 1
                self._submit(jobs, f"wk-{count:06d}", jobs.at_s + number * jobs.every_s)

    def _collect_garbage(self) -> None:
        gc.collect()

    def _check_request_loops(self) -> None:
        leader, rps = self.leader(), self.scenario.state.rps
        share = follower_share(self.scenario.nodes)
        allowed = {name: rps * (LEADER_SHARE if name == leader else share) for name in self.names}
        for name in self.store.request_loops.end_second(allowed):
            self.judge.record_violation(
                "busy_loop", f"{name} asked the state service at its budget's rate and wrote nothing"
            )

    def _check_waiting_jobs(self) -> None:
        machines = [self.machines[name] for name in self.live_machines()]
        for job in self.judge.waiting_jobs():
            spec = self.world.uploaded_jobs[job].spec
            suitable = (
                machine
                for machine in machines
                if (spec["builds"] is None or machine.machine["build"] in spec["builds"])
                and (spec["stubble"] or not machine.machine["stubble"])
            )
            self.judge.check_wait(job, any(machine.has_room(spec) for machine in suitable))

    def _start_services(self) -> None:
        boot, host = self.simulation.boot, self.simulation.host
        self.store = SimulatedStore(boot(host("state", "")), self.scenario.state)
        self.store.on_written = self._on_written
        self.cloud = SimulatedCloud(
            boot(host("cloud", "")), self.scenario.cloud, self.scenario.types, self.scenario.workers.fetch_gb_per_s
        )
        self.cloud.on_rent, self.cloud.on_delete = self._on_created, self._on_deleted
        self.users = Users(boot(host("users", "")), self.judge, self.api)
        reactor = self.users._reactor
        self.world.delivery_client = HttpClient(boot(host("network", "")))
        for at in range(int(self.scenario.duration_s // UNKNOWN_JOB_QUERY_INTERVAL_S)):
            job = f"wk-9{at:05d}"
            reactor.callLater(
                UNKNOWN_JOB_QUERY_INTERVAL_S * (at + 1),
                lambda job=job: Deferred.fromCoroutine(self.users.query_unknown_job(job)),
            )

    # Nodes

    def settings(self, name: str) -> Settings:
        """The settings of a controller."""
        scenario = self.scenario
        facts = {
            "zones": scenario.zones,
            "initial_size": scenario.nodes,
            "clock_off_ms": 5.0,
            "teams": self._scenario_values["teams"],
            "state": self._scenario_values["state"],
            "cloud": self._scenario_values["cloud"],
            "workers": self._scenario_values["workers"],
        }
        value: dict[str, Any] = {
            "host_name": name,
            "zone": self.simulation.hosts[name].zone,
            "api_addr": f"{name}:8080",
            "peer_bind": f"{name}:8081",
            "outside": {"cloud": "cloud:8443", "state": "state:2379"},
            "facts": facts,
            "peers": [
                {"host_name": other, "zone": "", "endpoint": f"{other}:8081"} for other in self.names if other != name
            ],
        }
        for peer in value["peers"]:
            peer["zone"] = scenario.zones[self.names.index(peer["host_name"]) % len(scenario.zones)]
        return msgspec.convert(value, Settings, strict=False)

    def boot(self, name: str) -> None:
        """Start a controller's process."""
        reactor = self.simulation.boot(self.simulation.hosts[name])
        reactor.clock_offset_s = dict(zip(self.names, self.scenario.clocks_s, strict=False)).get(name, 0.0)
        node = self.nodes[name] = Controller(
            reactor, self.settings(name), msgspec.convert(self.scenario.operator, OperatorSettings)
        )
        node.start()

    def leader(self) -> str | None:
        """The node that the leader's key in the store names; None: there is no key."""
        value = self.store.service.value("lead")
        return value["node"] if value is not None else None

    def kill(self, name: str, back_s: float | None) -> None:
        """End a controller's process and start it again after `back_s` seconds (None: the default)."""
        if self.simulation.hosts[name].reactor is None:
            return
        self.judge.note(f"{name} ends")
        if name == self.leader():
            self._leader_ended_at = self.simulation.now
        self.simulation.kill(self.simulation.hosts[name])
        self.simulation.later(back_s if back_s is not None else RESTART_AFTER_S, lambda: self.boot(name))

    def select_nodes(self, selector: str | None) -> list[str]:
        """The nodes that a fault's `node` selects: a name, `leader`, `follower` (one of them) or `all`."""
        leader = self.leader()
        if selector == "all":
            return list(self.names)
        if selector == "leader":
            return [leader] if leader is not None else []
        if selector == "follower":
            return [name for name in self.names if name != leader][:1]
        return [selector] if selector is not None else []

    # Observed events

    def _on_written(self, caller: str, request: dict[str, Any]) -> bool:
        now = self.simulation.now
        for write in request["writes"]:
            if write.get("write") == "lead":
                token = self.store.service.keys["lead"]["mark"]
                self.world.deliver_kept_reports()
                ended_at = self._leader_ended_at if self._leader_ended_at is not None else now
                self._leader_ended_at = None
                self.judge.note(f"{caller} leads with token {token}")
                self.takeovers.append(
                    Takeover(round(now - START, 3), token, caller, round(ended_at - START, 3), round(now - ended_at, 3))
                )
            elif str(write.get("write", "")).startswith("t/") and self.takeovers:
                last = self.takeovers[-1]
                if last.first_placement_s is None and last.node == caller:
                    last.first_placement_s = round(now - START - last.dead_s, 3)
        if caller in self._kill_after_writes:
            self._write_counts[caller] += 1
            if self._write_counts[caller] >= self._kill_after_writes[caller]:
                del self._kill_after_writes[caller]
                self.kill(caller, None)
                return False
        return True

    def _on_start_commands(self, token: int) -> None:
        if self.takeovers and self.takeovers[-1].token <= token and self.takeovers[-1].first_start_s is None:
            last = self.takeovers[-1]
            last.first_start_s = round(self.simulation.now - START - last.dead_s, 3)

    # Machines

    def _on_created(self, machine: dict[str, Any]) -> None:
        machine_type = next(candidate for candidate in self.scenario.types if candidate.name == machine["build"])
        self.cloud.record_created(machine)
        host = self.simulation.host(machine["id"], machine["field"])
        host.is_powered = False
        if self.random.random() >= machine_type.boot_fail:
            self.simulation.later(
                machine_type.boot_s * self.random.uniform(0.6, 1.5), lambda: self._start_machine(machine, host)
            )

    def _start_machine(self, machine: dict[str, Any], host: Host) -> None:
        if machine["id"] in self.cloud.machines:
            self.machines[machine["id"]] = worker = Machine(self.world, machine, self.simulation.boot(host))
            worker.start()

    def _on_deleted(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.cloud.record_deleted(machine.machine)
            machine.stop("deleted")
        self.simulation.kill(self.simulation.hosts[name], True)
        self.judge.note(f"{name} deleted")

    def live_machines(self, zone: str | None = None) -> list[str]:
        """The machines that are up, of all zones or of one, sorted."""
        return [
            name
            for name, machine in sorted(self.machines.items())
            if (zone is None or machine.machine["field"] == zone) and name not in self.cloud.died
        ]

    # Users

    def _submit(self, jobs: Jobs, name: str, at: float) -> None:
        spec = {
            "id": name,
            "herd": jobs.job_class,
            "steward": jobs.team,
            "breed": WIRE_KINDS[jobs.kind],
            "rank": WIRE_PRIORITIES[jobs.priority],
            "heads": jobs.tasks,
            "cpus": jobs.cpus,
            "gpus": 0.0,
            "memoryGb": jobs.memory_gb,
            "feedstock": f"img-{jobs.job_class}",
            "pullGb": jobs.image_gb,
            "builds": jobs.types,
            "field": None,
            "oneZone": jobs.one_zone,
            "scatter": jobs.spread,
            "stubble": jobs.spot,
            "grazeS": 0.0 if jobs.kind == "service" else jobs.run_s,
            "stookS": jobs.checkpoint_s,
            "baleS": jobs.save_s,
            "sundownS": jobs.deadline_s,
        }
        run_s = [jobs.run_s * self.random.uniform(0.7, 1.3) + task * jobs.apart_s for task in range(jobs.tasks)]
        if jobs.kind == "gang":
            run_s = [run_s[0]] * jobs.tasks
        resubmits = self.random.random() < 0.1

        def submit() -> None:
            self.world.uploaded_jobs[name] = UploadedJob(spec, run_s)
            self.judge.record_submission(
                Spec(
                    name,
                    jobs.job_class,
                    jobs.team,
                    jobs.kind,
                    jobs.tasks,
                    jobs.cpus,
                    jobs.spot,
                    jobs.types,
                    jobs.one_zone,
                    jobs.spread,
                )
            )
            Deferred.fromCoroutine(self.users.follow_job(spec, jobs.cancel_after_s, resubmits))

        self.users._reactor.callLater(at, submit)

    # Faults

    def strike(self, fault: Fault) -> None:
        """Inject a fault."""
        self.judge.note(f"trouble: {fault.kind}")
        simulation, store = self.simulation, self.store
        for_s = fault.for_s or 0.0
        later = simulation.later
        match fault.kind:
            case "node_kill":
                for name in self.select_nodes(fault.node):
                    self.kill(name, fault.back_s)
            case "node_freeze":
                for name in self.select_nodes(fault.node):
                    if (reactor := simulation.hosts[name].reactor) is not None:
                        reactor.frozen_until = simulation.now + for_s
                        if name == self.leader():
                            self._leader_ended_at = simulation.now
            case "node_slow":
                for name in self.select_nodes(fault.node):
                    if (reactor := simulation.hosts[name].reactor) is not None:
                        reactor.event_cost_s = (fault.factor or 0.0) / 1000
                        later(for_s, lambda reactor=reactor: setattr(reactor, "event_cost_s", 0.0))  # type: ignore[misc]
            case "node_cut":
                self._cut_nodes(self.select_nodes(fault.node), fault)
            case "peers_refuse":
                simulation.add_cut(Cut(self.names, self.names, "refuse"), fault.for_s)
            case "store_outage":
                store.service.outage = True
                later(for_s, lambda: setattr(store.service, "outage", False))
            case "store_slow":
                store.slowdown = fault.factor or 1.0
                later(for_s, lambda: setattr(store, "slowdown", 1.0))
            case "store_refuses":
                names = set(self.select_nodes(fault.node))
                store.refused_nodes |= names
                later(for_s, lambda: store.refused_nodes.difference_update(names))
            case "store_late":
                store.late_transaction_delays_s += [for_s] * (fault.count or 1)
            case "kill_after_write":
                for name in self.select_nodes("leader"):
                    self._write_counts[name] = 0
                    self._kill_after_writes[name] = fault.count or 1
            case "zone_cut":
                inside = [name for name, host in simulation.hosts.items() if host.zone == fault.zone]
                outside = [name for name, host in simulation.hosts.items() if host.zone != fault.zone]
                simulation.add_cut(Cut(inside, outside, fault.mode), fault.for_s)
            case "machine_die":
                for name in self._sample_machines(fault):
                    self._kill_machine(name)
            case "machine_hang":
                for name in self._sample_machines(fault):
                    self.machines[name].hang(for_s)
            case "machine_cut":
                machines = self._sample_machines(fault)
                simulation.add_cut(Cut(machines, set(simulation.hosts) - set(machines), fault.mode), fault.for_s)
            case "machine_deaf" | "machine_mute" | "machine_faulty":
                flag = MACHINE_FLAGS[fault.kind]
                for name in self._sample_machines(fault):
                    machine = self.machines[name]
                    setattr(machine, flag, True)
                    later(for_s, lambda machine=machine: setattr(machine, flag, False))  # type: ignore[misc]
            case "cancel_now":
                self._cancel_now(fault)
            case "machine_back":
                for name in self._sample_machines(fault):
                    self._restart_machine(name, fault)
            case "report_copies" if fault.for_next:
                self.world.kept_reports = []
                later(for_s, lambda: setattr(self.world, "kept_reports", None))
            case "report_copies":
                self.world.copy_delay_s = fault.factor
                later(for_s, lambda: setattr(self.world, "copy_delay_s", None))
            case "late_writes":
                store.late_share, store.loses_only_responses = fault.share or 0.0, fault.at_once
                later(for_s, lambda: setattr(store, "late_share", 0.0))
            case "cancel_at_end":
                self.judge.on_complete = lambda job: self._maybe_cancel(job, fault.share or 0.0)
                later(for_s, lambda: setattr(self.judge, "on_complete", lambda job: None))
            case "close_looks":
                self.users.has_close_queries = True
                later(for_s, lambda: setattr(self.users, "has_close_queries", False))
            case "odd_requests":
                for number in range(int(for_s / UNUSUAL_REQUESTS_INTERVAL_S)):
                    later(number * UNUSUAL_REQUESTS_INTERVAL_S, self._send_unusual_requests)
            case "late_commands":
                self.world.command_delay = (fault.share or 0.0, fault.factor or 0.0)
                later(for_s, lambda: setattr(self.world, "command_delay", (0.0, 0.0)))
            case "command_copies":
                self.world.command_copies = CommandCopies(fault.share or 0.0, fault.factor or 0.0, fault.count or 1)
                later(for_s, lambda: setattr(self.world, "command_copies", None))
            case "cloud_outage":
                self.cloud.trouble = True
                later(for_s, lambda: setattr(self.cloud, "trouble", False))
            case "store_loss":
                store.lose_data(fault.what or "all", for_s, fault.prefix or "", fault.count or 0)
            case "capacity":
                self.cloud.share = fault.factor or 0.0
                later(for_s, lambda: setattr(self.cloud, "share", 1.0))

    def _cut_nodes(self, names: list[str], fault: Fault) -> None:
        others: dict[str | None, list[str]] = {
            "store": ["state"],
            "workers": [name for name in self.simulation.hosts if name not in (*SERVICE_HOSTS, *self.names)],
            "peers": [name for name in self.names if name not in names],
            "all": [name for name in self.simulation.hosts if name not in names],
        }
        sources, targets = names, others[fault.apart]
        if fault.way == "in":
            sources, targets = targets, sources
        self.simulation.add_cut(Cut(sources, targets, fault.mode, fault.way == "both"), fault.for_s)

    def _cancel_now(self, fault: Fault) -> None:
        """Let users cancel running jobs, while some of the jobs' machines hang."""
        running = self.judge.running_jobs()
        jobs = self.random.sample(running, min(fault.count or 0, len(running)))
        for job in jobs:
            self.users.cancel(job, self.random.uniform(0.0, CANCELLED_WITHIN_S))
        if fault.hang_s is not None:
            names = sorted(set().union(*map(self.judge.machines_of, jobs)) & set(self.live_machines()))
            for name in self.random.sample(names, min(MAX_HUNG_MACHINES, len(names))):
                self.machines[name].hang(fault.hang_s)

    def _maybe_cancel(self, job: str, share: float) -> None:
        if self.random.random() < share:
            self.users.cancel(job, 0.0)

    def _send_unusual_requests(self) -> None:
        """Send each node a repeated, an invalid and an unsatisfiable submission, and a cancellation of a done job."""
        if jobs := sorted(self.world.uploaded_jobs):
            for name in self.names:
                spec = self.world.uploaded_jobs[self.random.choice(jobs)].spec
                Deferred.fromCoroutine(self.users.send_unusual_requests(self.api[name], spec))

    def _sample_machines(self, fault: Fault) -> list[str]:
        names = self.live_machines(fault.zone)
        return sorted(self.random.sample(names, min(fault.count or 0, len(names))))

    def _kill_machine(self, name: str) -> None:
        self.machines[name].stop("died")
        self.cloud.died[name] = self.simulation.now
        self.simulation.kill(self.simulation.hosts[name], True)

    def _restart_machine(self, name: str, fault: Fault) -> None:
        """Restart a machine; its tasks are lost."""
        old = self.machines[name]
        old.stop("restart")
        host = self.simulation.hosts[name]
        self.simulation.kill(host, True)

        def start_again() -> None:
            if name in self.cloud.machines and name not in self.cloud.died:
                self._start_machine(self.cloud.machines[name], host)
                if not fault.anew:
                    self.machines[name].session, self.machines[name].seq = old.session + 1, old.seq
                    self.machines[name].token = old.token

        self.simulation.later(fault.back_s or 0.0, start_again)

    def play(self) -> dict[str, Any]:
        """Run the scenario to its end and return its figures."""
        self.simulation.run(self.scenario.duration_s)
        self.judge.finish()
        classes, teams = self.judge.served_shares()
        return {
            "broken": self.judge.broken,
            "hash": self.judge.hash,
            "served": classes,
            "served_teams": teams,
            "largest": self.judge.largest_jobs_served(),
            "takeovers": [msgspec.to_builtins(takeover) for takeover in self.takeovers],
            "cancels": self.judge.summarize_cancellations(),
            "started": self.judge.started,
            "lost": self.judge.lost,
            "again": self.judge.restarted_done,
            "kept_at_word": self.judge.running_when_cancelled,
            "store": {
                "requests": self.store.requests,
                "written": self.store.written,
                "refused": self.store.rate_limited,
            },
            "submit_s": {
                "accepted": len(self.users.submit_s),
                "longest": round(max(self.users.submit_s, default=0), 3),
                "gave_up": self.users.abandoned_submissions,
            },
        }
