"""Plot of the measures of each policy relative to the naive baseline."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt

PLOTTED = ("trainer_idle_s", "staleness_mean", "callers_on_time", "wasted_tokens")


def plot(summaries: list, path: Path) -> None:
    """Write a PNG with one panel per measure; a line at 1 marks the baseline."""
    shown = [item for item in summaries if item.policy != "naive"]
    figure, panels = plt.subplots(
        1, len(PLOTTED), figsize=(4 * len(PLOTTED), 1 + 0.3 * len(shown)), sharey=True
    )
    names = [f"{item.user} {item.scenario} {item.policy}" for item in shown]
    for panel, measure in zip(panels, PLOTTED, strict=True):
        panel.barh(names, [item.ratios.get(measure, 0.0) for item in shown])
        panel.axvline(1.0, color="black", linewidth=1)
        panel.set_title(f"{measure} / naive")
    panels[0].invert_yaxis()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    plt.close(figure)
