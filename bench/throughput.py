"""Throughput of look-ups and proxied requests, relative to simple servers.

The entry, the constant server and the simple proxy are pinned to the same CPU
core; the bare target and the load generator are not pinned. The exit code is 1
if a ratio is below its minimum.
"""

import sys
import time

import httpx

from bench import load
from bench import processes
from chicorydoor.protocol import config_records as records
from chicorydoor.standins import local_fleet
from chicorydoor.state import config_snapshot

_CONNECTION_COUNT = 32
_DURATION_S = 4.0
_MIN_LOOKUP_RATIO = 0.6
_MIN_PROXY_RATIO = 3.0
_API_KEY = "cdk_bench"


def _configuration() -> records.Configuration:
    config = records.Configuration()
    config.region_by_id["r"] = records.Region()
    config.domain_by_id["d"] = records.Domain("r")
    config.block_by_cidr["127.0.0.0/8"] = records.ClientBlock("r")
    config.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    # The fleet sets address and port; 64 slots, 128 connections.
    config.target_by_id["t"] = records.Target(
        "svc", "d", "127.0.0.1", 1, 64, 128
    )
    config.customer_by_id["c"] = records.Customer(1e6, 1e6)
    digest = config_snapshot.key_digest(_API_KEY.encode())
    config.key_by_id["k"] = records.Key("c", digest)
    config.route_by_id["work"] = records.Route("svc", "/job", deadline_s=2.0)
    return config


def _encode_request(path: str, key: str = "") -> bytes:
    header_lines = [f"GET {path} HTTP/1.1", "host: bench"]
    if key:
        header_lines.append(f"x-api-key: {key}")
    return ("\r\n".join(header_lines) + "\r\n\r\n").encode()


def _measure(name: str, endpoint: str, request: bytes) -> float:
    # Warm-up of 1 s, not measured.
    load.ClosedLoopLoad(endpoint, request, _CONNECTION_COUNT, 1.0).run()
    measured_load = load.ClosedLoopLoad(
        endpoint, request, _CONNECTION_COUNT, _DURATION_S
    )
    rate_per_s = measured_load.run()
    processes.emit(
        name,
        requests_per_s=round(rate_per_s),
        failed=measured_load.failed,
        p50_ms=measured_load.percentile_ms(0.5),
        p99_ms=measured_load.percentile_ms(0.99),
    )
    return rate_per_s


def _wait_until_serving(endpoint: str, path: str) -> None:
    for _ in range(200):
        try:
            httpx.get(f"http://{endpoint}{path}", trust_env=False)
            return
        except httpx.HTTPError:
            time.sleep(0.05)
    raise TimeoutError(endpoint)


def main() -> int:
    """Measure and return the exit code, 1 if a ratio is too low."""
    target_command = ("bench.servers", "target")
    entries = processes.ProcessFleet(
        _configuration(), ["d"], target_command=target_command, is_pinned=True
    )
    child_processes = entries.processes
    try:
        entries.start_serving("/job/x", _API_KEY)
        target_port = entries.configuration.target_by_id["t"].port
        entry_endpoint = str(entries.settings_by_instance["d-1"].callers)
        baseline_endpoint_by_kind = {}
        for kind in ("constant", "passthrough"):
            port = local_fleet.find_free_port()
            extra_arguments = (
                [str(target_port)] if kind == "passthrough" else []
            )
            child_processes.start(
                "bench.servers",
                kind,
                *extra_arguments,
                str(port),
                is_pinned=True,
            )
            baseline_endpoint_by_kind[kind] = f"127.0.0.1:{port}"
            _wait_until_serving(baseline_endpoint_by_kind[kind], "/v1/lookup")
        lookup_request = _encode_request("/v1/lookup?address=127.0.0.1")
        constant_rate_per_s = _measure(
            "constant",
            baseline_endpoint_by_kind["constant"],
            _encode_request("/v1/lookup"),
        )
        lookup_rate_per_s = _measure("lookup", entry_endpoint, lookup_request)
        passthrough_rate_per_s = _measure(
            "passthrough",
            baseline_endpoint_by_kind["passthrough"],
            _encode_request("/job/x"),
        )
        proxied_rate_per_s = _measure(
            "proxied", entry_endpoint, _encode_request("/job/x", _API_KEY)
        )
        lookup_ratio = round(lookup_rate_per_s / constant_rate_per_s, 3)
        proxy_ratio = round(proxied_rate_per_s / passthrough_rate_per_s, 3)
        processes.emit(
            "lookup-ratio", ratio=lookup_ratio, target=_MIN_LOOKUP_RATIO
        )
        processes.emit(
            "proxy-ratio", ratio=proxy_ratio, target=_MIN_PROXY_RATIO
        )
    finally:
        entries.close()
    are_ratios_met = (
        lookup_ratio >= _MIN_LOOKUP_RATIO and proxy_ratio >= _MIN_PROXY_RATIO
    )
    return 0 if are_ratios_met else 1


if __name__ == "__main__":
    sys.exit(main())
