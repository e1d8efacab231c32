"""``chicorydoor demo``: run a fleet on loopback and check its promises.

By default all entries run in this process, with stand-ins of the store and of
the targets. With ``--platform`` they are processes of their own on stand-ins
of the platform that entries are deployed on.
"""

import argparse
import logging
import pathlib

import rich.console
import uvloop

from chicorydoor.cli import exit_codes
from chicorydoor.demo import loopback_demo
from chicorydoor.demo import platform_demo
from chicorydoor.demo import promise_checks

_DEFAULT_FOLDER = pathlib.Path("examples/mwangaza")


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("demo", help="a whole fleet on loopback")
    parser.add_argument("--folder", type=pathlib.Path, default=_DEFAULT_FOLDER)
    parser.add_argument(
        "--hold", action="store_true", help="keep the fleet up afterwards"
    )
    parser.add_argument(
        "--platform",
        action="store_true",
        help="entries as processes on stand-ins of the platform",
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    logging.basicConfig(level=logging.ERROR)
    if arguments.platform:
        return _print_verdicts(uvloop.run(platform_demo.run_demo()))
    console = rich.console.Console()
    demo_run = loopback_demo.DemoRun(arguments.folder, console)
    verdicts = uvloop.run(demo_run.run(arguments.hold))
    exit_code = _print_verdicts(verdicts)
    print(
        loopback_demo.encode_summary(verdicts, demo_run.request_log).decode()
    )
    return exit_code


def _print_verdicts(verdicts: list[promise_checks.Verdict]) -> int:
    """Print the verdicts and return the exit code."""
    for verdict in verdicts:
        result = "BROKEN" if verdict.broken else "kept"
        print(f"{result:<6} {verdict.promise}: {verdict.tried}")
    if any(verdict.broken for verdict in verdicts):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK
