"""An entry of the fleet path: its ports, its tasks and its graceful stop.

On this path all entries share the platform's key-value store and exchange
heartbeats and digests directly. ``compose_fleet`` connects its components.
"""

import asyncio
from collections import abc
import contextlib
import gc
import logging
import random
import time

import msgspec
import prometheus_client

from chicorydoor import compose_fleet
from chicorydoor.coordination import explain_app
from chicorydoor.coordination import supervision
from chicorydoor.platform import kv_store
from chicorydoor.platform import lookup_app
from chicorydoor.protocol import fleet_entry_settings
from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import http_server
from chicorydoor.transport import nng_transport
from chicorydoor.transport import port_binding
from chicorydoor.transport import receive_buffer

_LOG = logging.getLogger(__name__)

_MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Callers cache a look-up for at most this long; leaving entries wait for its
# expiry.
_LOOKUP_TTL_S = 2.0
# Draining before a stop: by then callers have looked up other entries, so that
# connections may be closed.
_DRAIN_S = 2.6
# Room for the headers that an entry adds to a request that it relays.
_RELAY_HEADER_BYTES = 1024
# Part of the grace period of a stop that is reserved for closing everything.
_CLOSE_RESERVE_S = 0.6
# Uses of the ports that decide what the entry may do.
_CALLERS, _PEERS = "callers", "peers"


