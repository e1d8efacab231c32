"""Which peer an entry relays a request to when it reaches no target."""

import asyncio
import collections
import random

import pytest

from chicorydoor.coordination import request_relay
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.state import fleet_view
from chicorydoor.transport import body_memory
from chicorydoor.transport import clock as clock_module
from tests.support import clocks
from tests.support import config_builders as make

_SendOutcome = target_sender.SendOutcome
_SERVICE = "svc"
_REGION_COUNT = 3


class _Reach:
    """An entry that reaches no service."""

    out_of_reach = frozenset({_SERVICE})


class _Fleet:
    """Entries of two failure domains in each of three regions.

    Args:
        entry_count (int): Number of entries.
        cut_count (int): Number of entries of the first failure domain that
            reach no target.
    """

    def __init__(self, entry_count, cut_count):
        self.clock = clocks.ManualClock()
        self.registrations = [
            fleet_view.Registration(
                f"e{index}",
                1,
                f"d{index % (2 * _REGION_COUNT)}",
                f"r{index % _REGION_COUNT}",
                f"10.0.0.{index}:1",
                f"10.0.0.{index}:2",
                f"10.0.0.{index}:3",
            )
            for index in range(entry_count)
        ]
        first_domain = [
            each for each in self.registrations if each.domain == "d0"
        ]
        self.cut = first_domain[:cut_count]
        self.cut_instances = {each.instance for each in self.cut}

    def build_relay(self, registration):
        now = self.clock.now()
        fleet = fleet_view.FleetView(registration, 2.0, 12.0, 4.0)
        for other in self.registrations:
            fleet.record_registration(other, now)
            is_cut = other.instance in self.cut_instances
            if other.region == registration.region:
                heartbeat = fleet_view.Heartbeat(
                    other,
                    fleet_view.EntryState.READY,
                    {},
                    {},
                    out_of_reach=[_SERVICE] if is_cut else [],
                )
                fleet.apply_heartbeat(heartbeat, now)
        for region in {each.region for each in self.registrations}:
            ready = [
                each.instance
                for each in self.registrations
                if each.region == region
            ]
            digest = fleet_view.RegionDigest(region, "", ready, [], {}, {})
            fleet.record_digest(digest, now)
        return request_relay.RequestRelay(
            fleet,
            _Reach(),
            header_names.HeaderNames(),
            self.clock,
            random.Random(1),
            body_memory.BodyMemory().responses,
        )

    def count_choices(self, requests_per_entry, regions=frozenset()):
        counts = collections.Counter()
        for registration in self.cut:
            relay = self.build_relay(registration)
            for _ in range(requests_per_entry):
                peer = relay.choose_peer(_SERVICE, regions)
                counts[peer.instance if peer else None] += 1
        return counts


