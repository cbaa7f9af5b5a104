"""Threads with an event loop of their own, for work that must not wait behind callers.

Each wait on an event loop ends a whole turn of the loop later than its cause, and under
load a turn takes as long as the requests that have arrived. Work in a thread is delayed
only until the interpreter switches to it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from threading import Lock, Thread
from typing import Any

import anyio
from loguru import logger

from marigoldkeel.guards import repeat_guarded


# Time that a thread has for closing its connections when it is stopped.
STOP_TIMEOUT_S = 1.0


class LoopThread:
    """Repeats an asynchronous loop in a thread until it is stopped.

    Usage::

        thread = LoopThread("follow plan", follow)
        await thread.run()  # until cancelled

    :param step: Name of the loop in the log.
    :param loop: An endless loop. After an unexpected error it starts again.
    """

    def __init__(self, step: str, loop: Callable[[], Awaitable[None]]):
        self.step = step
        self.loop = loop
        self.lock = Lock()
        self.is_stopped = False
        self.scope: anyio.CancelScope | None = None
        self.thread_loop: asyncio.AbstractEventLoop | None = None
        self.owner: asyncio.AbstractEventLoop | None = None

    async def run(self) -> None:
        """Run the thread until this task is cancelled."""
        self.owner = asyncio.get_running_loop()
        ended = anyio.Event()
        thread = Thread(target=self._run, args=(ended,), name=self.step, daemon=True)
        thread.start()
        try:
            await ended.wait()
        finally:
            self._stop()
            with anyio.CancelScope(shield=True), anyio.move_on_after(STOP_TIMEOUT_S):
                await ended.wait()

    def call_owner(self, action: Callable[..., None], *arguments: Any) -> None:
        """Run an action on the event loop of `run`, after those that it has begun.

        Requests that are read later are handled after it. Called in the thread.
        """
        # The owner's loop may have been closed since.
        with suppress(RuntimeError):
            self.owner.call_soon_threadsafe(self._run_action, action, *arguments)

    def _run_action(self, action: Callable[..., None], *arguments: Any) -> None:
        try:
            action(*arguments)
        except Exception:
            logger.bind(step=self.step).exception(
                "unexpected error in step {}", self.step
            )

    def _run(self, ended: anyio.Event) -> None:
        try:
            anyio.run(self._repeat, backend_options={"use_uvloop": True})
        finally:
            self.call_owner(ended.set)

    async def _repeat(self) -> None:
        with anyio.CancelScope() as scope:
            with self.lock:
                if self.is_stopped:
                    return
                self.scope = scope
                self.thread_loop = asyncio.get_running_loop()
            await repeat_guarded(self.step, self.loop)

    def _stop(self) -> None:
        with self.lock:
            self.is_stopped = True
            if self.scope is not None:
                with suppress(RuntimeError):
                    self.thread_loop.call_soon_threadsafe(self.scope.cancel)
