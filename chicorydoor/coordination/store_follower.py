"""Keeps copies of parts of the store, from the store and from peers.

Each part has one task. A few entries of a region read it for all and pass
on what changed; any other one reads when it has had no news for too long.
"""

import asyncio
from collections import abc
import contextlib
import logging
import typing

import msgspec
import tenacity

from chicorydoor import errors
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from chicorydoor.state import store_mirror
from chicorydoor.transport import clock as clock_module

# Back-off while the store does not answer; peers' news come meanwhile.
_RETRY_FIRST_S = 0.1
_RETRY_MOST_S = 1.0
# In a large region any entry that is answered tells the others, so each may
# ask more rarely: this many entries retry as often as one alone would.
_RETRYING_ENTRIES = 8
_RETRY_LONGEST_S = 4.0
# An entry whose calls fail tries again after this long though peers tell it
# all, so that a region does not stay with the one reader that it has left.
_REFUSED_RECHECK_S = 5.0
# Least time between two requests for a peer's copy.
_COPY_INTERVAL_S = 0.5
# Heartbeats of other entries overtake the news that they tell of.
_NEAR_PATIENCE_S = 0.3
# What another region has read first, the own one is likely to read itself
# within this time.
_FAR_PATIENCE_S = 1.0
# A waiting entry notices within this time that others before it are gone.
_RANK_RECHECK_S = 0.5

_LOG = logging.getLogger(__name__)


