"""Tests of the limits on clients, without a network."""

import asyncio
from functools import partial

import pytest
import uvicorn
from uvicorn.server import ServerState

from marigoldkeel.client_guard import (
    RANK_IDLE,
    RANK_LONG_IDLE,
    RANK_UNFINISHED,
    RANK_UNUSED,
    ClientGuard,
)
from marigoldkeel.client_limits import (
    CONNECTION_BYTES,
    MB,
    ByteBudget,
    ClientLimits,
    Holding,
)
from marigoldkeel.http_limits import HEADER_BYTES, MAX_PIPELINED, LimitedHttpProtocol
from marigoldkeel.servers import HttpApplication, Response


pytestmark = pytest.mark.anyio
LIMITS = ClientLimits(2_000, 10_000, 3.0, 15.0)
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def open_guard(capacity: int = 16 * MB, connections: int = 8) -> ClientGuard:
    return ClientGuard(ByteBudget(capacity), connections, lambda: 100.0)


class FakeConnection:
    """A connection at the guard, with a fixed rank."""

    def __init__(self, guard, address, rank=None, received=0, unfinished=True):
        self.guard = guard
        self.address = address
        self.rank = rank
        self.dropped = False
        self.holding = Holding(self, address, 0, unfinished, received, 90.0)

    def closing_rank(self, now):
        return self.rank

    def drop(self, reason):
        self.dropped = True
        self.guard.budget.release(self.holding)


def test_slowest_unfinished_requests_are_dropped_first():
    guard = open_guard()
    speeds = {"10.0.0.1": 9, "10.0.0.2": 5, "10.0.0.3": 1, "10.0.0.4": 0}
    # The slowest of all has been accepted.
    connections = {
        address: FakeConnection(guard, address, None, received, bool(received))
        for address, received in speeds.items()
    }
    for connection in connections.values():
        assert guard.resize(connection.holding, 3 * MB)
    new = Holding(None, "10.0.0.9", 0, True, 99, 99.0)
    assert guard.resize(new, 1 * MB)
    dropped = {name for name, item in connections.items() if item.dropped}
    assert dropped == {"10.0.0.3"}


def test_address_that_exceeds_its_share_drops_its_own_requests():
    # Guards against a crowd from one address that drops the requests of all others.
    guard = open_guard()
    slow = FakeConnection(guard, "10.0.0.1", None, 1)
    own = FakeConnection(guard, "10.0.0.2", None, 900)
    assert guard.resize(slow.holding, 1 * MB)
    assert guard.resize(own.holding, 7 * MB)
    assert guard.resize(Holding(None, "10.0.0.2", 0, True, 9_000, 99.0), 2 * MB)
    assert (slow.dropped, own.dropped) == (False, True)


def test_accepted_work_is_never_dropped():
    guard = open_guard()
    accepted = FakeConnection(guard, "10.0.0.1", None, 0, False)
    assert guard.resize(accepted.holding, 8 * MB)
    assert not guard.resize(Holding(None, "10.0.0.2", 0, True), 8 * MB)
    assert not accepted.dropped
    # Accepted jobs and connections may use what large requests may not.
    assert guard.resize(Holding(None, "10.0.0.2", 0, False), 8 * MB, share=1.0)


@pytest.mark.parametrize(
    "ranks, closed",
    [
        # Without a request first, then idle for long, then unfinished, then idle.
        ([(RANK_IDLE, 9.0), (RANK_UNUSED, 0.0), (RANK_LONG_IDLE, 50.0)], 1),
        ([(RANK_IDLE, 9.0), (RANK_UNFINISHED, 1.0), (RANK_LONG_IDLE, 50.0)], 2),
        ([None, (RANK_IDLE, 1.0), (RANK_IDLE, 9.0)], 2),
        ([None, None, None], None),
    ],
)
def test_connections_without_progress_are_closed_for_new_ones(ranks, closed):
    guard = open_guard(connections=3)
    connections = [
        FakeConnection(guard, f"10.0.0.{number}", rank)
        for number, rank in enumerate(ranks)
    ]
    assert all(guard.admit(connection) for connection in connections)
    assert guard.admit(FakeConnection(guard, "10.0.0.9")) == (closed is not None)
    dropped = [n for n, item in enumerate(connections) if item.dropped]
    assert dropped == ([] if closed is None else [closed])
    assert len(guard.connections) == 3
    for connection in list(guard.connections):
        guard.forget(connection)
    assert (guard.budget.total, guard.by_address) == (0, {})


@pytest.mark.parametrize(
    "memory_mb, capacity_mb", [(160, 48), (96, 16), (64, 12), (20, 12)]
)
def test_budget_follows_the_memory_limit(memory_mb, capacity_mb):
    assert ByteBudget.from_memory_limit(memory_mb * MB).capacity == capacity_mb * MB


class FakeTransport(asyncio.Transport):
    """Records what a protocol writes, and whether it closes."""

    def __init__(self):
        super().__init__({"peername": ("10.0.0.1", 1), "sockname": ("10.0.0.2", 2)})
        self.written = b""
        self.closed = False
        self.unread = 0

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return self.unread

    @property
    def statuses(self) -> list[int]:
        """The statuses of all responses."""
        lines = self.written.split(b"HTTP/1.1 ")[1:]
        return [int(line[:3]) for line in lines]


class Server:
    """A protocol object with an application whose answers can be held back."""

    def __init__(self, **guard_options):
        self.guard = open_guard(**guard_options)
        self.requests = []
        self.answers = asyncio.Event()
        self.answers.set()
        application = HttpApplication(get_limits=lambda: LIMITS)

        @application.default
        async def serve(request):
            self.requests.append(request)
            await self.answers.wait()
            return Response()

        protocol = partial(
            LimitedHttpProtocol, guard=self.guard, get_limits=application.get_limits
        )
        config = uvicorn.Config(
            application, http=protocol, ws="none", log_config=None, lifespan="off"
        )
        config.load()
        self.transport = FakeTransport()
        self.protocol = protocol(
            config=config, server_state=ServerState(), app_state={}
        )
        self.protocol.connection_made(self.transport)

    async def receive(self, *parts: bytes) -> list[int]:
        """Receive data, and return the statuses of the responses so far."""
        for part in parts:
            self.protocol.data_received(part)
            for _ in range(8):
                await asyncio.sleep(0)
        return self.transport.statuses


def head_of(size: int) -> bytes:
    """Return a request without a body that has this size."""
    start, end = b"GET /a HTTP/1.1\r\nx: ", b"\r\n\r\n"
    return start + b"a" * (size - len(start) - len(end)) + end


def split(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


ONE_BYTE_CHUNKS = CHUNKED + b"1\r\na\r\n" * 1_500 + b"0\r\n\r\n"


@pytest.mark.parametrize("piece", [100_000, 700, 3])
@pytest.mark.parametrize(
    "data, statuses",
    [
        (head_of(2_000), [200]),
        (head_of(2_001), [431]),
        (head_of(9_000), [431]),
        (HEAD + b"a: b\r\n" * 2_000, [431]),
        (b"GET /" + b"a" * 5_000, [431]),
        (b"\r\n" * 5_000, [431]),
        (b"\r\n\r\n" + head_of(1_000), [200]),
        (ONE_BYTE_CHUNKS, [200]),
        (CHUNKED + b"1;" + b"a" * 5_000, [400]),
        (CHUNKED + b"1\r\na\r\n0\r\n" + b"a: b\r\n" * 2_000, [400]),
        (CHUNKED + b"1\r\na\r\n0\r\nx-trailer: b\r\n\r\n", [200]),
        (HEAD + b"content-length: 10000\r\n\r\n" + b"a" * 10_000, [200]),
        (HEAD + b"content-length: 10001\r\n\r\n" + b"a" * 10_001, [413]),
        (b"nonsense\r\n\r\n", [400]),
        (head_of(100) * 4, [200] * 4),
    ],
)
async def test_limits_hold_however_the_data_is_split(data, statuses, piece):
    server = Server()
    assert await server.receive(*split(data, piece)) == statuses
    assert server.transport.closed == (statuses[0] != 200)
    # Nothing stays accounted for requests that were answered or refused.
    assert server.guard.budget.used == 0
    assert all("x-trailer" not in request.headers for request in server.requests)


async def test_refusal_is_not_taken_for_the_answer_to_an_earlier_request():
    # Guards against "not run" for a job that runs.
    server = Server()
    server.answers.clear()
    await server.receive(head_of(100), b"GET /" + b"a" * 5_000)
    assert (server.transport.statuses, server.transport.closed) == ([], True)
    assert (await server.requests[0].receive())["type"] == "http.disconnect"


async def test_connection_with_too_many_pipelined_requests_is_closed():
    server = Server()
    server.answers.clear()
    await server.receive(head_of(100))
    await server.receive(head_of(100) * (MAX_PIPELINED + 1))
    assert (server.transport.statuses, server.transport.closed) == ([], True)
    assert len(server.requests) == 1


@pytest.mark.parametrize(
    "data, checks, statuses",
    [
        (HEAD, 6, []),
        (HEAD, 7, [408]),
        (HEAD + b"content-length: 9\r\n\r\nabc", 19, []),
        (HEAD + b"content-length: 9\r\n\r\nabc", 21, [408]),
        (b"\r\n", 30, []),
    ],
)
async def test_requests_that_make_no_progress_are_given_up(data, checks, statuses):
    server = Server()
    await server.receive(data)
    for _ in range(checks):
        server.protocol.check_progress()
    assert server.transport.statuses == statuses


@pytest.mark.parametrize(
    "end, rest",
    [
        (b"", b"\r\n"),
        (b"\r\n", b""),
        (b"content-length: 9\r\n\r\n", b"123456789"),
    ],
)
async def test_many_headers_are_accounted_until_the_answer(end, rest):
    # Guards against heads of legal size that take 70 times their size.
    server = Server()
    server.answers.clear()
    await server.receive(HEAD + b"a:\r\n" * 300 + end)
    assert server.guard.budget.used > 300 * HEADER_BYTES
    server.answers.set()
    assert await server.receive(rest) == [200]
    assert server.guard.budget.used == 0


async def test_small_request_is_served_while_bodies_take_up_the_budget():
    server = Server()
    for address, size in ("10.0.1.1", 6 * MB), ("10.0.1.2", 6 * MB - CONNECTION_BYTES):
        assert server.guard.resize(Holding(None, address), size)
    body = HEAD + b"content-length: 9000\r\n\r\n" + b"a" * 9_000
    assert await server.receive(head_of(500)) == [200]
    assert await server.receive(body) == [200, 503]
    assert b"retry-after: 1\r\n" in server.transport.written
    assert len(server.requests) == 1


async def test_unread_responses_are_accounted_and_give_way():
    server = Server()
    server.transport.unread = 100_000
    server.protocol.pause_writing()
    assert server.guard.budget.used == 100_000
    (holding,) = server.guard.budget.slowest(Holding(None, "10.0.0.1"), 1, 100.0)
    assert holding.owner is server.protocol
    server.protocol.drop("memory is short")
    assert (server.guard.budget.used, server.transport.closed) == (0, True)


async def test_request_in_progress_is_told_that_its_client_has_left():
    # Guards against a job that goes on after its caller has left, since uvicorn
    # notifies only the request that was received last.
    server = Server()
    server.answers.clear()
    await server.receive(head_of(100), head_of(100))
    server.protocol.connection_lost(None)
    assert (await server.requests[0].receive())["type"] == "http.disconnect"
