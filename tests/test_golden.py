"""Whole sessions: their time lines are compared with files.

``python -m tests.test_golden`` writes the files anew.
"""

import asyncio
import itertools
import pathlib
import random
import sys

import pytest

from chicorydoor.state import event_ring
from tests.support import fleet as fleet_module
from tests.support import virtual_time

_FOLDER = pathlib.Path(__file__).parent / "golden"
_KINDS = event_ring.EventKind
_LEFT_OUT = frozenset(
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
    fleet.store.is_down = True
    await asyncio.sleep(12.0)
    fleet.store.is_down = False
    await asyncio.sleep(4.0)


async def _domain_cut_off(fleet):
    fleet.cut_off("d2")
    await asyncio.sleep(12.0)
    fleet.heal()
    await asyncio.sleep(4.0)


async def _overload_and_back(fleet):
    node = fleet.nodes("d0")[0]
    rng = random.Random(1)
    await fleet_module.offer(node, 900.0, 8.0, rng, [])
    await fleet_module.offer(node, 100.0, 25.0, rng, [])


SESSIONS = {
    "coordinator-killed": _coordinator_killed,
    "store-outage": _store_outage,
    "domain-cut-off": _domain_cut_off,
    "overload-and-back": _overload_and_back,
}


def _play(course):
    async def wrapped():
        config = fleet_module.configuration(
            domains=4, slots=3, rate=20000.0, burst=20000.0, shift_cap=0.2
        )
        fleet = fleet_module.Fleet(config, ["d0", "d0", "d1", "d2"], seed=7)
        await fleet.ready()
        nodes = fleet.nodes()
        await course(fleet)
        rings = [node.parts.events.latest(0, 10**6) for node in nodes]
        return event_ring.merge(rings)

    return virtual_time.run(wrapped())


def session_text(name):
    """The time line of a session, one event a line."""
    events = _play(SESSIONS[name])
    start = events[0].stamp
    lines = []
    for event in events:
        if event.kind in _LEFT_OUT:
            continue
        seconds = event_ring.stamp_seconds(event.stamp)
        seconds -= event_ring.stamp_seconds(start)
        revision = f"r{event.revision}" if event.revision else ""
        words = [revision, event.subject, event.detail]
        text = " ".join(word for word in words if word)
        line = f"{seconds:8.3f} {event.instance} {event.kind.value} {text}"
        lines.append(line.rstrip())
    return "\n".join(lines) + "\n"


class TestGoldenSessions:
    @pytest.mark.parametrize("name", sorted(SESSIONS))
    def test_time_line(self, name):
        expected = (_FOLDER / f"{name}.txt").read_text()
        assert session_text(name) == expected

    def test_load_is_not_traded_back_and_forth(self):
        """The share rises, then falls; it does not turn again."""
        lines = (_FOLDER / "overload-and-back.txt").read_text().splitlines()
        steps = [line.split() for line in lines if "shift-changed" in line]
        rising = [float(s[-1]) > float(s[-3]) for s in steps]
        turns = sum(a != b for a, b in itertools.pairwise(rising))
        assert rising[0]
        assert not rising[-1]
        assert turns <= 3


def main():
    """Write the golden files anew."""
    for name in SESSIONS:
        (_FOLDER / f"{name}.txt").write_text(session_text(name))
    return 0


if __name__ == "__main__":
    sys.exit(main())
