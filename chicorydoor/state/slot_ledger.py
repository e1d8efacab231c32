"""Ledger of the slots of a failure domain's targets, granted to instances.

The ledger grants no slot of a target beyond those that the slots held by
instances plus the uncertain slots leave of the target's slots. If a target has
fewer slots than before, the limits of its holders are lowered with their next
grants. Slots are uncertain (``UnconfirmedSlots`` on the wire) if no known
instance holds them but an instance may still use them. The slots of an
instance that stops reporting stay occupied until its grant has expired and
the longest request started under the grant is over.
"""

import collections
from collections import abc
import math

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module


class TargetSlots(msgspec.Struct, frozen=True):
    """Configuration of a target's slots.

    Args:
        service (str): The target's service.
        slots (int): Limit of the target's outstanding requests.
        max_request_s (float): Longest time in seconds that a request may run
            on the target.
    """

    service: ids.ServiceId
    slots: int
    max_request_s: float


class _Holder:
    """Slots and latest report of one instance.

    ``limit_by_target`` has the granted slots. ``held_by_target`` has the
    slots that count as occupied: it follows a lowered limit only once a
    report confirms it. ``avoid`` has the targets whose slots the instance
    would not use.
    """

    def __init__(self, now: float) -> None:
        self.reported_at = now
        self.grant_number = 0
        self.held_by_target: dict[ids.TargetId, int] = {}
        self.limit_by_target: dict[ids.TargetId, int] = {}
        self.in_use_by_target: dict[ids.TargetId, int] = {}
        self.wanted_by_service: dict[ids.ServiceId, int] = {}
        self.avoid: frozenset[ids.TargetId] = frozenset()
        self.use_by_service: dict[ids.ServiceId, pm.ServiceUse] = {}


class _UncertainSlots(msgspec.Struct):
    """Slots that no known instance holds but that may still be in use."""

    slots: int
    expires_at: float


