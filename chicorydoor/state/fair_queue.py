"""Waiting requests in weighted fair order over customers.

Start-time fair queueing: each waiter gets a start tag, the later of the
queue's virtual time and its customer's latest finish tag; the lowest tag is
served first. A customer that asks for less than its part never waits behind
one that asks for more.

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
    """A place in the queue."""

    __slots__ = ("customer", "is_waiting", "item", "start")

    def __init__(self, customer: str, start: float, item: ItemT) -> None:
        self.customer = customer
        self.start = start
        self.item = item
        self.is_waiting = True


class FairQueue(typing.Generic[ItemT]):
    """Items of several customers; first in, first out for each."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_by_customer: dict[str, float] = {}
        self._heap: list[tuple[float, int, Ticket[ItemT]]] = []
        self._order = itertools.count()
        self._waiting_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, customer: str) -> int:
        """Items of one customer."""
        return self._waiting_by_customer[customer]

    def push(self, customer: str, weight: float, item: ItemT) -> Ticket[ItemT]:
        """Add an item.

        Args:
            customer (str): Whose it is.
            weight (float): The customer's part relative to others.
            item (ItemT): What is queued.

        Returns:
            A ticket for ``remove``.
        """
        if not self._length:
            # Nobody waits, so nobody is owed anything for the past.
            self._finish_by_customer.clear()
            self._heap.clear()
        finish = self._finish_by_customer.get(customer, 0.0)
        start = max(self._virtual_time, finish)
        self._finish_by_customer[customer] = start + 1.0 / weight
        ticket = Ticket(customer, start, item)
        heapq.heappush(self._heap, (start, next(self._order), ticket))
        self._waiting_by_customer[customer] += 1
        self._length += 1
        return ticket

    def pop(self) -> ItemT | None:
        """Take the next item, or None if there is none."""
        while self._heap:
            start, _, ticket = heapq.heappop(self._heap)
            if ticket.is_waiting:
                self._virtual_time = max(self._virtual_time, start)
                self._leave(ticket)
                return ticket.item
        return None

    def ahead(self, customer: str, weight: float) -> int:
        """Items that would be served before a new one of a customer."""
        finish = self._finish_by_customer.get(customer, 0.0)
        start = max(self._virtual_time, finish)
        return sum(
            1
            for tag, _, ticket in self._heap
            if ticket.is_waiting and tag <= start
        )

    def remove(self, ticket: Ticket[ItemT]) -> None:
        """Take an item out of turn; nothing happens if it is gone."""
        if ticket.is_waiting:
            self._leave(ticket)

    def _leave(self, ticket: Ticket[ItemT]) -> None:
        ticket.is_waiting = False
        self._length -= 1
        self._waiting_by_customer[ticket.customer] -= 1
        if not self._waiting_by_customer[ticket.customer]:
            del self._waiting_by_customer[ticket.customer]
