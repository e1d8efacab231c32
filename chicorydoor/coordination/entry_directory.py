"""Directory of the entries of all failure domains, for look-up answers.

The directory holds the summaries of the failure domains that the coordinator
publishes, and computes which entries a caller should use.
"""

import random

import msgspec

from chicorydoor.protocol import bucket_ids
from chicorydoor.protocol import caller_api
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_SUMMARY_EXPIRY_S = 4.0
_MAX_ANSWERED_ENTRIES = 8
_TTL_JITTER_SHARE = 0.2


class _ReceivedSummary(msgspec.Struct):
    """A failure domain's summary and when it was received or confirmed."""

    summary: pm.DomainSummary
    received_at: float


class EntryDirectory:
    """Known entries and coordinators of all failure domains.

    Args:
        domain (str): The own failure domain.
        clock (Clock): Monotonic time.
        rng (Random): Jitters the lifetimes of look-up answers.

    Attributes:
        all_domains_seen_at (float): When the coordinator last said that it had
            recently seen every domain, in seconds.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._snapshot = config_snapshot.EMPTY
        self._received_by_domain: dict[ids.DomainId, _ReceivedSummary] = {}
        self.all_domains_seen_at = float("-inf")
        self._entries_by_region: dict[
            ids.RegionId | None, list[caller_api.LookupEntry]
        ] = {}

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Apply a new configuration."""
        self._snapshot = snapshot
        self._entries_by_region.clear()

    def apply_view(self, view: pm.DomainView) -> None:
        """Store the summaries that the coordinator sent."""
        now = self._clock.now()
        for summary in view.summaries:
            received = self._received_by_domain.get(summary.domain)
            if received is None:
                self._received_by_domain[summary.domain] = _ReceivedSummary(
                    summary, now
                )
            else:
                received.summary = summary
                received.received_at = now
        # A domain that is listed with its store age only is unchanged, which
        # confirms the summary received before.
        for age in view.store_ages:
            received = self._received_by_domain.get(age.domain)
            if received is not None:
                received.received_at = now
        if view.all_domains_seen:
            self.all_domains_seen_at = now
        self._entries_by_region.clear()

    def apply_members(
        self, own_member: pm.Member, members: list[pm.Member]
    ) -> None:
        """Update the own domain's members, also without a coordinator.

        Until a view of the coordinator arrives, the own entry stands in as
        the coordinator of the own domain's summary.
        """
        now = self._clock.now()
        received = self._received_by_domain.get(own_member.domain)
        if received is None:
            summary = pm.DomainSummary(
                own_member.domain,
                own_member,
                self._snapshot.revision,
                0.0,
                members,
                {},
                0.0,
            )
            self._received_by_domain[own_member.domain] = _ReceivedSummary(
                summary, now
            )
            self._entries_by_region.clear()
            return
        received.received_at = now
        if received.summary.members != members:
            received.summary = msgspec.structs.replace(
                received.summary, members=members
            )
            self._entries_by_region.clear()

    def _live_summaries(self) -> dict[ids.DomainId, pm.DomainSummary]:
        oldest = self._clock.now() - _SUMMARY_EXPIRY_S
        return {
            domain: received.summary
            for domain, received in self._received_by_domain.items()
            if received.received_at >= oldest
        }

    def find_service(self, route: ids.RouteId) -> ids.ServiceId | None:
        """Id of a route's service, None if the route is unknown."""
        record = self._snapshot.configuration.route_by_id.get(route)
        return record.service if record else None

    def shuffle_domains_by_distance(
        self, rng: random.Random
    ) -> list[ids.DomainId]:
        """Other live failure domains in random order, own region first."""
        region = self._snapshot.domain_region(self._domain)
        others = [d for d in self._live_summaries() if d != self._domain]
        rng.shuffle(others)
        others.sort(key=lambda d: self._snapshot.domain_region(d) != region)
        return others

    def link_bucket(self, domain: ids.DomainId) -> ids.BucketId | None:
        """Bucket of the link to a domain's region, None if unlimited."""
        own_region = self._snapshot.domain_region(self._domain)
        other_region = self._snapshot.domain_region(domain)
        if (
            own_region is None
            or other_region is None
            or own_region == other_region
        ):
            return None
        links = self._snapshot.configuration.link_by_id.values()
        for link in links:
            if (link.from_region, link.to_region) == (
                own_region,
                other_region,
            ):
                return bucket_ids.link_bucket_id(own_region, other_region)
        return None

    def coordinator_by_domain(self) -> dict[ids.DomainId, ids.InstanceId]:
        """Ids of the coordinators of the live failure domains."""
        return {
            domain: summary.coordinator.instance
            for domain, summary in self._live_summaries().items()
        }

    def instance_ids(self) -> list[ids.InstanceId]:
        """Ids of the entries of the live failure domains, sorted."""
        return sorted(
            {
                member.instance
                for summary in self._live_summaries().values()
                for member in summary.members
            }
        )

    def choose_entry(
        self, domain: ids.DomainId, rng: random.Random
    ) -> ids.InstanceId | None:
        """Random serving entry of a failure domain, None without one."""
        summary = self._live_summaries().get(domain)
        if summary is None:
            return None
        serving = [m.instance for m in summary.members if m.is_serving]
        return rng.choice(serving) if serving else None

    def lookup(self, address: str) -> caller_api.LookupAnswer:
        """Answer a caller's look-up.

        Args:
            address (str): The caller's IP address.

        Returns:
            The entries, those of the caller's region first, with weights,
            at most ``_MAX_ANSWERED_ENTRIES``, and the answer's lifetime in
            seconds. Weights are relative: they need not add up to 1.
        """
        region = self._snapshot.blocks.find(address)
        entries = self._entries_by_region.get(region)
        if entries is None:
            entries = self._lookup_entries(region)
            self._entries_by_region[region] = entries
        ttl = self._snapshot.policy.lookup_ttl_s
        jitter = 1.0 - _TTL_JITTER_SHARE * self._rng.random()
        return caller_api.LookupAnswer(
            entries, round(ttl * jitter, 3), self._snapshot.revision
        )

    def _lookup_entries(
        self, region: ids.RegionId | None
    ) -> list[caller_api.LookupEntry]:
        summaries = self._live_summaries()
        weight_by_domain = self._domain_weights(region, summaries)
        entries: list[caller_api.LookupEntry] = []
        for domain, weight in weight_by_domain.items():
            serving = [
                m
                for m in summaries[domain].members
                if m.is_serving and m.http_address
            ]
            for member in serving:
                entries.append(
                    caller_api.LookupEntry(
                        member.instance,
                        domain,
                        member.http_address,
                        round(weight / len(serving), 4),
                    )
                )
        entries.sort(
            key=lambda e: (
                self._snapshot.domain_region(e.domain) != region,
                -e.weight,
                e.instance,
            )
        )
        return entries[:_MAX_ANSWERED_ENTRIES]

    def _domain_weights(
        self,
        region: ids.RegionId | None,
        summaries: dict[ids.DomainId, pm.DomainSummary],
    ) -> dict[ids.DomainId, float]:
        """Weights of the failure domains for a region's callers.

        The domains of a region share its callers. The share that a domain
        sends away is divided in proportion to 1 + free slots: among those
        domains of the region that send nothing away, or among such domains
        elsewhere if the region has none. If no domain serves the region,
        the whole weight of 1 goes to domains elsewhere.
        """
        serving_summaries = {
            domain: summary
            for domain, summary in summaries.items()
            if any(m.is_serving for m in summary.members)
        }
        region_summaries = {
            domain: summary
            for domain, summary in serving_summaries.items()
            if region is None or self._snapshot.domain_region(domain) == region
        }
        weights = {
            d: 1.0 - s.drained_share for d, s in region_summaries.items()
        }
        shifted_share = sum(s.drained_share for s in region_summaries.values())
        other_summaries = {
            d: s
            for d, s in serving_summaries.items()
            if d not in region_summaries
        }
        if any(s.drained_share == 0 for s in region_summaries.values()):
            self._add_by_free_slots(weights, region_summaries, shifted_share)
        else:
            self._add_by_free_slots(
                weights,
                other_summaries,
                shifted_share if region_summaries else 1.0,
            )
        return {d: w for d, w in weights.items() if w > 0}

    def _add_by_free_slots(
        self,
        weights: dict[ids.DomainId, float],
        receivers: dict[ids.DomainId, pm.DomainSummary],
        amount: float,
    ) -> None:
        """Divide an amount of weight in proportion to 1 + free slots."""
        free_by_domain = {
            domain: 1 + self._free_slots(summary)
            for domain, summary in receivers.items()
            if summary.drained_share == 0
        }
        total = sum(free_by_domain.values())
        for domain, count in free_by_domain.items():
            share = amount * count / total
            weights[domain] = weights.get(domain, 0.0) + share

    def _free_slots(self, summary: pm.DomainSummary) -> int:
        loads = summary.load_by_service.values()
        return sum(max(0, load.slots - load.smoothed_in_use) for load in loads)
