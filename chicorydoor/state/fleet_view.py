"""The entries of the fleet as one entry sees them.

Entries of the own region are heard one by one. What another region holds
together comes in digests, from whichever of its entries sends one.
"""

import enum

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import object_memory
from chicorydoor.state import rate_shares
from chicorydoor.state import target_report


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
    """An entry's regular message to each other one of its region.

    Args:
        extent_by_prefix (dict): Its copies of the store.
        rate_by_customer (dict): Its shares of the customers' rates, or
            those that have moved.
        is_whole (bool): Whether ``rate_by_customer`` has all of them.
        beat (int): Counts the sender's heartbeats; relayed ones may overtake
            each other.
        reads_store (bool): Whether the store answers it.
        unheard (list): Entries of the region that it has not heard lately.
        sightings (list): Objects that targets have newly handled.
        target_reports (list): What it has lately seen of targets.
        trusted_idle_s (float): Longest rest of a connection to a target
            that it trusts after losses of its own; None without any.
    """

    registration: Registration
    standing: Standing
    extent_by_prefix: dict[str, Extent]
    rate_by_customer: rate_shares.RateTable
    is_whole: bool = True
    beat: int = 0
    reads_store: bool = True
    unheard: list[ids.InstanceId] = []
    sightings: list[object_memory.Sighting] = []
    target_reports: list[target_report.TargetReport] = []
    trusted_idle_s: float | None = None


class RegionDigest(msgspec.Struct, frozen=True, tag="digest"):
    """What an entry tells other regions of its own.

    Args:
        reply_address (str): ``ip:port`` of the sender.
        ready (list): Some entries that take requests.
        unlisted (list): Entries that are alive though not registered.
        extent_by_prefix (dict): The sender's copies of the store.
        rate_by_customer (dict): Shares and demand of the whole region.
    """

    region: ids.RegionId
    reply_address: str
    ready: list[ids.InstanceId]
    unlisted: list[ids.InstanceId]
    extent_by_prefix: dict[str, Extent]
    rate_by_customer: rate_shares.RateTable


class Member:
    """Another entry.

    Args:
        registration (Registration): How to reach it.
    """

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.heartbeat: Heartbeat | None = None
        self.rate_by_customer: rate_shares.RateTable | None = None
        self.heard_at = float("-inf")
        self.is_registered = False
        self.unregistered_at = float("-inf")

    def is_live(self, now: float, silence_s: float) -> bool:
        """Whether it was heard from lately."""
        return now - self.heard_at < silence_s

    def take(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat."""
        self.heartbeat = heartbeat
        self.heard_at = now
        if heartbeat.is_whole:
            self.rate_by_customer = dict(heartbeat.rate_by_customer)
        elif self.rate_by_customer is not None:
            self.rate_by_customer |= heartbeat.rate_by_customer


class _HeardDigest(msgspec.Struct):
    digest: RegionDigest
    heard_at: float


class FleetView:
    """All other entries.

    Args:
        me (Registration): The own entry.
        silence_s (float): Time without a heartbeat after which an entry
            is not named to callers.
        forget_s (float): Time without a heartbeat and a registration after
            which an entry's shares are free.
        digest_silence_s (float): Time without a digest after which a
            region's entries are not named to callers.
    """

    def __init__(
        self,
        me: Registration,
        silence_s: float,
        forget_s: float,
        digest_silence_s: float,
    ) -> None:
        self.me = me
        self._silence_s = silence_s
        self._forget_s = forget_s
        self._digest_silence_s = digest_silence_s
        self.member_by_instance: dict[ids.InstanceId, Member] = {}
        self._heard_by_region: dict[ids.RegionId, _HeardDigest] = {}

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
        """Take in a heartbeat; False if a later one has come before."""
        member = self._learn(heartbeat.registration)
        if member is None:
            return False
        known = member.registration.incarnation
        if heartbeat.registration.incarnation < known:
            return False
        latest = member.heartbeat
        if latest is not None and heartbeat.beat < latest.beat:
            return False
        member.take(heartbeat, now)
        return True

    def note_digest(self, digest: RegionDigest, now: float) -> None:
        """Take in what another region's entry tells of it."""
        if digest.region == self.me.region:
            return
        self._heard_by_region[digest.region] = _HeardDigest(digest, now)
        for instance in digest.unlisted:
            member = self.member_by_instance.get(instance)
            if member is not None:
                member.heard_at = now

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
            member.rate_by_customer = None
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
        if gone:
            left = self.far_regions()
            self._heard_by_region = {
                region: heard
                for region, heard in self._heard_by_region.items()
                if region in left
            }
        return gone

    def mates(self) -> list[Member]:
        """All other entries of the own region that may be alive."""
        return [
            member
            for member in self.member_by_instance.values()
            if member.registration.region == self.me.region
        ]

    def mates_by_domain(self) -> dict[ids.DomainId, list[Member]]:
        """The other entries of the own region by failure domain."""
        members_by_domain: dict[ids.DomainId, list[Member]] = {}
        for member in self.mates():
            domain = member.registration.domain
            members_by_domain.setdefault(domain, []).append(member)
        return members_by_domain

    def live_mates(self, now: float) -> list[Member]:
        """Entries of the own region that were heard from lately."""
        return [
            member
            for member in self.mates()
            if member.is_live(now, self._silence_s)
        ]

    def far_regions(self) -> dict[ids.RegionId, list[Member]]:
        """Entries of the other regions that may be alive."""
        members_by_region: dict[ids.RegionId, list[Member]] = {}
        for member in self.member_by_instance.values():
            region = member.registration.region
            if region != self.me.region:
                members_by_region.setdefault(region, []).append(member)
        return members_by_region

    def ready_mates(self, now: float) -> list[Registration]:
        """Entries of the own region that callers may be sent to."""
        return [
            member.registration
            for member in self.live_mates(now)
            if member.heartbeat is not None
            and member.heartbeat.standing is Standing.READY
        ]

    def ready(self, now: float) -> list[Registration]:
        """Other entries that callers may be sent to, the nearest first."""
        ready = self.ready_mates(now)
        for heard in self._heard_by_region.values():
            if now - heard.heard_at >= self._digest_silence_s:
                continue
            ready += [
                self.member_by_instance[instance].registration
                for instance in heard.digest.ready
                if instance in self.member_by_instance
            ]
        return ready

    @property
    def size(self) -> int:
        """Number of entries that may be alive, the own included."""
        return 1 + len(self.member_by_instance)

    def possible_instances(self) -> list[ids.InstanceId]:
        """All entries that may be alive, the own included."""
        return [self.me.instance, *self.member_by_instance]

    def reported_near(self) -> list[rate_shares.Reported]:
        """Rates that the other entries of the region have announced."""
        return [
            rate_shares.Reported(
                1, member.rate_by_customer, member.registration.instance
            )
            for member in self.mates()
        ]

    def reported_far(self) -> list[rate_shares.Reported]:
        """Rates that the other regions have announced."""
        reported = []
        for region, members in self.far_regions().items():
            heard = self._heard_by_region.get(region)
            table = heard.digest.rate_by_customer if heard else None
            reported.append(rate_shares.Reported(len(members), table))
        return reported

    def hears_minority(self, now: float, silence_s: float) -> bool:
        """Whether most entries have been silent for some time.

        Others may then hold this entry for gone and take its shares.
        """
        heard = sum(member.is_live(now, silence_s) for member in self.mates())
        for region, members in self.far_regions().items():
            told = self._heard_by_region.get(region)
            if told is not None and now - told.heard_at < silence_s:
                heard += len(members)
        return 2 * heard < len(self.member_by_instance)
