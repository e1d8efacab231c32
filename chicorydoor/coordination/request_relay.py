"""Relays requests to peers that reach a service which this entry does not.

The peer runs the request as if its caller had sent it there; it does not check
key and rate again and relays no further.
"""

import asyncio
from collections import abc
import math
import random

from chicorydoor import errors
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import fleet_view
from chicorydoor.state import service_reach
from chicorydoor.transport import body_memory
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# As for targets: a lost packet of the handshake costs a second.
_CONNECT_TIMEOUT_S = 0.7
# A peer that could not be connected to, or that broke the connection, is left
# out for as long as it takes until it counts as silent.
_FAILED_PEER_PAUSE_S = 2.0
# Idle connections to a peer. More are opened during a burst.
_MAX_IDLE_CONNECTIONS = 32

_CODES = result_codes.ResultCode
# Refusals of a peer that another peer may not share. No target was tried.
_REFUSED_WITHOUT_SEND = frozenset(
    {
        _CODES.NO_TARGET,
        _CODES.NOT_READY,
        _CODES.NO_BODY_MEMORY,
        _CODES.PEER_UNREACHABLE,
    }
)
# The peer's HTTP server answers so if it has not passed a request on to its
# application: malformed, or headers too late or too large.
_STATUSES_BEFORE_APPLICATION = frozenset({400, 408, 431})
# Values of the header that says where a peer's response comes from.
ANSWERED = b"answered"
REFUSED = b"refused"


