"""Guards against an unexpected error that ends a whole process.

An error is raised once in each handler and loop of the daemons of a fleet, which then
serve as before.
"""

import anyio
import msgspec
import pytest

from emulator.sites import Site, route
from marigoldkeel.fleet.directory import DaemonRecord, record_key
from marigoldkeel.guards import repeat_guarded
from marigoldkeel.messages import Done
from marigoldkeel.transports import ConnectionListener, PeerPool, serve_peers
from tests.errors import InjectedError, fail_once


pytestmark = pytest.mark.anyio

# A component of an entry or agent, as a path of attributes, and its method.
FAILING = [
    ("entry", "links", "step_links"),
    ("entry", "links", "message_received"),
    ("entry", "links", "frame_processed"),
    ("entry", "links", "_apply_state"),
    ("entry", "scheduler", "tick"),
    ("entry", "scheduler", "handle_event"),
    ("entry", "scheduler", "pack"),
    ("entry", "follower", "apply_if_newer"),
    ("entry", "controller", "receive"),
    ("entry", "controller", "_announce"),
    ("entry", "directory", "upsert_stored"),
    ("entry", "directory", "expire"),
    ("agent", "supervisor", "tick"),
    ("agent", "supervisor", "record_poll"),
    ("agent", "supervisor", "start"),
    ("agent", "supervisor", "update_facts"),
    ("agent", "client", "poll"),
    ("agent", "client", "start"),
    ("agent", "driver", "deliver"),
    ("agent", "links", "frame_processed"),
    ("agent", "store", "renew_lease"),
]


def change_store(site: Site) -> None:
    """Write the configuration and a daemon's record again."""
    site.configure(route("stock", "/stock/"))
    record = DaemonRecord("entry-9", "entry-9@1", "127.0.0.1:1", "a", False)
    site.store.put(record_key("entry-9"), msgspec.json.encode(record))


async def submit_until_done(site: Site) -> None:
    """Submit jobs until one is done; fails the test if none is in time."""
    with anyio.fail_after(20.0):
        while True:
            path, job = site.job_path(), site.job(count=2, work_ms=30)
            status, _, _ = await site.request(site.entries[0], "POST", path, job, 3000)
            if status == 200:
                return
            await anyio.sleep(0.05)


@pytest.mark.parametrize(("role", "component", "method"), FAILING)
async def test_unexpected_error_does_not_end_a_daemon(
    monkeypatch, role, component, method
):
    async with Site.open(entries=2, workers=2) as site:
        daemons = site.entries if role == "entry" else site.agents
        failed = [
            fail_once(monkeypatch, getattr(daemon, component), method)
            for daemon in daemons
        ]
        with anyio.fail_after(30.0):
            while not any(failed):
                change_store(site)
                await submit_until_done(site)
        for _ in range(3):
            await submit_until_done(site)
        assert not any(daemon.stopping.is_set() for daemon in daemons)


class FailingListener(ConnectionListener):
    """A listener in which one event fails once."""

    def __init__(self, event: str):
        self.event = event
        self.received = 0

    def _fail(self, event: str) -> None:
        if event == self.event:
            self.event = ""
            raise InjectedError(event)

    def connection_opened(self, connection) -> None:
        self._fail("connection_opened")

    def message_received(self, connection, content) -> bool:
        self._fail("message_received")
        self.received += 1
        return True

    def frame_processed(self, connection) -> None:
        self._fail("frame_processed")

    def connection_closed(self, connection) -> None:
        self._fail("connection_closed")


@pytest.mark.parametrize(
    "event",
    ["connection_opened", "message_received", "frame_processed", "connection_closed"],
)
async def test_error_in_a_listener_ends_at_most_its_connection(event):
    listener = FailingListener(event)

    async def handle(message, peer):
        return Done()

    async with anyio.create_task_group() as group, PeerPool.open() as peers:
        address = await group.start(
            serve_peers, "127.0.0.1:0", handle, peers.counters, listener
        )
        with anyio.fail_after(10.0):
            while listener.received < 3:
                connection = await peers.connect(address)
                connection.send(Done())
                await anyio.sleep(0.02)
                if not connection.closed and event == "connection_closed":
                    await connection.abort()
        assert listener.event == ""
        group.cancel_scope.cancel()


async def test_failed_loop_starts_again():
    runs = []

    async def loop() -> None:
        runs.append(1)
        raise InjectedError("loop")

    with anyio.move_on_after(0.5):
        await repeat_guarded("test", loop)
    assert len(runs) > 1
