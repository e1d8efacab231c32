"""Slots of a failure domain's targets, granted to its instances.

For every target, slots held by instances plus slots whose holder is in doubt
never exceed the target's slots. A holder that falls silent is in doubt until
its grant has run out and the longest request started under it is over.
"""

import collections
from collections import abc
import math

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module


class TargetSlots(msgspec.Struct, frozen=True):
    """What the ledger needs to know of a target.

    Args:
        service (str): Its service.
        slots (int): Requests that it may have outstanding.
        longest_s (float): Longest time that a request may run on it.
    """

    service: ids.ServiceId
    slots: int
    longest_s: float


class _Holder:
    """One instance's slots."""

    def __init__(self, now: float) -> None:
        self.reported_at = now
        self.number = 0
        self.held_by_target: dict[ids.TargetId, int] = {}
        self.limit_by_target: dict[ids.TargetId, int] = {}
        self.in_use_by_target: dict[ids.TargetId, int] = {}
        self.wanted_by_service: dict[ids.ServiceId, int] = {}
        self.avoid: frozenset[ids.TargetId] = frozenset()
        self.use_by_service: dict[ids.ServiceId, pm.ServiceUse] = {}


class _Doubt(msgspec.Struct):
    """Slots that nobody known holds but that may be in use."""

    slots: int
    until: float


