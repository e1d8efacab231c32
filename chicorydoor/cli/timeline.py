"""``chicorydoor timeline``: print events of all entries in causal order."""

import argparse
import datetime
import pathlib
import time

import msgspec

from chicorydoor.cli import admin_client
from chicorydoor.cli import exit_codes
from chicorydoor.cli import output
from chicorydoor.state import event_ring

_FOLLOW_INTERVAL_S = 1.0
# 2048 ms as a difference of hybrid clock stamps, which hold milliseconds above
# 16 counter bits. Events of other entries may arrive late.
_FOLLOW_OVERLAP_STAMPS = 2 << 26


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add this sub-command to the command line."""
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
    admin_client.add_admin_options(parser)
    parser.set_defaults(run=_run)


def _matches_filters(
    event: event_ring.Event, arguments: argparse.Namespace
) -> bool:
    """Whether an event passes all filters given on the command line."""
    filters = (
        (arguments.kind, event.kind.value in (arguments.kind or ())),
        (arguments.instance, event.instance == arguments.instance),
        (arguments.customer, event.customer == arguments.customer),
        (arguments.request_id, event.request_id == arguments.request_id),
        (arguments.revision, event.revision == arguments.revision),
    )
    return all(matches for is_given, matches in filters if is_given)


def _fetch_events(
    client: admin_client.AdminClient, since: int
) -> list[event_ring.Event]:
    documents = client.get("/v1/events", since=since, everywhere=True)
    return msgspec.convert(documents, list[event_ring.Event])


def _run(arguments: argparse.Namespace) -> int:
    client = admin_client.AdminClient(arguments)
    events = _fetch_events(client, 0)
    selected_events = [
        event for event in events if _matches_filters(event, arguments)
    ]
    if arguments.plot is not None:
        from chicorydoor.cli import plot  # matplotlib is optional

        plot.draw_timeline(selected_events, arguments.plot)
        return exit_codes.ExitCode.OK
    _print_events(selected_events, arguments.json)
    while arguments.follow:
        time.sleep(_FOLLOW_INTERVAL_S)
        previous_events = set(events)
        latest = max((event.stamp for event in events), default=0)
        since = latest - _FOLLOW_OVERLAP_STAMPS
        events = [event for event in _fetch_events(client, since)]
        new_events = [
            event for event in events if event not in previous_events
        ]
        _print_events(
            [
                event
                for event in new_events
                if _matches_filters(event, arguments)
            ],
            arguments.json,
        )
    return exit_codes.ExitCode.OK


def _print_events(events: list[event_ring.Event], as_json: bool) -> None:
    for event in events:
        if as_json:
            print(msgspec.json.encode(event).decode())
        else:
            output.print_line(_format_event(event))


def _format_event(event: event_ring.Event) -> str:
    """Return an event as one line of text."""
    seconds = event_ring.stamp_seconds(event.stamp)
    time_of_day = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    fields = [
        event.request_id,
        event.customer,
        f"r{event.revision}" if event.revision else "",
        event.subject,
        event.detail,
    ]
    text = " ".join(field for field in fields if field)
    clock_text = time_of_day.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock_text} {event.instance:<16} {event.kind.value:<18} {text}"
