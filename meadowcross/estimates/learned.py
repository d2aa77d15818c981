"""Run times learned from what finished: levels, from all work down to one job.

A prediction starts from the owner's guess with a wide spread and is drawn, level by level,
towards what was seen: of all work, of the team, of the class, of the part of the class that
tells most (team, shape, machine type), of the job's own tasks. Each level counts by how much
it has seen. docs/estimates.md says why so.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from functools import lru_cache
from math import ceil, exp, inf, isfinite, log, log2, sqrt
from threading import RLock
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.estimates import messages as m
from meadowcross.estimates.curve import (
    GRID,
    LEAST_S,
    MIDDLE,
    PAIRS,
    STATED,
    Curve,
    Logs,
    ascending,
    blend,
    shifted,
    spread,
    widened,
)
from meadowcross.estimates.runs import TYPICAL
from meadowcross.jobs import messages as jm
from meadowcross.jobs.messages import JobSpec

if TYPE_CHECKING:
    # The sketch library is loaded with the first end that is learned, not with a node.
    from meadowcross.estimates.sketch import Decayed
    from meadowcross.estimates.track import Track

log_to = get_logger("estimates")

GUESS_SIGMA = 0.8
"""An owner's guess alone: four in five runs between a third and nearly three times of it."""
NO_GUESS_S, NO_GUESS_SIGMA = 60.0, 1.6
"""Without a guess and without any history; it only has to be sane and wide."""
LEAN, LEAST_LEAN = 2.0, 0.02
"""So many ends of its own count as much as the level above; more at the tails, which few ends
show."""
TAILS = tuple(LEAN / sqrt(2 * min(q, 1 - q)) for q in GRID)
PART_FROM = 6.0
PART_APART = 2.0
"""Standard errors by which a part's middle must differ from its class's to be used."""
PART_LEAST = 0.05
PART_HALF_LIFE = 32.0
MAX_PARTS = 8
TRUST_KEEP = 0.97
"""Misses are averaged over some thirty ends: a change spoils both ways of telling alike, and
must not make the worse of them look better."""
TIME_BETTER = 0.9
"""The class's own run times are used instead of ratios to the guess if they miss by less."""
SPREAD_KEEP = 0.9
STEP, LEAST_STEP = 0.06, 0.2
"""How fast the stated intervals are stretched or narrowed to hold what they state."""
NARROWEST, WIDEST = -1.5, 1.5
MACHINE_KEEP = 0.7
MACHINE_FROM = 3
SLOW_LOG = 0.35
"""A machine whose runs take e^0.35, 1.4 times, as long as all others' is slow: machines of one
type differ by a tenth."""
WORTH_COUNTING, ONE_OF = 0.02, 4
"""Ends of a job that count for less are left out of its class, and only one of so many is
looked at to see how the tasks of one job differ: most ends of a large array cost next to nothing."""
FLEET_KEEP = 0.95
MOST_OFF = 7.0
"""Logarithm of the largest error that is believed, a thousand times."""
OVERDUE_Q = 0.9
OVERDUE_COUNTS = 10.0
"""Overdue runs are weighed against at most so many ends."""
MAX_OVERDUE = 32
OVERDUE_GROWTH = 0.2
"""What is overdue is expected to last a fifth longer than it has, in logarithms."""
KEPT_S: Seconds = 1.0
JOB_KEPT_S: Seconds = 4.0
"""What was worked out for a class, and for one job, is used again for so long."""
MAX_KEPT_LEFTS = 2_000
MAX_CLASSES = 1_000
MAX_MACHINES = 5_000
MAX_JOBS = 20_000


class Kind(NamedTuple):
    """All that a run's length is taken to depend on."""

    job_class: str
    team: str
    shape: str
    machine_type: str
    """Empty where it is not known yet."""
    guess: Seconds
    job: str


@lru_cache(maxsize=4096)
def shape_name(cpus: float, gpus: float, memory_gb: float) -> str:
    """Tasks within a factor of two of each other are of one shape."""

    def size(amount: float) -> int:
        return ceil(log2(amount) - 1e-9) if amount > 0 else -99

    return f"{size(cpus)},{size(gpus)},{size(memory_gb)}"


