"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

import rig_web as web


ANSWER_S = 0.004


class Store:
    """The store. Each daemon has an address of its own, so that it can be turned away.

    :ivar turned_away: The names of the daemons that get 503.
    """

    def __init__(self):
        self.rev = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.changed = asyncio.Event()
        self.turned_away: set[str] = set()

    async def open(self, name: str, address: str) -> None:
        """Serve one daemon at an address."""

        async def handle(method, path, query, headers, body):
            await asyncio.sleep(ANSWER_S)
            if name in self.turned_away:
                return 503, {}
            return await self.handle(method, path, query, body)

        host, _, port = address.rpartition(":")
        await web.serve(host, int(port), handle)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._record({"key": key, "rev": self.rev, "removed": True})

    def expire(self) -> None:
        """End the leases that have run out."""
        now = time.monotonic()
        for lease in [n for n, (_, end) in self.leases.items() if now > end]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, body):
        self.expire()
        name = path.removeprefix("/api/").split("/")[0]
        content = json.loads(body) if body else {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.rev}
            return 200, {**item, "current_rev": self.rev}
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "more_pages": more, "current_rev": self.rev}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(content)
        if name == "kv-lease":
            lease = len(self.history) * 1000 + len(self.leases) + 1
            while lease in self.leases:
                lease += 1
            ttl_s = content["ttl_ms"] / 1000
            self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": lease, "ttl_ms": content["ttl_ms"]}
        if name == "kv-keep":
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if name == "kv-lease-end":
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is not None:
                lease[1] = 0.0
            self.expire()
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self.expire()
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            changed = self.changed
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, content):
        for row in content.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": []}
        for row in content.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in content.get("set_keys", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in content.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}
