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


def designate(
    target_id: ids.TargetId,
    instances: abc.Collection[ids.InstanceId],
    count: int,
    preferred: abc.Collection[ids.InstanceId] = (),
) -> set[ids.InstanceId]:
    """Return the designated entries of a target.

    Args:
        target_id (str): The target.
        instances (Collection): Instance ids of all entries.
        count (int): Number of entries to designate, all if there are fewer.
        preferred (Collection): Those of ``instances`` of which half of the
            designated are taken, as far as there are so many. Defaults to
            none.
    """
    subject = target_id.encode()
    half = (count + 1) // 2
    chosen = set(rendezvous.rank(subject, preferred, str)[:half])
    others = rendezvous.rank(subject, instances, str)
    for instance in others:
        if len(chosen) >= count:
            break
        chosen.add(instance)
    return chosen


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
        return self._instance in designate(
            target_id, list(self._get_instances()), ENTRIES_PER_TARGET
        )
