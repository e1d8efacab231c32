"""Periodic exchanges between the coordinators of failure domains.

Every coordinator calls the coordinators of the other failure domains. An
exchange carries summaries both ways and requests tokens that the own domain
is short of, and credits: numbers of requests that may be in flight at the
other domain's targets. Credits are requested as a number of slots and granted
as a number of requests. The granter first deducts what it grants from its own
bucket or free slots. A grant's validity counts from before the request was
sent, so it expires at the requester before the granter may grant the same
tokens or slots again.
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
_MIN_EXCHANGE_GAP_S = 0.03
_MIN_RETRY_S = 0.05
_IDLE_INTERVAL_FACTOR = 2.0
_HIGHER_ID_IDLE_INTERVAL_FACTOR = 3.0
_ROUND_TRIP_SMOOTHING = 0.3
_MAX_LENDERS = 4
_RECENTLY_SEEN_S = 3.0


class _BorrowedTokens:
    """Tokens of one bucket borrowed from other domains.

    Attributes:
        lots (list): Pairs of expiry time in seconds and number of tokens.
    """

    def __init__(self) -> None:
        self.lots: list[tuple[float, float]] = []

    def add(self, amount: float, expires_at: float) -> None:
        self.lots.append((expires_at, amount))

    def amount(self, now: float) -> float:
        return sum(amount for at, amount in self.lots if at > now)

    def acquire(self, wanted: float, now: float) -> tuple[float, float]:
        """Remove tokens, those that expire first before the others.

        Returns:
            The tokens, at most ``wanted``, and the first expiry time.
        """
        self.lots = sorted(lot for lot in self.lots if lot[0] > now)
        acquired = 0.0
        expires_at = math.inf
        while self.lots and acquired < wanted:
            lot_expires_at, amount = self.lots.pop(0)
            used = min(amount, wanted - acquired)
            acquired += used
            expires_at = min(expires_at, lot_expires_at)
            if amount > used:
                self.lots.insert(0, (lot_expires_at, amount - used))
        return acquired, expires_at


class RemoteDomain:
    """State that this coordinator keeps of another failure domain.

    Args:
        domain (str): Its id.

    Attributes:
        summary (DomainSummary): Latest received. Defaults to None.
        last_seen_at (float): When the latest summary arrived, in seconds.
        last_exchange_at (float): When the latest exchange was attempted or
            answered, in seconds.
        member_by_id (dict): Its known entries.
        contact (str): The entry that is called next. Defaults to None.
        exchange_requested (Event): Starts an exchange before the interval is
            over.
        wanted_by_bucket (dict): Tokens by bucket for the next exchange.
        requested_by_bucket (dict): Tokens requested in a running exchange.
        out_of_tokens_until (dict): Time by bucket until which it is not
            asked again after it granted less than requested.
        spare_by_bucket (dict): Tokens by bucket that it said it could still
            lend; below 0 if its reserve is short.
        credit_by_service (dict): Credits that it granted.
        credits_expire_at (float): When these credits expire.
        round_trip_s (float): Smoothed duration of an exchange.
        task (Task): Runs the exchanges.
    """

    def __init__(self, domain: ids.DomainId) -> None:
        self.domain = domain
        self.summary: pm.DomainSummary | None = None
        self.last_seen_at = float("-inf")
        self.last_exchange_at = float("-inf")
        self.member_by_id: dict[ids.InstanceId, pm.Member] = {}
        self.contact: ids.InstanceId | None = None
        self.exchange_requested = asyncio.Event()
        self.wanted_by_bucket: dict[ids.BucketId, float] = {}
        self.requested_by_bucket: dict[ids.BucketId, float] = {}
        self.out_of_tokens_until: dict[ids.BucketId, float] = {}
        self.spare_by_bucket: dict[ids.BucketId, float] = {}
        self.credit_by_service: dict[ids.ServiceId, int] = {}
        self.credits_expire_at = float("-inf")
        self.round_trip_s = 0.0
        self.task: asyncio.Task | None = None

    def requested_tokens(self, bucket: ids.BucketId) -> float:
        """Tokens of a bucket that are about to be or being requested."""
        pending = self.wanted_by_bucket.get(bucket, 0.0)
        return pending + self.requested_by_bucket.get(bucket, 0.0)


class DomainExchange:
    """Runs one coordinator's exchanges with other failure domains.

    Args:
        own_member (Member): Description of this entry.
        membership (Membership): Says whether this entry is coordinator.
        network (PeerNetwork): Sends and receives the calls.
        timing (Timing): Interval of the exchanges.
        clock (Clock): Monotonic time.
        rng (Random): Randomizes lenders, contacts and the first exchange.
        make_summary (callable): Returns the own domain's summary.
        credit_report (callable): Returns the slots wanted and the requests
            in flight at a domain, each by service.
        answer (callable): Returns the reply to another coordinator.
        on_change (callable): Called with the domain and the buckets asked
            for when a summary, tokens or credits arrived, or a call failed,
            but not if an entry answered that it isn't the coordinator.
    """

    def __init__(
        self,
        *,
        own_member: pm.Member,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        rng: random.Random,
        make_summary: abc.Callable[[], pm.DomainSummary],
        credit_report: abc.Callable[
            [ids.DomainId],
            tuple[dict[ids.ServiceId, int], dict[ids.ServiceId, int]],
        ],
        answer: abc.Callable[
            [pm.CoordinatorExchange], pm.CoordinatorExchangeReply
        ],
        on_change: abc.Callable[["RemoteDomain", list[ids.BucketId]], None],
    ) -> None:
        self._own_member = own_member
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self._rng = rng
        self._make_summary = make_summary
        self._credit_report = credit_report
        self._answer = answer
        self._on_change = on_change
        self.remote_domain_by_id: dict[ids.DomainId, RemoteDomain] = {}
        self._borrowed_by_bucket: dict[ids.BucketId, _BorrowedTokens] = {}
        self._region_domains: frozenset[ids.DomainId] = frozenset()
        network.set_handler(pm.CoordinatorExchange, self._handle_exchange)

    def add_entry(self, member: pm.Member) -> None:
        """Add or update an entry of another failure domain."""
        if member.domain == self._own_member.domain:
            return
        self._network.set_address(member.instance, member.peer_address)
        remote = self.remote_domain(member.domain)
        known_member = remote.member_by_id.get(member.instance)
        if known_member is None or member.http_address:
            remote.member_by_id[member.instance] = member

    def remote_domain(self, domain: ids.DomainId) -> RemoteDomain:
        """State of a failure domain; starts its exchanges if it is new."""
        known_remote = self.remote_domain_by_id.get(domain)
        if known_remote is None:
            known_remote = RemoteDomain(domain)
            self.remote_domain_by_id[domain] = known_remote
            known_remote.task = asyncio.create_task(
                self._exchange_periodically(known_remote)
            )
        return known_remote

    def set_region_domains(self, domains: frozenset[ids.DomainId]) -> None:
        """Set the failure domains of the own region."""
        self._region_domains = domains

    def are_recently_seen(self, domains: abc.Iterable[ids.DomainId]) -> bool:
        """Whether each of the other failure domains was recently seen."""
        now = self._clock.now()
        for domain in domains:
            if domain == self._own_member.domain:
                continue
            known_remote = self.remote_domain_by_id.get(domain)
            if (
                known_remote is None
                or now - known_remote.last_seen_at > _RECENTLY_SEEN_S
            ):
                return False
        return True

    def is_recently_seen(self, remote: RemoteDomain) -> bool:
        """Whether a failure domain was recently seen."""
        return self._clock.now() - remote.last_seen_at <= _RECENTLY_SEEN_S

    async def close(self) -> None:
        """Cancel all exchanges."""
        tasks = [
            remote.task
            for remote in self.remote_domain_by_id.values()
            if remote.task
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def request_tokens(self, bucket: ids.BucketId, amount: float) -> float:
        """Request tokens from other failure domains in the next exchanges.

        About one domain is asked for each two tokens, at most
        ``_MAX_LENDERS``, but all that may have some once one has run out.
        With several lenders each share is rounded up, so that more may be
        requested than is lacking.

        Args:
            bucket (str): The bucket that lacks tokens.
            amount (float): Tokens lacking.

        Returns:
            0 if a domain was asked, else seconds until the next attempt.
        """
        now = self._clock.now()
        reachable = [
            remote
            for remote in self.remote_domain_by_id.values()
            if self.is_recently_seen(remote)
        ]
        already_requested = sum(
            remote.requested_tokens(bucket) for remote in reachable
        )
        if already_requested >= amount:
            return 0.0
        amount -= already_requested
        lenders = [
            remote
            for remote in reachable
            if remote.out_of_tokens_until.get(bucket, 0) <= now
            and not remote.requested_tokens(bucket)
        ]
        if not lenders:
            return (
                0.0
                if already_requested
                else self._retry_wait_s(reachable, bucket, now)
            )
        lenders.sort(key=lambda remote: self._lender_sort_key(remote, bucket))
        count = min(len(lenders), _MAX_LENDERS, max(1, round(amount / 2)))
        if any(
            remote.out_of_tokens_until.get(bucket, 0) > now
            for remote in reachable
        ):
            count = len(lenders)
        for lender in lenders[:count]:
            share = amount / count
            if count > 1:
                share = float(math.ceil(share))
            lender.wanted_by_bucket[bucket] = share
            lender.exchange_requested.set()
        return 0.0

    def _lender_sort_key(
        self, remote: RemoteDomain, bucket: ids.BucketId
    ) -> tuple[bool, bool, float]:
        """Sort key: lenders with a spare token, then those of the region.

        A lender whose spare tokens are not known counts as having one.
        """
        spare = remote.spare_by_bucket.get(bucket, 1.0)
        is_far = remote.domain not in self._region_domains
        return (spare < 1.0, is_far, self._rng.random())

    def _retry_wait_s(
        self, reachable: list[RemoteDomain], bucket: ids.BucketId, now: float
    ) -> float:
        waits = [
            remote.out_of_tokens_until[bucket] - now for remote in reachable
        ]
        return max(_MIN_RETRY_S, min(waits, default=1.0))

    def borrowed_tokens(self, bucket: ids.BucketId) -> float:
        """Borrowed tokens that are not granted to an instance yet."""
        borrowed = self._borrowed_by_bucket.get(bucket)
        return borrowed.amount(self._clock.now()) if borrowed else 0.0

    def acquire_borrowed(
        self, bucket: ids.BucketId, wanted: float
    ) -> tuple[float, float]:
        """Remove borrowed tokens to grant them to an instance.

        Returns:
            The tokens and for how many seconds they are valid.
        """
        borrowed = self._borrowed_by_bucket.get(bucket)
        if borrowed is None or wanted <= 0:
            return 0.0, 0.0
        now = self._clock.now()
        acquired, expires_at = borrowed.acquire(wanted, now)
        return (acquired, expires_at - now) if acquired else (0.0, 0.0)

    async def _exchange_periodically(self, remote: RemoteDomain) -> None:
        """Run exchanges with one failure domain until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, self._timing.exchange_s))
        while True:
            if self._membership.is_coordinator() and self._is_due(remote):
                remote.last_exchange_at = self._clock.now()
                await self._run_exchange(remote)
            remote.exchange_requested.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._timing.exchange_s):
                    await remote.exchange_requested.wait()
                await asyncio.sleep(_MIN_EXCHANGE_GAP_S)

    def _is_due(self, remote: RemoteDomain) -> bool:
        """Whether anything is wanted, or the idle interval is over.

        An exchange informs both sides, so of two idle domains only the one
        with the lower id calls; the other calls only if those calls stop.
        """
        has_credit = any(remote.credit_by_service.values())
        if remote.wanted_by_bucket or has_credit:
            return True
        wants, in_flight = self._credit_report(remote.domain)
        if any(wants.values()) or any(in_flight.values()):
            return True
        has_lower_id = self._own_member.domain < remote.domain
        interval_factor = (
            _IDLE_INTERVAL_FACTOR
            if has_lower_id
            else _HIGHER_ID_IDLE_INTERVAL_FACTOR
        )
        idle_interval_s = interval_factor * self._timing.exchange_s
        idle_s = self._clock.now() - remote.last_exchange_at
        return idle_s >= idle_interval_s - _MIN_EXCHANGE_GAP_S

    async def _run_exchange(self, remote: RemoteDomain) -> None:
        contact = self._choose_contact(remote)
        if contact is None:
            return
        wants, remote.wanted_by_bucket = remote.wanted_by_bucket, {}
        remote.requested_by_bucket = wants
        credit_wants, in_flight = self._credit_report(remote.domain)
        message = pm.CoordinatorExchange(
            summary=self._make_summary(),
            tokens_requested_by_bucket=wants,
            credits_requested_by_service=credit_wants,
            in_flight_by_service=in_flight,
            round_trip_s=remote.round_trip_s,
        )
        sent_at = self._clock.now()
        try:
            reply = await self._network.call_peer(
                contact, message, _CALL_TIMEOUT_S
            )
        except errors.PeerError:
            self._network.send_hello(contact)
            remote.contact = None
            self._on_change(remote, list(wants))
            return
        finally:
            remote.requested_by_bucket = {}
        if isinstance(reply, pm.NotCoordinator):
            self._update_contact(remote, reply)
        elif isinstance(reply, pm.CoordinatorExchangeReply):
            self._apply_reply(remote, reply, wants, sent_at)

    def _choose_contact(self, remote: RemoteDomain) -> ids.InstanceId | None:
        if remote.contact is None:
            candidates = sorted(remote.member_by_id)
            if candidates:
                remote.contact = self._rng.choice(candidates)
        return remote.contact

    def _update_contact(
        self, remote: RemoteDomain, reply: pm.NotCoordinator
    ) -> None:
        remote.contact = None
        if reply.coordinator is not None:
            self.add_entry(reply.coordinator)
            self._network.send_hello(reply.coordinator.instance)
            remote.contact = reply.coordinator.instance

    def _apply_reply(
        self,
        remote: RemoteDomain,
        reply: pm.CoordinatorExchangeReply,
        wants: dict[ids.BucketId, float],
        sent_at: float,
    ) -> None:
        self.record_summary(reply.summary)
        now = self._clock.now()
        deviation_s = now - sent_at - remote.round_trip_s
        remote.round_trip_s += _ROUND_TRIP_SMOOTHING * deviation_s
        for bucket in wants:
            grant = reply.token_grant_by_bucket.get(bucket, pm.TokenGrant())
            remote.spare_by_bucket[bucket] = grant.spare
            if grant.granted > 0:
                borrowed = self._borrowed_by_bucket.setdefault(
                    bucket, _BorrowedTokens()
                )
                borrowed.add(grant.granted, sent_at + reply.tokens_valid_s)
            if grant.granted < wants[bucket]:
                wait_s = max(_MIN_RETRY_S, grant.retry_after_s)
                remote.out_of_tokens_until[bucket] = now + wait_s
        remote.credit_by_service = reply.credit_by_service
        remote.credits_expire_at = sent_at + reply.credits_valid_s
        self._on_change(remote, list(wants))

    def record_summary(self, summary: pm.DomainSummary) -> None:
        """Store a failure domain's summary and update its known entries."""
        remote = self.remote_domain(summary.domain)
        remote.summary = summary
        remote.last_seen_at = self._clock.now()
        for member in summary.members:
            self.add_entry(member)
        listed_ids = {member.instance for member in summary.members}
        for instance in remote.member_by_id.keys() - listed_ids:
            del remote.member_by_id[instance]

    def _handle_exchange(
        self, sender: ids.InstanceId, message: pm.CoordinatorExchange
    ) -> pm.Message:
        if not self._membership.is_coordinator():
            return pm.NotCoordinator(self._membership.followed_coordinator())
        self.record_summary(message.summary)
        remote = self.remote_domain(message.summary.domain)
        remote.contact = sender
        remote.last_exchange_at = self._clock.now()
        reply = self._answer(message)
        self._on_change(remote, [])
        return reply
