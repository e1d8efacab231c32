"""Lets a request in: route, key, and whether keys can still be trusted.

A key is checked on every request against the digests in force. An entry
that has lost both the store and some other failure domain cannot know
whether a key was withdrawn since; it goes on serving for the time that the
customer's record allows. As long as every other domain is heard from and
none of them reaches the store, nothing can have been withdrawn.
"""

from collections import abc

from chicorydoor.coordination import requests
from chicorydoor.protocol import config_records
from chicorydoor.protocol import headers as header_names
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_DOT_SEGMENTS = frozenset({".", ".."})


class Freshness:
    """Since when the configuration may be out of date.

    Args:
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
        fresh_s (float): Age of the latest contact with the store, or with
            all domains, up to which there is no doubt.
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
        self._is_doubtful = False
        self.store_contact_at = float("-inf")
        self.heard_all_at = float("-inf")

    def doubt_s(self) -> float:
        """For how long keys have been in doubt, 0 if they are fresh."""
        latest = max(self.store_contact_at, self.heard_all_at)
        return max(0.0, self._clock.now() - latest - self._fresh_s)

    def note_state(self) -> None:
        """Record a change between fresh and in doubt."""
        is_doubtful = self.doubt_s() > 0
        if is_doubtful == self._is_doubtful:
            return
        self._is_doubtful = is_doubtful
        kinds = event_ring.EventKind
        self._events.add(
            kinds.KEYS_IN_DOUBT if is_doubtful else kinds.KEYS_FRESH
        )


class Admission:
    """A request's route and customer."""

    __slots__ = ("customer", "key", "route", "route_id")

    def __init__(
        self,
        route_id: ids.RouteId,
        route: config_records.Route,
        key: ids.KeyId,
        customer: ids.CustomerId,
    ) -> None:
        self.route_id = route_id
        self.route = route
        self.key = key
        self.customer = customer


class Gate:
    """Checks route and key.

    Args:
        snapshot (callable): The configuration in force.
        freshness (Freshness): Whether keys can be trusted.
    """

    def __init__(
        self,
        snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot],
        freshness: Freshness,
    ) -> None:
        self._snapshot = snapshot
        self._freshness = freshness

    def admit(
        self, raw_path: bytes, path: str, query: bytes, key: bytes
    ) -> Admission:
        """Check a request.

        Args:
            raw_path (bytes): As sent.
            path (str): Decoded.
            query (bytes): Query string.
            key (bytes): The key header's value, or empty.

        Raises:
            RefusedError: If it is not let in.
        """
        prefix = header_names.KEY_PREFIX
        if prefix in query or prefix in raw_path:
            raise requests.RefusedError(_CODES.KEY_IN_URL)
        if not _DOT_SEGMENTS.isdisjoint(path.split("/")):
            raise requests.RefusedError(_CODES.BAD_REQUEST, "dot segment")
        snapshot = self._snapshot()
        if snapshot.revision == 0:
            raise requests.RefusedError(_CODES.NOT_READY, retry_after_s=1.0)
        found = snapshot.find_route(path)
        if found is None:
            raise requests.RefusedError(_CODES.NO_ROUTE)
        route_id, route = found
        if route.open:
            return Admission(
                route_id, route, ids.KeyId(""), ids.CustomerId("")
            )
        key_id, customer = self._check_key(snapshot, key)
        self._check_doubt(snapshot, customer)
        return Admission(route_id, route, key_id, customer)

    def _check_key(
        self, snapshot: config_snapshot.ConfigSnapshot, key: bytes
    ) -> tuple[ids.KeyId, ids.CustomerId]:
        if not key:
            raise requests.RefusedError(_CODES.KEY_MISSING)
        found = snapshot.find_key(config_snapshot.key_digest(key))
        if found is None:
            raise requests.RefusedError(_CODES.KEY_REFUSED)
        return found

    def _check_doubt(
        self,
        snapshot: config_snapshot.ConfigSnapshot,
        customer_id: ids.CustomerId,
    ) -> None:
        doubt_s = self._freshness.doubt_s()
        if doubt_s <= 0:
            return
        customer = snapshot.customer_by_id[customer_id]
        served = doubt_s <= customer.stale_keys_serve_s
        metrics.KEYS_IN_DOUBT.labels(str(served).lower()).inc()
        if not served:
            raise requests.RefusedError(_CODES.KEY_IN_DOUBT)
