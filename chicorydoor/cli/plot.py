"""Draws a run's time line with matplotlib."""

import collections
import pathlib

import matplotlib
from matplotlib import pyplot

from chicorydoor.state import event_ring

_KINDS = event_ring.EventKind
_MARKED = {
    _KINDS.REVISION_IN_FORCE: "tab:green",
    _KINDS.DRAIN_STARTED: "tab:orange",
    _KINDS.OFFICE_TAKEN: "tab:purple",
    _KINDS.STORE_LOST: "tab:red",
}


def draw(events: list[event_ring.Event], path: pathlib.Path) -> None:
    """Draw traffic by instance, refusals, and marks for other events.

    Args:
        events (list): In causal order.
        path (Path): PNG file to write.
    """
    matplotlib.use("Agg")
    start = min((e.stamp for e in events), default=0)
    served: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    refused: collections.Counter[int] = collections.Counter()
    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6))
    for event in events:
        second = _seconds(event.stamp, start)
        if event.kind is _KINDS.FINISHED and event.detail == "0":
            served[event.instance.rpartition("-")[0]][int(second)] += 1
        elif event.kind is _KINDS.FINISHED:
            refused[int(second)] += 1
        elif event.kind in _MARKED:
            axes[0].axvline(second, color=_MARKED[event.kind], alpha=0.3)
    for domain, count_by_second in sorted(served.items()):
        seconds = range(min(count_by_second), max(count_by_second) + 1)
        counts = [count_by_second[second] for second in seconds]
        axes[0].plot(seconds, counts, label=domain)
    for kind, color in _MARKED.items():
        axes[0].plot([], [], color=color, alpha=0.3, label=kind.value)
    axes[0].set_ylabel("answers per second")
    axes[0].legend(loc="upper right", fontsize="small")
    points = sorted(refused.items()) or [(0, 0)]
    axes[1].bar(*zip(*points, strict=True), color="tab:red")
    axes[1].set_ylabel("refusals per second")
    axes[1].set_xlabel("seconds")
    figure.savefig(path)


def _seconds(stamp: int, start: int) -> float:
    return event_ring.stamp_seconds(stamp) - event_ring.stamp_seconds(start)
