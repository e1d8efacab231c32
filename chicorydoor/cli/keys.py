"""``chicorydoor keys``: issue, withdraw and list customers' API keys."""

import argparse

from chicorydoor.cli import admin_client
from chicorydoor.cli import apply
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("keys", help="issue, withdraw, list keys")
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    issue = actions.add_parser("issue", help="make a key; it is shown once")
    issue.add_argument("key", metavar="KEY-ID")
    issue.add_argument("--customer", required=True)
    issue.set_defaults(run=_issue_key)
    withdraw = actions.add_parser("withdraw", help="withdraw a key for good")
    withdraw.add_argument("key", metavar="KEY-ID")
    withdraw.set_defaults(run=_withdraw_key)
    listing = actions.add_parser("list", help="keys in force")
    listing.set_defaults(run=_list_keys)
    for action in (issue, withdraw, listing):
        admin_client.add_admin_options(action)


def _issue_key(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    body = {"key": arguments.key, "customer": arguments.customer}
    issued = client.post("/v1/keys", body)
    if not arguments.json:
        output.print_line(f"key {issued['key']}: {issued['text']}")
        return apply.report_change(client, issued["result"], arguments)
    output.print_json(issued)
    return exit_codes.ExitCode.OK


def _withdraw_key(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    result = client.delete(f"/v1/keys/{arguments.key}")
    return apply.report_change(client, result, arguments)


def _list_keys(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    documents = client.get("/v1/configuration")["documents"]
    keys = documents["key_by_id"]
    withdrawn = documents["withdrawn_key_by_id"]
    if arguments.json:
        output.print_json({"in_force": keys, "withdrawn": withdrawn})
        return exit_codes.ExitCode.OK
    rows = [
        (key_id, record["customer"], "in force")
        for key_id, record in sorted(keys.items())
    ]
    rows += [
        (key_id, "", f"withdrawn {record['at']}")
        for key_id, record in withdrawn.items()
    ]
    output.print_table("keys", ["key", "customer", "state"], rows)
    return exit_codes.ExitCode.OK
