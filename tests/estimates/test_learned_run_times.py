"""Learned run times without a cluster: what is predicted, what teaches, what is stored."""

from __future__ import annotations

import json
from math import exp, isfinite, log
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from meadowcross.cli import main
from meadowcross.common.types import MachineId
from meadowcross.estimates import learned as ln
from meadowcross.estimates import messages as m
from meadowcross.estimates.curve import Curve, spread
from meadowcross.estimates.finish import Left, middle_of
from meadowcross.estimates.history import Run, made
from meadowcross.estimates.learned import Kind, Learned, kind_of
from meadowcross.estimates.replay import Replay
from meadowcross.estimates.shown import shown, table
from meadowcross.estimates.sketch import Decayed
from meadowcross.estimates.track import Track
from meadowcross.jobs.messages import JobSpec
from tests.support.world import job

SPEC = msgspec.convert(job(), JobSpec)


def kind(name="train", guess=30.0, team="b", machine_type="", job_name=""):
    return Kind(name, team, "1,-99,2", machine_type, guess, job_name)


def taught(runs, clock=None, **of):
    clock = clock or Clock()
    learned = Learned(clock)
    for seconds in runs:
        learned.learn(kind(**of), seconds)
        clock.advance(2.0)
    return learned


def noisy(seed, middle, count, sigma=0.08):
    chance = Random(seed)
    return [middle * exp(chance.gauss(0, sigma)) for _ in range(count)]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.floats(-6, 12), st.floats(0.01, 3), st.floats(0.01, 0.99), st.floats(1e-3, 1e6))
def test_a_curve_is_monotone_and_its_share_undoes_its_quantile(middle, sigma, q, ran):
    curve = Curve(spread(middle, sigma))
    if curve.at(q) > 0.02:
        assert curve.share(curve.at(q)) == pytest.approx(q, abs=0.02)
    assert curve.at(q) <= curve.at(min(0.999, q + 0.01))
    left = curve.left(ran, q)
    assert left > 0 and isfinite(left)
    # What has lasted longer ends later, however little is left of it.
    assert ran + left <= (1.1 * ran + curve.left(1.1 * ran, q)) * 1.0001


REPLAYED = {
    # class: at least so many within 20%; bounds of what the stated 80% held
    "steady": (0.90, 0.72, 0.88),
    "told-by-owner": (0.90, 0.72, 0.88),
    "doubling": (0.90, 0.72, 0.88),
    "drift": (0.90, 0.70, 0.88),
    "hanging": (0.90, 0.72, 0.88),
    "wrong-by-half": (0.90, 0.72, 1.0),
    "two-teams": (0.90, 0.72, 0.88),
    "bimodal": (0.50, 0.72, 0.88),
    "heavy-tail": (0.15, 0.72, 0.88),
    "arrays": (0.85, 0.70, 0.95),
}


def test_a_replay_of_every_case_predicts_and_states_what_holds():
    replay = Replay(made(5))
    scores = {score.job_class: score for score in replay.scores()}
    for name, (near, low, high) in REPLAYED.items():
        score = scores[name]
        assert score.judged >= 200 and score.within_20 >= near, name
        assert low <= score.covered_80 <= high and score.covered_95 >= 0.86, name
        assert score.within_20 >= max(score.owner.within_20, score.corrected_mean.within_20) - 0.02, name
    # A class without history: judged by its first runs; the owners' error is known from others.
    assert scores["unknown"].judged == 0 and scores["unknown"].within_20 is None
    assert scores["unknown"].first_ten_95 >= 0.8


@pytest.mark.parametrize("factor", [2.0, 0.5, 3.0])
def test_a_sudden_change_is_noticed_within_ten_ends_and_is_over_within_ten(factor):
    track = Track()
    for value in noisy(1, 40, 200):
        track.add(value)
    for value in noisy(2, 40 * factor, 10):
        track.add(value)
    assert exp(track.logs()[3]) == pytest.approx(40 * factor, rel=0.2) and track.changes == 1
    for value in noisy(3, 40, 10):
        track.add(value)
    assert exp(track.logs()[3]) == pytest.approx(40, rel=0.2)
    # The old picture came back whole: its tails were not made of ten ends.
    assert not track.changed and track.slow.weight > 50


