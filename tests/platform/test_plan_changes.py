"""Tests of how soon an entry has a change of the operators' plan in force."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Event, Thread

import anyio
import anyio.from_thread
import anyio.lowlevel
import pytest

from emulator.addresses import HOST, free_address
from emulator.sites import plan_document, route
from emulator.stores import StoreEmulator
from marigoldkeel.fleet.daemons import FleetEntry
from marigoldkeel.fleet.settings import CallerSettings, FleetSettings
from marigoldkeel.platform.daemons import open_daemon
from marigoldkeel.platform.plans import PLAN_KEY
from marigoldkeel.platform.stores import PlatformStore
from marigoldkeel.servers import serve_http
from marigoldkeel.settings import StoreSettings


pytestmark = pytest.mark.anyio
# A request that is sent later than this after the store has confirmed a version must
# not be handled under an older one.
CONFIG_APPLY_S = 3.0
STORE_TIMEOUT_S = 0.5


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


class StoreThread:
    """An emulated store that answers whatever the event loop of the test does."""

    def __init__(self):
        self.is_up = Event()
        self.address = ""

    @classmethod
    @contextmanager
    def open(cls) -> Iterator["StoreThread"]:
        store = cls()
        thread = Thread(target=anyio.run, args=(store._serve,), daemon=True)
        thread.start()
        store.is_up.wait()
        yield store
        anyio.from_thread.run_sync(store.scope.cancel, token=store.token)
        thread.join()

    async def _serve(self) -> None:
        self.token = anyio.lowlevel.current_token()
        self.emulator = StoreEmulator()
        async with anyio.create_task_group() as group:
            self.scope = group.cancel_scope
            application = self.emulator.application
            self.address = await group.start(serve_http, application, HOST, 0)
            self.is_up.set()

    def put_plan(self, version: int) -> float:
        """Write a version of the plan; return the time of its confirmation."""
        document = plan_document(version, [route("stock", "/stock/")])
        anyio.from_thread.run_sync(
            self.emulator.put, PLAN_KEY, document, token=self.token
        )
        return time.monotonic()


def make_entry(store_address: str) -> FleetEntry:
    return open_daemon(
        FleetSettings(
            name="entry-0",
            domain="a",
            listen=free_address(),
            store=StoreSettings(store_address, "platform", STORE_TIMEOUT_S),
            callers=CallerSettings(free_address(), free_address()),
        )
    )


def plan_version(entry: FleetEntry) -> int:
    return 0 if entry.controller is None or entry.plan is None else entry.plan.version


def hold_until(when: float) -> None:
    """Keep the event loop busy, as the requests of callers do."""
    while time.monotonic() < when:
        pass


async def play_late_turns(
    entry: FleetEntry, turn_s: float, put_plan, phases: list[float]
) -> list[int]:
    """Hold the event loop for each turn, and change the plan at some part of one.

    :return: The version in force in the first turn that may not have an older one.
    """
    versions = []
    for version, phase in enumerate(phases, 2):
        begins_at = time.monotonic()
        hold_until(begins_at + phase * turn_s)
        confirmed_at = put_plan(version)
        hold_until(begins_at + turn_s)
        while time.monotonic() < confirmed_at + CONFIG_APPLY_S:
            await anyio.lowlevel.checkpoint()
            hold_until(time.monotonic() + turn_s)
        versions.append(plan_version(entry))
    return versions


@pytest.mark.parametrize("turn_s", [0.8, 1.2])
async def test_change_is_in_force_in_time_while_callers_keep_the_event_loop_late(
    turn_s,
):
    with StoreThread.open() as store:
        store.put_plan(1)
        entry = make_entry(store.address)
        async with anyio.create_task_group() as group:
            group.start_soon(entry.run)
            with anyio.fail_after(10):
                while not plan_version(entry):
                    await anyio.sleep(0.01)
            versions = await play_late_turns(
                entry, turn_s, store.put_plan, [0.05, 0.2, 0.4, 0.6]
            )
            group.cancel_scope.cancel()
    assert versions == [2, 3, 4, 5]


async def test_calls_that_the_store_has_answered_do_not_fail_for_a_late_event_loop():
    async def hold_each_turn() -> None:
        while True:
            hold_until(time.monotonic() + 0.6)
            await anyio.lowlevel.checkpoint()

    with StoreThread.open() as thread:
        async with (
            PlatformStore(thread.address, STORE_TIMEOUT_S) as store,
            anyio.create_task_group() as group,
        ):
            lease = await store.grant_lease(60.0)
            group.start_soon(hold_each_turn)
            for _ in range(3):
                assert await store.renew_lease(lease)
                # The next call opens a connection.
                await store.aclose()
            group.cancel_scope.cancel()
