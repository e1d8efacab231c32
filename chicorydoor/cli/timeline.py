"""``chicorydoor timeline``: events of all entries in causal order."""

import argparse
import datetime
import pathlib
import time

import msgspec

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import event_ring

_FOLLOW_S = 1.0
_FOLLOW_OVERLAP = 2 << 26


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("timeline", help="events of all entries")
    kinds = [kind.value for kind in event_ring.EventKind]
    parser.add_argument("--kind", action="append", choices=kinds)
    parser.add_argument("--instance")
    parser.add_argument("--customer")
    parser.add_argument("--request-id")
    parser.add_argument("--revision", type=int)
    parser.add_argument("--follow", action="store_true")
    parser.add_argument(
        "--plot",
        type=pathlib.Path,
        metavar="FILE.png",
        help="draw the run; needs the extra 'plot'",
    )
    admin_client.add_options(parser)
    parser.set_defaults(run=_run)


def is_wanted(event: event_ring.Event, arguments: argparse.Namespace) -> bool:
    """Whether an event passes the filters of the command."""
    checks = (
        (arguments.kind, event.kind.value in (arguments.kind or ())),
        (arguments.instance, event.instance == arguments.instance),
        (arguments.customer, event.customer == arguments.customer),
        (arguments.request_id, event.request_id == arguments.request_id),
        (arguments.revision, event.revision == arguments.revision),
    )
    return all(holds for wanted, holds in checks if wanted)


def _fetch(
    client: admin_client.AdminClient, since: int
) -> list[event_ring.Event]:
    raw = client.get("/v1/events", since=since, everywhere=True)
    return msgspec.convert(raw, list[event_ring.Event])


def _run(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    events = _fetch(client, 0)
    wanted = [event for event in events if is_wanted(event, arguments)]
    if arguments.plot is not None:
        from chicorydoor.cli import plot  # matplotlib is an extra

        plot.draw(wanted, arguments.plot)
        return exit_codes.ExitCode.OK
    _print(wanted, arguments.json)
    while arguments.follow:
        time.sleep(_FOLLOW_S)
        seen = set(events)
        latest = max((event.stamp for event in events), default=0)
        since = latest - _FOLLOW_OVERLAP
        events = [e for e in _fetch(client, since)]
        fresh = [e for e in events if e not in seen]
        _print([e for e in fresh if is_wanted(e, arguments)], arguments.json)
    return exit_codes.ExitCode.OK


def _print(events: list[event_ring.Event], as_json: bool) -> None:
    for event in events:
        if as_json:
            print(msgspec.json.encode(event).decode())
        else:
            output.print_line(line(event))


def line(event: event_ring.Event) -> str:
    """One event as text."""
    seconds = event_ring.stamp_seconds(event.stamp)
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    fields = [
        event.request_id,
        event.customer,
        f"r{event.revision}" if event.revision else "",
        event.subject,
        event.detail,
    ]
    text = " ".join(field for field in fields if field)
    clock = at.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock} {event.instance:<16} {event.kind.value:<18} {text}"
