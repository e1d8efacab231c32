"""Selects the entries that a look-up returns to a caller.

Traffic between failure domains is costly, so callers stay in their own domain
while it has enough entries; a domain with a single entry shares its load with
the region. Entries that only relay to others are left out while enough remain.
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view

# With fewer entries callers have no alternative when one fails, and a burst
# hits a single machine.
_MIN_ENTRIES = 2
# Maximum number of addresses in a look-up's answer.
_MAX_ENTRIES = 64


def select_entries(
    ready: abc.Sequence[fleet_view.Registration],
    region: ids.RegionId,
    domain: ids.DomainId,
    cut_off: abc.Collection[ids.InstanceId] = (),
) -> list[fleet_view.Registration]:
    """Select the entries for a caller.

    Args:
        ready (Sequence): Entries that take requests.
        region (str): The caller's region.
        domain (str): The caller's failure domain.
        cut_off (Collection): Entries that cannot reach all services that
            others reach, and relay requests. Defaults to none.

    Returns:
        Entries of the domain if it has at least ``_MIN_ENTRIES``, else of the
        region, else of all regions; at most ``_MAX_ENTRIES``, the first in the
        order of ``ready``. Entries that are cut off are only returned if their
        region has fewer than ``_MIN_ENTRIES`` others.
    """
    reaching = [entry for entry in ready if entry.instance not in cut_off]
    nearest = [entry for entry in reaching if entry.domain == domain]
    if len(nearest) < _MIN_ENTRIES:
        nearest = [entry for entry in reaching if entry.region == region]
    if len(nearest) < _MIN_ENTRIES:
        nearest = [entry for entry in ready if entry.region == region]
    return (nearest or list(ready))[:_MAX_ENTRIES]
