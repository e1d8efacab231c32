"""An entry on the platform: its ports, its tasks and its planned stop."""

import asyncio
import contextlib
import gc
import logging
import random
import time

import msgspec
import prometheus_client

from chicorydoor import compose_fleet
from chicorydoor.platform import kv_store
from chicorydoor.platform import lookup_app
from chicorydoor.protocol import fleet_settings
from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import http_server
from chicorydoor.transport import nng_link

_LOG = logging.getLogger(__name__)

_MESSAGE_BYTES = 4 * 1024 * 1024
# Callers keep an answer for this long; leaving entries wait for them.
_LOOKUP_TTL_S = 2.0
# At a stop: callers have new look-ups by then, so connections may close.
_LEAVE_S = 2.6
# At a stop: kept back from the grace for closing everything.
_STOP_MARGIN_S = 0.6


class FleetEntry:
    """A whole entry with its ports.

    Args:
        settings (FleetSettings): Checked settings.
    """

    def __init__(self, settings: fleet_settings.FleetSettings) -> None:
        self._settings = settings
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self._settings
        store = kv_store.KeyValueStore(settings.store)
        link = nng_link.NngLink(settings.peers, _MESSAGE_BYTES)
        parts = compose_fleet.FleetParts(
            settings=settings,
            store=store,
            link=link,
            clock=clock_module.SystemClock(),
            rng=random.Random(),
            incarnation=time.time_ns() // 1_000_000,
        )
        server = self._serve_ports(parts)
        await server.start()
        _LOG.info("started", extra={"settings": msgspec.to_builtins(settings)})
        gc.collect()
        gc.freeze()
        tasks = asyncio.create_task(parts.run())
        try:
            await self._serve(parts, server, tasks)
        finally:
            tasks.cancel()
            await asyncio.gather(tasks, return_exceptions=True)
            # A pynng call that is cancelled just when it completes goes on;
            # only closing its socket ends it.
            await link.close()
        await parts.registrar.withdraw()
        _LOG.info("stopped")

    async def _serve(
        self,
        parts: compose_fleet.FleetParts,
        server: http_server.HttpServer,
        tasks: asyncio.Task,
    ) -> None:
        """Serve until told to stop, or until a task fails."""
        stopping = asyncio.create_task(self._stopping.wait())
        try:
            await asyncio.wait(
                [tasks, stopping], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            stopping.cancel()
        if tasks.done():
            tasks.result()
        await self._leave(parts, server)

    def _serve_ports(
        self, parts: compose_fleet.FleetParts
    ) -> http_server.HttpServer:
        settings = self._settings
        lookups = lookup_app.LookupApp(
            parts.addresses,
            min(_LOOKUP_TTL_S, settings.promises.lookup_ttl_s),
            parts.is_ready,
        )
        host, _, number = settings.callers.rpartition(":")
        metrics_address = f"{host}:{settings.metrics_port}"
        app_by_port = {
            _port(settings.callers): parts.calls,
            _port(settings.readiness): lookups,
            _port(settings.lookups): lookups,
            settings.metrics_port: prometheus_client.make_asgi_app(),
        }

        async def dispatch(
            scope: asgi.Scope,
            receive: asgi.Receive,
            send: asgi.Send,
        ) -> None:
            await app_by_port[scope["server"][1]](scope, receive, send)

        def limits() -> caller_protocol.ConnectionLimits:
            in_force = parts.plans.plan.limits
            return caller_protocol.ConnectionLimits(
                in_force.header_bytes,
                in_force.header_timeout_s,
                in_force.idle_timeout_s,
            )

        return http_server.HttpServer(
            dispatch,
            host,
            int(number),
            limits=limits,
            more_endpoints=(
                settings.readiness,
                settings.lookups,
                metrics_address,
            ),
        )

    async def _leave(
        self, parts: compose_fleet.FleetParts, server: http_server.HttpServer
    ) -> None:
        """Serve until callers have turned elsewhere, then close."""
        grace_s = self._settings.promises.stop_grace_s
        deadline = parts.clock.now() + grace_s - _STOP_MARGIN_S
        _LOG.info("stopping", extra={"running": parts.calls.running})
        parts.leave()
        await asyncio.sleep(_LEAVE_S)
        left_s = max(0.0, deadline - parts.clock.now())
        await server.stop(left_s)
        with contextlib.suppress(asyncio.CancelledError):
            parts.sender.close()
            parts.prober.close()


def _port(endpoint: str) -> int:
    return int(endpoint.rpartition(":")[2])
