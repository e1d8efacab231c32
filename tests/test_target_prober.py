"""Back-off before the first probe of an unreachable target."""

import pytest

from chicorydoor.coordination import target_prober
from chicorydoor.state import target_views
from tests.support import clocks
from tests.support import config_builders as make


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def prober(clock):
    return target_prober.TargetProber(None, None, None, None, clock)


class TestRelapses:
    def test_backoff_grows_for_targets_that_answer_only_probes(
        self, prober, clock
    ):
        view = target_views.TargetView(
            make.build_target_registration("t"), "n", 0.0
        )
        backoffs = []
        for _ in range(6):
            backoffs.append(prober._first_backoff_s(view))
            clock.now_s += backoffs[-1]
            # A probe succeeds; the target is ejected again 1 s later.
            view.restored_at = clock.now_s
            clock.now_s += 1.0
        assert backoffs == sorted(backoffs)
        assert backoffs[-1] >= 8 * backoffs[0]

    def test_backoff_is_reset_after_long_use(self, prober, clock):
        view = target_views.TargetView(
            make.build_target_registration("t"), "n", 0.0
        )
        first = prober._first_backoff_s(view)
        view.restored_at = clock.now_s
        prober._first_backoff_s(view)
        clock.now_s += 60.0
        assert prober._first_backoff_s(view) == first
