"""Ids of token buckets and of forwarding credits."""

from chicorydoor.protocol import ids

_LINK_PREFIX = "link:"


def customer_bucket_id(customer: ids.CustomerId) -> ids.BucketId:
    """Return the id of the token bucket for a customer's request rate."""
    return ids.BucketId(f"customer:{customer}")


def link_bucket_id(
    from_region: ids.RegionId, to_region: ids.RegionId
) -> ids.BucketId:
    """Return the id of the token bucket for bytes between two regions."""
    return ids.BucketId(f"{_LINK_PREFIX}{from_region}:{to_region}")


def is_link_bucket(bucket: ids.BucketId) -> bool:
    """Whether a token bucket limits the bytes of a link."""
    return bucket.startswith(_LINK_PREFIX)


def credit_pseudo_target_id(
    domain: ids.DomainId, service: ids.ServiceId
) -> ids.TargetId:
    """Return the pseudo target id for credits at another failure domain.

    Credits are kept and reported like slots; the id stands for a target's.
    """
    return ids.TargetId(f"{domain}/{service}")
