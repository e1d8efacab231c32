"""Admission of requests: route look-up, key check and rate limit."""

from collections import abc
import random

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import request_types
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving_config
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode
# A starting entry reads its configuration within this time.
_STARTING_RETRY_AFTER_S = 0.5
# Longest retry-after, before jitter, for a customer over its rate: rate shares
# move to where the demand is within seconds.
_MAX_RETRY_AFTER_S = 3.0
# Jitter as a fraction of the retry-after, so that callers do not return all
# at once.
_RETRY_JITTER = 0.3


class RequestAdmission:
    """Checks requests against the active configuration.

    Args:
        active_config (ActiveServingConfig): Holds the active configuration.
        limiter (RateLimiter): Counts requests against the customers' rates.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        active_config: active_serving_config.ActiveServingConfig,
        limiter: rate_limiter.RateLimiter,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._active_config = active_config
        self._rate_limiter = limiter
        self._clock = clock
        self._rng = rng

    def find_route(self, host: str, path: str) -> serving_config.RouteConfig:
        """Return the route of a request.

        Args:
            host (str): Value of the host header.
            path (str): Path of the URL.

        Raises:
            RefusedError: If no route matches, or no configuration has been
                read yet.
        """
        config = self._active_config.current
        if config.version == 0:
            raise request_types.RefusedError(
                _CODES.NOT_READY,
                retry_after_s=self.add_jitter(_STARTING_RETRY_AFTER_S),
            )
        route = config.find_route(host, path)
        if route is None:
            raise request_types.RefusedError(_CODES.NO_ROUTE)
        return route

    def authenticate(
        self, route: serving_config.RouteConfig, keys: abc.Sequence[bytes]
    ) -> serving_config.CustomerConfig | None:
        """Return the customer that a request runs for.

        Args:
            route (RouteConfig): The request's route.
            keys (Sequence): Values of the key header.

        Returns:
            The customer; None if the route needs no key.

        Raises:
            RefusedError: If the route needs a key and the request has not
                exactly one that is active.
        """
        config = self._active_config.current
        if route.needs_no_key or not config.requires_keys:
            return None
        if len(keys) != 1:
            raise request_types.RefusedError(_CODES.KEY_MISSING)
        customer = config.find_customer_by_key_digest(
            config_snapshot.key_digest(keys[0])
        )
        if customer is None:
            raise request_types.RefusedError(_CODES.KEY_REFUSED)
        return customer

    async def acquire_rate_token(
        self, customer: serving_config.CustomerConfig | None
    ) -> rate_limiter.RateDecision | None:
        """Acquire a token of the customer's rate for a request.

        Returns:
            The decision, for ``release_rate_token`` if the request does not
            run; None without a customer.

        Raises:
            RefusedError: If the request is over the rate, or if no rate
                owner replied and this entry has no token of its own.
        """
        if customer is None:
            return None
        decision = await self._rate_limiter.acquire(customer)
        if decision.wait_s > 0:
            code = (
                _CODES.RATE_EXCEEDED
                if decision.is_decided
                else _CODES.RATE_UNAVAILABLE
            )
            shares = ", ".join(
                f"{share:.3f} at {instance}"
                for instance, share in decision.rate_share_by_instance.items()
            )
            raise request_types.RefusedError(
                code,
                f"shares: {shares}, of {customer.rate_per_s:g}/s and "
                f"{customer.burst:g}",
                retry_after_s=over_rate_retry_after_s(
                    decision.wait_s, self._rng
                ),
            )
        return decision

    def release_rate_token(
        self,
        customer: serving_config.CustomerConfig | None,
        decision: rate_limiter.RateDecision | None,
    ) -> None:
        """Release the token of a request that did not run."""
        if customer is not None and decision is not None:
            self._rate_limiter.release(customer, decision)

    def add_jitter(self, seconds: float) -> float:
        """Return a retry-after in seconds with upward jitter."""
        return _add_jitter(seconds, self._rng)


def over_rate_retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Return the retry-after in seconds of a request over its rate.

    Args:
        wait_s (float): Seconds until a token is available.
        rng (Random): Source of random numbers.
    """
    return _add_jitter(min(wait_s, _MAX_RETRY_AFTER_S), rng)


def _add_jitter(seconds: float, rng: random.Random) -> float:
    return seconds * (1.0 + _RETRY_JITTER * rng.random())
