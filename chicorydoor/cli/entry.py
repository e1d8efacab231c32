"""``chicorydoor entry``: run an entry, a proxy process, until SIGTERM."""

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

# For gc.set_threshold: allocations minus deallocations per collection of
# generation 0, generation 0 collections per collection of generation 1, and
# generation 1 collections per collection of generation 2.
_GC_THRESHOLDS = (20_000, 50, 100)


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("entry", help="run an entry")
    parser.add_argument(
        "--settings", type=pathlib.Path, required=True, metavar="FILE"
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    entry_settings = settings.read_settings(arguments.settings)
    logs.configure_logging(entry_settings.log_level, entry_settings.instance)
    uvloop.run(_serve(entry_settings))
    return exit_codes.ExitCode.OK


def _reduce_gc_pauses() -> None:
    """Collect rarely, and exempt the objects that exist after start-up.

    A full collection pauses the process for tens of milliseconds, which
    raises the tail latency of requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


async def _serve(entry_settings: settings.EntrySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    entry = compose.Entry(entry_settings)
    await entry.start()
    _reduce_gc_pauses()
    stop_waiter = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [stop_waiter, entry.parts_task], return_when=asyncio.FIRST_COMPLETED
    )
    if entry.parts_task.done():
        await entry.close()
        entry.parts_task.result()  # raises the error that ended the task
    await entry.drain_and_stop()
