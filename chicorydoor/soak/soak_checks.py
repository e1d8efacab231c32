"""Promises that a soak judges, from what callers and targets saw."""

import collections
from collections import abc

import msgspec

from chicorydoor.policies import registry
from chicorydoor.soak import soak_site
from chicorydoor.soak import soak_traffic
from chicorydoor.soak import windows
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_target

_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
_WINDOW_S = 5.0


class Seen(msgspec.Struct):
    """All that callers and targets saw.

    Args:
        told (list): Requests and answers.
        arrivals (list): Requests that targets began to work on.
        late_at_leaving (int): Arrivals at leaving targets after all
            disturbances ended and the bound had passed.
        final (list): Last requests, one with each kind of key at each
            entry, after that time.
    """

    told: list[soak_traffic.Told]
    arrivals: list[platform_target.Arrival]
    late_at_leaving: int
    final: list[soak_traffic.Told]
    withdrawn_keys: list[str]


Check = abc.Callable[[Seen], list[str]]
CHECKS: registry.Registry[Check] = registry.Registry("check")


def _owner(key: str) -> str:
    return key.rpartition("-")[0]


@CHECKS.register("an order runs at most once")
def _once(seen: Seen) -> list[str]:
    runs = collections.Counter(each.request_id for each in seen.arrivals)
    orders = [told.request_id for told in seen.told if told.is_order]
    return [name for name in orders if runs[name] > 1]


@CHECKS.register("a refusal that says not run is true")
def _not_run(seen: Seen) -> list[str]:
    ran = {each.request_id for each in seen.arrivals}
    return [
        told.request_id
        for told in seen.told
        if told.is_order
        and told.status in _PROMISES_NOT_RUN
        and told.request_id in ran
    ]


@CHECKS.register("answers are whole and belong to their request")
def _whole(seen: Seen) -> list[str]:
    return [
        told.request_id
        for told in seen.told
        if told.status == 200
        and told.body != platform_target.response_body(told.request_id)
    ]


@CHECKS.register("requests run for the customer of their key")
def _customer(seen: Seen) -> list[str]:
    key_by_request = {told.request_id: told.key for told in seen.told}
    return [
        each.request_id
        for each in seen.arrivals
        if each.customer != _owner(key_by_request[each.request_id])
    ]


@CHECKS.register("no target sees a key")
def _no_key(seen: Seen) -> list[str]:
    return [each.request_id for each in seen.arrivals if each.has_key]


@CHECKS.register("a withdrawn key that was refused once stays refused")
def _never_back(seen: Seen) -> list[str]:
    refused_at: dict[tuple[str, int, str], float] = {}
    for told in seen.told:
        if told.status == 401:
            life = (told.entry, told.start, told.key)
            refused_at.setdefault(life, told.at)
    return [
        told.request_id
        for told in seen.told
        if told.status == 200
        and told.at
        > refused_at.get((told.entry, told.start, told.key), float("inf")) + 1
    ]


@CHECKS.register("rates hold over all entries")
def _rates(seen: Seen) -> list[str]:
    broken = []
    for customer in soak_site.CUSTOMERS:
        if customer.rate_per_s <= 0:
            continue
        most = windows.busiest(
            (
                each.at
                for each in seen.arrivals
                if each.customer == customer.name
            ),
            _WINDOW_S,
        )
        limit = customer.rate_per_s * (_WINDOW_S + 1.0)
        limit *= 1 + platform_site.RATE_OVERAGE
        if most > limit + platform_site.RATE_SLACK:
            broken.append(f"{customer.name}: {most} in {_WINDOW_S:g} s")
    return broken


@CHECKS.register("leaving targets get nothing once all is well")
def _leaving(seen: Seen) -> list[str]:
    return ["late"] * seen.late_at_leaving


@CHECKS.register("the newest configuration is in force once all is well")
def _in_force(seen: Seen) -> list[str]:
    return [
        f"{told.entry}: {told.status} for {told.key}"
        for told in seen.final
        if (told.status == 401) != (told.key in seen.withdrawn_keys)
    ]


@CHECKS.register("every entry serves once all is well")
def _serves(seen: Seen) -> list[str]:
    return [
        f"{told.entry}: {told.status}"
        for told in seen.final
        if told.key not in seen.withdrawn_keys and told.status != 200
    ]
