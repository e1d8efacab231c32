"""Which entries a caller is told to use.

Callers keep to their own failure domain while it has entries enough, since
traffic between domains costs; a domain with a single entry shares the load
with its region.
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view

# With fewer entries a domain's callers have nobody to turn to when one is
# lost, and a burst meets one machine.
_ENOUGH = 2
# Most addresses in an answer.
_MOST = 64


def choose_entries(
    ready: abc.Sequence[fleet_view.Registration],
    region: ids.RegionId,
    domain: ids.DomainId,
) -> list[fleet_view.Registration]:
    """Entries to name to a caller.

    Args:
        ready (Sequence): Entries that may be named.
        region (str): The caller's region.
        domain (str): The caller's failure domain.
    """
    near = [entry for entry in ready if entry.domain == domain]
    if len(near) < _ENOUGH:
        near = [entry for entry in ready if entry.region == region]
    return (near or list(ready))[:_MOST]
