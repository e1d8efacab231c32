"""``chicorydoor apply``: commit a configuration folder.

The command then waits until the revision is in force, which means that it is
the active configuration of every entry.
"""

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

_POLL_INTERVAL_S = 0.2
# Omitted from the request when the folder has no such records, so that keys
# issued through the API stay in force.
_KEY_COLLECTIONS = ("key_by_id", "withdrawn_key_by_id")
_EXIT_CODE_BY_OUTCOME = {
    "committed": exit_codes.ExitCode.OK,
    "not-committed": exit_codes.ExitCode.NOT_COMMITTED,
    "unknown": exit_codes.ExitCode.OUTCOME_UNKNOWN,
}


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
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
    admin_client.add_admin_options(parser)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    configuration = config_folder.read_folder(arguments.folder)
    documents = msgspec.to_builtins(configuration)
    for collection in _KEY_COLLECTIONS:
        if not documents[collection]:
            del documents[collection]
    client = admin_client.AdminClient(arguments)
    result = client.post(
        "/v1/configuration",
        {"base": arguments.base, "documents": documents},
    )
    return report_change(client, result, arguments)


def report_change(
    client: admin_client.AdminClient,
    result: dict[str, typing.Any],
    arguments: argparse.Namespace,
) -> int:
    """Wait until a committed change is in force and print its result.

    Args:
        client (AdminClient): Client of any entry.
        result (dict): Decoded ``ApplyResult`` of the change.
        arguments (Namespace): With ``json`` and optionally ``wait``, the
            longest time in seconds. Defaults to 15 without ``wait``.

    Returns:
        The exit code; ``NOT_EVERYWHERE`` if any entry still has an earlier
        revision after that time.
    """
    exit_code = _EXIT_CODE_BY_OUTCOME[result["ending"]]
    revision_by_instance: dict[str, int] = {}
    if exit_code is exit_codes.ExitCode.OK:
        revision_by_instance = _wait_until_active(
            client, result["revision"], arguments
        )
        if _instances_behind(revision_by_instance, result["revision"]):
            exit_code = exit_codes.ExitCode.NOT_EVERYWHERE
    if arguments.json:
        output.print_json({**result, "in_force": revision_by_instance})
    else:
        output.print_line(f"revision {result['revision']}: {result['ending']}")
        rows = sorted(revision_by_instance.items())
        output.print_table("in force", ["instance", "revision"], rows)
    return exit_code


def _instances_behind(
    revision_by_instance: dict[str, int], revision: int
) -> list[str]:
    """Return the ids of the entries whose active revision is earlier."""
    return [
        instance
        for instance, current in revision_by_instance.items()
        if current < revision
    ]


def _wait_until_active(
    client: admin_client.AdminClient,
    revision: int,
    arguments: argparse.Namespace,
) -> dict[str, int]:
    """Poll until all entries have the revision, at most ``wait`` seconds.

    Returns:
        The active revision by instance, as last read.
    """
    deadline = time.monotonic() + getattr(arguments, "wait", 15.0)
    revision_by_instance: dict[str, int] = {}
    while True:
        try:
            revision_by_instance = client.get("/v1/in-force")
        except errors.UnreachableError:
            revision_by_instance = {}
        instances_behind = _instances_behind(revision_by_instance, revision)
        if output.is_terminal() and not arguments.json:
            updated_count = len(revision_by_instance) - len(instances_behind)
            print(
                f"\rin force on {updated_count} of "
                f"{len(revision_by_instance)}",
                end="",
            )
        if (
            revision_by_instance and not instances_behind
        ) or time.monotonic() > deadline:
            break
        time.sleep(_POLL_INTERVAL_S)
    if output.is_terminal() and not arguments.json:
        print()
    return revision_by_instance
