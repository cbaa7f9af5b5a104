"""A minimal HTTP framework on uvicorn for the daemons and the stand-in servers."""

import asyncio
import re
import select
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import contextmanager, suppress
from functools import partial

import anyio
import anyio.lowlevel
import msgspec
import uvicorn
from anyio.abc import TaskStatus
from loguru import logger
from msgspec import Struct, field

from marigoldkeel.client_guard import ClientGuard, default_guard
from marigoldkeel.client_limits import ClientLimits
from marigoldkeel.exceptions import InvalidInput, MarigoldkeelError
from marigoldkeel.http_limits import LimitedHttpProtocol


MAX_BODY_BYTES = 4 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 10
LISTEN_BACKLOG = 2048
TICK_INTERVAL_S = 1.0
# Rounds of the event loop in which it accepts a connection, reads a request and then
# the end of the connection, and passes it on to the application.
READ_ROUNDS = 6
# Rounds until an accepted connection is among those of the server.
ACCEPT_ROUNDS = 3
# Rounds in which a stopping server waits for requests to be read, so that callers that
# send again and again cannot keep it from stopping.
MAX_UNREAD_CHECKS = 20


async def read_pending_events() -> None:
    """Let the event loop handle what has already arrived on this process's sockets."""
    for _ in range(READ_ROUNDS):
        await anyio.lowlevel.checkpoint()


class Request(Struct):
    """An HTTP request with its complete body. Header names are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: str
    path_parameters: dict[str, str] = field(default_factory=dict)
    query: str = ""
    receive: Callable[[], Awaitable[dict]] | None = None

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


class Response(Struct):
    """An HTTP response; a streamed one has ``chunks`` instead of ``body``."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    chunks: AsyncIterator[bytes] | None = None

    @classmethod
    def from_json(cls, content: object, status: int = 200, **headers: str):
        """Return a response with ``content`` encoded as JSON.

        :param headers: Further headers, with underscores for the hyphens of the names.
        """
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return cls(
            status,
            msgspec.json.encode(content),
            {"content-type": "application/json", **extra_headers},
        )


Endpoint = Callable[[Request], Awaitable[Response]]


class HttpApplication:
    """An ASGI application whose endpoints are registered by a decorator.

    :param max_body_bytes: Limit on bodies, if there is no ``get_limits``.
    :param get_limits: Returns the limits on requests that are in force.
    :param describe_rejection: Maps the method and headers of a request that is rejected
        before it reaches an endpoint to fields that are added to the error response.

    Usage::

        application = HttpApplication()

        @application.route("POST", "/v1/calls/{kind}")
        async def call(request): ...
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        describe_rejection: Callable[[str, dict[str, str]], dict] = (
            lambda method, headers: {}
        ),
        get_limits: Callable[[], ClientLimits] | None = None,
    ):
        limits = ClientLimits(max_body_bytes=max_body_bytes)
        self.get_limits = get_limits or (lambda: limits)
        self.describe_rejection = describe_rejection
        self.routes: list[tuple[str, re.Pattern[str], Endpoint]] = []
        self.fallback: Endpoint | None = None

    def route(self, method: str, path: str) -> Callable[[Endpoint], Endpoint]:
        """Register an endpoint for a method and a path with ``{name}`` parameters."""
        pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path) + r"\Z")

        def register(endpoint: Endpoint) -> Endpoint:
            self.routes.append((method, pattern, endpoint))
            return endpoint

        return register

    def default(self, endpoint: Endpoint) -> Endpoint:
        """Register the endpoint for requests that match no route."""
        self.fallback = endpoint
        return endpoint

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            raise InvalidInput(f"unsupported scope {scope['type']!r}", step="http")
        await self._send(receive, send, await self._respond(scope, receive))

    async def _respond(self, scope, receive) -> Response:
        client = scope.get("client") or ("", 0)
        peer = f"{client[0]}:{client[1]}"
        headers = decode_headers(scope)
        try:
            endpoint, path_parameters = self._match_route(
                scope["method"], scope["path"]
            )
            if endpoint is None:
                return self._reject(404, "no such resource", "route", peer, scope)
            max_body_bytes = self.get_limits().max_body_bytes
            body = await self._read_body(receive, peer, max_body_bytes)
            if body is None:
                message = f"body exceeds {max_body_bytes} bytes"
                response = self._reject(413, message, "read body", peer, scope)
                # The rest of the body would have to be read otherwise.
                response.headers["connection"] = "close"
                return response
            request = Request(
                scope["method"],
                scope["path"],
                headers,
                body,
                peer,
                path_parameters,
                scope.get("query_string", b"").decode("latin-1"),
                receive,
            )
            return await endpoint(request)
        except InvalidInput as error:
            return error_response(400, error.message, error.step, error.peer or peer)
        except MarigoldkeelError as error:
            return error_response(503, error.message, error.step, error.peer or peer)
        except Exception as error:
            logger.exception("unexpected error serving {}", scope["path"])
            return error_response(500, f"internal error: {error}", "http", peer)

    def _reject(
        self, status: int, message: str, step: str, peer: str, scope: dict
    ) -> Response:
        method, headers = scope["method"], decode_headers(scope)
        fields = self.describe_rejection(method, headers)
        content = {"error": message, "step": step, "peer": peer, **fields}
        return Response.from_json(content, status)

    def _match_route(
        self, method: str, path: str
    ) -> tuple[Endpoint | None, dict[str, str]]:
        for route_method, pattern, endpoint in self.routes:
            match = pattern.match(path)
            if match and route_method == method:
                return endpoint, match.groupdict()
        return self.fallback, {}

    async def _read_body(self, receive, peer: str, max_body_bytes: int) -> bytes | None:
        parts = []
        size = 0
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise InvalidInput(
                    "caller disconnected while sending the body", "read body", peer
                )
            part = event.get("body", b"")
            size += len(part)
            if size > max_body_bytes:
                return None
            if not parts and not event.get("more_body"):
                return part
            parts.append(part)
            if not event.get("more_body"):
                return b"".join(parts)

    async def _send(self, receive, send, response: Response) -> None:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers.items()
        ]
        if response.chunks is None:
            headers.append((b"content-length", b"%d" % len(response.body)))
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": headers})
        if response.chunks is not None:
            # uvicorn ignores data sent after a disconnect, so an endless stream would
            # otherwise never be released.
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                async for chunk in response.chunks:
                    await send(
                        {"type": "http.response.body", "body": chunk, "more_body": True}
                    )
                group.cancel_scope.cancel()
        await send({"type": "http.response.body", "body": response.body})


async def _cancel_on_disconnect(receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def decode_headers(scope: dict) -> dict[str, str]:
    """Return the headers of an ASGI request with their names in lower case."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def error_response(status: int, message: str, step: str, peer: str) -> Response:
    """Return an error response in JSON that names the step and the peer."""
    return Response.from_json({"error": message, "step": step, "peer": peer}, status)


