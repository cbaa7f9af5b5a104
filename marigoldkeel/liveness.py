"""Liveness tracking that does not count pauses of the local process as silence."""

from abc import ABC, abstractmethod


class LivenessTable(ABC):
    """A table of the times at which others were last heard from, in seconds.

    What others sent while the local process was paused has not been read yet, so the
    time of the pause does not count as silence.

    Usage::

        table.compensate_local_pause(clock(), interval_s=0.1)
        if clock() - table.heard_at[name] > SUSPECT_AFTER_S: ...
    """

    def __init__(self):
        self.checked_at: float | None = None

    def compensate_local_pause(self, now: float, interval_s: float) -> float:
        """Exclude a pause of the local process from the silence of others.

        To be called at regular intervals and before any silence is checked. A delay of
        up to one interval is ignored.

        :param interval_s: The regular time between two calls.
        :return: The length of the pause in seconds, or 0 if there was none.
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
        """Move each time of hearing forward by ``delay_s``, but not past ``now``."""
