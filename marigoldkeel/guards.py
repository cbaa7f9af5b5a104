"""Limits what an unexpected error ends: one loop or task, never the whole process."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger


# Delay before a failed loop starts again.
RESTART_DELAY_S = 0.1


async def run_guarded(step: str, action: Callable[..., Awaitable], *arguments: Any):
    """Run an action once; an unexpected error is logged and ends only this action.

    Usage::

        group.start_soon(run_guarded, "announce", self._announce, address)

    :param step: Name of the action in the log line.
    """
    try:
        await action(*arguments)
    except Exception:
        logger.bind(step=step).exception("unexpected error in step {}", step)


async def repeat_guarded(
    step: str, loop: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run an endless loop; after an unexpected error it is logged and starts again.

    :param step: Name of the loop in the log line.
    """
    while True:
        await run_guarded(step, loop, *arguments)
        await anyio.sleep(RESTART_DELAY_S)


class GuardedTaskGroup:
    """A task group in which an unexpected error ends only the task that it is in.

    Usage::

        async with anyio.create_task_group() as group:
            guarded = GuardedTaskGroup(group)
            guarded.start_soon(self.send_heartbeat, address)
    """

    __slots__ = ("group",)

    def __init__(self, group: TaskGroup):
        self.group = group

    def start_soon(self, action: Callable[..., Awaitable], *arguments: Any) -> None:
        """Start a task; its step in the log is the name of the function."""
        step = action.__name__.strip("_").replace("_", " ")
        self.group.start_soon(run_guarded, step, action, *arguments)

    def repeat(self, loop: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Start an endless loop, which an unexpected error starts again."""
        step = loop.__qualname__.replace("_", " ")
        self.group.start_soon(repeat_guarded, step, loop, *arguments)
