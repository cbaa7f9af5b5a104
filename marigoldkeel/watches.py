"""Where a watch of a store goes on. No I/O; callers pass in the time."""

from collections import deque
from collections.abc import Iterable

from marigoldkeel.exceptions import StoreUnavailable


# How long a store may withhold an event whose revision it has already stated. Shorter
# than the time for which stores keep their history, so that a watch can resume there.
SETTLE_S = 10.0


class WatchPosition:
    """The revision after which the next watch asks for events.

    A store may state a revision before its watches deliver the events up to it. So an
    answer without events moves the position only after ``SETTLE_S``, and until then the
    next watches ask for these events again.

    :ivar after: The revision that the next watch states.
    :ivar newest: The highest revision that the store has stated.

    >>> position = WatchPosition(5)
    >>> position.record(7, [], now=0.0)
    >>> position.after
    5
    >>> position.record(7, [], now=SETTLE_S)
    >>> position.after
    7
    """

    __slots__ = ("after", "newest", "answers")

    def __init__(self, after: int):
        self.after = after
        self.newest = after
        self.answers: deque[tuple[float, int]] = deque()

    def record(self, revision: int, events: Iterable[int], now: float) -> None:
        """Record an answer.

        :param revision: The store's revision.
        :param events: The revisions of the events in the answer.
        :param now: Time in seconds.
        :raises StoreUnavailable: If the store was restored from an older state. What it
            has now must be read again.
        """
        if revision < self.newest:
            raise StoreUnavailable(f"revision {revision} is below {self.newest}")
        self.newest = revision
        self.answers.append((now, revision))
        while now - self.answers[0][0] >= SETTLE_S:
            self.after = max(self.after, self.answers.popleft()[1])
        self.after = max(self.after, *events, 0)
