"""Numbers that callers, targets and registrations name."""

import json

import msgspec
import pytest

from chicorydoor import errors
from chicorydoor.platform import documents
from chicorydoor.protocol import headers
from chicorydoor.transport import metrics
from tests.support import platform_cluster

# Python converts the first to no float, and the second to no number at all.
_LONG_NUMBERS = ["9" * 400, "9" * 5000]


class TestWholeNumbers:
    @pytest.mark.parametrize(
        ("value", "number"),
        [
            (b"0", 0),
            (b"007", 7),
            (b"1500", 1500),
            (b"9" * 30, 10**12),
            (b"9" * 5000, 10**12),
            (b"0" * 5000 + b"3", 3),
            *((each, None) for each in (b"", b"-1", b"+1", b"1.5", b"1_0")),
            *((each, None) for each in (b" 1", b"x", b"\xb2", b"1e3")),
        ],
    )
    def test_number_of_a_header(self, value, number):
        assert headers.parse_whole_number(value) == number


class TestCallers:
    # Guards against a deadline that ends its request with an error of the
    # entry's own.
    @pytest.mark.parametrize("deadline_ms", _LONG_NUMBERS)
    def test_request_with_a_far_deadline_is_served(self, deadline_ms):
        async def scenario(cluster):
            answer = await cluster.call(headers={"deadline-ms": deadline_ms})
            assert answer.status_code == 200

        platform_cluster.run(scenario)


class TestTargets:
    # Guards against one target whose load ends all requests with an error,
    # those that it has run too, and all heartbeats of the entry.
    @pytest.mark.parametrize("load", ["9" * 20, *_LONG_NUMBERS])
    def test_requests_are_served_whatever_load_a_target_names(self, load):
        def error_count():
            return sum(
                sample.value
                for metric in metrics.UNEXPECTED_ERRORS.collect()
                for sample in metric.samples
                if sample.name.endswith("_total")
            )

        async def scenario(cluster):
            errors_before = error_count()
            cluster.targets[0].load = f"{load},0,4".encode()
            for key in range(20):
                for entry in (0, 1):
                    answer = await cluster.call(
                        entry=entry, headers={"affinity-key": str(key)}
                    )
                    assert answer.status_code == 200
            assert cluster.targets[0].received_headers
            for each in cluster.entries:
                each.request_stop()
            await cluster.tasks[0]
            assert error_count() == errors_before

        platform_cluster.run(scenario, entries=2)


class TestLoadHeader:
    # Guards against loads that are dropped because the target also says how
    # slow its machine is. The request itself is no part of the others' load.
    @pytest.mark.parametrize(
        ("value", "load", "slowdown"),
        [
            (b"3,2,4", 4.0, 1.0),
            (b"3,2,4,250", 4.0, 2.5),
            (b"3, 2, 4, 80", 4.0, 0.8),
            # Absurd figures count as none.
            (b"3,2,4,0", 4.0, 1.0),
            (b"3,2,4," + b"9" * 30, 4.0, 1.0),
            (b"3,2,4,-250", 0.0, 1.0),
            (b"3,2,4,2.5", 0.0, 1.0),
            (b"3,2,4,250,1", 0.0, 1.0),
            (b"3,2", 0.0, 1.0),
        ],
    )
    def test_load_and_slowdown(self, value, load, slowdown):
        async def scenario(cluster):
            cluster.targets[0].load = cluster.targets[1].load = value
            await cluster.call()
            views = cluster.entries[
                0
            ]._components.targets.target_by_id.values()
            loads = [
                view for view in views if view.load_age_s(0.0) is not None
            ]
            assert len(loads) == (load > 0)
            for view in loads:
                reported_at = -view.load_age_s(0.0)
                assert view.estimated_requests(reported_at) == load
                assert view.slowdown(reported_at) == slowdown

        platform_cluster.run(scenario)


class TestRegistrations:
    # Guards against a number that no message between entries can hold.
    @pytest.mark.parametrize("number", [2**64, 10**30, -1])
    @pytest.mark.parametrize("field", ["born", "slots"])
    def test_registration_with_an_impossible_number_is_not_used(
        self, field, number
    ):
        document = {
            "address": "127.0.0.1:9",
            "born": 1,
            "info": {"service": "s", "zone": "na", "slots": 4},
            "status": {"state": "ready"},
        }
        registration = documents.decode_target_registration(
            "servers/t", json.dumps(document).encode()
        )
        assert msgspec.msgpack.encode(registration.started_ms)
        changed = document if field == "born" else document["info"]
        changed[field] = number
        with pytest.raises(errors.ConfigurationError):
            documents.decode_target_registration(
                "servers/t", json.dumps(document).encode()
            )
