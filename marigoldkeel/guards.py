"""Limits what an unexpected error ends: one loop or task, never the whole process."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
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


async def repeat_guarded(step: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run an endless loop; after an unexpected error it is logged and starts again.

    :param step: Name of the loop in the log line.
    """
    while True:
        await run_guarded(step, loop)
        await anyio.sleep(RESTART_DELAY_S)
