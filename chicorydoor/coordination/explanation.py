"""Explains where a request would go now and why, without sending it.

The answers come from the code that decides on real requests, applied to copies
of whatever that code changes: a copy of the random generator's state, a
detached copy of the target selection, and look-ups that acquire nothing. The
entry's real decisions are the same with and without explanations.
"""

from collections import abc
import random

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import call_app
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import request_admission
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving_config
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode
_NOT_A_CANDIDATE = "not a candidate of the object"
_NOT_DRAWN = "not among the candidates drawn at random"


class ExplanationError(errors.ChicorydoorError):
    """A request that can't be explained.

    Args:
        status (int): HTTP status of the response.
        detail (str): What is wrong.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ExplainQuery(msgspec.Struct, frozen=True):
    """The request to explain: a route, or host and path.

    Args:
        route (str): The route's id. Defaults to empty.
        host (str): Value of the host header. Defaults to empty.
        path (str): Path of the URL. Defaults to empty.
        customer (str): The customer's id. Defaults to empty.
        object (str): The affinity key. Defaults to empty.
        deadline_ms (int): Milliseconds until the deadline; None for the
            route's timeout. Defaults to None.
    """

    route: str = ""
    host: str = ""
    path: str = ""
    customer: str = ""
    object: str = ""
    deadline_ms: int | None = None


class ExplainedRoute(msgspec.Struct):
    """The route of the request; times in seconds."""

    route_id: str
    host: str
    prefix: str
    needs_key: bool
    latency_objective_s: float
    timeout_s: float
    weight_by_service: dict[str, float]


class ExplainedRate(msgspec.Struct):
    """The check of the customer's rate.

    Args:
        result (str): ``granted``, ``refused``, ``asks peers`` if the answer
            is up to other entries, ``no limit``, or ``not checked`` without a
            customer.
        rate_per_s (float): The customer's rate. Defaults to 0.
        burst (float): Its burst. Defaults to 0.
        known (RatePeek): What this entry knows; None without a limit.
            Defaults to None.
    """

    result: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    known: rate_limiter.RatePeek | None = None


class ExplainedCandidate(msgspec.Struct):
    """A target that may get the request; times in seconds."""

    target_id: str
    region: str
    domain: str
    reason: str
    score_s: float
    expected_latency_s: float
    expected_wait_s: float
    measured_latency_s: float
    estimated_requests: float
    own_requests: int
    slots: int
    load_age_s: float | None
    is_cached: bool
    is_cold: bool
    failure_share: float
    rate_limit_per_s: float | None


class ExcludedTarget(msgspec.Struct):
    """A target of the service that does not get the request, and why."""

    target_id: str
    region: str
    domain: str
    reason: str


class ExplainedResult(msgspec.Struct):
    """What happens to the request.

    Args:
        action (str): ``send``, ``relay`` or ``refuse``.
        target_id (str): The target that it would be sent to. Defaults to
            empty.
        reason (str): Why this target. Defaults to empty.
        peer (str): The entry that it would be relayed to. Defaults to empty.
        code (int): Number of the result code of a refusal. Defaults to 0.
        status (int): HTTP status of a refusal. Defaults to 0.
        detail (str): Why it is refused. Defaults to empty.
        retry_after_s (float): The ``Retry-After`` of a refusal; 0 for none.
            Defaults to 0.
    """

    action: str
    target_id: str = ""
    reason: str = ""
    peer: str = ""
    code: int = 0
    status: int = 0
    detail: str = ""
    retry_after_s: float = 0.0


class Explanation(msgspec.Struct):
    """Where a request would go now, and why.

    Args:
        instance (str): The entry that explains.
        configuration (int): Version of its configuration.
        decides_for_overload (bool): Whether the decisions for overload apply.
        route (ExplainedRoute): The request's route.
        service_id (str): The service that the route's next request gets.
        customer_id (str): The customer; empty if the route needs no key.
        object (str): The affinity key.
        deadline_s (float): Time until the deadline.
        allowed_regions (list): Regions that may serve the request; None for
            all.
        rate (ExplainedRate): The check of the customer's rate.
        candidates (list): The targets that may get it, the best first.
        excluded (list): The other targets of the service, by id.
        choice (ExplainedCandidate): The chosen candidate, whether or not the
            request is admitted; None without one.
        result (ExplainedResult): What happens to the request.
    """

    instance: str
    configuration: int
    decides_for_overload: bool
    route: ExplainedRoute
    service_id: str
    customer_id: str
    object: str
    deadline_s: float
    allowed_regions: list[str] | None
    rate: ExplainedRate
    candidates: list[ExplainedCandidate]
    excluded: list[ExcludedTarget]
    choice: ExplainedCandidate | None
    result: ExplainedResult


class Explainer:
    """Explains the decisions of one entry.

    Args:
        instance (str): The entry's instance id.
        active_config (ActiveServingConfig): Holds the active configuration.
        admission (RequestAdmission): Finds routes.
        limiter (RateLimiter): Counts requests against the customers' rates.
        app (CallApp): Refuses long requests when the entry leaves.
        runner (CallRunner): Runs the requests.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers of real requests. Only its
            state is read.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        active_config: active_serving_config.ActiveServingConfig,
        admission: request_admission.RequestAdmission,
        limiter: rate_limiter.RateLimiter,
        app: call_app.CallApp,
        runner: call_runner.CallRunner,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._active_config = active_config
        self._admission = admission
        self._limiter = limiter
        self._app = app
        self._runner = runner
        self._clock = clock
        self._rng = rng

    def explain(self, query: ExplainQuery) -> Explanation:
        """Explain what would happen to a request now.

        Requests that end their targets are blocked by method, path and body,
        which a query does not have; that check is left out.

        Raises:
            ExplanationError: If the query does not name a request.
        """
        config = self._active_config.current
        if config.version == 0:
            raise ExplanationError(503, "the entry has no configuration yet")
        route = self._find_route(query)
        customer = self._find_customer(query, route)
        now = self._clock.now()
        timeout_s = route.timeout_s
        if query.deadline_ms is not None:
            timeout_s = min(timeout_s, query.deadline_ms / 1000)
        call = admitted_request.AdmittedRequest(
            method=b"GET",
            request_target=(query.path or route.prefix).encode(),
            headers=[],
            body_chunks=(),
            request_id=b"",
            affinity_key=query.object.encode(),
            route=route,
            customer=customer,
            arrived_at=now,
            deadline=now + timeout_s,
        )
        rng = _copy_rng(self._rng)
        rate, refusal = self._check_rate(customer, rng)
        constraints = target_selection.TargetConstraints(
            route,
            self._runner.peek_service(route),
            call.affinity_key,
            call.allowed_region_ids,
        )
        refusal = self._refuse_if_leaving(call.deadline) or refusal
        # Lists the candidates that the choice below draws.
        listing = self._runner.selection.detached_copy(_copy_rng(rng))
        candidates = [
            _describe_candidate(choice, score, now)
            for choice, score in listing.permitted_candidates(constraints, now)
        ]
        candidates.sort(key=lambda candidate: candidate.score_s)
        choice, result = self._select(constraints, call, rng, now)
        if refusal is not None:
            result = _refused(refusal)
        return Explanation(
            instance=self._instance,
            configuration=config.version,
            decides_for_overload=self._runner.selection.decides_for_overload,
            route=_describe_route(route, config.requires_keys),
            service_id=constraints.service_id,
            customer_id=customer.customer_id if customer else "",
            object=query.object,
            deadline_s=timeout_s,
            allowed_regions=(
                sorted(constraints.allowed_region_ids - {""})
                if constraints.allowed_region_ids
                else None
            ),
            rate=rate,
            candidates=candidates,
            excluded=_describe_excluded(listing, constraints, candidates, now),
            choice=_find_candidate(candidates, choice),
            result=result,
        )

    def _find_route(self, query: ExplainQuery) -> serving_config.RouteConfig:
        by_id, by_path = bool(query.route), bool(query.host or query.path)
        if by_id == by_path or (by_path and not (query.host and query.path)):
            raise ExplanationError(400, "give a route, or a host and a path")
        if by_id:
            config = self._active_config.current
            route = config.route_by_id.get(ids.RouteId(query.route))
            if route is None:
                raise ExplanationError(404, f"no route {query.route!r}")
            return route
        try:
            return self._admission.find_route(query.host, query.path)
        except request_types.RefusedError as refusal:
            raise ExplanationError(
                404, f"no route for {query.host}{query.path}"
            ) from refusal

    def _find_customer(
        self, query: ExplainQuery, route: serving_config.RouteConfig
    ) -> serving_config.CustomerConfig | None:
        """Return the customer that the request runs for, as its key would."""
        if not query.customer:
            return None
        config = self._active_config.current
        customer = config.customer_by_id.get(ids.CustomerId(query.customer))
        if customer is None:
            raise ExplanationError(404, f"no customer {query.customer!r}")
        return None if route.needs_no_key else customer

    def _refuse_if_leaving(
        self, deadline: float
    ) -> request_types.RefusedError | None:
        try:
            self._app.refuse_if_too_long(deadline)
        except request_types.RefusedError as refusal:
            return refusal
        return None

    def _check_rate(
        self,
        customer: serving_config.CustomerConfig | None,
        rng: random.Random,
    ) -> tuple[ExplainedRate, request_types.RefusedError | None]:
        if customer is None:
            return ExplainedRate("not checked"), None
        if customer.rate_per_s <= 0:
            return ExplainedRate("no limit"), None
        known = self._limiter.peek(customer, rng)
        rate = ExplainedRate(
            "granted", customer.rate_per_s, customer.burst, known
        )
        if known.is_granted:
            return rate, None
        if known.asked:
            rate.result = "asks peers"
            return rate, None
        rate.result = "refused"
        return rate, request_types.RefusedError(
            _CODES.RATE_EXCEEDED,
            retry_after_s=request_admission.over_rate_retry_after_s(
                known.wait_s, rng
            ),
        )

    def _select(
        self,
        constraints: target_selection.TargetConstraints,
        call: admitted_request.AdmittedRequest,
        rng: random.Random,
        now: float,
    ) -> tuple[target_selection.SelectedTarget | None, ExplainedResult]:
        """Decide as the first attempt of a real request does."""
        relay = self._runner.relay
        if relay.is_needed(constraints.service_id):
            peer = self._choose_peer(constraints, rng)
            if peer is not None:
                return None, peer
        selection = self._runner.selection.detached_copy(rng)
        choice = selection.choose(constraints, now)
        if choice is None:
            refusal = call_runner.refuse_without_target(
                selection, constraints, now
            )
            if call_runner.may_others_reach_a_target(
                selection, constraints, refusal
            ):
                peer = self._choose_peer(constraints, rng)
                if peer is not None:
                    return None, peer
            return None, _refused(refusal)
        refusal = call_runner.find_refusal(
            selection, constraints, call, choice, now
        )
        if refusal is not None:
            return choice, _refused(refusal)
        return choice, ExplainedResult(
            "send", choice.target.target_id, choice.reason.value
        )

    def _choose_peer(
        self,
        constraints: target_selection.TargetConstraints,
        rng: random.Random,
    ) -> ExplainedResult | None:
        peer = self._runner.relay.choose_peer(
            constraints.service_id, constraints.allowed_region_ids, rng=rng
        )
        if peer is None:
            return None
        return ExplainedResult("relay", peer=peer.instance)


