"""Replicates parts of the store, from the store itself and from peers.

Each part (a key prefix) is followed by one task. A few entries of a region
read the part from the store and publish its changes to the others; any other
entry reads the store itself when it got no update for too long.
"""

import asyncio
from collections import abc
import contextlib
import logging
import typing

import msgspec
import tenacity

from chicorydoor import errors
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from chicorydoor.state import store_mirror
from chicorydoor.transport import clock as clock_module

# Exponential back-off while the store does not answer; updates from peers
# arrive meanwhile.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
# Every entry that reaches the store informs its region, so entries of a large
# region may retry less often. With more entries than this the longest back-off
# grows in proportion to their number, up to the limit below.
_BACKOFF_SCALING_ENTRIES = 8
_MAX_SCALED_BACKOFF_S = 4.0
# An entry whose calls fail tries again after this long even though peers keep
# it up to date. Otherwise it would not notice that the store answers again,
# and a region could stay with a single working reader.
_FAILED_READ_RECHECK_S = 5.0
# Time between two requests for a peer's copy, at first and at most. It doubles
# because a reply that is not there yet may wait on a full link.
_COPY_REQUEST_INTERVAL_S = 0.5
_MAX_COPY_REQUEST_INTERVAL_S = 2.0
# Time to wait for an update that a peer of the region has, before its copy is
# requested: heartbeats may overtake the update that they refer to.
_REGION_COPY_DELAY_S = 0.3
# The same for a peer of another region: the own region is likely to read
# within this time what another region has read first.
_OTHER_REGION_COPY_DELAY_S = 1.0
# Changes above this size, compressed, are not published; each entry reads them
# itself. The publishing entry sends them to some ten others.
_MAX_PUBLISHED_BYTES = 256 * 1024
# After the store has come back from a copy, its writers write again what the
# copy lacks. Registrations are back within two seconds, and may be read up to
# half a second later.
_REWRITE_GRACE_S = 2.5
# What the copy holds although it had been removed goes with its lease: that of
# a target ends after three of its heartbeats of 1.5 s.
_UNCONFIRMED_LAPSE_S = 6.0
# Longest sleep before the rank is determined again: readers ranked before this
# entry may have stopped meanwhile.
_RANK_RECHECK_S = 0.5

_LOG = logging.getLogger(__name__)


class StoreFeed(typing.Protocol):
    """The calls of a store that a follower needs."""

    async def list_items(self, prefix: str) -> store_items.StoreItemBatch:
        """List all items under a prefix."""

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> store_items.StoreItemBatch:
        """Wait for changes under a prefix.

        Args:
            prefix (str): Prefix of the keys.
            after (int): Revision after which changes are wanted.
            wait_s (float): Time limit in seconds.

        Returns:
            The changes, as soon as there is one; none at the time limit.
        """


class FollowPolicy(msgspec.Struct, frozen=True):
    """A part of the store and how it is followed.

    Args:
        prefix (str): Prefix of the part's keys.
        watch_timeout_s (float): Time limit of a call for changes, in seconds.
        reader_count (int): Entries of a region that read the part for all.
        read_interval_s (float): Minimum seconds between two reads by a reader;
            0 to read continuously.
        takeover_s (float): Seconds without an update after which the next
            entry in rank reads too.
        stagger_s (float): Additional seconds for each further rank.
        max_takeover_s (float): Seconds without an update after which an entry
            of any rank reads. An entry that is cut off from its peers takes
            those before it in rank for readers until they count as silent.
        values_within_s (float): If above 0, values are large: only the first
            reader publishes them, so that they do not saturate the links. The
            others publish that there is a change, and an entry that then gets
            no values within this time, in seconds, reads them itself.
            Defaults to 0.
    """

    prefix: str
    watch_timeout_s: float
    reader_count: int
    read_interval_s: float
    takeover_s: float
    stagger_s: float
    max_takeover_s: float
    values_within_s: float = 0.0

    def max_age_s(self, rank: int) -> float:
        """Return the seconds since the last update after which an entry reads.

        For a reader this is its read interval.

        Args:
            rank (int): Position of the entry among those of its region.
        """
        if rank < self.reader_count:
            return self.read_interval_s
        takeover_s = self.takeover_s + self.stagger_s * (
            rank - self.reader_count
        )
        return min(takeover_s, self.max_takeover_s)


