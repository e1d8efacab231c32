"""What the coordinators of two failure domains settle with each other.

Every coordinator calls those of the other failure domains. An exchange
carries summaries both ways, asks for tokens that the own domain is short of,
and for credits: numbers of requests that may be in flight at the other
domain's targets. Whatever is given is taken out of the giver's stock first
and is valid for a time that the asker counts from before it asked, so it
ends at the asker before the giver may hand it out again.
"""

import asyncio
from collections import abc
import contextlib
import math
import random

from chicorydoor import errors
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.transport import clock as clock_module

LENT_TOKENS_VALID_S = 0.3
_CALL_TIMEOUT_S = 0.4
_LEAST_GAP_S = 0.03
_LEAST_RETRY_S = 0.05
_REST_FACTOR = 2.0
_SECOND_REST_FACTOR = 3.0
_ROUND_TRIP_WEIGHT = 0.3
_MOST_LENDERS = 4
_HEARD_AFTER_S = 3.0


class _Lent:
    """Tokens of one bucket lent by others."""

    def __init__(self) -> None:
        self.lots: list[tuple[float, float]] = []

    def add(self, amount: float, expires_at: float) -> None:
        self.lots.append((expires_at, amount))

    def amount(self, now: float) -> float:
        return sum(amount for at, amount in self.lots if at > now)

    def take(self, wanted: float, now: float) -> tuple[float, float]:
        """Tokens up to a number, and when the first of them expires."""
        self.lots = sorted(lot for lot in self.lots if lot[0] > now)
        taken = 0.0
        expires_at = math.inf
        while self.lots and taken < wanted:
            lot_expires_at, amount = self.lots.pop(0)
            part = min(amount, wanted - taken)
            taken += part
            expires_at = min(expires_at, lot_expires_at)
            if amount > part:
                self.lots.insert(0, (lot_expires_at, amount - part))
        return taken, expires_at


class Neighbour:
    """Another failure domain as this coordinator knows it.

    Args:
        domain (str): Its id.
    """

    def __init__(self, domain: ids.DomainId) -> None:
        self.domain = domain
        self.summary: pm.DomainSummary | None = None
        self.heard_at = float("-inf")
        self.exchanged_at = float("-inf")
        self.member_by_id: dict[ids.InstanceId, pm.Member] = {}
        self.contact: ids.InstanceId | None = None
        self.wake = asyncio.Event()
        self.token_wants: dict[ids.BucketId, float] = {}
        self.tokens_asked: dict[ids.BucketId, float] = {}
        self.dry_until: dict[ids.BucketId, float] = {}
        self.spare_by_bucket: dict[ids.BucketId, float] = {}
        self.credit_by_service: dict[ids.ServiceId, int] = {}
        self.credits_until = float("-inf")
        self.round_trip_s = 0.0
        self.task: asyncio.Task | None = None

    def asked_for(self, bucket: ids.BucketId) -> float:
        """Tokens of a bucket that it is being asked for."""
        waiting = self.token_wants.get(bucket, 0.0)
        return waiting + self.tokens_asked.get(bucket, 0.0)


