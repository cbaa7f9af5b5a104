"""An asyncio event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the time for which the loop would have waited."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left that could wake up the loop")
            self.loop.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for tasks that do no I/O.

    :ivar now: The simulated time in seconds.
    """

    def __init__(self):
        selector = _JumpingSelector()
        super().__init__(selector)
        self.now = 0.0
        selector.loop = self

    def time(self) -> float:
        return self.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
