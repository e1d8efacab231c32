"""``chicorydoor entry``: run an entry until SIGTERM."""

import argparse
import asyncio
import pathlib
import signal

import uvloop

from chicorydoor import compose
from chicorydoor.cli import exit_codes
from chicorydoor.protocol import settings
from chicorydoor.transport import logs


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


async def _serve(checked: settings.Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    entry = compose.Entry(checked)
    await entry.start()
    waiting = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [waiting, entry.task], return_when=asyncio.FIRST_COMPLETED
    )
    if entry.task.done():
        await entry.close()
        entry.task.result()
    await entry.leave()
