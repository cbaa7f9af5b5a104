"""An emulator of the platform's metadata store, with fault injection."""

from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import anyio
import msgspec

from marigoldkeel.servers import HttpApplication, Request, Response


PAGE_ITEMS = 500


@dataclass(slots=True)
class StoredItem:
    """A key with its value and metadata.

    :ivar rev: Revision of the last write.
    :ivar created: Revision of the first write.
    :ivar lease: Number of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    rev: int
    created: int
    lease: int = 0

    def encode(self) -> dict:
        """Return the JSON representation."""
        return {
            "key": self.key,
            "value": b64encode(self.value).decode(),
            "rev": self.rev,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class Lease:
    """A lease and its time of expiry."""

    ttl_s: float
    ends_at: float


@dataclass
class StoreEmulator:
    """The state of the store, served over HTTP by `application`.

    :ivar compacted_revision: Watches from an earlier revision are refused.
    :ivar counts: Number of calls by name.
    :ivar error_status: Status of the response to every call; 0 to serve calls normally.
    :ivar silent: Whether calls get no response at all.
    :ivar delay_s: Delay of each response.
    :ivar withholds_events: Whether watches get no events, though the revision that they
        are told includes them.
    :ivar write_responses_to_drop: Number of next writes that are executed without a
        response.
    """

    rev: int = 1
    items: dict[str, StoredItem] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    compacted_revision: int = 0
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease: int = 1
    counts: Counter = field(default_factory=Counter)
    error_status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    withholds_events: bool = False
    write_responses_to_drop: int = 0

    def __post_init__(self):
        self.changed = anyio.Event()
        self.application = HttpApplication()
        self.application.default(self._serve)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.rev += 1
        created = self.items[key].created if key in self.items else self.rev
        item = StoredItem(key, value, self.rev, created, lease)
        self.items[key] = item
        self._record_event(item.encode())
        return self.rev

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._record_event({"key": key, "rev": self.rev, "removed": True})

    def restore(self) -> None:
        """Remove all faults."""
        self.error_status, self.silent = 0, False
        self.withholds_events = False
        self.delay_s, self.write_responses_to_drop = 0.0, 0

    def compact(self) -> None:
        """Drop the history of changes, so that older watches fail."""
        self.history.clear()
        self.compacted_revision = self.rev
        self._notify_watchers()

    def revoke(self, prefix: str) -> None:
        """Remove all keys with a prefix without ending their leases."""
        for key in [key for key in self.items if key.startswith(prefix)]:
            self.remove(key)

    def expire(self) -> None:
        """Remove expired leases and the keys attached to them."""
        now = anyio.current_time()
        for number, lease in list(self.leases.items()):
            if now > lease.ends_at:
                del self.leases[number]
                for key in [k for k, i in self.items.items() if i.lease == number]:
                    self.remove(key)

    def _record_event(self, event: dict) -> None:
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _serve(self, request: Request) -> Response:
        name = request.path.removeprefix("/api/").split("/")[0]
        self.counts[name] += 1
        if self.silent:
            await anyio.sleep_forever()
        if self.error_status:
            return Response.from_json({}, self.error_status)
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        self.expire()
        query = {key: value[0] for key, value in parse_qs(request.query).items()}
        match name:
            case "kv-key":
                return self._get(query["key"])
            case "kv-range":
                return self._range(query["prefix"], query.get("after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                response = self._transact(msgspec.json.decode(request.body))
                if self.write_responses_to_drop:
                    self.write_responses_to_drop -= 1
                    await anyio.sleep_forever()
                return response
            case "kv-lease":
                return self._grant(msgspec.json.decode(request.body)["ttl_ms"])
            case "kv-keep":
                return self._keep(int(request.path.split("/")[-1]))
        return Response.from_json({"error": "no such call"}, 404)

    def _get(self, key: str) -> Response:
        if key not in self.items:
            return Response.from_json({"current_rev": self.rev}, 404)
        return Response.from_json({**self.items[key].encode(), "current_rev": self.rev})

    def _range(self, prefix: str, after: str) -> Response:
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        content = {
            "items": [self.items[key].encode() for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self.rev,
        }
        return Response.from_json(content)

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        with anyio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if after < self.compacted_revision:
                    return Response.from_json({}, 410)
                if self._events(query["prefix"], after):
                    break
                await self.changed.wait()
        events = self._events(query["prefix"], after)
        return Response.from_json({"events": events, "current_rev": self.rev})

    def _events(self, prefix: str, after: int) -> list[dict]:
        if self.withholds_events:
            return []
        return [
            event
            for event in self.history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    def _transact(self, content: dict) -> Response:
        for row in content.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (item.rev if item else 0) != row["rev"]:
                return Response.from_json({"items": []}, 412)
        for row in content.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return Response.from_json({}, 404)
        for row in content.get("set_keys", []):
            self.put(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in content.get("remove", []):
            self.remove(key)
        return Response.from_json({"rev": self.rev})

    def _grant(self, ttl_ms: int) -> Response:
        number = self.next_lease
        self.next_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[number] = Lease(ttl_s, anyio.current_time() + ttl_s)
        return Response.from_json({"lease": number, "ttl_ms": ttl_ms})

    def _keep(self, number: int) -> Response:
        lease = self.leases.get(number)
        if lease is None:
            return Response.from_json({}, 404)
        lease.ends_at = anyio.current_time() + lease.ttl_s
        return Response.from_json({"ttl_ms": round(lease.ttl_s * 1000)})
