"""Dispatches requests to the own or to another failure domain."""

import collections
import random

from chicorydoor.coordination import entry_directory
from chicorydoor.coordination import forwarding
from chicorydoor.coordination import local_grants
from chicorydoor.coordination import request_types
from chicorydoor.coordination import slot_queue as slot_queue_module
from chicorydoor.coordination import target_executor
from chicorydoor.protocol import bucket_ids
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_ANSWER_SIZE_SMOOTHING = 0.1
_INITIAL_ANSWER_BYTES = 4096.0
# Refusals after which a request that certainly did not run is run in the own
# domain. The peer may refuse a route or a key because its configuration is
# at another revision.
_LOCAL_FALLBACK_CODES = frozenset(
    {
        _CODES.NO_CAPACITY,
        _CODES.QUEUE_FULL,
        _CODES.NO_TARGET,
        _CODES.TARGET_UNREACHABLE,
        _CODES.TARGET_SHED,
        _CODES.PEER_UNREACHABLE,
        _CODES.NO_ROUTE,
        _CODES.KEY_REFUSED,
    }
)


class Dispatcher:
    """Sends each admitted request to the failure domain that serves it.

    The coordinator sets the share of a route's requests that is forwarded to
    other failure domains (spill-over). Each forwarded request needs a credit
    of the receiving domain, which allows one forwarded request in flight;
    without one it is served in the own domain.

    Args:
        grants (LocalGrants): Forwarding shares and credits.
        slot_queue (SlotQueue): Reports whether the own domain is overloaded.
        executor (TargetExecutor): Runs requests in the own domain.
        directory (EntryDirectory): Entries of other failure domains.
        clock (Clock): Time source.
        rng (Random): Random source for the choice of domains and entries.
        events (EventRing): Records forwarded requests.
    """

    def __init__(
        self,
        *,
        grants: local_grants.LocalGrants,
        slot_queue: slot_queue_module.SlotQueue,
        executor: target_executor.TargetExecutor,
        directory: entry_directory.EntryDirectory,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
    ) -> None:
        self._grants = grants
        self._slot_queue = slot_queue
        self._executor = executor
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._events = events
        self.forwarder: forwarding.Forwarder | None = None
        self._forward_accumulator_by_route: dict[ids.RouteId, float] = (
            collections.defaultdict(float)
        )
        self._mean_buffered_bytes_by_route: dict[ids.RouteId, float] = {}
        grants.pop_wanted_credits = self._pop_wanted_credits
        self._missed_credits_by_service: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    async def run(
        self, request: request_types.Request
    ) -> request_types.Answer:
        """Run an admitted request and return its answer.

        Raises:
            RefusedError: If no answer was received that is complete, or
                long enough to be streamed.
        """
        is_delayed = self._slot_queue.is_overloaded(request)
        self._grants.record_arrival(request.route_id, is_delayed)
        if not request.may_leave_domain or not self._should_forward_next(
            request.route_id
        ):
            return await self._executor.run(request)
        domain = await self._acquire_credit(request)
        if domain is None:
            return await self._executor.run(request)
        try:
            return await self._forward(request, domain)
        except request_types.RefusedError as error:
            if (
                not error.certainly_not_run
                or error.code not in _LOCAL_FALLBACK_CODES
            ):
                raise
        return await self._executor.run(request)

    def _should_forward_next(self, route: ids.RouteId) -> bool:
        """Return whether the route's next request is due for another domain.

        Accumulates the share per request, so that forwarded requests are
        spread evenly over the route's requests.
        """
        forwarded_share = self._grants.forwarded_share_by_route.get(route, 0.0)
        if forwarded_share <= 0:
            self._forward_accumulator_by_route.pop(route, None)
            return False
        accumulated = (
            self._forward_accumulator_by_route[route] + forwarded_share
        )
        is_due = accumulated >= 1.0
        self._forward_accumulator_by_route[route] = min(
            accumulated - is_due, 1.0
        )
        return is_due

    async def _acquire_credit(
        self, request: request_types.Request
    ) -> ids.DomainId | None:
        """Acquire a credit of the nearest failure domain that has one.

        Returns:
            The domain, or None if no reachable domain has credits left.
        """
        service = request.route.service
        candidates = [
            domain
            for domain in self._directory.shuffle_domains_by_distance(
                self._rng
            )
            if self._free_credits(domain, service) > 0
        ]
        for domain in candidates:
            if not await self._reserve_link_bytes(request, domain):
                continue
            credit_id = bucket_ids.credit_pseudo_target_id(domain, service)
            if self._grants.local_credits.acquire(credit_id):
                return domain
        self._missed_credits_by_service[service] += 1
        return None

    def _free_credits(
        self, domain: ids.DomainId, service: ids.ServiceId
    ) -> int:
        """Return the free credits of a service at another domain.

        They are kept like local slots, under a pseudo target id.
        """
        credit_id = bucket_ids.credit_pseudo_target_id(domain, service)
        return self._grants.local_credits.free_slots(credit_id)

    async def _reserve_link_bytes(
        self, request: request_types.Request, domain: ids.DomainId
    ) -> bool:
        """Acquire the expected bytes from the link's token bucket.

        Returns:
            Whether the bytes were granted; True if the link has no limit.
        """
        link_bucket = self._directory.link_bucket(domain)
        if link_bucket is None:
            return True
        size_bytes = len(
            request.body.buffered
        ) + self._mean_buffered_bytes_by_route.get(
            request.route_id, _INITIAL_ANSWER_BYTES
        )
        # At most a quarter of the time that remains to the deadline.
        max_wait_s = (request.deadline_at - self._clock.now()) / 4
        try:
            await self._grants.acquire_tokens(
                link_bucket, size_bytes, max_wait_s
            )
        except request_types.RefusedError:
            return False
        return True

    async def _forward(
        self, request: request_types.Request, domain: ids.DomainId
    ) -> request_types.Answer:
        credit_id = bucket_ids.credit_pseudo_target_id(
            domain, request.route.service
        )
        try:
            peer = self._directory.choose_entry(domain, self._rng)
            if peer is None:
                raise request_types.RefusedError(_CODES.PEER_UNREACHABLE)
            request.check_caller()
            self._events.add(
                event_ring.EventKind.FORWARDED,
                request_id=request.request_id,
                customer=request.customer,
                subject=domain,
                detail=peer,
            )
            metrics.FORWARDED.labels(domain).inc()
            self._grants.record_forwarded(request.route_id)
            assert self.forwarder is not None
            answer = await self.forwarder.forward(
                peer, request, to_minter=False
            )
        except BaseException:
            self._grants.local_credits.release(credit_id)
            raise
        self._record_answer_size(request.route_id, len(answer.buffered))
        if answer.remaining_pieces is None:
            self._grants.local_credits.release(credit_id)
            return answer

        async def close() -> None:
            self._grants.local_credits.release(credit_id)
            await answer.close()

        return request_types.Answer(
            answer.status,
            answer.headers,
            answer.buffered,
            answer.remaining_pieces,
            close,
        )

    def _record_answer_size(self, route: ids.RouteId, size_bytes: int) -> None:
        """Update the mean size of a route's answers.

        Of a streamed answer only the buffered part counts, so the mean is a
        lower bound.
        """
        mean_bytes = self._mean_buffered_bytes_by_route.get(
            route, _INITIAL_ANSWER_BYTES
        )
        self._mean_buffered_bytes_by_route[route] = (
            mean_bytes + _ANSWER_SIZE_SMOOTHING * (size_bytes - mean_bytes)
        )

    def _pop_wanted_credits(self) -> dict[ids.ServiceId, int]:
        """Return the credits to request, and reset the counts of misses.

        A service gets one credit per recent miss and two as a reserve.
        """
        wanted_by_service: dict[ids.ServiceId, int] = {}
        share_by_route = self._grants.forwarded_share_by_route
        for route, forwarded_share in share_by_route.items():
            service = self._directory.find_service(route)
            if forwarded_share > 0 and service is not None:
                wanted_by_service[service] = (
                    2 + self._missed_credits_by_service[service]
                )
        self._missed_credits_by_service.clear()
        return wanted_by_service
