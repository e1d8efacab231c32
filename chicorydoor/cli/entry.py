"""``chicorydoor entry``: run an entry until SIGTERM."""

import argparse
import asyncio
import gc
import pathlib
import signal

import uvloop

from chicorydoor import compose
from chicorydoor.cli import exit_codes
from chicorydoor.protocol import settings
from chicorydoor.transport import logs

_COLLECTION_THRESHOLDS = (20_000, 50, 100)


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("entry", help="run an entry")
    parser.add_argument(
        "--settings", type=pathlib.Path, required=True, metavar="FILE"
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    checked = settings.read_settings(arguments.settings)
    logs.configure(checked.log_level, checked.instance)
    uvloop.run(_serve(checked))
    return exit_codes.ExitCode.OK


def _calm_collector() -> None:
    """Collect garbage rarely and leave what start-up made out of it.

    Full collections stop the process for tens of milliseconds, which shows
    in the slowest requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)


async def _serve(checked: settings.Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    entry = compose.Entry(checked)
    await entry.start()
    _calm_collector()
    waiting = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [waiting, entry.task], return_when=asyncio.FIRST_COMPLETED
    )
    if entry.task.done():
        await entry.close()
        entry.task.result()
    await entry.leave()