def _copy_rng(rng: random.Random) -> random.Random:
    """Return a generator that will draw the same numbers."""
    copied = random.Random()
    copied.setstate(rng.getstate())
    return copied


def _describe_route(
    route: serving_config.RouteConfig, requires_keys: bool
) -> ExplainedRoute:
    return ExplainedRoute(
        route.route_id,
        route.host,
        route.prefix,
        requires_keys and not route.needs_no_key,
        route.latency_objective_s,
        route.timeout_s,
        {each.service_id: each.weight for each in route.weighted_services},
    )


def _describe_candidate(
    choice: target_selection.SelectedTarget, score_s: float, now: float
) -> ExplainedCandidate:
    view = choice.target
    return ExplainedCandidate(
        target_id=view.target_id,
        region=view.region,
        domain=view.record.domain,
        reason=choice.reason.value,
        score_s=score_s,
        expected_latency_s=choice.expected_latency_s,
        expected_wait_s=choice.expected_wait_s,
        measured_latency_s=choice.measured_latency_s,
        estimated_requests=view.estimated_requests(now),
        own_requests=view.own_requests_in_flight,
        slots=view.record.slots,
        load_age_s=view.load_age_s(now),
        is_cached=choice.is_cached,
        is_cold=choice.is_cold,
        failure_share=view.failure_share(now),
        rate_limit_per_s=choice.rate_limit_per_s,
    )


