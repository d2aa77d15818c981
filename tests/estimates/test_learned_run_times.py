"""Learned run times without a cluster: predictions, samples, records and the command `meadowcross estimates`."""

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
from meadowcross.estimates import messages as m
from meadowcross.estimates import run_time_model
from meadowcross.estimates.adaptive_distribution import AdaptiveDistribution
from meadowcross.estimates.completion_time import RemainingWork, median_completion_s
from meadowcross.estimates.curve import Curve, lognormal
from meadowcross.estimates.entry_summary import format_table, summarize_record
from meadowcross.estimates.history import Run, generate_history
from meadowcross.estimates.replay import Replay
from meadowcross.estimates.run_time_model import RunFeatures, RunTimeModel, features_of
from meadowcross.estimates.sketch import DecayingSketch
from meadowcross.jobs.messages import JobSpec
from tests.support.world import job

SPEC = msgspec.convert(job(), JobSpec)


def features(job_class="train", guess_s=30.0, team="b", machine_type="", job_id=""):
    return RunFeatures(job_class, team, "1,-99,2", machine_type, guess_s, job_id)


def learn_from(runs, clock=None, **values):
    clock = clock or Clock()
    learned = RunTimeModel(clock)
    for seconds in runs:
        learned.learn_completed(features(**values), seconds)
        clock.advance(2.0)
    return learned


def noisy(seed, median, count, sigma=0.08):
    random = Random(seed)
    return [median * exp(random.gauss(0, sigma)) for _ in range(count)]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.floats(-6, 12), st.floats(0.01, 3), st.floats(0.01, 0.99), st.floats(1e-3, 1e6))
def test_a_curve_is_monotone_and_share_below_inverts_quantile(log_median, sigma, q, elapsed_s):
    curve = Curve(lognormal(log_median, sigma))
    if curve.quantile(q) > 0.02:
        assert curve.share_below(curve.quantile(q)) == pytest.approx(q, abs=0.02)
    assert curve.quantile(q) <= curve.quantile(min(0.999, q + 0.01))
    remaining_s = curve.remaining(elapsed_s, q)
    assert remaining_s > 0 and isfinite(remaining_s)
    # A run that has lasted longer ends later, however short its remaining time is.
    assert elapsed_s + remaining_s <= (1.1 * elapsed_s + curve.remaining(1.1 * elapsed_s, q)) * 1.0001


