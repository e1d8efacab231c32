"""Reads and validates an operator's configuration folder of JSON files.

Every file holds some of the collections of
``chicorydoor.protocol.config_records.Configuration``; all files together are
the configuration.
"""

import ipaddress
import pathlib
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import config_records


def read_folder(
    folder: pathlib.Path,
) -> config_records.Configuration:
    """Read and validate a folder.

    Args:
        folder (Path): Folder with ``*.json`` files.

    Returns:
        The configuration of all files together.

    Raises:
        ConfigurationError: With path of the field and reason, and with the
            file if the fault is in one record.
    """
    if not folder.is_dir():
        raise errors.ConfigurationError(f"{folder}: no such folder")
    configuration = config_records.Configuration()
    for path in sorted(folder.glob("*.json")):
        _merge_file(configuration, path)
    check_references(configuration)
    return configuration


def _merge_file(
    configuration: config_records.Configuration, path: pathlib.Path
) -> None:
    try:
        document = msgspec.json.decode(path.read_bytes(), type=dict)
    except (msgspec.DecodeError, OSError) as error:
        raise errors.ConfigurationError(f"{path}: {error}") from error
    merge_document(configuration, document, str(path))


def merge_document(
    configuration: config_records.Configuration,
    document: dict[str, typing.Any],
    source: str,
) -> None:
    """Add the records of one decoded JSON document.

    Args:
        configuration (Configuration): Configuration to add to.
        document (dict): Records by id, by collection name.
        source (str): Name of the document for error messages.

    Raises:
        ConfigurationError: With source, path of the field and reason.
    """
    for collection, record_by_id in document.items():
        record_type = config_records.RECORD_TYPE_BY_COLLECTION.get(collection)
        if record_type is None:
            raise errors.ConfigurationError(
                f"{source}: {collection}: no such collection"
            )
        if not isinstance(record_by_id, dict):
            raise errors.ConfigurationError(
                f"{source}: {collection}: not an object"
            )
        known = getattr(configuration, collection)
        for record_id, raw in record_by_id.items():
            where = f"{source}: {collection}.{record_id}"
            if record_id in known:
                raise errors.ConfigurationError(f"{where}: given twice")
            known[record_id] = _convert_record(raw, record_type, where)


def _convert_record(
    raw: typing.Any, record_type: type[config_records.ConfigRecord], where: str
) -> config_records.ConfigRecord:
    try:
        record = msgspec.convert(raw, record_type)
        record.validate()
    except (msgspec.ValidationError, errors.ConfigurationError) as error:
        raise errors.ConfigurationError(f"{where}: {error}") from error
    return record


# Collection, its field with a record id, and the collection of that record.
_REFERENCES = (
    ("domain_by_id", "region", "region_by_id"),
    ("block_by_cidr", "region", "region_by_id"),
    ("key_by_id", "customer", "customer_by_id"),
    ("target_by_id", "service", "service_by_id"),
    ("target_by_id", "domain", "domain_by_id"),
    ("route_by_id", "service", "service_by_id"),
    ("link_by_id", "from_region", "region_by_id"),
    ("link_by_id", "to_region", "region_by_id"),
)


def check_references(configuration: config_records.Configuration) -> None:
    """Check the references and constraints between records.

    Raises:
        ConfigurationError: With path of the field and reason.
    """
    for collection, field, other in _REFERENCES:
        known = getattr(configuration, other)
        for record_id, record in getattr(configuration, collection).items():
            value = getattr(record, field)
            if value not in known:
                raise errors.ConfigurationError(
                    f"{collection}.{record_id}.{field}: {value!r} is not "
                    f"in {other}"
                )
    _check_blocks(configuration)
    _check_shares(configuration)
    _check_routes(configuration)
    _check_drains(configuration)
    _check_keys(configuration)
    _check_policy(configuration)


def _check_blocks(configuration: config_records.Configuration) -> None:
    for cidr in configuration.block_by_cidr:
        try:
            ipaddress.ip_network(cidr)
        except ValueError as error:
            raise errors.ConfigurationError(
                f"block_by_cidr.{cidr}: {error}"
            ) from error


def _check_shares(configuration: config_records.Configuration) -> None:
    for customer_id, customer in configuration.customer_by_id.items():
        for domain in customer.share_by_domain:
            if domain not in configuration.domain_by_id:
                raise errors.ConfigurationError(
                    f"customer_by_id.{customer_id}.share_by_domain: "
                    f"{domain!r} is not in domain_by_id"
                )


def _check_routes(configuration: config_records.Configuration) -> None:
    route_by_prefix: dict[str, str] = {}
    for route_id, route in configuration.route_by_id.items():
        other = route_by_prefix.setdefault(route.path_prefix, route_id)
        if other != route_id:
            raise errors.ConfigurationError(
                f"route_by_id.{route_id}.path_prefix: the same as {other}'s"
            )


def _check_drains(configuration: config_records.Configuration) -> None:
    collection_by_kind = {
        config_records.DrainKind.TARGET: configuration.target_by_id,
        config_records.DrainKind.DOMAIN: configuration.domain_by_id,
        config_records.DrainKind.REGION: configuration.region_by_id,
    }
    for drain_id, drain in configuration.drain_by_id.items():
        # Instances are not configured, so drains of them aren't checked.
        known = collection_by_kind.get(drain.kind)
        if known is not None and drain.subject not in known:
            raise errors.ConfigurationError(
                f"drain_by_id.{drain_id}.subject: no {drain.kind.value} "
                f"{drain.subject!r}"
            )


def _check_keys(configuration: config_records.Configuration) -> None:
    key_by_digest: dict[str, str] = {}
    for key_id, key in configuration.key_by_id.items():
        if key_id in configuration.withdrawn_key_by_id:
            raise errors.ConfigurationError(
                f"key_by_id.{key_id}: the key was withdrawn"
            )
        other = key_by_digest.setdefault(key.digest, key_id)
        if other != key_id:
            raise errors.ConfigurationError(
                f"key_by_id.{key_id}.digest: the same as {other}'s"
            )


def _check_policy(configuration: config_records.Configuration) -> None:
    for policy_id in configuration.policy_by_id:
        if policy_id != "default":
            raise errors.ConfigurationError(
                f"policy_by_id.{policy_id}: only 'default' is known"
            )
