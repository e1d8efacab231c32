"""Decoding of the platform's documents and settings; invalid input raises."""

import json
import pathlib

import msgspec
import pytest

from chicorydoor import errors
from chicorydoor.platform import documents
from chicorydoor.platform import durations
from chicorydoor.platform import settings_file
from chicorydoor.protocol import serving_config
from chicorydoor.state import config_snapshot
from chicorydoor.state import fleet_view

_TARGET_DOCUMENT = {
    "address": "10.0.0.9:80",
    "born": 17,
    "info": {"service": "s", "version": "v1", "zone": "na", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "coldRemaining": "250ms"},
}
_CONFIGURATION_DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "shop.example",
            "prefix": "/read/",
            "kind": "safe",
            "timeout": "1500ms",
            "targetLatency": "400ms",
            "priority": 1,
            "service": "s",
            "maxAttempts": 2,
            "sessionAffinity": True,
            "allowedRegions": ["n"],
            "someNewField": 1,
        },
        {
            "name": "r2",
            "host": "shop.example",
            "prefix": "/order/",
            "kind": "unsafe",
            "timeout": "2s",
            "targetLatency": "400ms",
            "trafficSplit": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "maxAttempts": 1,
        },
    ],
    "services": [
        {
            "name": "s",
            "healthPath": "/health",
            "maxConnections": 10,
            "coldStart": "3s",
            "coldPerS": 18.0,
        }
    ],
    "limits": {
        "maxHeaderBytes": 1000,
        "maxBodyBytes": 2000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
    "tenants": [
        {"name": "c", "apiKeys": ["k1", "k2"], "ratePerS": 5, "burst": 6}
    ],
}
_SETTINGS_FILE = """
self:
  nodeName: "front-1"
  zone: "na"
  region: "n"
  limits: {memoryMb: 300}
network:
  listen:
    front: "10.1.0.7:8668"
    ready: "10.1.0.7:8666"
    control: "10.1.0.7:8667"
    directory: "10.1.0.7:8665"
  internalPortRange: [7220, 7235]
  seeds: ["10.1.0.8:8667"]
  zones: {na: "n"}
platform:
  platform: {address: "10.200.1.7:8669"}
terms:
  bounds: {budgetSlack: 62, quotaSlack: 20, grace: "6s", ttl_max: "5s"}
"""


class TestDurations:
    @pytest.mark.parametrize(
        ("text", "expected"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
    )
    def test_milliseconds_and_seconds_are_parsed(self, text, expected):
        assert durations.parse_duration_s(text) == expected

    @pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1 s", None, 3])
    def test_other_formats_are_rejected(self, text):
        with pytest.raises(errors.ConfigurationError):
            durations.parse_duration_s(text)


class TestConfiguration:
    # Guards against downloads that are not sent again after a failure.
    @pytest.mark.parametrize(
        ("kind", "is_idempotent"),
        [("safe", True), ("download", True), ("unsafe", False), ("x", False)],
    )
    def test_kinds_that_may_be_sent_again(self, kind, is_idempotent):
        route = _CONFIGURATION_DOCUMENT["routes"][0] | {"kind": kind}
        document = _CONFIGURATION_DOCUMENT | {"routes": [route]}
        config = documents.decode_configuration(json.dumps(document).encode())
        assert config.route_by_id["r1"].is_idempotent is is_idempotent

    def test_routes_are_decoded(self):
        config = documents.decode_configuration(
            json.dumps(_CONFIGURATION_DOCUMENT).encode()
        )
        read, order = config.route_by_id["r1"], config.route_by_id["r2"]
        assert config.version == 7
        assert read.is_idempotent and not order.is_idempotent
        assert (read.timeout_s, read.latency_objective_s) == (1.5, 0.4)
        assert read.allowed_region_ids == {"n"}
        assert [service.weight for service in order.weighted_services] == [
            90,
            10,
        ]

    def test_customers_are_decoded(self):
        config = documents.decode_configuration(
            json.dumps(_CONFIGURATION_DOCUMENT).encode()
        )
        digest = config_snapshot.key_digest(b"k2")
        customer = config.find_customer_by_key_digest(digest)
        assert (customer.rate_per_s, customer.burst) == (5, 6)
        assert (
            config.find_customer_by_key_digest(
                config_snapshot.key_digest(b"no")
            )
            is None
        )

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"version": "7"}',
            json.dumps(
                _CONFIGURATION_DOCUMENT | {"routes": [{"name": 1}]}
            ).encode(),
        ],
    )
    def test_invalid_document_is_rejected(self, value):
        with pytest.raises(errors.ConfigurationError):
            documents.decode_configuration(value)


class TestLaterVersions:
    def test_unchanged_routes_are_not_converted_again(self):
        first = documents.decode_configuration(
            json.dumps(_CONFIGURATION_DOCUMENT).encode()
        )
        later = _CONFIGURATION_DOCUMENT | {
            "version": _CONFIGURATION_DOCUMENT["version"] + 1
        }
        second = documents.decode_configuration(json.dumps(later).encode())
        for route_id, route in first.route_by_id.items():
            assert second.route_by_id[route_id] is route


