"""Which targets have lately handled an object, over all entries.

An entry notes where it sends; what is new it passes on to the others, since
callers of one object come to several entries.
"""

import collections
import typing

import msgspec

from chicorydoor.protocol import ids

# Targets forget objects by the number of newer ones, not by time; this
# bounds how long a wrong belief lasts.
_KEPT_S = 120.0
# A sighting is told again when it has become this old elsewhere.
_RETOLD_S = 20.0
# Objects remembered by an entry; the least recently used goes first.
_OBJECTS = 50_000
# News of an entry in one message; beyond that other entries learn later.
_NEWS = 500

ObjectId = tuple[ids.RouteId, bytes]
# A target's id and the start of its incarnation: a new one knows nothing.
Holder = tuple[ids.TargetId, int]


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """A target has handled an object."""

    route_id: ids.RouteId
    affinity: bytes
    target_id: ids.TargetId
    started_ms: int


class ObjectMemory:
    """Last use of objects at targets."""

    def __init__(self) -> None:
        self._used_at_by_object: collections.OrderedDict[
            ObjectId, dict[Holder, float]
        ] = collections.OrderedDict()
        self._told_at_by_holding: dict[tuple[ObjectId, Holder], float] = {}
        self._news: list[Sighting] = []

    def note(self, subject: ObjectId, holder: Holder, now: float) -> None:
        """A target has handled an object for this entry."""
        self._remember(subject, holder, now)
        holding = (subject, holder)
        told_at = self._told_at_by_holding.get(holding)
        if told_at is not None and now - told_at < _RETOLD_S:
            return
        if len(self._news) >= _NEWS:
            return
        self._told_at_by_holding[holding] = now
        self._news.append(Sighting(*subject, *holder))

    def take_news(self, now: float) -> list[Sighting]:
        """What other entries have not been told yet."""
        news, self._news = self._news, []
        if len(self._told_at_by_holding) > _OBJECTS:
            self._told_at_by_holding = {
                holding: at
                for holding, at in self._told_at_by_holding.items()
                if now - at < _RETOLD_S
            }
        return news

    def hear(self, sightings: typing.Iterable[Sighting], now: float) -> None:
        """Another entry tells what targets have handled."""
        for sighting in sightings:
            subject = (sighting.route_id, sighting.affinity)
            holder = (sighting.target_id, sighting.started_ms)
            self._remember(subject, holder, now)

    def _remember(self, subject: ObjectId, holder: Holder, now: float) -> None:
        used_at = self._used_at_by_object.setdefault(subject, {})
        used_at[holder] = now
        self._used_at_by_object.move_to_end(subject)
        while len(self._used_at_by_object) > _OBJECTS:
            self._used_at_by_object.popitem(last=False)

    def holders(
        self, subject: ObjectId, now: float
    ) -> typing.Collection[Holder]:
        """Targets that have lately handled an object."""
        used_at = self._used_at_by_object.get(subject)
        if used_at is None:
            return ()
        stale = [each for each, at in used_at.items() if now - at > _KEPT_S]
        for holder in stale:
            del used_at[holder]
        return used_at.keys()
