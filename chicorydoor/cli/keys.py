"""``chicorydoor keys``: issue, withdraw and list keys."""

import argparse

from chicorydoor.cli import admin_client
from chicorydoor.cli import apply
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("keys", help="issue, withdraw, list keys")
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    issue = actions.add_parser("issue", help="make a key; it is shown once")
    issue.add_argument("key", metavar="KEY-ID")
    issue.add_argument("--customer", required=True)
    issue.set_defaults(run=_issue)
    withdraw = actions.add_parser("withdraw", help="withdraw a key for good")
    withdraw.add_argument("key", metavar="KEY-ID")
    withdraw.set_defaults(run=_withdraw)
    listing = actions.add_parser("list", help="keys in force")
    listing.set_defaults(run=_list)
    for action in (issue, withdraw, listing):
        admin_client.add_options(action)


def _issue(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    body = {"key": arguments.key, "customer": arguments.customer}
    issued = client.post("/v1/keys", body)
    if not arguments.json:
        output.print_line(f"key {issued['key']}: {issued['text']}")
        return apply.finish(client, issued["result"], arguments)
    output.print_json(issued)
    return exit_codes.ExitCode.OK


def _withdraw(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    result = client.delete(f"/v1/keys/{arguments.key}")
    return apply.finish(client, result, arguments)


def _list(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    documents = client.get("/v1/configuration")["documents"]
    keys = documents["key_by_id"]
    withdrawn = documents["withdrawn_key_by_id"]
    if arguments.json:
        output.print_json({"in_force": keys, "withdrawn": withdrawn})
        return exit_codes.ExitCode.OK
    rows = [(k, v["customer"], "in force") for k, v in sorted(keys.items())]
    rows += [(k, "", f"withdrawn {v['at']}") for k, v in withdrawn.items()]
    output.print_table("keys", ["key", "customer", "state"], rows)
    return exit_codes.ExitCode.OK