def _find_candidate(
    candidates: abc.Iterable[ExplainedCandidate],
    choice: target_selection.SelectedTarget | None,
) -> ExplainedCandidate | None:
    if choice is None:
        return None
    for candidate in candidates:
        if candidate.target_id == choice.target.target_id:
            return candidate
    return None


def _describe_excluded(
    selection: target_selection.TargetSelection,
    constraints: target_selection.TargetConstraints,
    candidates: abc.Iterable[ExplainedCandidate],
    now: float,
) -> list[ExcludedTarget]:
    has_object = constraints.affinity_key and constraints.route.uses_affinity
    reason_by_target = {
        view.target_id: reason
        for view, reason in selection.reasons_against(constraints, now)
    }
    known = {candidate.target_id for candidate in candidates}
    excluded = [
        ExcludedTarget(
            view.target_id,
            view.region,
            view.record.domain,
            reason_by_target.get(
                view.target_id, _NOT_A_CANDIDATE if has_object else _NOT_DRAWN
            ),
        )
        for view in selection.service_targets(constraints.service_id)
        if view.target_id not in known
    ]
    return sorted(excluded, key=lambda target: target.target_id)


def _refused(refusal: request_types.RefusedError) -> ExplainedResult:
    return ExplainedResult(
        "refuse",
        code=refusal.code.number,
        status=refusal.code.status,
        detail=refusal.detail,
        retry_after_s=round(refusal.retry_after_s, 3),
    )
