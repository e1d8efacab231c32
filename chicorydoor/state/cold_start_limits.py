"""Rate limits for requests to targets in their cold start.

A cold target, one that still warms up, crashes when all entries send to it at
once. Only its designated entries send to it. They divide the target's rate
(``ServiceConfig.warm_up_rate_per_s``) equally, and no one uses the part of an
entry that is gone; the other entries send nothing until it is warm.
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.state import designated_entries

# Number of targets above which records of past sends are removed.
_MAX_TARGETS = 1000


class ColdStartLimits:
    """One entry's parts of the rates of cold targets.

    Args:
        instance (str): This entry's instance id.
        get_instances (callable): Returns the instance ids of all entries that
            may be alive, including this one.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        get_instances: abc.Callable[[], abc.Iterable[ids.InstanceId]],
    ) -> None:
        self._designated = designated_entries.DesignatedEntries(
            instance, get_instances
        )
        self._next_at_by_target: dict[ids.TargetId, float] = {}

    def may_send(self, target_id: ids.TargetId, now: float) -> bool:
        """Whether a request may be sent now; does not record it."""
        next_at = self._next_at_by_target.get(target_id, 0.0)
        return now >= next_at and self._designated.includes_this_entry(
            target_id
        )

    def record_sent(
        self, target_id: ids.TargetId, rate_per_s: float, now: float
    ) -> None:
        """Record a request that is sent.

        Args:
            target_id (str): The cold target.
            rate_per_s (float): Requests per second that the target accepts
                from all entries; 0 or less for no limit.
            now (float): Current time in seconds.
        """
        if rate_per_s <= 0:
            return
        if len(self._next_at_by_target) >= _MAX_TARGETS:
            self._next_at_by_target = {
                known: at
                for known, at in self._next_at_by_target.items()
                if at > now
            }
        self._next_at_by_target[target_id] = (
            now + designated_entries.ENTRIES_PER_TARGET / rate_per_s
        )