def kind_of(spec: JobSpec, machine_type: str = "") -> Kind:
    shape = shape_name(spec.cpus, spec.gpus, spec.memory_gb)
    return Kind(spec.job_class, spec.team, shape, machine_type, spec.estimate_s, spec.id)


Overdue = list[tuple[float, float]]


class Entry:
    """What was learned of a class, a team or everything."""

    __slots__ = (
        "ends",
        "name",
        "overdue",
        "parts",
        "ratio",
        "ratio_miss",
        "spread_all",
        "spread_in_job",
        "time",
        "time_miss",
        "widths",
    )

    def __init__(self, name: str, ratio: Track, time: Track) -> None:
        self.name = name
        self.ratio = ratio
        self.time = time
        self.ends = 0.0
        self.ratio_miss = 0.5
        self.time_miss = 0.6
        self.spread_all = 0.3
        self.spread_in_job = 0.1
        """Mean distance of an end from its class's middle, and from what its job had shown."""
        self.widths = [[0.0, 0.0, 0.0], [0.0, 0.0, 0.0]]
        """Logarithms of what the stated intervals are stretched by: a job's first end; the others."""
        self.parts: OrderedDict[str, Decayed] = OrderedDict()
        self.overdue: Overdue = []
        """Of jobs that run longer than expected: logarithm over the middle, and weight."""

    @property
    def in_job(self) -> float:
        """How far the tasks of one job differ, as a share of how the class's runs do; at most 1."""
        return min(1.0, self.spread_in_job / max(self.spread_all, 1e-3))

    @property
    def by_time(self) -> bool:
        return self.time_miss < TIME_BETTER * self.ratio_miss


class _Job:
    """What a job's own tasks have shown, against what its class said then."""

    __slots__ = ("count", "mean", "overdue")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.overdue: Overdue = []
        """Of its own tasks that run longer than the others took: short ones end first, and the
        rest of an array once always took longer than was said."""


class _Kept:
    """A job's curve for a few seconds, with what was asked of it: a leader asks the same of
    thousands of tasks in every pass."""

    __slots__ = ("_lefts", "at", "curve", "middle")

    def __init__(self, at: float, curve: Curve) -> None:
        self.at = at
        self.curve = curve
        self.middle = curve.at(TYPICAL)
        self._lefts: dict[tuple[int, float], Seconds] = {}

    def left(self, ran: Seconds, q: float) -> Seconds:
        """As the curve says, `ran` taken to within half a second."""
        key = (int(2 * ran), q)
        left = self._lefts.get(key)
        if left is None:
            if len(self._lefts) >= MAX_KEPT_LEFTS:
                self._lefts.clear()
            left = self._lefts[key] = self.curve.left(key[0] / 2, q)
        return left


class _Level(NamedTuple):
    """Logs, and their mean, that still lack `guessed` times the logarithm of the owner's guess."""

    logs: Logs
    centre: float
    guessed: float


