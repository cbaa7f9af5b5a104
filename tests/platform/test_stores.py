"""Tests of the client of the platform's store against an emulator with faults."""

from contextlib import aclosing, asynccontextmanager, nullcontext, suppress

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute

from emulator.stores import StoredItem, StoreEmulator
from marigoldkeel.exceptions import StoreUnavailable
from marigoldkeel.platform.stores import PlatformStore
from marigoldkeel.servers import serve_http
from marigoldkeel.stores import Write


pytestmark = pytest.mark.anyio


@asynccontextmanager
async def open_store(timeout_s: float = 0.5):
    """Serve an emulated store and yield it with a client."""
    emulator = StoreEmulator()
    async with anyio.create_task_group() as group:
        address = await group.start(serve_http, emulator.application, "127.0.0.1", 0)
        async with PlatformStore(address, timeout_s) as store:
            yield emulator, store
        group.cancel_scope.cancel()


async def wait_for(condition) -> None:
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.01)


async def test_values_are_read_as_they_were_written():
    async with open_store() as (emulator, store):
        emulator.put("op/config", b"\x00\xffplan")
        value = await store.get("op/config")
        assert (value.data, value.revision) == (b"\x00\xffplan", emulator.rev)
        assert await store.get("op/none") is None


async def test_all_pages_of_a_prefix_are_read():
    async with open_store() as (emulator, store):
        for number in range(1200):
            emulator.put(f"d/{number:04}", b"x")
        emulator.put("e/1", b"y")
        snapshot = await store.get_prefix("d/")
        assert len(snapshot.values) == 1200
        assert snapshot.revision == emulator.rev


async def test_swap_succeeds_only_at_the_expected_revision():
    async with open_store() as (_, store):
        revision = await store.compare_and_swap([Write("k", b"1", 0)])
        assert await store.compare_and_swap([Write("k", b"2", 0)]) is None
        assert await store.compare_and_swap([Write("k", b"2", revision)]) > revision


async def test_key_is_removed_when_its_lease_expires():
    async with open_store() as (emulator, store):
        lease = await store.grant_lease(0.2)
        await store.put_with_lease("d/1", b"x", lease)
        assert await store.renew_lease(lease)
        await anyio.sleep(0.3)
        emulator.expire()
        assert "d/1" not in emulator.items
        assert not await store.renew_lease(lease)
        with pytest.raises(StoreUnavailable, match="404"):
            await store.put_with_lease("d/1", b"x", lease)


async def test_watch_yields_writes_and_removals_and_survives_idle_periods():
    async with open_store() as (emulator, store):
        changed = []

        async def follow() -> None:
            async with aclosing(
                store.watch_changes("d/", emulator.rev, 0.1)
            ) as changes:
                async for change in changes:
                    changed.append((change.key, change.data))
                    if len(changed) == 3:
                        return

        async with anyio.create_task_group() as group:
            group.start_soon(follow)
            await anyio.sleep(0.3)
            emulator.put("d/1", b"x")
            emulator.put("e/1", b"z")
            emulator.remove("d/1")
            await anyio.sleep(0.2)
            emulator.put("d/2", b"y")
        assert changed == [("d/1", b"x"), ("d/1", None), ("d/2", b"y")]
        assert emulator.counts["kv-watch"] > 2


@pytest.mark.parametrize("drops_history", [False, True])
async def test_event_that_a_watch_was_not_told_of_is_delivered_or_the_watch_fails(
    drops_history,
):
    # Guards against a change that is skipped with the revision of an empty answer.
    async with open_store() as (emulator, store):
        changed = []

        async def follow() -> None:
            with suppress(StoreUnavailable):
                async for change in store.watch_changes("d/", emulator.rev, 0.05):
                    changed.append(change.data)
                    return
            snapshot = await store.get_prefix("d/")
            changed.extend(value.data for value in snapshot.values)

        async with anyio.create_task_group() as group:
            group.start_soon(follow)
            await wait_for(lambda: emulator.counts["kv-watch"] > 1)
            emulator.withholds_events = True
            emulator.put("d/1", b"x")
            answered = emulator.counts["kv-watch"]
            await wait_for(lambda: emulator.counts["kv-watch"] > answered + 2)
            if drops_history:
                emulator.compact()
            emulator.withholds_events = False
            answered = emulator.counts["kv-watch"]
            await wait_for(
                lambda: changed or emulator.counts["kv-watch"] > answered + 10
            )
            group.cancel_scope.cancel()
        assert changed == [b"x"]


async def test_watch_from_a_compacted_revision_fails():
    async with open_store() as (emulator, store):
        emulator.put("d/1", b"x")
        emulator.compact()
        with pytest.raises(StoreUnavailable, match="410"):
            async for _ in store.watch_changes("d/", 1, 0.1):
                pass


@pytest.mark.parametrize(
    "fault", [{"error_status": 503}, {"error_status": 429}, {"silent": True}]
)
async def test_every_call_raises_store_unavailable_during_an_outage(fault):
    async with open_store(timeout_s=0.1) as (emulator, store):
        for name, value in fault.items():
            setattr(emulator, name, value)
        for call in (
            lambda: store.get("k"),
            lambda: store.get_prefix("k"),
            lambda: store.compare_and_swap([Write("k", b"", 0)]),
            lambda: store.grant_lease(1.0),
            lambda: store.renew_lease(1),
        ):
            with pytest.raises(StoreUnavailable) as caught:
                await call()
            assert caught.value.step.startswith("store ")
            assert caught.value.peer == store.client.address


async def test_write_with_a_lost_response_raises_store_unavailable():
    async with open_store(timeout_s=0.1) as (emulator, store):
        emulator.write_responses_to_drop = 1
        with pytest.raises(StoreUnavailable):
            await store.compare_and_swap([Write("k", b"1", 0)])
        assert emulator.items["k"].value == b"1"


class SlowLink:
    """Answers each request with a value, a part at a time.

    :ivar parts: How many parts; the last one is not sent if ``stalls``.
    """

    def __init__(self, parts: int, pause_s: float, stalls: bool):
        content = StoredItem("op/config", b"x" * 10_000, 7, 7).encode()
        body = msgspec.json.encode({"current_rev": 7, "items": [content]})
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        size = len(body) // parts + 1
        self.parts = [head, *(body[i : i + size] for i in range(0, len(body), size))]
        if stalls:
            self.parts.pop()
        self.pause_s = pause_s

    async def serve(self, stream) -> None:
        async with stream:
            await stream.receive()
            for part in self.parts:
                await stream.send(part)
                await anyio.sleep(self.pause_s)
            await anyio.sleep_forever()


@pytest.mark.parametrize("stalls", [False, True])
async def test_answer_that_arrives_slowly_is_read_to_its_end_unless_it_stalls(stalls):
    # Guards against a limit on the whole call that a large value can never meet.
    link = SlowLink(parts=10, pause_s=0.15, stalls=stalls)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, link.serve)
        async with PlatformStore(f"127.0.0.1:{port}", 0.5) as store:
            with pytest.raises(StoreUnavailable) if stalls else nullcontext():
                snapshot = await store.get_prefix("op/config")
                assert snapshot.values[0].data == b"x" * 10_000
        group.cancel_scope.cancel()
