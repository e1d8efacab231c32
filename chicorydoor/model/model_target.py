"""Simulated target in virtual time: slots, a queue and an object cache."""

import collections
from collections import abc
import heapq
import random

import msgspec

from chicorydoor.protocol import ids


class TargetParameters(msgspec.Struct, frozen=True):
    """Capacity and service times of a target.

    Args:
        slots (int): Requests that run at the same time. Defaults to 9.
        queue_limit (int): Requests that may wait; further ones are refused.
            Defaults to 27.
        cached_object_limit (int): Size of the object cache, with eviction of
            the least recently used. Defaults to 67.
        cached_service_time_ratio (float): Service time for a cached object, as
            a fraction of that for any other. Defaults to 0.3.
        service_time_log_std_dev (float): Standard deviation of the logarithm
            of the service time. Defaults to 0.15.
    """

    slots: int = 9
    queue_limit: int = 27
    cached_object_limit: int = 67
    cached_service_time_ratio: float = 0.3
    service_time_log_std_dev: float = 0.15


class ModelTarget:
    """Serves simulated requests in virtual time.

    Args:
        target_id (str): Id of the target.
        region (str): Region that it runs in.
        parameters (TargetParameters): Capacity and service times.
        rate_limit_per_s (callable): Returns the rate limit that it names in a
            response at a virtual time, None for none. Defaults to none.
    """

    def __init__(
        self,
        target_id: ids.TargetId,
        region: ids.RegionId,
        parameters: TargetParameters,
        rate_limit_per_s: abc.Callable[[float], float | None] = (
            lambda now: None
        ),
    ) -> None:
        self.target_id = target_id
        self.region = region
        self.parameters = parameters
        self.rate_limit_per_s = rate_limit_per_s
        self._cached_objects: collections.OrderedDict[object, None] = (
            collections.OrderedDict()
        )
        self._slot_free_at = [0.0] * parameters.slots
        self._request_ends_at: list[float] = []

    def outstanding_requests(self, now: float) -> int:
        """Return the number of requests that run or wait."""
        while self._request_ends_at and self._request_ends_at[0] <= now:
            heapq.heappop(self._request_ends_at)
        return len(self._request_ends_at)

    def admit_request(
        self,
        object_key: object,
        service_time_s: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Run or queue a request, or refuse it.

        Args:
            object_key (object): Identifies the requested object.
            service_time_s (float): Median service time in seconds for an
                object that is not cached.
            now (float): Virtual time of arrival in seconds.
            rng (Random): Source of the variation in service time.

        Returns:
            Virtual time in seconds at which the service ends, or None if
            the request is refused.
        """
        parameters = self.parameters
        if (
            self.outstanding_requests(now)
            >= parameters.slots + parameters.queue_limit
        ):
            return None
        service_time_ratio = (
            parameters.cached_service_time_ratio
            if object_key in self._cached_objects
            else 1.0
        )
        service_time_s *= service_time_ratio * rng.lognormvariate(
            0.0, parameters.service_time_log_std_dev
        )
        ends_at = max(now, heapq.heappop(self._slot_free_at)) + service_time_s
        heapq.heappush(self._slot_free_at, ends_at)
        heapq.heappush(self._request_ends_at, ends_at)
        self._cached_objects[object_key] = None
        self._cached_objects.move_to_end(object_key)
        while len(self._cached_objects) > parameters.cached_object_limit:
            self._cached_objects.popitem(last=False)
        return ends_at