class FleetEntry:
    """A complete entry with its ports.

    Args:
        settings (FleetEntrySettings): Validated settings.
        stop_requested (Event): Set to begin a graceful stop. Defaults to a
            new one.
    """

    def __init__(
        self,
        settings: fleet_entry_settings.FleetEntrySettings,
        stop_requested: asyncio.Event | None = None,
    ) -> None:
        self._settings = settings
        self._stop_requested = stop_requested or asyncio.Event()
        self._ports = port_binding.PortBinder()
        self._components: compose_fleet.FleetComponents | None = None

    def apply_settings(
        self, settings: fleet_entry_settings.FleetEntrySettings
    ) -> None:
        """Apply changed settings to the running entry.

        Only the regions of the failure domains change; everything else stays
        until the entry starts again.
        """
        self._settings = msgspec.structs.replace(
            self._settings, region_by_domain=settings.region_by_domain
        )
        if self._components is not None:
            self._components.targets.set_regions(settings.region_by_domain)

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self._settings
        store = kv_store.KeyValueStore(settings.store)
        link = nng_transport.NngPeerTransport(
            None, _MAX_MESSAGE_BYTES, settings.memory_limit_bytes
        )
        components = compose_fleet.FleetComponents(
            settings=settings,
            store=store,
            link=link,
            clock=clock_module.SystemClock(),
            rng=random.Random(),
            incarnation=time.time_ns() // 1_000_000,
            accepts_callers=lambda: self._ports.is_bound(_CALLERS),
            hears_peers=lambda: self._ports.is_bound(_PEERS),
        )
        self._components = components
        store.restore_observers.append(components.handle_store_restore)
        server = self._make_server(components)
        relay_server = self._make_relay_server(components)
        await server.start()
        await relay_server.start()
        self._bind_ports(server, relay_server, link)
        _LOG.info("started", extra={"settings": msgspec.to_builtins(settings)})
        # Exempt the objects of the start from later garbage collections.
        gc.collect()
        gc.freeze()
        tasks = asyncio.create_task(components.run())
        try:
            await self._serve_until_stopped(
                components, (server, relay_server), tasks
            )
        finally:
            tasks.cancel()
            await asyncio.gather(tasks, return_exceptions=True)
            await self._ports.close()
            await link.close()
        try:
            await components.registration.withdraw()
        except Exception:
            # The registration's lease expires.
            supervision.record_error("withdrawal")
        _LOG.info("stopped")

    def _bind_ports(
        self,
        server: http_server.HttpServer,
        relay_server: http_server.HttpServer,
        link: nng_transport.NngPeerTransport,
    ) -> None:
        """Bind all ports; those that are held are bound when they are free."""
        settings = self._settings
        host = settings.callers.rpartition(":")[0]
        self._ports.bind(_PEERS, settings.peers, link.listen)
        self._ports.bind("relay", settings.relay, relay_server.listen)
        for use, endpoint in (
            ("readiness", settings.readiness),
            ("lookups", settings.lookups),
            ("metrics", f"{host}:{settings.metrics_port}"),
            (_CALLERS, settings.callers),
        ):
            self._ports.bind(use, endpoint, server.listen)

    async def _serve_until_stopped(
        self,
        components: compose_fleet.FleetComponents,
        servers: abc.Sequence[http_server.HttpServer],
        tasks: asyncio.Task,
    ) -> None:
        """Serve until a stop is requested or a task fails."""
        stopping = asyncio.create_task(self._stop_requested.wait())
        try:
            await asyncio.wait(
                [tasks, stopping], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            stopping.cancel()
        if tasks.done():
            # Raises the failure.
            tasks.result()
        await self._drain_and_close(components, servers)

    def _make_server(
        self, components: compose_fleet.FleetComponents
    ) -> http_server.HttpServer:
        settings = self._settings
        lookups = lookup_app.LookupApp(
            components.lookup_addresses,
            min(_LOOKUP_TTL_S, settings.promises.lookup_ttl_s),
            components.is_ready,
        )
        app_by_port = {
            _port(settings.callers): components.call_app,
            _port(settings.readiness): lookups,
            _port(settings.lookups): lookups,
            settings.metrics_port: explain_app.ExplainApp(
                components.explainer, prometheus_client.make_asgi_app()
            ),
        }

        async def dispatch(
            scope: asgi.Scope,
            receive: asgi.Receive,
            send: asgi.Send,
        ) -> None:
            await app_by_port[scope["server"][1]](scope, receive, send)

        def limits() -> caller_protocol.ConnectionLimits:
            active_limits = components.active_config.current.limits
            return caller_protocol.ConnectionLimits(
                active_limits.header_bytes,
                active_limits.header_timeout_s,
                active_limits.idle_timeout_s,
            )

        callers_port = _port(settings.callers)

        def admit_body(scope: asgi.Scope) -> bool:
            # Only callers' requests are read with their body.
            return scope["server"][1] == callers_port and (
                components.bodies.admit(scope)
            )

        return http_server.HttpServer(
            dispatch,
            limits=limits,
            admit_body=admit_body,
            memory=components.connection_memory,
            may_run_early=lambda scope: (
                scope["server"][1] == callers_port
                and components.call_app.may_run_early(scope)
            ),
            receive_buffer_bytes=receive_buffer.CALLER_BYTES,
        )

    def _make_relay_server(
        self, components: compose_fleet.FleetComponents
    ) -> http_server.HttpServer:
        def limits() -> caller_protocol.ConnectionLimits:
            caller_limits = components.active_config.current.limits
            return caller_protocol.ConnectionLimits(
                caller_limits.header_bytes + _RELAY_HEADER_BYTES
            )

        return http_server.HttpServer(
            components.relay_app,
            limits=limits,
            admit_body=components.bodies.admit,
            memory=components.connection_memory,
            receive_buffer_bytes=receive_buffer.CALLER_BYTES,
        )

    async def _drain_and_close(
        self,
        components: compose_fleet.FleetComponents,
        servers: abc.Sequence[http_server.HttpServer],
    ) -> None:
        """Drain: serve until callers use other entries, then close."""
        await self._ports.close()
        grace_s = self._settings.promises.stop_grace_s
        deadline = components.clock.now() + grace_s - _CLOSE_RESERVE_S
        _LOG.info(
            "stopping", extra={"running": components.call_app.running_count}
        )
        components.announce_leaving(deadline)
        if self._ports.is_bound(_CALLERS):
            await asyncio.sleep(_DRAIN_S)
        remaining_s = max(0.0, deadline - components.clock.now())
        await asyncio.gather(*(server.stop(remaining_s) for server in servers))
        with contextlib.suppress(asyncio.CancelledError):
            components.sender.close()
            components.relay.close()
            components.prober.close()


def _port(endpoint: str) -> int:
    return int(endpoint.rpartition(":")[2])
