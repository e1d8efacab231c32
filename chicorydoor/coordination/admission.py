"""Admission of requests: route look-up, key check and rate limit."""

from collections import abc
import random

from chicorydoor.coordination import plan_keeper
from chicorydoor.coordination import rate_desk
from chicorydoor.coordination import request_types
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode
# A starting entry reads its configuration within this time.
_STARTING_RETRY_AFTER_S = 0.5
# Longest retry-after for a customer over its rate: rate shares move to where
# the demand is within seconds.
_MAX_RETRY_AFTER_S = 3.0
# Jitter as a fraction of the retry-after, so that callers do not return all
# at once.
_RETRY_JITTER = 0.3


class Admission:
    """Checks requests against the active configuration.

    Args:
        plans (PlanKeeper): Holds the active configuration.
        desk (RateDesk): Counts requests against the customers' rates.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        plans: plan_keeper.PlanKeeper,
        desk: rate_desk.RateDesk,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._plans = plans
        self._desk = desk
        self._clock = clock
        self._rng = rng

    def route(self, host: str, path: str) -> serving.RouteRule:
        """Return the route of a request.

        Args:
            host (str): Value of the host header.
            path (str): Path of the URL.

        Raises:
            RefusedError: If no route matches, or no configuration has been
                read yet.
        """
        plan = self._plans.plan
        if plan.version == 0:
            raise request_types.RefusedError(
                _CODES.NOT_READY,
                retry_after_s=self.spread(_STARTING_RETRY_AFTER_S),
            )
        route = plan.find_route(host, path)
        if route is None:
            raise request_types.RefusedError(_CODES.NO_ROUTE)
        return route

    def customer(
        self, route: serving.RouteRule, keys: abc.Sequence[bytes]
    ) -> serving.CustomerRule | None:
        """Return the customer that a request runs for.

        Args:
            route (RouteRule): The request's route.
            keys (Sequence): Values of the key header.

        Returns:
            The customer; None if the route needs no key.

        Raises:
            RefusedError: If the route needs a key and the request has not
                exactly one that is active.
        """
        plan = self._plans.plan
        if route.is_open or not plan.checks_keys:
            return None
        if len(keys) != 1:
            raise request_types.RefusedError(_CODES.KEY_MISSING)
        customer = plan.find_customer(config_snapshot.key_digest(keys[0]))
        if customer is None:
            raise request_types.RefusedError(_CODES.KEY_REFUSED)
        return customer

    async def take_rate(
        self, customer: serving.CustomerRule | None
    ) -> rate_desk.Grant | None:
        """Count a request against its customer's rate.

        Returns:
            The token to release if the request does not run; None without
            a customer.

        Raises:
            RefusedError: If the request is over the rate, or no rate owner
                answered.
        """
        if customer is None:
            return None
        grant = await self._desk.take(customer)
        if grant.wait_s > 0:
            code = (
                _CODES.RATE_EXCEEDED
                if grant.is_answered
                else _CODES.RATE_UNAVAILABLE
            )
            shares = ", ".join(
                f"{share:.3f} at {instance}"
                for instance, share in grant.share_by_instance.items()
            )
            raise request_types.RefusedError(
                code,
                f"shares: {shares}, of {customer.rate_per_s:g}/s and "
                f"{customer.burst:g}",
                retry_after_s=self.spread(
                    min(grant.wait_s, _MAX_RETRY_AFTER_S)
                ),
            )
        return grant

    def give_back_rate(
        self,
        customer: serving.CustomerRule | None,
        grant: rate_desk.Grant | None,
    ) -> None:
        """Release the token of a counted request that did not run."""
        if customer is not None and grant is not None:
            self._desk.give_back(customer, grant)

    def spread(self, seconds: float) -> float:
        """Return a retry-after in seconds with upward jitter."""
        return seconds * (1.0 + _RETRY_JITTER * self._rng.random())
