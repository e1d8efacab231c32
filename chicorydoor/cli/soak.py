"""``chicorydoor soak``: run real processes under random external faults."""

import argparse
import asyncio
import collections
import logging
import pathlib
import signal
import sys
import tempfile

import msgspec
import rich.console

from chicorydoor.cli import exit_codes
from chicorydoor.soak import soak_run

_DEFAULT_ENTRY_COUNT = 4
_DEFAULT_DURATION_S = 10.0


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser(
        "soak", help="real programs under random faults from outside"
    )
    parser.add_argument("--seeds", type=int, default=1, metavar="N")
    parser.add_argument("--first", type=int, default=1, metavar="SEED")
    parser.add_argument("--seconds", type=float, default=_DEFAULT_DURATION_S)
    parser.add_argument("--entries", type=int, default=_DEFAULT_ENTRY_COUNT)
    parser.add_argument("--jobs", type=int, default=1, metavar="N")
    parser.add_argument("--folder", type=pathlib.Path, metavar="LOGS")
    parser.add_argument("--report", type=pathlib.Path, metavar="FILE.json")
    parser.add_argument("--plot", type=pathlib.Path, metavar="FILE.png")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    # Injected faults break connections of the stand-ins during a response.
    logging.disable(logging.ERROR)
    if arguments.folder is not None:
        arguments.folder.mkdir(parents=True, exist_ok=True)
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    if len(seeds) == 1:
        reports = [asyncio.run(_run_seed_in_process(seeds[0], arguments))]
    else:
        reports = asyncio.run(_run_seeds_in_subprocesses(seeds, arguments))
    _print_reports(reports)
    if arguments.report is not None:
        arguments.report.write_bytes(msgspec.json.encode(reports))
    if arguments.plot is not None:
        _plot_reports(reports, arguments.plot)
    if any(report.broken_by_promise for report in reports):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


async def _run_seed_in_process(
    seed: int, arguments: argparse.Namespace
) -> soak_run.SoakReport:
    current_task = asyncio.current_task()
    assert current_task is not None
    # Child processes must end with this one, also on SIGTERM.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, current_task.cancel
    )
    try:
        return await soak_run.run_seed(
            seed, arguments.seconds, arguments.entries, arguments.folder
        )
    except (TimeoutError, OSError) as error:
        reason = f"{type(error).__name__} {error}"
        return soak_run.unfinished_report(seed, arguments.entries, reason)


async def _run_seeds_in_subprocesses(
    seeds: range, arguments: argparse.Namespace
) -> list[soak_run.SoakReport]:
    """Run each seed in its own process, at most ``jobs`` at a time."""
    free_jobs = asyncio.Semaphore(arguments.jobs)

    async def run_seed(seed: int, folder: str) -> soak_run.SoakReport:
        path = pathlib.Path(folder) / f"{seed}.json"
        command = [
            *("soak", "--first", f"{seed}", "--report", f"{path}"),
            *("--seconds", f"{arguments.seconds}"),
            *("--entries", f"{arguments.entries}"),
        ]
        if arguments.folder is not None:
            command += ["--folder", f"{arguments.folder / str(seed)}"]
        async with free_jobs:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chicorydoor",
                *command,
                stdout=asyncio.subprocess.DEVNULL,
            )
            await process.wait()
        if not path.exists():
            return soak_run.unfinished_report(
                seed, arguments.entries, "no report"
            )
        return msgspec.json.decode(
            path.read_bytes(), type=list[soak_run.SoakReport]
        )[0]

    with tempfile.TemporaryDirectory() as folder:
        return await asyncio.gather(
            *(run_seed(seed, folder) for seed in seeds)
        )


def _print_reports(reports: list[soak_run.SoakReport]) -> None:
    console = rich.console.Console()
    for report in reports:
        examples_by_promise = report.broken_by_promise
        result = "BROKEN" if examples_by_promise else "kept"
        console.print(
            f"{result:<6} seed {report.seed}: {report.requests} requests, "
            f"{len(report.faults)} faults"
        )
        for promise, examples in examples_by_promise.items():
            console.print(f"       {promise}: {examples}")
    failed = sum(1 for report in reports if report.broken_by_promise)
    console.print(f"{len(reports)} seeds, {failed} with a promise broken")


def _plot_reports(
    reports: list[soak_run.SoakReport], path: pathlib.Path
) -> None:
    # matplotlib is an optional dependency that only this option needs.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    request_count_by_status: collections.Counter[int] = collections.Counter()
    for report in reports:
        request_count_by_status.update(report.count_by_status)
    faults = collections.Counter(
        name for report in reports for _, name in report.faults
    )
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    statuses = sorted(request_count_by_status)
    left.bar(
        [f"{status}" for status in statuses],
        [*map(request_count_by_status.get, statuses)],
    )
    left.set_yscale("log")
    left.set_xlabel("answer, 0 for none")
    left.set_ylabel("requests")
    right.barh(sorted(faults), [faults[name] for name in sorted(faults)])
    right.set_xlabel("faults")
    figure.tight_layout()
    figure.savefig(path)
