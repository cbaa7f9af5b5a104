"""Clocks of the daemons."""

import time


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including time in system suspend.

    A machine that resumes must find that deadlines and the leases of others have passed
    meanwhile; `time.monotonic` stands still in suspend. Source: Linux's
    ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