class SlotLedger:
    """Slots granted to instances, by instance and target.

    An instance that was restarted is another holder: a holder's id is formed
    of instance id and incarnation.

    Args:
        clock (Clock): Source of the time.
        valid_s (float): Seconds for which a grant may be used without
            contact.
    """

    def __init__(self, clock: clock_module.Clock, valid_s: float) -> None:
        self._clock = clock
        self._valid_s = valid_s
        self._target_by_id: dict[ids.TargetId, TargetSlots] = {}
        self._holder_by_id: dict[ids.GrantHolderId, _Holder] = {}
        self._uncertain_by_target: dict[ids.TargetId, _UncertainSlots] = {}
        self._reset_at = clock.now()

    def configure(
        self, target_by_id: abc.Mapping[ids.TargetId, TargetSlots]
    ) -> None:
        """Set the targets.

        The slots of a new target are uncertain as long as instances may
        still use them under grants of an earlier coordinator.
        """
        for target_id, target in target_by_id.items():
            if target_id not in self._target_by_id:
                self._mark_uncertain(target_id, target)
        self._target_by_id = dict(target_by_id)

    def _mark_uncertain(
        self, target_id: ids.TargetId, target: TargetSlots
    ) -> None:
        expires_at = self._reset_at + self._valid_s + target.max_request_s
        held = sum(
            holder.held_by_target.get(target_id, 0)
            for holder in self._holder_by_id.values()
        )
        slots = max(0, target.slots - held)
        self._uncertain_by_target[target_id] = _UncertainSlots(
            slots, expires_at
        )

    def export(
        self,
    ) -> tuple[
        dict[ids.GrantHolderId, dict[ids.TargetId, int]],
        dict[ids.TargetId, pm.UnconfirmedSlots],
    ]:
        """Export held and uncertain slots for the next coordinator.

        Returns:
            Held slots by instance and target, and uncertain slots by target.
        """
        now = self._clock.now()
        held = {
            holder_id: dict(holder.held_by_target)
            for holder_id, holder in self._holder_by_id.items()
        }
        uncertain_by_target = {
            target: pm.UnconfirmedSlots(
                uncertain.slots, uncertain.expires_at - now
            )
            for target, uncertain in self._uncertain_by_target.items()
            if uncertain.expires_at > now
        }
        return held, uncertain_by_target

    def load(
        self,
        slots_by_holder: abc.Mapping[
            ids.GrantHolderId, abc.Mapping[ids.TargetId, int]
        ],
        uncertain_by_target: abc.Mapping[ids.TargetId, pm.UnconfirmedSlots],
    ) -> None:
        """Load the export of a predecessor that no longer grants slots."""
        now = self._clock.now()
        self._holder_by_id.clear()
        for holder_id, held_by_target in slots_by_holder.items():
            holder = _Holder(now)
            holder.held_by_target = dict(held_by_target)
            holder.limit_by_target = dict(held_by_target)
            self._holder_by_id[holder_id] = holder
        self._uncertain_by_target = {
            target: _UncertainSlots(
                uncertain.slots, now + uncertain.remaining_s
            )
            for target, uncertain in uncertain_by_target.items()
        }

    def reset(self) -> None:
        """Remove all holders and mark every slot uncertain.

        Called when this entry acquires the coordinator lease.
        """
        self._reset_at = self._clock.now()
        self._holder_by_id.clear()
        for target_id, target in self._target_by_id.items():
            self._mark_uncertain(target_id, target)

    def apply_report(
        self,
        instance: ids.GrantHolderId,
        applied_grant_number: int,
        slots: pm.SlotReport,
    ) -> None:
        """Apply an instance's report.

        Args:
            instance (str): The reporting instance.
            applied_grant_number (int): Number of the latest grant that the
                instance has applied. Released slots count only if no later
                grant is in flight.
            slots (SlotReport): Slots that it holds, uses and wants.
        """
        now = self._clock.now()
        state_by_target = slots.state_by_target
        holder = self._holder_by_id.get(instance)
        if holder is None:
            holder = self._add_holder(instance, state_by_target, now)
        holder.reported_at = now
        holder.wanted_by_service = dict(slots.wanted_by_service)
        holder.avoid = frozenset(slots.avoid)
        holder.use_by_service = dict(slots.use_by_service)
        holder.in_use_by_target = {
            target: state.in_use for target, state in state_by_target.items()
        }
        if applied_grant_number != holder.grant_number:
            return
        holder.held_by_target = {
            target: max(state.granted, state.in_use)
            for target, state in state_by_target.items()
        }
        holder.limit_by_target = {
            target: min(limit, state_by_target[target].granted)
            for target, limit in holder.limit_by_target.items()
            if target in state_by_target
        }

    def _add_holder(
        self,
        instance: ids.GrantHolderId,
        state_by_target: abc.Mapping[ids.TargetId, pm.TargetSlotState],
        now: float,
    ) -> _Holder:
        holder = _Holder(now)
        self._holder_by_id[instance] = holder
        for target, state in state_by_target.items():
            held = max(state.granted, state.in_use)
            holder.limit_by_target[target] = state.granted
            holder.held_by_target[target] = held
            uncertain = self._uncertain_by_target.get(target)
            if uncertain is not None:
                uncertain.slots = max(0, uncertain.slots - held)
        return holder

    def remove(self, instance: ids.GrantHolderId) -> None:
        """Remove an instance that has released all its slots."""
        self._holder_by_id.pop(instance, None)

    def grant(self, instance: ids.GrantHolderId) -> dict[ids.TargetId, int]:
        """Grant the slots that an instance wants, as far as they are free.

        Returns:
            All slots that the instance holds from now on, by target.
        """
        holder = self._holder_by_id[instance]
        holder.grant_number += 1
        self._lower_excess_limits(holder)
        for service, wanted in holder.wanted_by_service.items():
            self._grant_slots(
                holder,
                service,
                self._cap_to_equal_share(holder, service, wanted),
            )
        for target, limit in holder.limit_by_target.items():
            held = holder.held_by_target.get(target, 0)
            holder.held_by_target[target] = max(held, limit)
        return dict(holder.limit_by_target)

    def grant_number(self, instance: ids.GrantHolderId) -> int:
        """Number of the latest grant to an instance."""
        return self._holder_by_id[instance].grant_number

    def _lower_excess_limits(self, holder: _Holder) -> None:
        """Lower limits where more slots are committed than a target has."""
        for target_id in list(holder.limit_by_target):
            target = self._target_by_id.get(target_id)
            if target is None:
                del holder.limit_by_target[target_id]
                continue
            excess = self._committed(target_id) - target.slots
            limit = holder.limit_by_target[target_id]
            if excess > 0:
                holder.limit_by_target[target_id] = max(0, limit - excess)

    def _cap_to_equal_share(
        self, holder: _Holder, service: ids.ServiceId, wanted: int
    ) -> int:
        """Cap wanted slots while another holder is below the equal share.

        Returns:
            The wanted slots, at most those missing to the equal share if
            another live holder wants slots and has less than that share.
        """
        equal_share = self._equal_share(service)
        oldest = self._clock.now() - self._valid_s
        is_other_below_share = any(
            other is not holder
            and other.reported_at > oldest
            and other.wanted_by_service.get(service, 0) > 0
            and self._total_limit(other, service) < equal_share
            for other in self._holder_by_id.values()
        )
        if not is_other_below_share:
            return wanted
        return min(
            wanted, max(0, equal_share - self._total_limit(holder, service))
        )

    def _equal_share(self, service: ids.ServiceId) -> int:
        slots = sum(
            self._target_by_id[target].slots
            for target in self._targets_of(service)
        )
        return math.floor(slots / max(1, len(self._holder_by_id)))

    def _grant_slots(
        self, holder: _Holder, service: ids.ServiceId, wanted: int
    ) -> None:
        free_by_target = {
            target: free
            for target in self._targets_of(service)
            if target not in holder.avoid
            and (free := self.free_slots(target)) > 0
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
        """Slots of a target that are held or uncertain."""
        now = self._clock.now()
        self._remove_silent(now)
        held = sum(
            holder.held_by_target.get(target, 0)
            for holder in self._holder_by_id.values()
        )
        uncertain = self._uncertain_by_target.get(target)
        if uncertain is not None and uncertain.expires_at <= now:
            del self._uncertain_by_target[target]
            uncertain = None
        return held + (uncertain.slots if uncertain else 0)

    def _remove_silent(self, now: float) -> None:
        longest = max(
            (target.max_request_s for target in self._target_by_id.values()),
            default=0.0,
        )
        silent = [
            instance
            for instance, holder in self._holder_by_id.items()
            if now - holder.reported_at > self._valid_s + longest
        ]
        for instance in silent:
            del self._holder_by_id[instance]

    def free_slots(self, target: ids.TargetId) -> int:
        """Slots of a target that are neither held nor uncertain."""
        target_slots = self._target_by_id.get(target)
        if target_slots is None:
            return 0
        return max(0, target_slots.slots - self._committed(target))

    def total_free(self) -> int:
        """Free slots of all targets."""
        return sum(self.free_slots(target) for target in self._target_by_id)

    def slots_in_use(self, target: ids.TargetId) -> int:
        """Slots of a target that instances reported as in use."""
        return sum(
            holder.in_use_by_target.get(target, 0)
            for holder in self._holder_by_id.values()
        )

    def usage(self, service: ids.ServiceId) -> tuple[int, float]:
        """Slots of a service, and how many are in use or uncertain.

        Returns:
            All slots, and the mean number in use plus the uncertain ones.
        """
        slots = 0
        busy = sum(
            holder.use_by_service[service].mean_in_use
            for holder in self._holder_by_id.values()
            if service in holder.use_by_service
        )
        for target in self._targets_of(service):
            slots += self._target_by_id[target].slots
            self._committed(target)
            uncertain = self._uncertain_by_target.get(target)
            busy += uncertain.slots if uncertain else 0
        return slots, busy

    def mean_hold_s(self, service: ids.ServiceId) -> float:
        """Mean seconds for which a request holds a slot, 0 if not known."""
        times = [
            holder.use_by_service[service].hold_s
            for holder in self._holder_by_id.values()
            if service in holder.use_by_service
        ]
        return sum(times) / len(times) if times else 0.0

    def services(self) -> set[ids.ServiceId]:
        """Services with targets in the failure domain."""
        return {target.service for target in self._target_by_id.values()}

    def reclaim(
        self, instance: ids.GrantHolderId, service: ids.ServiceId
    ) -> list[ids.GrantHolderId]:
        """Choose who gives back slots for an instance that wants more.

        Instances with idle slots are asked to release them. If the
        requesting instance holds less than the equal share, the limits of
        those that hold more are lowered, so that slots become free as their
        requests end.

        Returns:
            The instances that should report now.
        """
        holder = self._holder_by_id[instance]
        wanted = holder.wanted_by_service.get(service, 0)
        if wanted <= 0:
            return []
        total_by_instance = {
            other: self._total_limit(held, service)
            for other, held in self._holder_by_id.items()
        }
        others = [i for i in self._holder_by_id if i != instance]
        with_idle_slots = [
            other
            for other in others
            if self._idle_slots(self._holder_by_id[other], service) > 0
        ]
        lowered = self._lower_above_equal_share(
            instance, service, total_by_instance
        )
        return sorted({*with_idle_slots, *lowered})

    def _total_limit(self, holder: _Holder, service: ids.ServiceId) -> int:
        targets = self._targets_of(service)
        return sum(holder.limit_by_target.get(t, 0) for t in targets)

    def _idle_slots(self, holder: _Holder, service: ids.ServiceId) -> int:
        in_use = sum(
            holder.in_use_by_target.get(t, 0)
            for t in self._targets_of(service)
        )
        return self._total_limit(holder, service) - in_use

    def _lower_above_equal_share(
        self,
        instance: ids.GrantHolderId,
        service: ids.ServiceId,
        total_by_instance: dict[ids.GrantHolderId, int],
    ) -> list[ids.GrantHolderId]:
        equal_share = self._equal_share(service)
        missing = equal_share - total_by_instance[instance]
        lowered: list[ids.GrantHolderId] = []
        for other, total in total_by_instance.items():
            excess = min(missing, total - equal_share)
            if other == instance or excess <= 0:
                continue
            self._lower_limits(self._holder_by_id[other], service, excess)
            missing -= excess
            lowered.append(other)
        return lowered

    def _lower_limits(
        self, holder: _Holder, service: ids.ServiceId, count: int
    ) -> None:
        limit_counter = collections.Counter(
            {
                target: holder.limit_by_target.get(target, 0)
                for target in self._targets_of(service)
            }
        )
        for _ in range(count):
            target, limit = limit_counter.most_common(1)[0]
            if limit <= 0:
                return
            limit_counter[target] -= 1
            holder.limit_by_target[target] = limit - 1