class Learned:
    """Takes ends, gives curves. Bounded in classes, parts, jobs and machines."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = RLock()
        self._entries: OrderedDict[str, Entry] = OrderedDict()
        self._stored: dict[str, msgspec.Raw] = {}
        """By key: records as read, looked at when their class is first asked for."""
        self._foreign: set[str] = set()
        """Keys that a newer program wrote."""
        self._jobs: OrderedDict[str, _Job] = OrderedDict()
        self._machines: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._fleet = 0.0
        self._levels: dict[tuple[str, str, str, str, bool], tuple[float, _Level, _Level]] = {}
        self._by_job: dict[tuple[str, str], _Kept] = {}
        self.unsaved: dict[str, float] = {}
        """Entries that changed since they were stored, by how many ends."""
        self.dropped: set[str] = set()
        """Keys of entries that went for others."""

    # What is asked

    def run(self, spec: JobSpec, q: float = TYPICAL) -> Seconds:
        kept = self._kept(spec, "")
        return kept.middle if q == TYPICAL else kept.curve.at(q)

    def left(self, spec: JobSpec, ran: Seconds, q: float = TYPICAL, machine_type: str = "") -> Seconds:
        return inf if spec.kind is jm.JobKind.SERVICE else self._kept(spec, machine_type).left(ran, q)

    def curve_of(self, spec: JobSpec) -> Curve:
        """A job's curve, at most some seconds old."""
        return self._kept(spec, "").curve

    def _kept(self, spec: JobSpec, machine_type: str) -> _Kept:
        now = self._clock.seconds()
        with self._lock:
            kept = self._by_job.get((spec.id, machine_type))
            if kept is None or now - kept.at >= JOB_KEPT_S:
                if len(self._by_job) >= MAX_JOBS:
                    self._by_job.clear()
                kept = _Kept(now, self.curve(kind_of(spec, machine_type)))
                self._by_job[spec.id, machine_type] = kept
            return kept

    def curve(self, kind: Kind) -> Curve:
        """The predicted distribution, with its stated intervals stretched to hold."""
        with self._lock:
            entry = self._entry(m.class_name(kind.job_class))
            logs = self._expected(kind)[1]
            job = self._jobs.get(kind.job) if kind.job else None
            if entry is None:
                return Curve(self._with_job(logs, job, None))
            widths = entry.widths[1 if job is not None else 0]
            logs = widened(self._with_job(logs, job, entry), (exp(widths[0]), exp(widths[1]), exp(widths[2])))
            return Curve(self._with_overdue(logs, entry, job))

    @staticmethod
    def _with_overdue(logs: Logs, entry: Entry, job: _Job | None) -> Logs:
        if job is not None:
            return with_overdue(logs, job.overdue, job.count) if job.overdue else logs
        return with_overdue(logs, entry.overdue, entry.time.weight) if entry.overdue else logs

    def _with_job(self, logs: Logs, job: _Job | None, entry: Entry | None) -> Logs:
        """Moved to where the job's own ends lie, and narrowed as far as its class's jobs are
        alike within themselves."""
        if job is None:
            return logs
        narrow = 0.5 if entry is None else max(0.1, entry.in_job)
        # As if its class's jobs were normal around the class, and its tasks around it.
        weight = job.count / (job.count + narrow * narrow)
        factor = 1 - weight * (1 - narrow)
        return shifted(widened(logs, (factor, factor, factor)), weight * job.mean)

    def _expected(self, kind: Kind) -> tuple[float, Logs]:
        """What the class is expected to take on the mean of logarithms, and the quantiles with
        the part that tells most."""
        has_guess = kind.guess > 0
        key = (kind.job_class, kind.team, kind.shape, kind.machine_type, has_guess)
        now = self._clock.seconds()
        kept = self._levels.get(key)
        if kept is None or now - kept[0] >= KEPT_S:
            if len(self._levels) >= MAX_JOBS:
                self._levels.clear()
            kept = self._levels[key] = (now, *self._work_out(kind, has_guess))
        by = log(max(kind.guess, LEAST_S)) if has_guess else 0.0
        _, level, with_part = kept
        return level.centre + level.guessed * by, shifted(with_part.logs, with_part.guessed * by)

    def _work_out(self, kind: Kind, has_guess: bool) -> tuple[_Level, _Level]:
        if has_guess:
            level = _Level(spread(0.0, GUESS_SIGMA), 0.0, 1.0)
        else:
            level = _Level(spread(log(NO_GUESS_S), NO_GUESS_SIGMA), log(NO_GUESS_S), 0.0)
        for name in (m.EVERYTHING, m.team_name(kind.team), m.class_name(kind.job_class)):
            entry = self._entry(name)
            if entry is None:
                continue
            by_time = not has_guess or (entry.by_time and name.startswith("c/"))
            track = entry.time if by_time else entry.ratio
            if track.weight > 0:
                level = _lean(
                    level, track.logs(), track.centre(), track.weight, track.slow.weight, 0.0 if by_time else 1.0
                )
        entry = self._entry(m.class_name(kind.job_class))
        return level, level if entry is None else self._with_part(level, entry, kind)

    def _with_part(self, level: _Level, entry: Entry, kind: Kind) -> _Level:
        """Parts hold runs over what the class expected of them. Only the part that stands out
        most is used: parts go together (a team that always asks for one shape), and their
        differences would be counted twice."""
        best: tuple[float, Decayed] | None = None
        for name in _parts(kind):
            part = entry.parts.get(name)
            if part is None or part.weight < PART_FROM:
                continue
            logs = part.logs()
            sigma = max(0.02, (logs[5] - logs[1]) / 2.56)
            apart = abs(logs[MIDDLE]) * sqrt(part.weight) / sigma
            if apart > PART_APART and abs(logs[MIDDLE]) > PART_LEAST and (best is None or apart > best[0]):
                best = (apart, part)
        if best is None:
            return level
        part = best[1]
        own = shifted(part.logs(), level.centre)
        return _lean(level, own, level.centre, part.weight, part.weight, level.guessed)

    def alike(self, spec: JobSpec) -> float:
        """How far the tasks of one job of the class differ, as a share of how its runs do."""
        with self._lock:
            entry = self._entry(m.class_name(spec.job_class))
            return 0.5 if entry is None else entry.in_job

    def foresee(self, stage: str, middle: Seconds) -> tuple[Seconds, Seconds, Seconds]:
        """A finish that was worked out, with the interval that such times have held to lately:
        it is done sooner in one, five and nine cases of ten."""
        with self._lock:
            entry = self._entry(m.finish_name(stage))
            level = _Level(spread(0.0, GUESS_SIGMA), 0.0, 0.0)
            if entry is not None and entry.ratio.weight > 0:
                level = _lean(level, entry.ratio.logs(), 0.0, entry.ratio.weight, entry.ratio.slow.weight, 0.0)
            curve = Curve(shifted(level.logs, log(max(LEAST_S, middle))))
            return curve.at(0.1), curve.at(0.5), curve.at(0.9)

    def came(self, stage: str, middle: Seconds, took: Seconds) -> None:
        """A job was done `took` seconds after `middle` was foreseen for it."""
        if not (isfinite(took) and took > 0 and middle > 0):
            return
        with self._lock:
            name = m.finish_name(stage)
            entry = self._made(name)
            entry.ends += 1
            entry.ratio.add(took / middle)
            self.unsaved[name] = self.unsaved.get(name, 0.0) + 1

    # What is learned

    def done(self, spec: JobSpec, ran: Seconds, machine: MachineId, machine_type: str) -> None:
        self.learn(kind_of(spec, machine_type), ran, machine)

    def cut(self, spec: JobSpec, ran: Seconds) -> None:
        self.learn_cut(kind_of(spec), ran)

    def learn(self, kind: Kind, ran: Seconds, machine: str = "") -> None:
        """A completed run."""
        if not (isfinite(ran) and ran > 0):
            return
        ran = max(ran, LEAST_S)
        with self._lock:
            centre, logs = self._expected(kind)
            miss = max(-MOST_OFF, min(MOST_OFF, log(ran) - logs[MIDDLE]))
            if machine and self._slow(machine, miss):
                return
            job = self._jobs.get(kind.job) if kind.job else None
            entry = self._made(m.class_name(kind.job_class))
            weight = _counts(entry, job)
            if weight >= WORTH_COUNTING or job is None or job.count % ONE_OF == 0:
                self._see_widths(entry, kind, ran, job, weight, miss)
            if weight >= WORTH_COUNTING:
                residual = max(-MOST_OFF, min(MOST_OFF, log(ran) - centre))
                for name in _parts(kind):
                    self._see_part(entry, name, exp(residual), weight)
                self._add(kind, ran, weight)
            if kind.job:
                self._see_job(kind.job, job, miss)

    def learn_cut(self, kind: Kind, ran: Seconds) -> None:
        """A run that would have gone on. What was cut short tells nothing; what had outlasted
        half of its like stands for a run of what such runs take, for as much as it outlasted."""
        if not (isfinite(ran) and ran > 0):
            return
        with self._lock:
            curve = self.curve(kind)
            passed = curve.share(ran)
            if passed > 0.5:
                likely = max(ran, curve.at(passed + (1 - passed) / 2))
                job = self._jobs.get(kind.job) if kind.job else None
                self._add(kind, likely, passed * _counts(self._made(m.class_name(kind.job_class)), job))

    def _add(self, kind: Kind, ran: Seconds, weight: float) -> None:
        for name in (m.EVERYTHING, m.team_name(kind.team), m.class_name(kind.job_class)):
            entry = self._made(name)
            entry.ends += weight
            if kind.guess > 0:
                if name.startswith("c/") and entry.ratio.weight >= 3 and entry.time.weight >= 3:
                    keep = min(TRUST_KEEP, 1 - 1 / (entry.ends + 1)) ** weight
                    by_ratio = min(MOST_OFF, abs(log(ran / kind.guess) - entry.ratio.logs()[MIDDLE]))
                    by_time = min(MOST_OFF, abs(log(ran) - entry.time.logs()[MIDDLE]))
                    entry.ratio_miss += (1 - keep) * (by_ratio - entry.ratio_miss)
                    entry.time_miss += (1 - keep) * (by_time - entry.time_miss)
                entry.ratio.add(ran / kind.guess, weight)
            entry.time.add(ran, weight)
            self.unsaved[name] = self.unsaved.get(name, 0.0) + weight

    def _see_widths(self, entry: Entry, kind: Kind, ran: Seconds, job: _Job | None, weight: float, miss: float) -> None:
        """Stretch or narrow what is stated by whether it held (adaptive conformal inference,
        Gibbs and Candès, 2021): over time it then holds as often as it says, whatever the shape."""
        if entry.ends >= 1:
            curve = self.curve(kind)
            widths = entry.widths[1 if job is not None else 0]
            value = log(ran)
            for i, ((low, high), stated) in enumerate(zip(PAIRS, STATED, strict=True)):
                outside = not curve.logs[low] <= value <= curve.logs[high]
                # One that is looked at for several stands for them.
                worth = max(weight, LEAST_STEP) if weight >= WORTH_COUNTING else 1.0
                step = STEP * worth * (stated if outside else stated - 1)
                widths[i] = max(NARROWEST, min(WIDEST, widths[i] + step))
        keep = SPREAD_KEEP**weight
        entry.spread_all += (1 - keep) * (abs(miss) - entry.spread_all)
        if job is not None:
            entry.spread_in_job += (1 - SPREAD_KEEP**0.5) * (abs(miss - job.mean) - entry.spread_in_job)

    def _see_part(self, entry: Entry, name: str, over: float, weight: float) -> None:
        from meadowcross.estimates.sketch import Decayed

        part = entry.parts.get(name)
        if part is None:
            part = entry.parts[name] = Decayed(PART_HALF_LIFE)
            if len(entry.parts) > MAX_PARTS:
                entry.parts.popitem(last=False)
        entry.parts.move_to_end(name)
        part.add(over, weight)

    def _see_job(self, name: str, job: _Job | None, miss: float) -> None:
        if job is None:
            job = self._jobs[name] = _Job()
            if len(self._jobs) > MAX_JOBS:
                self._jobs.popitem(last=False)
        job.count += 1
        job.mean += (miss - job.mean) / min(job.count, 16)

    def _slow(self, machine: str, miss: float) -> bool:
        """Whether the machine's runs take longer than everybody's by more than machines differ:
        then its ends are its own matter, not its classes'."""
        count, mean = self._machines.pop(machine, (0, self._fleet))
        mean = MACHINE_KEEP * mean + (1 - MACHINE_KEEP) * miss
        self._machines[machine] = (count + 1, mean)
        if len(self._machines) > MAX_MACHINES:
            self._machines.popitem(last=False)
        slow = count >= MACHINE_FROM and mean - self._fleet > SLOW_LOG
        if not slow:
            self._fleet += (1 - FLEET_KEEP) * (miss - self._fleet)
        return slow

    def watch(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """Take the runs that outlast what is expected into account before they end. Told as a
        whole each time, so a run that ends is simply not there the next time."""
        overdue: dict[str, list[tuple[float, float]]] = {}
        with self._lock:
            for spec, lasted in running:
                job = self._jobs.get(spec.id)
                logs = self._with_job(self._expected(kind_of(spec))[1], job, self._entry(m.class_name(spec.job_class)))
                late_from = max(LEAST_S, exp(logs[GRID.index(OVERDUE_Q)]))
                late = [ran for ran in lasted if ran > late_from]
                if job is not None:
                    job.overdue = [(log(ran) - logs[MIDDLE], 1.0) for ran in sorted(late)[:MAX_OVERDUE]]
                elif late:
                    # As of ends: alike tasks of one job count for little more than one.
                    weight = sum(1.0 / (i + 1) for i in range(min(len(late), 100)))
                    over = log(sorted(late)[len(late) // 2]) - logs[MIDDLE]
                    overdue.setdefault(m.class_name(spec.job_class), []).append((over, weight))
            for name, entry in self._entries.items():
                entry.overdue = sorted(overdue.get(name, []))

    def forget(self, job: JobId) -> None:
        with self._lock:
            self._jobs.pop(job, None)
            # What was kept of it for some seconds goes when the next is worked out.
            self._by_job.pop((job, ""), None)

    # Entries and their records

    def _entry(self, name: str) -> Entry | None:
        entry = self._entries.get(name)
        if entry is None and self._stored:
            entry = self._take_stored(name)
        return entry

    def _made(self, name: str) -> Entry:
        """The entry, which is now the most recently used; the least recently used go."""
        entry = self._entry(name)
        if entry is None:
            from meadowcross.estimates.track import Track

            entry = self._entries[name] = Entry(name, Track(), Track())
        self._entries.move_to_end(name)
        while len(self._entries) > MAX_CLASSES:
            gone, _ = self._entries.popitem(last=False)
            self.unsaved.pop(gone, None)
            self.dropped.add(m.key_of(gone))
        return entry

    def offer(self, key: str, value: msgspec.Raw) -> None:
        """A record as an earlier leader stored it."""
        with self._lock:
            self._stored[key] = msgspec.Raw(bytes(value))
            self._levels.clear()
            self._by_job.clear()
            for name in [name for name in self._entries if m.key_of(name) == key]:
                # Learned from since the term began: both count.
                self._take_stored(name)

    def bound(self) -> None:
        """Of more stored records than are kept, drop those that nobody has asked for."""
        with self._lock:
            for key in sorted(self._stored)[max(0, MAX_CLASSES - len(self._entries)) :]:
                del self._stored[key]
                self.dropped.add(key)

    def _take_stored(self, name: str) -> Entry | None:
        key = m.key_of(name)
        raw = self._stored.pop(key, None)
        known = self._entries.get(name)
        if raw is None:
            return known
        entry = self._read(key, name, raw)
        if entry is None:
            return known
        if known is not None:
            entry.ratio, known.ratio = known.ratio, entry.ratio
            entry.time, known.time = known.time, entry.time
            entry.ratio.merge(known.ratio)
            entry.time.merge(known.time)
            for part, seen in known.parts.items():
                if part in entry.parts:
                    seen.merge(entry.parts[part])
                entry.parts[part] = seen
            entry.ends += known.ends
        self._entries[name] = entry
        return entry

    def _read(self, key: str, name: str, raw: msgspec.Raw) -> Entry | None:
        """One that can't be read is set aside with a line in the log; nothing else suffers."""
        from meadowcross.estimates.sketch import Decayed
        from meadowcross.estimates.track import Track

        try:
            version = m.decode_version(raw).v
            if version > m.FORMAT:
                self._foreign.add(key)
                raise ValueError(f"format {version} is newer than {m.FORMAT}; it is left as it is")
            record = m.decode_entry(raw)
            if version < 1 or record.name != name:
                raise ValueError("not a record of this entry")
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            log_to.info("what was learned under %s is set aside: %s", key, error)
            return None
        entry = Entry(name, Track.of(record.ratio), Track.of(record.time))
        entry.ends = record.ends
        entry.ratio_miss, entry.time_miss = record.errors
        entry.spread_all, entry.spread_in_job = record.spreads
        entry.widths = [list(record.widths[0]), list(record.widths[1])]
        for part, bins in list(record.parts.items())[:MAX_PARTS]:
            entry.parts[part] = Decayed.of(PART_HALF_LIFE, bins)
        return entry

    def record(self, name: str, most: int) -> bytes | None:
        """The entry as it is stored, in at most so many bytes: parts go first, the least used
        before the others. None: there is none, or its key is not ours to write."""
        with self._lock:
            entry = self._entries.get(name)
            if entry is None or m.key_of(name) in self._foreign:
                return None
            parts = {part: seen.rounded() for part, seen in entry.parts.items()}
            while True:
                first, others = entry.widths
                made = m.encode(
                    m.EntryRecord(
                        m.FORMAT,
                        name,
                        round(entry.ends, 3),
                        entry.ratio.record(),
                        entry.time.record(),
                        (round(entry.ratio_miss, 4), round(entry.time_miss, 4)),
                        (round(entry.spread_all, 4), round(entry.spread_in_job, 4)),
                        (_three(first), _three(others)),
                        parts,
                    )
                )
                if len(made) <= most:
                    return made
                if not parts:
                    log_to.info("what was learned of %.60s needs %d bytes: not stored", name, len(made))
                    return None
                del parts[next(iter(parts))]

    def reset(self, key: str) -> None:
        """An operator dropped the record: start anew."""
        with self._lock:
            self._stored.pop(key, None)
            self._foreign.discard(key)
            for name in [name for name in self._entries if m.key_of(name) == key]:
                del self._entries[name]
                self.unsaved.pop(name, None)
                log_to.info("what was learned of %.60s is forgotten", name)
            self._levels.clear()
            self._by_job.clear()

    def entries(self) -> list[Entry]:
        with self._lock:
            return list(self._entries.values())


def _counts(entry: Entry, job: _Job | None) -> float:
    """For how much a job's next end counts. What n tasks that are alike tell is worth
    n / (1 + (n - 1) r) independent runs, r the share of the class's variance that lies between
    its jobs: hundreds of alike tasks of one job would else pass for a change of their class."""
    if job is None:
        return 1.0
    alike = 1 - entry.in_job**2
    before, after = (n / (1 + (n - 1) * alike) for n in (job.count, job.count + 1))
    return after - before


def _lean(level: _Level, own: Logs, centre: float, weight: float, known: float, guessed: float) -> _Level:
    """The level above, drawn towards `own` by how many ends that rests on. Where its runs differ
    little, few of them tell more than the level above: as if both were normal. `known` ends
    stand behind that spread; of few the spread itself is not known."""
    above = max(1e-3, level.logs[5] - level.logs[1])
    narrow = ((own[5] - own[1]) / above) ** 2
    lean = min(1.0, max(narrow, 1.0 / max(known, 1.0), LEAST_LEAN))
    middle = weight / (weight + LEAN * lean)
    shares = [weight / (weight + tail * lean) for tail in TAILS]
    centre = middle * centre + (1 - middle) * level.centre
    if guessed != level.guessed:
        # Seconds and ratios only mix with one share for the whole curve.
        return _Level(blend(own, middle, level.logs), centre, middle * guessed + (1 - middle) * level.guessed)
    logs = tuple(s * a + (1 - s) * b for s, a, b in zip(shares, own, level.logs, strict=True))
    return _Level(ascending(logs), centre, level.guessed)


def with_overdue(logs: Logs, overdue: Overdue, ends: float) -> Logs:
    """As if the overdue runs had ended a little later than now, beside so many ends."""
    count = max(1.0, min(OVERDUE_COUNTS, ends))
    late = sum(weight for _, weight in overdue)
    curve = Curve(logs)
    moved = []
    for q in GRID:
        rank = q * (count + late) / count
        value = curve.log_at(min(rank, GRID[-1]))
        if rank > OVERDUE_Q:
            over = overdue[min(len(overdue) - 1, int(len(overdue) * (rank - OVERDUE_Q)))][0]
            value = max(value, logs[MIDDLE] + over + OVERDUE_GROWTH)
        moved.append(value)
    return ascending(tuple(moved))


def _parts(kind: Kind) -> list[str]:
    parts = ["t/" + kind.team[:60], "s/" + kind.shape]
    if kind.machine_type:
        parts.append("m/" + kind.machine_type[:60])
    return parts


def _three(values: list[float]) -> tuple[float, float, float]:
    return round(values[0], 4), round(values[1], 4), round(values[2], 4)
