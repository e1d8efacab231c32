"""Look-up table from client addresses to regions.

The blocks are flattened to disjoint ranges in typed arrays, so that 100,000
blocks take a few megabytes and a look-up is one binary search.

Example:
    >>> table = ClientBlockTable({"10.0.0.0/8": "a", "10.1.0.0/16": "b"})
    >>> table.find("10.1.2.3"), table.find("10.2.0.1"), table.find("9.0.0.1")
    ('b', 'a', None)
"""

import array
import bisect
import collections
from collections import abc
import functools
import ipaddress

from chicorydoor.protocol import ids

_NO_REGION = 0
_IPV6_SHIFT = 64


class _Ranges:
    """Disjoint ranges of one address family, as starts and region indexes.

    IPv6 ranges use the upper 64 bits of the addresses.

    Args:
        blocks (list): First and last address and region index of each block.
    """

    def __init__(self, blocks: list[tuple[int, int, int]]) -> None:
        self._starts = array.array("Q")
        # Region indexes of 16 bits, for at most 65,535 regions.
        self._region_indexes = array.array("H")
        self._flatten(sorted(blocks, key=lambda b: (b[0], -b[1])))

    def _append_range(self, start: int, region_index: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._region_indexes[-1] = region_index
        elif (
            not self._region_indexes
            or self._region_indexes[-1] != region_index
        ):
            self._starts.append(start)
            self._region_indexes.append(region_index)

    def _flatten(self, blocks: list[tuple[int, int, int]]) -> None:
        enclosing: list[tuple[int, int]] = []
        for first, last, region_index in blocks:
            self._close_enclosing(enclosing, first)
            self._append_range(first, region_index)
            enclosing.append((last, region_index))
        self._close_enclosing(enclosing, None)

    def _close_enclosing(
        self, enclosing: list[tuple[int, int]], next_first: int | None
    ) -> None:
        """End the blocks that end before the next one; None ends all."""
        while enclosing and (
            next_first is None or enclosing[-1][0] < next_first
        ):
            last, _ = enclosing.pop()
            outer = enclosing[-1][1] if enclosing else _NO_REGION
            # The last IPv6 address, by its upper 64 bits; beyond all IPv4
            # addresses.
            if last < 2**64 - 1:
                self._append_range(last + 1, outer)

    def find(self, number: int) -> int:
        index = bisect.bisect_right(self._starts, number) - 1
        return self._region_indexes[index] if index >= 0 else _NO_REGION

    def __len__(self) -> int:
        return len(self._starts)


class ClientBlockTable:
    """Region by client block; the longest matching prefix applies.

    Args:
        region_by_cidr (Mapping): Region id by block in CIDR notation; the
            prefixes of IPv6 blocks have at most 64 bits. That is not
            checked; a longer one counts as its first 64 bits.
    """

    def __init__(self, region_by_cidr: abc.Mapping[str, str]) -> None:
        names = sorted(set(region_by_cidr.values()))
        self._region_by_index = [None, *names]
        index_by_region = {name: i for i, name in enumerate(names, start=1)}
        blocks: dict[int, list[tuple[int, int, int]]] = (
            collections.defaultdict(list)
        )
        for cidr, region in region_by_cidr.items():
            network = ipaddress.ip_network(cidr)
            shift = _IPV6_SHIFT if network.version == 6 else 0
            first = int(network.network_address) >> shift
            last = int(network.broadcast_address) >> shift
            blocks[network.version].append(
                (first, last, index_by_region[region])
            )
        self._ranges_v4 = _Ranges(blocks[4])
        self._ranges_v6 = _Ranges(blocks[6])

    def __len__(self) -> int:
        """Number of ranges, those between blocks included."""
        return len(self._ranges_v4) + len(self._ranges_v6)

    def find(self, address: str) -> ids.RegionId | None:
        """Find the region of an address.

        Args:
            address (str): IP address.

        Returns:
            The region's id, or None if no block contains the address.

        Raises:
            ValueError: If ``address`` is not an IP address.
        """
        version, number = _parse_address(address)
        ranges = self._ranges_v4 if version == 4 else self._ranges_v6
        return self._region_by_index[ranges.find(number)]


@functools.lru_cache(maxsize=4096)
def _parse_address(address: str) -> tuple[int, int]:
    parsed = ipaddress.ip_address(address)
    shift = _IPV6_SHIFT if parsed.version == 6 else 0
    return parsed.version, int(parsed) >> shift