def test_a_change_that_stays_becomes_the_picture():
    track = Track()
    for value in [*noisy(1, 40, 200), *noisy(2, 90, 60)]:
        track.add(value)
    assert not track.changed and exp(track.logs()[3]) == pytest.approx(90, rel=0.1)


@pytest.mark.parametrize("guess", [0.0, 1e-6, 30.0, 1e9])
@pytest.mark.parametrize("name", ["x", "é" * 200, "\x00\n ~/%", "../../a"])
def test_a_kind_never_seen_gets_a_sane_wide_interval(name, guess):
    curve = Learned(Clock()).curve(kind(name, guess))
    low, high = curve.at(0.1), curve.at(0.9)
    assert 0 < low < high < float("inf") and (high / low > 3 or guess < 1e-3)
    key = m.key_of(m.class_name(name))
    assert key.isascii() and len(key) <= 120 and " " not in key and "%" not in key


def test_names_that_look_alike_once_escaped_have_keys_of_their_own():
    names = ["a b", "a_b", "a\nb", "a" * 61, "a" * 62, "A b", "a/b"]
    assert len({m.key_of(m.class_name(name)) for name in names}) == len(names)


def test_with_little_history_a_class_leans_on_its_team_and_on_how_owners_err():
    learned = taught(noisy(1, 60, 100), name="known", guess=30.0)
    # All owners of the team guess half of the time: a class without any end is told so too.
    assert learned.curve(kind("new", 100.0)).at(0.5) == pytest.approx(200, rel=0.15)
    assert learned.curve(kind("new", 100.0, team="other")).at(0.5) == pytest.approx(200, rel=0.3)


CUTS = [
    # name, cut runs after 100 ends of about 40 s, expected middle over the one before
    ("stopped early, a hundred times", [5.0] * 100, (0.99, 1.01)),
    ("failed at once", [0.2] * 100, (0.99, 1.01)),
    ("one was stopped late", [50.0], (0.99, 1.05)),
    ("all of them outlast what was known", [90.0] * 12, (1.5, 4.0)),
    ("absurd", [float("inf"), float("nan"), -3.0, 0.0], (0.99, 1.01)),
]


@pytest.mark.parametrize(("cuts", "bounds"), [c[1:] for c in CUTS], ids=[c[0] for c in CUTS])
def test_what_was_cut_short_is_no_short_run(cuts, bounds):
    learned = taught(noisy(1, 40, 100))
    before = learned.curve(kind()).at(0.5)
    for ran in cuts:
        learned.learn_cut(kind(), ran)
        learned._clock.advance(2.0)
    assert bounds[0] <= learned.curve(kind()).at(0.5) / before <= bounds[1]


def test_runs_that_are_overdue_count_before_they_end_and_only_while_they_run():
    learned = taught(noisy(1, 40, 100), name="train")
    jobs = [msgspec.structs.replace(SPEC, id=f"wk-{i:06d}") for i in range(8)]
    before = learned.run(SPEC)
    learned.watch([(spec, [20.0, 30.0]) for spec in jobs])
    learned._clock.advance(5.0)
    assert learned.run(SPEC) == before, "nothing is overdue yet"
    learned.watch([(spec, [80.0]) for spec in jobs])
    learned._clock.advance(5.0)
    assert learned.run(SPEC, 0.75) > 1.5 * before and learned.run(SPEC) > before
    learned.watch([])
    learned._clock.advance(5.0)
    assert learned.run(SPEC) == before


