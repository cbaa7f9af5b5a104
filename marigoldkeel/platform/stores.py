"""Client of the platform's metadata store."""

import time
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import AsyncIterator, Callable
from typing import Any
from urllib.parse import quote

import msgspec

from marigoldkeel.deadlines import fail_without_progress
from marigoldkeel.exceptions import MarigoldkeelError, StoreUnavailable
from marigoldkeel.platform.calls import PlatformClient, Reply
from marigoldkeel.stores import (
    CALL_TIMEOUT_S,
    Change,
    LeasedStore,
    Snapshot,
    StoredValue,
    Write,
    encode_key,
    register_store,
    validate_writes,
)
from marigoldkeel.watches import WatchPosition


# Concurrent calls, including pending watches: the directory and the lease, or the plan.
MAX_CONNECTIONS = 4
# Added to the requested wait time of a watch to obtain its timeout.
WATCH_MARGIN_S = 0.4


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    rev: int = 0
    removed: bool = False


class _ItemResponse(msgspec.Struct):
    key: str
    rev: int
    value: str = ""


class _RangeResponse(msgspec.Struct):
    current_rev: int
    items: list[_Item] = []
    more_pages: bool = False


class _WatchResponse(msgspec.Struct):
    current_rev: int
    events: list[_Item] = []


class _LeaseResponse(msgspec.Struct):
    lease: int


class _WriteResponse(msgspec.Struct):
    rev: int


@register_store("platform")
class PlatformStore(LeasedStore):
    """Client of the platform's store.

    :param url: IP address and port.
    :param timeout_s: How long a call may go on without anything of its response.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = CALL_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self.clock = clock
        self.client = PlatformClient(url, MAX_CONNECTIONS, fail_without_progress)
        self.timeout_s = timeout_s

    async def get(self, key: str) -> StoredValue | None:
        encode_key(key, "store get")
        reply = await self._call("get", "GET", f"/api/kv-key?key={quote(key)}")
        if reply.status == 404:
            return None
        item = self._decode(reply, _ItemResponse, "get")
        return StoredValue(item.key, self._decode_value(item.value, "get"), item.rev)

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Return all values whose keys start with a prefix.

        The pages are not read atomically. The returned revision is that of the first
        page, so a watch from that revision also yields changes made between the pages.
        """
        values: list[StoredValue] = []
        revision, after = 0, ""
        sent_at = self.clock()
        while True:
            target = f"/api/kv-range?prefix={quote(prefix)}"
            if after:
                target += f"&after={quote(after)}"
            reply = await self._call("range", "GET", target)
            page = self._decode(reply, _RangeResponse, "range")
            revision = revision or page.current_rev
            values += [
                StoredValue(item.key, self._decode_value(item.value, "range"), item.rev)
                for item in page.items
            ]
            if not page.more_pages or not page.items:
                self.confirmed_at[prefix] = sent_at
                return Snapshot(values, revision)
            after = page.items[-1].key

    async def compare_and_swap(self, writes: list[Write]) -> int | None:
        validate_writes(writes)
        content = {
            "expect_rev": [
                {"key": write.key, "rev": write.expected_revision} for write in writes
            ],
            "set_keys": [
                {"key": write.key, "value": b64encode(write.data).decode()}
                for write in writes
            ],
        }
        reply = await self._call("txn", "POST", "/api/kv-txn", content)
        if reply.status == 412:
            return None
        return self._decode(reply, _WriteResponse, "txn").rev

    async def put_with_lease(self, key: str, data: bytes, lease: int) -> None:
        item = {"key": key, "value": b64encode(data).decode(), "lease": lease}
        reply = await self._call("txn", "POST", "/api/kv-txn", {"set_keys": [item]})
        self._decode(reply, _WriteResponse, "txn")

    async def grant_lease(self, ttl_s: float) -> int:
        content = {"ttl_ms": round(ttl_s * 1000)}
        reply = await self._call("lease", "POST", "/api/kv-lease", content)
        return self._decode(reply, _LeaseResponse, "lease").lease

    async def renew_lease(self, lease: int) -> bool:
        reply = await self._call("renew", "POST", f"/api/kv-keep/{lease}", {})
        if reply.status == 404:
            return False
        self._check(reply, "renew")
        return True

    async def watch_changes(
        self, prefix: str, after_revision: int, idle_timeout_s: float
    ) -> AsyncIterator[Change]:
        wait_ms = round(idle_timeout_s * 1000)
        position = WatchPosition(after_revision)
        while True:
            target = (
                f"/api/kv-watch?prefix={quote(prefix)}"
                f"&after={position.after}&wait_ms={wait_ms}"
            )
            sent_at = self.clock()
            reply = await self._call(
                "watch", "GET", target, timeout_s=idle_timeout_s + WATCH_MARGIN_S
            )
            answer = self._decode(reply, _WatchResponse, "watch")
            try:
                position.record(
                    answer.current_rev,
                    [event.rev for event in answer.events],
                    self.clock(),
                )
            except StoreUnavailable as error:
                raise self._unavailable("watch", error.message) from None
            self.confirmed_at[prefix] = sent_at
            for event in answer.events:
                data = (
                    None if event.removed else self._decode_value(event.value, "watch")
                )
                yield Change(event.key, data, event.rev)

    async def watch_prefix(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[StoredValue]:
        changes = self.watch_changes(prefix, after_revision, self.timeout_s)
        async for change in changes:
            if change.data is None:
                raise StoreUnavailable(
                    "a key was removed; read the prefix again",
                    "store watch",
                    self.client.address,
                )
            yield StoredValue(change.key, change.data, change.revision)

    async def aclose(self) -> None:
        await self.client.aclose()

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        content: Any = None,
        timeout_s: float | None = None,
    ) -> Reply:
        self.counts[kind] += 1
        try:
            return await self.client.call(
                method, target, timeout_s or self.timeout_s, content
            )
        except MarigoldkeelError as error:
            raise self._unavailable(kind, error.message) from None

    def _check(self, reply: Reply, kind: str) -> None:
        if reply.status != 200:
            text = reply.body[:200].decode(errors="replace")
            raise self._unavailable(kind, f"HTTP status {reply.status}: {text}")

    def _decode(self, reply: Reply, content_type: Any, kind: str) -> Any:
        self._check(reply, kind)
        try:
            return reply.decode(content_type, f"store {kind}")
        except MarigoldkeelError as error:
            raise self._unavailable(kind, error.message) from None

    def _decode_value(self, text: str, kind: str) -> bytes:
        try:
            return b64decode(text, validate=True)
        except (Base64Error, ValueError) as error:
            raise self._unavailable(kind, f"value is not base64: {error}") from None

    def _unavailable(self, kind: str, reason: str) -> StoreUnavailable:
        return StoreUnavailable(
            f"store failed: {reason}", f"store {kind}", self.client.address
        )
