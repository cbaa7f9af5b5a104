"""Tests of the threads that run an event loop of their own."""

import threading

import anyio
import pytest

from marigoldkeel.threads import LoopThread


pytestmark = pytest.mark.anyio


async def run_until(thread: LoopThread, condition) -> None:
    """Run a thread until a condition holds, then cancel it."""
    async with anyio.create_task_group() as group:
        group.start_soon(thread.run)
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def test_actions_run_in_order_on_the_owner_and_the_loop_ends_with_it():
    calls, ended = [], []

    async def loop() -> None:
        try:
            for number in range(3):
                thread.call_owner(
                    lambda number=number: calls.append((number, threading.get_ident()))
                )
            await anyio.sleep_forever()
        finally:
            ended.append(threading.get_ident())

    thread = LoopThread("test", loop)
    await run_until(thread, lambda: len(calls) == 3)
    assert calls == [(number, threading.get_ident()) for number in range(3)]
    assert len(ended) == 1
    assert ended != [threading.get_ident()]


async def test_unexpected_errors_end_neither_the_loop_nor_the_owner():
    calls = []

    def fail() -> None:
        calls.append("owner")
        raise ValueError("in the owner")

    async def loop() -> None:
        thread.call_owner(fail)
        raise ValueError("in the thread")

    thread = LoopThread("test", loop)
    await run_until(thread, lambda: len(calls) >= 2)
    assert set(calls) == {"owner"}


async def test_thread_that_is_cancelled_before_its_start_runs_nothing():
    calls = []

    async def loop() -> None:
        calls.append("loop")

    thread = LoopThread("test", loop)
    thread.is_stopped = True
    with anyio.fail_after(5):
        await thread.run()
    assert calls == []
