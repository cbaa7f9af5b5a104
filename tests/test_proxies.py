"""Tests that the proxy of the emulator holds up closes as it holds up bytes."""

import anyio
import pytest

from emulator.addresses import HOST, free_address
from emulator.proxies import Proxy
from marigoldkeel.transports import parse_address


pytestmark = pytest.mark.anyio
TIMEOUT_S = 2.0
HELD_UP_S = 0.05


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Received:
    """What a server behind a proxy has received."""

    def __init__(self):
        self.events: list[bytes] = []

    async def serve(self, stream) -> None:
        self.events.append(b"open")
        async with stream:
            async for data in stream:
                self.events.append(data)
        self.events.append(b"closed")

    async def wait_for(self, event: bytes) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while event not in self.events:
                await anyio.sleep(0.005)


@pytest.fixture
async def link():
    """Yield a proxy and what the server behind it has received."""
    received = Received()
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    proxy = Proxy(free_address(), f"{HOST}:{port}", b"refused")
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, received.serve)
        await group.start(proxy.serve)
        yield proxy, received
        group.cancel_scope.cancel()


@pytest.mark.parametrize("held_up", [[b"held up"], []], ids=["bytes", "close alone"])
async def test_close_is_held_up_with_the_bytes_before_it(held_up, link):
    proxy, received = link
    async with await anyio.connect_tcp(*parse_address(proxy.address)) as stream:
        await stream.send(b"first")
        await received.wait_for(b"first")
        proxy.block("towards", "back")
        for data in held_up:
            await stream.send(data)
    await anyio.sleep(HELD_UP_S)
    assert received.events == [b"open", b"first"]
    proxy.restore()
    await received.wait_for(b"closed")
    assert received.events == [b"open", b"first", *held_up, b"closed"]


async def test_connection_that_was_given_up_in_silence_never_comes_about(link):
    proxy, received = link
    proxy.silence()
    async with await anyio.connect_tcp(*parse_address(proxy.address)) as stream:
        await stream.send(b"given up")
    await anyio.sleep(HELD_UP_S)
    proxy.restore()
    await anyio.sleep(HELD_UP_S)
    assert received.events == []


async def test_caller_is_told_that_its_connection_was_refused(link):
    proxy, _ = link
    proxy.target = free_address()
    async with await anyio.connect_tcp(*parse_address(proxy.address)) as stream:
        await stream.send(b"request")
        with anyio.fail_after(TIMEOUT_S):
            assert await stream.receive() == b"refused"
