"""Counts requests against customers' rates, locally or at a rate owner.

Divided over many entries, a small customer's rate comes to less than one
request per entry, so that chance decides which requests are refused. Such a
rate is pooled: in each region two rate owners, the same for all its entries,
hold the region's share, and the other entries ask them for every request. A
region without tokens at the moment may borrow one from another region.

The parts of a larger rate follow the demand, but the callers of one entry come
and go faster than that. Where lending is on, an entry without a token asks
region peers that announced more rate than demand before it refuses a request.
"""

import asyncio
from collections import abc
import itertools
import random

import msgspec

from chicorydoor.coordination import active_serving_config
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import rendezvous
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import nng_transport

# No heartbeats have arrived right after the start. For this long, enough for
# one or two of them, all registered entries of the region may be rate owners.
_STARTUP_S = 2.0
# A rate that comes to less than this per entry is pooled: fewer requests per
# second arrive too irregularly for a token bucket of their own.
_MIN_LOCAL_RATE_PER_S = 2.0
# Rate owners of a customer in a region: if one fails, the other remains.
_OWNERS_PER_REGION = 2
# A reply from the same region takes a few milliseconds; the rest allows for
# busy entries.
_REPLY_TIMEOUT_S = 0.1
# The same for another region, whose entry asks two rate owners in turn.
_OTHER_REGION_REPLY_TIMEOUT_S = 0.5
# Peers that are asked in turn for a token of a rate that is not pooled. Each
# one costs a round trip within the region.
_MAX_LENDERS = 3
# Part of its rate that a peer is assumed to leave unused, whatever it
# announces: its demand is averaged over seconds, and callers may have left.
_MIN_UNUSED_FRACTION = 0.2
# A rate owner that did not reply is asked last for this long.
_SUSPECT_S = 1.0


class RateDecision(msgspec.Struct, frozen=True):
    """The result of acquiring a token for a request.

    Args:
        wait_s (float): 0 if a token was acquired, else seconds until one
            will be available.
        owner_address (str): ``ip:port`` of the entry that was asked for the
            token and to which it is released; empty for this entry. In
            another region that entry need not be a rate owner itself.
            Defaults to empty.
        is_decided (bool): False if no rate owner replied, so that only this
            entry's own share was used. Defaults to True.
        rate_share_by_instance (dict): The own rate share, 0 to 1, of each
            entry that was asked. Defaults to none.
    """

    wait_s: float
    owner_address: str = ""
    is_decided: bool = True
    rate_share_by_instance: dict[ids.InstanceId, float] = {}


class RatePeek(msgspec.Struct, frozen=True):
    """What acquiring a token would come to, as far as this entry knows.

    Args:
        wait_s (float): Seconds until this entry has a token; 0 if it has one.
        tokens (float): Its tokens at the moment.
        share (float): Its rate share, 0 to 1.
        is_pooled (bool): Whether the region's rate owners hold the rate.
        is_near_limit (bool): Whether the fleet's demand is near the rate, so
            that other entries are not asked to lend a token.
        is_granted (bool): Whether a token would be acquired here.
        asked (tuple): Entries that would be asked in turn, until one gives a
            token.
    """

    wait_s: float
    tokens: float
    share: float
    is_pooled: bool
    is_near_limit: bool
    is_granted: bool
    asked: tuple[ids.InstanceId, ...]


