"""Plots the events of a fleet over time with matplotlib."""

import collections
import pathlib

import matplotlib
from matplotlib import pyplot

from chicorydoor.state import event_ring

_EventKind = event_ring.EventKind
_COLOR_BY_MARKED_KIND = {
    _EventKind.REVISION_ACTIVATED: "tab:green",
    _EventKind.DRAIN_STARTED: "tab:orange",
    _EventKind.COORDINATOR_LEASE_ACQUIRED: "tab:purple",
    _EventKind.STORE_LOST: "tab:red",
}


def draw_timeline(events: list[event_ring.Event], path: pathlib.Path) -> None:
    """Plot served requests by failure domain, other results and events.

    The detail of a finished request is its result code, 0 if it was served.
    Instance ids are expected as the failure domain, a hyphen and a number.

    Args:
        events (list): In causal order.
        path (Path): PNG file to write.
    """
    matplotlib.use("Agg")
    first_stamp = min((event.stamp for event in events), default=0)
    served_by_domain: dict[str, collections.Counter[int]] = (
        collections.defaultdict(collections.Counter)
    )
    not_served_by_second: collections.Counter[int] = collections.Counter()
    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6))
    for event in events:
        second = _seconds_since(event.stamp, first_stamp)
        if event.kind is _EventKind.FINISHED and event.detail == "0":
            served_by_domain[event.instance.rpartition("-")[0]][
                int(second)
            ] += 1
        elif event.kind is _EventKind.FINISHED:
            not_served_by_second[int(second)] += 1
        elif event.kind in _COLOR_BY_MARKED_KIND:
            axes[0].axvline(
                second, color=_COLOR_BY_MARKED_KIND[event.kind], alpha=0.3
            )
    for domain, count_by_second in sorted(served_by_domain.items()):
        seconds = range(min(count_by_second), max(count_by_second) + 1)
        counts = [count_by_second[second] for second in seconds]
        axes[0].plot(seconds, counts, label=domain)
    for kind, color in _COLOR_BY_MARKED_KIND.items():
        axes[0].plot([], [], color=color, alpha=0.3, label=kind.value)
    axes[0].set_ylabel("answers per second")
    axes[0].legend(loc="upper right", fontsize="small")
    points = sorted(not_served_by_second.items()) or [(0, 0)]
    axes[1].bar(*zip(*points, strict=True), color="tab:red")
    axes[1].set_ylabel("refusals per second")
    axes[1].set_xlabel("seconds")
    figure.savefig(path)


def _seconds_since(stamp: int, first_stamp: int) -> float:
    """Return the seconds between two hybrid clock stamps."""
    return event_ring.stamp_seconds(stamp) - event_ring.stamp_seconds(
        first_stamp
    )
