"""Serves fewer objects while a target that cannot be replaced is overloaded.

Pattern: a large customer is bound to a region with few targets and asks for
more objects than these remember. Every request then pays the full price of
an object that was forgotten meanwhile, and nearly all are refused or late.
Served are only the requests about a share of the objects, the same on every
entry, which the targets can remember: several times as many in all. The
share shrinks while queues stay long and grows when they are short, slowly
near the point where they were long before.
"""

from chicorydoor.protocol import ids

# Values tried on the load ``bound-customer`` of the model; see
# bench/RESULTS.md.
_FIRST_SHARE = 0.4
_LEAST_SHARE = 0.05
_SHRINK = 0.7
_GROW = 0.05
_GROW_NEAR_LIMIT = 0.01
_NEAR_LIMIT = 0.7
# A limit is worth nothing after this time: load and targets have changed.
_LIMIT_KEPT_S = 15.0
# A queue is long if a request waits for this part of its objective.
_LONG_WAIT = 0.5
# Parts of the requests that met a long queue.
_OVERLOADED = 0.5
_FULL = 0.3
_FREE = 0.1
# Queues are judged once in a step with some requests at least.
_STEP_S = 1.0
_LEAST_REQUESTS = 3
# A cold start or a short burst is over by then.
_PATIENCE_S = 1.5
# Targets need this long to learn the objects of a smaller share.
_SETTLING_S = 3.0


class _Load:
    """One target's share and what its queue was like in this step."""

    __slots__ = (
        "asked",
        "held_until",
        "limit",
        "limit_at",
        "long",
        "long_since",
        "share",
        "step_at",
    )

    def __init__(self, now: float) -> None:
        self.share = 1.0
        self.asked = 0
        self.long = 0
        self.step_at = now
        self.long_since: float | None = None
        self.held_until = now
        self.limit = float("inf")
        self.limit_at = now

    def note(self, is_long: bool, now: float) -> None:
        """Take in what a request of the share found."""
        self.asked += 1
        self.long += is_long
        if now - self.step_at < _STEP_S or self.asked < _LEAST_REQUESTS:
            return
        part = self.long / self.asked
        if self.share >= 1.0:
            self._watch(part, now)
        elif now >= self.held_until:
            self._move(part, now)
        self.asked = self.long = 0
        self.step_at = now

    def _watch(self, part: float, now: float) -> None:
        """Begin to shed when the overload lasts."""
        if part < _OVERLOADED:
            self.long_since = None
            return
        if self.long_since is None:
            self.long_since = self.step_at
        if now - self.long_since >= _PATIENCE_S:
            self.share = _FIRST_SHARE
            self.held_until = now + _SETTLING_S

    def _move(self, part: float, now: float) -> None:
        if now - self.limit_at > _LIMIT_KEPT_S:
            self.limit = float("inf")
        if part > _FULL:
            self.limit, self.limit_at = self.share, now
            self.share = max(_LEAST_SHARE, self.share * _SHRINK)
            self.held_until = now + _SETTLING_S
        elif part < _FREE:
            is_near = self.share >= _NEAR_LIMIT * self.limit
            self.share += _GROW_NEAR_LIMIT if is_near else _GROW
            if self.share >= 1.0:
                self.share, self.long_since = 1.0, None


class ObjectShedding:
    """One entry's shares of the objects at overloaded targets."""

    def __init__(self) -> None:
        self._load_by_target: dict[ids.TargetId, _Load] = {}

    def admits(
        self,
        target_id: ids.TargetId,
        draw: float,
        waiting_s: float,
        objective_s: float,
        now: float,
    ) -> bool:
        """Whether a request that has no other region may be sent.

        Args:
            target_id (str): The target.
            draw (float): The object's place between 0 and 1, the same on
                every entry.
            waiting_s (float): Time until a slot is free.
            objective_s (float): The route's objective.
            now (float): Time.
        """
        load = self._load_by_target.get(target_id)
        if load is None:
            load = self._load_by_target[target_id] = _Load(now)
        if draw >= load.share:
            return False
        load.note(waiting_s > _LONG_WAIT * objective_s, now)
        return True

    def is_shedding(self, target_id: ids.TargetId) -> bool:
        """Whether a target serves only a share of its objects."""
        load = self._load_by_target.get(target_id)
        return load is not None and load.share < 1.0

    def keep_only(self, known: set[ids.TargetId]) -> None:
        """Forget targets that are gone."""
        for target_id in self._load_by_target.keys() - known:
            del self._load_by_target[target_id]
