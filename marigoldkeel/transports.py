"""Length-prefixed frames of messages over TCP between processes.

Messages that are queued for a peer while a frame is being sent are batched into the
next frame, so busy connections send few large frames.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketListener, TaskGroup, TaskStatus
from loguru import logger
from msgspec import Struct, field

from marigoldkeel.client_guard import (
    CHECK_INTERVAL_S,
    RANK_LONG_IDLE,
    RANK_UNFINISHED,
    RANK_UNUSED,
    ClientGuard,
    default_guard,
)
from marigoldkeel.client_limits import UNACCOUNTED_BYTES, Holding
from marigoldkeel.exceptions import (
    InvalidInput,
    MarigoldkeelError,
    PeerLost,
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
    StoreUnavailable,
)
from marigoldkeel.guards import run_guarded
from marigoldkeel.messages import (
    MAX_FRAME_BYTES,
    Envelope,
    Error,
    decode_frame,
    encode_frame,
)


FRAME_LENGTH = struct.Struct(">I")
CONNECT_TIMEOUT_S = 1.0
# A reply timeout is counted down in steps. They are short enough that a timeout has
# many of them, and long enough that their timers cost little compared with the request.
WAIT_STEP_FRACTION = 0.1
MIN_WAIT_STEP_S = 0.05
RECEIVE_CHUNK_BYTES = 65536
# Accepted sockets inherit it. The event loop reads up to 32 times, 250 KB each, before
# the reading task can stop it, so larger buffers put 8 MB of a sender into memory.
ACCEPTED_RECEIVE_BUFFER_BYTES = 65536
ACCEPT_RETRY_DELAY_S = 0.1
# Bounds the memory used for a peer that has stopped reading.
MAX_QUEUED_MESSAGES = 20_000
MAX_MESSAGES_IN_FRAME = 500
MAX_BATCH_BYTES = 4 * 1024 * 1024
# Messages of one connection that are being handled. A peer that sends faster than they
# are handled is closed.
MAX_HANDLED_MESSAGES = 20_000
# A frame is joined, cut off and decoded, each into new objects.
FRAME_COPIES = 3
# An accepted connection whose frame does not grow for this long is closed. Links detect
# a silent peer within half a second.
FRAME_STALL_S = 10.0
# An accepted connection without a frame for this long may be closed if there are too
# many. Links and announcements send more often.
LONG_IDLE_S = 30.0

# Exceptions whose class is preserved when a peer replies with an error.
# `PeerUnavailable` must not be one of them: it means that nothing was sent, which is
# false for a request that was answered.
REMOTE_ERRORS = {
    cls.__name__: cls for cls in (InvalidInput, ProtocolError, StoreUnavailable)
}

Handler = Callable[[Any, str], Awaitable[Any]]


class ConnectionListener:
    """Receives connection events and one-way messages without a task per message.

    With a listener, both ends of a connection may send at any time. A `Handler` only
    replies to requests.
    """

    def connection_opened(self, connection: "Connection") -> None:
        """Called before a connection starts to send and receive."""

    def message_received(self, connection: "Connection", content: Any) -> bool:
        """Called for each message that is not a reply.

        :return: Whether the message was consumed; if not, it goes to the handler.
        """
        return False

    def frame_processed(self, connection: "Connection") -> None:
        """Called when all messages of a frame have been dispatched."""

    def connection_closed(self, connection: "Connection") -> None:
        """Called when a connection has ended."""


STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of an address such as ``"10.0.0.1:7000"``.

    :raises InvalidInput: If it is not an IP address with a port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        if port.isdigit() and int(port) < 65536:
            return host, int(port)
    raise InvalidInput(
        f"address {address!r} is not an IP address with a port", step="parse address"
    )


async def wait_excluding_local_pauses(event: anyio.Event, timeout_s: float) -> None:
    """Wait for an event, not counting time in which this process was paused.

    A reply that arrived during a pause has not been read yet, so the pause must not
    count as a timeout of the peer. Each step counts for its nominal length, however
    late the event loop resumes after it.

    :param timeout_s: Timeout in seconds, not counting pauses.
    """
    remaining_s = timeout_s
    while remaining_s > 0 and not event.is_set():
        step_s = min(remaining_s, max(MIN_WAIT_STEP_S, timeout_s * WAIT_STEP_FRACTION))
        with anyio.move_on_after(step_s):
            await event.wait()
        remaining_s -= step_s


class PendingRequest(Struct):
    """A request that has not been answered yet."""

    event: anyio.Event
    sent: bool = False
    reply: Any = None
    error: MarigoldkeelError | None = None


class Counters(Struct):
    """Traffic counters of a connection or pool.

    ``by_type`` counts sent messages by type; ``frames_by_type`` counts sent frames
    that contain at least one message of the type.
    """

    messages_sent: int = 0
    frames_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    by_type: dict[str, int] = field(default_factory=dict)
    frames_by_type: dict[str, int] = field(default_factory=dict)


class Connection:
    """A TCP connection that carries requests, replies and one-way messages.

    :param guard: Decides about the connections that this process has accepted; None
        for a connection that it has opened itself.
    """

    def __init__(
        self,
        stream: ByteStream,
        peer: str,
        handler: Handler | None,
        counters: Counters,
        listener: ConnectionListener | None = None,
        guard: ClientGuard | None = None,
    ):
        self.stream = stream
        self.peer = peer
        self.guard = guard
        self.address = peer.rpartition(":")[0]
        self.holding = Holding(self, self.address)
        self.scope: anyio.CancelScope | None = None
        self.frame_at: float | None = None
        # The incomplete frame. Kept here so that `drop` can free it at once: the frames
        # of a cancelled task may live on in tracebacks.
        self.parts: list[bytes] = []
        self.quiet_checks = 0
        self.checked_bytes = 0
        self.handling = 0
        self.handler = handler
        self.counters = counters
        self.listener = listener
        self.pending: dict[int, PendingRequest] = {}
        self.outgoing: list[Envelope] = []
        self.write_requested = anyio.Event()
        self.next_request_id = 1
        self.closing = False
        self.closed = False

    def enqueue(self, envelope: Envelope) -> None:
        """Queue a message for the next frame.

        :raises PeerUnavailable: If the connection is closed or its queue full.
        """
        if self.closed:
            raise PeerUnavailable("connection is closed", step="send", peer=self.peer)
        if len(self.outgoing) >= MAX_QUEUED_MESSAGES:
            raise PeerUnavailable("send queue is full", step="send", peer=self.peer)
        self.outgoing.append(envelope)
        self.write_requested.set()

    async def request(self, content: Any, timeout_s: float) -> Any:
        """Send a request and return its reply.

        :raises PeerUnavailable: If nothing was sent.
        :raises PeerLost: If the connection was lost after sending.
        :raises PeerTimeout: If no reply arrived within ``timeout_s`` seconds, not
            counting time in which this process was paused.
        """
        request_id = self.next_request_id
        self.next_request_id += 1
        pending = PendingRequest(anyio.Event())
        self.pending[request_id] = pending
        try:
            self.enqueue(Envelope(request_id, False, content))
            await wait_excluding_local_pauses(pending.event, timeout_s)
        finally:
            del self.pending[request_id]
        if pending.error is not None:
            raise pending.error
        if pending.reply is None:
            raise PeerTimeout(
                f"no reply within {timeout_s:.3f} s",
                step=type(content).__name__.lower(),
                peer=self.peer,
            )
        return pending.reply

    async def run(self) -> None:
        """Send and receive until the connection ends."""
        if self.guard is not None and not self.guard.admit(self):
            await anyio.aclose_forcefully(self.stream)
            return
        try:
            self._guard_listener("open connection", "connection_opened")
            async with anyio.create_task_group() as group:
                self.scope = group.cancel_scope
                group.start_soon(self._write)
                await self._read(group)
                group.cancel_scope.cancel()
        finally:
            if self.guard is not None:
                self.guard.forget(self)
                self.guard.budget.release(self.holding)
                self.parts.clear()
            self._fail_pending()
            self._guard_listener("close connection", "connection_closed")
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.stream)

    def send(self, content: Any) -> None:
        """Queue a message that has no reply.

        :raises PeerUnavailable: If the connection is closed or its queue full.
        """
        self.enqueue(Envelope(0, False, content))

    async def abort(self) -> None:
        """Close the connection and discard queued messages."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    def close_after_flush(self) -> None:
        """Close the connection once the queued messages have been sent."""
        self.closing = True
        self.write_requested.set()

    # Limits on an accepted connection

    def closing_rank(self, now: float) -> tuple[int, float] | None:
        if self.scope is None or self.scope.cancel_called:
            return None
        if self.holding.began_at:
            return RANK_UNFINISHED, now - self.holding.began_at
        if self.frame_at is None:
            return RANK_UNUSED, 0.0
        idle_s = now - self.frame_at
        return (RANK_LONG_IDLE, idle_s) if idle_s > LONG_IDLE_S else None

    def drop(self, reason: str) -> None:
        self.guard.count(reason)
        self.guard.unwatch(self)
        self.guard.budget.release(self.holding)
        self.parts.clear()
        if self.scope is not None:
            self.scope.cancel()

    def check_progress(self) -> None:
        if self.holding.received != self.checked_bytes:
            self.checked_bytes = self.holding.received
            self.quiet_checks = 0
            return
        self.quiet_checks += 1
        if self.quiet_checks * CHECK_INTERVAL_S >= FRAME_STALL_S:
            self.drop("frame not complete in time")

    def _account(self, size: int) -> None:
        """Account what has arrived of an incomplete frame.

        :raises ProtocolError: If there is no room for it.
        """
        holding = self.holding
        if not holding.began_at:
            holding.began_at = self.guard.clock()
            holding.unfinished = True
            self.quiet_checks = self.checked_bytes = 0
            self.guard.watch(self)
        holding.received = size
        if size <= UNACCOUNTED_BYTES:
            return
        if not self.guard.resize(holding, FRAME_COPIES * size):
            self.guard.count("memory is short")
            raise ProtocolError("memory is short", "receive", self.peer)

    def _frame_received(self) -> None:
        self.frame_at = self.guard.clock()
        if self.holding.began_at:
            self.holding.began_at = 0.0
            self.guard.unwatch(self)
            self.guard.budget.release(self.holding)

    async def _write(self) -> None:
        while True:
            await self.write_requested.wait()
            self.write_requested = anyio.Event()
            if self.closing and not self.outgoing:
                await anyio.aclose_forcefully(self.stream)
                return
            while self.outgoing:
                for batch, frame in self._encode(self._next_batch()):
                    self._record_sent(batch, len(frame))
                    try:
                        await self.stream.send(FRAME_LENGTH.pack(len(frame)) + frame)
                    except STREAM_ERRORS:
                        await anyio.aclose_forcefully(self.stream)
                        return

    def _encode(self, batch: list[Envelope]) -> Iterator[tuple[list[Envelope], bytes]]:
        """Return the frames of a batch: one, or one a message if that fails."""
        try:
            frame = encode_frame(batch)
        except Exception as error:
            if len(batch) == 1:
                self._fail(batch[0], error)
                return
            for envelope in batch:
                yield from self._encode([envelope])
            return
        yield batch, frame

    def _next_batch(self) -> list[Envelope]:
        size = 0
        count = 0
        for envelope in self.outgoing[:MAX_MESSAGES_IN_FRAME]:
            size += len(getattr(envelope.content, "body", b""))
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch = self.outgoing[:count]
        del self.outgoing[:count]
        return batch

    def _record_sent(self, batch: list[Envelope], frame_bytes: int) -> None:
        self.counters.frames_sent += 1
        self.counters.bytes_sent += frame_bytes + FRAME_LENGTH.size
        self.counters.messages_sent += len(batch)
        by_type = self.counters.by_type
        frames_by_type = self.counters.frames_by_type
        names = set()
        for envelope in batch:
            name = type(envelope.content).__name__
            by_type[name] = by_type.get(name, 0) + 1
            names.add(name)
            if not envelope.is_reply and envelope.request_id in self.pending:
                self.pending[envelope.request_id].sent = True
        for name in names:
            frames_by_type[name] = frames_by_type.get(name, 0) + 1

    def _fail(self, envelope: Envelope, error: Exception) -> None:
        logger.error("cannot encode a message for {}: {}", self.peer, error)
        pending = self.pending.get(envelope.request_id)
        if pending is not None and not envelope.is_reply:
            pending.error = ProtocolError(str(error), "encode", self.peer)
            pending.event.set()

    async def _read(self, group: TaskGroup) -> None:
        buffer = bytearray()
        try:
            while True:
                length_prefix = await self._receive(buffer, FRAME_LENGTH.size)
                (length,) = FRAME_LENGTH.unpack(length_prefix)
                if length > MAX_FRAME_BYTES:
                    raise ProtocolError(
                        f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes",
                        step="receive",
                        peer=self.peer,
                    )
                frame = await self._receive(buffer, length)
                if self.guard is not None:
                    self._frame_received()
                self.counters.bytes_received += length + FRAME_LENGTH.size
                for envelope in decode_frame(frame, self.peer):
                    self._dispatch(envelope, group)
                if not self._guard_listener("process frame", "frame_processed"):
                    return
        except STREAM_ERRORS:
            if buffer or any(self.parts):
                logger.warning("connection with {} ended inside a frame", self.peer)
        except ProtocolError as error:
            logger.warning("closing connection after protocol error: {}", error)

    async def _receive(self, buffer: bytearray, count: int) -> bytes:
        if len(buffer) < count:
            # Joined once: a buffer that grows is moved and copied with each step.
            parts = self.parts
            parts.append(bytes(buffer))
            size = len(buffer)
            while size < count:
                parts.append(await self.stream.receive(RECEIVE_CHUNK_BYTES))
                size += len(parts[-1])
                if self.guard is not None and size < count:
                    self._account(size)
            buffer[:] = b"".join(parts)
            parts.clear()
        data = bytes(buffer[:count])
        del buffer[:count]
        return data

    def _dispatch(self, envelope: Envelope, group: TaskGroup) -> None:
        self.counters.messages_received += 1
        if envelope.is_reply:
            pending = self.pending.get(envelope.request_id)
            if pending is not None:
                self._resolve(pending, envelope.content)
        elif self._notify_listener(envelope.content):
            return
        elif self.handler is not None:
            if self.handling >= MAX_HANDLED_MESSAGES:
                raise ProtocolError("too many messages", "receive", self.peer)
            self.handling += 1
            group.start_soon(self._handle, envelope)

    def _notify_listener(self, content: Any) -> bool:
        """Pass a message to the listener; an error there only ends the connection."""
        if self.listener is None:
            return False
        try:
            return self.listener.message_received(self, content)
        except Exception as error:
            step = type(content).__name__.lower()
            logger.exception("unexpected error in step {} from {}", step, self.peer)
            raise ProtocolError(str(error), step, self.peer) from error

    def _guard_listener(self, step: str, event: str) -> bool:
        """Notify the listener of an event of this connection.

        An unexpected error there would end all connections of the process.

        :return: Whether there was no error.
        """
        if self.listener is None:
            return True
        try:
            getattr(self.listener, event)(self)
        except Exception:
            logger.exception("unexpected error in step {} with {}", step, self.peer)
            return False
        return True

    def _resolve(self, pending: PendingRequest, content: Any) -> None:
        if isinstance(content, Error):
            cls = REMOTE_ERRORS.get(content.code, MarigoldkeelError)
            pending.error = cls(
                content.message, content.step, content.peer or self.peer
            )
        else:
            pending.reply = content
        pending.event.set()

    async def _handle(self, envelope: Envelope) -> None:
        try:
            reply = await self.handler(envelope.content, self.peer)
        except MarigoldkeelError as error:
            reply = Error(type(error).__name__, error.message, error.step, error.peer)
        except Exception as error:
            step = type(envelope.content).__name__.lower()
            logger.exception("unexpected error in step {} from {}", step, self.peer)
            reply = Error("MarigoldkeelError", f"internal error: {error}", step)
        finally:
            self.handling -= 1
        if envelope.request_id and reply is not None:
            try:
                self.enqueue(Envelope(envelope.request_id, True, reply))
            except PeerUnavailable as error:
                logger.warning("cannot send reply: {}", error)

    def _fail_pending(self) -> None:
        self.closed = True
        for pending in self.pending.values():
            if pending.reply is None and pending.error is None:
                cls = PeerLost if pending.sent else PeerUnavailable
                pending.error = cls("connection lost", step="request", peer=self.peer)
            pending.event.set()


