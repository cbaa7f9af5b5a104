"""A loopback proxy that delays, holds back, silences and resets connections."""

import socket
import struct
from contextlib import suppress

import anyio

from marigoldkeel.transports import parse_address


READ_BYTES = 65_536
# Makes closing a socket reset its connection instead of ending it in order.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxiedConnection:
    """One connection through a proxy, with what is done to it.

    :ivar delay_s: Added to each chunk of bytes, in both directions.
    """

    def __init__(
        self,
        client_stream: anyio.abc.SocketStream,
        server_stream: anyio.abc.SocketStream,
    ):
        self.client_stream = client_stream
        self.server_stream = server_stream
        self.delay_s = 0.0
        self.scope = anyio.CancelScope()
        self.unblocked = {"towards": anyio.Event(), "back": anyio.Event()}
        for event in self.unblocked.values():
            event.set()

    def hold(self, *directions: str) -> None:
        """Hold the bytes of the directions back until `release`."""
        for direction in directions:
            if self.unblocked[direction].is_set():
                self.unblocked[direction] = anyio.Event()

    def release(self) -> None:
        """Let all bytes pass, also those that were held back."""
        for event in self.unblocked.values():
            event.set()

    def reset(self) -> None:
        """Reset both ends."""
        for stream in (self.client_stream, self.server_stream):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            # An end that has just closed by itself needs no reset.
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.scope.cancel()

    async def run(self) -> None:
        """Copy bytes until one end closes."""
        async with (
            self.client_stream,
            self.server_stream,
            anyio.create_task_group() as group,
        ):
            self.scope = group.cancel_scope
            group.start_soon(
                self._copy, self.client_stream, self.server_stream, "towards"
            )
            group.start_soon(self._copy, self.server_stream, self.client_stream, "back")

    async def _copy(self, source, sink, direction: str) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                await self.unblocked[direction].wait()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self.scope.cancel()


class Proxy:
    """Passes TCP connections on to ``target``.

    Usage::

        proxy = Proxy("127.0.0.1:7000", "127.0.0.1:8000")
        await group.start(proxy.serve)
        proxy.hold("towards")

    :ivar silent: New connections are taken but not passed on, as behind a partition.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.silent = False
        self.held: tuple[str, ...] = ()
        self.delay_s = 0.0
        self.restored = anyio.Event()
        self.connections: set[ProxiedConnection] = set()

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Take connections until cancelled."""
        host, port = parse_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            task_status.started()
            await listener.serve(self._accept)

    def hold(self, *directions: str) -> None:
        """Hold back the bytes of the directions, on new connections as well."""
        self.held = directions
        for connection in self.connections:
            connection.hold(*directions)

    def delay(self, seconds: float) -> None:
        """Delay all bytes."""
        self.delay_s = seconds
        for connection in self.connections:
            connection.delay_s = seconds

    def silence(self) -> None:
        """Pass nothing on either way, and let new connections hang."""
        self.silent = True
        self.hold("towards", "back")

    def reset(self) -> None:
        """Reset the connections that there are."""
        for connection in list(self.connections):
            connection.reset()

    def restore(self) -> None:
        """End all faults; what was held back arrives now."""
        self.silent = False
        self.held = ()
        self.delay(0.0)
        for connection in self.connections:
            connection.release()
        self.restored.set()
        self.restored = anyio.Event()

    async def _accept(self, client_stream: anyio.abc.SocketStream) -> None:
        while self.silent:
            await self.restored.wait()
        host, port = parse_address(self.target)
        try:
            server_stream = await anyio.connect_tcp(host, port)
        except OSError:
            await anyio.aclose_forcefully(client_stream)
            return
        connection = ProxiedConnection(client_stream, server_stream)
        connection.delay_s = self.delay_s
        connection.hold(*self.held)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
