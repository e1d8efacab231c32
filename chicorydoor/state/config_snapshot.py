"""One revision of the configuration with indexes for request handling."""

import datetime
import hashlib

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.state import client_blocks


def key_digest(key: bytes) -> str:
    """Hex digest under which an API key is stored."""
    return hashlib.sha256(key).hexdigest()


class ConfigSnapshot:
    """Immutable revision of the configuration.

    Args:
        manifest (Manifest): The revision's manifest.
        configuration (Configuration): The revision's records.
        blocks (ClientBlockTable): Regions by block of client addresses.
            Defaults to an empty table.
    """

    def __init__(
        self,
        manifest: manifest_module.Manifest,
        configuration: config_records.Configuration,
        blocks: client_blocks.ClientBlockTable | None = None,
    ) -> None:
        self.manifest = manifest
        self.revision = manifest.revision
        self.configuration = configuration
        self.policy = configuration.policy_by_id.get(
            "default", config_records.Policy()
        )
        self.customer_by_id = configuration.customer_by_id
        self._key_by_digest = {
            key.digest: (key_id, key.customer)
            for key_id, key in configuration.key_by_id.items()
        }
        self._route_by_prefix = {
            route.path_prefix: (route_id, route)
            for route_id, route in configuration.route_by_id.items()
        }
        self.blocks = blocks or client_blocks.ClientBlockTable({})

    def find_key(self, digest: str) -> tuple[ids.KeyId, ids.CustomerId] | None:
        """Key id and customer of an active key's digest, None otherwise."""
        return self._key_by_digest.get(digest)

    def find_route(
        self, path: str
    ) -> tuple[ids.RouteId, config_records.Route] | None:
        """Route with the longest prefix of a path, by path segments."""
        while path:
            found = self._route_by_prefix.get(path)
            if found is not None:
                return found
            path = path.rpartition("/")[0]
        return None

    def domain_region(self, domain: ids.DomainId) -> ids.RegionId | None:
        """Region of a failure domain, or None if it is not configured."""
        record = self.configuration.domain_by_id.get(domain)
        return record.region if record else None

    def drain_start(
        self,
        wall_time: float,
        *,
        target: ids.TargetId | None = None,
        instance: ids.InstanceId | None = None,
        domain: ids.DomainId | None = None,
    ) -> float | None:
        """Earliest start of a drain that covers the subject.

        Drains that have started count until they end.

        Args:
            wall_time (float): Wall time, seconds since the epoch; drains that
                have ended by then are ignored.
            target (str): A target's id. Defaults to None.
            instance (str): An instance's id. Defaults to None.
            domain (str): A failure domain; drains of its region count too.
                Defaults to None.

        Returns:
            Seconds since the epoch, or None if there is no such drain.
        """
        kinds = config_records.DrainKind
        region = self.domain_region(domain) if domain else None
        # Pairs with None match no drain, since a drain's subject is a text.
        subjects = {
            (kinds.TARGET, target),
            (kinds.INSTANCE, instance),
            (kinds.DOMAIN, domain),
            (kinds.REGION, region),
        }
        now = datetime.datetime.fromtimestamp(wall_time, datetime.UTC)
        starts = [
            drain.starts_at.timestamp()
            for drain in self.configuration.drain_by_id.values()
            if (drain.kind, drain.subject) in subjects
            and (drain.ends_at is None or drain.ends_at > now)
        ]
        return min(starts, default=None)

    def is_drained(
        self,
        wall_time: float,
        *,
        target: ids.TargetId | None = None,
        instance: ids.InstanceId | None = None,
        domain: ids.DomainId | None = None,
    ) -> bool:
        """Whether a drain of the subject is in progress.

        Args:
            wall_time (float): Wall time, seconds since the epoch.
            target (str): A target's id. Defaults to None.
            instance (str): An instance's id. Defaults to None.
            domain (str): A failure domain; drains of its region count too.
                Defaults to None.
        """
        start = self.drain_start(
            wall_time, target=target, instance=instance, domain=domain
        )
        return start is not None and start <= wall_time


EMPTY = ConfigSnapshot(
    manifest_module.EMPTY_MANIFEST, config_records.Configuration()
)
