"""Bounds the requests to targets that have just started.

Pattern: a cold target crashes when all entries send to it at once. For each
target a few designated entries, the same on every entry, share its rate in
fixed parts; the others send nothing until it is warm.
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.state import rendezvous

# Entries that may send to one cold target: more than one, so that the loss
# of an entry or of a link does not leave the target without any request.
_DESIGNATED = 2
_KEPT_BUCKETS = 1000


class ColdLimits:
    """One entry's parts of the rates of cold targets.

    Args:
        instance (str): The entry.
        members (callable): All entries that may be alive, the own included.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        members: abc.Callable[[], abc.Iterable[ids.InstanceId]],
    ) -> None:
        self._instance = instance
        self._members = members
        self._next_at_by_target: dict[ids.TargetId, float] = {}

    def is_designated(self, target_id: ids.TargetId) -> bool:
        """Whether the entry is one of those that send to a cold target."""
        ranked = rendezvous.ranked(target_id.encode(), self._members(), str)
        return self._instance in ranked[:_DESIGNATED]

    def may_send(self, target_id: ids.TargetId, now: float) -> bool:
        """Whether a request may be sent now; does not count it."""
        next_at = self._next_at_by_target.get(target_id, 0.0)
        return now >= next_at and self.is_designated(target_id)

    def note_sent(
        self, target_id: ids.TargetId, rate_per_s: float, now: float
    ) -> None:
        """Count a request.

        Args:
            target_id (str): Where it goes.
            rate_per_s (float): Requests that the target bears, of all
                entries.
            now (float): Time.
        """
        if rate_per_s <= 0:
            return
        if len(self._next_at_by_target) >= _KEPT_BUCKETS:
            self._next_at_by_target = {
                known: at
                for known, at in self._next_at_by_target.items()
                if at > now
            }
        self._next_at_by_target[target_id] = now + _DESIGNATED / rate_per_s
