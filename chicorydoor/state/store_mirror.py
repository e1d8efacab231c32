"""A copy of the store's items below one prefix, and how far it is true.

Whatever the order in which listings, events and peers' news arrive, a key
never goes back to an older revision, and a removed key does not come back
without a newer one.
"""

from collections import abc

from chicorydoor.protocol import store_items

# Removals that are remembered so that they can be passed on.
_KEPT_REMOVALS = 2000


def _revision(removal: tuple[str, int]) -> int:
    return removal[1]


def _whole(value: bytes) -> object:
    return value


class StoreMirror:
    """The items below a prefix.

    Args:
        prefix (str): Which keys.
        essence (callable): What of a value matters; a write that leaves it
            as it was is no change. Defaults to the whole value.
    """

    def __init__(
        self,
        prefix: str,
        essence: abc.Callable[[bytes], object] = _whole,
    ) -> None:
        self.prefix = prefix
        self._essence = essence
        self.as_of = 0
        self.latest = 0
        self.item_by_key: dict[str, store_items.StoredItem] = {}
        self._changed_at_by_key: dict[str, int] = {}
        self._removed_at_by_key: dict[str, int] = {}

    def snapshot(self) -> store_items.ItemBatch:
        """All items; with ``as_of``, enough to bring a peer up to date."""
        return store_items.ItemBatch(
            list(self.item_by_key.values()), self.as_of
        )

    def news(self, since: int) -> store_items.ItemBatch:
        """All that has changed after a revision, however it was learned."""
        changed = [
            self.item_by_key[key]
            for key, revision in self._changed_at_by_key.items()
            if revision > since
        ]
        changed += [
            store_items.StoredItem(key, revision, None)
            for key, revision in self._removed_at_by_key.items()
            if revision > since
        ]
        return store_items.ItemBatch(changed, self.as_of)

    def note_extent(self, as_of: int, latest: int) -> bool:
        """A peer's copy has no change after ``latest`` up to ``as_of``.

        Returns:
            Whether this copy reaches further now.
        """
        if latest <= self.as_of < as_of:
            self.advance(as_of)
            return True
        return False

    def merge(
        self, batch: store_items.ItemBatch, since: int
    ) -> list[store_items.StoredItem]:
        """Take in changes.

        Args:
            batch (ItemBatch): Changes after ``since``.
            since (int): Revision from which on the batch is complete; if
                the mirror is older, the changes count, but something may
                still be missing.

        Returns:
            What has changed here.
        """
        changed = [item for item in batch.items if self._take(item)]
        if since <= self.as_of < batch.as_of:
            self.advance(batch.as_of)
        return changed

    def replace(
        self, batch: store_items.ItemBatch
    ) -> list[store_items.StoredItem]:
        """Take in a full listing; what it lacks was removed.

        Returns:
            What has changed here.
        """
        if batch.as_of < self.as_of:
            return []
        listed = {item.key for item in batch.items}
        removed = [
            store_items.StoredItem(key, batch.as_of, None)
            for key, item in self.item_by_key.items()
            if key not in listed and item.revision <= batch.as_of
        ]
        changed = [item for item in batch.items if self._take(item)]
        changed += [item for item in removed if self._take(item)]
        if batch.as_of > self.as_of:
            # A listing does not tell when a key that it lacks was removed.
            self.latest = max(self.latest, batch.as_of)
        self.advance(batch.as_of)
        return changed

    def advance(self, as_of: int) -> None:
        """Nothing else has changed up to a store revision."""
        self.as_of = as_of
        spare = len(self._removed_at_by_key) - _KEPT_REMOVALS
        if spare > 0:
            by_age = sorted(self._removed_at_by_key.items(), key=_revision)
            for key, revision in by_age[:spare]:
                if revision <= as_of:
                    del self._removed_at_by_key[key]

    def _take(self, item: store_items.StoredItem) -> bool:
        known = self.item_by_key.get(item.key)
        if known is not None:
            newest = known.revision
        else:
            removed_at = self._removed_at_by_key.get(item.key, 0)
            newest = max(removed_at, self.as_of)
        if item.revision <= newest:
            return False
        is_change = self._differs(known, item)
        if is_change:
            self.latest = max(self.latest, item.revision)
        if item.value is None:
            self.item_by_key.pop(item.key, None)
            self._changed_at_by_key.pop(item.key, None)
            self._removed_at_by_key[item.key] = item.revision
        else:
            self._removed_at_by_key.pop(item.key, None)
            self.item_by_key[item.key] = item
            if is_change:
                self._changed_at_by_key[item.key] = item.revision
        return is_change

    def _differs(
        self,
        known: store_items.StoredItem | None,
        item: store_items.StoredItem,
    ) -> bool:
        before = known.value if known is not None else None
        if before is None or item.value is None:
            return before is not item.value
        return self._essence(before) != self._essence(item.value)
