"""Processes that the benchmark starts beside the daemons: runners and delays.

Usage: ``python -m bench.hosts runners FILE`` or ``python -m bench.hosts delays
FILE``, where FILE is a JSON array with the arguments of each runner or relay.
"""

import signal
import sys
from pathlib import Path

import anyio
import msgspec

from marigoldkeel.runners import RunnerStandin
from marigoldkeel.transports import parse_address


CHUNK_BYTES = 65536
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


async def serve_runners(options: list[dict]) -> None:
    """Serve several runner stand-ins until cancelled."""
    async with anyio.create_task_group() as group:
        for option in options:
            agent_http = option.pop("agent_http")
            runner = RunnerStandin(**option)
            group.start_soon(runner.serve, agent_http)


async def serve_relays(options: list[dict]) -> None:
    """Forward connections to agents with a one-way delay until cancelled."""
    async with anyio.create_task_group() as group:
        for option in options:
            group.start_soon(lambda option=option: _serve_relay(**option))


async def _serve_relay(listen: str, target: str, delay_s: float) -> None:
    host, port = parse_address(listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)

    async def accept(near) -> None:
        async with near:
            try:
                far = await anyio.connect_tcp(*parse_address(target))
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                group.start_soon(_forward, near, far, delay_s, group.cancel_scope)
                group.start_soon(_forward, far, near, delay_s, group.cancel_scope)

    await listener.serve(accept)


async def _forward(source, sink, delay_s: float, scope: anyio.CancelScope) -> None:
    send, receive = anyio.create_memory_object_stream(10_000)

    async def write() -> None:
        async for due, chunk in receive:
            await anyio.sleep_until(due)
            try:
                await sink.send(chunk)
            except STREAM_ERRORS:
                scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(write)
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await send.send((anyio.current_time() + delay_s, chunk))
        except STREAM_ERRORS:
            scope.cancel()


async def _main(role: str, options: list[dict]) -> None:
    serve = {"runners": serve_runners, "delays": serve_relays}[role]
    async with anyio.create_task_group() as group:
        group.start_soon(serve, options)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(_main, sys.argv[1], msgspec.json.decode(Path(sys.argv[2]).read_bytes()))
