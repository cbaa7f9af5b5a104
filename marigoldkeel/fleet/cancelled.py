"""The ids of cancelled jobs, kept because a job may arrive after its cancellation.

Performs no I/O; callers pass in the time.
"""

from collections import OrderedDict


# How long a cancelled id is remembered, since its job may still arrive at this entry,
# and how many ids are.
CANCELLED_MEMORY_S = 60.0
MAX_REMEMBERED_CANCELLATIONS = 20_000


class CancelledIds:
    """The ids that were cancelled within ``CANCELLED_MEMORY_S``, oldest first."""

    __slots__ = ("cancelled_at",)

    def __init__(self):
        self.cancelled_at: OrderedDict[str, float] = OrderedDict()

    def add(self, job_id: str, now: float) -> None:
        """Remember the cancellation of a job, and forget the oldest ones."""
        self.cancelled_at[job_id] = now
        self.cancelled_at.move_to_end(job_id)
        while (
            len(self.cancelled_at) > MAX_REMEMBERED_CANCELLATIONS
            or now - next(iter(self.cancelled_at.values())) > CANCELLED_MEMORY_S
        ):
            self.cancelled_at.popitem(last=False)

    def contains(self, job_id: str, now: float) -> bool:
        """Return whether a job was cancelled a short time ago."""
        cancelled_at = self.cancelled_at.get(job_id, float("-inf"))
        return now - cancelled_at <= CANCELLED_MEMORY_S
