"""A local copy of the store's items below one prefix, with its extent.

In whatever order listings, watch events and updates from peers arrive, a key
never returns to an older revision, and a removed key reappears only with a
newer one. Both hold within an epoch of the store; a listing of a later epoch
replaces the whole copy.
"""

from collections import abc

from chicorydoor.protocol import store_items

# Tombstones that are kept so that removals can be sent to peers.
_MAX_TOMBSTONES = 2000


def _removal_revision(removal: tuple[str, int]) -> int:
    return removal[1]


def _identity(value: bytes) -> object:
    return value


class StoreMirror:
    """Copy of the store's items below a prefix.

    Args:
        prefix (str): Prefix of the keys.
        significant_part (callable): Returns the significant part of a value; a
            write that leaves this part equal counts as no change. Defaults to
            the whole value.

    Attributes:
        as_of (int): Store revision up to which this copy is complete.
        latest (int): Store revision of the latest significant change that
            this copy may contain.
        history_from (int): Store revision after which this copy knows all
            significant changes up to ``as_of``, removals too.
        epoch (int): Epoch of the store that all revisions belong to; 0 while
            it is not known.
        unconfirmed_keys (set): Keys that were removed in an earlier epoch and
            are back with the copy from which the store was restored. They have
            not been written since.
    """

    def __init__(
        self,
        prefix: str,
        significant_part: abc.Callable[[bytes], object] = _identity,
    ) -> None:
        self.prefix = prefix
        self._significant_part = significant_part
        self.as_of = 0
        self.latest = 0
        self.history_from = 0
        self.epoch = 0
        self.unconfirmed_keys: set[str] = set()
        self._was_restored = False
        self.item_by_key: dict[str, store_items.StoreItemChange] = {}
        self._significant_revision_by_key: dict[str, int] = {}
        self._removal_revision_by_key: dict[str, int] = {}

    def snapshot(self) -> store_items.StoreItemBatch:
        """All items with ``as_of``, which can replace a peer's copy."""
        return store_items.StoreItemBatch(
            list(self.item_by_key.values()), self.as_of, self.epoch
        )

    def is_later_epoch(self, epoch: int) -> bool:
        """Whether an epoch began after that of this copy."""
        return 0 < self.epoch < epoch

    def is_earlier_epoch(self, epoch: int) -> bool:
        """Whether an epoch ended before that of this copy began.

        Peers of an earlier build name no epoch (0). Theirs is taken to be that
        of this copy as long as this copy has seen no other one.
        """
        return self._was_restored if epoch == 0 else epoch < self.epoch

    def is_same_epoch(self, epoch: int) -> bool:
        """Whether revisions of an epoch can be compared with this copy's."""
        return not (self.is_later_epoch(epoch) or self.is_earlier_epoch(epoch))

    def changes_since(self, since: int) -> store_items.StoreItemBatch:
        """Significant changes and kept tombstones after a revision.

        The store or peers may have sent them. They are complete from
        ``history_from`` on.
        """
        changed = [
            self.item_by_key[key]
            for key, revision in self._significant_revision_by_key.items()
            if revision > since
        ]
        changed += [
            store_items.StoreItemChange(key, revision, None)
            for key, revision in self._removal_revision_by_key.items()
            if revision > since
        ]
        return store_items.StoreItemBatch(changed, self.as_of, self.epoch)

    def advance_to_extent(
        self, as_of: int, latest: int, epoch: int = 0
    ) -> bool:
        """Advance to a peer's extent if this copy has every change up to it.

        Args:
            as_of (int): Store revision up to which the peer's copy is
                complete.
            latest (int): Revision of the latest significant change up to
                ``as_of``.
            epoch (int): Epoch of the peer's copy. Defaults to 0.

        Returns:
            Whether this copy was advanced.
        """
        if not self.is_same_epoch(epoch):
            return False
        if latest <= self.as_of < as_of:
            self._advance_to(as_of)
            return True
        return False

    def merge(
        self, batch: store_items.StoreItemBatch, since: int
    ) -> list[store_items.StoreItemChange]:
        """Apply changes; those of another epoch are ignored.

        Args:
            batch (StoreItemBatch): Changes after ``since``.
            since (int): Revision after which the batch is complete. If
                this copy is older, the changes are applied, but ``as_of``
                does not advance, since changes in between may be missing.

        Returns:
            The items with a significant change.
        """
        if not self.is_same_epoch(batch.epoch):
            return []
        self.epoch = batch.epoch or self.epoch
        changed = [item for item in batch.items if self._apply_item(item)]
        if since <= self.as_of < batch.as_of:
            self._advance_to(batch.as_of)
        return changed

    def replace(
        self, batch: store_items.StoreItemBatch, latest: int | None = None
    ) -> list[store_items.StoreItemChange]:
        """Apply a full listing; keys that it lacks are removed.

        A listing older than this copy is ignored. One of a later epoch
        replaces the copy whatever its revisions.

        Args:
            batch (StoreItemBatch): The listing.
            latest (int): Revision of the latest significant change that the
                listing may contain; None if that is not known. Defaults to
                None.

        Returns:
            The items with a significant change.
        """
        if self.is_later_epoch(batch.epoch):
            return self._begin_epoch(batch, latest)
        if self.is_earlier_epoch(batch.epoch) or batch.as_of < self.as_of:
            return []
        self.epoch = batch.epoch or self.epoch
        listed = {item.key for item in batch.items}
        removed = [
            store_items.StoreItemChange(key, batch.as_of, None)
            for key, item in self.item_by_key.items()
            if key not in listed and item.revision <= batch.as_of
        ]
        changed = [item for item in batch.items if self._apply_item(item)]
        changed += [item for item in removed if self._apply_item(item)]
        if batch.as_of > self.as_of:
            # A listing does not say when a key that it lacks was removed: the
            # removal may be as late as the listing itself.
            self.latest = max(
                self.latest, batch.as_of if latest is None else latest
            )
            self.history_from = batch.as_of
        self._advance_to(batch.as_of)
        return changed

    def _begin_epoch(
        self, batch: store_items.StoreItemBatch, latest: int | None
    ) -> list[store_items.StoreItemChange]:
        """Replace the copy by a listing of a later epoch."""
        before = self.item_by_key
        removed_before = self._removal_revision_by_key.keys()
        listed = {item.key: item for item in batch.items}
        self.unconfirmed_keys = listed.keys() & (
            removed_before | self.unconfirmed_keys
        )
        removed = [
            store_items.StoreItemChange(key, batch.as_of, None)
            for key in before
            if key not in listed
        ]
        changed = removed + [
            item
            for item in batch.items
            if self._is_significant_change(before.get(item.key), item)
        ]
        self._removal_revision_by_key = dict.fromkeys(
            (before.keys() | removed_before) - listed.keys(), batch.as_of
        )
        self.item_by_key = listed
        self._significant_revision_by_key = {
            item.key: item.revision for item in batch.items
        }
        self.latest = batch.as_of if latest is None else latest
        self.history_from = batch.as_of
        self.epoch = batch.epoch
        self._was_restored = True
        self._advance_to(batch.as_of)
        return changed

    def _advance_to(self, as_of: int) -> None:
        """Set the store revision up to which this copy is complete."""
        self.as_of = as_of
        excess = len(self._removal_revision_by_key) - _MAX_TOMBSTONES
        if excess > 0:
            tombstones_by_age = sorted(
                self._removal_revision_by_key.items(), key=_removal_revision
            )
            for key, revision in tombstones_by_age[:excess]:
                if revision <= as_of:
                    del self._removal_revision_by_key[key]
                    self.history_from = max(self.history_from, revision)

    def _apply_item(self, item: store_items.StoreItemChange) -> bool:
        known = self.item_by_key.get(item.key)
        if known is not None:
            newest = known.revision
        else:
            # A key that is absent was removed, or did not exist at as_of.
            removal_revision = self._removal_revision_by_key.get(item.key, 0)
            newest = max(removal_revision, self.as_of)
        if item.revision <= newest:
            return False
        is_significant = (
            item.key in self.unconfirmed_keys
            or self._is_significant_change(known, item)
        )
        self.unconfirmed_keys.discard(item.key)
        if is_significant:
            self.latest = max(self.latest, item.revision)
        if item.value is None:
            self.item_by_key.pop(item.key, None)
            self._significant_revision_by_key.pop(item.key, None)
            self._removal_revision_by_key[item.key] = item.revision
        else:
            self._removal_revision_by_key.pop(item.key, None)
            self.item_by_key[item.key] = item
            if is_significant:
                self._significant_revision_by_key[item.key] = item.revision
        return is_significant

    def _is_significant_change(
        self,
        known: store_items.StoreItemChange | None,
        item: store_items.StoreItemChange,
    ) -> bool:
        before = known.value if known is not None else None
        if before is None or item.value is None:
            return before is not item.value
        return self._significant_part(before) != self._significant_part(
            item.value
        )
