"""Tests of the HTTP framework of the daemons."""

import anyio
import pytest

from marigoldkeel import servers
from marigoldkeel.servers import HttpApplication, serve_http


pytestmark = pytest.mark.anyio


async def test_idle_server_wakes_up_at_most_once_a_second(monkeypatch):
    # uvicorn's own loop wakes up ten times a second for each server of a daemon.
    ticks = []
    on_tick = servers._Server.on_tick

    async def count(server, counter):
        ticks.append(counter)
        return await on_tick(server, counter)

    monkeypatch.setattr(servers._Server, "on_tick", count)
    async with anyio.create_task_group() as group:
        await group.start(serve_http, HttpApplication(), "127.0.0.1", 0)
        started_at = anyio.current_time()
        await anyio.sleep(0.5)
        elapsed_s = anyio.current_time() - started_at
        group.cancel_scope.cancel()
    assert 1 <= len(ticks) <= 2 + elapsed_s
