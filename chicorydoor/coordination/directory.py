"""Entries of all failure domains, and the answers to look-ups."""

import random

import msgspec

from chicorydoor.protocol import caller_api
from chicorydoor.protocol import ids
from chicorydoor.protocol import names
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_SUMMARY_KEPT_S = 4.0
_ENTRIES_ANSWERED = 8
_TTL_JITTER = 0.2


class _Known(msgspec.Struct):
    """A failure domain's summary and when it came."""

    summary: pm.DomainSummary
    at: float


class Directory:
    """What an instance knows of the entries of the fleet.

    Args:
        domain (str): The own failure domain.
        clock (Clock): Time.
        rng (Random): For the jitter of lifetimes.
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
        self._known_by_domain: dict[ids.DomainId, _Known] = {}
        self.heard_all_at = float("-inf")
        self._answer_by_region: dict[
            ids.RegionId | None, list[caller_api.LookupEntry]
        ] = {}

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Follow the configuration."""
        self._snapshot = snapshot
        self._answer_by_region.clear()

    def note_view(self, view: pm.DomainView) -> None:
        """Take in what the coordinator tells."""
        now = self._clock.now()
        for summary in view.summaries:
            known = self._known_by_domain.get(summary.domain)
            if known is None:
                self._known_by_domain[summary.domain] = _Known(summary, now)
            else:
                known.summary = summary
                known.at = now
        for age in view.ages:
            known = self._known_by_domain.get(age.domain)
            if known is not None:
                known.at = now
        if view.heard_all:
            self.heard_all_at = now
        self._answer_by_region.clear()

    def note_members(self, me: pm.Member, members: list[pm.Member]) -> None:
        """Keep the own failure domain up to date without a coordinator."""
        now = self._clock.now()
        known = self._known_by_domain.get(me.domain)
        if known is None:
            summary = pm.DomainSummary(
                me.domain, me, self._snapshot.revision, 0.0, members, {}, 0.0
            )
            self._known_by_domain[me.domain] = _Known(summary, now)
            self._answer_by_region.clear()
            return
        known.at = now
        if known.summary.members != members:
            known.summary = msgspec.structs.replace(
                known.summary, members=members
            )
            self._answer_by_region.clear()

    def _summaries(self) -> dict[ids.DomainId, pm.DomainSummary]:
        oldest = self._clock.now() - _SUMMARY_KEPT_S
        return {
            domain: known.summary
            for domain, known in self._known_by_domain.items()
            if known.at >= oldest
        }

    def service_of(self, route: ids.RouteId) -> ids.ServiceId | None:
        """The service of a route."""
        record = self._snapshot.configuration.route_by_id.get(route)
        return record.service if record else None

    def domains_by_distance(self, rng: random.Random) -> list[ids.DomainId]:
        """Other live failure domains, those of the own region first."""
        region = self._snapshot.region_of(self._domain)
        others = [d for d in self._summaries() if d != self._domain]
        rng.shuffle(others)
        others.sort(key=lambda d: self._snapshot.region_of(d) != region)
        return others

    def link_bucket(self, domain: ids.DomainId) -> ids.BucketId | None:
        """Bucket of the link to a failure domain's region, if bounded."""
        here = self._snapshot.region_of(self._domain)
        there = self._snapshot.region_of(domain)
        if here is None or there is None or here == there:
            return None
        links = self._snapshot.configuration.link_by_id.values()
        for link in links:
            if (link.from_region, link.to_region) == (here, there):
                return names.link_bucket(here, there)
        return None

    def coordinator_by_domain(self) -> dict[ids.DomainId, ids.InstanceId]:
        """Coordinators of the live failure domains."""
        return {
            domain: summary.coordinator.instance
            for domain, summary in self._summaries().items()
        }

    def instances(self) -> list[ids.InstanceId]:
        """Entries of the live failure domains."""
        return sorted(
            {
                member.instance
                for summary in self._summaries().values()
                for member in summary.members
            }
        )

    def entry_of(
        self, domain: ids.DomainId, rng: random.Random
    ) -> ids.InstanceId | None:
        """An entry of a failure domain that is not leaving."""
        summary = self._summaries().get(domain)
        if summary is None:
            return None
        serving = [m.instance for m in summary.members if m.is_serving]
        return rng.choice(serving) if serving else None

    def lookup(self, address: str) -> caller_api.LookupAnswer:
        """Entries for a caller.

        Args:
            address (str): The caller's IP number.

        Returns:
            The entries, nearest first, with weights and a lifetime.
        """
        region = self._snapshot.blocks.find(address)
        entries = self._answer_by_region.get(region)
        if entries is None:
            entries = self._entries(region)
            self._answer_by_region[region] = entries
        ttl = self._snapshot.policy.lookup_ttl_s
        jitter = 1.0 - _TTL_JITTER * self._rng.random()
        return caller_api.LookupAnswer(
            entries, round(ttl * jitter, 3), self._snapshot.revision
        )

    def _entries(
        self, region: ids.RegionId | None
    ) -> list[caller_api.LookupEntry]:
        summaries = self._summaries()
        weight_by_domain = self._weights(region, summaries)
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
                self._snapshot.region_of(e.domain) != region,
                -e.weight,
                e.instance,
            )
        )
        return entries[:_ENTRIES_ANSWERED]

    def _weights(
        self,
        region: ids.RegionId | None,
        summaries: dict[ids.DomainId, pm.DomainSummary],
    ) -> dict[ids.DomainId, float]:
        """Weights of the failure domains for a region's callers.

        A region's own domains share its callers. The part of a leaving
        domain goes to the others by their free slots, those of the region
        first.
        """
        usable = {
            domain: summary
            for domain, summary in summaries.items()
            if any(m.is_serving for m in summary.members)
        }
        home = {
            domain: summary
            for domain, summary in usable.items()
            if region is None or self._snapshot.region_of(domain) == region
        }
        weights = {d: 1.0 - s.leaving_share for d, s in home.items()}
        missing = sum(s.leaving_share for s in home.values())
        away = {d: s for d, s in usable.items() if d not in home}
        if any(s.leaving_share == 0 for s in home.values()):
            self._spread(weights, home, missing)
        else:
            self._spread(weights, away, missing if home else 1.0)
        return {d: w for d, w in weights.items() if w > 0}

    def _spread(
        self,
        weights: dict[ids.DomainId, float],
        receivers: dict[ids.DomainId, pm.DomainSummary],
        amount: float,
    ) -> None:
        free = {
            domain: 1 + self._free_slots(summary)
            for domain, summary in receivers.items()
            if summary.leaving_share == 0
        }
        total = sum(free.values())
        for domain, count in free.items():
            part = amount * count / total
            weights[domain] = weights.get(domain, 0.0) + part

    def _free_slots(self, summary: pm.DomainSummary) -> int:
        loads = summary.load_by_service.values()
        return sum(max(0, load.slots - load.in_use) for load in loads)