class RateLimiter:
    """Acquires tokens locally or at rate owners, and serves peers' requests.

    Args:
        fleet (FleetView): The known entries.
        shares (RateShares): This entry's shares of the customers' rates.
        active_config (ActiveServingConfig): Holds the active configuration.
        link (PeerTransport): Transport of messages between entries.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
        may_borrow (callable): Returns whether to ask peers for tokens of rates
            that are not pooled. Defaults to never.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        shares: rate_shares.RateShares,
        active_config: active_serving_config.ActiveServingConfig,
        link: nng_transport.PeerTransport,
        clock: clock_module.Clock,
        rng: random.Random,
        may_borrow: abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self.may_borrow = may_borrow
        self._fleet = fleet
        self._shares = shares
        self._active_config = active_config
        self._link = link
        self._clock = clock
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._pending_reply_by_number: dict[
            int, asyncio.Future[gossip_messages.RateTokenReply]
        ] = {}
        self._reply_tasks: set[asyncio.Task] = set()
        self._suspect_until_by_address: dict[str, float] = {}
        self._started_at = clock.now()
        self._candidates: list[fleet_view.Registration] = [
            fleet.own_registration
        ]
        self._owners_by_customer: dict[
            ids.CustomerId, list[fleet_view.Registration]
        ] = {}

    # Rate owners and fair shares.

    def restart_startup(self) -> None:
        """Count as starting from now on: no peers could be heard so far."""
        self._started_at = self._clock.now()

    def update_candidates(self) -> None:
        """Update the entries of the region that may be rate owners."""
        now = self._clock.now()
        peers = self._fleet.ready_region_peers(now)
        if now - self._started_at < _STARTUP_S:
            peers = [peer.registration for peer in self._fleet.region_peers()]
        candidates = sorted(
            [*peers, self._fleet.own_registration],
            key=lambda entry: entry.instance,
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._owners_by_customer.clear()

    def is_pooled(self, customer: serving_config.CustomerConfig) -> bool:
        """Whether the rate is too small to divide over all entries."""
        return (
            customer.rate_per_s / self._fleet.entry_count
            < _MIN_LOCAL_RATE_PER_S
        )

    def own_share(self, customer: serving_config.CustomerConfig) -> float:
        """Return this entry's share while no entry has demand, 0 to 1."""
        return self._fair_share(
            customer, self._fleet.own_registration.instance
        )

    def peers_share(
        self,
        customer: serving_config.CustomerConfig,
        others: rate_shares.AnnouncedRates,
    ) -> float:
        """Return the share of other entries while no entry has demand.

        Args:
            customer (CustomerConfig): The customer whose rate is shared.
            others (AnnouncedRates): One entry of the own region if it has
                an instance, else all entries of another region.

        Returns:
            The sum of their shares, 0 to 1.
        """
        if others.instance is not None:
            return self._fair_share(customer, others.instance)
        if self.is_pooled(customer):
            return 1.0 / self._region_count()
        return others.peer_count / self._fleet.entry_count

    def holders(
        self, customer: serving_config.CustomerConfig
    ) -> abc.Collection[ids.InstanceId] | None:
        """Return the region's rate owners; None if the rate is not pooled."""
        if not self.is_pooled(customer):
            return None
        owners = self._rate_owners(customer.customer_id)
        return [owner.instance for owner in owners]

    def _fair_share(
        self, customer: serving_config.CustomerConfig, instance: ids.InstanceId
    ) -> float:
        owners = self.holders(customer)
        if owners is None:
            return 1.0 / self._fleet.entry_count
        if instance not in owners:
            return 0.0
        return 1.0 / (self._region_count() * len(owners))

    def _region_count(self) -> int:
        return 1 + len(self._fleet.peers_by_remote_region())

    def _rate_owners(
        self, customer_id: ids.CustomerId
    ) -> list[fleet_view.Registration]:
        owners = self._owners_by_customer.get(customer_id)
        if owners is None:
            owners = _choose_owners(customer_id, self._candidates)
            self._owners_by_customer[customer_id] = owners
        return owners

    # Acquiring and releasing tokens.

    async def acquire(
        self, customer: serving_config.CustomerConfig
    ) -> RateDecision:
        """Acquire a token for a request, locally or from a rate owner.

        Returns:
            The decision; its wait_s is above 0 if the request is over the
            rate.
        """
        # A rate of 0 means no limit.
        if customer.rate_per_s <= 0:
            return self._acquire_locally(customer)
        is_pooled = self.is_pooled(customer)
        if is_pooled:
            decision = await self._acquire_in_region(customer)
        else:
            decision = self._acquire_locally(customer)
        # Near the rate's limit no other entry has tokens to spare.
        if decision.wait_s <= 0 or self._shares.is_near_rate_limit(customer):
            return decision
        lent = None
        if not is_pooled:
            if not self.may_borrow():
                return decision
            lent = await self._borrow_in_region(customer)
        lent = lent or await self._borrow_elsewhere(customer)
        return lent or decision

    def peek(
        self, customer: serving_config.CustomerConfig, rng: random.Random
    ) -> RatePeek:
        """Return what ``acquire`` would do, without a message or a change.

        Args:
            customer (CustomerConfig): The request's customer.
            rng (Random): Source of random numbers, a copy of the own one for
                the same order of the entries asked.
        """
        wait_s, tokens = self._shares.peek(customer, self._clock.now())
        has_limit = customer.rate_per_s > 0
        is_pooled = has_limit and self.is_pooled(customer)
        is_near_limit = has_limit and self._shares.is_near_rate_limit(customer)
        own = self._fleet.own_registration
        asked: list[fleet_view.Registration] = []
        is_granted = wait_s <= 0
        if is_pooled:
            owners = self._owners_in_order(customer.customer_id, rng)
            is_granted = is_granted and owners[0] == own
            asked = [owner for owner in owners if owner != own]
        if is_granted:
            asked = []
        elif not is_near_limit and (is_pooled or self.may_borrow()):
            if not is_pooled:
                asked = self._choose_lenders(customer, rng)
            asked += self._choose_in_other_regions(rng)
        return RatePeek(
            wait_s,
            tokens,
            self._shares.share(customer.customer_id),
            is_pooled,
            is_near_limit,
            is_granted,
            tuple(entry.instance for entry in asked),
        )

    async def _borrow_in_region(
        self, customer: serving_config.CustomerConfig
    ) -> RateDecision | None:
        """Acquire a token from region peers with more rate than demand.

        Returns:
            The decision; None if none of the peers asked gave a token.
        """
        for lender in self._choose_lenders(customer, self._rng):
            decision = await self._request_token(
                lender, customer, _REPLY_TIMEOUT_S, is_demand=False
            )
            if decision is not None and decision.wait_s == 0:
                metrics.BORROWED_RATE_TOKENS.inc()
                return decision
        return None

    def _choose_lenders(
        self, customer: serving_config.CustomerConfig, rng: random.Random
    ) -> list[fleet_view.Registration]:
        """Choose peers at random in proportion to their unused rate."""
        now = self._clock.now()
        unused_by_instance: dict[ids.InstanceId, float] = {}
        for peer in self._fleet.live_region_peers(now):
            report = (peer.rate_by_customer or {}).get(customer.customer_id)
            address = peer.registration.peer_address
            if report is None or (
                self._suspect_until_by_address.get(address, 0.0) > now
            ):
                continue
            rate_per_s = report.share * customer.rate_per_s
            if rate_per_s <= 0:
                continue
            unused_by_instance[peer.registration.instance] = max(
                rate_per_s - report.demand_per_s,
                _MIN_UNUSED_FRACTION * rate_per_s,
            )
        lenders = []
        while unused_by_instance and len(lenders) < _MAX_LENDERS:
            (chosen,) = rng.choices(
                list(unused_by_instance), list(unused_by_instance.values())
            )
            del unused_by_instance[chosen]
            lenders.append(self._fleet.peer_by_instance[chosen].registration)
        return lenders

    async def _acquire_in_region(
        self,
        customer: serving_config.CustomerConfig,
        *,
        is_demand: bool = True,
    ) -> RateDecision:
        """Acquire a token from a rate owner of the own region.

        Args:
            customer (CustomerConfig): The request's customer.
            is_demand (bool): Whether the first owner that replies counts the
                request as demand. Defaults to True.
        """
        rejected: list[RateDecision] = []
        for owner in self._owners_in_order(customer.customer_id, self._rng):
            if owner == self._fleet.own_registration:
                decision = self._acquire_locally(customer, is_demand)
            else:
                decision = await self._request_token(
                    owner, customer, _REPLY_TIMEOUT_S, is_demand=is_demand
                )
            if decision is not None and decision.wait_s == 0:
                return decision
            if decision is not None:
                rejected.append(decision)
                is_demand = False
        if not rejected:
            local = self._acquire_locally(customer)
            return msgspec.structs.replace(local, is_decided=False)
        return RateDecision(
            min(rejection.wait_s for rejection in rejected),
            rate_share_by_instance={
                instance: share
                for rejection in rejected
                for instance, share in rejection.rate_share_by_instance.items()
            },
        )

    async def _borrow_elsewhere(
        self, customer: serving_config.CustomerConfig
    ) -> RateDecision | None:
        """Acquire a token from another region; None if none gave one.

        The regions are asked in random order until one does not reply.
        """
        for lender in self._choose_in_other_regions(self._rng):
            decision = await self._request_token(
                lender,
                customer,
                _OTHER_REGION_REPLY_TIMEOUT_S,
                is_demand=False,
            )
            if decision is None or decision.wait_s == 0:
                return decision
        return None

    def _choose_in_other_regions(
        self, rng: random.Random
    ) -> abc.Iterator[fleet_view.Registration]:
        """Yield a random ready entry of each other region, in random order."""
        own_region = self._fleet.own_registration.region
        entries_by_region: dict[
            ids.RegionId, list[fleet_view.Registration]
        ] = {}
        for entry in self._fleet.ready_peers(self._clock.now()):
            if entry.region != own_region:
                entries_by_region.setdefault(entry.region, []).append(entry)
        regions = list(entries_by_region)
        rng.shuffle(regions)
        for region in regions:
            yield rng.choice(entries_by_region[region])

    def _acquire_locally(
        self, customer: serving_config.CustomerConfig, is_demand: bool = True
    ) -> RateDecision:
        wait_s = self._shares.acquire(
            customer, self._clock.now(), is_demand=is_demand
        )
        share = self._shares.share(customer.customer_id)
        return RateDecision(
            wait_s,
            rate_share_by_instance={
                self._fleet.own_registration.instance: share
            },
        )

    def release(
        self, customer: serving_config.CustomerConfig, decision: RateDecision
    ) -> None:
        """Release the token of a request that did not run."""
        if not decision.owner_address:
            self._shares.release(customer, self._clock.now())
            return
        message = gossip_messages.RateTokenRelease(customer.customer_id)
        self._link.send(
            decision.owner_address, gossip_messages.encode(message)
        )

    def _owners_in_order(
        self, customer_id: ids.CustomerId, rng: random.Random
    ) -> list[fleet_view.Registration]:
        """Return a customer's rate owners in the order to ask them.

        This entry comes first, suspect owners last, the rest at random.
        """
        now = self._clock.now()
        suspect_until = self._suspect_until_by_address

        def sort_key(
            owner: fleet_view.Registration,
        ) -> tuple[bool, bool, float]:
            return (
                suspect_until.get(owner.peer_address, 0.0) > now,
                owner != self._fleet.own_registration,
                rng.random(),
            )

        return sorted(self._rate_owners(customer_id), key=sort_key)

    async def _request_token(
        self,
        owner: fleet_view.Registration,
        customer: serving_config.CustomerConfig,
        timeout_s: float,
        *,
        is_demand: bool,
    ) -> RateDecision | None:
        """Request a token from another entry.

        Args:
            owner (Registration): The entry: a rate owner, or any entry of
                another region.
            customer (CustomerConfig): The request's customer.
            timeout_s (float): Time limit in seconds.
            is_demand (bool): Whether the entry counts the request as demand.

        Returns:
            The decision; None if there was no reply in time, or the entry
            does not know the customer.
        """
        number = next(self._request_numbers)
        pending = asyncio.get_running_loop().create_future()
        self._pending_reply_by_number[number] = pending
        request = gossip_messages.RateTokenRequest(
            number,
            customer.customer_id,
            self._fleet.own_registration.peer_address,
            is_far=owner.region != self._fleet.own_registration.region,
            is_repeated=not is_demand,
        )
        self._link.send(owner.peer_address, gossip_messages.encode(request))
        try:
            async with asyncio.timeout(timeout_s):
                reply = await pending
        except TimeoutError:
            metrics.RATE_OWNER_TIMEOUTS.inc()
            until = self._clock.now() + _SUSPECT_S
            self._suspect_until_by_address[owner.peer_address] = until
            return None
        finally:
            del self._pending_reply_by_number[number]
        if reply.wait_s is None:
            return None
        return RateDecision(
            reply.wait_s,
            owner.peer_address,
            rate_share_by_instance={owner.instance: reply.share},
        )

    # Messages from peers.

    def handle_request(
        self, request: gossip_messages.RateTokenRequest
    ) -> None:
        """Handle a peer's request for a token."""
        customer = self._active_config.current.customer_by_id.get(
            request.customer_id
        )
        if customer is None:
            self._send_reply(request, None)
        elif request.is_far:
            task = asyncio.create_task(
                self._reply_to_other_region(request, customer)
            )
            self._reply_tasks.add(task)
            task.add_done_callback(self._reply_tasks.discard)
        else:
            decision = self._acquire_locally(customer, not request.is_repeated)
            self._send_reply(request, decision)

    async def _reply_to_other_region(
        self,
        request: gossip_messages.RateTokenRequest,
        customer: serving_config.CustomerConfig,
    ) -> None:
        is_demand = not request.is_repeated
        if self.is_pooled(customer) or not self.may_borrow():
            decision = await self._acquire_in_region(
                customer, is_demand=is_demand
            )
        else:
            decision = self._acquire_locally(customer, is_demand)
            if decision.wait_s > 0:
                decision = await self._borrow_in_region(customer) or decision
        self._send_reply(request, decision)

    def _send_reply(
        self,
        request: gossip_messages.RateTokenRequest,
        decision: RateDecision | None,
    ) -> None:
        message = gossip_messages.RateTokenReply(
            request.number,
            None if decision is None else decision.wait_s,
            self._shares.share(request.customer_id),
        )
        self._link.send(request.reply_address, gossip_messages.encode(message))

    def handle_reply(self, message: gossip_messages.RateTokenReply) -> None:
        """Handle a peer's reply."""
        pending = self._pending_reply_by_number.get(message.number)
        if pending is not None and not pending.done():
            pending.set_result(message)

    def handle_release(
        self, message: gossip_messages.RateTokenRelease
    ) -> None:
        """Release the token of a peer's request that did not run."""
        customer = self._active_config.current.customer_by_id.get(
            message.customer_id
        )
        if customer is not None:
            self._shares.release(customer, self._clock.now())


def _choose_owners(
    customer_id: ids.CustomerId,
    candidates: abc.Iterable[fleet_view.Registration],
) -> list[fleet_view.Registration]:
    """Return the rate owners of a customer by rendezvous hashing.

    The second one is of another failure domain if there is any.
    """
    ranked = rendezvous.rank(
        customer_id.encode(), candidates, lambda entry: entry.instance
    )
    first = ranked[0]
    in_other_domains = [
        candidate for candidate in ranked if candidate.domain != first.domain
    ]
    return [first, *in_other_domains, *ranked[1:]][:_OWNERS_PER_REGION]
