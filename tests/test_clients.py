"""Tests of the HTTP client against a server that sends given bytes."""

from contextlib import asynccontextmanager

import anyio
import pytest

from marigoldkeel import clients
from marigoldkeel.clients import HttpClient
from marigoldkeel.exceptions import (
    MarigoldkeelError,
    PeerLost,
    PeerUnavailable,
    ProtocolError,
)


pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


class ByteServer:
    """Answers every request with the same bytes.

    :ivar connections: How many connections were accepted.
    :ivar closes: Whether it closes the connection after each answer.
    """

    def __init__(self, answer: bytes, closes: bool = False):
        self.answer = answer
        self.closes = closes
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(self, stream) -> None:
        self.connections += 1
        async with stream:
            try:
                while True:
                    self.requests.append(await stream.receive())
                    # In two parts, so that the client has to wait for the second.
                    middle = len(self.answer) // 2
                    await stream.send(self.answer[:middle])
                    await anyio.sleep(0.005)
                    await stream.send(self.answer[middle:])
                    if self.closes:
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


@asynccontextmanager
async def open_client(server: ByteServer, max_connections: int = 2):
    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(listener.serve, server.serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = HttpClient(f"127.0.0.1:{port}", max_connections)
        yield client
        await client.aclose()
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("answer", "closes", "connections"),
    [
        (OK, False, 1),
        (OK, True, 5),
        (OK.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"), False, 5),
        (b"HTTP/1.1 200 OK\r\n\r\nok", True, 5),
        (CHUNKED, False, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, False, 1),
        (OK + OK, False, 5),
    ],
)
async def test_connections_are_reused_only_if_both_ends_keep_them(
    answer, closes, connections
):
    server = ByteServer(answer, closes)
    async with open_client(server) as client:
        for _ in range(5):
            response = await client.request("POST", "/a?b=1", {"x-y": "z"}, b"{}")
            assert (response.status, response.body) == (200, b"ok")
            # The server's close arrives before the next request.
            await anyio.sleep(0.02)
    assert server.connections == connections
    assert server.requests[0].startswith(b"POST /a?b=1 HTTP/1.1\r\nhost: 127.0.0.1:")
    assert server.requests[0].endswith(b"x-y: z\r\ncontent-length: 2\r\n\r\n{}")


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b"", PeerLost),
        (b"HTTP/1.1 200 OK\r\ncont", PeerLost),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok", PeerLost),
        (b"not HTTP at all\r\n\r\n", ProtocolError),
        (b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n", None),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n" + b"x" * 64, ProtocolError),
    ],
)
async def test_bad_answers_are_errors_with_step_and_peer(monkeypatch, answer, error):
    monkeypatch.setattr(clients, "MAX_RESPONSE_BYTES", 50)
    server = ByteServer(answer, closes=True)
    async with open_client(server) as client:
        with pytest.raises(error or MarigoldkeelError) as raised:
            await client.request("GET", "/", {}, b"")
        assert raised.value.peer == client.address
        assert raised.value.step == "receive"
        assert client.idle == []


async def test_cancelled_request_closes_its_connection_and_frees_its_place():
    server = ByteServer(OK)
    async with open_client(server, max_connections=1) as client:
        server.answer = b""
        with anyio.move_on_after(0.05):
            await client.request("GET", "/", {}, b"")
        server.answer = OK
        assert (await client.request("GET", "/", {}, b"")).body == b"ok"
    assert server.connections == 2


async def test_refused_connection_means_that_nothing_was_sent():
    client = HttpClient("127.0.0.1:1", 1)
    with pytest.raises(PeerUnavailable):
        await client.request("GET", "/", {}, b"")


async def test_line_breaks_in_headers_are_refused():
    client = HttpClient("127.0.0.1:1", 1)
    with pytest.raises(ProtocolError, match="line break"):
        await client.request("GET", "/", {"a": "b\r\nc: d"}, b"")