def test_a_slow_machine_does_not_spoil_its_classes_but_a_change_on_all_is_learned():
    clock = Clock()
    learned = Learned(clock)
    chance = Random(7)
    for i in range(400):
        machine = chance.randrange(10)
        learned.learn(kind(), 40 * exp(chance.gauss(0, 0.08)) * (4 if machine == 0 else 1), f"i-{machine}")
        clock.advance(2.0)
        if i == 100:
            learned_by_then = learned._entry("c/train").ends
    assert learned.curve(kind()).at(0.9) < 60 and learned._entry("c/train").ends - learned_by_then < 280
    for _ in range(30):
        learned.learn(kind(), 80 * exp(chance.gauss(0, 0.08)), f"i-{chance.randrange(1, 10)}")
        clock.advance(2.0)
    assert learned.curve(kind()).at(0.5) == pytest.approx(80, rel=0.2)


def test_a_jobs_own_tasks_tell_of_the_rest_and_hundreds_of_them_are_no_change():
    learned = taught(noisy(1, 40, 100, 0.5))
    for seconds in noisy(2, 120, 200, 0.03):
        learned.learn(kind(job_name="wk-000009"), seconds)
        learned._clock.advance(2.0)
    assert learned.curve(kind(job_name="wk-000009")).at(0.5) == pytest.approx(120, rel=0.1)
    assert learned.curve(kind(job_name="wk-000010")).at(0.5) < 70


def test_the_rest_of_an_array_takes_longer_than_what_ended_first():
    learned = taught(noisy(1, 40, 100, 0.5))
    spec = msgspec.structs.replace(SPEC, id="wk-000009")
    for seconds in (30.0, 31.0, 32.0, 33.0):
        learned.done(spec, seconds, MachineId("i-1"), "")
    learned._clock.advance(5.0)
    before = learned.run(spec)
    learned.watch([(spec, [70.0] * 12)])
    learned._clock.advance(5.0)
    assert learned.run(spec) > 1.5 * before
    learned.watch([])
    learned.forget("wk-000009")
    assert learned.run(spec) == learned.run(SPEC)


def test_two_sketches_merged_say_what_one_would():
    values = noisy(4, 40, 60)
    whole, first, second = Decayed(64.0), Decayed(64.0), Decayed(64.0)
    for i, value in enumerate(values):
        whole.add(value)
        (first if i < 40 else second).add(value)
    second.merge(first)
    assert second.weight == pytest.approx(whole.weight, rel=0.02)
    assert second.logs() == pytest.approx(whole.logs(), abs=0.05)
    assert Decayed.of(64.0, whole.rounded()).logs() == pytest.approx(whole.logs(), abs=0.01)


def test_what_is_learned_survives_storing_bounded_in_size_and_number(monkeypatch):
    clock = Clock()
    learned = Learned(clock)
    chance = Random(3)
    for i in range(600):
        one = kind("wild", exp(chance.uniform(1, 5)), f"team {i % 40}", f"type {i % 7}")
        learned.learn(one, exp(chance.uniform(0, 6)), f"i-{i}")
        clock.advance(2.0)
    record = learned.record("c/wild", 16 * 1024)
    assert record is not None and len(record) <= 16 * 1024
    small = learned.record("c/wild", len(record) - 1)
    assert small is not None and len(small) < len(record), "parts go first"
    assert learned.record("c/wild", 200) is None
    other = Learned(clock)
    for entry in learned.entries():
        other.offer(m.key_of(entry.name), msgspec.Raw(learned.record(entry.name, 64 * 1024)))
    assert other.curve(kind("wild")).at(0.5) == pytest.approx(learned.curve(kind("wild")).at(0.5), rel=0.05)
    monkeypatch.setattr(ln, "MAX_CLASSES", 20)
    for i in range(50):
        learned.learn(kind(f"class {i}"), 10.0)
    assert len(learned.entries()) == 20 and m.key_of("c/class 0") in learned.dropped
    assert {e.name for e in learned.entries()} >= {"a", "t/b", "c/class 49"}


