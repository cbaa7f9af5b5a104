"""Times in which this process itself stood still."""


class StallMeter:
    """Measures by how much regular calls are late. Times are in seconds.

    What others sent meanwhile is yet to be read, so they are not to be blamed for it.

    Usage::

        meter = StallMeter()
        stalled_s = meter.measure(clock(), interval_s=0.1)
    """

    def __init__(self):
        self.checked_at: float | None = None

    def measure(self, now: float, interval_s: float) -> float:
        """Return how long the process has stood still since the last call.

        :param interval_s: The time between two calls of a process that keeps up.
        :return: 0 for a delay of no more than ``interval_s``.
        """
        checked_at, self.checked_at = self.checked_at, now
        if checked_at is None:
            return 0.0
        delay_s = now - checked_at - interval_s
        return delay_s if delay_s > interval_s else 0.0
