"""A replay as a picture: actual run times of each class over what was said of them before."""

from __future__ import annotations

from math import ceil

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from meadowcross.estimates.replay import Replay

COLUMNS = 3
MAX_CLASSES = 30
INK, SAID, BAND = "#1f2937", "#b45309", "#f59e0b"


def draw(replay: Replay, path: str) -> None:
    """Write the plot to a file whose ending says its format. Raises OSError where it can't be
    written, ValueError for a format that there is not."""
    scores = replay.scores()[:MAX_CLASSES]
    rows = ceil(len(scores) / COLUMNS)
    # The same history gives the same file.
    with pyplot.rc_context({"svg.hashsalt": "meadowcross", "font.size": 8, "svg.fonttype": "none"}):
        figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(4.2 * COLUMNS, 2.4 * rows), squeeze=False)
        for axis in axes.flat[len(scores) :]:
            axis.set_axis_off()
        for axis, one in zip(axes.flat, scores, strict=False):
            points = replay.points(one.job_class)
            number = range(1, len(points) + 1)
            for interval, alpha in ((2, 0.15), (1, 0.30)):
                low = [said.intervals[interval][0] for said, _ in points]
                high = [said.intervals[interval][1] for said, _ in points]
                axis.fill_between(number, low, high, color=BAND, alpha=alpha, linewidth=0)
            axis.plot(number, [said.middle for said, _ in points], color=SAID, linewidth=1)
            axis.plot(number, [actual for _, actual in points], ".", color=INK, markersize=2)
            axis.axvline(replay.after, color=INK, linewidth=0.5, linestyle=":")
            axis.set_yscale("log")
            near = "not judged" if one.within_20 is None else f"{100 * one.within_20:.0f}% within 20%"
            # A class name is text, never markup.
            axis.set_title(f"{one.job_class[:40]}: {near}", parse_math=False)
        figure.supxlabel("runs of the class; dots: actual, line: predicted, bands: 80 and 95%")
        figure.supylabel("seconds")
        figure.tight_layout()
        try:
            figure.savefig(path, dpi=90, metadata={"Date": None} if path.endswith(".svg") else None)
        finally:
            pyplot.close(figure)
