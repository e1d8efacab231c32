"""``chicorydoor experiment``: simulate target selection in scenarios.

Each scenario runs twice: entries know which target has cached which object
only from their own requests, or also from each other.
"""

import argparse
import pathlib
import typing

import rich.console
import rich.table

from chicorydoor.cli import exit_codes
from chicorydoor.model import model_fleet
from chicorydoor.model import scenario as scenario_module

# The window of the region shift: users state its limit for two seconds.
_SHIFT_WINDOW_S = 2.0


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser(
        "experiment", help="try the choice of targets on modelled loads"
    )
    parser.add_argument(
        "scenarios", nargs="*", metavar="SCENARIO", help="all if none is named"
    )
    parser.add_argument("--seeds", type=int, default=3, metavar="N")
    parser.add_argument("--plot", type=pathlib.Path, metavar="FILE.png")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    names = arguments.scenarios or scenario_module.SCENARIOS.names()
    rows = [
        _run_seeds(name, shares_cached_objects, arguments.seeds)
        for name in names
        for shares_cached_objects in (False, True)
    ]
    rich.console.Console().print(_result_table(rows))
    if arguments.plot is not None:
        _plot_results(rows, arguments.plot)
    return exit_codes.ExitCode.OK


class _ResultRow(typing.NamedTuple):
    """Results of a scenario: counts of all seeds, largest shift of any."""

    scenario_name: str
    shares_cached_objects: bool
    counts: model_fleet.RequestCounts
    max_shift: float


def _run_seeds(
    name: str, shares_cached_objects: bool, seed_count: int
) -> _ResultRow:
    summed_counts = model_fleet.RequestCounts()
    max_shift = 0.0
    scenario = scenario_module.SCENARIOS.get(name)()
    for seed in range(seed_count):
        fleet = model_fleet.ModelFleet(scenario, seed, shares_cached_objects)
        counts = fleet.run()
        summed_counts.in_time += counts.in_time
        summed_counts.late += counts.late
        summed_counts.refused += counts.refused
        summed_counts.from_other_region += counts.from_other_region
        max_shift = max(max_shift, fleet.region_mix.max_shift(_SHIFT_WINDOW_S))
    return _ResultRow(name, shares_cached_objects, summed_counts, max_shift)


def _sharing_label(shares_cached_objects: bool) -> str:
    return "shared" if shares_cached_objects else "own only"


def _result_table(rows: list[_ResultRow]) -> rich.table.Table:
    table = rich.table.Table(title="Share of requests")
    # "far" is the part of in time and late that a target in another region
    # served, "shift" the largest part of a region's requests that change the
    # region in which they run from one window to the next.
    for column in (
        "load",
        "knowledge",
        "in time",
        "late",
        "refused",
        "far",
        "shift",
    ):
        table.add_column(column)
    for name, shares_cached_objects, counts, max_shift in rows:
        values = (
            counts.in_time,
            counts.late,
            counts.refused,
            counts.from_other_region,
        )
        ratios = [
            f"{count / max(1, counts.request_count):.3f}" for count in values
        ]
        table.add_row(
            name,
            _sharing_label(shares_cached_objects),
            *ratios,
            f"{max_shift:.3f}",
        )
    return table


def _plot_results(rows: list[_ResultRow], path: pathlib.Path) -> None:
    # matplotlib is an optional dependency that only this option needs.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    labels = [
        f"{row.scenario_name}\n{_sharing_label(row.shares_cached_objects)}"
        for row in rows
    ]
    bottoms = [0.0] * len(rows)
    for result in ("in_time", "late", "refused"):
        heights = [
            getattr(row.counts, result) / max(1, row.counts.request_count)
            for row in rows
        ]
        axes.bar(
            labels, heights, bottom=bottoms, label=result.replace("_", " ")
        )
        bottoms = [
            bottom + height
            for bottom, height in zip(bottoms, heights, strict=True)
        ]
    axes.set_ylabel("share of requests")
    axes.legend()
    axes.tick_params(axis="x", labelsize=6)
    figure.tight_layout()
    figure.savefig(path)
