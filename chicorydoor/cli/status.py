"""``chicorydoor status``: state of an entry and revisions in force."""

import argparse

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("status", help="state of an entry")
    admin_client.add_admin_options(parser)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    entry_status = client.get("/v1/status")
    revision_by_instance = client.get("/v1/in-force")
    if arguments.json:
        output.print_json(
            {"entry": entry_status, "in_force": revision_by_instance}
        )
        return exit_codes.ExitCode.OK
    # Local slots of the entry: granted and in use.
    slot_counts_by_target = entry_status.pop("slot_by_target")
    output.print_table(
        entry_status["instance"], ["field", "value"], entry_status.items()
    )
    output.print_table(
        "slots",
        ["target", "held", "in use"],
        [
            (target_id, *slot_counts)
            for target_id, slot_counts in sorted(slot_counts_by_target.items())
        ],
    )
    output.print_table(
        "in force",
        ["instance", "revision"],
        sorted(revision_by_instance.items()),
    )
    return exit_codes.ExitCode.OK
