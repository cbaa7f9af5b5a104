"""How late the event loop of a daemon runs. No I/O; callers pass in the time."""

# Window over which the worst lateness is kept, at least; at most twice as long.
WINDOW_S = 5.0


class LoopLateness:
    """The worst recent lateness of a loop that wakes up at set times.

    >>> lateness = LoopLateness()
    >>> lateness.record(due_at=1.0, now=1.5)
    >>> lateness.record(due_at=3.0, now=3.1)
    >>> lateness.worst_s
    0.5
    """

    __slots__ = ("last_s", "window_s", "earlier_s", "window_ends_at")

    def __init__(self):
        self.last_s = 0.0
        self.window_s = 0.0
        self.earlier_s = 0.0
        self.window_ends_at = 0.0

    @property
    def worst_s(self) -> float:
        """The worst lateness of this window and the one before, in seconds."""
        return max(self.window_s, self.earlier_s)

    def record(self, due_at: float, now: float) -> None:
        """Record when the loop was due to wake up and when it did, in seconds."""
        if now >= self.window_ends_at:
            is_recent = now < self.window_ends_at + WINDOW_S
            self.earlier_s = self.window_s if is_recent else 0.0
            self.window_s = 0.0
            self.window_ends_at = now + WINDOW_S
        self.last_s = max(0.0, now - due_at)
        self.window_s = max(self.window_s, self.last_s)
