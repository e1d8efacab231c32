"""``chicorydoor drain``: plan or cancel a drain.

A drain takes a target, an entry, a failure domain or a region out of service
at a planned time.
"""

import argparse
import datetime

from chicorydoor.cli import admin_client
from chicorydoor.cli import apply
from chicorydoor.protocol import config_records


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
    parser = commands.add_parser("drain", help="plan or cancel a drain")
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    plan = actions.add_parser("plan", help="plan a drain")
    plan.add_argument("drain", metavar="DRAIN-ID")
    kinds = [kind.value for kind in config_records.DrainKind]
    plan.add_argument("kind", choices=kinds)
    plan.add_argument("subject", help="id of the target, instance, ...")
    plan.add_argument(
        "--starts-at",
        type=_parse_time,
        default=None,
        metavar="TIME",
        help="ISO 8601 with time zone, or +SECONDS; default now",
    )
    plan.add_argument(
        "--ends-at", type=_parse_time, default=None, metavar="TIME"
    )
    plan.set_defaults(run=_plan_drain)
    cancel = actions.add_parser("cancel", help="cancel a drain")
    cancel.add_argument("drain", metavar="DRAIN-ID")
    cancel.set_defaults(run=_cancel_drain)
    for action in (plan, cancel):
        admin_client.add_admin_options(action)


def _parse_time(text: str) -> datetime.datetime:
    """Return the time that an option gives, absolute or relative to now."""
    now = datetime.datetime.now(datetime.UTC)
    if text.startswith("+"):
        return now + datetime.timedelta(seconds=float(text[1:]))
    parsed = datetime.datetime.fromisoformat(text)
    if parsed.tzinfo is None:
        raise argparse.ArgumentTypeError("the time zone is missing")
    return parsed


def _plan_drain(arguments: argparse.Namespace) -> int:
    starts_at = arguments.starts_at or _parse_time("+0")
    body = {
        "drain": arguments.drain,
        "kind": arguments.kind,
        "subject": arguments.subject,
        "starts_at": starts_at.isoformat(),
        "ends_at": arguments.ends_at.isoformat()
        if arguments.ends_at
        else None,
    }
    client = admin_client.AdminClient(arguments)
    result = client.post("/v1/drains", body)
    return apply.report_change(client, result, arguments)


def _cancel_drain(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    result = client.delete(f"/v1/drains/{arguments.drain}")
    return apply.report_change(client, result, arguments)
