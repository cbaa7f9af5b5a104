"""Shares work between client addresses. No I/O.

Designed for crowds that send more than a process can parse: what a few addresses send
must not delay the requests of the others.
"""

from collections import deque
from collections.abc import Hashable
from typing import Any


class FairQueue:
    """Items that wait for their turn; the addresses take turns, whatever they hold.

    An address that had nothing waiting comes next.

    >>> queue = FairQueue()
    >>> for address, item in [("a", 1), ("a", 2), ("b", 3)]:
    ...     queue.add(address, item)
    >>> [queue.pop() for _ in range(3)]
    [1, 3, 2]
    """

    __slots__ = ("turns", "served")

    def __init__(self):
        # Addresses in the order of their turns; those that were served come after the
        # others.
        self.turns: dict[Hashable, deque[Any]] = {}
        self.served: dict[Hashable, deque[Any]] = {}

    def __contains__(self, address: Hashable) -> bool:
        """Return whether an address has items that wait."""
        return address in self.turns or address in self.served

    def __bool__(self) -> bool:
        return bool(self.turns or self.served)

    def add(self, address: Hashable, item: Any) -> None:
        """Add an item behind the others of its address."""
        items = self.turns.get(address) or self.served.get(address)
        if items is None:
            self.turns[address] = deque([item])
        else:
            items.append(item)

    def put_back(self, address: Hashable, item: Any) -> None:
        """Add an item that is not complete after its turn."""
        if address in self:
            self.add(address, item)
        else:
            self.served[address] = deque([item])

    def pop(self) -> Any:
        """Remove and return the next item of the address whose turn it is.

        :raises IndexError: If there is none.
        """
        if not self.turns:
            self.turns, self.served = self.served, {}
        if not self.turns:
            raise IndexError("the queue is empty")
        address = next(iter(self.turns))
        items = self.turns.pop(address)
        item = items.popleft()
        if items:
            self.served[address] = items
        return item