class TestChosenPeers:
    # Guards against requests circling between entries without targets.
    def test_no_peer_that_is_cut_off_itself(self):
        for entry_count in (6, 11, 87):
            fleet = _Fleet(entry_count, cut_count=entry_count // 12 + 1)
            chosen = fleet.count_choices(50)
            assert not chosen.keys() & fleet.cut_instances
            assert None not in chosen

    # Guards against a few peers getting the load of a whole failure domain.
    def test_load_of_peers_at_most_doubles_in_a_large_domain(self):
        for cut_count in (1, 7):
            fleet = _Fleet(87, cut_count)
            chosen = fleet.count_choices(1000)
            assert {instance[0] for instance in chosen} == {"e"}
            # The domain has 15 entries.
            assert max(chosen.values()) <= 1.3 * 1000

    def test_entries_of_a_lost_domain_use_all_of_the_region(self):
        fleet = _Fleet(87, cut_count=15)
        chosen = fleet.count_choices(100)
        domains = {
            fleet.registrations[int(name[1:])].domain for name in chosen
        }
        assert domains == {"d3"}
        assert len(chosen) == 14

    def test_other_regions_if_the_own_one_reaches_nothing(self):
        fleet = _Fleet(3, cut_count=1)
        assert fleet.count_choices(20).keys() == {"e1", "e2"}

    # Guards against bodies of bound requests leaving their regions.
    def test_bound_requests_go_only_to_their_regions(self):
        fleet = _Fleet(12, cut_count=1)
        elsewhere = fleet.count_choices(20, frozenset({"r1"}))
        assert {int(name[1:]) % _REGION_COUNT for name in elsewhere} == {1}
        assert fleet.count_choices(5, frozenset({"r9"})).keys() == {None}


class _Peer:
    """A peer that answers each relayed request with fixed bytes.

    Args:
        response (bytes): The bytes; none at all if empty.
    """

    def __init__(self, response):
        self._response = response

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.registration = fleet_view.Registration(
            "peer", 1, "d0", "r0", "", "", f"127.0.0.1:{port}"
        )
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if self._response:
            writer.write(self._response)
            await writer.drain()
        else:
            await reader.read()
        writer.close()


def _relay_once(response):
    """Relay a request to a peer; return result and next chosen peer."""

    async def run():
        clock = clock_module.SystemClock()
        async with _Peer(response) as peer:
            own = fleet_view.Registration("own", 1, "d0", "r0", "", "", "")
            fleet = fleet_view.FleetView(own, 2.0, 12.0, 4.0)
            heartbeat = fleet_view.Heartbeat(
                peer.registration, fleet_view.EntryState.READY, {}, {}
            )
            fleet.apply_heartbeat(heartbeat, clock.now())
            relay = request_relay.RequestRelay(
                fleet,
                _Reach(),
                header_names.HeaderNames(),
                clock,
                random.Random(1),
                body_memory.BodyMemory().responses,
            )
            now = clock.now()
            call = admitted_request.AdmittedRequest(
                method=b"POST",
                request_target=b"/order/1",
                headers=[],
                body_chunks=(),
                request_id=b"r1",
                affinity_key=b"",
                route=make.build_route_config(),
                customer=None,
                arrived_at=now,
                deadline=now + 0.3,
            )
            history = admitted_request.RelayHistory(_SERVICE, 0)
            result = await relay.send(call, peer.registration, history)
            return result, relay.choose_peer(_SERVICE, frozenset())

    return asyncio.run(run())


class TestResponsesOfPeers:
    # Guards against a second run of an order: the HTTP server of a peer
    # answers 500 if it ends a request that a target may already run.
    @pytest.mark.parametrize(
        "status", [b"500 Internal", b"502 Bad", b"200 OK"]
    )
    def test_response_without_the_mark_of_the_relay_is_unknown(self, status):
        result, _ = _relay_once(
            b"HTTP/1.1 %s\r\nx-request-id: r1\r\ncontent-length: 0\r\n\r\n"
            % status
        )
        assert result.outcome is _SendOutcome.UNKNOWN

    # Guards against an invalid status that a caller receives through a peer.
    @pytest.mark.parametrize("mark", [b"answered", b"refused"])
    @pytest.mark.parametrize(
        "status", [b"000", b"099", b"101", b"600", b"20", b"2000", b"+20"]
    )
    def test_invalid_status_is_unknown_and_counts_as_failed(
        self, status, mark
    ):
        result, next_peer = _relay_once(
            b"HTTP/1.1 %s Odd\r\nx-chicorydoor-relay-result: %s\r\n"
            b"x-chicorydoor-code: 133\r\ncontent-length: 0\r\n\r\n"
            % (status, mark)
        )
        assert result.outcome is _SendOutcome.UNKNOWN
        assert result.answer is None
        assert next_peer is None

    # Guards against a refusal that ends the request with an internal error, so
    # that it is not sent to another peer.
    @pytest.mark.parametrize("value", [b"x", b"", b"nan", b"inf", b"-1"])
    def test_refusal_with_an_unreadable_time_is_one_without(self, value):
        result, _ = _relay_once(
            b"HTTP/1.1 503 No\r\nx-chicorydoor-relay-result: refused\r\n"
            b"x-chicorydoor-code: 133\r\nretry-after: %s\r\n"
            b"content-length: 0\r\n\r\n" % value
        )
        assert result.outcome is _SendOutcome.NOT_SENT
        assert result.refusal.retry_after_s == 0.0

    def test_headers_that_the_peer_did_not_accept_were_not_run(self):
        result, _ = _relay_once(
            b"HTTP/1.1 431 Large\r\ncontent-length: 0\r\n\r\n"
        )
        assert result.outcome is _SendOutcome.NOT_SENT

    # Guards against leaving out peers because a target was slow.
    def test_peer_whose_target_was_slow_is_chosen_again(self):
        result, next_peer = _relay_once(b"")
        assert result.outcome is _SendOutcome.UNKNOWN
        assert next_peer is not None
