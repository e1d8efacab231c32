"""Decides where a request runs: here, or in another failure domain."""

import collections
import random

from chicorydoor.coordination import allotments as allotments_module
from chicorydoor.coordination import directory as directory_module
from chicorydoor.coordination import executor as executor_module
from chicorydoor.coordination import forwarding
from chicorydoor.coordination import placement as placement_module
from chicorydoor.coordination import requests
from chicorydoor.protocol import ids
from chicorydoor.protocol import names
from chicorydoor.protocol import result_codes
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_ANSWER_WEIGHT = 0.1
_FIRST_ANSWER_BYTES = 4096.0
_FALL_BACK = frozenset(
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
    """Sends each admitted request to where it is served.

    The part of a route's requests that goes elsewhere follows the share
    that the coordinator set. Each one needs a credit of the domain that
    receives it; without one the request stays here.

    Args:
        allotments (Allotments): Shares and credits.
        placement (Placement): Says whether a slot is free here.
        executor (Executor): Runs requests here.
        directory (Directory): Entries of other failure domains.
        clock (Clock): Time.
        rng (Random): For the choice among domains and entries.
        events (EventRing): Gets what is forwarded.
    """

    def __init__(
        self,
        *,
        allotments: allotments_module.Allotments,
        placement: placement_module.Placement,
        executor: executor_module.Executor,
        directory: directory_module.Directory,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
    ) -> None:
        self._allotments = allotments
        self._placement = placement
        self._executor = executor
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._events = events
        self.forwarder: forwarding.Forwarder | None = None
        self._owed_by_route: dict[ids.RouteId, float] = (
            collections.defaultdict(float)
        )
        self._answer_bytes: dict[ids.RouteId, float] = {}
        allotments.credit_wants = self._credit_wants
        self._credit_misses: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    async def run(self, request: requests.Request) -> requests.Answer:
        """Run an admitted request.

        Raises:
            RefusedError: If there is no whole answer.
        """
        is_delayed = self._placement.is_wait_long(request)
        self._allotments.note_arrival(request.route_id, is_delayed)
        if not request.may_go_away or not self._is_due_away(request.route_id):
            return await self._executor.run(request)
        domain = await self._take_credit(request)
        if domain is None:
            return await self._executor.run(request)
        try:
            return await self._forward(request, domain)
        except requests.RefusedError as error:
            if not error.is_not_run or error.code not in _FALL_BACK:
                raise
        return await self._executor.run(request)

    def _is_due_away(self, route: ids.RouteId) -> bool:
        """Spread the share evenly over the route's requests."""
        share = self._allotments.away_share_by_route.get(route, 0.0)
        if share <= 0:
            self._owed_by_route.pop(route, None)
            return False
        owed = self._owed_by_route[route] + share
        is_due = owed >= 1.0
        self._owed_by_route[route] = min(owed - is_due, 1.0)
        return is_due

    async def _take_credit(
        self, request: requests.Request
    ) -> ids.DomainId | None:
        """A failure domain that accepts the request, nearest first."""
        service = request.route.service
        candidates = [
            domain
            for domain in self._directory.domains_by_distance(self._rng)
            if self._credit_left(domain, service) > 0
        ]
        for domain in candidates:
            if not await self._has_link(request, domain):
                continue
            target = names.credit_target(domain, service)
            if self._allotments.credits.take(target):
                return domain
        self._credit_misses[service] += 1
        return None

    def _credit_left(
        self, domain: ids.DomainId, service: ids.ServiceId
    ) -> int:
        target = names.credit_target(domain, service)
        return self._allotments.credits.free(target)

    async def _has_link(
        self, request: requests.Request, domain: ids.DomainId
    ) -> bool:
        """Take the expected bytes out of the link's budget, if any."""
        bucket = self._directory.link_bucket(domain)
        if bucket is None:
            return True
        size = len(request.body.first) + self._answer_bytes.get(
            request.route_id, _FIRST_ANSWER_BYTES
        )
        remaining_s = (request.deadline - self._clock.now()) / 4
        try:
            await self._allotments.take_tokens(bucket, size, remaining_s)
        except requests.RefusedError:
            return False
        return True

    async def _forward(
        self, request: requests.Request, domain: ids.DomainId
    ) -> requests.Answer:
        target = names.credit_target(domain, request.route.service)
        try:
            peer = self._directory.entry_of(domain, self._rng)
            if peer is None:
                raise requests.RefusedError(_CODES.PEER_UNREACHABLE)
            self._events.add(
                event_ring.EventKind.FORWARDED,
                request_id=request.request_id,
                customer=request.customer,
                subject=domain,
                detail=peer,
            )
            metrics.FORWARDED.labels(domain).inc()
            self._allotments.note_forwarded(request.route_id)
            assert self.forwarder is not None
            answer = await self.forwarder.forward(
                peer, request, own_target=False
            )
        except BaseException:
            self._allotments.credits.put_back(target)
            raise
        self._note_answer(request.route_id, len(answer.first))
        if answer.rest is None:
            self._allotments.credits.put_back(target)
            return answer

        async def close() -> None:
            self._allotments.credits.put_back(target)
            await answer.close()

        return requests.Answer(
            answer.status, answer.headers, answer.first, answer.rest, close
        )

    def _note_answer(self, route: ids.RouteId, size: int) -> None:
        known = self._answer_bytes.get(route, _FIRST_ANSWER_BYTES)
        self._answer_bytes[route] = known + _ANSWER_WEIGHT * (size - known)

    def _credit_wants(self) -> dict[ids.ServiceId, int]:
        """Credits to ask for: those missed lately, and a small reserve."""
        wants: dict[ids.ServiceId, int] = {}
        shares = self._allotments.away_share_by_route
        for route, share in shares.items():
            service = self._directory.service_of(route)
            if share > 0 and service is not None:
                wants[service] = 2 + self._credit_misses[service]
        self._credit_misses.clear()
        return wants
