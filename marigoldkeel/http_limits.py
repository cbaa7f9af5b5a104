"""The HTTP protocol of the servers, with limits on what a connection can send or keep.

uvicorn's httptools protocol has no limit on heads, trailers, chunk framing, pipelined
requests or unread responses. This subclass counts the bytes that arrive besides body
data, and looks at single headers only if a request is larger than ordinary ones.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from marigoldkeel.client_guard import (
    CHECK_INTERVAL_S,
    HTTP_SHARE,
    RANK_IDLE,
    RANK_LONG_IDLE,
    RANK_UNFINISHED,
    RANK_UNUSED,
    ClientGuard,
)
from marigoldkeel.client_limits import UNACCOUNTED_BYTES, ClientLimits, Holding


# Data is parsed in pieces of this size, so that one read cannot create objects far
# beyond a limit before it is checked.
PIECE_BYTES = 16 * 1024
# A client that sends single bytes as chunks sends five bytes of framing with each.
FRAMING_PER_BODY_BYTE = 8
# A smaller limit on heads has no effect, so that ordinary ones need no check.
MIN_HEADER_LIMIT_BYTES = 1024
# Requests that wait for the answers to earlier ones on their connection.
MAX_PIPELINED = 16
# Memory of one header besides its text, at the protocol and at the application.
HEADER_BYTES = 400
# Requests with fewer headers need no accounting of them.
FEW_HEADERS = 32
# Memory of one pipelined request besides its text.
PIPELINED_BYTES = 4 * 1024
# A response that is written beyond this waits until the client has read some of it.
MAX_WRITE_BUFFER_BYTES = 16 * 1024
# A body of which nothing arrives for this long is given up. Callers wait a few seconds
# for an answer.
BODY_STALL_S = 10.0
# A response of which the client reads nothing for this long is given up.
UNREAD_RESPONSE_S = 60.0
# How long a closed connection is kept so that the client can read why.
CLOSE_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1
METHOD_AND_VERSION_BYTES = len(b"POST  HTTP/1.1\r\n\r\n")
HEADER_SEPARATOR_BYTES = len(b": \r\n")


class TooManyRequests(Exception):
    """Raised in the parser when a connection has too many unanswered requests."""


class LimitedHttpProtocol(HttpToolsProtocol):
    """One connection of a client.

    :param guard: Decides about connections and memory for all ports of the process.
    :param get_limits: Returns the limits in force.
    :ivar framing: Bytes of the current message that are not body data.
    :ivar body_received: Body bytes of the current message.
    :ivar headers_bytes: Memory of the headers of the current message besides their
        text, once its head is complete and if there are many.
    :ivar in_body: Whether the head of the current message is complete and its end has
        not been reached.
    :ivar kept: Bytes of the request that is being answered.
    :ivar completed: Whether the data being parsed has completed a message.
    :ivar active: The request that is being answered, or was answered last.
    :ivar unparsed: What has arrived and waits for its turn to be parsed.
    :ivar holding: What is accounted for the connection; None for ordinary requests.
    """

    def __init__(
        self,
        *arguments,
        guard: ClientGuard,
        get_limits: Callable[[], ClientLimits],
        **options,
    ):
        super().__init__(*arguments, **options)
        self.guard = guard
        self.get_limits = get_limits
        self.address = ""
        self.framing = 0
        self.body_received = 0
        self.headers_bytes = 0
        self.in_body = False
        self.completed = False
        self.kept = 0
        self.active: RequestResponseCycle | None = None
        self.unparsed = bytearray()
        self.holding: Holding | None = None
        self.refused = False
        self.quiet_checks = 0
        self.checked_bytes = 0
        self.abort_task: asyncio.TimerHandle | None = None

    # Connection

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.address = self.client[0] if self.client else ""
        if not self.guard.admit(self, HTTP_SHARE):
            self.refused = True
            transport.abort()
            return
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        # uvicorn has no limit on a connection without a first request.
        self._limit_idle_time()

    def _limit_idle_time(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.guard.forget(self)
        self._release()
        self._unset_keepalive_if_required()
        if self.abort_task is not None:
            self.abort_task.cancel()
        self.pipeline.clear()
        self.unparsed.clear()
        # uvicorn notifies the request that was received last, which may be a later one.
        self._disconnect(self.active)
        super().connection_lost(exc)
        self._clear_headers()

    def closing_rank(self, now: float) -> tuple[int, float] | None:
        if self.refused or self.transport.is_closing():
            return None
        if self._is_answering:
            return None
        if self._is_unfinished:
            rank = RANK_UNFINISHED if self.in_body else RANK_UNUSED
            return rank, self.quiet_checks * CHECK_INTERVAL_S
        if self.timeout_keep_alive_task is None:
            return RANK_UNUSED, 0.0
        left_s = self.timeout_keep_alive_task.when() - self.loop.time()
        idle_s = self.timeout_keep_alive - left_s
        if self.cycle is None:
            return RANK_UNUSED, idle_s
        is_long = idle_s >= self.get_limits().idle_timeout_s
        return RANK_LONG_IDLE if is_long else RANK_IDLE, idle_s

    def drop(self, reason: str) -> None:
        if self._is_unfinished:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        else:
            self.guard.count(reason)
            self._close()

    def check_progress(self) -> None:
        if self.transport.is_closing():
            self.guard.unwatch(self)
            return
        received = self.framing + self.body_received
        self.quiet_checks += 1
        if self.flow.write_paused:
            if self.quiet_checks * CHECK_INTERVAL_S >= UNREAD_RESPONSE_S:
                self.guard.count("response not read")
                self.transport.abort()
        elif self.unparsed:
            self.quiet_checks = 0
        elif not self._is_unfinished:
            self.guard.unwatch(self)
        elif not self.in_body and not self._has_begun:
            # Only empty lines, after which uvicorn has no limit on idle connections.
            self.guard.unwatch(self)
            if not self._is_answering and self.timeout_keep_alive_task is None:
                self._limit_idle_time()
        elif not self.in_body:
            limit_s = self.get_limits().header_timeout_s
            # The first interval may have been a short one.
            if (self.quiet_checks - 1) * CHECK_INTERVAL_S >= limit_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT, "head not complete in time")
        elif received != self.checked_bytes or self.flow.read_paused:
            self.checked_bytes = received
            self.quiet_checks = 0
        elif self.quiet_checks * CHECK_INTERVAL_S >= BODY_STALL_S:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, "body not complete in time")

    # Data

    @property
    def _is_unfinished(self) -> bool:
        """Whether a part of a request has arrived, but its end has not been parsed."""
        return self.in_body or self.framing > 0 or bool(self.unparsed)

    @property
    def _has_begun(self) -> bool:
        """Whether more than empty lines has arrived since the last head."""
        last_scope = self.cycle.scope if self.cycle is not None else None
        return self.scope is not last_scope

    @property
    def _is_answering(self) -> bool:
        """Whether a complete request is being answered."""
        if self.active is None or self.active.response_complete:
            return False
        return not (self.in_body and self.active is self.cycle)

    def data_received(self, data: bytes) -> None:
        if self.refused:
            return
        self._unset_keepalive_if_required()
        if self.unparsed or not self.guard.parsing.take(self.address, len(data)):
            self._defer(data)
        elif len(data) <= PIECE_BYTES:
            self._parse(data)
        else:
            for start in range(0, len(data), PIECE_BYTES):
                self._parse(data[start : start + PIECE_BYTES])
                if self.refused or self.transport.is_closing():
                    return

    def _defer(self, data: bytes) -> None:
        """Keep data until it is the turn of this connection; read nothing meanwhile."""
        if not self.unparsed:
            self.guard.parsing.defer(self)
        self.unparsed += data
        self.transport.pause_reading()
        self._account()

    def parse_piece(self) -> int:
        """Parse the first part of what waits, and return its size."""
        if self.transport.is_closing():
            self.unparsed.clear()
        piece = bytes(self.unparsed[:PIECE_BYTES])
        if not piece:
            return 0
        del self.unparsed[:PIECE_BYTES]
        self._parse(piece)
        is_open = not (self.refused or self.transport.is_closing())
        if is_open and not self.unparsed and not self.flow.read_paused:
            self.transport.resume_reading()
        return len(piece)

    def _parse(self, data: bytes) -> None:
        self.framing += len(data)
        self.completed = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported; the request is served without one.
            pass
        except httptools.HttpParserError as error:
            is_excess = isinstance(error.__context__, TooManyRequests)
            reason = "too many pipelined requests" if is_excess else "malformed request"
            self._refuse(HTTPStatus.BAD_REQUEST, reason)
        if self.refused:
            return
        framing = self.framing
        size = framing + self.body_received + self.headers_bytes + self.kept
        size += len(self.unparsed)
        is_large = size > UNACCOUNTED_BYTES
        if framing and not self.in_body and len(self.headers or ()) > FEW_HEADERS:
            is_large = True
        if is_large or self.holding is not None:
            self._check_size()
        if framing or self.in_body:
            if self not in self.guard.unfinished:
                self.quiet_checks = 0
                self.checked_bytes = 0
                self.guard.watch(self)
        elif self.guard.unfinished and not self.flow.write_paused:
            self.guard.unwatch(self)

    def _check_size(self) -> None:
        """Check the limits of an incomplete message, and account what is kept."""
        limits = self.get_limits()
        allowed = limits.max_header_bytes
        if self.in_body:
            # As many bytes again for trailers.
            allowed += limits.max_header_bytes
            allowed += FRAMING_PER_BODY_BYTE * self.body_received
            is_answered = self.cycle.response_complete
            if is_answered and self.body_received > limits.max_body_bytes:
                self.guard.count("body after its answer")
                self._close()
                return
        if self.framing > allowed:
            if self.in_body:
                self._refuse(HTTPStatus.BAD_REQUEST, "too much chunk framing")
            else:
                self._refuse_head(limits)
            return
        self._account()

    def _account(self) -> None:
        size = self.kept + self.framing + self.body_received + self.headers_bytes
        size += len(self.unparsed)
        if not self.in_body and self.framing:
            size += HEADER_BYTES * len(self.headers or ())
        for cycle, _ in self.pipeline:
            size += PIPELINED_BYTES + getattr(cycle, "kept", 0)
        is_unread = self.flow.write_paused
        if is_unread:
            size += self.transport.get_write_buffer_size()
        holding = self.holding
        if size <= UNACCOUNTED_BYTES:
            self._release()
            return
        if holding is None:
            self.holding = holding = Holding(self, self.address)
            holding.began_at = self.guard.clock()
        holding.unfinished = self._is_unfinished or is_unread
        # Unread responses give way before requests that still arrive.
        holding.received = 0 if is_unread else size
        if not self.guard.resize(holding, size) and not self.refused:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, "memory is short")

    def _release(self) -> None:
        if self.holding is not None:
            self.guard.budget.release(self.holding)
            self.holding = None

    # Callbacks of the parser. Those that are called for each header or piece of a body
    # contain what uvicorn's do, which saves a call.

    def on_header(self, name: bytes, value: bytes) -> None:
        # uvicorn adds the trailers of a chunked body to the headers of the request.
        if self.in_body:
            return
        name = name.lower()
        value = value.rstrip(b" \t")
        if name == b"expect" and value.lower() == b"100-continue":
            self.expect_100_continue = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if len(self.pipeline) >= MAX_PIPELINED:
            raise TooManyRequests
        super().on_headers_complete()
        self.in_body = True
        if not self.pipeline:
            self.active = self.cycle
        if len(self.headers) > FEW_HEADERS:
            self.headers_bytes = HEADER_BYTES * len(self.headers)
        if self.framing > MIN_HEADER_LIMIT_BYTES:
            limits = self.get_limits()
            if self.framing > limits.max_header_bytes:
                self._check_head(limits)

    def _check_head(self, limits: ClientLimits) -> None:
        # The data that was fed may contain more than the head.
        size = METHOD_AND_VERSION_BYTES + len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        if size > limits.max_header_bytes:
            self._refuse_head(limits)

    def on_body(self, body: bytes) -> None:
        size = len(body)
        self.framing -= size
        self.body_received += size
        cycle = self.cycle
        if cycle.response_complete:
            return
        cycle.body += body
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
        cycle.message_event.set()

    def on_message_complete(self) -> None:
        cycle = self.cycle
        cycle.kept = size = self.framing + self.body_received + self.headers_bytes
        self.framing = self.body_received = self.headers_bytes = 0
        self.in_body = False
        self.completed = True
        if cycle.response_complete:
            # The time limit that began with the response ended with the body's data.
            if self.timeout_keep_alive_task is None:
                self._limit_idle_time()
            return
        if not self.pipeline:
            self.kept = size
        cycle.more_body = False
        cycle.message_event.set()

    # Responses

    def on_response_complete(self) -> None:
        self.kept = 0
        if self.pipeline:
            self.active = self.pipeline[-1][0]
            self.kept = getattr(self.active, "kept", 0)
        super().on_response_complete()
        if self.holding is not None and not self.refused:
            self._account()

    def pause_writing(self) -> None:
        super().pause_writing()
        self.quiet_checks = 0
        self.guard.watch(self)
        if not self.refused:
            self._account()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.holding is not None and not self.refused:
            self._account()

    # Refusals

    def _refuse_head(self, limits: ClientLimits) -> None:
        self._refuse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head too large",
            f"head exceeds {limits.max_header_bytes} bytes",
        )

    def _refuse(self, status: HTTPStatus, reason: str, message: str = "") -> None:
        """Answer the request that has not been passed on completely, and close."""
        self.guard.count(reason)
        active = self.active
        # An answer now would be taken for the one to an earlier request.
        if active is None or active.response_complete or self._is_refusable(active):
            self.transport.write(self._refusal(status, message or reason))
        # The application sees the end of the connection instead of a request.
        self._disconnect(active)
        self._close()

    def _is_refusable(self, cycle: RequestResponseCycle) -> bool:
        """Return whether the application has not received the end of a request."""
        is_last = cycle is self.cycle and not cycle.response_started
        return is_last and (self.in_body or (self.completed and not self.framing))

    def _clear_headers(self) -> None:
        """Free the headers of the last request.

        The protocol and its requests refer to each other, so what a closed connection
        has sent would be kept until the next full garbage collection.
        """
        if self.headers is not None:
            self.headers.clear()
        self.url = b""

    def _disconnect(self, cycle: RequestResponseCycle | None) -> None:
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.body = bytearray()
            cycle.message_event.set()

    def _refusal(self, status: HTTPStatus, reason: str) -> bytes:
        host, port = self.client or ("", 0)
        body = msgspec.json.encode(
            {"error": reason, "step": "read request", "peer": f"{host}:{port}"}
        )
        lines = [
            STATUS_LINE[status],
            b"content-type: application/json\r\nconnection: close\r\n",
            b"content-length: %d\r\n" % len(body),
        ]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(b"retry-after: %d\r\n" % RETRY_AFTER_S)
        return b"".join([*lines, b"\r\n", body])

    def _close(self) -> None:
        """Close the connection; keep nothing that it has sent."""
        self.refused = True
        self.guard.unwatch(self)
        self.unparsed.clear()
        self._release()
        self._clear_headers()
        self._unset_keepalive_if_required()
        if self.flow.write_paused:
            self.transport.abort()
            return
        self.transport.close()
        self.abort_task = self.loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)
