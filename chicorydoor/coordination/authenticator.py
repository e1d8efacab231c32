"""Authenticates callers and finds the route of their request.

A key is checked on every request against the digests in the active
configuration. An entry that has lost contact with both the store and some
other failure domain can't know whether a key was withdrawn since: the key is
in doubt. It continues to serve for the time that the customer's record
allows. As long as every other domain was recently seen and none of them
reaches the store, no key can have been withdrawn; if one of them does reach
it, its contact counts as this entry's (see
``EntryComponents.apply_domain_view``).
"""

from collections import abc

from chicorydoor.coordination import request_types
from chicorydoor.protocol import config_records
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_DOT_SEGMENTS = frozenset({".", ".."})


class KeyFreshness:
    """Tracks for how long keys have been in doubt.

    They are in doubt while the active configuration may be out of date.

    Args:
        clock (Clock): Time source.
        events (EventRing): Records changes of state.
        fresh_s (float): Maximum age in seconds of the latest contact with
            the store, or with all domains, at which keys are still fresh.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        fresh_s: float,
    ) -> None:
        self._clock = clock
        self._events = events
        self._fresh_s = fresh_s
        self._are_keys_in_doubt = False
        self.store_contact_at = float("-inf")
        self.all_domains_seen_at = float("-inf")

    def in_doubt_for_s(self) -> float:
        """Return for how many seconds keys have been in doubt, 0 if fresh.

        That is the time by which the age of the latest contact exceeds
        ``fresh_s``; infinite if there was no contact yet.
        """
        latest_contact_at = max(
            self.store_contact_at, self.all_domains_seen_at
        )
        return max(0.0, self._clock.now() - latest_contact_at - self._fresh_s)

    def record_state_change(self) -> None:
        """Record an event if keys changed between fresh and in doubt."""
        are_keys_in_doubt = self.in_doubt_for_s() > 0
        if are_keys_in_doubt == self._are_keys_in_doubt:
            return
        self._are_keys_in_doubt = are_keys_in_doubt
        kinds = event_ring.EventKind
        self._events.add(
            kinds.KEYS_STALE if are_keys_in_doubt else kinds.KEYS_FRESH
        )


class AuthenticatedCaller:
    """Route, key and customer of an authenticated request.

    Key and customer are empty on routes open to all.
    """

    __slots__ = ("customer", "key_id", "route", "route_id")

    def __init__(
        self,
        route_id: ids.RouteId,
        route: config_records.Route,
        key_id: ids.KeyId,
        customer: ids.CustomerId,
    ) -> None:
        self.route_id = route_id
        self.route = route
        self.key_id = key_id
        self.customer = customer


class Authenticator:
    """Checks the route and the key of requests.

    Args:
        get_snapshot (callable): Returns the active configuration.
        freshness (KeyFreshness): Tells for how long keys have been in
            doubt.
    """

    def __init__(
        self,
        get_snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot],
        freshness: KeyFreshness,
    ) -> None:
        self._get_snapshot = get_snapshot
        self._freshness = freshness

    def authenticate(
        self, raw_path: bytes, path: str, query: bytes, key: bytes
    ) -> AuthenticatedCaller:
        """Authenticate a request.

        Args:
            raw_path (bytes): Path as sent.
            path (str): Decoded path.
            query (bytes): Query string.
            key (bytes): Value of the key header, or empty.

        Returns:
            The request's route, key and customer.

        Raises:
            RefusedError: If the path, the route or the key is not valid, or
                the key has been in doubt for too long.
        """
        prefix = http_headers.API_KEY_PREFIX
        if prefix in query or prefix in raw_path:
            raise request_types.RefusedError(_CODES.KEY_IN_URL)
        if not _DOT_SEGMENTS.isdisjoint(path.split("/")):
            raise request_types.RefusedError(_CODES.BAD_REQUEST, "dot segment")
        snapshot = self._get_snapshot()
        if snapshot.revision == 0:
            raise request_types.RefusedError(
                _CODES.NOT_READY, retry_after_s=1.0
            )
        found = snapshot.find_route(path)
        if found is None:
            raise request_types.RefusedError(_CODES.NO_ROUTE)
        route_id, route = found
        if route.open:
            return AuthenticatedCaller(
                route_id, route, ids.KeyId(""), ids.CustomerId("")
            )
        key_id, customer = self._find_customer(snapshot, key)
        self._check_freshness(snapshot, customer)
        return AuthenticatedCaller(route_id, route, key_id, customer)

    def _find_customer(
        self, snapshot: config_snapshot.ConfigSnapshot, key: bytes
    ) -> tuple[ids.KeyId, ids.CustomerId]:
        if not key:
            raise request_types.RefusedError(_CODES.KEY_MISSING)
        found = snapshot.find_key(config_snapshot.key_digest(key))
        if found is None:
            raise request_types.RefusedError(_CODES.KEY_REFUSED)
        return found

    def _check_freshness(
        self,
        snapshot: config_snapshot.ConfigSnapshot,
        customer_id: ids.CustomerId,
    ) -> None:
        doubt_s = self._freshness.in_doubt_for_s()
        if doubt_s <= 0:
            return
        customer = snapshot.customer_by_id[customer_id]
        is_served = doubt_s <= customer.stale_keys_serve_s
        metrics.STALE_KEY_REQUESTS.labels(str(is_served).lower()).inc()
        if not is_served:
            raise request_types.RefusedError(_CODES.KEY_IN_DOUBT)
