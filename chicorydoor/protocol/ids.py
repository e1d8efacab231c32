"""Types of ids and revision numbers."""

import typing

InstanceId = typing.NewType("InstanceId", str)
# Start of an entry's process, nanoseconds since the epoch. Entries that share
# the platform's store use plain integers in milliseconds.
Incarnation = typing.NewType("Incarnation", int)
DomainId = typing.NewType("DomainId", str)
RegionId = typing.NewType("RegionId", str)
CustomerId = typing.NewType("CustomerId", str)
KeyId = typing.NewType("KeyId", str)
RouteId = typing.NewType("RouteId", str)
ServiceId = typing.NewType("ServiceId", str)
TargetId = typing.NewType("TargetId", str)
DrainId = typing.NewType("DrainId", str)
# Token bucket of a customer's rate or of a link's bandwidth.
BucketId = typing.NewType("BucketId", str)
# Holder of a coordinator's grants: an instance with its incarnation, or
# another failure domain.
GrantHolderId = typing.NewType("GrantHolderId", str)
# Revision of the operator's configuration. Revisions of the key-value store
# are plain integers.
Revision = typing.NewType("Revision", int)

# Target id and start of the incarnation, milliseconds since the epoch. A new
# incarnation knows nothing of before.
TargetIncarnation = tuple[TargetId, int]
