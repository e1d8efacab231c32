"""Reads the settings file that the platform places on each machine."""

import pathlib
import typing

import msgspec
import yaml

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import fleet_settings
from chicorydoor.protocol import ids

PATH_VARIABLE = "CHICORYDOOR_CONFIG"


class _Wire(msgspec.Struct, rename="camel"):
    """Unknown fields are ignored: the platform may add some."""


class _Self(_Wire):
    node_name: str
    zone: str
    region: str


class _Listen(_Wire):
    front: str
    ready: str
    control: str
    directory: str


class _Network(_Wire):
    listen: _Listen
    zones: dict[str, str]
    internal_port_range: tuple[int, int]
    seeds: list[str] = []


class _Store(_Wire):
    address: str


class _Platform(_Wire):
    platform: _Store


class _Bounds(_Wire):
    budget_ratio: float = 0.2
    budget_slack: float = 0.0
    budget_window: str = "10s"
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    grace: str = "6s"
    ttl_max: str = msgspec.field(default="5s", name="ttl_max")


class _Terms(_Wire):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _Settings(_Wire):
    me: _Self = msgspec.field(name="self")
    network: _Network
    platform: _Platform
    terms: _Terms = msgspec.field(default_factory=_Terms)


def read(path: pathlib.Path) -> fleet_settings.FleetSettings:
    """The settings in the product's own form.

    Raises:
        SettingsError: If the file is missing or not valid.
    """
    try:
        raw = yaml.load(path.read_bytes(), Loader=_loader())
        return _translate(msgspec.convert(raw, type=_Settings))
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    except yaml.YAMLError as error:
        reason = " ".join(f"{error}".split())
        raise errors.SettingsError(f"{path}: {reason}") from error
    except (msgspec.ValidationError, errors.ConfigurationError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error


def _loader() -> typing.Any:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _translate(settings: _Settings) -> fleet_settings.FleetSettings:
    me, network = settings.me, settings.network
    listen = network.listen
    return fleet_settings.FleetSettings(
        instance=ids.InstanceId(me.node_name),
        domain=ids.DomainId(me.zone),
        region=ids.RegionId(me.region),
        callers=listen.front,
        readiness=listen.ready,
        peers=listen.control,
        lookups=listen.directory,
        metrics_port=network.internal_port_range[1],
        seed_addresses=tuple(network.seeds),
        region_by_domain={
            ids.DomainId(zone): ids.RegionId(region)
            for zone, region in network.zones.items()
        },
        store=settings.platform.platform.address,
        promises=_promises(settings.terms.bounds),
    )


def _promises(bounds: _Bounds) -> fleet_settings.Promises:
    return fleet_settings.Promises(
        retry_ratio=bounds.budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_s=durations.seconds(bounds.budget_window),
        rate_overage=bounds.quota_overage,
        rate_slack=bounds.quota_slack,
        stop_grace_s=durations.seconds(bounds.grace),
        lookup_ttl_s=durations.seconds(bounds.ttl_max),
    )
