"""Entries of builds that run side by side understand each other's messages.

``golden/peer-messages-7b70eb0.json`` holds messages as that build wrote them.
"""

import base64
import json
import pathlib

import msgspec
import pytest

from chicorydoor import errors
from chicorydoor.protocol import gossip_messages
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from tests.support import config_builders as make

_GOLDEN = pathlib.Path(__file__).parent / "golden"
_MESSAGES = json.loads(
    (_GOLDEN / "peer-messages-7b70eb0.json").read_text(encoding="utf-8")
)


# Fields of a report on a target in that build.
_OLD_REPORT_FIELDS = 6


def _old_message(name):
    return base64.b64decode(_MESSAGES[name])


class TestMessagesOfAnEarlierBuild:
    @pytest.mark.parametrize("name", sorted(_MESSAGES))
    def test_all_fields_are_read(self, name):
        data = _old_message(name)
        written = msgspec.msgpack.decode(data)
        message = gossip_messages.decode(data)
        read = msgspec.msgpack.decode(gossip_messages.encode(message))
        # Nothing of the old message is lost; new fields have defaults.
        reports = read.get("target_reports", [])
        for report in reports:
            assert report[_OLD_REPORT_FIELDS:] == [-1, 0, 0]
            del report[_OLD_REPORT_FIELDS:]
        assert written.keys() <= read.keys()
        assert {name: read[name] for name in written} == written

    def test_new_field_of_a_token_request_has_the_old_meaning(self):
        request = gossip_messages.decode(_old_message("token_request"))
        assert not request.is_repeated

    def test_later_message_is_an_error_of_that_message_only(self):
        data = msgspec.msgpack.encode({"type": "later", "number": 1})
        with pytest.raises(errors.PeerError):
            gossip_messages.decode(data)

    def test_later_field_is_ignored(self):
        fields = msgspec.msgpack.decode(_old_message("heartbeat"))
        data = msgspec.msgpack.encode(fields | {"later": [1, 2]})
        message = gossip_messages.decode(data)
        assert message.registration.instance == "e1"


class _OldShares:
    """Sums rates as the build 7b70eb0: a report that is missing counts with
    the fair share of its sender, whenever that sent a complete table.
    """

    def __init__(self, shares):
        self.shares = shares

    def rebalance(self, customer, tables, now, fair_shares):
        others = [
            rate_shares.AnnouncedRates(1, table, instance)
            for instance, table in tables.items()
        ]
        self.shares.rebalance([customer], others, now, fair_shares=fair_shares)

    def reports(self):
        """Include those that say nothing, as that build did."""
        return {
            customer_id: rate_shares.RateReport.from_values(
                bucket.share, bucket.demand_per_s
            )
            for customer_id, bucket in (
                self.shares._bucket_by_customer.items()
            )
        }


class _NewShares(_OldShares):
    def rebalance(self, customer, tables, now, fair_shares):
        others = [
            rate_shares.AnnouncedRates(1, table, instance, now - 0.4)
            for instance, table in tables.items()
        ]
        self.shares.rebalance([customer], others, now, fair_shares=fair_shares)

    def reports(self):
        return self.shares.full_reports()


class _TwoOwners:
    """The first two entries hold the rate."""

    def __init__(self, instance):
        self._instance = instance

    def own_share(self, customer):
        return 0.5 if self._instance in ("e0", "e1") else 0.0

    def peers_share(self, customer, others):
        return 0.5 if others.instance in ("e0", "e1") else 0.0

    def holders(self, customer):
        return ["e0", "e1"]


class TestMixedFleet:
    # Guards against rates that are exceeded, or lost, while the builds differ
    # in which reports they leave out.
    @pytest.mark.parametrize("new_count", range(7))
    def test_shares_of_both_builds_sum_to_the_rate(self, new_count):
        customer = make.build_customer_config(rate_per_s=6.0, burst=6.0)
        tolerance = rate_shares.RateTolerance(0.1, 20.0)
        names = [f"e{number}" for number in range(6)]
        entry_by_name = {
            name: (_NewShares if index < new_count else _OldShares)(
                rate_shares.RateShares(tolerance)
            )
            for index, name in enumerate(names)
        }
        table_by_name = dict.fromkeys(names)
        for step in range(60):
            now = 0.4 * step
            for name, entry in entry_by_name.items():
                others = {
                    other: table
                    for other, table in table_by_name.items()
                    if other != name
                }
                entry.rebalance(customer, others, now, _TwoOwners(name))
                entry.shares.acquire(customer, now)
                table_by_name[name] = entry.reports()
            total = sum(
                entry.shares.share(customer.customer_id)
                for entry in entry_by_name.values()
            )
            assert total <= 1.001
        assert total >= 0.9


class TestStates:
    def test_states_have_the_values_of_the_earlier_build(self):
        assert {state.value for state in fleet_view.EntryState} == {
            "starting",
            "ready",
            "leaving",
        }
