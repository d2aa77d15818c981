"""Plots a replayed history: actual run times of each class over the predictions made before them."""

from __future__ import annotations

from math import ceil

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from meadowcross.estimates.replay import Replay

COLUMNS = 3
MAX_CLASSES = 30
ACTUAL_COLOR, PREDICTED_COLOR, INTERVAL_COLOR = "#1f2937", "#b45309", "#f59e0b"


def draw(replay: Replay, path: str) -> None:
    """Write the plot to a file whose extension selects the format.

    Raises OSError if the file can't be written, and ValueError for an unknown format."""
    scores = replay.scores()[:MAX_CLASSES]
    rows = ceil(len(scores) / COLUMNS)
    # A fixed hash salt and no date: the same history gives the same file.
    with pyplot.rc_context({"svg.hashsalt": "meadowcross", "font.size": 8, "svg.fonttype": "none"}):
        figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(4.2 * COLUMNS, 2.4 * rows), squeeze=False)
        for axis in axes.flat[len(scores) :]:
            axis.set_axis_off()
        for axis, score in zip(axes.flat, scores, strict=False):
            points = replay.points(score.job_class)
            run_numbers = range(1, len(points) + 1)
            for interval, alpha in ((2, 0.15), (1, 0.30)):
                low = [prediction.intervals[interval][0] for prediction, _ in points]
                high = [prediction.intervals[interval][1] for prediction, _ in points]
                axis.fill_between(run_numbers, low, high, color=INTERVAL_COLOR, alpha=alpha, linewidth=0)
            axis.plot(
                run_numbers, [prediction.median_s for prediction, _ in points], color=PREDICTED_COLOR, linewidth=1
            )
            axis.plot(run_numbers, [actual_s for _, actual_s in points], ".", color=ACTUAL_COLOR, markersize=2)
            axis.axvline(replay.after, color=ACTUAL_COLOR, linewidth=0.5, linestyle=":")
            axis.set_yscale("log")
            accuracy = "not judged" if score.within_20 is None else f"{100 * score.within_20:.0f}% within 20%"
            # A class name may contain "$", which must not be parsed as mathematical markup.
            axis.set_title(f"{score.job_class[:40]}: {accuracy}", parse_math=False)
        figure.supxlabel("runs of the class; dots: actual, line: predicted, bands: 80 and 95%")
        figure.supylabel("seconds")
        figure.tight_layout()
        try:
            figure.savefig(path, dpi=90, metadata={"Date": None} if path.endswith(".svg") else None)
        finally:
            pyplot.close(figure)
