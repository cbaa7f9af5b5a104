"""Serves several runners or delaying relays in one process.

Usage: python -m bench.hosts runners|delays FILE, where FILE is a JSON array with the
keyword arguments of each runner or relay.
"""

import sys
from pathlib import Path

import anyio
import msgspec

from marigoldkeel.runners import RunnerStandin
from marigoldkeel.transports import parse_address


async def serve_runner(agent_http: str, **options) -> None:
    """Serve a runner stand-in that registers with its agent."""
    await RunnerStandin(**options).serve(agent_http)


async def serve_relay(listen: str, target: str, delay_s: float) -> None:
    """Forward connections to ``target``; delay the data by ``delay_s`` each way."""
    host, port = parse_address(listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)

    async def accept(client) -> None:
        try:
            async with (
                client,
                await anyio.connect_tcp(*parse_address(target)) as upstream,
            ):
                async with anyio.create_task_group() as group:
                    scope = group.cancel_scope
                    group.start_soon(_forward, client, upstream, delay_s, scope)
                    group.start_soon(_forward, upstream, client, delay_s, scope)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    await listener.serve(accept)


async def _forward(source, sink, delay_s: float, scope: anyio.CancelScope) -> None:
    send, receive = anyio.create_memory_object_stream(10_000)

    async def write() -> None:
        async for due, chunk in receive:
            await anyio.sleep_until(due)
            await sink.send(chunk)

    async with anyio.create_task_group() as group:
        group.start_soon(write)
        async for chunk in source:
            await send.send((anyio.current_time() + delay_s, chunk))
        scope.cancel()


async def serve(role: str, path: str) -> None:
    """Serve all runners or relays that the file lists."""
    serve_one = {"runners": serve_runner, "delays": serve_relay}[role]
    async with anyio.create_task_group() as group:
        for options in msgspec.json.decode(Path(path).read_bytes()):  # noqa: ASYNC240
            group.start_soon(lambda options=options: serve_one(**options))


if __name__ == "__main__":
    anyio.run(serve, *sys.argv[1:])
