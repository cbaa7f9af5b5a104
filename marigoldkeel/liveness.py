"""Silences of others, judged without the standstills of this process itself."""

from abc import ABC, abstractmethod


class LivenessTable(ABC):
    """A table of when others were last heard. Times are in seconds.

    What others sent while this process stood still is yet to be read, so such a time
    counts as no silence of theirs.

    Usage::

        table.compensate_local_pause(clock(), interval_s=0.1)
        if clock() - table.heard_at[name] > SILENT_AFTER_S: ...
    """

    def __init__(self):
        self.checked_at: float | None = None

    def compensate_local_pause(self, now: float, interval_s: float) -> float:
        """Count no silence for the time in which this process itself stood still.

        Called before silences are judged, at regular intervals.

        :param interval_s: The time between two calls of a process that keeps up.
        :return: By how much the silences were shortened, in seconds.
        """
        checked_at, self.checked_at = self.checked_at, now
        if checked_at is None:
            return 0.0
        delay_s = now - checked_at - interval_s
        if delay_s <= interval_s:
            return 0.0
        self.shift_heard_times(delay_s, now)
        return delay_s

    @abstractmethod
    def shift_heard_times(self, delay_s: float, now: float) -> None:
        """Move each moment of hearing forward by ``delay_s``, at most to ``now``."""
