"""Look-ups and proxied requests against naive baselines, on one core."""

import sys
import time

import httpx

from bench import load
from bench import processes
from chicorydoor.protocol import config_records as records
from chicorydoor.standins import fleet
from chicorydoor.state import config_snapshot

_CONNECTIONS = 32
_DURATION_S = 4.0
_LOOKUP_TARGET = 0.6
_PROXY_TARGET = 3.0
_KEY = "cdk_bench"


def _configuration() -> records.Configuration:
    config = records.Configuration()
    config.region_by_id["r"] = records.Region()
    config.domain_by_id["d"] = records.Domain("r")
    config.block_by_cidr["127.0.0.0/8"] = records.ClientBlock("r")
    config.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    config.target_by_id["t"] = records.Target(
        "svc", "d", "127.0.0.1", 1, 64, 128
    )
    config.customer_by_id["c"] = records.Customer(1e6, 1e6)
    digest = config_snapshot.key_digest(_KEY.encode())
    config.key_by_id["k"] = records.Key("c", digest)
    config.route_by_id["work"] = records.Route("svc", "/job", deadline_s=2.0)
    return config


def _request(path: str, key: str = "") -> bytes:
    lines = [f"GET {path} HTTP/1.1", "host: bench"]
    if key:
        lines.append(f"x-api-key: {key}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _measure(name: str, endpoint: str, request: bytes) -> float:
    load.Load(endpoint, request, _CONNECTIONS, 1.0).run()
    measured = load.Load(endpoint, request, _CONNECTIONS, _DURATION_S)
    rate = measured.run()
    processes.emit(
        name,
        requests_per_s=round(rate),
        failed=measured.failed,
        p50_ms=measured.percentile(0.5),
        p99_ms=measured.percentile(0.99),
    )
    return rate


def _wait(endpoint: str, path: str) -> None:
    for _ in range(200):
        try:
            httpx.get(f"http://{endpoint}{path}", trust_env=False)
            return
        except httpx.HTTPError:
            time.sleep(0.05)
    raise TimeoutError(endpoint)


def main() -> int:
    """Measure; exit code 1 if a target is missed."""
    words = ("bench.servers", "target")
    entries = processes.ProcessFleet(
        _configuration(), ["d"], target_words=words, pinned=True
    )
    children = entries.processes
    try:
        entries.ready("/job/x", _KEY)
        target_port = entries.configuration.target_by_id["t"].port
        entry = str(entries.settings_by_id["d-1"].callers)
        baselines = {}
        for kind in ("constant", "passthrough"):
            port = fleet.free_port()
            extra = [str(target_port)] if kind == "passthrough" else []
            children.start(
                "bench.servers", kind, *extra, str(port), pinned=True
            )
            baselines[kind] = f"127.0.0.1:{port}"
            _wait(baselines[kind], "/v1/lookup")
        lookup = _request("/v1/lookup?address=127.0.0.1")
        constant = _measure(
            "constant", baselines["constant"], _request("/v1/lookup")
        )
        ours = _measure("lookup", entry, lookup)
        naive = _measure(
            "passthrough", baselines["passthrough"], _request("/job/x")
        )
        proxied = _measure("proxied", entry, _request("/job/x", _KEY))
        lookup_ratio = round(ours / constant, 3)
        proxy_ratio = round(proxied / naive, 3)
        processes.emit(
            "lookup-ratio", ratio=lookup_ratio, target=_LOOKUP_TARGET
        )
        processes.emit("proxy-ratio", ratio=proxy_ratio, target=_PROXY_TARGET)
    finally:
        entries.close()
    is_met = lookup_ratio >= _LOOKUP_TARGET and proxy_ratio >= _PROXY_TARGET
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
