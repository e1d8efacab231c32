"""Counts requests against customers' rates, locally or at a rate owner.

Divided over many entries, a small customer's rate comes to less than one
request per entry, so that chance decides which requests are refused. Such a
rate is pooled: in each region two rate owners, the same for all its entries,
hold the region's share, and the other entries ask them for every request. A
region without tokens at the moment may borrow one from another region.
"""

import asyncio
from collections import abc
import itertools
import random

import msgspec

from chicorydoor.coordination import plan_keeper
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import rendezvous
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import nng_transport

# No heartbeats have arrived right after the start. Until there was time for
# one or two, all registered entries of the region may be rate owners.
_STARTUP_S = 2.0
# A rate that comes to less than this per entry is pooled: fewer requests per
# second arrive too irregularly for a token bucket of their own.
_MIN_LOCAL_RATE_PER_S = 2.0
# Rate owners of a customer in a region: if one fails, the other remains.
_OWNERS_PER_REGION = 2
# An answer from the same region takes a few milliseconds; the rest allows for
# busy entries.
_ANSWER_TIMEOUT_S = 0.1
# The same for another region, whose entry asks two rate owners in turn.
_OTHER_REGION_ANSWER_TIMEOUT_S = 0.5
# A rate owner that did not answer is asked last for this long.
_SUSPECT_S = 1.0


class Grant(msgspec.Struct, frozen=True):
    """The result of counting a request.

    Args:
        wait_s (float): 0 if a token was acquired, else seconds until one
            will be available.
        holder (str): ``ip:port`` of the entry that gave the token; empty for
            this entry. Defaults to empty.
        is_answered (bool): Whether any rate owner was reached. Defaults to
            True.
        share_by_instance (dict): Rate share, 0 to 1, of each entry that was
            asked. Defaults to none.
    """

    wait_s: float
    holder: str = ""
    is_answered: bool = True
    share_by_instance: dict[ids.InstanceId, float] = {}