GOOD = json.loads(taught(noisy(1, 40, 30)).record("c/train", 16_000))
TRACK = GOOD["ratio"]
UNREADABLE = [
    ("not JSON", b"{"),
    ("not an object", b"[]"),
    ("of no version", b"{}"),
    ("another entry's", json.dumps({**GOOD, "name": "c/other"}).encode()),
    ("a weight below zero", json.dumps({**GOOD, "ratio": [[[1, -5.0]], *TRACK[1:]]}).encode()),
    ("a bin far off", json.dumps({**GOOD, "ratio": [[[10**9, 1.0]], *TRACK[1:]]}).encode()),
    ("too many bins", json.dumps({**GOOD, "time": [[[1, 1.0]] * 300, *TRACK[1:]]}).encode()),
    ("a field missing", json.dumps({k: v for k, v in GOOD.items() if k != "time"}).encode()),
    ("of version 0", json.dumps({**GOOD, "v": 0}).encode()),
    ("bytes that are no text", b'{"v":1,"name":"\xff"}'),
]


@pytest.mark.parametrize("value", [u[1] for u in UNREADABLE], ids=[u[0] for u in UNREADABLE])
def test_a_record_that_cannot_be_read_is_set_aside_alone(value, caplog):
    caplog.set_level("INFO")
    learned = Learned(Clock())
    learned.offer("est/c/train", msgspec.Raw(value))
    learned.offer("est/t/b", msgspec.Raw(taught(noisy(1, 60, 30)).record("t/b", 16_000)))
    # Of the class the guess alone, corrected by its team.
    assert learned.curve(kind("train", 30.0)).at(0.5) == pytest.approx(60, rel=0.15)
    assert len([r for r in caplog.records if "set aside" in r.message]) == 1
    learned.learn(kind(), 30.0)
    assert learned.record("c/train", 16_000) is not None, "it is written anew"
    assert shown("est/c/train", msgspec.Raw(value)).unreadable or b"other" in value or b'"v": 0' in value


def test_a_record_of_a_newer_format_is_left_as_it_is():
    learned = Learned(Clock())
    learned.offer("est/c/train", msgspec.Raw(json.dumps({**GOOD, "v": 2, "more": 1}).encode()))
    learned.learn(kind(), 30.0)
    assert learned.record("c/train", 16_000) is None and learned.curve(kind()).at(0.5) > 0


def _mutated(data):
    raw = bytearray(json.dumps(GOOD).encode())
    for _ in range(data.draw(st.integers(1, 8))):
        at = data.draw(st.integers(0, len(raw) - 1))
        raw[at : at + data.draw(st.integers(0, 3))] = data.draw(st.binary(max_size=4))
    return bytes(raw)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_no_stored_bytes_harm_a_leader(data):
    learned = Learned(Clock())
    learned.offer("est/c/train", msgspec.Raw(_mutated(data)))
    curve = learned.curve(kind())
    assert isfinite(curve.at(0.5)) and curve.at(0.5) > 0
    learned.learn(kind(), 40.0)
    learned.bound()
    record = learned.record("c/train", 16 * 1024)
    assert record is None or m.decode_entry(record).name == "c/train"


BAD_LINES = [
    ('{"class": "a"', "truncated"),
    ('{"seconds": 3}', "class"),
    ('{"class": "a", "seconds": -3}', "seconds"),
    ('{"class": "a", "seconds": 0}', "seconds"),
    ('{"class": "a", "seconds": 1e300}', "seconds"),
    ('{"class": "a", "seconds": NaN}', "malformed"),
    ('{"class": "a", "seconds": "3"}', "seconds"),
    (json.dumps({"class": "é~\"'" * 50, "seconds": 3}), "class"),
    ('{"class": "a\\u0007b", "seconds": 3}', "printed"),
    ('{"class": "a", "seconds": 3, "outcome": "eaten"}', "outcome"),
    ("\x00\x01", "malformed"),
]


