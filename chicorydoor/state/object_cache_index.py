"""Object cache index: the targets that have recently handled an object.

The affinity key of a request names the object that it is about. An entry
records the targets that have handled its requests for an object, and publishes
new pairs of object and target to its peers, since the callers of one object
use several entries.
"""

import collections
import typing

import msgspec

from chicorydoor.protocol import ids

# Targets evict objects by the number of newer ones, not by time; this bounds
# how long the index may be wrong about an object.
_CACHED_TTL_S = 120.0
# A pair of object and target is published again at its first use after this
# time.
_REPUBLISH_S = 20.0
# Objects in the index; the least recently used is evicted first. Above the
# same number of published pairs, old ones are removed.
_MAX_OBJECTS = 50_000
# Cached objects in one message; later ones are published at their next use.
_MAX_PUBLISHED = 500

ObjectId = tuple[ids.RouteId, bytes]


class CachedObject(msgspec.Struct, frozen=True, array_like=True):
    """A target that has handled an object and so has it in its cache.

    Args:
        route_id (str): Route of the object.
        affinity_key (bytes): Affinity key of the object.
        target_id (str): The target.
        started_ms (int): Start of the target's incarnation, milliseconds
            since the epoch.
    """

    route_id: ids.RouteId
    affinity_key: bytes
    target_id: ids.TargetId
    started_ms: int


class ObjectCacheIndex:
    """Time of the last use of objects at targets, and what to publish."""

    def __init__(self) -> None:
        self._used_at_by_object: collections.OrderedDict[
            ObjectId, dict[ids.TargetIncarnation, float]
        ] = collections.OrderedDict()
        self._published_at_by_pair: dict[
            tuple[ObjectId, ids.TargetIncarnation], float
        ] = {}
        self._unpublished: list[CachedObject] = []

    def record_use(
        self,
        object_id: ObjectId,
        incarnation: ids.TargetIncarnation,
        now: float,
    ) -> None:
        """Record that a target has handled an object for this entry."""
        self._set_used_at(object_id, incarnation, now)
        pair = (object_id, incarnation)
        published_at = self._published_at_by_pair.get(pair)
        if published_at is not None and now - published_at < _REPUBLISH_S:
            return
        if len(self._unpublished) >= _MAX_PUBLISHED:
            return
        self._published_at_by_pair[pair] = now
        self._unpublished.append(CachedObject(*object_id, *incarnation))

    def pop_unpublished(self, now: float) -> list[CachedObject]:
        """Remove and return the cached objects to publish to peers."""
        unpublished, self._unpublished = self._unpublished, []
        if len(self._published_at_by_pair) > _MAX_OBJECTS:
            self._published_at_by_pair = {
                pair: at
                for pair, at in self._published_at_by_pair.items()
                if now - at < _REPUBLISH_S
            }
        return unpublished

    def apply_published(
        self, cached_objects: typing.Iterable[CachedObject], now: float
    ) -> None:
        """Record the cached objects that a peer published."""
        for cached in cached_objects:
            object_id = (cached.route_id, cached.affinity_key)
            incarnation = (cached.target_id, cached.started_ms)
            self._set_used_at(object_id, incarnation, now)

    def _set_used_at(
        self,
        object_id: ObjectId,
        incarnation: ids.TargetIncarnation,
        now: float,
    ) -> None:
        used_at_by_incarnation = self._used_at_by_object.setdefault(
            object_id, {}
        )
        used_at_by_incarnation[incarnation] = now
        self._used_at_by_object.move_to_end(object_id)
        while len(self._used_at_by_object) > _MAX_OBJECTS:
            self._used_at_by_object.popitem(last=False)

    def caching_targets(
        self, object_id: ObjectId, now: float
    ) -> typing.Mapping[ids.TargetIncarnation, float]:
        """Incarnations of targets that have recently handled an object.

        Returns:
            The time of the latest known use by incarnation, in seconds.
        """
        used_at_by_incarnation = self._used_at_by_object.get(object_id)
        if used_at_by_incarnation is None:
            return {}
        stale = [
            each
            for each, at in used_at_by_incarnation.items()
            if now - at > _CACHED_TTL_S
        ]
        for incarnation in stale:
            del used_at_by_incarnation[incarnation]
        return used_at_by_incarnation
