"""Guards against lost, partial, repeated or misreported store reads and writes."""

from contextlib import aclosing, asynccontextmanager

import anyio
import httpcore
import msgspec
import pytest

from marigoldkeel import etcd
from marigoldkeel.etcd import EtcdStore
from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.memory import MemoryStore
from marigoldkeel.servers import HttpApplication, Response, serve_http
from marigoldkeel.standins import StoreStandin
from marigoldkeel.stores import (
    MAX_WRITES,
    Snapshot,
    StoredValue,
    Write,
    open_store,
)


# Ends a test that would otherwise hang; no test depends on its length.
HANG_LIMIT_S = 30
both_kinds = pytest.mark.parametrize("kind", ["memory", "etcd"])


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def serve(application):
    with anyio.fail_after(HANG_LIMIT_S):
        async with anyio.create_task_group() as group:
            address = await group.start(serve_http, application, "127.0.0.1", 0)
            yield f"http://{address}"
            group.cancel_scope.cancel()


@asynccontextmanager
async def open_test_store(kind, timeout_s=HANG_LIMIT_S, **options):
    """Yield a client and the object whose attributes inject faults."""
    if kind == "memory":
        with anyio.fail_after(HANG_LIMIT_S):
            store = MemoryStore(timeout_s=timeout_s)
            yield store, store
        return
    standin = StoreStandin()
    async with serve(standin) as url:
        async with EtcdStore(url, timeout_s, **options) as store:
            yield store, standin


async def read_changes(watch, count):
    return [await anext(watch) for _ in range(count)]


TRANSACTIONS = [
    ("create", [Write("/a", b"2", 0)], None),
    ("stale", [Write("/a", b"2", 9)], None),
    ("current", [Write("/a", b"\0\xff", 2)], 3),
    ("missing key", [Write("/é", b"", 0)], 3),
    ("one of two is stale", [Write("/b", b"2", 2), Write("/c", b"2", 7)], None),
    ("two", [Write("/b", b"2", 2), Write("/c", b"", 0)], 3),
]


@both_kinds
@pytest.mark.parametrize("writes, expected", [case[1:] for case in TRANSACTIONS])
@pytest.mark.anyio
async def test_transaction_applies_all_writes_or_none(kind, writes, expected):
    async with open_test_store(kind) as (store, _):
        before = [StoredValue("/a", b"1", 2), StoredValue("/b", b"", 2)]
        first = [Write(value.key, value.data, 0) for value in before]
        assert await store.compare_and_swap(first) == 2
        assert await store.compare_and_swap(writes) == expected
        values = {value.key: value for value in before}
        if expected:
            values |= {w.key: StoredValue(w.key, w.data, expected) for w in writes}
        snapshot = await store.get_prefix("/")
        assert snapshot == Snapshot(sorted(values.values(), key=key_of), expected or 2)
        for write in writes:
            assert await store.get(write.key) == values.get(write.key)
        assert store.counts == {"txn": 2, "range": 1 + len(writes)}


def key_of(value):
    return value.key


@both_kinds
@pytest.mark.parametrize(
    "writes",
    [
        [],
        [Write("", b"", 0)],
        [Write("a", b"", 0), Write("a", b"", 0)],
        [Write(str(n), b"", 0) for n in range(MAX_WRITES + 1)],
    ],
)
@pytest.mark.anyio
async def test_invalid_transaction_is_refused_before_it_is_sent(kind, writes):
    async with open_test_store(kind) as (store, _):
        with pytest.raises(InvalidInput):
            await store.compare_and_swap(writes)
        assert store.counts == {}


@both_kinds
@pytest.mark.anyio
async def test_prefix_excludes_neighbouring_keys(kind):
    async with open_test_store(kind) as (store, _):
        keys = ["/o", "/p", "/p/", "/p/1", "/p/é", "/p/\U0010ffff", "/p0", "/q"]
        await store.compare_and_swap([Write(key, b"", 0) for key in keys])
        snapshot = await store.get_prefix("/p/")
        assert [value.key for value in snapshot.values] == keys[2:6]


@pytest.mark.anyio
async def test_pages_show_one_revision_while_writes_continue(monkeypatch):
    async with open_test_store("etcd", page_limit=2) as (store, standin):
        keys = [f"/{n}" for n in range(5)]
        await store.compare_and_swap([Write(key, b"old" * 99, 0) for key in keys])
        read = standin.read

        def write_before_later_pages(start, end, limit, revision):
            if revision:
                standin.swap({}, {b"/4": b"new", b"/5": b"new"})
            return read(start, end, limit, revision)

        standin.read = write_before_later_pages
        snapshot = await store.get_prefix("/")
        assert [value.key for value in snapshot.values] == keys
        assert {value.revision for value in snapshot.values} == {2}
        assert (snapshot.revision, store.counts["range"]) == (2, 3)

        # A page above the size limit is read again as smaller pages.
        monkeypatch.setattr(etcd, "MAX_RESPONSE_BYTES", 700)
        store.page_limit = 8
        snapshot = await store.get_prefix("/")
        assert len(snapshot.values) == 6
        monkeypatch.setattr(etcd, "MAX_RESPONSE_BYTES", 100)
        with pytest.raises(StoreUnavailable, match="exceeds 100 bytes"):
            await store.get_prefix("/")


