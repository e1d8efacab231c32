"""HTTP application of the administration API for operators."""

from collections import abc
import typing

import litestar
from litestar import connection
from litestar import exceptions
from litestar import openapi
import msgspec
import prometheus_client

from chicorydoor import errors
from chicorydoor.coordination import administration as administration_module
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records
from chicorydoor.protocol import event
from chicorydoor.protocol import ids
from chicorydoor.state import event_ring

_BEARER_PREFIX = "Bearer "
_MAX_EVENTS = 5000
_NEEDS_NO_TOKEN = "needs_no_token"


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a call was refused."""

    error: str


def _make_error_handler(status: int) -> abc.Callable[..., typing.Any]:
    """Exception handler that responds with a status and the error text."""

    def handle_error(
        _: typing.Any, error: Exception
    ) -> litestar.Response[ErrorBody]:
        return litestar.Response(ErrorBody(str(error)), status_code=status)

    return handle_error


class AdminApp:
    """HTTP handlers of the administration API.

    Args:
        administration (Administration): Implements the operations.
        events (EventRing): Events of this entry.
        status (callable): Returns the status of this entry.
    """

    def __init__(
        self,
        *,
        administration: administration_module.Administration,
        events: event_ring.EventRing,
        status: abc.Callable[[], admin_api.Status],
    ) -> None:
        self._administration = administration
        self._events = events
        self._status = status
        get, post = litestar.get, litestar.post
        handlers = [
            get("/metrics", sync_to_thread=False, opt={_NEEDS_NO_TOKEN: True})(
                self.get_metrics
            ),
            get("/v1/configuration", sync_to_thread=False)(
                self.get_configuration
            ),
            post("/v1/configuration", status_code=200)(
                self.apply_configuration
            ),
            get("/v1/in-force")(self.get_in_force),
            get("/v1/status", sync_to_thread=False)(self.get_status),
            get("/v1/events")(self.get_events),
            post("/v1/keys", status_code=201)(self.issue_key),
            litestar.delete("/v1/keys/{key_id:str}", status_code=200)(
                self.withdraw_key
            ),
            post("/v1/drains", status_code=201)(self.plan_drain),
            litestar.delete("/v1/drains/{drain_id:str}", status_code=200)(
                self.cancel_drain
            ),
        ]
        self.app = litestar.Litestar(
            handlers,
            guards=[self._check_token],
            exception_handlers={
                errors.ConfigurationError: _make_error_handler(422),
                errors.ConflictError: _make_error_handler(409),
                errors.StoreError: _make_error_handler(503),
            },
            logging_config=None,
            openapi_config=openapi.OpenAPIConfig(
                title="chicorydoor administration", version="1"
            ),
        )

    def _check_token(
        self,
        call: connection.ASGIConnection,
        handler: typing.Any,
    ) -> None:
        if handler.opt.get(_NEEDS_NO_TOKEN):
            return
        if self._authenticate_operator(call) is None:
            raise exceptions.NotAuthorizedException("no valid operator token")

    def _authenticate_operator(
        self, call: connection.ASGIConnection
    ) -> str | None:
        value = call.headers.get("authorization", "")
        if not value.startswith(_BEARER_PREFIX):
            return None
        return self._administration.authenticate_operator(
            value.removeprefix(_BEARER_PREFIX)
        )

    def _operator_name(self, request: litestar.Request) -> str:
        return self._authenticate_operator(request) or ""

    def get_metrics(self) -> litestar.Response[bytes]:
        """Metrics of this entry, for a scraper on the operators' network."""
        return litestar.Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def get_configuration(self) -> admin_api.ConfigurationView:
        """The active configuration of this entry."""
        return self._administration.get_configuration_view()

    async def apply_configuration(
        self, request: litestar.Request, data: admin_api.ApplyCall
    ) -> admin_api.ApplyResult:
        """Commit a whole configuration."""
        return await self._administration.apply(
            data, self._operator_name(request)
        )

    async def get_in_force(self) -> dict[str, int]:
        """Active configuration revision by instance."""
        return await self._administration.get_active_revisions()

    def get_status(self) -> admin_api.Status:
        """Status of this entry."""
        return self._status()

    async def get_events(
        self,
        since: int = 0,
        limit: int = _MAX_EVENTS,
        everywhere: bool = False,
    ) -> list[event.Event]:
        """Events after a stamp, of this entry or of all entries."""
        limit = min(limit, _MAX_EVENTS)
        if everywhere:
            return await self._administration.collect_events(since, limit)
        return self._events.events_since(since, limit)

    async def issue_key(
        self, request: litestar.Request, data: admin_api.IssueCall
    ) -> admin_api.IssuedKey:
        """Issue a key."""
        return await self._administration.issue_key(
            data.key, data.customer, self._operator_name(request)
        )

    async def withdraw_key(
        self, request: litestar.Request, key_id: str
    ) -> admin_api.ApplyResult:
        """Withdraw a key permanently."""
        return await self._administration.withdraw_key(
            ids.KeyId(key_id), self._operator_name(request)
        )

    async def plan_drain(
        self, request: litestar.Request, data: admin_api.DrainCall
    ) -> admin_api.ApplyResult:
        """Plan a drain."""
        drain = config_records.Drain(
            data.kind, data.subject, data.starts_at, data.ends_at
        )
        return await self._administration.plan_drain(
            data.drain, drain, self._operator_name(request)
        )

    async def cancel_drain(
        self, request: litestar.Request, drain_id: str
    ) -> admin_api.ApplyResult:
        """Cancel a planned drain."""
        return await self._administration.cancel_drain(
            ids.DrainId(drain_id), self._operator_name(request)
        )
