"""Weighted fair queue over customers.

Start-time fair queueing: each item gets a start tag, the later of the queue's
virtual time and its customer's latest finish tag; the item with the lowest
tag is served first. An item of a customer that asks for less than its share
waits behind at most one queued item of each other customer.

Source: Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996.

Example:
    >>> queue = FairQueue()
    >>> for name in ("big", "big", "big", "small"):
    ...     _ = queue.push(name, 1.0, name)
    >>> [queue.pop() for _ in range(4)]
    ['big', 'small', 'big', 'big']
"""

import collections
import heapq
import itertools
import typing

ItemT = typing.TypeVar("ItemT")


class Ticket(typing.Generic[ItemT]):
    """Handle of a queued item, by which it can be removed.

    Args:
        customer (str): The item's customer.
        start_tag (float): Start tag in virtual time.
        item (ItemT): The queued item.
    """

    __slots__ = ("customer", "is_waiting", "item", "start_tag")

    def __init__(self, customer: str, start_tag: float, item: ItemT) -> None:
        self.customer = customer
        self.start_tag = start_tag
        self.item = item
        self.is_waiting = True


class FairQueue(typing.Generic[ItemT]):
    """Weighted fair queue; first in, first out for each customer."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_tag_by_customer: dict[str, float] = {}
        self._heap: list[tuple[float, int, Ticket[ItemT]]] = []
        self._sequence = itertools.count()
        self._waiting_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def count_waiting(self, customer: str) -> int:
        """Number of queued items of a customer."""
        return self._waiting_by_customer[customer]

    def push(self, customer: str, weight: float, item: ItemT) -> Ticket[ItemT]:
        """Add an item.

        Args:
            customer (str): The item's customer.
            weight (float): The customer's weight relative to others.
            item (ItemT): The item.

        Returns:
            The ticket for ``remove``.
        """
        if not self._waiting:
            # No item waits, so past use must not count against a customer.
            self._finish_tag_by_customer.clear()
            self._heap.clear()
        finish = self._finish_tag_by_customer.get(customer, 0.0)
        start = max(self._virtual_time, finish)
        self._finish_tag_by_customer[customer] = start + 1.0 / weight
        ticket = Ticket(customer, start, item)
        heapq.heappush(self._heap, (start, next(self._sequence), ticket))
        self._waiting_by_customer[customer] += 1
        self._waiting += 1
        return ticket

    def pop(self) -> ItemT | None:
        """Remove and return the next item; None if the queue is empty."""
        while self._heap:
            start, _, ticket = heapq.heappop(self._heap)
            if ticket.is_waiting:
                self._virtual_time = max(self._virtual_time, start)
                self._mark_removed(ticket)
                return ticket.item
        return None

    def count_ahead(self, customer: str, weight: float) -> int:
        """Number of queued items that would be served before a new item.

        Items that arrive later are not counted, also if they are served
        earlier.

        Args:
            customer (str): The new item's customer.
            weight (float): Has no effect, as a start tag does not depend on
                the item's own weight.
        """
        finish = self._finish_tag_by_customer.get(customer, 0.0)
        start = max(self._virtual_time, finish)
        return sum(
            1
            for tag, _, ticket in self._heap
            if ticket.is_waiting and tag <= start
        )

    def remove(self, ticket: Ticket[ItemT]) -> None:
        """Remove an item out of order, unless it was removed or served."""
        if ticket.is_waiting:
            self._mark_removed(ticket)

    def _mark_removed(self, ticket: Ticket[ItemT]) -> None:
        ticket.is_waiting = False
        self._waiting -= 1
        self._waiting_by_customer[ticket.customer] -= 1
        if not self._waiting_by_customer[ticket.customer]:
            del self._waiting_by_customer[ticket.customer]
