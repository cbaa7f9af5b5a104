"""Time limits of calls: of the whole call, or of the time without progress."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

import anyio


# The time without progress is counted in so many steps.
STEPS = 10
# A call that makes progress may last so many times its limit.
MAX_EXTENSION = 20

# A context manager that yields a function to be called with each progress of the call.
Limit = Callable[[float], AbstractContextManager[Callable[[], None]]]


class ProgressDeadline:
    """Counts the time in which a call makes no progress.

    Each step counts for its nominal length, however late the event loop is: what the
    peer has sent meanwhile has not been read yet.

    :param timeout_s: Time without progress, in seconds, after which ``expire`` is
        called.
    """

    __slots__ = ("step_s", "expire", "steps_left", "total_steps_left", "timer")

    def __init__(self, timeout_s: float, expire: Callable[[], None]):
        self.step_s = timeout_s / STEPS
        self.expire = expire
        self.steps_left = STEPS
        self.total_steps_left = STEPS * MAX_EXTENSION
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to count on the running event loop."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.step_s, self._step)

    def extend(self) -> None:
        """Count from now on again, as the call has made progress."""
        self.steps_left = STEPS

    def stop(self) -> None:
        """Stop to count."""
        if self.timer is not None:
            self.timer.cancel()

    def _step(self) -> None:
        self.steps_left -= 1
        self.total_steps_left -= 1
        if self.steps_left > 0 and self.total_steps_left > 0:
            self.start()
        else:
            self.expire()


@contextmanager
def fail_without_progress(timeout_s: float) -> Iterator[Callable[[], None]]:
    """Yield a function to be called with each progress of what is done inside.

    Usage::

        with fail_without_progress(0.5) as extend:
            await request(on_progress=extend)

    :param timeout_s: Longest time without progress, in seconds; the whole may take
        ``MAX_EXTENSION`` times as long.
    :raises TimeoutError: If the time is over.
    """
    with anyio.CancelScope() as scope:
        deadline = ProgressDeadline(timeout_s, scope.cancel)
        deadline.start()
        try:
            yield deadline.extend
        finally:
            deadline.stop()
    if scope.cancelled_caught:
        raise TimeoutError


@contextmanager
def fail_after(timeout_s: float) -> Iterator[Callable[[], None]]:
    """Limit the whole call, whatever its progress.

    :param timeout_s: Time limit in seconds.
    :raises TimeoutError: If the time is over.
    """
    with anyio.fail_after(timeout_s):
        yield lambda: None
