"""A target in virtual time: slots, a queue, a memory for a few objects."""

import collections
import heapq
import random

import msgspec

from chicorydoor.protocol import ids


class TargetTraits(msgspec.Struct, frozen=True):
    """How a target behaves.

    Args:
        slots (int): Requests at the same time. Defaults to 9.
        queue (int): Requests that may wait; more are refused. Defaults to
            27.
        remembered (int): Objects that it handles faster, the latest ones.
            Defaults to 67.
        known_part (float): Work for a remembered object, as part of that
            for any other. Defaults to 0.3.
        spread (float): Standard deviation of the logarithm of the work.
            Defaults to 0.15.
    """

    slots: int = 9
    queue: int = 27
    remembered: int = 67
    known_part: float = 0.3
    spread: float = 0.15


class ModelTarget:
    """Works on requests in virtual time.

    Args:
        target_id (str): Its id.
        region (str): Where it is.
        traits (TargetTraits): How it behaves.
    """

    def __init__(
        self,
        target_id: ids.TargetId,
        region: ids.RegionId,
        traits: TargetTraits,
    ) -> None:
        self.target_id = target_id
        self.region = region
        self.traits = traits
        self._objects: collections.OrderedDict[object, None] = (
            collections.OrderedDict()
        )
        self._free_at = [0.0] * traits.slots
        self._ends_at: list[float] = []

    def running(self, now: float) -> int:
        """Requests that run or wait."""
        while self._ends_at and self._ends_at[0] <= now:
            heapq.heappop(self._ends_at)
        return len(self._ends_at)

    def take(
        self, subject: object, work_s: float, now: float, rng: random.Random
    ) -> float | None:
        """Take a request.

        Args:
            subject (object): Names the object that it is about.
            work_s (float): Mean time for an object that is not remembered.
            now (float): When it arrives.
            rng (Random): Randomness.

        Returns:
            When the answer leaves, or None if it is refused.
        """
        traits = self.traits
        if self.running(now) >= traits.slots + traits.queue:
            return None
        part = traits.known_part if subject in self._objects else 1.0
        work_s *= part * rng.lognormvariate(0.0, traits.spread)
        ends_at = max(now, heapq.heappop(self._free_at)) + work_s
        heapq.heappush(self._free_at, ends_at)
        heapq.heappush(self._ends_at, ends_at)
        self._objects[subject] = None
        self._objects.move_to_end(subject)
        while len(self._objects) > traits.remembered:
            self._objects.popitem(last=False)
        return ends_at
