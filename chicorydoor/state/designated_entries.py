"""Designation of the entries that do something to a target for all others.

If every entry did it, the target would get it as many times as there are
entries. All entries designate the same few by rendezvous hashing.
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.state import rendezvous

# More than one, so that a target is not left without any when an entry or a
# link is lost.
ENTRIES_PER_TARGET = 2


class DesignatedEntries:
    """The designated entries of each target, as one entry sees them.

    Args:
        instance (str): This entry's instance id.
        get_instances (callable): Returns the instance ids of the entries
            among which some are designated, including this one.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        get_instances: abc.Callable[[], abc.Iterable[ids.InstanceId]],
    ) -> None:
        self._instance = instance
        self._get_instances = get_instances

    def includes_this_entry(self, target_id: ids.TargetId) -> bool:
        """Whether this entry is designated for a target."""
        ranked = rendezvous.rank(
            target_id.encode(), self._get_instances(), str
        )
        return self._instance in ranked[:ENTRIES_PER_TARGET]