@both_kinds
@pytest.mark.anyio
async def test_watch_replays_older_changes_then_follows_new_ones(kind):
    async with open_test_store(kind) as (store, _):
        for n in range(3):
            await store.compare_and_swap([Write(f"/a/{n}", b"", 0)])
            await store.compare_and_swap([Write(f"/b/{n}", b"", 0)])
        async with aclosing(store.watch_prefix("/a/", 2)) as watch:
            replayed = [StoredValue("/a/1", b"", 4), StoredValue("/a/2", b"", 6)]
            assert await read_changes(watch, 2) == replayed
            await store.compare_and_swap([Write("/b/0", b"", 3)])
            await store.compare_and_swap([Write("/a/0", b"x", 2)])
            assert await read_changes(watch, 1) == [StoredValue("/a/0", b"x", 9)]


@both_kinds
@pytest.mark.anyio
async def test_watch_ends_when_the_store_goes_down(kind):
    async with open_test_store(kind) as (store, faults):
        await store.compare_and_swap([Write("/a", b"", 0)])
        async with aclosing(store.watch_prefix("/", 0)) as watch:
            await read_changes(watch, 1)
            faults.down = True
            assert [value async for value in watch] == []
        with pytest.raises(StoreUnavailable):
            await anext(store.watch_prefix("/", 0))


@both_kinds
@pytest.mark.anyio
async def test_watch_after_a_compacted_revision_fails(kind):
    async with open_test_store(kind) as (store, faults):
        faults.max_history = 4
        for revision in range(5):
            await store.compare_and_swap([Write("/a", b"", revision and revision + 1)])
        with pytest.raises(StoreUnavailable, match="compacted"):
            await anext(store.watch_prefix("/", 1))
        async with aclosing(store.watch_prefix("/", 4)) as watch:
            assert [value.revision for value in await read_changes(watch, 2)] == [5, 6]


@pytest.mark.anyio
async def test_idle_watch_is_reopened_without_losing_or_repeating_changes():
    async with open_test_store("etcd", watch_idle_timeout_s=0.02) as (store, standin):
        await store.compare_and_swap([Write("/a", b"", 0), Write("/b", b"", 0)])
        async with aclosing(store.watch_prefix("/", 1)) as watch:
            await read_changes(watch, 2)
            standin.freeze_watches = True
            await store.compare_and_swap([Write("/c", b"", 0)])

            watch_lines = standin.watch_lines

            def resume_at_third_opening(*arguments):
                standin.freeze_watches = standin.counts["watch"] < 3
                return watch_lines(*arguments)

            standin.watch_lines = resume_at_third_opening
            assert await read_changes(watch, 1) == [StoredValue("/c", b"", 3)]
            assert store.counts["watch"] >= 3


@pytest.mark.anyio
async def test_standin_drops_a_watch_whose_client_has_disconnected():
    async with open_test_store("etcd") as (store, standin):
        await store.compare_and_swap([Write("/a", b"", 0)])
        follow, ended = standin.watch_range, anyio.Event()

        async def follow_and_report(*arguments):
            try:
                async for batch in follow(*arguments):
                    yield batch
            finally:
                ended.set()

        standin.watch_range = follow_and_report
        async with aclosing(store.watch_prefix("/", 0)) as watch:
            await read_changes(watch, 1)
            assert not ended.is_set()
        await ended.wait()


@both_kinds
@pytest.mark.parametrize(
    "fault, value, timeout_s, applied",
    [
        ("down", True, HANG_LIMIT_S, False),
        ("delay_s", 3600.0, 0.05, False),
        ("lose_write_answers", 1, HANG_LIMIT_S, True),
    ],
)
@pytest.mark.anyio
async def test_failed_transaction_is_reported_and_not_retried(
    kind, fault, value, timeout_s, applied
):
    async with open_test_store(kind, timeout_s) as (store, faults):
        setattr(faults, fault, value)
        with pytest.raises(StoreUnavailable) as caught:
            await store.compare_and_swap([Write("/a", b"", 0)])
        assert (caught.value.step, caught.value.peer) == ("store txn", store.peer)
        assert (store.counts["txn"], faults.counts["txn"]) == (1, 1)
        assert faults.revision == (2 if applied else 1)
        if fault != "lose_write_answers":  # This fault counts down by itself.
            setattr(faults, fault, type(value)())
        store.timeout_s = HANG_LIMIT_S
        assert (await store.get("/a") is not None) == applied
        assert await store.compare_and_swap([Write("/b", b"", 0)])