class RequestRelay:
    """Chooses peers and sends requests to them.

    Args:
        fleet (FleetView): The known entries.
        reach (ServiceReach): The services that this entry reaches.
        names (HeaderNames): Header names.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
        response_memory (MemoryPart): Memory for large responses.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        reach: service_reach.ServiceReach,
        names: header_names.HeaderNames,
        clock: clock_module.Clock,
        rng: random.Random,
        response_memory: body_memory.MemoryPart,
    ) -> None:
        self._fleet = fleet
        self._reach = reach
        self._header_names = names
        self._clock = clock
        self._rng = rng
        self._response_memory = response_memory
        self._failed_at_by_instance: dict[ids.InstanceId, float] = {}
        self._pool_by_address: dict[
            str, buffered_connection.BufferedConnectionPool
        ] = {}

    def is_needed(self, service_id: ids.ServiceId) -> bool:
        """Whether this entry reaches too few targets of a service."""
        return service_id in self._reach.out_of_reach

    def choose_peer(
        self,
        service_id: ids.ServiceId,
        allowed_region_ids: frozenset[ids.RegionId],
        excluded: abc.Collection[str] = (),
        rng: random.Random | None = None,
    ) -> fleet_view.Registration | None:
        """Choose a peer that reaches a service.

        Peers of the own failure domain come first, then those of the region.

        Args:
            service_id (str): The service.
            allowed_region_ids (frozenset): Regions that may serve the request;
                empty for all. A peer elsewhere must not get it.
            excluded (Collection): Instances that were tried before. Defaults
                to none.
            rng (Random): Source of random numbers. Defaults to that of the
                relay.

        Returns:
            The peer; None if there is none.
        """
        now = self._clock.now()
        candidates: list[fleet_view.Registration] = []
        own_region = self._fleet.own_registration.region
        if not allowed_region_ids or own_region in allowed_region_ids:
            candidates = self._region_candidates(service_id, excluded, now)
        if not candidates:
            candidates = [
                registration
                for registration in self._fleet.ready_remote_peers(now)
                if (
                    not allowed_region_ids
                    or registration.region in allowed_region_ids
                )
                and self._is_usable(registration, excluded, now)
            ]
        return (rng or self._rng).choice(candidates) if candidates else None

    def _region_candidates(
        self,
        service_id: ids.ServiceId,
        excluded: abc.Collection[str],
        now: float,
    ) -> list[fleet_view.Registration]:
        """Return the region's peers to choose from.

        Those of the own failure domain suffice if they are at least as many
        as its entries that relay, so that their load at most doubles.
        """
        own_domain = self._fleet.own_registration.domain
        peers = self._fleet.live_region_peers(now)
        reaching = [
            peer.registration
            for peer in peers
            if peer.reaches(service_id)
            and self._is_usable(peer.registration, excluded, now)
        ]
        domain_peers = [each for each in reaching if each.domain == own_domain]
        relaying_count = 1 + sum(
            peer.registration.domain == own_domain
            and not peer.reaches(service_id)
            for peer in peers
        )
        return (
            domain_peers if len(domain_peers) >= relaying_count else reaching
        )

    def _is_usable(
        self,
        registration: fleet_view.Registration,
        excluded: abc.Collection[str],
        now: float,
    ) -> bool:
        failed_at = self._failed_at_by_instance.get(
            registration.instance, float("-inf")
        )
        return (
            bool(registration.relay_address)
            and registration.instance not in excluded
            and now - failed_at >= _FAILED_PEER_PAUSE_S
        )

    async def send(
        self,
        call: admitted_request.AdmittedRequest,
        peer: fleet_view.Registration,
        history: admitted_request.RelayHistory,
    ) -> target_sender.SendResult:
        """Relay a request to a peer once.

        Args:
            call (AdmittedRequest): The request.
            peer (Registration): The peer.
            history (RelayHistory): What this entry has done with the request.

        Raises:
            CallerLeftError: If the caller has left; nothing was sent.
        """
        result = await self._exchange(call, peer, history)
        metrics.RELAYED_REQUESTS.labels(result.outcome.value).inc()
        return result

    async def _exchange(
        self,
        call: admitted_request.AdmittedRequest,
        peer: fleet_view.Registration,
        history: admitted_request.RelayHistory,
    ) -> target_sender.SendResult:
        outcomes = target_sender.SendOutcome
        pool = self._pool(peer.relay_address)
        remaining_s = call.deadline - self._clock.now()
        try:
            connection = await pool.acquire(
                min(_CONNECT_TIMEOUT_S, remaining_s)
            )
        except errors.TargetError as error:
            if error.is_own_shortage:
                return _result(outcomes.NOT_SENT, peer, f"{error}")
            return self._record_failure(peer, outcomes.NOT_SENT, f"{error}")
        remaining_s = (
            call.deadline - self._clock.now() - target_sender.RESPONSE_MARGIN_S
        )
        if remaining_s <= 0:
            pool.release(connection, _MAX_IDLE_CONNECTIONS)
            return _result(outcomes.NOT_SENT, peer, "no time left")
        if call.is_caller_gone():
            pool.release(connection, _MAX_IDLE_CONNECTIONS)
            raise request_types.CallerLeftError
        names = self._header_names
        head = admitted_request.encode_head(
            call,
            names,
            peer.instance,
            remaining_s,
            [
                (names.relayed_service, history.service_id.encode()),
                (names.relayed_send_count, b"%d" % history.send_count),
            ],
        )
        try:
            async with asyncio.timeout(remaining_s):
                answer = await connection.exchange(
                    head,
                    call.request_id,
                    call.method == b"HEAD",
                    call.body_chunks,
                )
        except TimeoutError:
            # The target may be slow; heartbeats show whether the peer is gone.
            return _result(outcomes.UNKNOWN, peer, "no answer in time")
        except errors.TargetError as error:
            outcome = (
                outcomes.UNKNOWN
                if error.may_have_been_sent
                else outcomes.NOT_SENT
            )
            return self._record_failure(peer, outcome, f"{error}")
        pool.release(connection, _MAX_IDLE_CONNECTIONS)
        return self._evaluate(peer, answer)

    def _pool(
        self, address: str
    ) -> buffered_connection.BufferedConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = buffered_connection.BufferedConnectionPool(
                address,
                self._header_names.request_id,
                self._clock,
                self._response_memory,
            )
            self._pool_by_address[address] = pool
        return pool

    def _record_failure(
        self,
        peer: fleet_view.Registration,
        outcome: target_sender.SendOutcome,
        reason: str,
    ) -> target_sender.SendResult:
        self._failed_at_by_instance[peer.instance] = self._clock.now()
        return _result(outcome, peer, reason)

    def _evaluate(
        self,
        peer: fleet_view.Registration,
        answer: buffered_connection.BufferedResponse,
    ) -> target_sender.SendResult:
        outcomes = target_sender.SendOutcome
        kind = answer.find_header(self._header_names.relay_result)
        if kind == ANSWERED:
            answer.headers = [
                (name, value)
                for name, value in answer.headers
                if name != self._header_names.relay_result
            ]
            return _result(
                outcomes.ANSWERED, peer, f"{answer.status}", answer=answer
            )
        if kind != REFUSED:
            return _evaluate_unmarked(peer, answer.status)
        refusal = _read_refusal(answer)
        if not refusal.certainly_not_run:
            return _result(
                outcomes.UNKNOWN, peer, f"{refusal}", refusal=refusal
            )
        outcome = (
            outcomes.NOT_SENT
            if refusal.code in _REFUSED_WITHOUT_SEND
            else outcomes.NOT_RUN
        )
        return _result(outcome, peer, f"{refusal}", refusal=refusal)

    def close_unused(self) -> None:
        """Close connections to peers that are gone."""
        in_use = {
            peer.registration.relay_address
            for peer in self._fleet.peer_by_instance.values()
        }
        for address in self._pool_by_address.keys() - in_use:
            self._pool_by_address.pop(address).close()
        for instance in (
            self._failed_at_by_instance.keys()
            - self._fleet.peer_by_instance.keys()
        ):
            del self._failed_at_by_instance[instance]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_address.values():
            pool.close()


def _result(
    outcome: target_sender.SendOutcome,
    peer: fleet_view.Registration,
    reason: str,
    answer: buffered_connection.BufferedResponse | None = None,
    refusal: request_types.RefusedError | None = None,
) -> target_sender.SendResult:
    return target_sender.SendResult(
        outcome,
        ids.TargetId(peer.instance),
        answer,
        f"relayed, {reason}",
        refusal,
    )


def _evaluate_unmarked(
    peer: fleet_view.Registration, status: int
) -> target_sender.SendResult:
    """Evaluate a response of the peer's HTTP server itself.

    It also answers for a request that ended with an error, which a target may
    have run.
    """
    outcomes = target_sender.SendOutcome
    outcome = (
        outcomes.NOT_SENT
        if status in _STATUSES_BEFORE_APPLICATION
        else outcomes.UNKNOWN
    )
    return _result(outcome, peer, f"{status}")


def _read_refusal(
    answer: buffered_connection.BufferedResponse,
) -> request_types.RefusedError:
    number = answer.find_header(result_codes.CODE_HEADER) or b""
    code = result_codes.RESULT_CODE_BY_NUMBER.get(
        http_headers.parse_whole_number(number), _CODES.PEER_FAILED
    )
    # The peer itself writes it, as a decimal number.
    try:
        retry_after_s = float(answer.find_header(b"retry-after") or 0.0)
    except ValueError:
        retry_after_s = 0.0
    if not math.isfinite(retry_after_s) or retry_after_s < 0:
        retry_after_s = 0.0
    return request_types.RefusedError(code, retry_after_s=retry_after_s)
