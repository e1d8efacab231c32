"""``chicorydoor demo``: a whole fleet on loopback."""

import argparse
import logging
import pathlib

import rich.console
import uvloop

from chicorydoor.cli import exit_codes
from chicorydoor.demo import platform_session
from chicorydoor.demo import promises
from chicorydoor.demo import session as session_module

_EXAMPLE = pathlib.Path("examples/mwangaza")


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("demo", help="a whole fleet on loopback")
    parser.add_argument("--folder", type=pathlib.Path, default=_EXAMPLE)
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
        return _report(uvloop.run(platform_session.run()))
    console = rich.console.Console()
    session = session_module.Session(arguments.folder, console)
    verdicts = uvloop.run(session.run(arguments.hold))
    exit_code = _report(verdicts)
    print(session_module.summary(verdicts, session.journal).decode())
    return exit_code


def _report(verdicts: list[promises.Verdict]) -> int:
    for verdict in verdicts:
        mark = "BROKEN" if verdict.broken else "kept"
        print(f"{mark:<6} {verdict.promise}: {verdict.tried}")
    if any(verdict.broken for verdict in verdicts):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK
