"""``chicorydoor diff``: compare a folder with the active configuration."""

import argparse
import pathlib
import typing

import msgspec

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import config_folder

# Not reported as removed if the folder has no such records: keys issued
# through the API stay, and entries compute earlier limits themselves.
_COLLECTIONS_KEPT_WHEN_ABSENT = (
    "key_by_id",
    "withdrawn_key_by_id",
    "earlier_limits_by_customer",
)


class Difference(msgspec.Struct, frozen=True):
    """A record that applying the folder would change.

    Args:
        collection (str): Collection that the record belongs to.
        record (str): Id of the record.
        change (str): ``added``, ``changed`` or ``removed``.
    """

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
    folder_documents: dict[str, typing.Any],
    active_documents: dict[str, typing.Any],
) -> list[Difference]:
    """Return the records in which a folder differs from the active ones."""
    differences: list[Difference] = []
    for collection, current_records in active_documents.items():
        new_records = folder_documents.get(collection, {})
        if not new_records and collection in _COLLECTIONS_KEPT_WHEN_ABSENT:
            continue
        for record_id in sorted(current_records.keys() | new_records.keys()):
            if current_records.get(record_id) == new_records.get(record_id):
                continue
            change = "changed"
            if record_id not in current_records:
                change = "added"
            elif record_id not in new_records:
                change = "removed"
            differences.append(Difference(collection, record_id, change))
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