REPLAY_BOUNDS = {
    # class: least share within 20%; lowest and highest coverage of the stated interval of 80%
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


def test_replayed_cases_meet_their_accuracy_and_coverage_bounds():
    replay = Replay(generate_history(5))
    scores = {score.job_class: score for score in replay.scores()}
    for name, (min_within_20, low, high) in REPLAY_BOUNDS.items():
        score = scores[name]
        assert score.judged >= 200 and score.within_20 >= min_within_20, name
        assert low <= score.covered_80 <= high and score.covered_95 >= 0.86, name
        assert score.within_20 >= max(score.owner.within_20, score.corrected_mean.within_20) - 0.02, name
    # A class without history is judged by its first runs; the owners' errors are known from other classes.
    assert scores["unknown"].judged == 0 and scores["unknown"].within_20 is None
    assert scores["unknown"].first_ten_95 >= 0.8


@pytest.mark.parametrize("factor", [2.0, 0.5, 3.0])
def test_a_sudden_change_is_detected_and_reverted_within_ten_samples(factor):
    distribution = AdaptiveDistribution()
    for value in noisy(1, 40, 200):
        distribution.add(value)
    for value in noisy(2, 40 * factor, 10):
        distribution.add(value)
    assert exp(distribution.log_quantiles()[3]) == pytest.approx(40 * factor, rel=0.2) and distribution.changes == 1
    for value in noisy(3, 40, 10):
        distribution.add(value)
    assert exp(distribution.log_quantiles()[3]) == pytest.approx(40, rel=0.2)
    # The slow sketch is used again with its full history, not with the last ten samples only.
    assert not distribution.is_changed and distribution.slow.weight > 50


def test_a_lasting_change_replaces_the_slow_sketch():
    distribution = AdaptiveDistribution()
    for value in [*noisy(1, 40, 200), *noisy(2, 90, 60)]:
        distribution.add(value)
    assert not distribution.is_changed and exp(distribution.log_quantiles()[3]) == pytest.approx(90, rel=0.1)


@pytest.mark.parametrize("guess_s", [0.0, 1e-6, 30.0, 1e9])
@pytest.mark.parametrize("name", ["x", "é" * 200, "\x00\n ~/%", "../../a"])
def test_features_without_history_get_a_plausible_wide_interval(name, guess_s):
    curve = RunTimeModel(Clock()).curve(features(name, guess_s))
    low, high = curve.quantile(0.1), curve.quantile(0.9)
    assert 0 < low < high < float("inf") and (high / low > 3 or guess_s < 1e-3)
    key = m.store_key(m.class_entry_name(name))
    assert key.isascii() and len(key) <= 120 and " " not in key and "%" not in key


def test_names_that_escape_alike_have_distinct_store_keys():
    names = ["a b", "a_b", "a\nb", "a" * 61, "a" * 62, "A b", "a/b"]
    assert len({m.store_key(m.class_entry_name(name)) for name in names}) == len(names)


def test_a_class_without_history_is_predicted_from_its_team_and_all_work():
    learned = learn_from(noisy(1, 60, 100), job_class="known", guess_s=30.0)
    # All guesses of the team are half of the actual time, so those of a class without samples are doubled too.
    assert learned.curve(features("new", 100.0)).quantile(0.5) == pytest.approx(200, rel=0.15)
    assert learned.curve(features("new", 100.0, team="other")).quantile(0.5) == pytest.approx(200, rel=0.3)


INTERRUPTED_RUNS = [
    # name, interrupted runs after 100 samples of about 40 s, bounds of the median over the median before
    ("stopped early, a hundred times", [5.0] * 100, (0.99, 1.01)),
    ("failed at once", [0.2] * 100, (0.99, 1.01)),
    ("one stopped late", [50.0], (0.99, 1.05)),
    ("all outlast earlier runs", [90.0] * 12, (1.5, 4.0)),
    ("invalid", [float("inf"), float("nan"), -3.0, 0.0], (0.99, 1.01)),
]


@pytest.mark.parametrize(("runs_s", "bounds"), [c[1:] for c in INTERRUPTED_RUNS], ids=[c[0] for c in INTERRUPTED_RUNS])
def test_an_interrupted_run_does_not_count_as_a_short_run(runs_s, bounds):
    learned = learn_from(noisy(1, 40, 100))
    before = learned.curve(features()).quantile(0.5)
    for elapsed_s in runs_s:
        learned.learn_interrupted(features(), elapsed_s)
        learned._clock.advance(2.0)
    assert bounds[0] <= learned.curve(features()).quantile(0.5) / before <= bounds[1]


def test_overdue_runs_raise_predictions_only_while_they_run():
    learned = learn_from(noisy(1, 40, 100), job_class="train")
    jobs = [msgspec.structs.replace(SPEC, id=f"wk-{i:06d}") for i in range(8)]
    before = learned.run_time(SPEC)
    learned.update_running([(spec, [20.0, 30.0]) for spec in jobs])
    learned._clock.advance(5.0)
    assert learned.run_time(SPEC) == before, "nothing is overdue yet"
    learned.update_running([(spec, [80.0]) for spec in jobs])
    learned._clock.advance(5.0)
    assert learned.run_time(SPEC, 0.75) > 1.5 * before and learned.run_time(SPEC) > before
    learned.update_running([])
    learned._clock.advance(5.0)
    assert learned.run_time(SPEC) == before


def test_a_slow_machine_is_ignored_but_a_change_on_all_machines_is_learned():
    clock = Clock()
    learned = RunTimeModel(clock)
    random = Random(7)
    for i in range(400):
        machine = random.randrange(10)
        learned.learn_completed(
            features(), 40 * exp(random.gauss(0, 0.08)) * (4 if machine == 0 else 1), f"i-{machine}"
        )
        clock.advance(2.0)
        if i == 100:
            samples_before = learned._find_entry("c/train").sample_count
    assert (
        learned.curve(features()).quantile(0.9) < 60
        and learned._find_entry("c/train").sample_count - samples_before < 280
    )
    for _ in range(30):
        learned.learn_completed(features(), 80 * exp(random.gauss(0, 0.08)), f"i-{random.randrange(1, 10)}")
        clock.advance(2.0)
    assert learned.curve(features()).quantile(0.5) == pytest.approx(80, rel=0.2)


def test_a_jobs_tasks_predict_its_other_tasks_without_changing_the_class():
    learned = learn_from(noisy(1, 40, 100, 0.5))
    for seconds in noisy(2, 120, 200, 0.03):
        learned.learn_completed(features(job_id="wk-000009"), seconds)
        learned._clock.advance(2.0)
    assert learned.curve(features(job_id="wk-000009")).quantile(0.5) == pytest.approx(120, rel=0.1)
    assert learned.curve(features(job_id="wk-000010")).quantile(0.5) < 70


def test_overdue_tasks_of_an_array_raise_its_prediction():
    learned = learn_from(noisy(1, 40, 100, 0.5))
    spec = msgspec.structs.replace(SPEC, id="wk-000009")
    for seconds in (30.0, 31.0, 32.0, 33.0):
        learned.on_completed(spec, seconds, MachineId("i-1"), "")
    learned._clock.advance(5.0)
    before = learned.run_time(spec)
    learned.update_running([(spec, [70.0] * 12)])
    learned._clock.advance(5.0)
    assert learned.run_time(spec) > 1.5 * before
    learned.update_running([])
    learned.drop_job("wk-000009")
    assert learned.run_time(spec) == learned.run_time(SPEC)


def test_merged_sketches_match_one_sketch_of_all_samples():
    values = noisy(4, 40, 60)
    combined, first, second = DecayingSketch(64.0), DecayingSketch(64.0), DecayingSketch(64.0)
    for i, value in enumerate(values):
        combined.add(value)
        (first if i < 40 else second).add(value)
    second.merge(first)
    assert second.weight == pytest.approx(combined.weight, rel=0.02)
    assert second.log_quantiles() == pytest.approx(combined.log_quantiles(), abs=0.05)
    assert DecayingSketch.from_bins(64.0, combined.rounded_bins()).log_quantiles() == pytest.approx(
        combined.log_quantiles(), abs=0.01
    )


def test_records_are_bounded_in_size_and_number_and_keep_predictions(monkeypatch):
    clock = Clock()
    learned = RunTimeModel(clock)
    random = Random(3)
    for i in range(600):
        run_features = features("wild", exp(random.uniform(1, 5)), f"team {i % 40}", f"type {i % 7}")
        learned.learn_completed(run_features, exp(random.uniform(0, 6)), f"i-{i}")
        clock.advance(2.0)
    record = learned.encode_entry("c/wild", 16 * 1024)
    assert record is not None and len(record) <= 16 * 1024
    smaller = learned.encode_entry("c/wild", len(record) - 1)
    assert smaller is not None and len(smaller) < len(record), "no subgroup was left out"
    assert learned.encode_entry("c/wild", 200) is None
    other = RunTimeModel(clock)
    for entry in learned.entries():
        other.add_stored(m.store_key(entry.name), msgspec.Raw(learned.encode_entry(entry.name, 64 * 1024)))
    assert other.curve(features("wild")).quantile(0.5) == pytest.approx(
        learned.curve(features("wild")).quantile(0.5), rel=0.05
    )
    monkeypatch.setattr(run_time_model, "MAX_ENTRIES", 20)
    for i in range(50):
        learned.learn_completed(features(f"class {i}"), 10.0)
    assert len(learned.entries()) == 20 and m.store_key("c/class 0") in learned.evicted_keys
    assert {e.name for e in learned.entries()} >= {"a", "t/b", "c/class 49"}


VALID_RECORD = json.loads(learn_from(noisy(1, 40, 30)).encode_entry("c/train", 16_000))
RATIO_RECORD = VALID_RECORD["ratio"]
UNREADABLE = [
    ("not JSON", b"{"),
    ("not an object", b"[]"),
    ("without a version", b"{}"),
    ("of another entry", json.dumps({**VALID_RECORD, "name": "c/other"}).encode()),
    ("negative weight", json.dumps({**VALID_RECORD, "ratio": [[[1, -5.0]], *RATIO_RECORD[1:]]}).encode()),
    ("bin out of range", json.dumps({**VALID_RECORD, "ratio": [[[10**9, 1.0]], *RATIO_RECORD[1:]]}).encode()),
    ("too many bins", json.dumps({**VALID_RECORD, "time": [[[1, 1.0]] * 300, *RATIO_RECORD[1:]]}).encode()),
    ("missing field", json.dumps({k: v for k, v in VALID_RECORD.items() if k != "time"}).encode()),
    ("version 0", json.dumps({**VALID_RECORD, "v": 0}).encode()),
    ("invalid UTF-8", b'{"v":1,"name":"\xff"}'),
]


@pytest.mark.parametrize("value", [u[1] for u in UNREADABLE], ids=[u[0] for u in UNREADABLE])
def test_an_unreadable_record_is_ignored_and_others_are_used(value, caplog):
    caplog.set_level("INFO")
    learned = RunTimeModel(Clock())
    learned.add_stored("est/c/train", msgspec.Raw(value))
    learned.add_stored("est/t/b", msgspec.Raw(learn_from(noisy(1, 60, 30)).encode_entry("t/b", 16_000)))
    # The class is predicted from the guess alone, corrected by its team.
    assert learned.curve(features("train", 30.0)).quantile(0.5) == pytest.approx(60, rel=0.15)
    assert len([r for r in caplog.records if "ignoring unreadable estimates record" in r.message]) == 1
    learned.learn_completed(features(), 30.0)
    assert learned.encode_entry("c/train", 16_000) is not None, "the record was not replaced"
    assert summarize_record("est/c/train", msgspec.Raw(value)).unreadable or b"other" in value or b'"v": 0' in value


def test_a_record_of_a_newer_format_is_not_overwritten():
    learned = RunTimeModel(Clock())
    learned.add_stored("est/c/train", msgspec.Raw(json.dumps({**VALID_RECORD, "v": 2, "more": 1}).encode()))
    learned.learn_completed(features(), 30.0)
    assert learned.encode_entry("c/train", 16_000) is None and learned.curve(features()).quantile(0.5) > 0


def _corrupted_record(data):
    raw = bytearray(json.dumps(VALID_RECORD).encode())
    for _ in range(data.draw(st.integers(1, 8))):
        start = data.draw(st.integers(0, len(raw) - 1))
        raw[start : start + data.draw(st.integers(0, 3))] = data.draw(st.binary(max_size=4))
    return bytes(raw)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_corrupted_records_do_not_break_predictions(data):
    learned = RunTimeModel(Clock())
    learned.add_stored("est/c/train", msgspec.Raw(_corrupted_record(data)))
    curve = learned.curve(features())
    assert isfinite(curve.quantile(0.5)) and curve.quantile(0.5) > 0
    learned.learn_completed(features(), 40.0)
    learned.drop_excess_stored()
    record = learned.encode_entry("c/train", 16 * 1024)
    assert record is None or m.decode_entry(record).name == "c/train"


INVALID_LINES = [
    # line, a word of the expected message
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


def test_invalid_history_lines_are_reported_and_all_others_are_used(tmp_path, capsys):
    valid_lines = ['{"class": "a", "seconds": 3, "estimate": 2, "unknown": 1}', ""]
    lines = [line for invalid_line, _ in INVALID_LINES for line in (invalid_line, *valid_lines)]
    file = tmp_path / "history"
    file.write_bytes("\n".join(lines).encode() + b'\n{"class": "\xff", "seconds": 3}\n')
    assert main(["estimates", "replay", "--history", str(file), "--json", "--after", "5"]) == 0
    out, err = capsys.readouterr()
    (score,) = json.loads(out)
    assert (score["class"], score["runs"], score["judged"]) == ("a", len(INVALID_LINES), len(INVALID_LINES) - 5)
    assert {"within_20", "covered_50", "covered_80", "covered_95"} <= set(score["owner"]) & set(score)
    errors = err.splitlines()
    assert len(errors) == len(INVALID_LINES) + 1
    for i, (_, word) in enumerate(INVALID_LINES):
        assert f"line {3 * i + 1}:" in errors[i] and word in errors[i]


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
def test_replay_reports_each_error_in_one_line(arguments, tmp_path, capsys):
    replay_arguments = [argument.format(tmp_path) for argument in arguments]
    try:
        status = main(["estimates", "replay", *replay_arguments])
    except SystemExit as exit_:
        status = exit_.code
    assert status == 2 and len(capsys.readouterr().err.splitlines()) == 1


def test_the_same_history_gives_the_same_plot(tmp_path):
    from meadowcross.estimates.plot import draw

    runs = [Run("$a_1", seconds, 30.0) for seconds in noisy(1, 40, 80)]
    for name in ("a.svg", "b.svg"):
        draw(Replay(runs), str(tmp_path / name))
    first, second = ((tmp_path / name).read_bytes() for name in ("a.svg", "b.svg"))
    assert first == second and b"$a_1: " in first


REMAINING_WORK = [
    # name, remaining work, bounds of the median completion time in runs of 40 s
    ("no tasks", RemainingWork(0, 0, [], 4, 0.0, 0.0), (0, 0)),
    ("one running task", RemainingWork(0, 0, [20.0], 4, 0.0, 0.0), (0.3, 0.8)),
    ("overdue", RemainingWork(0, 0, [200.0], 4, 0.0, 0.0), (0.2, 3)),
    ("two rounds", RemainingWork(4, 0, [1.0] * 4, 4, 0.0, 0.0), (1.7, 2.6)),
    ("ten rounds", RemainingWork(36, 0, [1.0] * 4, 4, 0.0, 0.0), (9, 11.5)),
    ("wait for a slot", RemainingWork(1, 0, [], 0, 400.0, 0.0), (11, 12.5)),
    ("image fetch first", RemainingWork(0, 1, [], 1, 0.0, 40.0), (1.9, 2.3)),
    ("thousands of tasks", RemainingWork(8000, 0, [10.0] * 2000, 2000, 0.0, 0.0), (4.5, 6.5)),
]


@pytest.mark.parametrize(("remaining", "bounds"), [c[1:] for c in REMAINING_WORK], ids=[c[0] for c in REMAINING_WORK])
def test_the_median_completion_time_follows_from_the_remaining_work(remaining, bounds):
    median_runs = median_completion_s(remaining, Curve(lognormal(log(40.0), 0.2)), 0.5) / 40
    assert bounds[0] <= median_runs <= bounds[1]


def test_summaries_escape_control_characters_in_names():
    learned = learn_from(noisy(1, 40, 30), job_class="\x1b[2J")
    summaries = [
        summarize_record(m.store_key(entry.name), msgspec.Raw(learned.encode_entry(entry.name, 16_000)))
        for entry in learned.entries()
    ]
    text = format_table([*summaries, summarize_record("est/c/x", msgspec.Raw(b"{"))])
    assert "\x1b" not in text and "can't be read" in text and "class" in text
    assert next(summary for summary in summaries if summary.kind == "class").run_s[1] == pytest.approx(40, rel=0.1)


def test_shapes_round_resources_up_to_powers_of_two():
    specs = [msgspec.structs.replace(SPEC, cpus=cpus) for cpus in (1.0, 1.5, 2.0, 4.0)]
    shapes = [features_of(spec, MachineId("small")).shape for spec in specs]
    assert shapes[1] == shapes[2] and len(set(shapes)) == 3
