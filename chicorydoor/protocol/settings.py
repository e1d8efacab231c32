"""Settings of an entry, read from one JSON file."""

import ipaddress
import pathlib

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids


class Endpoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where a socket listens.

    Args:
        address (str): IP number.
        port (int): TCP port; 0 lets the system choose.
    """

    address: str
    port: int

    def __str__(self) -> str:
        """``address:port``, with brackets for IPv6."""
        if ":" in self.address:
            return f"[{self.address}]:{self.port}"
        return f"{self.address}:{self.port}"


class Peer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Another entry that is known beforehand."""

    instance: ids.InstanceId
    domain: ids.DomainId
    peer: Endpoint


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds on what callers and peers may send.

    Args:
        header_bytes (int): Request line and headers. Defaults to 16 KiB.
        body_bytes (int): Request body. Defaults to 8 MiB.
        peer_message_bytes (int): One message. Defaults to 2 MiB.
        kept_answer_bytes (int): Largest answer kept for a repeated
            request. Defaults to 64 KiB.
        kept_answers_bytes (int): All answers kept. Defaults to 8 MiB.
        idempotency_records (int): Outcomes kept. Defaults to 20,000.
        waiting_requests (int): Queued at one entry. Defaults to 2,000.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    peer_message_bytes: int = 2 * 1024 * 1024
    kept_answer_bytes: int = 64 * 1024
    kept_answers_bytes: int = 8 * 1024 * 1024
    idempotency_records: int = 20_000
    waiting_requests: int = 2_000


class Timing(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Intervals and leases, in seconds; the same in the whole fleet.

    Args:
        heartbeat_s (float): Between instances of a failure domain.
            Defaults to 0.4.
        dead_after_s (float): Silence after which a peer counts as gone.
            Defaults to 1.25.
        lease_s (float): How long a coordinator's followers are bound.
            Defaults to 2.
        slots_valid_s (float): How long a slot grant may be used without
            contact with the coordinator. Defaults to 3.
        exchange_s (float): Between coordinators. Defaults to 0.5.
        store_poll_s (float): Between reads of the manifest by a relay.
            Defaults to 2.
        keys_fresh_s (float): Age of the latest contact with the store up
            to which keys are not in doubt. Defaults to 6.
    """

    heartbeat_s: float = 0.4
    dead_after_s: float = 1.25
    lease_s: float = 2.0
    slots_valid_s: float = 3.0
    exchange_s: float = 0.5
    store_poll_s: float = 2.0
    keys_fresh_s: float = 6.0


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one entry.

    Args:
        instance (str): Its id, unique in the fleet.
        domain (str): Its failure domain.
        callers (Endpoint): The callers' port.
        administration (Endpoint): The operators' port.
        peer (Endpoint): The port for other entries.
        store (Endpoint): The key-value service's HTTP gateway.
        peer_secret (str): Shared by all entries; at least 16 characters.
        minting_secret (str): Signs idempotency keys; shared by all.
        operator_digest_by_name (dict): SHA-256 hex digests of the
            operators' tokens.
        instance_list (Endpoint): The platform's list of instances.
            Defaults to none.
        peers (list): Entries known beforehand. Defaults to none.
        log_level (str): Level name of ``logging``. Defaults to INFO.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    callers: Endpoint
    administration: Endpoint
    peer: Endpoint
    store: Endpoint
    peer_secret: str
    minting_secret: str
    operator_digest_by_name: dict[str, str]
    instance_list: Endpoint | None = None
    peers: list[Peer] = []
    limits: Limits = Limits()
    timing: Timing = Timing()
    log_level: str = "INFO"

    def check(self) -> None:
        """Check what the types do not say.

        Raises:
            SettingsError: With the path of the field and the reason.
        """
        endpoint_by_field = {
            "callers": self.callers,
            "administration": self.administration,
            "peer": self.peer,
            "store": self.store,
            "instance_list": self.instance_list,
        }
        for index, peer in enumerate(self.peers):
            endpoint_by_field[f"peers[{index}].peer"] = peer.peer
        for field, endpoint in endpoint_by_field.items():
            if endpoint is not None:
                _check_endpoint(field, endpoint)
        for field in ("peer_secret", "minting_secret"):
            if len(getattr(self, field)) < 16:
                raise errors.SettingsError(
                    f"$.{field}: shorter than 16 characters"
                )
        self._check_timing()

    def _check_timing(self) -> None:
        timing = self.timing
        for field in timing.__struct_fields__:
            if getattr(timing, field) <= 0:
                raise errors.SettingsError(
                    f"$.timing.{field}: must be over 0 seconds"
                )
        if timing.lease_s <= timing.dead_after_s:
            raise errors.SettingsError(
                "$.timing.lease_s: must be over dead_after_s"
            )
        if timing.dead_after_s < 3 * timing.heartbeat_s:
            raise errors.SettingsError(
                "$.timing.dead_after_s: must be at least 3 heartbeats"
            )


def _check_endpoint(field: str, endpoint: Endpoint) -> None:
    try:
        ipaddress.ip_address(endpoint.address)
    except ValueError as error:
        raise errors.SettingsError(
            f"$.{field}.address: {endpoint.address!r} is no IP number"
        ) from error
    if not 0 <= endpoint.port < 65536:
        raise errors.SettingsError(
            f"$.{field}.port: {endpoint.port} is not 0 to 65535"
        )


def decode_settings(data: bytes, source: str) -> Settings:
    """Decode and check settings.

    Args:
        data (bytes): JSON.
        source (str): File name, for messages.

    Raises:
        SettingsError: One line with file, path of the field and reason.
    """
    try:
        settings = msgspec.json.decode(data, type=Settings)
        settings.check()
    except (msgspec.DecodeError, errors.SettingsError) as error:
        raise errors.SettingsError(f"{source}: {error}") from error
    return settings


def read_settings(path: pathlib.Path) -> Settings:
    """Read, decode and check a settings file.

    Raises:
        SettingsError: If it cannot be read or is not valid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    return decode_settings(data, str(path))
