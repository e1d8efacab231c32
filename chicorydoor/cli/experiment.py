"""``chicorydoor experiment``: decisions under modelled loads."""

import argparse
import pathlib

import rich.console
import rich.table

from chicorydoor.cli import exit_codes
from chicorydoor.model import model_fleet
from chicorydoor.model import scenario as scenario_module


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
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
        (name, shares, _play(name, shares, arguments.seeds))
        for name in names
        for shares in (False, True)
    ]
    rich.console.Console().print(_table(rows))
    if arguments.plot is not None:
        _plot(rows, arguments.plot)
    return exit_codes.ExitCode.OK


_Row = tuple[str, bool, model_fleet.Tally]


def _play(name: str, shares: bool, seeds: int) -> model_fleet.Tally:
    """Sum over some seeds."""
    total = model_fleet.Tally()
    scenario = scenario_module.SCENARIOS.get(name)()
    for seed in range(seeds):
        tally = model_fleet.ModelFleet(scenario, seed, shares).run()
        total.in_time += tally.in_time
        total.late += tally.late
        total.refused += tally.refused
        total.far += tally.far
    return total


def _label(shares: bool) -> str:
    return "shared" if shares else "own only"


def _table(rows: list[_Row]) -> rich.table.Table:
    table = rich.table.Table(title="Share of requests")
    for column in ("load", "knowledge", "in time", "late", "refused", "far"):
        table.add_column(column)
    for name, shares, tally in rows:
        counts = (tally.in_time, tally.late, tally.refused, tally.far)
        parts = [f"{count / max(1, tally.asked):.3f}" for count in counts]
        table.add_row(name, _label(shares), *parts)
    return table


def _plot(rows: list[_Row], path: pathlib.Path) -> None:
    # Only this option needs the plotting library.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    labels = [f"{name}\n{_label(shares)}" for name, shares, _ in rows]
    bottom = [0.0] * len(rows)
    for part in ("in_time", "late", "refused"):
        heights = [
            getattr(tally, part) / max(1, tally.asked) for _, _, tally in rows
        ]
        axes.bar(labels, heights, bottom=bottom, label=part.replace("_", " "))
        bottom = [
            low + high for low, high in zip(bottom, heights, strict=True)
        ]
    axes.set_ylabel("share of requests")
    axes.legend()
    axes.tick_params(axis="x", labelsize=6)
    figure.tight_layout()
    figure.savefig(path)
