"""``chicorydoor demo``: a whole fleet on loopback."""

import argparse
import logging
import pathlib

import rich.console
import uvloop

from chicorydoor.cli import exit_codes
from chicorydoor.demo import session as session_module

_EXAMPLE = pathlib.Path("examples/mwangaza")


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("demo", help="a whole fleet on loopback")
    parser.add_argument("--folder", type=pathlib.Path, default=_EXAMPLE)
    parser.add_argument(
        "--hold", action="store_true", help="keep the fleet up afterwards"
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    logging.basicConfig(level=logging.ERROR)
    console = rich.console.Console()
    session = session_module.Session(arguments.folder, console)
    verdicts = uvloop.run(session.run(arguments.hold))
    for verdict in verdicts:
        mark = "BROKEN" if verdict.broken else "kept"
        print(f"{mark:<6} {verdict.promise}: {verdict.tried}")
    print(session_module.summary(verdicts, session.journal).decode())
    if any(verdict.broken for verdict in verdicts):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK
