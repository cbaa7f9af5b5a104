"""Guards against lost, mismatched or oversized messages between processes."""

import asyncio
import socket
import struct
import time

import anyio
import anyio.lowlevel
import pytest

from marigoldkeel.exceptions import (
    InvalidInput,
    MarigoldkeelError,
    PeerLost,
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
)
from marigoldkeel.messages import (
    Claim,
    Claimed,
    Done,
    Envelope,
    Heartbeat,
    Take,
    TaskResult,
    decode_frame,
    encode_frame,
)
from marigoldkeel.models import Member
from marigoldkeel.transports import (
    FRAME_LENGTH,
    Counters,
    PeerPool,
    configure_accepted_stream,
    parse_address,
    serve_peers,
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def echo_generation(message, peer):
    if message.generation == 13:
        raise InvalidInput("generation 13 is refused", step="claim")
    if message.generation == 14:
        raise PeerUnavailable("another peer cannot be reached", step="claim")
    if message.generation == 99:
        await anyio.sleep_forever()
    return Claimed(verdict=1, generation=message.generation)


@pytest.mark.parametrize(
    "content",
    [
        Claim(3, 2**40, b"i" * 16, b"d" * 32),
        Heartbeat(Member("a", "a@1", "127.0.0.1:1", "Meda"), 0.5, 8, 1, 2, True, ["q"]),
        Take(b"i", "a@1", 7, 2, [TaskResult(1, 2, b"\0\xff", "é"), TaskResult()]),
    ],
)
def test_codec_preserves_every_field(content):
    frame = encode_frame([Envelope(5, True, content), Envelope(0, False, content)])
    assert decode_frame(frame) == [
        Envelope(5, True, content),
        Envelope(0, False, content),
    ]


@pytest.mark.parametrize(
    "frame", [b"", b"\0" * 7, b"\xff" * 64, encode_frame([])[:-4] + b"\xff" * 9]
)
def test_malformed_frame_is_a_protocol_error_naming_step_and_peer(frame):
    with pytest.raises(ProtocolError) as caught:
        decode_frame(frame, "10.0.0.1:7")
    assert (caught.value.step, caught.value.peer) == ("decode", "10.0.0.1:7")


@pytest.mark.parametrize("address", ["host:1", "127.0.0.1", "127.0.0.1:x", "1.1.1.1:"])
def test_address_that_is_not_an_ip_address_with_port_is_refused(address):
    with pytest.raises(InvalidInput):
        parse_address(address)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "pauses_s",
    [
        pytest.param([0.5], id="once"),
        # In an overloaded event loop, every iteration that reads or replies is slow.
        pytest.param([0.15] * 8, id="repeatedly"),
    ],
)
async def test_timeout_does_not_count_time_in_which_this_process_was_paused(pauses_s):
    async def pause():
        for seconds in pauses_s:
            time.sleep(seconds)  # noqa: ASYNC251
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_peers, "127.0.0.1:0", echo_generation, Counters()
        )
        async with PeerPool.open() as peers:
            await peers.connect(address)
            group.start_soon(pause)
            reply = await peers.request(address, Claim(generation=1), 0.3)
            assert reply.generation == 1
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_concurrent_replies_match_their_requests():
    replies = {}

    async def ask(peers, address, generation):
        reply = await peers.request(address, Claim(generation=generation), 5)
        replies[generation] = reply.generation

    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_peers, "127.0.0.1:0", echo_generation, Counters()
        )
        async with PeerPool.open() as peers:
            async with anyio.create_task_group() as requests:
                for generation in range(100, 300):
                    requests.start_soon(ask, peers, address, generation)
            assert replies == {number: number for number in range(100, 300)}
            with pytest.raises(InvalidInput, match="13 is refused"):
                await peers.request(address, Claim(generation=13), 5)
            # Only a PeerUnavailable raised locally means that nothing was sent.
            with pytest.raises(MarigoldkeelError) as caught:
                await peers.request(address, Claim(generation=14), 5)
            assert not isinstance(caught.value, PeerUnavailable)
            with pytest.raises(PeerTimeout):
                await peers.request(address, Claim(generation=99), 0.05)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_message_that_cannot_be_encoded_harms_no_other_of_its_batch():
    # Guards against jobs that wait in vain: a start order with a number out of range
    # took those sent with it along.
    outcomes = {}

    async def ask(peers, address, generation):
        try:
            reply = await peers.request(address, Claim(generation=generation), 2)
            outcomes[generation] = reply.generation
        except MarigoldkeelError as error:
            outcomes[generation] = type(error)

    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_peers, "127.0.0.1:0", echo_generation, Counters()
        )
        async with PeerPool.open() as peers:
            await peers.connect(address)
            async with anyio.create_task_group() as requests:
                for generation in (1, -1, 2, 3):
                    requests.start_soon(ask, peers, address, generation)
        group.cancel_scope.cancel()
    assert outcomes == {1: 1, -1: ProtocolError, 2: 2, 3: 3}