class Exchange:
    """The exchanges of one coordinator.

    Args:
        me (Member): The own entry.
        membership (Membership): Says whether this entry coordinates.
        network (PeerNetwork): Carries the calls.
        timing (Timing): Intervals.
        clock (Clock): Time.
        rng (Random): For the order of lenders.
        summarize (callable): Gives the own domain's summary.
        credit_report (callable): Wanted and used credits at a domain.
        answer (callable): Answers another coordinator's exchange.
        on_change (callable): Called when a summary, tokens or credits
            arrived.
    """

    def __init__(
        self,
        *,
        me: pm.Member,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        rng: random.Random,
        summarize: abc.Callable[[], pm.DomainSummary],
        credit_report: abc.Callable[
            [ids.DomainId],
            tuple[dict[ids.ServiceId, int], dict[ids.ServiceId, int]],
        ],
        answer: abc.Callable[[pm.Exchange], pm.ExchangeReply],
        on_change: abc.Callable[["Neighbour", list[ids.BucketId]], None],
    ) -> None:
        self._me = me
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self._rng = rng
        self._summarize = summarize
        self._credit_report = credit_report
        self._answer = answer
        self._on_change = on_change
        self.neighbour_by_domain: dict[ids.DomainId, Neighbour] = {}
        self._lent_by_bucket: dict[ids.BucketId, _Lent] = {}
        self._near: frozenset[ids.DomainId] = frozenset()
        network.on(pm.Exchange, self._on_exchange)

    def learn(self, member: pm.Member) -> None:
        """Take note of an entry of another failure domain."""
        if member.domain == self._me.domain:
            return
        self._network.learn(member.instance, member.peer_address)
        neighbour = self.neighbour(member.domain)
        known = neighbour.member_by_id.get(member.instance)
        if known is None or member.http_address:
            neighbour.member_by_id[member.instance] = member

    def neighbour(self, domain: ids.DomainId) -> Neighbour:
        """The record of a failure domain, made if needed."""
        known = self.neighbour_by_domain.get(domain)
        if known is None:
            known = Neighbour(domain)
            self.neighbour_by_domain[domain] = known
            known.task = asyncio.create_task(self._run(known))
        return known

    def set_near(self, domains: frozenset[ids.DomainId]) -> None:
        """Name the failure domains of the own region."""
        self._near = domains

    def heard_all(self, domains: abc.Iterable[ids.DomainId]) -> bool:
        """Whether each of the other failure domains was heard lately."""
        now = self._clock.now()
        for domain in domains:
            if domain == self._me.domain:
                continue
            known = self.neighbour_by_domain.get(domain)
            if known is None or now - known.heard_at > _HEARD_AFTER_S:
                return False
        return True

    def is_heard(self, neighbour: Neighbour) -> bool:
        """Whether a failure domain was heard of lately."""
        return self._clock.now() - neighbour.heard_at <= _HEARD_AFTER_S

    async def close(self) -> None:
        """End all exchanges."""
        tasks = [n.task for n in self.neighbour_by_domain.values() if n.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def want_tokens(self, bucket: ids.BucketId, amount: float) -> float:
        """Ask other failure domains for tokens.

        Args:
            bucket (str): The bucket that is short.
            amount (float): Tokens.

        Returns:
            0 if somebody was asked, else seconds until it is worth asking.
        """
        now = self._clock.now()
        reachable = [
            n for n in self.neighbour_by_domain.values() if self.is_heard(n)
        ]
        asked = sum(n.asked_for(bucket) for n in reachable)
        if asked >= amount:
            return 0.0
        amount -= asked
        lenders = [
            n
            for n in reachable
            if n.dry_until.get(bucket, 0) <= now and not n.asked_for(bucket)
        ]
        if not lenders:
            return 0.0 if asked else self._dry_for(reachable, bucket, now)
        lenders.sort(key=lambda n: self._preference(n, bucket))
        count = min(len(lenders), _MOST_LENDERS, max(1, round(amount / 2)))
        if any(n.dry_until.get(bucket, 0) > now for n in reachable):
            count = len(lenders)
        for lender in lenders[:count]:
            part = amount / count
            if count > 1:
                part = float(math.ceil(part))
            lender.token_wants[bucket] = part
            lender.wake.set()
        return 0.0

    def _preference(
        self, neighbour: Neighbour, bucket: ids.BucketId
    ) -> tuple[bool, bool, float]:
        """Lenders that had tokens to spare come first, then near ones."""
        spare = neighbour.spare_by_bucket.get(bucket, 1.0)
        is_far = neighbour.domain not in self._near
        return (spare < 1.0, is_far, self._rng.random())

    def _dry_for(
        self, reachable: list[Neighbour], bucket: ids.BucketId, now: float
    ) -> float:
        waits = [n.dry_until[bucket] - now for n in reachable]
        return max(_LEAST_RETRY_S, min(waits, default=1.0))

    def lent(self, bucket: ids.BucketId) -> float:
        """Tokens that others lent and nobody has yet."""
        lent = self._lent_by_bucket.get(bucket)
        return lent.amount(self._clock.now()) if lent else 0.0

    def take_lent(
        self, bucket: ids.BucketId, wanted: float
    ) -> tuple[float, float]:
        """Tokens that others lent, and for how many seconds."""
        lent = self._lent_by_bucket.get(bucket)
        if lent is None or wanted <= 0:
            return 0.0, 0.0
        now = self._clock.now()
        taken, expires_at = lent.take(wanted, now)
        return (taken, expires_at - now) if taken else (0.0, 0.0)

    async def _run(self, neighbour: Neighbour) -> None:
        """Exchange with one failure domain until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, self._timing.exchange_s))
        while True:
            if self._membership.in_office() and self._is_due(neighbour):
                neighbour.exchanged_at = self._clock.now()
                await self._exchange(neighbour)
            neighbour.wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._timing.exchange_s):
                    await neighbour.wake.wait()
                await asyncio.sleep(_LEAST_GAP_S)

    def _is_due(self, neighbour: Neighbour) -> bool:
        """Whether anything is wanted, or nobody called for a while.

        One exchange tells both sides, so of two domains at rest only the
        one with the lower id calls, as long as it does.
        """
        has_credit = any(neighbour.credit_by_service.values())
        if neighbour.token_wants or has_credit:
            return True
        wants, in_flight = self._credit_report(neighbour.domain)
        if any(wants.values()) or any(in_flight.values()):
            return True
        is_first = self._me.domain < neighbour.domain
        factor = _REST_FACTOR if is_first else _SECOND_REST_FACTOR
        rest_s = factor * self._timing.exchange_s
        rested_s = self._clock.now() - neighbour.exchanged_at
        return rested_s >= rest_s - _LEAST_GAP_S

    async def _exchange(self, neighbour: Neighbour) -> None:
        contact = self._contact(neighbour)
        if contact is None:
            return
        wants, neighbour.token_wants = neighbour.token_wants, {}
        neighbour.tokens_asked = wants
        credit_wants, in_flight = self._credit_report(neighbour.domain)
        message = pm.Exchange(
            summary=self._summarize(),
            token_wants=wants,
            credit_wants=credit_wants,
            credits_in_flight=in_flight,
            round_trip_s=neighbour.round_trip_s,
        )
        sent_at = self._clock.now()
        try:
            reply = await self._network.call(contact, message, _CALL_TIMEOUT_S)
        except errors.PeerError:
            self._network.greet(contact)
            neighbour.contact = None
            self._on_change(neighbour, list(wants))
            return
        finally:
            neighbour.tokens_asked = {}
        if isinstance(reply, pm.NotInOffice):
            self._redirect(neighbour, reply)
        elif isinstance(reply, pm.ExchangeReply):
            self._take(neighbour, reply, wants, sent_at)

    def _contact(self, neighbour: Neighbour) -> ids.InstanceId | None:
        if neighbour.contact is None:
            candidates = sorted(neighbour.member_by_id)
            if candidates:
                neighbour.contact = self._rng.choice(candidates)
        return neighbour.contact

    def _redirect(self, neighbour: Neighbour, reply: pm.NotInOffice) -> None:
        neighbour.contact = None
        if reply.coordinator is not None:
            self.learn(reply.coordinator)
            self._network.greet(reply.coordinator.instance)
            neighbour.contact = reply.coordinator.instance

    def _take(
        self,
        neighbour: Neighbour,
        reply: pm.ExchangeReply,
        wants: dict[ids.BucketId, float],
        sent_at: float,
    ) -> None:
        self.note_summary(reply.summary)
        now = self._clock.now()
        step = now - sent_at - neighbour.round_trip_s
        neighbour.round_trip_s += _ROUND_TRIP_WEIGHT * step
        for bucket in wants:
            grant = reply.token_by_bucket.get(bucket, pm.TokenGrant())
            neighbour.spare_by_bucket[bucket] = grant.spare
            if grant.granted > 0:
                lent = self._lent_by_bucket.setdefault(bucket, _Lent())
                lent.add(grant.granted, sent_at + reply.tokens_valid_s)
            if grant.granted < wants[bucket]:
                pause = max(_LEAST_RETRY_S, grant.retry_after_s)
                neighbour.dry_until[bucket] = now + pause
        neighbour.credit_by_service = reply.credit_by_service
        neighbour.credits_until = sent_at + reply.credits_valid_s
        self._on_change(neighbour, list(wants))

    def note_summary(self, summary: pm.DomainSummary) -> None:
        """Take in what is told of a failure domain."""
        neighbour = self.neighbour(summary.domain)
        neighbour.summary = summary
        neighbour.heard_at = self._clock.now()
        for member in summary.members:
            self.learn(member)
        listed = {member.instance for member in summary.members}
        for instance in neighbour.member_by_id.keys() - listed:
            del neighbour.member_by_id[instance]

    def _on_exchange(
        self, sender: ids.InstanceId, message: pm.Exchange
    ) -> pm.Message:
        if not self._membership.in_office():
            return pm.NotInOffice(self._membership.coordinator())
        self.note_summary(message.summary)
        neighbour = self.neighbour(message.summary.domain)
        neighbour.contact = sender
        neighbour.exchanged_at = self._clock.now()
        reply = self._answer(message)
        self._on_change(neighbour, [])
        return reply
