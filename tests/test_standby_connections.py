"""Connections to other regions that are opened ahead of requests."""

import asyncio
import types

from chicorydoor import errors
from chicorydoor.coordination import standby_connections
from chicorydoor.state import target_views
from tests.support import clocks
from tests.support import config_builders as make

_ROUND_TRIP_S_BY_REGION = {"n": 0.001, "m": 0.11, "k": 0.11}


class _Pool:
    """Counts connections; opening fails if the target is unreachable."""

    def __init__(self):
        self.opened = 0
        self.is_reachable = True

    def has_idle(self, for_s, max_idle_s):
        return self.opened > 0

    async def open_idle(self, connect_timeout_s, idle_limit_s, max_idle):
        if not self.is_reachable:
            raise errors.TargetError("no connection", may_have_been_sent=False)
        self.opened += 1


class _Fixture:
    """An entry in region n that knows targets in n, m and k."""

    def __init__(self, expects_overload=True):
        self.clock = clocks.ManualClock()
        self.targets = target_views.TargetViews(
            make.REGION_BY_DOMAIN, expects_overload
        )
        self.pool_by_target = {}
        for domain in ("na", "ma", "ka"):
            for number in range(5):
                name = f"{domain}{number}"
                self.targets.add_or_update(
                    make.build_target_registration(name, domain), 0.0
                )
                self.pool_by_target[name] = _Pool()
        self.trusted_idle_s = float("inf")
        self.standby = standby_connections.StandbyConnections(
            self.targets,
            types.SimpleNamespace(
                idle_limit=types.SimpleNamespace(
                    limit_s=lambda now: self.trusted_idle_s
                ),
                idle_limit_s=lambda service_id: 8.0,
                permits=types.SimpleNamespace(
                    is_at_rest=lambda view, now: False
                ),
                connection_pool=lambda view: self.pool_by_target[
                    view.target_id
                ],
            ),
            _ROUND_TRIP_S_BY_REGION.__getitem__,
            self.clock,
        )

    def use(self, *target_ids):
        for target_id in target_ids:
            view = self.targets.target_by_id[target_id]
            view.last_sent_at = self.clock.now()

    def refresh(self):
        async def run():
            self.standby.refresh()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        asyncio.run(run())
        return {
            name for name, pool in self.pool_by_target.items() if pool.opened
        }


class TestStandbyConnections:
    # Guards against requests to another region that wait for a connection.
    def test_all_targets_of_a_region_in_use_get_one(self):
        fixture = _Fixture()
        fixture.use("ma0", "ma1", "ma2", "na0", "na1", "na2")
        assert fixture.refresh() == {f"ma{number}" for number in range(5)}
        fixture.refresh()
        assert {pool.opened for pool in fixture.pool_by_target.values()} == {
            0,
            1,
        }

    def test_few_requests_to_a_region_open_none(self):
        fixture = _Fixture()
        fixture.use("ma0", "ma1")
        assert fixture.refresh() == set()

    def test_they_end_with_the_use(self):
        fixture = _Fixture()
        fixture.use("ma0", "ma1", "ma2")
        fixture.clock.now_s += 5.0
        assert fixture.refresh() == set()

    # Guards against connections that are opened again and again because the
    # targets drop idle ones at once.
    def test_none_are_opened_where_idle_ones_are_dropped(self):
        fixture = _Fixture()
        fixture.use("ma0", "ma1", "ma2")
        fixture.trusted_idle_s = 0.2
        assert fixture.refresh() == set()

    def test_unreachable_target_is_tried_again(self):
        fixture = _Fixture()
        fixture.use("ma0", "ma1", "ma2")
        fixture.pool_by_target["ma4"].is_reachable = False
        assert "ma4" not in fixture.refresh()
        fixture.pool_by_target["ma4"].is_reachable = True
        assert "ma4" in fixture.refresh()

    def test_other_deployments_open_none(self):
        fixture = _Fixture(expects_overload=False)
        fixture.use("ma0", "ma1", "ma2")
        assert fixture.refresh() == set()
