"""A TCP proxy that injects network faults: delays, blocked traffic and resets."""

import socket
import struct
from contextlib import suppress

import anyio

from marigoldkeel.transports import parse_address


RECEIVE_CHUNK_BYTES = 65_536
# SO_LINGER value with which close() sends RST instead of an orderly FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# State of an open connection in TCP_INFO.
TCP_ESTABLISHED = 1


class ProxiedConnection:
    """One connection through a proxy, with its injected faults.

    :ivar delay_s: Delay of each chunk of bytes, in both directions.
    :ivar unblocked: For each direction an event that is set while bytes may pass.
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

    def block(self, *directions: str) -> None:
        """Block the traffic of the given directions until `unblock`."""
        for direction in directions:
            if self.unblocked[direction].is_set():
                self.unblocked[direction] = anyio.Event()

    def unblock(self) -> None:
        """Unblock both directions; blocked bytes are delivered now."""
        for event in self.unblocked.values():
            event.set()

    def reset(self) -> None:
        """Reset the connections to both ends."""
        for stream in (self.client_stream, self.server_stream):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            # The socket may have been closed already, and needs no reset then.
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
        while True:
            chunks = [await _receive(source)]
            if self.delay_s:
                await anyio.sleep(self.delay_s)
            while not self.unblocked[direction].is_set():
                await self._read_while_blocked(source, direction, chunks)
            # A close that was held up passes together with the bytes before it.
            with suppress(anyio.BrokenResourceError, OSError):
                await sink.send(b"".join(chunks))
                if chunks[-1]:
                    continue
                await sink.send_eof()
            self.scope.cancel()
            return

    async def _read_while_blocked(
        self, source, direction: str, chunks: list[bytes]
    ) -> None:
        async def read() -> None:
            while chunks[-1]:
                chunks.append(await _receive(source))

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await self.unblocked[direction].wait()
            group.cancel_scope.cancel()


async def _receive(source) -> bytes:
    """Return the next bytes, or none at the end of the stream."""
    try:
        return await source.receive(RECEIVE_CHUNK_BYTES)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        return b""


def _has_left(stream) -> bool:
    """Return whether the other end has closed a connection."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    state = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state != TCP_ESTABLISHED


class Proxy:
    """Forwards TCP connections to ``target``.

    Usage::

        proxy = Proxy("127.0.0.1:7000", "127.0.0.1:8000")
        await group.start(proxy.serve)
        proxy.block("towards")

    :ivar silent: Whether new connections are accepted but not forwarded, as behind a
        network partition.
    :ivar blocked: Blocked directions; ``towards`` the target, or ``back``.
    :param refusal: Sent in answer to a request if the target accepts no connection.
    """

    def __init__(self, address: str, target: str, refusal: bytes = b""):
        self.refusal = refusal
        self.address = address
        self.target = target
        self.silent = False
        self.blocked: tuple[str, ...] = ()
        self.delay_s = 0.0
        self.restored = anyio.Event()
        self.connections: set[ProxiedConnection] = set()

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        host, port = parse_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            task_status.started()
            await listener.serve(self._accept)

    def block(self, *directions: str) -> None:
        """Block the given directions, on new connections as well."""
        self.blocked = directions
        for connection in self.connections:
            connection.block(*directions)

    def delay(self, seconds: float) -> None:
        """Delay all traffic."""
        self.delay_s = seconds
        for connection in self.connections:
            connection.delay_s = seconds

    def silence(self) -> None:
        """Block both directions, and let new connections hang."""
        self.silent = True
        self.block("towards", "back")

    def reset(self) -> None:
        """Reset all current connections."""
        for connection in list(self.connections):
            connection.reset()

    def restore(self) -> None:
        """Remove all faults; blocked bytes are delivered now."""
        self.silent = False
        self.blocked = ()
        self.delay(0.0)
        for connection in self.connections:
            connection.unblock()
        self.restored.set()
        self.restored = anyio.Event()

    async def _accept(self, client_stream: anyio.abc.SocketStream) -> None:
        while self.silent:
            await self.restored.wait()
        if _has_left(client_stream):
            # Its connection never came about, so the target sees nothing of it.
            await anyio.aclose_forcefully(client_stream)
            return
        host, port = parse_address(self.target)
        try:
            server_stream = await anyio.connect_tcp(host, port)
        except OSError:
            if self.refusal and await _receive(client_stream):
                with suppress(anyio.BrokenResourceError):
                    await client_stream.send(self.refusal)
            await client_stream.aclose()
            return
        connection = ProxiedConnection(client_stream, server_stream)
        connection.delay_s = self.delay_s
        connection.block(*self.blocked)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