class TestTargets:
    def test_fields_are_decoded(self):
        record = documents.decode_target_registration(
            "servers/i-1", json.dumps(_TARGET_DOCUMENT).encode()
        )
        assert record.target_id == "i-1"
        assert record.slots == 9
        assert record.started_ms == 17
        assert record.warm_up_remaining_s == 0.25
        assert record.lifecycle is serving_config.TargetLifecycle.READY

    @pytest.mark.parametrize(
        "change",
        [
            {"status": {"state": "dancing"}},
            {"status": {}},
            {"info": {"service": "s", "zone": "na", "slots": "9"}},
            {"info": {"service": "s", "zone": "na", "slots": 0}},
            {"address": "nowhere"},
            {"address": 5},
            {"address": "10.0.0.1:808080"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:" + "9" * 5000},
            {"address": "10.0.0.1:\u00b2"},
        ],
    )
    def test_invalid_registration_is_rejected(self, change):
        with pytest.raises(errors.ConfigurationError):
            documents.decode_target_registration(
                "servers/i-1", json.dumps(_TARGET_DOCUMENT | change).encode()
            )

    def test_deeply_nested_registration_is_rejected(self):
        nested = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
        assert documents.normalize_target_registration(nested) == nested
        with pytest.raises(errors.ConfigurationError):
            documents.decode_target_registration("servers/i-1", nested)

    def test_heartbeat_alone_does_not_change_the_significant_part(self):
        status = _TARGET_DOCUMENT["status"] | {"sequence": 5}
        later = _TARGET_DOCUMENT | {"status": status}
        significant_part = documents.normalize_target_registration(
            json.dumps(_TARGET_DOCUMENT).encode()
        )
        assert significant_part == documents.normalize_target_registration(
            json.dumps(later).encode()
        )
        status = status | {"state": "draining"}
        leaving = json.dumps(_TARGET_DOCUMENT | {"status": status}).encode()
        assert significant_part != documents.normalize_target_registration(
            leaving
        )


class TestEntries:
    _REGISTRATION = fleet_view.Registration(
        "e1", 3, "na", "n", "10.0.0.1:1", "10.0.0.1:2"
    )

    def test_registration_round_trip(self):
        value = msgspec.json.encode(self._REGISTRATION)
        key = documents.ENTRY_PREFIX + "e1"
        assert (
            documents.decode_entry_registration(key, value)
            == self._REGISTRATION
        )

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("e1", b"\x00"),
            ("e1", b"{}"),
            ("e2", msgspec.json.encode(_REGISTRATION)),
        ],
    )
    def test_invalid_registration_is_rejected(self, name, value):
        with pytest.raises(errors.ConfigurationError):
            documents.decode_entry_registration(
                documents.ENTRY_PREFIX + name, value
            )


class TestSettings:
    def test_fields_are_decoded(self, tmp_path):
        path = tmp_path / "settings.yaml"
        path.write_text(_SETTINGS_FILE)
        loaded = settings_file.read_settings(path)
        assert loaded.instance == "front-1"
        assert loaded.store == "10.200.1.7:8669"
        assert loaded.promises.retry_slack == 62

    @pytest.mark.parametrize(
        ("contracts", "is_expected"),
        [
            ("", False),
            ("contracts: [rates, pressure]", True),
            ("contracts: [rates]", False),
            ("contracts: pressure-free", False),
            ("contracts: null", False),
        ],
    )
    def test_overload_is_expected_by_contract(
        self, tmp_path, contracts, is_expected
    ):
        path = tmp_path / "settings.yaml"
        path.write_text(f"{_SETTINGS_FILE}  {contracts}\n")
        loaded = settings_file.read_settings(path)
        assert loaded.expects_overload is is_expected

    @pytest.mark.parametrize(
        "text", ["", "a: [", "self: {}", _SETTINGS_FILE.replace('"6s"', '"6"')]
    )
    def test_invalid_file_is_rejected(self, tmp_path, text):
        path = tmp_path / "settings.yaml"
        path.write_text(text)
        with pytest.raises(errors.SettingsError):
            settings_file.read_settings(path)

    def test_missing_file_is_rejected(self):
        with pytest.raises(errors.SettingsError):
            settings_file.read_settings(pathlib.Path("/nowhere/settings.yaml"))


class TestBoundary:
    def test_platform_names_occur_only_in_the_adapter(self):
        """Field and header names of the platform stay inside the adapter."""
        names = (
            "coldRemaining",
            "kv-txn",
            "kv-watch",
            "Target-Instance",
            "target-instance",
            "Response-Seal",
            "response-seal",
            "not-executed",
            "Not-Executed",
            "trafficSplit",
            "apiKeys",
            "allowedRegions",
        )
        root = pathlib.Path(documents.__file__).parent.parent
        for path in root.rglob("*.py"):
            if path.parent.name in ("platform", "standins"):
                continue
            text = path.read_text()
            assert not [name for name in names if name in text], path
