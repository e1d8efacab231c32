"""Marks this entry and the own domain's targets while a drain covers them."""

from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_target_table
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module


class DrainUpdater:
    """Marks this entry and targets as drained while a planned drain is active.

    Args:
        own_member (Member): Description of this entry.
        targets (DomainTargetTable): Targets whose ``is_draining`` is set.
        clock (Clock): Its wall time is compared with the planned starts.
        events (EventRing): Records state changes.

    Attributes:
        is_instance_drained (bool): Whether this entry itself is drained.
    """

    def __init__(
        self,
        *,
        own_member: pm.Member,
        targets: domain_target_table.DomainTargetTable,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
    ) -> None:
        self._own_member = own_member
        self._targets = targets
        self._clock = clock
        self._events = events
        self._snapshot = config_snapshot.EMPTY
        self.is_instance_drained = False

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Apply a new configuration."""
        self._snapshot = snapshot
        self.update()

    def update(self) -> None:
        """Update which targets and whether this entry are drained now.

        To be called periodically: a drain starts and ends here with the
        first call after its planned time.
        """
        wall = self._clock.wall()
        snapshot = self._snapshot
        if not snapshot.configuration.drain_by_id:
            drained = frozenset()
        else:
            drained = frozenset(
                target_id
                for target_id in self._targets.target_by_id
                if snapshot.is_drained(
                    wall, target=target_id, domain=self._own_member.domain
                )
            )
        for target_id, state in self._targets.target_by_id.items():
            self._set_draining(state, target_id in drained)
        self.is_instance_drained = snapshot.is_drained(
            wall,
            instance=self._own_member.instance,
            domain=self._own_member.domain,
        )

    def _set_draining(
        self, state: domain_target_table.TargetState, is_drained: bool
    ) -> None:
        if state.is_draining == is_drained:
            return
        state.is_draining = is_drained
        kinds = event_ring.EventKind
        kind = kinds.DRAIN_STARTED if is_drained else kinds.DRAIN_ENDED
        self._events.add(kind, subject=state.target_id)
