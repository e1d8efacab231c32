"""Settings of an entry that an operator configures, from one JSON file."""

import ipaddress
import pathlib

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids


class Endpoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Address of a TCP endpoint.

    Args:
        address (str): IP address.
        port (int): TCP port; 0 lets the kernel choose one to listen on.
    """

    address: str
    port: int

    def __str__(self) -> str:
        """Return ``address:port``, with brackets for IPv6."""
        if ":" in self.address:
            return f"[{self.address}]:{self.port}"
        return f"{self.address}:{self.port}"


class Peer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A statically configured peer.

    Args:
        instance (str): Id of the peer.
        domain (str): Its failure domain.
        peer (Endpoint): Where it accepts messages of other entries.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    peer: Endpoint


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Size limits on requests, peer messages and retained state.

    Args:
        header_bytes (int): Request line and headers. Defaults to 16 KiB.
        body_bytes (int): Request body. Defaults to 8 MiB.
        peer_message_bytes (int): One peer message. Defaults to 2 MiB.
        kept_answer_bytes (int): Largest response that is stored for replay
            to a repeated request. Defaults to 64 KiB.
        kept_answers_bytes (int): All stored responses together. Defaults
            to 8 MiB.
        idempotency_records (int): Number of stored outcomes. Defaults to
            20,000.
        waiting_requests (int): Requests queued at one entry. Defaults to
            2,000.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    peer_message_bytes: int = 2 * 1024 * 1024
    kept_answer_bytes: int = 64 * 1024
    kept_answers_bytes: int = 8 * 1024 * 1024
    idempotency_records: int = 20_000
    waiting_requests: int = 2_000


class Timing(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Intervals and leases in seconds, identical in the whole fleet.

    Args:
        heartbeat_s (float): Heartbeat interval within a failure domain.
            Defaults to 0.4.
        dead_after_s (float): Time without a heartbeat after which a peer
            is considered dead. Defaults to 1.25.
        lease_s (float): Duration of the coordinator lease, for which
            the other entries of the failure domain accept no other
            coordinator. Defaults to 2.
        slots_valid_s (float): Validity of the coordinator's grant of a
            target's slots without contact with the coordinator. Defaults to 3.
        exchange_s (float): Interval of the exchange between coordinators.
            Defaults to 0.5.
        store_poll_s (float): Interval at which an entry that reads the
            store for others polls the manifest. Defaults to 2.
        keys_fresh_s (float): Maximum age of the latest contact with the
            store up to which API keys are trusted. Defaults to 6.
    """

    heartbeat_s: float = 0.4
    dead_after_s: float = 1.25
    lease_s: float = 2.0
    slots_valid_s: float = 3.0
    exchange_s: float = 0.5
    store_poll_s: float = 2.0
    keys_fresh_s: float = 6.0


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one entry.

    Args:
        instance (str): Id of the entry, unique in the fleet.
        domain (str): Its failure domain.
        callers (Endpoint): Where it accepts callers' requests.
        administration (Endpoint): Where it serves the administration API.
        peer (Endpoint): Where it accepts messages of other entries.
        store (Endpoint): HTTP gateway of the key-value store.
        peer_secret (str): Authenticates peer messages; shared by all
            entries, at least 16 characters.
        minting_secret (str): Signs the idempotency keys that entries issue;
            shared by all entries, at least 16 characters.
        operator_digest_by_name (dict): SHA-256 hex digests of the
            operators' tokens.
        instance_list (Endpoint): The platform's instance discovery
            service. Defaults to none.
        peers (list): Statically configured peers. Defaults to none.
        limits (Limits): Size limits.
        timing (Timing): Intervals and leases.
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

    def validate(self) -> None:
        """Validate value ranges and dependencies between fields.

        Raises:
            SettingsError: Naming the path of the field and the reason.
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
                _validate_endpoint(field, endpoint)
        for field in ("peer_secret", "minting_secret"):
            if len(getattr(self, field)) < 16:
                raise errors.SettingsError(
                    f"$.{field}: shorter than 16 characters"
                )
        self._validate_timing()

    def _validate_timing(self) -> None:
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


def _validate_endpoint(field: str, endpoint: Endpoint) -> None:
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


def decode_settings(data: bytes, source: str) -> EntrySettings:
    """Decode and validate settings.

    Args:
        data (bytes): JSON.
        source (str): File name for error messages.

    Returns:
        EntrySettings: The validated settings.

    Raises:
        SettingsError: One line with file, path of the field and reason.
    """
    try:
        settings = msgspec.json.decode(data, type=EntrySettings)
        settings.validate()
    except (msgspec.DecodeError, errors.SettingsError) as error:
        raise errors.SettingsError(f"{source}: {error}") from error
    return settings


def read_settings(path: pathlib.Path) -> EntrySettings:
    """Read, decode and validate a settings file.

    Raises:
        SettingsError: If the file cannot be read or is not valid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    return decode_settings(data, str(path))
