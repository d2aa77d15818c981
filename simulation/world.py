"""A scenario played: three whole nodes, the services, machines that come and go, users, troubles, and the judge."""

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
from simulation.machines import Machine, Work, World
from simulation.net import START, Cut, Host, Simulation
from simulation.scenario import Fault, Jobs, Scenario
from simulation.services import LATE_WRITE_S, Rentals, Store
from simulation.users import Users

KINDS = {"array": "batch", "gang": "group", "service": "daemon"}
RANKS = {"production": "critical", "high": "urgent", "normal": "normal", "low": "idle"}
BACK_S = 6.0
STRAY_S = 15.0
SWEEP_S = 20.0
CANCELLED_WITHIN_S = 0.2
HANG_AT_ONCE = 8
ODD_EVERY_S = 0.5
LOOK_EVERY_S = 5.0
REGION = ("state", "cloud", "users")


class Takeover(msgspec.Struct):
    """Of one change of leader, in seconds from the end of the one before."""

    at_s: float
    token: int
    node: str
    dead_s: float
    """When the leader before ended, as far as the world brought it about; else when its key went."""
    token_s: float
    first_placement_s: float | None = None
    first_start_s: float | None = None


def over(fault: Fault) -> float:
    """When a trouble and what it leaves under way are over."""
    copies = 2 * (fault.factor or 0.0) if fault.kind in ("report_copies", "late_commands") else 0.0
    copies = LATE_WRITE_S[1] if fault.kind == "late_writes" else copies
    back_s = fault.back_s if fault.back_s is not None else BACK_S
    return fault.at_s + (fault.for_s or 0.0) + (fault.hang_s or 0.0) + back_s + copies