ItemsCallback = abc.Callable[[list[store_items.StoreItemChange]], None]
PublishCallback = abc.Callable[[gossip_messages.Message], None]


class StoreFollower:
    """Keeps a local copy of one part of the store up to date.

    Args:
        policy (FollowPolicy): The part of the store, and how it is followed.
        feed (StoreFeed): The store.
        mirror (StoreMirror): The local copy.
        clock (Clock): Source of time.
        publish (callable): Sends a message to the region's entries.
        on_items (callable): Called with the changed items.
        get_rank (callable): Returns the position of this entry in its region.
        count_entries (callable): Returns the number of entries of the region.
        on_contact (callable): Called when the store was reached, directly
            or through a peer.
    """

    def __init__(
        self,
        *,
        policy: FollowPolicy,
        feed: StoreFeed,
        mirror: store_mirror.StoreMirror,
        clock: clock_module.Clock,
        publish: PublishCallback,
        on_items: ItemsCallback,
        get_rank: abc.Callable[[], int],
        count_entries: abc.Callable[[], int],
        on_contact: abc.Callable[[], None],
    ) -> None:
        self.policy = policy
        self.mirror = mirror
        self._feed = feed
        self._clock = clock
        self._publish = publish
        self._on_items = on_items
        self._get_rank = get_rank
        self._count_entries = count_entries
        self._on_contact = on_contact
        self._is_listed = False
        self.updated_at = float("-inf")
        self.is_store_unreachable = False
        self._read_failed_at = float("-inf")
        self._copy_requested_at = float("-inf")
        self._copy_request_interval_s = _COPY_REQUEST_INTERVAL_S
        # Revision of a change that a peer has and this entry lacks, and when
        # this entry learnt of it.
        self._missing_revision = 0
        self._missing_epoch = 0
        self._missing_since = 0.0
        # Latest revision that a peer announced, and the timer after which it
        # is read if its values did not arrive.
        self._announced_revision = 0
        self._value_timer: asyncio.TimerHandle | None = None
        # Set when there is a change that this entry has to read itself.
        self._must_read = asyncio.Event()
        self._watch_timeout: asyncio.Timeout | None = None
        # Latest epoch of the store that a peer named.
        self._announced_epoch = 0
        # Changes that are passed on only if they last, by key.
        self._deferred_by_key: dict[str, asyncio.TimerHandle] = {}

    async def run(self) -> None:
        """Follow the part until cancelled."""
        while True:
            async for attempt in self._retry_policy():
                with attempt:
                    await self._read_store()

    def _retry_policy(self) -> tenacity.AsyncRetrying:
        return tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(
                errors.StoreUnavailableError
            ),
            wait=tenacity.wait_random_exponential(
                multiplier=_INITIAL_BACKOFF_S, max=self._max_backoff_s()
            ),
            before_sleep=self._record_failed_read,
            sleep=asyncio.sleep,
        )

    def _max_backoff_s(self) -> float:
        scale = max(1.0, self._count_entries() / _BACKOFF_SCALING_ENTRIES)
        return min(_MAX_SCALED_BACKOFF_S, _MAX_BACKOFF_S * scale)

    def _record_failed_read(self, state: tenacity.RetryCallState) -> None:
        self._read_failed_at = self._clock.now()
        if self.is_store_unreachable:
            return
        self.is_store_unreachable = True
        outcome = state.outcome
        reason = str(outcome.exception()) if outcome else ""
        _LOG.warning(
            "store lost",
            extra={
                "prefix": self.policy.prefix,
                "reason": reason,
                "as_of": self.mirror.as_of,
            },
        )

    async def _read_store(self) -> None:
        if not self._is_listed:
            await self._read_listing()
            return
        await self._wait_until_due()
        if not self._is_listed:
            return
        since, latest = self.mirror.as_of, self.mirror.latest
        try:
            batch = await self._wait_for_changes(since)
        except errors.HistoryLostError:
            _LOG.warning(
                "store history lost",
                extra={"prefix": self.policy.prefix, "as_of": since},
            )
            self._is_listed = False
            return
        if batch is None or self.mirror.is_later_epoch(batch.epoch):
            self._is_listed = False
            return
        # Nothing has changed from the latest change to ``since``. Published
        # from there on, the changes also complete copies that are older.
        self._apply_read(self.mirror.merge(batch, since), min(since, latest))

    async def _wait_for_changes(
        self, since: int
    ) -> store_items.StoreItemBatch | None:
        """Wait for changes; None if the store was restored meanwhile.

        A call that waits at the store may go silent when the store goes away.
        """
        watch_timeout = asyncio.timeout(None)
        try:
            async with watch_timeout:
                self._watch_timeout = watch_timeout
                return await self._feed.wait_for_changes(
                    self.policy.prefix, since, self.policy.watch_timeout_s
                )
        except TimeoutError:
            return None
        finally:
            self._watch_timeout = None

    def handle_restore(self) -> None:
        """List the part again: the store has come back from a copy."""
        self._is_listed = False
        self._must_read.set()
        if self._watch_timeout is not None:
            now = asyncio.get_running_loop().time()
            self._watch_timeout.reschedule(now)

    async def _read_listing(self) -> None:
        batch = await self._feed.list_items(self.policy.prefix)
        since = self.mirror.as_of
        is_later_epoch = self.mirror.is_later_epoch(batch.epoch)
        changed = self.mirror.replace(batch)
        self._is_listed = True
        if is_later_epoch:
            self._handle_new_epoch()
            # Every entry lists a new epoch, as at its start.
            since = 0
        self._apply_read(changed, since, is_later_epoch)
        _LOG.info(
            "store listed",
            extra={
                "prefix": self.policy.prefix,
                "items": len(batch.items),
                "as_of": self.mirror.as_of,
            },
        )

    async def _wait_until_due(self) -> None:
        """Wait while updates from peers arrive often enough."""
        while True:
            max_age_s = self.policy.max_age_s(self._reader_rank())
            due_at = self.updated_at + max_age_s
            if self.is_store_unreachable:
                due_at = min(
                    due_at, self._read_failed_at + _FAILED_READ_RECHECK_S
                )
            remaining_s = due_at - self._clock.now()
            if remaining_s <= 0 or self._must_read.is_set():
                self._must_read.clear()
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, _RANK_RECHECK_S)):
                    await self._must_read.wait()

    def _reader_rank(self) -> int:
        """Return the rank as a reader.

        An entry whose calls fail is no reader and ranks lower by the number
        of readers.
        """
        penalty = self.policy.reader_count if self.is_store_unreachable else 0
        return penalty + self._get_rank()

    def _apply_read(
        self,
        changed: list[store_items.StoreItemChange],
        since: int,
        is_new_epoch: bool = False,
    ) -> None:
        self._record_update()
        if self.is_store_unreachable:
            self.is_store_unreachable = False
            _LOG.info(
                "store regained",
                extra={
                    "prefix": self.policy.prefix,
                    "as_of": self.mirror.as_of,
                },
            )
        self._pass_on(changed, is_new_epoch)
        if since > 0:
            # All entries list at their start, so the first listing need not
            # be published.
            self._publish_change(since)

    def _handle_new_epoch(self) -> None:
        """Forget what refers to revisions of an earlier epoch."""
        self._announced_revision = 0
        self._missing_revision = 0
        _LOG.warning(
            "store copy replaced",
            extra={
                "prefix": self.policy.prefix,
                "epoch": self.mirror.epoch,
                "as_of": self.mirror.as_of,
                "unconfirmed": sorted(self.mirror.unconfirmed_keys),
            },
        )

    def _pass_on(
        self, changed: list[store_items.StoreItemChange], is_new_epoch: bool
    ) -> None:
        """Pass changed items on to their user.

        At the start of an epoch an item may be missing, or be there again,
        only because its writer has not yet written or removed it again. Such
        a change is passed on later, unless another one follows.
        """
        due: list[store_items.StoreItemChange] = []
        for item in changed:
            deferred = self._deferred_by_key.pop(item.key, None)
            if deferred is not None:
                deferred.cancel()
            if is_new_epoch and item.value is None:
                self._defer(item, _REWRITE_GRACE_S)
            elif is_new_epoch and item.key in self.mirror.unconfirmed_keys:
                self._defer(item, _UNCONFIRMED_LAPSE_S)
            else:
                due.append(item)
        if due:
            self._on_items(due)

    def _defer(
        self, item: store_items.StoreItemChange, delay_s: float
    ) -> None:
        self._deferred_by_key[item.key] = (
            asyncio.get_running_loop().call_later(
                delay_s, self._pass_on_deferred, item
            )
        )

    def _pass_on_deferred(self, item: store_items.StoreItemChange) -> None:
        del self._deferred_by_key[item.key]
        _LOG.info(
            "store item settled",
            extra={"key": item.key, "is_removed": item.value is None},
        )
        self._on_items([item])

    def _publish_change(self, since: int) -> None:
        prefix = self.policy.prefix
        changes = gossip_messages.StoreChanges(
            prefix, since, self.mirror.changes_since(since)
        )
        if self._should_publish_values(changes):
            self._publish(changes)
        else:
            self._publish(
                gossip_messages.StoreProgress(
                    prefix, self.local_extent(), self.mirror.epoch
                )
            )

    def _should_publish_values(
        self, changes: gossip_messages.StoreChanges
    ) -> bool:
        if not self.policy.values_within_s:
            return True
        if self._reader_rank() > 0:
            return False
        return len(gossip_messages.encode_compact(changes)) <= (
            _MAX_PUBLISHED_BYTES
        )

    def _read_unless_published(self) -> None:
        """Read the store if a change that a peer has is not published soon."""
        if self._value_timer is None:
            self._value_timer = asyncio.get_running_loop().call_later(
                self.policy.values_within_s, self._read_if_missing
            )

    def _read_if_missing(self) -> None:
        self._value_timer = None
        if self._announced_revision > self.mirror.as_of:
            self._must_read.set()

    def _record_update(self) -> None:
        self.updated_at = self._clock.now()
        self._on_contact()

    def age_s(self) -> float:
        """Return the seconds since the copy was known to be current."""
        return self._clock.now() - self.updated_at

    # Updates from and for peers.

    def local_extent(self) -> fleet_view.Extent:
        """Return how complete the local copy is.

        The extent holds the store revision up to which the copy is complete,
        and that of its latest significant change.
        """
        return fleet_view.Extent(self.mirror.as_of, self.mirror.latest)

    def apply_changes(self, changes: gossip_messages.StoreChanges) -> None:
        """Apply changes that a peer has read."""
        before = self.mirror.as_of
        self._note_epoch(changes.batch.epoch)
        changed = self.mirror.merge(changes.batch, changes.since)
        if self.mirror.as_of > before:
            self._record_update()
        if changed:
            self._apply_peer_changes(changed)

    def _note_epoch(self, epoch: int) -> None:
        """Read the store when a peer first names a later epoch of it."""
        if self.mirror.is_later_epoch(epoch) and epoch > self._announced_epoch:
            self._announced_epoch = epoch
            _LOG.warning(
                "peer names a later epoch of the store",
                extra={
                    "prefix": self.policy.prefix,
                    "epoch": epoch,
                    "own": self.mirror.epoch,
                },
            )
            self.handle_restore()

    def handle_progress(self, progress: gossip_messages.StoreProgress) -> None:
        """Handle a peer's notice that it has read a change."""
        self._note_epoch(progress.epoch)
        if not self.mirror.is_same_epoch(progress.epoch):
            return
        if self.mirror.advance_to_extent(
            progress.extent.as_of, progress.extent.latest, progress.epoch
        ):
            self._record_update()
        self._announced_revision = max(
            self._announced_revision, progress.extent.latest
        )
        if progress.extent.latest > self.mirror.as_of:
            self._read_unless_published()

    def answer_copy_request(
        self, since: int, epoch: int = 0
    ) -> gossip_messages.StoreChanges | gossip_messages.StoreCopy | None:
        """Return what a peer's copy lacks.

        Args:
            since (int): Store revision up to which the peer's copy is
                complete; 0 for a full copy.
            epoch (int): Epoch of the peer's copy. Defaults to 0.

        Returns:
            The changes since then, a full copy if they are not all known or
            the peer's copy is of an earlier epoch, or None if the local copy
            is not more complete.
        """
        mirror = self.mirror
        if mirror.is_later_epoch(epoch):
            return None
        if mirror.is_earlier_epoch(epoch):
            since = 0
        if since >= mirror.as_of:
            return None
        if 0 < since >= mirror.history_from:
            return gossip_messages.StoreChanges(
                mirror.prefix, since, mirror.changes_since(since)
            )
        return gossip_messages.StoreCopy(
            mirror.prefix, mirror.snapshot(), mirror.latest
        )

    def apply_copy(self, copy: gossip_messages.StoreCopy) -> None:
        """Replace the local copy by a peer's, unless that is outdated."""
        if self.mirror.is_earlier_epoch(copy.batch.epoch):
            return
        is_later_epoch = self.mirror.is_later_epoch(copy.batch.epoch)
        changed = self.mirror.replace(copy.batch, copy.latest)
        if is_later_epoch:
            self._handle_new_epoch()
        # Equivalent to a listing: later changes can be read from the store.
        self._is_listed = True
        self._record_update()
        if changed:
            self._apply_peer_changes(changed, is_later_epoch)

    def _apply_peer_changes(
        self,
        changed: list[store_items.StoreItemChange],
        is_new_epoch: bool = False,
    ) -> None:
        _LOG.info(
            "store news from peer",
            extra={
                "prefix": self.policy.prefix,
                "items": len(changed),
                "as_of": self.mirror.as_of,
            },
        )
        self._pass_on(changed, is_new_epoch)

    def should_request_copy(
        self,
        extent: fleet_view.Extent,
        epoch: int = 0,
        is_other_region: bool = False,
    ) -> bool:
        """Whether to request a peer's copy because the local one lags behind.

        Also advances the local copy's extent: if the peer's latest change
        is present here, nothing else has changed up to the peer's extent.
        Where values are large, a missing change also lets this entry read
        the store.

        Args:
            extent (Extent): How complete the peer's copy is.
            epoch (int): Epoch of the peer's copy. Defaults to 0.
            is_other_region (bool): Whether the peer is of another region.
                Defaults to False.

        Returns:
            True once the local copy has lacked a change for some time; at
            most once per copy request interval.
        """
        now = self._clock.now()
        self._note_epoch(epoch)
        is_later_epoch = self.mirror.is_later_epoch(epoch)
        if self.mirror.is_earlier_epoch(epoch):
            return False
        if self.mirror.advance_to_extent(extent.as_of, extent.latest, epoch):
            self._record_update()
        if not is_later_epoch and extent.latest <= self.mirror.as_of:
            return False
        if self.policy.values_within_s and not is_later_epoch:
            self._announced_revision = max(
                self._announced_revision, extent.latest
            )
            self._read_unless_published()
        is_first_of_epoch = is_later_epoch and epoch > self._missing_epoch
        if is_first_of_epoch or (
            not is_later_epoch and self._missing_revision <= self.mirror.as_of
        ):
            self._missing_epoch = epoch
            self._missing_revision = extent.latest
            self._missing_since = now
            self._copy_request_interval_s = _COPY_REQUEST_INTERVAL_S
        copy_delay_s = (
            _OTHER_REGION_COPY_DELAY_S
            if is_other_region
            else _REGION_COPY_DELAY_S
        )
        copy_delay_s += self.policy.values_within_s
        since_request_s = now - self._copy_requested_at
        if (
            now - self._missing_since < copy_delay_s
            or since_request_s < self._copy_request_interval_s
        ):
            return False
        if self._copy_requested_at >= self._missing_since:
            self._copy_request_interval_s = min(
                2 * self._copy_request_interval_s,
                _MAX_COPY_REQUEST_INTERVAL_S,
            )
        self._copy_requested_at = now
        return True