class RateDesk:
    """Acquires tokens locally or at rate owners, and serves peers' requests.

    Args:
        fleet (FleetView): The known entries.
        rates (RateShares): This entry's shares of the customers' rates.
        plans (PlanKeeper): Holds the active configuration.
        link (PeerTransport): Transport of messages between entries.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        rates: rate_shares.RateShares,
        plans: plan_keeper.PlanKeeper,
        link: nng_transport.PeerTransport,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._rates = rates
        self._plans = plans
        self._link = link
        self._clock = clock
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._pending_answer_by_number: dict[
            int, asyncio.Future[fleet_messages.RateAnswer]
        ] = {}
        self._answer_tasks: set[asyncio.Task] = set()
        self._suspect_until_by_address: dict[str, float] = {}
        self._started_at = clock.now()
        self._candidates: list[fleet_view.Registration] = [fleet.me]
        self._owners_by_customer: dict[
            ids.CustomerId, list[fleet_view.Registration]
        ] = {}

    # Rate owners and fair shares.

    def refresh(self) -> None:
        """Update the entries of the region that may be rate owners."""
        now = self._clock.now()
        peers = self._fleet.ready_mates(now)
        if now - self._started_at < _STARTUP_S:
            peers = [member.registration for member in self._fleet.mates()]
        candidates = sorted(
            [*peers, self._fleet.me], key=lambda entry: entry.instance
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._owners_by_customer.clear()

    def is_pooled(self, customer: serving.CustomerRule) -> bool:
        """Whether the rate is too small to divide over all entries."""
        return customer.rate_per_s / self._fleet.size < _MIN_LOCAL_RATE_PER_S

    def own(self, customer: serving.CustomerRule) -> float:
        """Return this entry's share of a rate that nobody uses, 0 to 1."""
        return self._fair_share(customer, self._fleet.me.instance)

    def of(
        self,
        customer: serving.CustomerRule,
        others: rate_shares.Reported,
    ) -> float:
        """Return the share of other entries of a rate that nobody uses."""
        if others.instance is not None:
            return self._fair_share(customer, others.instance)
        if self.is_pooled(customer):
            return 1.0 / self._region_count()
        return others.members / self._fleet.size

    def _fair_share(
        self, customer: serving.CustomerRule, instance: ids.InstanceId
    ) -> float:
        if not self.is_pooled(customer):
            return 1.0 / self._fleet.size
        owners = self._rate_owners(customer.customer_id)
        if instance not in [owner.instance for owner in owners]:
            return 0.0
        return 1.0 / (self._region_count() * len(owners))

    def _region_count(self) -> int:
        return 1 + len(self._fleet.far_regions())

    def _rate_owners(
        self, customer_id: ids.CustomerId
    ) -> list[fleet_view.Registration]:
        owners = self._owners_by_customer.get(customer_id)
        if owners is None:
            owners = _choose_owners(customer_id, self._candidates)
            self._owners_by_customer[customer_id] = owners
        return owners

    # Acquiring and releasing tokens.

    async def take(self, customer: serving.CustomerRule) -> Grant:
        """Count a request where its customer's rate is held.

        Returns:
            The result; its wait_s is above 0 if the request is over the
            rate.
        """
        if customer.rate_per_s <= 0 or not self.is_pooled(customer):
            return self._acquire_locally(customer)
        grant = await self._acquire_in_region(customer)
        if grant.wait_s > 0 and not self._rates.is_in_demand(customer):
            lent = await self._borrow_elsewhere(customer)
            return lent or grant
        return grant

    async def _acquire_in_region(
        self, customer: serving.CustomerRule
    ) -> Grant:
        """Count a request at a rate owner of the own region."""
        rejected: list[Grant] = []
        for owner in self._owners_in_order(customer.customer_id):
            if owner == self._fleet.me:
                grant = self._acquire_locally(customer)
            else:
                grant = await self._request_token(
                    owner, customer, _ANSWER_TIMEOUT_S
                )
            if grant is not None and grant.wait_s == 0:
                return grant
            if grant is not None:
                rejected.append(grant)
        if not rejected:
            local = self._acquire_locally(customer)
            return msgspec.structs.replace(local, is_answered=False)
        return Grant(
            min(rejection.wait_s for rejection in rejected),
            share_by_instance={
                instance: share
                for rejection in rejected
                for instance, share in rejection.share_by_instance.items()
            },
        )

    async def _borrow_elsewhere(
        self, customer: serving.CustomerRule
    ) -> Grant | None:
        """Count a request in another region; None if no token is free."""
        region = self._fleet.me.region
        remote_entries = [
            entry
            for entry in self._fleet.ready(self._clock.now())
            if entry.region != region
        ]
        if not remote_entries:
            return None
        lender = self._rng.choice(remote_entries)
        grant = await self._request_token(
            lender, customer, _OTHER_REGION_ANSWER_TIMEOUT_S
        )
        return grant if grant is not None and grant.wait_s == 0 else None

    def _acquire_locally(self, customer: serving.CustomerRule) -> Grant:
        wait_s = self._rates.take(customer, self._clock.now())
        share = self._rates.share(customer.customer_id)
        return Grant(
            wait_s, share_by_instance={self._fleet.me.instance: share}
        )

    def give_back(self, customer: serving.CustomerRule, grant: Grant) -> None:
        """Release the token of a counted request that did not run."""
        if not grant.holder:
            self._rates.give_back(customer, self._clock.now())
            return
        message = fleet_messages.RateReturn(customer.customer_id)
        self._link.send(grant.holder, fleet_messages.encode(message))

    def _owners_in_order(
        self, customer_id: ids.CustomerId
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
                owner != self._fleet.me,
                self._rng.random(),
            )

        return sorted(self._rate_owners(customer_id), key=sort_key)

    async def _request_token(
        self,
        owner: fleet_view.Registration,
        customer: serving.CustomerRule,
        timeout_s: float,
    ) -> Grant | None:
        """Count a request at another entry.

        Args:
            owner (Registration): The entry.
            customer (CustomerRule): The request's customer.
            timeout_s (float): Time limit in seconds.

        Returns:
            The result; None if there was no answer in time, or the entry
            does not know the customer.
        """
        number = next(self._request_numbers)
        pending = asyncio.get_running_loop().create_future()
        self._pending_answer_by_number[number] = pending
        ask = fleet_messages.RateAsk(
            number,
            customer.customer_id,
            self._fleet.me.peer_address,
            is_far=owner.region != self._fleet.me.region,
        )
        self._link.send(owner.peer_address, fleet_messages.encode(ask))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await pending
        except TimeoutError:
            metrics.RATE_OWNER_TIMEOUTS.inc()
            until = self._clock.now() + _SUSPECT_S
            self._suspect_until_by_address[owner.peer_address] = until
            return None
        finally:
            del self._pending_answer_by_number[number]
        if answer.wait_s is None:
            return None
        return Grant(
            answer.wait_s,
            owner.peer_address,
            share_by_instance={owner.instance: answer.share},
        )

    # Messages from peers.

    def answer(self, ask: fleet_messages.RateAsk) -> None:
        """Handle a peer's request to count one of its requests."""
        customer = self._plans.plan.customer_by_id.get(ask.customer_id)
        if customer is None:
            self._send_answer(ask, None)
        elif ask.is_far:
            task = asyncio.create_task(
                self._answer_other_region(ask, customer)
            )
            self._answer_tasks.add(task)
            task.add_done_callback(self._answer_tasks.discard)
        else:
            self._send_answer(ask, self._acquire_locally(customer))

    async def _answer_other_region(
        self, ask: fleet_messages.RateAsk, customer: serving.CustomerRule
    ) -> None:
        self._send_answer(ask, await self._acquire_in_region(customer))

    def _send_answer(
        self, ask: fleet_messages.RateAsk, grant: Grant | None
    ) -> None:
        message = fleet_messages.RateAnswer(
            ask.number,
            None if grant is None else grant.wait_s,
            self._rates.share(ask.customer_id),
        )
        self._link.send(ask.reply_address, fleet_messages.encode(message))

    def take_answer(self, message: fleet_messages.RateAnswer) -> None:
        """Handle a peer's answer."""
        answer = self._pending_answer_by_number.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message)

    def take_return(self, message: fleet_messages.RateReturn) -> None:
        """Release the token of a peer's request that did not run."""
        customer = self._plans.plan.customer_by_id.get(message.customer_id)
        if customer is not None:
            self._rates.give_back(customer, self._clock.now())


def _choose_owners(
    customer_id: ids.CustomerId,
    candidates: abc.Iterable[fleet_view.Registration],
) -> list[fleet_view.Registration]:
    """Return the rate owners of a customer by rendezvous hashing.

    The second one is of another failure domain if there is any.
    """
    ranked = rendezvous.ranked(
        customer_id.encode(), candidates, lambda entry: entry.instance
    )
    first = ranked[0]
    in_other_domains = [
        candidate for candidate in ranked if candidate.domain != first.domain
    ]
    return [first, *in_other_domains, *ranked[1:]][:_OWNERS_PER_REGION]
