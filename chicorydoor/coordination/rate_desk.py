"""Counts requests against customers' rates, here or at a desk of the region.

Pattern: divided over many entries, the rate of a small customer is less than
one request at each, and chance decides who is refused. Such a rate is pooled:
in each region two desks, the same for all its entries, hold what the region
has of it, and the other entries ask them for each request. What one region
lacks for the moment another may have.
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
from chicorydoor.transport import nng_link

# Right after the start nobody has been heard; all registered entries of the
# region may be desks until they had time for a heartbeat or two.
_UNHEARD_S = 2.0
# Below this an entry's part of a rate is pooled: fewer requests a second
# come too irregularly for a bucket of their own.
_LEAST_OWN_PER_S = 2.0
# Desks of a customer in a region: the loss of one leaves the other.
_DESKS = 2
# An answer from the same region takes a few milliseconds; the rest is for
# entries that are busy.
_ANSWER_S = 0.1
# The same from another region, whose entry asks two desks of its own.
_FAR_ANSWER_S = 0.5
# A desk that did not answer is asked last for this long.
_DOUBT_S = 1.0


class Grant(msgspec.Struct, frozen=True):
    """The result of counting a request.

    Args:
        wait_s (float): 0 if there is room, else seconds until there is.
        holder (str): ``ip:port`` of the desk; empty for the own entry.
            Defaults to empty.
        is_answered (bool): Whether anybody who holds the rate was reached.
            Defaults to True.
        share_by_instance (dict): Parts of the rate at those who refused.
    """

    wait_s: float
    holder: str = ""
    is_answered: bool = True
    share_by_instance: dict[ids.InstanceId, float] = {}


class RateDesk:
    """The rates that one entry holds for its region, and those it asks for.

    Args:
        fleet (FleetView): The entries.
        rates (RateShares): The own shares of the customers' rates.
        plans (PlanKeeper): The configuration.
        link (PeerLink): Moves messages between entries.
        clock (Clock): Time.
        rng (Random): Randomness.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        rates: rate_shares.RateShares,
        plans: plan_keeper.PlanKeeper,
        link: nng_link.PeerLink,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._rates = rates
        self._plans = plans
        self._link = link
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._answer_by_number: dict[
            int, asyncio.Future[fleet_messages.RateAnswer]
        ] = {}
        self._answering: set[asyncio.Task] = set()
        self._doubted_until_by_address: dict[str, float] = {}
        self._started_at = clock.now()
        self._candidates: list[fleet_view.Registration] = [fleet.me]
        self._desks_by_customer: dict[
            ids.CustomerId, list[fleet_view.Registration]
        ] = {}

    # Who holds what.

    def refresh(self) -> None:
        """Take in which entries of the region are there."""
        now = self._clock.now()
        mates = self._fleet.ready_mates(now)
        if now - self._started_at < _UNHEARD_S:
            mates = [member.registration for member in self._fleet.mates()]
        candidates = sorted(
            [*mates, self._fleet.me], key=lambda entry: entry.instance
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._desks_by_customer.clear()

    def is_pooled(self, customer: serving.CustomerRule) -> bool:
        """Whether the rate is too small to be divided over all entries."""
        return customer.rate_per_s / self._fleet.size < _LEAST_OWN_PER_S

    def own(self, customer: serving.CustomerRule) -> float:
        """The own part of a rate, as long as nobody has any demand."""
        return self._fair_part(customer, self._fleet.me.instance)

    def of(
        self,
        customer: serving.CustomerRule,
        others: rate_shares.Reported,
    ) -> float:
        """The part of some other entries, as long as nobody has demand."""
        if others.instance is not None:
            return self._fair_part(customer, others.instance)
        if self.is_pooled(customer):
            return 1.0 / self._regions()
        return others.members / self._fleet.size

    def _fair_part(
        self, customer: serving.CustomerRule, instance: ids.InstanceId
    ) -> float:
        if not self.is_pooled(customer):
            return 1.0 / self._fleet.size
        desks = self._desks(customer.customer_id)
        if instance not in [desk.instance for desk in desks]:
            return 0.0
        return 1.0 / (self._regions() * len(desks))

    def _regions(self) -> int:
        return 1 + len(self._fleet.far_regions())

    def _desks(
        self, customer_id: ids.CustomerId
    ) -> list[fleet_view.Registration]:
        desks = self._desks_by_customer.get(customer_id)
        if desks is None:
            desks = _choose_desks(customer_id, self._candidates)
            self._desks_by_customer[customer_id] = desks
        return desks

    # Counting.

    async def take(self, customer: serving.CustomerRule) -> Grant:
        """Count a request where its customer's rate is held."""
        if customer.rate_per_s <= 0 or not self.is_pooled(customer):
            return self._take_here(customer)
        grant = await self._take_near(customer)
        if grant.wait_s > 0 and not self._rates.is_in_demand(customer):
            lent = await self._borrow(customer)
            return lent or grant
        return grant

    async def _take_near(self, customer: serving.CustomerRule) -> Grant:
        """Count a request at a desk of the own region."""
        refusals: list[Grant] = []
        for desk in self._ordered_desks(customer.customer_id):
            if desk == self._fleet.me:
                grant = self._take_here(customer)
            else:
                grant = await self._ask(desk, customer, _ANSWER_S)
            if grant is not None and grant.wait_s == 0:
                return grant
            if grant is not None:
                refusals.append(grant)
        if not refusals:
            here = self._take_here(customer)
            return msgspec.structs.replace(here, is_answered=False)
        return Grant(
            min(refusal.wait_s for refusal in refusals),
            share_by_instance={
                instance: share
                for refusal in refusals
                for instance, share in refusal.share_by_instance.items()
            },
        )

    async def _borrow(self, customer: serving.CustomerRule) -> Grant | None:
        """Count a request in another region; None if there is no room."""
        region = self._fleet.me.region
        far = [
            entry
            for entry in self._fleet.ready(self._clock.now())
            if entry.region != region
        ]
        if not far:
            return None
        lender = self._rng.choice(far)
        grant = await self._ask(lender, customer, _FAR_ANSWER_S)
        return grant if grant is not None and grant.wait_s == 0 else None

    def _take_here(self, customer: serving.CustomerRule) -> Grant:
        wait_s = self._rates.take(customer, self._clock.now())
        share = self._rates.share(customer.customer_id)
        return Grant(
            wait_s, share_by_instance={self._fleet.me.instance: share}
        )

    def give_back(self, customer: serving.CustomerRule, grant: Grant) -> None:
        """A counted request did not run."""
        if not grant.holder:
            self._rates.give_back(customer, self._clock.now())
            return
        message = fleet_messages.RateReturn(customer.customer_id)
        self._link.send(grant.holder, fleet_messages.encode(message))

    def _ordered_desks(
        self, customer_id: ids.CustomerId
    ) -> list[fleet_view.Registration]:
        """The own entry first, doubted ones last, the rest at random."""
        now = self._clock.now()
        doubted = self._doubted_until_by_address

        def order(desk: fleet_view.Registration) -> tuple[bool, bool, float]:
            return (
                doubted.get(desk.peer_address, 0.0) > now,
                desk != self._fleet.me,
                self._rng.random(),
            )

        return sorted(self._desks(customer_id), key=order)

    async def _ask(
        self,
        desk: fleet_view.Registration,
        customer: serving.CustomerRule,
        patience_s: float,
    ) -> Grant | None:
        """What another entry says; None if it cannot tell."""
        number = next(self._numbers)
        coming = asyncio.get_running_loop().create_future()
        self._answer_by_number[number] = coming
        ask = fleet_messages.RateAsk(
            number,
            customer.customer_id,
            self._fleet.me.peer_address,
            is_far=desk.region != self._fleet.me.region,
        )
        self._link.send(desk.peer_address, fleet_messages.encode(ask))
        try:
            async with asyncio.timeout(patience_s):
                answer = await coming
        except TimeoutError:
            metrics.RATE_DESKS_SILENT.inc()
            until = self._clock.now() + _DOUBT_S
            self._doubted_until_by_address[desk.peer_address] = until
            return None
        finally:
            del self._answer_by_number[number]
        if answer.wait_s is None:
            return None
        return Grant(
            answer.wait_s,
            desk.peer_address,
            share_by_instance={desk.instance: answer.share},
        )

    # Messages of the region's entries.

    def answer(self, ask: fleet_messages.RateAsk) -> None:
        """Count a request for another entry."""
        customer = self._plans.plan.customer_by_id.get(ask.customer_id)
        if customer is None:
            self._reply(ask, None)
        elif ask.is_far:
            task = asyncio.create_task(self._answer_far(ask, customer))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)
        else:
            self._reply(ask, self._take_here(customer))

    async def _answer_far(
        self, ask: fleet_messages.RateAsk, customer: serving.CustomerRule
    ) -> None:
        self._reply(ask, await self._take_near(customer))

    def _reply(self, ask: fleet_messages.RateAsk, grant: Grant | None) -> None:
        message = fleet_messages.RateAnswer(
            ask.number,
            None if grant is None else grant.wait_s,
            self._rates.share(ask.customer_id),
        )
        self._link.send(ask.reply_address, fleet_messages.encode(message))

    def take_answer(self, message: fleet_messages.RateAnswer) -> None:
        """A desk has answered."""
        answer = self._answer_by_number.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message)

    def take_return(self, message: fleet_messages.RateReturn) -> None:
        """A request that was counted here did not run."""
        customer = self._plans.plan.customer_by_id.get(message.customer_id)
        if customer is not None:
            self._rates.give_back(customer, self._clock.now())


def _choose_desks(
    customer_id: ids.CustomerId,
    candidates: abc.Iterable[fleet_view.Registration],
) -> list[fleet_view.Registration]:
    """The first by rendezvous hashing, and the first of another domain."""
    ranked = rendezvous.ranked(
        customer_id.encode(), candidates, lambda entry: entry.instance
    )
    first = ranked[0]
    elsewhere = [each for each in ranked if each.domain != first.domain]
    return [first, *elsewhere, *ranked[1:]][:_DESKS]
