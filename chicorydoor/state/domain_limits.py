"""Division of the customers' limits among the failure domains.

The parts follow from the configuration alone, so every failure domain
computes the same ones, and they sum to the customer's limits. A domain that
has not confirmed a lower limit may still use its former part. The domains
that have the new limit compensate for it: they reduce their own parts, in
proportion, by the excess that the other domains may use.
"""

from collections import abc

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.state import token_ledger

_Limits = config_records.Customer | config_records.FormerLimit


def share(
    limits: _Limits, domain: ids.DomainId, domains: abc.Collection
) -> float:
    """Share of a failure domain in a customer's limits, 0 to 1.

    Configured shares are weights, relative to their sum. Without them all
    failure domains get the same.

    Args:
        limits (Customer or FormerLimit): Holds the shares by domain.
        domain (str): The failure domain.
        domains (Collection): All failure domains.
    """
    if limits.share_by_domain:
        total = sum(limits.share_by_domain.values())
        return limits.share_by_domain.get(domain, 0.0) / total
    return 1.0 / len(domains) if domain in domains else 0.0


class DomainLimits:
    """Limits of the failure domains at one revision.

    Args:
        configuration (Configuration): The revision's records.
        revision_by_domain (Mapping): Revision that each failure domain has
            confirmed to be active.
    """

    def __init__(
        self,
        configuration: config_records.Configuration,
        revision_by_domain: abc.Mapping[ids.DomainId, ids.Revision],
    ) -> None:
        self._domains = configuration.domain_by_id
        self._customer_by_id = configuration.customer_by_id
        self._former_by_customer = configuration.earlier_limits_by_customer
        self._revision_by_domain = revision_by_domain

    def limit(
        self, customer_id: ids.CustomerId, domain: ids.DomainId
    ) -> token_ledger.BucketLimit:
        """Limit of a failure domain for a customer."""
        customer = self._customer_by_id[customer_id]
        domain_share = share(customer, domain, self._domains)
        limit = token_ledger.BucketLimit(
            customer.rate_per_s * domain_share, customer.burst * domain_share
        )
        former = self._former_by_customer.get(customer_id)
        if former is None:
            return limit
        return token_ledger.BucketLimit(
            self._compensated_part(customer, former, domain, "rate_per_s"),
            self._compensated_part(customer, former, domain, "burst"),
        )

    def _compensated_part(
        self,
        customer: config_records.Customer,
        former: config_records.FormerLimits,
        domain: ids.DomainId,
        field: str,
    ) -> float:
        """Part of a failure domain, less its portion of the excess.

        The excess is what the domains that have not confirmed a lower limit
        may use beyond their parts. The others bear it in proportion to their
        parts.

        Args:
            customer (Customer): Holds the limits.
            former (FormerLimits): The customer's former limits.
            domain (str): The failure domain.
            field (str): ``rate_per_s`` or ``burst``.
        """
        part_by_domain = {
            other: getattr(customer, field)
            * share(customer, other, self._domains)
            for other in self._domains
        }
        excess = 0.0
        confirmed_parts = part_by_domain.get(domain, 0.0)
        for other, part in part_by_domain.items():
            if other == domain:
                continue
            unconfirmed = self._unconfirmed(former, other)
            former_parts = [
                getattr(limits, field) * share(limits, other, self._domains)
                for limits in unconfirmed
            ]
            excess += max([0.0, *(p - part for p in former_parts)])
            if not unconfirmed:
                confirmed_parts += part
        domain_part = part_by_domain.get(domain, 0.0)
        if not domain_part:
            return 0.0
        return max(0.0, domain_part - excess * domain_part / confirmed_parts)

    def _unconfirmed(
        self, former: config_records.FormerLimits, domain: ids.DomainId
    ) -> list[config_records.FormerLimit]:
        """Former limits that a failure domain may still use."""
        confirmed_revision = self._revision_by_domain.get(domain, 0)
        return [
            limit
            for limit in former.limits
            if limit.before_revision > confirmed_revision
        ]


def record_replaced_limits(
    before: config_records.Configuration,
    after: config_records.Configuration,
    revision: ids.Revision,
    confirmed: ids.Revision,
) -> None:
    """Set the former limits of a new configuration.

    These are the limits that it replaces, and older ones that may still be
    in use.

    Args:
        before (Configuration): Active configuration.
        after (Configuration): New configuration; its
            ``earlier_limits_by_customer`` is set.
        revision (int): Revision of the new configuration.
        confirmed (int): Revision that is active in every failure domain;
            limits replaced up to it are no longer used anywhere.
    """
    after.earlier_limits_by_customer = {}
    for customer_id, customer in after.customer_by_id.items():
        former_limits = _limits_in_use(before, customer_id, confirmed)
        old = before.customer_by_id.get(customer_id)
        if old is not None and _limit_values(old) != _limit_values(customer):
            former = config_records.FormerLimit(revision, *_limit_values(old))
            former_limits.append(former)
        if former_limits:
            after.earlier_limits_by_customer[customer_id] = (
                config_records.FormerLimits(tuple(former_limits))
            )


def _limits_in_use(
    before: config_records.Configuration,
    customer_id: ids.CustomerId,
    confirmed: ids.Revision,
) -> list[config_records.FormerLimit]:
    former = before.earlier_limits_by_customer.get(customer_id)
    limits = former.limits if former else ()
    return [limit for limit in limits if limit.before_revision > confirmed]


def _limit_values(
    customer: config_records.Customer,
) -> tuple[float, float, dict[ids.DomainId, float]]:
    return customer.rate_per_s, customer.burst, customer.share_by_domain


def has_former_limits(configuration: config_records.Configuration) -> bool:
    """Whether a customer has former limits that may still be in use."""
    return bool(configuration.earlier_limits_by_customer)