class _Server(uvicorn.Server):
    @contextmanager
    def capture_signals(self):
        # The daemons handle signals themselves so that they drain before stopping.
        yield

    async def main_loop(self) -> None:
        # uvicorn looks ten times a second for a request to exit, which would be most of
        # the wake-ups of an idle daemon. These servers are cancelled instead; only the
        # date in the response headers has to be updated.
        while not await self.on_tick(0):
            await anyio.sleep(TICK_INTERVAL_S)

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Read what has arrived, then shut down.

        uvicorn closes idle connections whether or not a request on them is unread; if
        the event loop is late, that request may have been sent long before.
        """
        if self.started:
            await self._stop_accepting(sockets or [])
            for _ in range(MAX_UNREAD_CHECKS):
                if not self._has_unread_connections():
                    break
                await anyio.lowlevel.checkpoint()
        await super().shutdown(sockets)

    async def _stop_accepting(self, listeners: list[socket.socket]) -> None:
        """Accept the connections that wait at the listeners, and close these."""
        loop = asyncio.get_running_loop()
        for listener in listeners:
            loop.remove_reader(listener)
        # asyncio drops connections that it has accepted if their server is closed.
        for _ in range(ACCEPT_ROUNDS):
            await anyio.lowlevel.checkpoint()
        accepted = []
        for listener in listeners:
            with suppress(OSError):
                while True:
                    accepted.append(listener.accept()[0])
        for server in self.servers:
            server.close()
        connecting = []
        for connection in accepted:
            connection.setblocking(False)
            connecting.append(
                loop.connect_accepted_socket(self._make_protocol, connection)
            )
        await asyncio.gather(*connecting, return_exceptions=True)

    def _make_protocol(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(
            self.config, self.server_state, self.lifespan.state
        )

    def _has_unread_connections(self) -> bool:
        """Return whether anything has arrived on a connection without a request."""
        if any(connection.unparsed for connection in self.server_state.connections):
            return True
        poller = select.poll()
        for connection in self.server_state.connections:
            is_idle = connection.cycle is None or connection.cycle.response_complete
            if is_idle and not connection.transport.is_closing():
                sock = connection.transport.get_extra_info("socket")
                poller.register(sock, select.POLLIN)
        return bool(poller.poll(0))


async def serve_http(
    application: HttpApplication,
    host: str,
    port: int,
    guard: ClientGuard | None = None,
    *,
    task_status: TaskStatus = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``application`` until cancelled.

    Reports the bound address ``"host:port"`` as the task status.

    :param guard: Decides about the connections of all ports of the process.
    :raises OSError: If the address cannot be bound.
    """
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    # Accepted sockets inherit TCP_NODELAY. asyncio does not set it on sockets created
    # with protocol 0, which delayed each response by 40 ms waiting for a delayed ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    config = uvicorn.Config(
        application,
        http=partial(
            LimitedHttpProtocol,
            guard=guard or default_guard(),
            get_limits=application.get_limits,
        ),
        ws="none",
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        timeout_keep_alive=75,
    )
    server = _Server(config)
    bound_host, bound_port = listener.getsockname()[:2]
    task_status.started(f"{bound_host}:{bound_port}")
    try:
        await server.serve(sockets=[listener])
    finally:
        # Without an explicit shutdown, a cancelled server would keep answering requests
        # on keep-alive connections.
        server.force_exit = True
        with anyio.CancelScope(shield=True):
            await server.shutdown(sockets=[listener])
