"""Parts of the customers' limits that the failure domains hold.

The parts follow from the configuration alone, so every failure domain
computes the same ones, and they sum to the customer's limits. A domain that
has not confirmed a lower limit yet may still use its earlier part. Those
that have the new one make room for it: they give up, in proportion to their
own parts, what the others may use too much.
"""

from collections import abc

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.state import token_ledger

_Limits = config_records.Customer | config_records.EarlierLimit


def share(
    limits: _Limits, domain: ids.DomainId, domains: abc.Collection
) -> float:
    """Part of a failure domain, 0 to 1.

    Args:
        limits (Customer or EarlierLimit): With shares by domain.
        domain (str): The failure domain.
        domains (Collection): All failure domains.
    """
    if limits.share_by_domain:
        total = sum(limits.share_by_domain.values())
        return limits.share_by_domain.get(domain, 0.0) / total
    return 1.0 / len(domains) if domain in domains else 0.0


class DomainParts:
    """Parts of one revision.

    Args:
        configuration (Configuration): The revision's records.
        revision_by_domain (Mapping): Revision that each failure domain is
            known to have in force.
    """

    def __init__(
        self,
        configuration: config_records.Configuration,
        revision_by_domain: abc.Mapping[ids.DomainId, ids.Revision],
    ) -> None:
        self._domains = configuration.domain_by_id
        self._customer_by_id = configuration.customer_by_id
        self._earlier = configuration.earlier_limits_by_customer
        self._revision_by_domain = revision_by_domain

    def limit(
        self, customer_id: ids.CustomerId, domain: ids.DomainId
    ) -> token_ledger.Limit:
        """What a failure domain may use of a customer's limits."""
        customer = self._customer_by_id[customer_id]
        own_share = share(customer, domain, self._domains)
        limit = token_ledger.Limit(
            customer.rate_per_s * own_share, customer.burst * own_share
        )
        earlier = self._earlier.get(customer_id)
        if earlier is None:
            return limit
        return token_ledger.Limit(
            self._reduce(customer, earlier, domain, "rate_per_s"),
            self._reduce(customer, earlier, domain, "burst"),
        )

    def _reduce(
        self,
        customer: config_records.Customer,
        earlier: config_records.EarlierLimits,
        domain: ids.DomainId,
        field: str,
    ) -> float:
        present = {
            other: getattr(customer, field)
            * share(customer, other, self._domains)
            for other in self._domains
        }
        excess = 0.0
        confirmed = present.get(domain, 0.0)
        for other, part in present.items():
            if other == domain:
                continue
            unconfirmed = self._unconfirmed(earlier, other)
            parts = [
                getattr(limits, field) * share(limits, other, self._domains)
                for limits in unconfirmed
            ]
            excess += max([0.0, *(p - part for p in parts)])
            if not unconfirmed:
                confirmed += part
        own = present.get(domain, 0.0)
        if not own:
            return 0.0
        return max(0.0, own - excess * own / confirmed)

    def _unconfirmed(
        self, earlier: config_records.EarlierLimits, domain: ids.DomainId
    ) -> list[config_records.EarlierLimit]:
        """Earlier limits that a failure domain may still use."""
        known = self._revision_by_domain.get(domain, 0)
        return [
            limit for limit in earlier.limits if limit.before_revision > known
        ]


def note_changes(
    before: config_records.Configuration,
    after: config_records.Configuration,
    revision: ids.Revision,
    confirmed: ids.Revision,
) -> None:
    """Keep the limits that a change replaces.

    Args:
        before (Configuration): In force so far.
        after (Configuration): The change; is completed.
        revision (int): The change's revision.
        confirmed (int): In force in every failure domain; older limits
            are used nowhere any more.
    """
    after.earlier_limits_by_customer = {}
    for customer_id, customer in after.customer_by_id.items():
        kept = _kept(before, customer_id, confirmed)
        old = before.customer_by_id.get(customer_id)
        if old is not None and _limits(old) != _limits(customer):
            earlier = config_records.EarlierLimit(revision, *_limits(old))
            kept.append(earlier)
        if kept:
            after.earlier_limits_by_customer[customer_id] = (
                config_records.EarlierLimits(tuple(kept))
            )


def _kept(
    before: config_records.Configuration,
    customer_id: ids.CustomerId,
    confirmed: ids.Revision,
) -> list[config_records.EarlierLimit]:
    earlier = before.earlier_limits_by_customer.get(customer_id)
    limits = earlier.limits if earlier else ()
    return [limit for limit in limits if limit.before_revision > confirmed]


def _limits(
    customer: config_records.Customer,
) -> tuple[float, float, dict[ids.DomainId, float]]:
    return customer.rate_per_s, customer.burst, customer.share_by_domain


def has_earlier(configuration: config_records.Configuration) -> bool:
    """Whether any customer has limits that may still be in use."""
    return bool(configuration.earlier_limits_by_customer)
