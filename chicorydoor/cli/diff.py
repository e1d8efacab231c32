"""``chicorydoor diff``: compare a folder with the active configuration."""

import argparse
import pathlib
import typing

import msgspec

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import config_folder

# An apply leaves these as they are if the folder has no such records.
_COLLECTIONS_KEPT_WHEN_ABSENT = (
    "key_by_id",
    "withdrawn_key_by_id",
    "earlier_limits_by_customer",
)


class Difference(msgspec.Struct, frozen=True):
    """A record that applying the folder would change."""

    collection: str
    record: str
    change: str


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("diff", help="what an apply would change")
    parser.add_argument("folder", type=pathlib.Path)
    admin_client.add_admin_options(parser)
    parser.set_defaults(run=_run)


def find_differences(
    folder_documents: dict[str, typing.Any], in_force: dict[str, typing.Any]
) -> list[Difference]:
    """Return the records in which a folder differs from the configuration."""
    differences: list[Difference] = []
    for collection, current_records in in_force.items():
        new_records = folder_documents.get(collection, {})
        if not new_records and collection in _COLLECTIONS_KEPT_WHEN_ABSENT:
            continue
        for record in sorted(current_records.keys() | new_records.keys()):
            if current_records.get(record) == new_records.get(record):
                continue
            change = "changed"
            if record not in current_records:
                change = "added"
            elif record not in new_records:
                change = "removed"
            differences.append(Difference(collection, record, change))
    return differences


def _run(arguments: argparse.Namespace) -> int:
    configuration = config_folder.read_folder(arguments.folder)
    folder_documents = msgspec.to_builtins(configuration)
    view = admin_client.AdminClient(arguments).get("/v1/configuration")
    differences = find_differences(folder_documents, view["documents"])
    if arguments.json:
        output.print_json(
            {"revision": view["revision"], "differences": differences}
        )
    else:
        output.print_table(
            f"against revision {view['revision']}",
            ["collection", "record", "change"],
            [
                (difference.collection, difference.record, difference.change)
                for difference in differences
            ],
        )
    return exit_codes.ExitCode.OK
