"""Names under which buckets and credits are counted."""

from chicorydoor.protocol import ids

_LINK_PREFIX = "link:"


def customer_bucket(customer: ids.CustomerId) -> ids.BucketId:
    """Bucket that counts a customer's requests."""
    return ids.BucketId(f"customer:{customer}")


def link_bucket(
    from_region: ids.RegionId, to_region: ids.RegionId
) -> ids.BucketId:
    """Bucket that counts bytes from one region to another."""
    return ids.BucketId(f"{_LINK_PREFIX}{from_region}:{to_region}")


def is_link_bucket(bucket: ids.BucketId) -> bool:
    """Whether a bucket counts bytes of a link."""
    return bucket.startswith(_LINK_PREFIX)


def credit_target(
    domain: ids.DomainId, service: ids.ServiceId
) -> ids.TargetId:
    """Name under which credits at another failure domain are counted."""
    return ids.TargetId(f"{domain}/{service}")
