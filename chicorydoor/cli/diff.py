"""``chicorydoor diff``: compare a folder with what is in force."""

import argparse
import pathlib
import typing

import msgspec

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import config_folder

_KEPT_WHEN_ABSENT = (
    "key_by_id",
    "withdrawn_key_by_id",
    "earlier_limits_by_customer",
)


class Difference(msgspec.Struct, frozen=True):
    """One record that an apply would change."""

    collection: str
    record: str
    change: str


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("diff", help="what an apply would change")
    parser.add_argument("folder", type=pathlib.Path)
    admin_client.add_options(parser)
    parser.set_defaults(run=_run)


def differences(
    documents: dict[str, typing.Any], in_force: dict[str, typing.Any]
) -> list[Difference]:
    """What leads from the configuration in force to a folder's."""
    found: list[Difference] = []
    for collection, before in in_force.items():
        after = documents.get(collection, {})
        if not after and collection in _KEPT_WHEN_ABSENT:
            continue
        for record in sorted(before.keys() | after.keys()):
            if before.get(record) == after.get(record):
                continue
            change = "changed"
            if record not in before:
                change = "added"
            elif record not in after:
                change = "removed"
            found.append(Difference(collection, record, change))
    return found


def _run(arguments: argparse.Namespace) -> int:
    configuration = config_folder.read_folder(arguments.folder)
    documents = msgspec.to_builtins(configuration)
    view = admin_client.AdminClient(arguments).get("/v1/configuration")
    found = differences(documents, view["documents"])
    if arguments.json:
        output.print_json({"revision": view["revision"], "differences": found})
    else:
        output.print_table(
            f"against revision {view['revision']}",
            ["collection", "record", "change"],
            [(d.collection, d.record, d.change) for d in found],
        )
    return exit_codes.ExitCode.OK
