"""``chicorydoor status``: state of an entry, and revisions everywhere."""

import argparse

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("status", help="state of an entry")
    admin_client.add_options(parser)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    state = client.get("/v1/status")
    in_force = client.get("/v1/in-force")
    if arguments.json:
        output.print_json({"entry": state, "in_force": in_force})
        return exit_codes.ExitCode.OK
    slots = state.pop("slot_by_target")
    output.print_table(state["instance"], ["field", "value"], state.items())
    output.print_table(
        "slots",
        ["target", "held", "in use"],
        [(name, *pair) for name, pair in sorted(slots.items())],
    )
    output.print_table(
        "in force", ["instance", "revision"], sorted(in_force.items())
    )
    return exit_codes.ExitCode.OK
