"""Probes of unreachable targets: back-off and rate limits."""

import asyncio
import contextlib
import types

import pytest

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import target_prober
from chicorydoor.protocol import header_names
from chicorydoor.protocol import serving_config
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views
from tests.support import clocks
from tests.support import config_builders as make


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def prober(clock):
    return target_prober.TargetProber(
        None, None, None, None, None, None, None, clock, None
    )


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


class TestManyEjections:
    # Guards against an entry that stands still for seconds when it loses more
    # than a thousand targets at once.
    def test_other_targets_are_checked_once(self, clock, monkeypatch):
        judged = []
        should_get_requests = target_views.TargetViews.should_get_requests

        def count_judged(views, view):
            judged.append(view)
            return should_get_requests(views, view)

        monkeypatch.setattr(
            target_views.TargetViews, "should_get_requests", count_judged
        )
        views = target_views.TargetViews(make.REGION_BY_DOMAIN)
        count = 300
        for number in range(count):
            views.add_or_update(
                make.build_target_registration(
                    f"t{number}", ("na", "nb")[number % 2]
                ),
                0.0,
            )
        checked = []

        async def eject_all():
            prober = target_prober.TargetProber(
                views, None, None, None, None, None, None, clock, None
            )

            async def check(views):
                checked.append(views)
                await asyncio.Event().wait()

            async def probe(view):
                await asyncio.Event().wait()

            monkeypatch.setattr(prober, "_check_sample_then_rest", check)
            monkeypatch.setattr(prober, "_probe_until_reachable", probe)
            for view in list(views.target_by_id.values()):
                prober.eject(view, "refused")
            await asyncio.sleep(0)

        asyncio.run(eject_all())
        assert [len(each) for each in checked] == [count - 2]
        # At the registration and at the ejection.
        assert len(judged) <= 2 * count


class TestRateLimits:
    # Guards against the probes of all entries exceeding a target's limit.
    def test_probe_waits_for_this_entry_s_part_of_the_limit(self, clock):
        view = target_views.TargetView(
            make.build_target_registration("t"), "n", 0.0
        )
        limits = target_rate_limits.TargetRateLimits(
            "e", lambda: ["e"], lambda region: ["e"]
        )
        limits.record_response(view.incarnation_key, b"0.5", 0.0, 0.0)
        active_config = active_serving_config.ActiveServingConfig()
        active_config.activate_if_newer(
            serving_config.ServingConfig(
                version=1, services=(make.build_service_config(),)
            )
        )

        def count_probe(view):
            probed_at.append(clock.now_s)
            raise asyncio.CancelledError

        probed_at = []
        prober = target_prober.TargetProber(
            None,
            types.SimpleNamespace(
                permits=send_permits.SendPermits(
                    target_rests.TargetRests(), limits, None, None
                ),
                connection_pool=count_probe,
            ),
            active_config,
            header_names.HeaderNames(),
            None,
            None,
            None,
            clock,
            None,
        )
        for second in range(1, 9):
            clock.now_s = float(second)
            with contextlib.suppress(asyncio.CancelledError):
                asyncio.run(prober._probe(view))
        assert probed_at == [1.0, 3.0, 5.0, 7.0]
