"""ASGI application that serves the requests that peers relay.

It listens on a port that callers cannot reach, and trusts the customer that
the relaying entry names.
"""

from collections import abc

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import body_reader
from chicorydoor.coordination import call_app
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import request_admission
from chicorydoor.coordination import request_relay
from chicorydoor.coordination import request_types
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving_config
from chicorydoor.transport import asgi
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode


class RelayApp(call_app.CallApp):
    """Serves relayed requests.

    Args:
        instance (str): Id of this entry.
        admission (RequestAdmission): Finds routes.
        runner (CallRunner): Runs requests at targets.
        active_config (ActiveServingConfig): Holds the active configuration.
        names (HeaderNames): Header names.
        clock (Clock): Source of time.
        configuration_age_s (callable): Returns how long ago the configuration
            was known to be current, in seconds; infinite before it was read.
        bodies (BodyReader): Reads the bodies of requests.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        admission: request_admission.RequestAdmission,
        runner: call_runner.CallRunner,
        active_config: active_serving_config.ActiveServingConfig,
        names: header_names.HeaderNames,
        clock: clock_module.Clock,
        configuration_age_s: abc.Callable[[], float],
        bodies: body_reader.BodyReader,
    ) -> None:
        super().__init__(
            admission,
            runner,
            active_config,
            names,
            clock,
            configuration_age_s,
            bodies,
        )
        self.instance = instance

    def make_handler(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> call_app.RequestHandler:
        """Return the handler of one request."""
        return _RelayedRequestHandler(self, scope, receive, send)


class _RelayedRequestHandler(call_app.RequestHandler):
    """One relayed request; the relaying entry has admitted it."""

    _app: RelayApp

    def _find_route(self) -> serving_config.RouteConfig:
        try:
            return super()._find_route()
        except request_types.RefusedError as refusal:
            raise _other_configuration(refusal) from refusal

    async def _admit(self) -> call_app.Admission:
        names = self._app.header_names
        send_count = http_headers.parse_whole_number(
            self._header_value(names.relayed_send_count)
        )
        if (
            self._header_value(names.expected_target_id)
            != self._app.instance.encode()
            or send_count is None
        ):
            # Another entry had this address before.
            raise request_types.RefusedError(_CODES.PEER_UNREACHABLE)
        service_id = ids.ServiceId(
            self._header_value(names.relayed_service).decode("latin-1")
        )
        route = self._find_route()
        try:
            self._check_service(route, service_id)
            customer = self._find_customer()
        except request_types.RefusedError as refusal:
            raise _other_configuration(refusal) from refusal
        self._app.refuse_if_too_long(self._absolute_deadline(route.timeout_s))
        self._route_id = route.route_id
        if customer is not None:
            self._customer_id = customer.customer_id
        history = admitted_request.RelayHistory(service_id, send_count)
        return call_app.Admission(route, customer, None, history)

    def _check_service(
        self, route: serving_config.RouteConfig, service_id: ids.ServiceId
    ) -> None:
        """Refuse a service that the route has no longer, or not yet."""
        if all(
            each.service_id != service_id for each in route.weighted_services
        ):
            raise request_types.RefusedError(_CODES.NO_ROUTE)

    def _find_customer(self) -> serving_config.CustomerConfig | None:
        names = self._app.header_names
        customer_id = self._header_value(names.customer_id).decode("latin-1")
        if not customer_id:
            return None
        customers = self._app.active_config.current.customer_by_id
        customer = customers.get(ids.CustomerId(customer_id))
        if customer is None:
            raise request_types.RefusedError(_CODES.KEY_REFUSED)
        return customer

    def _add_headers(
        self, headers: admitted_request.Headers, is_refusal: bool
    ) -> admitted_request.Headers:
        name = self._app.header_names.relay_result
        kept = [header for header in headers if header[0] != name]
        value = request_relay.REFUSED if is_refusal else request_relay.ANSWERED
        return [*kept, (name, value)]

    def _record_metrics(
        self, code: result_codes.ResultCode, elapsed_s: float
    ) -> None:
        """The relaying entry counts the request."""

    @property
    def _log_message(self) -> str:
        return "relayed request"


def _other_configuration(
    refusal: request_types.RefusedError,
) -> request_types.RefusedError:
    """Return the refusal of a request that fits another configuration.

    The relaying entry has another version of it.
    """
    return request_types.RefusedError(_CODES.PEER_UNREACHABLE, f"{refusal}")