class PeerPool:
    """Connections to other processes, one per address, opened on demand.

    Usage::

        async with PeerPool.open() as peers:
            reply = await peers.request("127.0.0.1:7000", Inspect(), timeout_s=1)
    """

    def __init__(self, group: TaskGroup, listener: ConnectionListener | None = None):
        self.group = group
        self.listener = listener
        self.connections: dict[str, Connection] = {}
        self.locks: dict[str, anyio.Lock] = {}
        self.counters = Counters()

    @classmethod
    @asynccontextmanager
    async def open(cls, listener: ConnectionListener | None = None):
        """Yield a pool whose connections are closed when the context exits."""
        async with anyio.create_task_group() as group:
            yield cls(group, listener)
            group.cancel_scope.cancel()

    async def connect(self, address: str) -> Connection:
        """Return the connection to ``address``, opening it if there is none.

        :raises PeerUnavailable: If it could not be opened within a second.
        """
        connection = self.connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        async with self.locks.setdefault(address, anyio.Lock()):
            connection = self.connections.get(address)
            if connection is None or connection.closed:
                connection = await self._open(address)
            return connection

    async def _open(self, address: str) -> Connection:
        host, port = parse_address(address)
        stream = None
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError as error:
                raise PeerUnavailable(
                    f"cannot connect: {error}", step="connect", peer=address
                ) from error
        if stream is None:
            raise PeerUnavailable("connect timed out", step="connect", peer=address)
        connection = Connection(stream, address, None, self.counters, self.listener)
        self.connections[address] = connection
        self.group.start_soon(self._run, address, connection)
        return connection

    async def _run(self, address: str, connection: Connection) -> None:
        try:
            await connection.run()
        finally:
            if self.connections.get(address) is connection:
                del self.connections[address]
                self.locks.pop(address, None)

    async def reset(self, address: str) -> None:
        """Close the connection to an address; the next message opens a new one."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            await connection.abort()

    async def request(self, address: str, content: Any, timeout_s: float) -> Any:
        """Send a request and return its reply; see `Connection.request`."""
        connection = await self.connect(address)
        return await connection.request(content, timeout_s)

    async def send(self, address: str, content: Any) -> None:
        """Send a message that has no reply.

        :raises PeerUnavailable: If the peer cannot be connected to.
        """
        connection = await self.connect(address)
        connection.send(content)


def configure_accepted_stream(stream: ByteStream) -> str:
    """Configure an accepted connection and return the address of its peer.

    :raises PeerLost: If the peer reset the connection before it was accepted.
    """
    try:
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        # asyncio does not set TCP_NODELAY on sockets created with protocol 0.
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (anyio.TypedAttributeLookupError, AttributeError, OSError) as error:
        # The exception depends on how far the event loop has got in closing the
        # connection: the socket has no peer, or the socket itself is gone.
        raise PeerLost(
            f"connection was reset before it was accepted: {error}", "accept"
        ) from error
    return f"{remote[0]}:{remote[1]}"


async def accept_forever(
    server: SocketListener,
    run_connection: Callable[[ByteStream], Awaitable[None]],
    group: TaskGroup,
    scope: anyio.CancelScope,
) -> None:
    """Accept connections until ``scope`` is cancelled, and run each in ``group``."""
    with scope:
        while True:
            try:
                stream = await server.accept()
            except OSError as error:
                # For example, too many files are open.
                logger.warning("cannot accept a connection: {}", error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            group.start_soon(run_guarded, "serve connection", run_connection, stream)


async def serve_peers(
    address: str,
    handler: Handler,
    counters: Counters,
    listener: ConnectionListener | None = None,
    guard: ClientGuard | None = None,
    *,
    task_status: TaskStatus = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections on ``address`` and pass each message to ``handler``.

    Reports the bound address as the task status; it differs from ``address`` if the
    port was 0.

    :param guard: Decides about the connections of all ports of the process.
    :raises OSError: If the address cannot be bound.
    """
    host, port = parse_address(address)
    guard = guard or default_guard()
    # One IP address has one listener.
    listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
    (server,) = listeners.listeners
    listening_socket = server.extra(anyio.abc.SocketAttribute.raw_socket)
    listening_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, ACCEPTED_RECEIVE_BUFFER_BYTES
    )
    local_host, local_port = server.extra(anyio.abc.SocketAttribute.local_address)[:2]

    async def run_connection(stream: ByteStream) -> None:
        try:
            peer = configure_accepted_stream(stream)
        except PeerLost as error:
            logger.info("dropping accepted connection: {}", error)
            await anyio.aclose_forcefully(stream)
            return
        await Connection(stream, peer, handler, counters, listener, guard).run()

    # Shielded, as accept() must not be cancelled while the event loop may be about to
    # run it: asyncio then raises an error if a connection arrives at that moment.
    accepting = anyio.CancelScope(shield=True)
    async with server, anyio.create_task_group() as group:
        group.start_soon(accept_forever, server, run_connection, group, accepting)
        task_status.started(f"{local_host}:{local_port}")
        try:
            await anyio.sleep_forever()
        finally:
            raw_socket = server.extra(anyio.abc.SocketAttribute.raw_socket)
            asyncio.get_running_loop().remove_reader(raw_socket)
            accepting.cancel()
