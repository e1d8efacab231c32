"""Compares the events of whole sessions with golden files.

Guards against unintended changes of the order or the time of coordination
events. Events of single requests are left out.

``python -m tests.test_golden`` regenerates the files.
"""

import asyncio
import itertools
import pathlib
import random
import sys

import pytest

from chicorydoor.state import event_ring
from tests.support import simulated_fleet
from tests.support import virtual_time

_GOLDEN_FOLDER = pathlib.Path(__file__).parent / "golden"
_KINDS = event_ring.EventKind
_OMITTED_KINDS = frozenset(
    {
        _KINDS.RECEIVED,
        _KINDS.SENT,
        _KINDS.FINISHED,
        _KINDS.FORWARDED,
        _KINDS.LOOKED_UP,
    }
)


async def _coordinator_killed(fleet):
    await fleet.coordinator("d0").kill()
    await asyncio.sleep(6.0)


async def _store_outage(fleet):
    fleet.store.is_unavailable = True
    await asyncio.sleep(12.0)
    fleet.store.is_unavailable = False
    await asyncio.sleep(4.0)


async def _domain_partitioned(fleet):
    fleet.partition_domain("d2")
    await asyncio.sleep(12.0)
    fleet.remove_partitions()
    await asyncio.sleep(4.0)


async def _overload_then_recovery(fleet):
    entry = fleet.entries("d0")[0]
    rng = random.Random(1)
    await simulated_fleet.send_poisson_load(entry, 900.0, 8.0, rng, [])
    await simulated_fleet.send_poisson_load(entry, 100.0, 25.0, rng, [])


SESSIONS = {
    "coordinator-killed": _coordinator_killed,
    "store-outage": _store_outage,
    "domain-cut-off": _domain_partitioned,
    "overload-and-back": _overload_then_recovery,
}


def _run_session(scenario):
    async def run_on_fleet():
        config = simulated_fleet.build_configuration(
            domain_count=4, slots=3, rate=20000.0, burst=20000.0, shift_cap=0.2
        )
        fleet = simulated_fleet.Fleet(config, ["d0", "d0", "d1", "d2"], seed=7)
        await fleet.apply_and_wait_for_slots()
        entries = fleet.entries()
        await scenario(fleet)
        rings = [
            entry.parts.events.events_since(0, 10**6) for entry in entries
        ]
        return event_ring.merge_events(rings)

    return virtual_time.run(run_on_fleet())


def session_text(name):
    """Events of a session as text, one line each."""
    events = _run_session(SESSIONS[name])
    start_stamp = events[0].stamp
    lines = []
    for event in events:
        if event.kind in _OMITTED_KINDS:
            continue
        seconds = event_ring.stamp_seconds(event.stamp)
        seconds -= event_ring.stamp_seconds(start_stamp)
        revision = f"r{event.revision}" if event.revision else ""
        fields = [revision, event.subject, event.detail]
        details = " ".join(field for field in fields if field)
        line = f"{seconds:8.3f} {event.instance} {event.kind.value} {details}"
        lines.append(line.rstrip())
    return "\n".join(lines) + "\n"


class TestGoldenSessions:
    @pytest.mark.parametrize("name", sorted(SESSIONS))
    def test_events_match_golden_file(self, name):
        expected = (_GOLDEN_FOLDER / f"{name}.txt").read_text()
        assert session_text(name) == expected

    def test_forwarded_share_in_the_golden_file_does_not_oscillate(self):
        """The share rises, then falls; also guards a regenerated file."""
        lines = (
            (_GOLDEN_FOLDER / "overload-and-back.txt").read_text().splitlines()
        )
        changes = [line.split() for line in lines if "shift-changed" in line]
        is_rising = [float(s[-1]) > float(s[-3]) for s in changes]
        reversals = sum(a != b for a, b in itertools.pairwise(is_rising))
        assert is_rising[0]
        assert not is_rising[-1]
        assert reversals <= 3


def main():
    """Regenerate the golden files."""
    for name in SESSIONS:
        (_GOLDEN_FOLDER / f"{name}.txt").write_text(session_text(name))
    return 0


if __name__ == "__main__":
    sys.exit(main())
