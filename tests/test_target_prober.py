"""Rests between the probes of targets that are out of use."""

import pytest

from chicorydoor.coordination import target_prober
from chicorydoor.state import target_book
from tests.support import clocks
from tests.support import serving as make


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def prober(clock):
    return target_prober.TargetProber(None, None, None, None, clock)


class TestRelapses:
    def test_target_that_passes_probes_but_no_requests_rests_longer(
        self, prober, clock
    ):
        view = target_book.TargetView(make.record("t"), "n", 0.0)
        pauses = []
        for _ in range(6):
            pauses.append(prober._first_pause_s(view))
            clock.at += pauses[-1]
            view.brought_back_at = clock.at
            clock.at += 1.0
        assert pauses == sorted(pauses)
        assert pauses[-1] >= 8 * pauses[0]

    def test_target_that_was_well_for_long_is_probed_soon(self, prober, clock):
        view = target_book.TargetView(make.record("t"), "n", 0.0)
        first = prober._first_pause_s(view)
        view.brought_back_at = clock.at
        prober._first_pause_s(view)
        clock.at += 60.0
        assert prober._first_pause_s(view) == first