class SlotLedger:
    """Who holds which slots.

    Args:
        clock (Clock): Time.
        valid_s (float): How long a grant may be used without contact.
    """

    def __init__(self, clock: clock_module.Clock, valid_s: float) -> None:
        self._clock = clock
        self._valid_s = valid_s
        self._target_by_id: dict[ids.TargetId, TargetSlots] = {}
        self._holder_by_id: dict[ids.HolderId, _Holder] = {}
        self._doubt_by_target: dict[ids.TargetId, _Doubt] = {}
        self._reset_at = clock.now()

    def configure(
        self, target_by_id: abc.Mapping[ids.TargetId, TargetSlots]
    ) -> None:
        """Set the targets.

        An unseen one is in doubt as long as an earlier coordinator's
        instances may still use it.
        """
        for target_id, target in target_by_id.items():
            if target_id not in self._target_by_id:
                self._put_in_doubt(target_id, target)
        self._target_by_id = dict(target_by_id)

    def _put_in_doubt(
        self, target_id: ids.TargetId, target: TargetSlots
    ) -> None:
        until = self._reset_at + self._valid_s + target.longest_s
        known = sum(
            holder.held_by_target.get(target_id, 0)
            for holder in self._holder_by_id.values()
        )
        slots = max(0, target.slots - known)
        self._doubt_by_target[target_id] = _Doubt(slots, until)

    def export(
        self,
    ) -> tuple[
        dict[ids.HolderId, dict[ids.TargetId, int]],
        dict[ids.TargetId, pm.SlotDoubt],
    ]:
        """Slots held and slots in doubt, for a successor."""
        now = self._clock.now()
        held = {
            holder_id: dict(holder.held_by_target)
            for holder_id, holder in self._holder_by_id.items()
        }
        doubts = {
            target: pm.SlotDoubt(doubt.slots, doubt.until - now)
            for target, doubt in self._doubt_by_target.items()
            if doubt.until > now
        }
        return held, doubts

    def load(
        self,
        slots_by_holder: abc.Mapping[
            ids.HolderId, abc.Mapping[ids.TargetId, int]
        ],
        doubt_by_target: abc.Mapping[ids.TargetId, pm.SlotDoubt],
    ) -> None:
        """Take over from a predecessor that grants nothing any more."""
        now = self._clock.now()
        self._holder_by_id.clear()
        for holder_id, held_by_target in slots_by_holder.items():
            holder = _Holder(now)
            holder.held_by_target = dict(held_by_target)
            holder.limit_by_target = dict(held_by_target)
            self._holder_by_id[holder_id] = holder
        self._doubt_by_target = {
            target: _Doubt(doubt.slots, now + doubt.left_s)
            for target, doubt in doubt_by_target.items()
        }

    def reset(self) -> None:
        """Forget all holders and doubt every slot, on taking office."""
        self._reset_at = self._clock.now()
        self._holder_by_id.clear()
        for target_id, target in self._target_by_id.items():
            self._put_in_doubt(target_id, target)

    def report(
        self,
        instance: ids.HolderId,
        acks: int,
        slots: pm.SlotReport,
    ) -> None:
        """Take an instance's report.

        Args:
            instance (str): Who reports.
            acks (int): Number of the latest allotment it applied. Slots
                given back count only if no later one is under way.
            slots (SlotReport): What it holds, uses and wants.
        """
        now = self._clock.now()
        state_by_target = slots.state_by_target
        holder = self._holder_by_id.get(instance)
        if holder is None:
            holder = self._adopt(instance, state_by_target, now)
        holder.reported_at = now
        holder.wanted_by_service = dict(slots.wanted_by_service)
        holder.avoid = frozenset(slots.avoid)
        holder.use_by_service = dict(slots.use_by_service)
        holder.in_use_by_target = {
            target: state.in_use for target, state in state_by_target.items()
        }
        if acks != holder.number:
            return
        holder.held_by_target = {
            target: max(state.limit, state.in_use)
            for target, state in state_by_target.items()
        }
        holder.limit_by_target = {
            target: min(limit, state_by_target[target].limit)
            for target, limit in holder.limit_by_target.items()
            if target in state_by_target
        }

    def _adopt(
        self,
        instance: ids.HolderId,
        state_by_target: abc.Mapping[ids.TargetId, pm.SlotState],
        now: float,
    ) -> _Holder:
        holder = _Holder(now)
        self._holder_by_id[instance] = holder
        for target, state in state_by_target.items():
            held = max(state.limit, state.in_use)
            holder.limit_by_target[target] = state.limit
            holder.held_by_target[target] = held
            doubt = self._doubt_by_target.get(target)
            if doubt is not None:
                doubt.slots = max(0, doubt.slots - held)
        return holder

    def remove(self, instance: ids.HolderId) -> None:
        """Forget an instance that handed everything back."""
        self._holder_by_id.pop(instance, None)

    def allot(self, instance: ids.HolderId) -> dict[ids.TargetId, int]:
        """Grant what an instance wants as far as slots are free.

        Returns:
            All slots that it holds from now on, by target.
        """
        holder = self._holder_by_id[instance]
        holder.number += 1
        self._trim(holder)
        for service, wanted in holder.wanted_by_service.items():
            self._give(holder, service, self._fair(holder, service, wanted))
        for target, limit in holder.limit_by_target.items():
            held = holder.held_by_target.get(target, 0)
            holder.held_by_target[target] = max(held, limit)
        return dict(holder.limit_by_target)

    def number(self, instance: ids.HolderId) -> int:
        """Number of the latest allotment of an instance."""
        return self._holder_by_id[instance].number

    def _trim(self, holder: _Holder) -> None:
        """Take back what exceeds a target's present slots."""
        for target_id in list(holder.limit_by_target):
            target = self._target_by_id.get(target_id)
            if target is None:
                del holder.limit_by_target[target_id]
                continue
            excess = self._committed(target_id) - target.slots
            limit = holder.limit_by_target[target_id]
            if excess > 0:
                holder.limit_by_target[target_id] = max(0, limit - excess)

    def _fair(
        self, holder: _Holder, service: ids.ServiceId, wanted: int
    ) -> int:
        """No more than an equal part while another holder lacks its own."""
        part = self._equal_part(service)
        oldest = self._clock.now() - self._valid_s
        is_other_short = any(
            other is not holder
            and other.reported_at > oldest
            and other.wanted_by_service.get(service, 0) > 0
            and self._total(other, service) < part
            for other in self._holder_by_id.values()
        )
        if not is_other_short:
            return wanted
        return min(wanted, max(0, part - self._total(holder, service)))

    def _equal_part(self, service: ids.ServiceId) -> int:
        slots = sum(
            self._target_by_id[target].slots
            for target in self._targets_of(service)
        )
        return math.floor(slots / max(1, len(self._holder_by_id)))

    def _give(
        self, holder: _Holder, service: ids.ServiceId, wanted: int
    ) -> None:
        free_by_target = {
            target: free
            for target in self._targets_of(service)
            if target not in holder.avoid and (free := self.free(target)) > 0
        }
        for _ in range(wanted):
            if not free_by_target:
                return
            target = max(
                free_by_target,
                key=lambda t: (
                    free_by_target[t],
                    -holder.limit_by_target.get(t, 0),
                ),
            )
            limit = holder.limit_by_target.get(target, 0) + 1
            holder.limit_by_target[target] = limit
            held = holder.held_by_target.get(target, 0)
            holder.held_by_target[target] = max(held, limit)
            free_by_target[target] -= 1
            if not free_by_target[target]:
                del free_by_target[target]

    def _targets_of(self, service: ids.ServiceId) -> list[ids.TargetId]:
        return [
            target_id
            for target_id, target in self._target_by_id.items()
            if target.service == service
        ]

    def _committed(self, target: ids.TargetId) -> int:
        now = self._clock.now()
        self._forget_silent(now)
        held = sum(
            holder.held_by_target.get(target, 0)
            for holder in self._holder_by_id.values()
        )
        doubt = self._doubt_by_target.get(target)
        if doubt is not None and doubt.until <= now:
            del self._doubt_by_target[target]
            doubt = None
        return held + (doubt.slots if doubt else 0)

    def _forget_silent(self, now: float) -> None:
        longest = max(
            (target.longest_s for target in self._target_by_id.values()),
            default=0.0,
        )
        silent = [
            instance
            for instance, holder in self._holder_by_id.items()
            if now - holder.reported_at > self._valid_s + longest
        ]
        for instance in silent:
            del self._holder_by_id[instance]

    def free(self, target: ids.TargetId) -> int:
        """Slots of a target that nobody holds and nobody may be using."""
        known = self._target_by_id.get(target)
        if known is None:
            return 0
        return max(0, known.slots - self._committed(target))

    def total_free(self) -> int:
        """Free slots of all targets."""
        return sum(self.free(target) for target in self._target_by_id)

    def in_use(self, target: ids.TargetId) -> int:
        """Slots of a target that instances reported as used."""
        return sum(
            holder.in_use_by_target.get(target, 0)
            for holder in self._holder_by_id.values()
        )

    def usage(self, service: ids.ServiceId) -> tuple[int, float]:
        """Slots of a service, and how many are in use or in doubt."""
        slots = 0
        busy = sum(
            holder.use_by_service[service].busy
            for holder in self._holder_by_id.values()
            if service in holder.use_by_service
        )
        for target in self._targets_of(service):
            slots += self._target_by_id[target].slots
            self._committed(target)
            doubt = self._doubt_by_target.get(target)
            busy += doubt.slots if doubt else 0
        return slots, busy

    def hold_s(self, service: ids.ServiceId) -> float:
        """Mean time for which a request holds a slot, 0 if not known."""
        times = [
            holder.use_by_service[service].hold_s
            for holder in self._holder_by_id.values()
            if service in holder.use_by_service
        ]
        return sum(times) / len(times) if times else 0.0

    def services(self) -> set[ids.ServiceId]:
        """Services with targets in the failure domain."""
        return {target.service for target in self._target_by_id.values()}

    def recall(
        self, instance: ids.HolderId, service: ids.ServiceId
    ) -> list[ids.HolderId]:
        """Make room for an instance that got too little.

        Instances with idle slots are asked for them. If the asking one
        holds less than an equal part, those that hold more have their
        limits lowered, so that slots come free as their requests end.

        Returns:
            The instances that should report.
        """
        holder = self._holder_by_id[instance]
        wanted = holder.wanted_by_service.get(service, 0)
        if wanted <= 0:
            return []
        total_by_instance = {
            other: self._total(held, service)
            for other, held in self._holder_by_id.items()
        }
        others = [i for i in self._holder_by_id if i != instance]
        asked = [
            other
            for other in others
            if self._idle(self._holder_by_id[other], service) > 0
        ]
        lowered = self._level(instance, service, total_by_instance)
        return sorted({*asked, *lowered})

    def _total(self, holder: _Holder, service: ids.ServiceId) -> int:
        targets = self._targets_of(service)
        return sum(holder.limit_by_target.get(t, 0) for t in targets)

    def _idle(self, holder: _Holder, service: ids.ServiceId) -> int:
        in_use = sum(
            holder.in_use_by_target.get(t, 0)
            for t in self._targets_of(service)
        )
        return self._total(holder, service) - in_use

    def _level(
        self,
        instance: ids.HolderId,
        service: ids.ServiceId,
        total_by_instance: dict[ids.HolderId, int],
    ) -> list[ids.HolderId]:
        part = self._equal_part(service)
        missing = part - total_by_instance[instance]
        lowered: list[ids.HolderId] = []
        for other, total in total_by_instance.items():
            excess = min(missing, total - part)
            if other == instance or excess <= 0:
                continue
            self._lower(self._holder_by_id[other], service, excess)
            missing -= excess
            lowered.append(other)
        return lowered

    def _lower(
        self, holder: _Holder, service: ids.ServiceId, count: int
    ) -> None:
        by_limit = collections.Counter(
            {
                target: holder.limit_by_target.get(target, 0)
                for target in self._targets_of(service)
            }
        )
        for _ in range(count):
            target, limit = by_limit.most_common(1)[0]
            if limit <= 0:
                return
            by_limit[target] -= 1
            holder.limit_by_target[target] = limit - 1
