"""Tests of how much of a crowd's data is parsed before an ordinary request."""

import anyio
import anyio.lowlevel
import pytest
import uvicorn
from uvicorn.server import ServerState

from marigoldkeel.client_guard import ClientGuard
from marigoldkeel.client_limits import MB, ClientLimits
from marigoldkeel.http_limits import LimitedHttpProtocol


pytestmark = pytest.mark.anyio
CONNECTIONS = 40
READ_BYTES = 65_536
# What may be parsed of other clients before the request of a client that has sent
# nothing else: a read of one connection, whatever the number of connections.
BOUND_BYTES = READ_BYTES
HEAD = b"POST /stock/%016x HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PATTERNS = {
    "chunks of one byte": (CHUNKED, b"1\r\n \r\n"),
    "chunk extensions": (CHUNKED, b"1;" + b"a" * 96 + b"\r\n \r\n"),
    "small headers": (HEAD, b"x: y\r\n"),
    "empty lines": (b"", b"\r\n"),
    "pipelined requests": (b"", b"GET /stock/ HTTP/1.1\r\nhost: a\r\n\r\n"),
    "a large body": (HEAD + b"content-length: 3000000\r\n\r\n", b" "),
}


class Transport:
    """Accepts what is written, and records whether the connection is read or closed."""

    def __init__(self, host: str):
        self.host = host
        self.closed = False
        self.reading = True

    def get_extra_info(self, name: str):
        return {"peername": (self.host, 1), "sockname": ("127.0.0.1", 2)}.get(name)

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: bytes) -> None:
        pass

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def close(self) -> None:
        self.closed = True

    abort = close


class Server:
    """Connections without sockets to an application that records its requests."""

    def __init__(self):
        self.parsed = 0
        self.parsed_before: dict[str, int] = {}
        self.requests: list[tuple[str, bytes]] = []
        self.guard = ClientGuard.from_limits(memory_mb=552)
        self.config = uvicorn.Config(
            self.serve, lifespan="off", log_config=None, interface="asgi3"
        )
        self.config.load()
        self.state = ServerState()

    async def serve(self, scope, receive, send) -> None:
        self.parsed_before.setdefault(scope["client"][0], self.parsed)
        body, event = b"", {"more_body": True}
        while event.get("more_body"):
            event = await receive()
            body += event.get("body", b"")
        if event["type"] == "http.request":
            self.requests.append((scope["path"], body))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    def connect(self, host: str) -> LimitedHttpProtocol:
        server = self

        class CountingProtocol(LimitedHttpProtocol):
            def _parse(self, data: bytes) -> None:
                server.parsed += len(data)
                super()._parse(data)

        protocol = CountingProtocol(
            self.config,
            self.state,
            {},
            guard=self.guard,
            get_limits=lambda: ClientLimits(max_body_bytes=4 * MB),
        )
        protocol.connection_made(Transport(host))
        return protocol


@pytest.mark.parametrize("pattern", PATTERNS.values(), ids=PATTERNS)
async def test_ordinary_request_does_not_wait_for_a_crowd_to_be_parsed(pattern):
    first, repeated = pattern
    server = Server()
    crowd = [
        server.connect(f"127.0.0.{2 + number % 4}") for number in range(CONNECTIONS)
    ]
    ordinary = server.connect("127.0.0.9")
    # In one turn of the event loop, as if all had been readable.
    for number, protocol in enumerate(crowd):
        head = first.replace(b"%016x", b"%016x" % number)
        protocol.data_received((head + repeated * READ_BYTES)[:READ_BYTES])
    ordinary.data_received(HEAD % 77 + b"content-length: 2\r\n\r\n{}")
    with anyio.fail_after(30):
        while "127.0.0.9" not in server.parsed_before:
            await anyio.lowlevel.checkpoint()
    assert server.parsed_before["127.0.0.9"] <= BOUND_BYTES
    for protocol in (*crowd, ordinary):
        protocol.connection_lost(None)


async def test_requests_that_wait_for_their_turn_arrive_whole_and_in_order():
    server = Server()
    body = bytes(range(256)) * 800
    connections = [server.connect(f"127.0.0.{2 + number % 2}") for number in range(6)]
    for number, protocol in enumerate(connections):
        content = b"".join(
            b"POST /%d/%d HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            % (number, part, len(body))
            + body
            for part in range(2)
        )
        for start in range(0, len(content), READ_BYTES):
            protocol.data_received(content[start : start + READ_BYTES])
    with anyio.fail_after(30):
        while len(server.requests) < 12:
            await anyio.lowlevel.checkpoint()
    assert all(received == body for _, received in server.requests)
    for number, protocol in enumerate(connections):
        paths = [path for path, _ in server.requests if path.startswith(f"/{number}/")]
        assert paths == [f"/{number}/0", f"/{number}/1"]
        assert protocol.transport.reading
        protocol.connection_lost(None)
    assert server.guard.budget.used == 0
