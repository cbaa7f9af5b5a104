"""A client of etcd v3 over its JSON gateway."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import anyio
import httpcore
import msgspec

from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.stores import (
    CALL_TIMEOUT_S,
    KeyValueStore,
    Snapshot,
    StoredValue,
    Write,
    encode_key,
    prefix_end,
    register_store,
    validate_writes,
)
from marigoldkeel.transports import parse_address


# A watch without events for this long is reopened. This detects a store that hangs, at
# the cost of one call and without reading the prefix again.
WATCH_IDLE_TIMEOUT_S = 15.0
# With this limit, 8,192 partition records of about 150 bytes are read in 9 calls.
PAGE_LIMIT = 1000
# Bounds the memory used for one response. Values have up to 1 MB, and base64 adds a
# third.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Each open watch occupies one connection.
MAX_CONNECTIONS = 64
# Less than the 75 s after which common servers close an idle connection.
KEEPALIVE_EXPIRY_S = 30.0
# OSError covers the TimeoutError of `anyio.fail_after`. It also covers
# StoreUnavailable, so that must be re-raised before these are handled.
HTTP_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    OSError,
)


class _Header(msgspec.Struct):
    # The first revision of a store is 1.
    revision: int

    def __post_init__(self):
        if self.revision < 1:
            raise ValueError(f"revision {self.revision} is not positive")


class _KeyValue(msgspec.Struct):
    key: bytes
    mod_revision: int
    value: bytes = b""

    def to_stored_value(self, start: bytes, end: bytes) -> StoredValue:
        """Convert a key that was requested with the range ``start`` to ``end``.

        :raises ValueError: If the key is outside the range or its revision is below 1.
        """
        if not start <= self.key < end or self.mod_revision < 1:
            raise ValueError(
                f"unexpected key {self.key!r} at revision {self.mod_revision}"
            )
        return StoredValue(self.key.decode(), self.value, self.mod_revision)


class _RangeResponse(msgspec.Struct):
    header: _Header
    kvs: list[_KeyValue] = []
    more: bool = False


class _TxnResponse(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _WatchEvent(msgspec.Struct):
    kv: _KeyValue
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    header: _Header
    events: list[_WatchEvent] = []
    canceled: bool = False
    cancel_reason: str = ""
    compact_revision: int = 0


class _WatchResponse(msgspec.Struct):
    result: _WatchResult


class _ResponseTooLarge(StoreUnavailable):
    pass


class _LineReader:
    """Splits a streamed response into lines of bounded length."""

    def __init__(self, chunks: AsyncIterator[bytes]):
        self.chunks = chunks
        self.buffer = bytearray()

    async def next_line(self) -> bytes | None:
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched > MAX_RESPONSE_BYTES:
                raise ValueError(f"line exceeds {MAX_RESPONSE_BYTES} bytes")
            chunk = await anext(self.chunks, None)
            if chunk is None:
                if self.buffer:
                    raise ValueError("stream ended inside a line")
                return None
            self.buffer += chunk
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return line


@register_store("etcd")
class EtcdStore(KeyValueStore):
    """A client of etcd v3 that uses its JSON gateway.

    :param url: ``http://`` followed by an IP address with a port.
    :param timeout_s: Timeout of each call in seconds.
    :param watch_idle_timeout_s: Seconds without events after which a watch is reopened.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = CALL_TIMEOUT_S,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
        page_limit: int = PAGE_LIMIT,
    ):
        super().__init__()
        self.peer = url.removeprefix("http://").rstrip("/")
        if not url.startswith("http://"):
            raise InvalidInput(
                f"store URL {url!r} does not start with http://", step="open store"
            )
        parse_address(self.peer)
        self.timeout_s = timeout_s
        self.watch_idle_timeout_s = watch_idle_timeout_s
        self.page_limit = page_limit
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def get(self, key: str) -> StoredValue | None:
        start = encode_key(key, "store range")
        reply = await self._call("range", {"key": start}, _RangeResponse)
        values = self._to_stored_values("range", reply.kvs, start, start + b"\0")
        return values[0] if values else None

    async def get_prefix(self, prefix: str) -> Snapshot:
        start = encode_key(prefix, "store range")
        end = prefix_end(start)
        values: list[StoredValue] = []
        limit, revision, more = self.page_limit, 0, True
        while more:
            page = {"key": start, "range_end": end, "limit": str(limit)}
            if revision:
                # All pages are read at the revision of the first one.
                page["revision"] = str(revision)
            try:
                reply = await self._call("range", page, _RangeResponse)
            except _ResponseTooLarge:
                if limit == 1:
                    raise
                limit = max(1, limit // 8)
                continue
            values += self._to_stored_values("range", reply.kvs, start, end)
            revision = revision or reply.header.revision
            more = reply.more
            if more and not reply.kvs:
                raise self._unavailable(
                    "range", "empty page although more pages were announced"
                )
            if more:
                start = reply.kvs[-1].key + b"\0"
        return Snapshot(values, revision)

    async def compare_and_swap(self, writes: list[Write]) -> int | None:
        validate_writes(writes)
        compare = [
            {
                "key": write.key.encode(),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(write.expected_revision),
            }
            for write in writes
        ]
        success = [
            {"request_put": {"key": write.key.encode(), "value": write.data}}
            for write in writes
        ]
        content = {"compare": compare, "success": success}
        reply = await self._call("txn", content, _TxnResponse)
        return reply.header.revision if reply.succeeded else None

    async def watch_prefix(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[StoredValue]:
        start = encode_key(prefix, "store watch")
        end = prefix_end(start)
        watching = True
        while watching:
            async with AsyncExitStack() as stack:
                request = {
                    "key": start,
                    "range_end": end,
                    "start_revision": str(after_revision + 1),
                }
                lines = await self._open_watch(stack, {"create_request": request})
                while True:
                    try:
                        line = await lines.next_line()
                    except httpcore.ReadTimeout:
                        # Reopened after the last revision. A line never ends inside a
                        # transaction, so no change is lost.
                        break
                    except (*HTTP_ERRORS, ValueError) as error:
                        raise self._unavailable("watch", error) from error
                    watching = line is not None
                    if not watching:
                        break
                    for value in self._decode_events(line, start, end):
                        yield value
                        after_revision = value.revision

    async def aclose(self) -> None:
        await self.pool.aclose()

    async def _open_watch(self, stack: AsyncExitStack, content: dict) -> _LineReader:
        self.counts["watch"] += 1
        try:
            with anyio.fail_after(self.timeout_s):
                response = await stack.enter_async_context(
                    self._stream("watch", content, {"read": self.watch_idle_timeout_s})
                )
                await self._check_status("watch", response)
        except StoreUnavailable:
            raise
        except HTTP_ERRORS as error:
            raise self._unavailable("watch", error) from error
        return _LineReader(response.aiter_stream())

    def _decode_events(
        self, line: bytes, start: bytes, end: bytes
    ) -> list[StoredValue]:
        result = self._decode("watch", line, _WatchResponse).result
        if result.canceled or result.compact_revision:
            reason = result.cancel_reason or f"compacted at {result.compact_revision}"
            raise self._unavailable("watch", f"watch was cancelled: {reason}")
        if any(event.type != "PUT" for event in result.events):
            raise self._unavailable(
                "watch", "a watched key was deleted; read the prefix again"
            )
        return self._to_stored_values(
            "watch", [event.kv for event in result.events], start, end
        )

    def _stream(self, operation: str, content: dict, timeouts: dict[str, float]):
        return self.pool.stream(
            "POST",
            f"http://{self.peer}/v3/{'kv/' * (operation != 'watch')}{operation}",
            headers={"content-type": "application/json"},
            content=msgspec.json.encode(content),
            extensions={"timeout": timeouts},
        )

    async def _call(self, operation: str, content: dict, response_type: type) -> Any:
        self.counts[operation] += 1
        try:
            with anyio.fail_after(self.timeout_s):
                async with self._stream(operation, content, {}) as response:
                    await self._check_status(operation, response)
                    body = await self._read_body(operation, response)
        except StoreUnavailable:
            raise
        except HTTP_ERRORS as error:
            raise self._unavailable(operation, error) from error
        return self._decode(operation, body, response_type)

    async def _check_status(self, operation: str, response: httpcore.Response) -> None:
        if response.status != 200:
            body = await self._read_body(operation, response)
            reason = body[:200].decode(errors="replace")
            raise self._unavailable(
                operation, f"HTTP status {response.status}: {reason}"
            )

    async def _read_body(self, operation: str, response: httpcore.Response) -> bytes:
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise _ResponseTooLarge(
                    f"response exceeds {MAX_RESPONSE_BYTES} bytes",
                    f"store {operation}",
                    self.peer,
                )
        return bytes(body)

    def _decode(self, operation: str, body: bytes, response_type: type) -> Any:
        try:
            # The gateway encodes 64-bit integers as strings.
            return msgspec.json.decode(body, type=response_type, strict=False)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._unavailable(
                operation, f"malformed response: {error}"
            ) from error

    def _to_stored_values(
        self, operation: str, key_values: list[_KeyValue], start: bytes, end: bytes
    ) -> list[StoredValue]:
        try:
            return [pair.to_stored_value(start, end) for pair in key_values]
        except ValueError as error:
            raise self._unavailable(
                operation, f"malformed response: {error}"
            ) from error

    def _unavailable(self, operation: str, reason: object) -> StoreUnavailable:
        if type(reason) is TimeoutError:
            reason = f"no response within {self.timeout_s} s"
        elif isinstance(reason, Exception):
            reason = f"{type(reason).__name__}: {reason}"
        return StoreUnavailable(
            f"store call failed: {reason}", f"store {operation}", self.peer
        )
