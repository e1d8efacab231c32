"""``chicorydoor check``: validate a configuration folder."""

import argparse
import pathlib

from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.protocol import config_records
from chicorydoor.state import config_folder


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("check", help="validate a folder")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    configuration = config_folder.read_folder(arguments.folder)
    record_count_by_collection = {
        collection: len(getattr(configuration, collection))
        for collection in config_records.RECORD_TYPE_BY_COLLECTION
    }
    if arguments.json:
        output.print_json(record_count_by_collection)
    else:
        output.print_table(
            f"{arguments.folder} is valid",
            ["collection", "records"],
            record_count_by_collection.items(),
        )
    return exit_codes.ExitCode.OK
