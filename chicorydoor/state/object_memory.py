"""Which targets an entry has lately sent requests about an object to."""

import collections
import typing

from chicorydoor.protocol import ids

# Targets forget objects by the number of newer ones, not by time; this only
# bounds how long a wrong belief lasts after another entry's traffic evicted.
_KEPT_S = 30.0
# Objects remembered by an entry; the least recently used goes first.
_OBJECTS = 20_000

ObjectId = tuple[ids.RouteId, bytes]


class ObjectMemory:
    """Last use of objects at targets."""

    def __init__(self) -> None:
        self._used_at_by_object: collections.OrderedDict[
            ObjectId, dict[ids.TargetId, float]
        ] = collections.OrderedDict()

    def note(
        self, subject: ObjectId, target_id: ids.TargetId, now: float
    ) -> None:
        """A target has handled an object."""
        used_at = self._used_at_by_object.setdefault(subject, {})
        used_at[target_id] = now
        self._used_at_by_object.move_to_end(subject)
        while len(self._used_at_by_object) > _OBJECTS:
            self._used_at_by_object.popitem(last=False)

    def targets(
        self, subject: ObjectId, now: float
    ) -> typing.Collection[ids.TargetId]:
        """Targets that have lately handled an object."""
        used_at = self._used_at_by_object.get(subject)
        if used_at is None:
            return ()
        stale = [t for t, at in used_at.items() if now - at > _KEPT_S]
        for target_id in stale:
            del used_at[target_id]
        return used_at.keys()

    def forget_target(self, target_id: ids.TargetId) -> None:
        """A target has started anew and remembers nothing."""
        for used_at in self._used_at_by_object.values():
            used_at.pop(target_id, None)