MALFORMED = [
    b"",
    b"[]",
    b"\xff",
    b"{}",
    b'{"header":{}}',
    b'{"header":{"revision":"0"}}',
    b'{"header":{"revision":"x"}}',
    b'{"header":{"revision":"5"},"kvs":[{"key":"L2I=","mod_revision":"1"}]}',
    b'{"header":{"revision":"5"},"kvs":[{"key":"L2E=","mod_revision":"0"}]}',
    b'{"header":{"revision":"5"},"kvs":[{"key":"L2H/","mod_revision":"1"}]}',
    b'{"header":{"revision":"5"},"kvs":[{"key":"*","mod_revision":"1"}]}',
    b'{"header":{"revision":"5"},"more":true}',
]
BROKEN_WATCHES = [
    b"{}\n",
    b'{"result":',
    b'{"error":{"message":"x"}}\n',
    b'{"result":{"header":{"revision":"5"},"canceled":true}}\n',
    b'{"result":{"header":{"revision":"5"},"events":[{"type":"DELETE",'
    b'"kv":{"key":"L2E=","mod_revision":"5"}}]}}\n',
    b'{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"eA==",'
    b'"mod_revision":"5"}}]}}\n',
]


@pytest.mark.parametrize(
    "body, status, calls",
    [(body, 200, ["range"]) for body in MALFORMED]
    + [(body, 200, ["txn"]) for body in MALFORMED[:7]]
    + [(body, 200, ["watch"]) for body in BROKEN_WATCHES]
    + [(b"{}", status, ["range", "txn", "watch"]) for status in (204, 302, 400, 500)],
)
@pytest.mark.anyio
async def test_bad_response_raises_store_unavailable(body, status, calls):
    application = HttpApplication()
    for path in ("/v3/kv/range", "/v3/kv/txn", "/v3/watch"):

        @application.route("POST", path)
        async def answer(request):
            return Response(status, body if status != 204 else b"")

    async with serve(application) as url, open_store("etcd", url) as store:
        operations = {
            "range": lambda: store.get_prefix("/a"),
            "txn": lambda: store.compare_and_swap([Write("/a", b"", 0)]),
            "watch": lambda: anext(store.watch_prefix("/a", 0)),
        }
        for call in calls:
            with pytest.raises(StoreUnavailable) as caught:
                await operations[call]()
            assert caught.value.step == f"store {call}"
            assert caught.value.peer == url.removeprefix("http://")
        assert store.counts == dict.fromkeys(calls, 1)


@pytest.mark.parametrize(
    "kind, url",
    [("zk", ""), ("etcd", ""), ("etcd", "http://host:1"), ("etcd", "http://1.1.1.1")],
)
def test_unknown_kind_or_bad_url_is_refused(kind, url):
    with pytest.raises(InvalidInput):
        open_store(kind, url)


BAD_REQUESTS = [
    ("/faults", {"down": 1}),
    ("/faults", {"delay_s": True}),
    ("/faults", {"delay_s": -1}),
    ("/faults", {"lose_write_answers": "1"}),
    ("/faults", {"freeze_watches": None}),
    ("/faults", {"downn": True}),
    ("/faults", [True]),
    ("/v3/kv/range", {}),
    ("/v3/kv/range", {"key": ""}),
    ("/v3/kv/range", {"key": "*"}),
    ("/v3/kv/range", {"key": "YQ==", "revision": "9"}),
    ("/v3/kv/txn", {"failure": []}),
    ("/v3/kv/txn", {"compare": [{"key": "YQ==", "target": "VALUE"}]}),
    ("/v3/kv/txn", {"success": [{"request_put": {"key": "/w=="}}]}),
    ("/v3/kv/txn", {"success": [{"request_put": {"key": "YQ=="}}] * 2}),
    ("/v3/watch", {"create_request": {}}),
]


@pytest.mark.anyio
async def test_standin_refuses_bad_requests_and_is_controlled_over_http():
    async with serve(StoreStandin()) as url:
        async with httpcore.AsyncConnectionPool() as pool:
            for path, content in BAD_REQUESTS:
                body = msgspec.json.encode(content)
                answer = await pool.request("POST", url + path, content=body)
                error = msgspec.json.decode(answer.content)
                assert (answer.status, set(error)) == (400, {"error", "step", "peer"})
                assert error["step"] and error["peer"], path
            set_down = b'{"down": true, "delay_s": 0}'
            answer = await pool.request("POST", f"{url}/faults", content=set_down)
            assert answer.status == 200
            async with open_store("etcd", url) as store:
                with pytest.raises(StoreUnavailable, match="store is down"):
                    await store.get("a")
            answer = await pool.request("GET", f"{url}/counts")
            assert msgspec.json.decode(answer.content)["range"] == 5