class Lab:
    def __init__(self, scenario: Scenario, seed: int, keep: bool = False) -> None:
        # What an earlier world left unfinished ends now, or not before the next: ended within this one's play, it would
        # draw from its numbers. What ends within this one is swept at set times (see `Simulation.run`).
        gc.unfreeze()
        gc.collect()
        gc.freeze()
        # Twisted draws the jitter of its reconnections from here.
        random.seed(seed)
        self.scenario = scenario
        self.simulation = Simulation(seed)
        self.random = self.simulation.random
        self.judge = Judge(
            lambda: self.simulation.now - START,
            scenario.workers.cancel_s,
            {team.name: team.cpus_max for team in scenario.teams},
        )
        self.judge.history = [] if keep else None
        self.names = [f"n{number}" for number in range(scenario.nodes)]
        self.nodes: dict[str, Controller] = {}
        self.api = {name: Address(f"{name}:8080") for name in self.names}
        self.world = World(self.simulation, self.judge, scenario.workers, self.api)
        self.world.on_start = self._on_start
        self.machines: dict[str, Machine] = {}
        self.takeovers: list[Takeover] = []
        self._ended: float | None = None
        self._kill_at: dict[str, int] = {}
        self._written: Counter[str] = Counter()
        self._settings = msgspec.to_builtins(scenario)
        self._region()
        for number, name in enumerate(self.names):
            self.simulation.host(name, scenario.zones[number % len(scenario.zones)])
            self.boot(name)
        for at in range(int(SWEEP_S), int(scenario.duration_s), int(SWEEP_S)):
            self.simulation.at(float(at), self._sweep)
        for at in range(1, int(scenario.duration_s)):
            self.simulation.at(float(at), self._look_at_pace)
        self.judge.quiet_from = max((over(fault) for fault in scenario.faults), default=0.0)
        for at in range(int(self.judge.quiet_from) + 1, int(scenario.duration_s), int(LOOK_EVERY_S)):
            self.simulation.at(float(at), self._look_for_waiting)
        for fault in scenario.faults:
            self.simulation.at(fault.at_s, lambda fault=fault: self.strike(fault))  # type: ignore[misc]
        count = 0
        for jobs in scenario.jobs:
            for number in range(jobs.count):
                count += 1
                self._submit(jobs, f"wk-{count:06d}", jobs.at_s + number * jobs.every_s, count)

    def _sweep(self) -> None:
        gc.collect()

    def _look_at_pace(self) -> None:
        leader, rps = self.leader(), self.scenario.state.rps
        others = follower_share(self.scenario.nodes)
        allowed = {name: rps * (LEADER_SHARE if name == leader else others) for name in self.names}
        for name in self.store.pace.look(allowed):
            self.judge.breaks("busy_loop", f"{name} asked the state service at its budget's rate and wrote nothing")

    def _look_for_waiting(self) -> None:
        machines = [self.machines[name] for name in self.up()]
        for job in self.judge.waiting():
            spec = self.world.works[job].spec
            fitting = (
                one
                for one in machines
                if (spec["builds"] is None or one.machine["build"] in spec["builds"])
                and (spec["stubble"] or not one.machine["stubble"])
            )
            self.judge.could_run(job, any(one.has_room(spec) for one in fitting))

    def _region(self) -> None:
        boot, host = self.simulation.boot, self.simulation.host
        self.store = Store(boot(host("state", "")), self.scenario.state)
        self.store.on_written = self._on_written
        self.cloud = Rentals(
            boot(host("cloud", "")), self.scenario.cloud, self.scenario.types, self.scenario.workers.fetch_gb_per_s
        )
        self.cloud.on_rent, self.cloud.on_delete = self._rented, self._deleted
        self.users = Users(boot(host("users", "")), self.judge, self.api)
        reactor = self.users._reactor
        self.world.courier = HttpClient(boot(host("network", "")))
        for at in range(int(self.scenario.duration_s // STRAY_S)):
            job = f"wk-9{at:05d}"
            reactor.callLater(STRAY_S * (at + 1), lambda job=job: Deferred.fromCoroutine(self.users.stray(job)))

    # Nodes

    def settings(self, name: str) -> Settings:
        scenario = self.scenario
        facts = {
            "zones": scenario.zones,
            "initial_size": scenario.nodes,
            "clock_off_ms": 5.0,
            "teams": self._settings["teams"],
            "state": self._settings["state"],
            "cloud": self._settings["cloud"],
            "workers": self._settings["workers"],
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
        reactor = self.simulation.boot(self.simulation.hosts[name])
        reactor.ahead_s = dict(zip(self.names, self.scenario.clocks_s, strict=False)).get(name, 0.0)
        node = self.nodes[name] = Controller(
            reactor, self.settings(name), msgspec.convert(self.scenario.operator, OperatorSettings)
        )
        node.start()

    def leader(self) -> str | None:
        """Whom the key names, whatever the nodes say."""
        value = self.store.service.value("lead")
        return value["node"] if value is not None else None

    def kill(self, name: str, back_s: float | None) -> None:
        if self.simulation.hosts[name].reactor is None:
            return
        self.judge.note(f"{name} ends")
        if name == self.leader():
            self._ended = self.simulation.now
        self.simulation.kill(self.simulation.hosts[name])
        self.simulation.later(back_s if back_s is not None else BACK_S, lambda: self.boot(name))

    def chosen(self, which: str | None) -> list[str]:
        leader = self.leader()
        if which == "all":
            return list(self.names)
        if which == "leader":
            return [leader] if leader is not None else []
        if which == "follower":
            return [name for name in self.names if name != leader][:1]
        return [which] if which is not None else []

    # What the world sees

    def _on_written(self, caller: str, request: dict[str, Any]) -> bool:
        now = self.simulation.now
        for write in request["writes"]:
            if write.get("write") == "lead":
                token = self.store.service.keys["lead"]["mark"]
                self.world.deliver_kept()
                ended = self._ended if self._ended is not None else now
                self._ended = None
                self.judge.note(f"{caller} leads with token {token}")
                self.takeovers.append(
                    Takeover(round(now - START, 3), token, caller, round(ended - START, 3), round(now - ended, 3))
                )
            elif str(write.get("write", "")).startswith("t/") and self.takeovers:
                last = self.takeovers[-1]
                if last.first_placement_s is None and last.node == caller:
                    last.first_placement_s = round(now - START - last.dead_s, 3)
        if caller in self._kill_at:
            self._written[caller] += 1
            if self._written[caller] >= self._kill_at[caller]:
                del self._kill_at[caller]
                self.kill(caller, None)
                return False
        return True

    def _on_start(self, token: int) -> None:
        if self.takeovers and self.takeovers[-1].token == token and self.takeovers[-1].first_start_s is None:
            last = self.takeovers[-1]
            last.first_start_s = round(self.simulation.now - START - last.dead_s, 3)

    # Machines

    def _rented(self, machine: dict[str, Any]) -> None:
        kind = next(one for one in self.scenario.types if one.name == machine["build"])
        self.cloud.note_rented(machine)
        host = self.simulation.host(machine["id"], machine["field"])
        host.powered = False
        if self.random.random() >= kind.boot_fail:
            self.simulation.later(kind.boot_s * self.random.uniform(0.6, 1.5), lambda: self._up(machine, host))

    def _up(self, machine: dict[str, Any], host: Host) -> None:
        if machine["id"] in self.cloud.machines:
            self.machines[machine["id"]] = one = Machine(self.world, machine, self.simulation.boot(host))
            one.start()

    def _deleted(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.cloud.note_gone(machine.machine)
            machine.stop("deleted")
        self.simulation.kill(self.simulation.hosts[name], True)
        self.judge.note(f"{name} deleted")

    def up(self, zone: str | None = None) -> list[str]:
        return [
            name
            for name, one in sorted(self.machines.items())
            if (zone is None or one.machine["field"] == zone) and name not in self.cloud.died
        ]

    # Users

    def _submit(self, jobs: Jobs, name: str, at: float, number: int) -> None:
        spec = {
            "id": name,
            "herd": jobs.job_class,
            "steward": jobs.team,
            "breed": KINDS[jobs.kind],
            "rank": RANKS[jobs.priority],
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
        run_s = [jobs.run_s * self.random.uniform(0.7, 1.3) + n * jobs.apart_s for n in range(jobs.tasks)]
        if jobs.kind == "gang":
            run_s = [run_s[0]] * jobs.tasks
        again = self.random.random() < 0.1

        def begin() -> None:
            self.world.works[name] = Work(spec, run_s)
            self.judge.submitted(
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
            Deferred.fromCoroutine(self.users.live(spec, jobs.cancel_after_s, again))

        self.users._reactor.callLater(at, begin)

    # Troubles

    def strike(self, fault: Fault) -> None:
        self.judge.note(f"trouble: {fault.kind}")
        simulation, store = self.simulation, self.store
        for_s = fault.for_s or 0.0
        later = simulation.later
        match fault.kind:
            case "node_kill":
                for name in self.chosen(fault.node):
                    self.kill(name, fault.back_s)
            case "node_freeze":
                for name in self.chosen(fault.node):
                    if (reactor := simulation.hosts[name].reactor) is not None:
                        reactor.frozen_until = simulation.now + for_s
                        if name == self.leader():
                            self._ended = simulation.now
            case "node_slow":
                for name in self.chosen(fault.node):
                    if (reactor := simulation.hosts[name].reactor) is not None:
                        reactor.cost_s = (fault.factor or 0.0) / 1000
                        later(for_s, lambda reactor=reactor: setattr(reactor, "cost_s", 0.0))  # type: ignore[misc]
            case "node_cut":
                self._cut_nodes(self.chosen(fault.node), fault)
            case "peers_refuse":
                simulation.add_cut(Cut(self.names, self.names, "refuse"), fault.for_s)
            case "store_outage":
                store.service.outage = True
                later(for_s, lambda: setattr(store.service, "outage", False))
            case "store_slow":
                store.slow = fault.factor or 1.0
                later(for_s, lambda: setattr(store, "slow", 1.0))
            case "store_refuses":
                names = set(self.chosen(fault.node))
                store.refused |= names
                later(for_s, lambda: store.refused.difference_update(names))
            case "store_late":
                store.late += [for_s] * (fault.count or 1)
            case "kill_after_write":
                for name in self.chosen("leader"):
                    self._written[name] = 0
                    self._kill_at[name] = fault.count or 1
            case "zone_cut":
                inside = [name for name, host in simulation.hosts.items() if host.zone == fault.zone]
                outside = [name for name, host in simulation.hosts.items() if host.zone != fault.zone]
                simulation.add_cut(Cut(inside, outside, fault.mode), fault.for_s)
            case "machine_die":
                for name in self._some(fault):
                    self._die(name)
            case "machine_hang":
                for name in self._some(fault):
                    self.machines[name].hang(for_s)
            case "machine_cut":
                some = self._some(fault)
                simulation.add_cut(Cut(some, set(simulation.hosts) - set(some), fault.mode), fault.for_s)
            case "machine_deaf" | "machine_mute":
                way = fault.kind.removeprefix("machine_")
                for name in self._some(fault):
                    machine = self.machines[name]
                    setattr(machine, way, True)
                    later(for_s, lambda machine=machine: setattr(machine, way, False))  # type: ignore[misc]
            case "cancel_now":
                self._cancel_now(fault)
            case "machine_back":
                for name in self._some(fault):
                    self._back(name, fault)
            case "report_copies" if fault.for_next:
                self.world.kept = []
                later(for_s, lambda: setattr(self.world, "kept", None))
            case "report_copies":
                self.world.copy_after = fault.factor
                later(for_s, lambda: setattr(self.world, "copy_after", None))
            case "late_writes":
                store.late_share, store.late_at_once = fault.share or 0.0, fault.at_once
                later(for_s, lambda: setattr(store, "late_share", 0.0))
            case "cancel_at_end":
                self.judge.on_complete = lambda job: self._cancel_at_end(job, fault.share or 0.0)
                later(for_s, lambda: setattr(self.judge, "on_complete", lambda job: None))
            case "close_looks":
                self.users.close_looks = True
                later(for_s, lambda: setattr(self.users, "close_looks", False))
            case "odd_requests":
                for after in range(int(for_s / ODD_EVERY_S)):
                    later(after * ODD_EVERY_S, self._odd_requests)
            case "late_commands":
                self.world.hold = (fault.share or 0.0, fault.factor or 0.0)
                later(for_s, lambda: setattr(self.world, "hold", (0.0, 0.0)))
            case "cloud_outage":
                self.cloud.trouble = True
                later(for_s, lambda: setattr(self.cloud, "trouble", False))
            case "store_loss":
                store.lose(fault.what or "all", for_s, fault.prefix or "", fault.count or 0)
            case "capacity":
                self.cloud.share = fault.factor or 0.0
                later(for_s, lambda: setattr(self.cloud, "share", 1.0))

    def _cut_nodes(self, names: list[str], fault: Fault) -> None:
        others: dict[str | None, list[str]] = {
            "store": ["state"],
            "workers": [name for name in self.simulation.hosts if name not in (*REGION, *self.names)],
            "peers": [name for name in self.names if name not in names],
            "all": [name for name in self.simulation.hosts if name not in names],
        }
        sources, targets = names, others[fault.apart]
        if fault.way == "in":
            sources, targets = targets, sources
        self.simulation.add_cut(Cut(sources, targets, fault.mode, fault.way == "both"), fault.for_s)

    def _cancel_now(self, fault: Fault) -> None:
        """Users call off jobs that run, and some of their machines hang in that moment."""
        running = self.judge.running()
        jobs = self.random.sample(running, min(fault.count or 0, len(running)))
        for job in jobs:
            self.users.cancel(job, self.random.uniform(0.0, CANCELLED_WITHIN_S))
        if fault.hang_s is not None:
            names = sorted(set().union(*map(self.judge.machines_of, jobs)) & set(self.up()))
            for name in self.random.sample(names, min(HANG_AT_ONCE, len(names))):
                self.machines[name].hang(fault.hang_s)

    def _cancel_at_end(self, job: str, share: float) -> None:
        if self.random.random() < share:
            self.users.cancel(job, 0.0)

    def _odd_requests(self) -> None:
        """At every node: a submission repeated, a cancel of what is done, what can't run, what lacks a field."""
        if known := sorted(self.world.works):
            for name in self.names:
                spec = self.world.works[self.random.choice(known)].spec
                Deferred.fromCoroutine(self.users.odd(self.api[name], spec))

    def _some(self, fault: Fault) -> list[str]:
        names = self.up(fault.zone)
        return sorted(self.random.sample(names, min(fault.count or 0, len(names))))

    def _die(self, name: str) -> None:
        self.machines[name].stop("died")
        self.cloud.died[name] = self.simulation.now
        self.simulation.kill(self.simulation.hosts[name], True)

    def _back(self, name: str, fault: Fault) -> None:
        """The machine loses what was on it, and is there again in a moment."""
        old = self.machines[name]
        old.stop("restart")
        host = self.simulation.hosts[name]
        self.simulation.kill(host, True)

        def again() -> None:
            if name in self.cloud.machines and name not in self.cloud.died:
                self._up(self.cloud.machines[name], host)
                if not fault.anew:
                    self.machines[name].session, self.machines[name].seq = old.session + 1, old.seq
                    self.machines[name].token = old.token

        self.simulation.later(fault.back_s or 0.0, again)

    def play(self) -> dict[str, Any]:
        self.simulation.run(self.scenario.duration_s)
        self.judge.finish()
        classes, teams = self.judge.served()
        return {
            "broken": self.judge.broken,
            "hash": self.judge.hash,
            "served": classes,
            "served_teams": teams,
            "largest": self.judge.largest(),
            "takeovers": [msgspec.to_builtins(one) for one in self.takeovers],
            "cancels": self.judge.cancels(),
            "started": self.judge.started,
            "lost": self.judge.lost,
            "again": self.judge.again,
            "kept_at_word": self.judge.kept_at_word,
            "store": {"requests": self.store.requests, "written": self.store.written, "refused": self.store.refusals},
            "submit_s": {
                "accepted": len(self.users.submit_s),
                "longest": round(max(self.users.submit_s, default=0), 3),
                "gave_up": self.users.gave_up,
            },
        }