@pytest.mark.anyio
async def test_bad_frame_closes_one_connection_and_the_server_keeps_serving():
    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_peers, "127.0.0.1:0", echo_generation, Counters()
        )
        for data in (
            FRAME_LENGTH.pack(2**31),
            FRAME_LENGTH.pack(8) + b"\xff" * 8,
            b"\0\0",
        ):
            async with await anyio.connect_tcp(*parse_address(address)) as stream:
                await stream.send(data)
                await stream.send_eof()
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
        async with PeerPool.open() as peers:
            reply = await peers.request(address, Claim(generation=5), 5)
            assert reply.generation == 5
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_nothing_sent_and_connection_lost_raise_different_errors():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with PeerPool.open() as peers:
            async with anyio.create_task_group() as group:

                async def close_after_first_bytes():
                    stream, _ = await anyio.to_thread.run_sync(listener.accept)
                    await anyio.to_thread.run_sync(stream.recv, 10)
                    stream.close()

                group.start_soon(close_after_first_bytes)
                with pytest.raises(PeerLost):
                    await peers.request(address, Claim(), 5)
    async with PeerPool.open() as peers:
        with pytest.raises(PeerUnavailable):
            await peers.request(address, Claim(), 5)


@pytest.mark.anyio
async def test_server_survives_connections_that_are_reset_before_they_are_accepted():
    """Guards against a daemon that crashes when a peer is killed while connecting."""
    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_peers, "127.0.0.1:0", echo_generation, Counters()
        )
        for _ in range(20):
            # The kernel accepts the connection while this code blocks the event loop.
            with socket.create_connection(parse_address(address)) as connection:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
        async with PeerPool.open() as pool:
            reply = await pool.request(address, Claim(1, 5, b"i", b"d"), 5.0)
        assert reply.generation == 5
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "error",
    [
        anyio.TypedAttributeLookupError("no peer"),
        AttributeError("no socket"),
        OSError("not connected"),
    ],
)
def test_connection_that_is_closing_when_it_is_accepted_raises_peer_lost(error):
    """Guards against a daemon that crashes when the socket is already closed."""

    class Stream:
        def extra(self, attribute):
            raise error

    with pytest.raises(PeerLost):
        configure_accepted_stream(Stream())


@pytest.mark.anyio
async def test_connection_that_arrives_while_serving_is_cancelled_raises_no_error():
    """Guards against an error that the event loop reports when a daemon stops."""
    trigger, trigger_end = socket.socketpair()
    with anyio.CancelScope() as scope, trigger, trigger_end:
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_peers, "127.0.0.1:0", None, Counters(), None
            )
            await anyio.sleep(0.05)
            loop = asyncio.get_running_loop()
            loop.add_reader(trigger, scope.cancel)
            # Both become readable before the loop looks again, the trigger first.
            trigger_end.send(b"x")
            caller = socket.create_connection(parse_address(address))
            try:
                await anyio.sleep_forever()
            finally:
                loop.remove_reader(trigger)
                caller.close()
    assert scope.cancelled_caught


@pytest.mark.anyio
async def test_error_in_accept_does_not_end_the_server(monkeypatch):
    """Guards against a daemon that ends because too many files are open."""
    errors = [OSError(24, "Too many open files")]
    create_listener = anyio.create_tcp_listener

    async def create_failing_listener(**options):
        server = await create_listener(**options)
        accept = server.listeners[0].accept

        async def accept_after_errors():
            if errors:
                raise errors.pop()
            return await accept()

        server.listeners[0].accept = accept_after_errors
        return server

    monkeypatch.setattr(anyio, "create_tcp_listener", create_failing_listener)

    async def reply(message, peer):
        return Done()

    async with anyio.create_task_group() as group, PeerPool.open() as peers:
        address = await group.start(serve_peers, "127.0.0.1:0", reply, Counters())
        with anyio.fail_after(5.0):
            assert await peers.request(address, Done(), 4.0) == Done()
        group.cancel_scope.cancel()
    assert errors == []


@pytest.mark.anyio
@pytest.mark.parametrize("connections", range(4))
@pytest.mark.parametrize("steps", range(5))
async def test_serving_ends_whenever_it_is_cancelled(connections, steps):
    """Guards against a stop that waits for a connection that nobody can accept."""
    callers = [socket.socket() for _ in range(connections)]
    async with anyio.create_task_group() as group:
        address = await group.start(serve_peers, "127.0.0.1:0", None, Counters())
        for caller in callers:
            caller.setblocking(False)
            caller.connect_ex(parse_address(address))
        for _ in range(steps):
            await anyio.lowlevel.checkpoint()
        group.cancel_scope.cancel()
    for caller in callers:
        caller.close()
