"""``chicorydoor standin``: run a stand-in (test double) of store or target."""

import argparse
import asyncio
import signal

import uvloop

from chicorydoor.cli import exit_codes
from chicorydoor.standins import etcd_store
from chicorydoor.standins import http_target


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("standin", help="for tests and trials only")
    parser.add_argument("system", choices=["store", "target"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--work-s", type=float, default=0.005)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    uvloop.run(_serve(arguments))
    return exit_codes.ExitCode.OK


async def _serve(arguments: argparse.Namespace) -> None:
    standin: etcd_store.EtcdStandin | http_target.StandinTarget
    if arguments.system == "store":
        standin = etcd_store.EtcdStandin(port=arguments.port)
    else:
        standin = http_target.StandinTarget(
            arguments.slots, port=arguments.port
        )
        standin.behaviour.work_s = arguments.work_s
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    await standin.start()
    await stop_event.wait()
    await standin.stop()