def test_bad_lines_of_a_history_are_told_one_by_one_and_lose_nothing_else(tmp_path, capsys):
    good = ['{"class": "a", "seconds": 3, "estimate": 2, "unknown": 1}', ""]
    lines = [line for bad, _ in BAD_LINES for line in (bad, *good)]
    file = tmp_path / "history"
    file.write_bytes("\n".join(lines).encode() + b'\n{"class": "\xff", "seconds": 3}\n')
    assert main(["estimates", "replay", "--history", str(file), "--json", "--after", "5"]) == 0
    out, err = capsys.readouterr()
    (score,) = json.loads(out)
    assert (score["class"], score["runs"], score["judged"]) == ("a", len(BAD_LINES), len(BAD_LINES) - 5)
    assert {"within_20", "covered_50", "covered_80", "covered_95"} <= set(score["owner"]) & set(score)
    told = err.splitlines()
    assert len(told) == len(BAD_LINES) + 1
    for i, (_, word) in enumerate(BAD_LINES):
        assert f"line {3 * i + 1}:" in told[i] and word in told[i]


@pytest.mark.parametrize(
    "arguments",
    [
        ["--history", "{}/none"],
        ["--history", "{}"],
        ["--seed", "x"],
        ["--after", "-1"],
        ["--bad"],
        ["--plot", "{}/x.abc"],
    ],
)
def test_what_replay_cannot_do_it_says_in_one_line(arguments, tmp_path, capsys):
    given_ = [argument.format(tmp_path) for argument in arguments]
    try:
        status = main(["estimates", "replay", *given_])
    except SystemExit as end:
        status = end.code
    assert status == 2 and len(capsys.readouterr().err.splitlines()) == 1


def test_the_same_history_gives_the_same_plot(tmp_path):
    from meadowcross.estimates.plot import draw

    runs = [Run("$a_1", seconds, 30.0) for seconds in noisy(1, 40, 80)]
    for name in ("a.svg", "b.svg"):
        draw(Replay(runs), str(tmp_path / name))
    first, second = ((tmp_path / name).read_bytes() for name in ("a.svg", "b.svg"))
    assert first == second and b"$a_1: " in first


LEFT = [
    # name, what is left, bounds of the middle in runs of 40 s
    ("nothing", Left(0, 0, [], 4, 0.0, 0.0), (0, 0)),
    ("one that runs", Left(0, 0, [20.0], 4, 0.0, 0.0), (0.3, 0.8)),
    ("overdue", Left(0, 0, [200.0], 4, 0.0, 0.0), (0.2, 3)),
    ("two rounds", Left(4, 0, [1.0] * 4, 4, 0.0, 0.0), (1.7, 2.6)),
    ("ten rounds", Left(36, 0, [1.0] * 4, 4, 0.0, 0.0), (9, 11.5)),
    ("a slot at last", Left(1, 0, [], 0, 400.0, 0.0), (11, 12.5)),
    ("a fetch first", Left(0, 1, [], 1, 0.0, 40.0), (1.9, 2.3)),
    ("thousands", Left(8000, 0, [10.0] * 2000, 2000, 0.0, 0.0), (4.5, 6.5)),
]


@pytest.mark.parametrize(("left", "bounds"), [x[1:] for x in LEFT], ids=[x[0] for x in LEFT])
def test_when_a_job_will_be_done(left, bounds):
    middle = middle_of(left, Curve(spread(log(40.0), 0.2)), 0.5) / 40
    assert bounds[0] <= middle <= bounds[1]


def test_stored_records_are_shown_as_text_whatever_their_names():
    learned = taught(noisy(1, 40, 30), name="\x1b[2J")
    rows = [shown(m.key_of(e.name), msgspec.Raw(learned.record(e.name, 16_000))) for e in learned.entries()]
    text = table([*rows, shown("est/c/x", msgspec.Raw(b"{"))])
    assert "\x1b" not in text and "can't be read" in text and "class" in text
    assert next(row for row in rows if row.kind == "class").run_s[1] == pytest.approx(40, rel=0.1)


def test_a_shape_is_the_same_within_a_factor_of_two():
    specs = [msgspec.structs.replace(SPEC, cpus=cpus) for cpus in (1.0, 1.5, 2.0, 4.0)]
    shapes = [kind_of(spec, MachineId("small")).shape for spec in specs]
    assert shapes[1] == shapes[2] and len(set(shapes)) == 3
