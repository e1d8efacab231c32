"""The entries of the fleet as one entry sees them."""

import enum

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import object_memory
from chicorydoor.state import rate_shares


class Standing(enum.Enum):
    """What an entry says of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Registration(msgspec.Struct, frozen=True):
    """How an entry can be reached, as it wrote to the store.

    Args:
        incarnation (int): Start of the process, milliseconds since the
            epoch.
        peer_address (str): ``ip:port`` for other entries.
        caller_address (str): ``ip:port`` for requests.
    """

    instance: ids.InstanceId
    incarnation: int
    domain: ids.DomainId
    region: ids.RegionId
    peer_address: str
    caller_address: str


class Extent(msgspec.Struct, frozen=True, array_like=True):
    """How far an entry's copy of a part of the store reaches.

    Args:
        as_of (int): Nothing up to this store revision is missing.
        latest (int): Revision of the latest change that matters.
    """

    as_of: int
    latest: int


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """An entry's regular message to each other.

    Args:
        extent_by_prefix (dict): Its copies of the store.
        rate_by_customer (dict): Its shares of the customers' rates.
        heard (list): Entries that it has heard from lately.
        sightings (list): Objects that targets have newly handled.
        running (int): Requests that it has under way.
    """

    registration: Registration
    standing: Standing
    extent_by_prefix: dict[str, Extent]
    rate_by_customer: dict[ids.CustomerId, rate_shares.RateReport]
    heard: list[ids.InstanceId]
    sightings: list[object_memory.Sighting] = []
    running: int = 0


class Member:
    """Another entry.

    Args:
        registration (Registration): How to reach it.
    """

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.heartbeat: Heartbeat | None = None
        self.heard_at = float("-inf")
        self.is_registered = False
        self.unregistered_at = float("-inf")

    def is_live(self, now: float, silence_s: float) -> bool:
        """Whether it was heard from lately."""
        return now - self.heard_at < silence_s


class FleetView:
    """All other entries.

    Args:
        me (Registration): The own entry.
        silence_s (float): Time without a heartbeat after which an entry
            is not named to callers.
        forget_s (float): Time without a heartbeat and a registration after
            which an entry's shares are free.
    """

    def __init__(
        self, me: Registration, silence_s: float, forget_s: float
    ) -> None:
        self.me = me
        self._silence_s = silence_s
        self._forget_s = forget_s
        self.member_by_instance: dict[ids.InstanceId, Member] = {}

    def note_registration(self, registration: Registration) -> None:
        """An entry has written itself to the store."""
        member = self._learn(registration)
        if member is not None:
            member.is_registered = True

    def note_unregistered(self, instance: ids.InstanceId, now: float) -> None:
        """An entry's registration has lapsed or was withdrawn."""
        member = self.member_by_instance.get(instance)
        if member is not None:
            member.is_registered = False
            member.unregistered_at = now

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat; False if it is from an earlier incarnation."""
        member = self._learn(heartbeat.registration)
        if member is None:
            return False
        known = member.registration.incarnation
        if heartbeat.registration.incarnation < known:
            return False
        member.heartbeat = heartbeat
        member.heard_at = now
        return True

    def _learn(self, registration: Registration) -> Member | None:
        if registration.instance == self.me.instance:
            return None
        member = self.member_by_instance.get(registration.instance)
        if member is None:
            member = Member(registration)
            self.member_by_instance[registration.instance] = member
        elif registration.incarnation > member.registration.incarnation:
            member.registration = registration
            member.heartbeat = None
        return member

    def forget_gone(self, now: float) -> list[Member]:
        """Drop entries that are certainly gone; returns them."""
        gone = [
            member
            for member in self.member_by_instance.values()
            if not member.is_registered
            and now - member.heard_at > self._forget_s
            and now - member.unregistered_at > self._silence_s
        ]
        for member in gone:
            del self.member_by_instance[member.registration.instance]
        return gone

    def live(self, now: float) -> list[Member]:
        """Entries that were heard from lately."""
        return [
            member
            for member in self.member_by_instance.values()
            if member.is_live(now, self._silence_s)
        ]

    def ready(self, now: float) -> list[Registration]:
        """Other entries that callers may be sent to."""
        return [
            member.registration
            for member in self.live(now)
            if member.heartbeat is not None
            and member.heartbeat.standing is Standing.READY
        ]

    def possible_instances(self) -> list[ids.InstanceId]:
        """All entries that may be alive, the own included."""
        return [self.me.instance, *self.member_by_instance]
