"""Store copies never return to older revisions, in any order of updates."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from chicorydoor.protocol import store_items
from chicorydoor.state import store_mirror

_KEYS = ("a", "b", "c")


def _item(key, revision, value=b"v"):
    return store_items.StoreItemChange(key, revision, value)


def _batch(as_of, *items):
    return store_items.StoreItemBatch(list(items), as_of)


class TestMerge:
    def test_older_revision_is_ignored(self):
        mirror = store_mirror.StoreMirror("")
        mirror.merge(_batch(5, _item("a", 5, b"new")), 0)
        assert mirror.merge(_batch(5, _item("a", 4, b"old")), 0) == []
        assert mirror.item_by_key["a"].value == b"new"

    def test_removed_key_does_not_come_back(self):
        mirror = store_mirror.StoreMirror("")
        mirror.merge(_batch(5, _item("a", 5)), 0)
        mirror.merge(_batch(7, _item("a", 7, None)), 5)
        assert mirror.merge(_batch(6, _item("a", 6)), 5) == []
        assert mirror.item_by_key == {}

    def test_batch_after_a_gap_does_not_advance(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(5))
        changed = mirror.merge(_batch(9, _item("a", 9)), 8)
        assert [item.key for item in changed] == ["a"]
        assert mirror.as_of == 5

    def test_write_without_a_significant_change_is_no_change(self):
        # Only the first byte of a value is significant.
        mirror = store_mirror.StoreMirror("", lambda value: value[:1])
        mirror.merge(_batch(5, _item("a", 5, b"x1")), 0)
        assert mirror.merge(_batch(6, _item("a", 6, b"x2")), 5) == []
        assert mirror.latest == 5
        assert mirror.as_of == 6


class TestChangesForPeers:
    def test_change_applied_out_of_order_is_passed_on(self):
        # The reader gets the change after a gap, then without a gap.
        reader = store_mirror.StoreMirror("")
        reader.replace(_batch(5))
        reader.merge(_batch(9, _item("a", 9)), 8)
        reader.merge(_batch(9, _item("a", 9)), 5)
        other = store_mirror.StoreMirror("")
        other.replace(_batch(5))
        other.merge(reader.changes_since(5), 5)
        assert other.as_of == 9
        assert "a" in other.item_by_key

    def test_removal_applied_out_of_order_is_passed_on(self):
        # The reader gets the removal after a gap, then without a gap.
        reader = store_mirror.StoreMirror("")
        reader.replace(_batch(5, _item("a", 4)))
        reader.merge(_batch(9, _item("a", 9, None)), 8)
        reader.merge(_batch(9, _item("a", 9, None)), 5)
        other = store_mirror.StoreMirror("")
        other.replace(_batch(5, _item("a", 4)))
        other.merge(reader.changes_since(5), 5)
        assert other.item_by_key == {}

    def test_writes_without_a_change_are_left_out(self):
        mirror = store_mirror.StoreMirror("", lambda value: value[:1])
        mirror.merge(_batch(5, _item("a", 5, b"x1")), 0)
        mirror.merge(_batch(8, _item("a", 8, b"x2")), 5)
        assert mirror.changes_since(5).items == []


class TestExtents:
    def test_extent_of_a_later_listing_does_not_advance(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(5, _item("a", 5)))
        peer = store_mirror.StoreMirror("")
        peer.replace(_batch(9))
        assert not mirror.advance_to_extent(peer.as_of, peer.latest)
        assert mirror.as_of == 5

    def test_extent_without_a_later_change_advances(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(5, _item("a", 5)))
        assert mirror.advance_to_extent(9, 5)
        assert mirror.as_of == 9


class TestReplace:
    def test_missing_keys_are_removed(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(5, _item("a", 3), _item("b", 4)))
        changed = mirror.replace(_batch(9, _item("b", 4)))
        assert [(item.key, item.value) for item in changed] == [("a", None)]

    def test_older_listing_is_ignored(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(9, _item("a", 9)))
        assert mirror.replace(_batch(5)) == []
        assert "a" in mirror.item_by_key

    def test_key_newer_than_the_listing_stays(self):
        mirror = store_mirror.StoreMirror("")
        mirror.replace(_batch(5))
        mirror.merge(_batch(9, _item("a", 9)), 8)
        mirror.replace(_batch(7))
        assert "a" in mirror.item_by_key

    # Guards against copies that make their receivers pass for ahead of the
    # sender, so that other entries request copies from them in turn.
    def test_copy_has_the_extent_of_its_sender(self):
        sender = store_mirror.StoreMirror("")
        sender.replace(_batch(5, _item("a", 3)))
        sender.advance_to_extent(9, 5)
        receiver = store_mirror.StoreMirror("")
        receiver.replace(_batch(4, _item("a", 3)))
        receiver.replace(sender.snapshot(), sender.latest)
        assert (receiver.as_of, receiver.latest) == (9, 5)


class _Store:
    """Reference store from which listings, events and copies are taken."""

    def __init__(self):
        self.revision = 1
        self.history = []

    def write(self, key, value):
        self.revision += 1
        self.history.append(_item(key, self.revision, value))

    def at(self, revision):
        """The items by key as of a revision."""
        items = {}
        for item in self.history:
            if item.revision <= revision:
                items[item.key] = item
        return {k: i for k, i in items.items() if i.value is not None}


class MirrorMachine(RuleBasedStateMachine):
    """Two mirrors updated from a store and each other, out of order.

    Guards against keys that return to an older revision, removed keys that
    reappear, and an ``as_of`` up to which changes are missing.
    """

    def __init__(self):
        super().__init__()
        self.store = _Store()
        self.mirrors = [store_mirror.StoreMirror("") for _ in range(2)]
        self.messages = []
        self.revision_by_key_by_mirror = [{}, {}]

    @rule(key=st.sampled_from(_KEYS), value=st.sampled_from([b"1", b"2"]))
    def write(self, key, value):
        self.store.write(key, value)

    @rule(key=st.sampled_from(_KEYS))
    def remove(self, key):
        if key in self.store.at(self.store.revision):
            self.store.write(key, None)

    @rule(mirror_index=st.integers(0, 1))
    def list_all(self, mirror_index):
        items = self.store.at(self.store.revision)
        batch = _batch(self.store.revision, *items.values())
        self._check_mirror(
            mirror_index, self.mirrors[mirror_index].replace(batch)
        )

    @rule(mirror_index=st.integers(0, 1), lag=st.integers(0, 3))
    def watch_events(self, mirror_index, lag):
        mirror = self.mirrors[mirror_index]
        since = mirror.as_of
        if since == 0:
            return
        end = max(since, self.store.revision - lag)
        events = [
            item for item in self.store.history if since < item.revision <= end
        ]
        batch = _batch(end, *events)
        changed = mirror.merge(batch, since)
        self.messages.append(
            (1 - mirror_index, mirror.changes_since(since), since)
        )
        self._check_mirror(mirror_index, changed)

    @rule(message_index=st.integers(0, 50))
    def deliver(self, message_index):
        if self.messages:
            mirror_index, batch, since = self.messages[
                message_index % len(self.messages)
            ]
            self._check_mirror(
                mirror_index, self.mirrors[mirror_index].merge(batch, since)
            )

    @rule(mirror_index=st.integers(0, 1))
    def copy_from_peer(self, mirror_index):
        source = self.mirrors[1 - mirror_index]
        if source.as_of:
            changed = self.mirrors[mirror_index].replace(
                source.snapshot(), source.latest
            )
            self._check_mirror(mirror_index, changed)

    @rule(mirror_index=st.integers(0, 1))
    def changes_from_peer(self, mirror_index):
        mirror, peer = (
            self.mirrors[mirror_index],
            self.mirrors[1 - mirror_index],
        )
        if 0 < mirror.as_of >= peer.history_from:
            changed = mirror.merge(
                peer.changes_since(mirror.as_of), mirror.as_of
            )
            self._check_mirror(mirror_index, changed)

    @rule(mirror_index=st.integers(0, 1))
    def apply_extent(self, mirror_index):
        mirror, peer = (
            self.mirrors[mirror_index],
            self.mirrors[1 - mirror_index],
        )
        mirror.advance_to_extent(peer.as_of, peer.latest)
        self._check_mirror(mirror_index, [])

    def _check_mirror(self, mirror_index, changed):
        mirror = self.mirrors[mirror_index]
        revision_by_key = self.revision_by_key_by_mirror[mirror_index]
        for item in changed:
            assert item.revision >= revision_by_key.get(item.key, 0)
            revision_by_key[item.key] = item.revision
        expected = self.store.at(mirror.as_of)
        for key, item in expected.items():
            assert key in mirror.item_by_key or any(
                later.key == key and later.revision > mirror.as_of
                for later in self.store.history
            )
            held = mirror.item_by_key.get(key)
            # A later write of the same value is no change and may be missing.
            assert (
                held is None
                or held.revision >= item.revision
                or held.value == item.value
            )
        for key, item in mirror.item_by_key.items():
            if item.revision <= mirror.as_of:
                assert expected[key].value == item.value
                assert expected[key].revision >= item.revision


TestAnyOrder = MirrorMachine.TestCase
TestAnyOrder.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)


class TestLatest:
    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.sampled_from(_KEYS), max_size=8))
    def test_latest_is_the_last_change(self, keys):
        mirror = store_mirror.StoreMirror("")
        for revision, key in enumerate(keys, start=2):
            value = b"%d" % revision
            batch = _batch(revision, _item(key, revision, value))
            mirror.merge(batch, revision - 1)
        assert mirror.latest == (len(keys) + 1 if keys else 0)


class EpochMachine(RuleBasedStateMachine):
    """Two mirrors of a store that comes back from copies of itself.

    They learn of it at different times. Guards against revisions of two
    epochs that are compared with each other.
    """

    def __init__(self):
        super().__init__()
        self.epoch = 1
        self.store = _Store()
        self.store_by_epoch = {1: self.store}
        self.mirrors = [store_mirror.StoreMirror("") for _ in range(2)]
        self.messages = []

    def _batch(self, items):
        return store_items.StoreItemBatch(
            list(items), self.store.revision, self.epoch
        )

    @rule(
        key=st.sampled_from(_KEYS), value=st.sampled_from([b"1", b"2", None])
    )
    def write(self, key, value):
        if value is None and key not in self.store.at(self.store.revision):
            return
        self.store.write(key, value)

    @rule(age=st.integers(0, 8))
    def restore(self, age):
        copy = _Store()
        copy.revision = max(1, self.store.revision - age)
        copy.history = [
            item
            for item in self.store.history
            if item.revision <= copy.revision
        ]
        self.epoch += 1
        self.store = self.store_by_epoch[self.epoch] = copy

    @rule(mirror=st.integers(0, 1))
    def list_all(self, mirror):
        items = self.store.at(self.store.revision).values()
        self.mirrors[mirror].replace(self._batch(items))
        self._check_current(mirror)

    @rule(mirror=st.integers(0, 1))
    def watch(self, mirror):
        since = self.mirrors[mirror].as_of
        if not 0 < since <= self.store.revision:
            return
        batch = self._batch(
            item for item in self.store.history if item.revision > since
        )
        if self.mirrors[mirror].is_later_epoch(batch.epoch):
            self.list_all(mirror)
            return
        self.mirrors[mirror].merge(batch, since)
        self.messages.append(
            (1 - mirror, self.mirrors[mirror].changes_since(since), since)
        )
        self._check_current(mirror)

    @rule(index=st.integers(0, 50))
    def deliver(self, index):
        if self.messages:
            mirror, batch, since = self.messages[index % len(self.messages)]
            self.mirrors[mirror].merge(batch, since)

    @rule(mirror=st.integers(0, 1))
    def copy_from_peer(self, mirror):
        peer = self.mirrors[1 - mirror]
        if peer.as_of:
            self.mirrors[mirror].replace(peer.snapshot(), peer.latest)

    @rule(mirror=st.integers(0, 1))
    def apply_extent(self, mirror):
        peer = self.mirrors[1 - mirror]
        self.mirrors[mirror].advance_to_extent(
            peer.as_of, peer.latest, peer.epoch
        )

    def _check_current(self, mirror):
        held = self.mirrors[mirror].item_by_key
        expected = self.store.at(self.store.revision)
        assert {key: item.value for key, item in held.items()} == {
            key: item.value for key, item in expected.items()
        }

    @invariant()
    def mirrors_hold_what_their_epoch_held(self):
        for mirror in self.mirrors:
            if not mirror.as_of:
                continue
            store = self.store_by_epoch[mirror.epoch]
            expected = store.at(mirror.as_of)
            changed_later = {
                item.key
                for item in store.history
                if item.revision > mirror.as_of
            }
            for key in set(_KEYS) - changed_later:
                held = mirror.item_by_key.get(key)
                item = expected.get(key)
                assert (held and held.value) == (item and item.value)


TestEpochs = EpochMachine.TestCase
TestEpochs.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)