class Feed(typing.Protocol):
    """What is read from the store."""

    async def list_items(self, prefix: str) -> store_items.ItemBatch:
        """All items below a prefix."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> store_items.ItemBatch:
        """Changes below a prefix, as soon as there is one."""


class Part(msgspec.Struct, frozen=True):
    """A part of the store and how it is followed.

    Args:
        prefix (str): Which keys.
        wait_s (float): Longest wait of a call for changes.
        readers (int): Entries of a region that read it for all.
        gap_s (float): Least time between two readings by these; 0 to read
            all the time.
        patience_s (float): Time without news after which the next entry
            reads too.
        stagger_s (float): Further time for each one after that.
        passes_values (bool): Whether readers pass on what they read; else
            they only tell that there is something to read, so that large
            values do not fill an entry's link. Defaults to True.
    """

    prefix: str
    wait_s: float
    readers: int
    gap_s: float
    patience_s: float
    stagger_s: float
    passes_values: bool = True

    def patience(self, rank: int) -> float:
        """Seconds without news after which an entry reads.

        Args:
            rank (int): Its position among the region's entries.
        """
        if rank < self.readers:
            return self.gap_s
        return self.patience_s + self.stagger_s * (rank - self.readers)


OnItems = abc.Callable[[list[store_items.StoredItem]], None]
Publish = abc.Callable[[fleet_messages.Message], None]


class StoreFollower:
    """Follows one part of the store.

    Args:
        part (Part): What is followed.
        feed (Feed): The store.
        mirror (StoreMirror): The copy.
        clock (Clock): Time.
        publish (callable): Sends a message to the region's entries.
        on_items (callable): Gets what has changed.
        rank (callable): Position of this entry in its region.
        entries (callable): Number of entries of the region.
        on_contact (callable): Called when the store was heard, directly or
            through a peer.
    """

    def __init__(
        self,
        *,
        part: Part,
        feed: Feed,
        mirror: store_mirror.StoreMirror,
        clock: clock_module.Clock,
        publish: Publish,
        on_items: OnItems,
        rank: abc.Callable[[], int],
        entries: abc.Callable[[], int],
        on_contact: abc.Callable[[], None],
    ) -> None:
        self.part = part
        self.mirror = mirror
        self._feed = feed
        self._clock = clock
        self._publish = publish
        self._on_items = on_items
        self._rank = rank
        self._entries = entries
        self._on_contact = on_contact
        self._is_listed = False
        self.news_at = float("-inf")
        self.is_lost = False
        self._refused_at = float("-inf")
        self._copy_asked_at = float("-inf")
        # A change that a peer has, and since when that is known.
        self._missed = 0
        self._behind_since = 0.0
        # Set when a change is known that this entry has to read itself.
        self._is_behind = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            async for attempt in self._retrying():
                with attempt:
                    await self._read()

    def _retrying(self) -> tenacity.AsyncRetrying:
        return tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(
                errors.StoreUnavailableError
            ),
            wait=tenacity.wait_random_exponential(
                multiplier=_RETRY_FIRST_S, max=self._retry_most_s()
            ),
            before_sleep=self._note_loss,
            sleep=asyncio.sleep,
        )

    def _retry_most_s(self) -> float:
        crowd = max(1.0, self._entries() / _RETRYING_ENTRIES)
        return min(_RETRY_LONGEST_S, _RETRY_MOST_S * crowd)

    def _note_loss(self, state: tenacity.RetryCallState) -> None:
        self._refused_at = self._clock.now()
        if self.is_lost:
            return
        self.is_lost = True
        outcome = state.outcome
        reason = str(outcome.exception()) if outcome else ""
        _LOG.warning(
            "store lost",
            extra={
                "prefix": self.part.prefix,
                "reason": reason,
                "as_of": self.mirror.as_of,
            },
        )

    async def _read(self) -> None:
        if not self._is_listed:
            await self._list()
            return
        await self._wait_for_turn()
        since = self.mirror.as_of
        try:
            batch = await self._feed.changes(
                self.part.prefix, since, self.part.wait_s
            )
        except errors.HistoryLostError:
            _LOG.warning(
                "store history lost",
                extra={"prefix": self.part.prefix, "as_of": since},
            )
            self._is_listed = False
            return
        self._take(self.mirror.merge(batch, since), since)

    async def _list(self) -> None:
        batch = await self._feed.list_items(self.part.prefix)
        since = self.mirror.as_of
        changed = self.mirror.replace(batch)
        self._is_listed = True
        self._take(changed, since)
        _LOG.info(
            "store listed",
            extra={
                "prefix": self.part.prefix,
                "items": len(batch.items),
                "as_of": self.mirror.as_of,
            },
        )

    async def _wait_for_turn(self) -> None:
        """Wait while peers read often enough."""
        while True:
            patience_s = self.part.patience(self._place())
            due_at = self.news_at + patience_s
            if self.is_lost:
                due_at = min(due_at, self._refused_at + _REFUSED_RECHECK_S)
            left_s = due_at - self._clock.now()
            if left_s <= 0 or self._is_behind.is_set():
                self._is_behind.clear()
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, _RANK_RECHECK_S)):
                    await self._is_behind.wait()

    def _place(self) -> int:
        """Position among the readers; one whose calls fail comes last."""
        behind = self.part.readers if self.is_lost else 0
        return behind + self._rank()

    def _take(self, changed: list[store_items.StoredItem], since: int) -> None:
        self._note_news()
        if self.is_lost:
            self.is_lost = False
            _LOG.info(
                "store regained",
                extra={
                    "prefix": self.part.prefix,
                    "as_of": self.mirror.as_of,
                },
            )
        if changed:
            self._on_items(changed)
        if since > 0:
            # The first listing is news only here: all list at their start.
            self._tell(since)

    def _tell(self, since: int) -> None:
        prefix = self.part.prefix
        if self.part.passes_values:
            batch = self.mirror.news(since)
            self._publish(fleet_messages.StoreNews(prefix, since, batch))
        else:
            self._publish(fleet_messages.StoreHint(prefix, self.extent()))

    def _note_news(self) -> None:
        self.news_at = self._clock.now()
        self._on_contact()

    # What peers know.

    def extent(self) -> fleet_view.Extent:
        """How far the copy reaches."""
        return fleet_view.Extent(self.mirror.as_of, self.mirror.latest)

    def take_news(self, news: fleet_messages.StoreNews) -> None:
        """Take in what a peer has read."""
        before = self.mirror.as_of
        changed = self.mirror.merge(news.batch, news.since)
        if self.mirror.as_of > before:
            self._note_news()
        if changed:
            self._note_peer_news(changed)

    def take_hint(self, hint: fleet_messages.StoreHint) -> None:
        """Take in that a peer has read something."""
        if self.mirror.note_extent(hint.extent.as_of, hint.extent.latest):
            self._note_news()
        if hint.extent.latest > self.mirror.as_of:
            self._is_behind.set()

    def take_copy(self, copy: fleet_messages.StoreCopy) -> None:
        """Take in a peer's copy."""
        changed = self.mirror.replace(copy.batch)
        # As good as a listing: what changes afterwards can be read.
        self._is_listed = True
        self._note_news()
        if changed:
            self._note_peer_news(changed)

    def _note_peer_news(self, changed: list[store_items.StoredItem]) -> None:
        _LOG.info(
            "store news from peer",
            extra={
                "prefix": self.part.prefix,
                "items": len(changed),
                "as_of": self.mirror.as_of,
            },
        )
        self._on_items(changed)

    def wants_copy(
        self, extent: fleet_view.Extent, is_far: bool = False
    ) -> bool:
        """Whether a peer has had something for long that this entry lacks.

        A peer whose latest change is known here tells that nothing has
        changed up to its own extent.

        Args:
            extent (Extent): How far the peer's copy reaches.
            is_far (bool): Whether the peer is of another region. Defaults
                to False.
        """
        now = self._clock.now()
        if self.mirror.note_extent(extent.as_of, extent.latest):
            self._note_news()
        if extent.latest <= self.mirror.as_of:
            return False
        if not self.part.passes_values:
            self._is_behind.set()
        if self._missed <= self.mirror.as_of:
            self._missed = extent.latest
            self._behind_since = now
        patience_s = _FAR_PATIENCE_S if is_far else _NEAR_PATIENCE_S
        is_due = now - self._behind_since >= patience_s
        if not is_due or now - self._copy_asked_at < _COPY_INTERVAL_S:
            return False
        self._copy_asked_at = now
        return True
