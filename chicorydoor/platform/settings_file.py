"""Reader of the settings file that the platform places on each machine."""

import pathlib
import typing

import msgspec
import yaml

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import fleet_entry_settings
from chicorydoor.protocol import ids

SETTINGS_PATH_VARIABLE = "CHICORYDOOR_CONFIG"
# The smaller of the two usual meanings of a megabyte.
_BYTES_PER_MB = 1_000_000
# Among the contracts of the terms: the platform expects overload.
_OVERLOAD_CONTRACT = "pressure"


class _Section(msgspec.Struct, rename="camel"):
    """Base of the file's sections; unknown fields are ignored.

    The platform may add fields.
    """


class _LimitsSection(_Section):
    """Limits of the machine.

    Args:
        memory_mb (float): Memory of a process in megabytes; 0 for no limit.
            Defaults to 0.
    """

    memory_mb: float = 0.0


class _SelfSection(_Section):
    node_name: str
    zone: str
    region: str
    limits: _LimitsSection = msgspec.field(default_factory=_LimitsSection)


class _ListenSection(_Section):
    """Each ``ip:port``: callers, readiness checks, peers, look-ups."""

    front: str
    ready: str
    control: str
    directory: str


class _NetworkSection(_Section):
    listen: _ListenSection
    zones: dict[str, str]
    internal_port_range: tuple[int, int]
    seeds: list[str] = []


class _StoreSection(_Section):
    address: str


class _PlatformSection(_Section):
    platform: _StoreSection


class _BoundsSection(_Section):
    """Service level limits; see ``FleetLimits``.

    The budget is that of retries, the quota a customer's rate, the grace the
    time for a stop, and the TTL that of look-ups.
    """

    budget_ratio: float = 0.2
    budget_slack: float = 0.0
    budget_window: str = "10s"
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    grace: str = "6s"
    ttl_max: str = msgspec.field(default="5s", name="ttl_max")


class _TermsSection(_Section):
    bounds: _BoundsSection = msgspec.field(default_factory=_BoundsSection)
    # The file's format names no type; all but a list is ignored.
    contracts: typing.Any = None


class _SettingsFile(_Section):
    identity: _SelfSection = msgspec.field(name="self")
    network: _NetworkSection
    platform: _PlatformSection
    terms: _TermsSection = msgspec.field(default_factory=_TermsSection)


def read_settings(
    path: pathlib.Path,
) -> fleet_entry_settings.FleetEntrySettings:
    """Read a settings file and convert it to the package's own type.

    Raises:
        SettingsError: If the file is missing or not valid.
    """
    try:
        raw = yaml.load(path.read_bytes(), Loader=_yaml_loader())
        return _to_entry_settings(msgspec.convert(raw, type=_SettingsFile))
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    except yaml.YAMLError as error:
        reason = " ".join(f"{error}".split())
        raise errors.SettingsError(f"{path}: {reason}") from error
    # YAML's own types, such as dates, raise a ValueError.
    except (ValueError, errors.ConfigurationError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error


def _yaml_loader() -> typing.Any:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _to_entry_settings(
    settings: _SettingsFile,
) -> fleet_entry_settings.FleetEntrySettings:
    identity, network = settings.identity, settings.network
    listen = network.listen
    relay_port, metrics_port = network.internal_port_range
    if relay_port == metrics_port:
        raise errors.ConfigurationError(
            "internalPortRange has only one port, two are needed"
        )
    peer_host = listen.control.rpartition(":")[0]
    return fleet_entry_settings.FleetEntrySettings(
        instance=ids.InstanceId(identity.node_name),
        domain=ids.DomainId(identity.zone),
        region=ids.RegionId(identity.region),
        callers=listen.front,
        readiness=listen.ready,
        peers=listen.control,
        lookups=listen.directory,
        relay=f"{peer_host}:{relay_port}",
        metrics_port=metrics_port,
        seed_addresses=tuple(network.seeds),
        region_by_domain={
            ids.DomainId(zone): ids.RegionId(region)
            for zone, region in network.zones.items()
        },
        store=settings.platform.platform.address,
        promises=_to_fleet_limits(settings.terms.bounds),
        memory_limit_bytes=int(identity.limits.memory_mb * _BYTES_PER_MB),
        expects_overload=_expects_overload(settings.terms),
    )


def _expects_overload(terms: _TermsSection) -> bool:
    contracts = terms.contracts
    return isinstance(contracts, list) and _OVERLOAD_CONTRACT in contracts


def _to_fleet_limits(
    bounds: _BoundsSection,
) -> fleet_entry_settings.FleetLimits:
    return fleet_entry_settings.FleetLimits(
        retry_ratio=bounds.budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_s=durations.parse_duration_s(bounds.budget_window),
        rate_overage=bounds.quota_overage,
        rate_slack=bounds.quota_slack,
        stop_grace_s=durations.parse_duration_s(bounds.grace),
        lookup_ttl_s=durations.parse_duration_s(bounds.ttl_max),
    )
