"""Parses the command line and runs the chosen sub-command."""

import argparse
from collections import abc
import sys

from chicorydoor import errors
from chicorydoor.cli import apply
from chicorydoor.cli import check
from chicorydoor.cli import demo
from chicorydoor.cli import diff
from chicorydoor.cli import drain
from chicorydoor.cli import entry
from chicorydoor.cli import exit_codes
from chicorydoor.cli import experiment
from chicorydoor.cli import explain
from chicorydoor.cli import keys
from chicorydoor.cli import lookup
from chicorydoor.cli import soak
from chicorydoor.cli import standin
from chicorydoor.cli import status
from chicorydoor.cli import timeline

_COMMAND_MODULES = (
    entry,
    check,
    diff,
    apply,
    status,
    keys,
    drain,
    lookup,
    explain,
    timeline,
    demo,
    experiment,
    soak,
    standin,
)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="chicorydoor", description="Global traffic steering."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for module in _COMMAND_MODULES:
        module.add_parser(commands)
    return parser


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Run a sub-command and report its error on stderr.

    Args:
        argv (Sequence): Arguments; those of the process if None. Defaults
            to None.

    Returns:
        The exit code.
    """
    arguments = _build_parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except errors.ChicorydoorError as error:
        print(f"chicorydoor: {error}", file=sys.stderr)
        return exit_codes.exit_code_for(error)
    except KeyboardInterrupt:
        return exit_codes.ExitCode.FAILED
