"""``chicorydoor apply``: commit a folder and see it come into force."""

import argparse
import pathlib
import time
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import config_folder

_POLL_S = 0.2
_KEYS = ("key_by_id", "withdrawn_key_by_id")
_EXIT_BY_ENDING = {
    "committed": exit_codes.ExitCode.OK,
    "not-committed": exit_codes.ExitCode.NOT_COMMITTED,
    "unknown": exit_codes.ExitCode.OUTCOME_UNKNOWN,
}


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("apply", help="commit a folder")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="REVISION",
        help="the revision that the folder was made from, see diff",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=15.0,
        metavar="SECONDS",
        help="how long to wait for all entries, default 15",
    )
    admin_client.add_options(parser)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    configuration = config_folder.read_folder(arguments.folder)
    documents = msgspec.to_builtins(configuration)
    for name in _KEYS:
        if not documents[name]:
            del documents[name]
    client = admin_client.AdminClient(arguments)
    result = client.post(
        "/v1/configuration",
        {"base": arguments.base, "documents": documents},
    )
    return finish(client, result, arguments)


def finish(
    client: admin_client.AdminClient,
    result: dict[str, typing.Any],
    arguments: argparse.Namespace,
) -> int:
    """Print how a change ended and wait until it is in force.

    Args:
        client (AdminClient): Asks an entry.
        result (dict): An ``ApplyResult``.
        arguments (Namespace): With ``json`` and, if given, ``wait``.

    Returns:
        The exit code.
    """
    code = _EXIT_BY_ENDING[result["ending"]]
    in_force: dict[str, int] = {}
    if code is exit_codes.ExitCode.OK:
        in_force = _wait(client, result["revision"], arguments)
        if _behind(in_force, result["revision"]):
            code = exit_codes.ExitCode.NOT_EVERYWHERE
    if arguments.json:
        output.print_json({**result, "in_force": in_force})
    else:
        output.print_line(f"revision {result['revision']}: {result['ending']}")
        rows = sorted(in_force.items())
        output.print_table("in force", ["instance", "revision"], rows)
    return code


def _behind(in_force: dict[str, int], revision: int) -> list[str]:
    return [name for name, seen in in_force.items() if seen < revision]


def _wait(
    client: admin_client.AdminClient,
    revision: int,
    arguments: argparse.Namespace,
) -> dict[str, int]:
    end = time.monotonic() + getattr(arguments, "wait", 15.0)
    in_force: dict[str, int] = {}
    while True:
        try:
            in_force = client.get("/v1/in-force")
        except errors.UnreachableError:
            in_force = {}
        behind = _behind(in_force, revision)
        if output.is_terminal() and not arguments.json:
            done = len(in_force) - len(behind)
            print(f"\rin force on {done} of {len(in_force)}", end="")
        if (in_force and not behind) or time.monotonic() > end:
            break
        time.sleep(_POLL_S)
    if output.is_terminal() and not arguments.json:
        print()
    return in_force
