"""Data structures of the state package, compared with naive versions."""

import ipaddress

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from chicorydoor.protocol import config_records as records
from chicorydoor.state import client_blocks
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_limits
from chicorydoor.state import event_ring
from chicorydoor.state import token_ledger
from tests.support import clocks
from tests.support import reference_models


def _naive_find(region_by_cidr, address):
    """Region of the longest block that contains an address."""
    parsed = ipaddress.ip_address(address)
    best = None
    for cidr, region in region_by_cidr.items():
        network = ipaddress.ip_network(cidr)
        if network.version == parsed.version and parsed in network:
            if best is None or network.prefixlen > best[0]:
                best = (network.prefixlen, region)
    return best[1] if best else None


class TestClientBlockTable:
    @seed(5)
    @settings(max_examples=150, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2**32 - 1),
                st.integers(0, 32),
                st.sampled_from("abc"),
            ),
            max_size=30,
        ),
        st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=20),
    )
    def test_finds_the_region_of_the_longest_matching_block(
        self, blocks, addresses
    ):
        region_by_cidr = {}
        for number, length, region in blocks:
            network = ipaddress.ip_network((number, length), strict=False)
            region_by_cidr[str(network)] = region
        table = client_blocks.ClientBlockTable(region_by_cidr)
        edges = [
            int(ipaddress.ip_network(cidr)[edge])
            for cidr in region_by_cidr
            for edge in (0, -1)
        ]
        for number in addresses + edges:
            address = str(ipaddress.ip_address(number))
            assert table.find(address) == _naive_find(region_by_cidr, address)

    def test_finds_ipv6_blocks(self):
        blocks = {"2a02::/32": "a", "2a02:1::/48": "b", "::/0": "c"}
        table = client_blocks.ClientBlockTable(blocks)
        assert table.find("2a02::1") == "a"
        assert table.find("2a02:1::1") == "b"
        assert table.find("ffff::1") == "c"


class TestTokenLedger:
    @seed(7)
    @settings(max_examples=150, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["grant", "spend", "report", "wait", "lose"]),
                st.integers(0, 2),
                st.integers(1, 6),
            ),
            max_size=80,
        )
    )
    def test_spent_tokens_stay_within_rate_and_burst(self, actions):
        """Holders spend at the worst moments; checked with one bucket.

        "lose" is a grant whose message does not reach the holder. "report"
        replaces a holder's grants by the tokens that it has left.
        """
        clock = clocks.ManualClock()
        ledger = token_ledger.TokenLedger(clock)
        ledger.configure({"b": token_ledger.BucketLimit(4.0, 5.0)})
        grants_by_holder = [[] for _ in range(3)]
        spent = []
        for kind, index, amount in actions:
            grants = grants_by_holder[index]
            grants[:] = [grant for grant in grants if grant[0] > clock.now_s]
            if kind == "wait":
                clock.now_s += amount * 0.13
            elif kind in ("grant", "lose"):
                granted = ledger.grant("b", index, amount, valid_s=1.0)
                if kind == "grant" and granted:
                    grants.append((clock.now_s + 1.0, granted))
            elif kind == "report":
                left = sum(count for _, count in grants)
                ledger.replace_grants("b", index, left, 1.0)
                grants[:] = [(clock.now_s + 1.0, left)]
            elif kind == "spend" and grants:
                expires_at, left = grants.pop()
                spent += [clock.now_s] * int(min(left, amount))
                if left > amount:
                    grants.append((expires_at, left - amount))
        assert reference_models.burst_needed(spent, 4.0) <= 5.0 + 1e-6


class TestDomainLimits:
    @seed(9)
    @settings(max_examples=150, deadline=None, database=None)
    @given(
        st.integers(1, 50),
        st.integers(1, 50),
        st.lists(st.booleans(), min_size=5, max_size=5),
        st.lists(st.integers(1, 9), min_size=5, max_size=5),
    )
    def test_domain_limits_stay_within_the_new_rate_where_possible(
        self, before, after, confirmed, domain_shares
    ):
        """Domains that know the new rate compensate for the others.

        The others may still use their limits at the old rate. If these alone
        exceed the new rate, the sum must not be larger than they are.
        """
        domains = [f"d{number}" for number in range(5)]
        old = _configuration(before, domains, {})
        share_by_domain = dict(
            zip(domains, map(float, domain_shares), strict=True)
        )
        new = _configuration(after, domains, share_by_domain)
        domain_limits.record_replaced_limits(old, new, 2, 1)
        revision_by_domain = {
            domain: 2 if is_new else 1
            for domain, is_new in zip(domains, confirmed, strict=True)
        }
        total = 0.0
        for domain, is_new in zip(domains, confirmed, strict=True):
            config = new if is_new else old
            divided_limits = domain_limits.DomainLimits(
                config, revision_by_domain
            )
            total += divided_limits.limit("c", domain).rate_per_s
        if any(confirmed):
            unconfirmed = before / 5 * sum(not is_new for is_new in confirmed)
            assert total <= max(after, unconfirmed) + 1e-6


def _configuration(rate, domains, share_by_domain):
    config = records.Configuration()
    config.domain_by_id = {d: records.Domain("r") for d in domains}
    config.customer_by_id["c"] = records.Customer(
        float(rate), float(rate), share_by_domain=share_by_domain
    )
    return config


class TestEventRing:
    def test_effects_follow_their_causes_although_clocks_differ(self):
        ahead_clock, behind_clock = clocks.ManualClock(), clocks.ManualClock()
        ahead_clock.now_s, behind_clock.now_s = 1000.0, 10.0
        first = event_ring.EventRing("first", ahead_clock)
        second = event_ring.EventRing("second", behind_clock)
        kinds = event_ring.EventKind
        first.add(kinds.FORWARDED, request_id="r")
        second.hybrid_clock.merge(first.hybrid_clock.next_stamp())
        second.add(kinds.SENT, request_id="r")
        merged = event_ring.merge_events(
            [second.events_since(0, 10), first.events_since(0, 10)]
        )
        assert [event.instance for event in merged] == ["first", "second"]

    def test_request_events_do_not_evict_state_events(self):
        ring = event_ring.EventRing("i", clocks.ManualClock(), 10, 10)
        kinds = event_ring.EventKind
        ring.add(kinds.COORDINATOR_LEASE_ACQUIRED)
        for _ in range(100):
            ring.add(kinds.RECEIVED)
        events = [event.kind for event in ring.events_since(0, 1000)]
        assert len(events) == 11
        assert events[0] is kinds.COORDINATOR_LEASE_ACQUIRED


class TestRoutes:
    @pytest.mark.parametrize(
        ("path", "expected"),
        [("/a", "a"), ("/a/b/c", "ab"), ("/ab", None), ("/", None)],
    )
    def test_finds_the_longest_prefix_of_whole_segments(self, path, expected):
        config = records.Configuration()
        config.route_by_id["a"] = records.Route("s", "/a")
        config.route_by_id["ab"] = records.Route("s", "/a/b")
        snapshot = config_snapshot.ConfigSnapshot(
            config_snapshot.EMPTY.manifest, config
        )
        match = snapshot.find_route(path)
        assert (match[0] if match else None) == expected
