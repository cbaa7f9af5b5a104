"""Plays every way from the confirmation of a plan to its being in force, with faults.

The followers, the client of the store and the announcements are those of the entries;
the store, the links and the time are emulated.
"""

import asyncio
from dataclasses import dataclass, field

import anyio
import pytest

from emulator.sites import plan_document, route
from emulator.stores import StoreEmulator
from emulator.virtual_time import run
from marigoldkeel.clients import HttpResponse
from marigoldkeel.exceptions import PeerLost, PeerTimeout
from marigoldkeel.fleet.directory import Directory, DirectoryController
from marigoldkeel.fleet.following import PlanFollower
from marigoldkeel.fleet.messages import Announce
from marigoldkeel.fleet.pulls import News
from marigoldkeel.models import Member
from marigoldkeel.platform.plans import PLAN_KEY, decode_plan
from marigoldkeel.platform.stores import PlatformStore
from marigoldkeel.servers import Request


CONFIG_APPLY_S = 3.0
# While the store turns entries away, the bound of these entries is longer by so much.
MAX_SKEW_S = 6.0
STORE_TIMEOUT_S = 0.5
STORE_LATENCY_S = 0.004
LINK_LATENCY_S = 0.0014
POLL_INTERVAL_S = 0.05
ENTRIES = 14
CHANGE_AT_S = 3.0


@dataclass
class Fault:
    """What goes wrong from a time on.

    :ivar of: ``store`` for calls to the store, ``news`` for announcements, ``pull`` for
        requests to other entries.
    :ivar how: ``silent``, ``reset``, ``busy`` (503), ``slow`` or ``withheld``.
    :ivar at_s: Begin, relative to the change.
    :ivar share: The share of the entries to which it happens, the first ones.
    """

    of: str
    how: str
    at_s: float = -0.5
    for_s: float = 8.0
    share: float = 1.0

    def strikes(self, of: str, number: int, now: float) -> bool:
        since_s = now - CHANGE_AT_S - self.at_s
        is_hit = number < round(self.share * ENTRIES)
        return self.of == of and is_hit and 0 <= since_s < self.for_s


class EmulatedCalls:
    """Passes the calls of one entry to the emulated store."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        self.number = number

    async def request(self, method, target, headers, body, on_progress):
        latency_s = STORE_LATENCY_S
        match self.fleet.fault("store", self.number):
            case "silent":
                await anyio.sleep_forever()
            case "reset":
                raise PeerLost("connection lost", "receive", "store")
            case "busy":
                await anyio.sleep(latency_s)
                return HttpResponse(503, b"{}")
            case "slow":
                latency_s *= 60
        await anyio.sleep(latency_s / 2)
        path, _, query = target.partition("?")
        request = Request(method, path, {}, body, "", {}, query)
        response = await self.fleet.store._serve(request)
        await anyio.sleep(latency_s / 2)
        # An answer that is on its way as the fault begins is lost too.
        if self.fleet.fault("store", self.number) == "silent":
            await anyio.sleep_forever()
        return HttpResponse(response.status, response.body)

    async def aclose(self) -> None:
        pass


class EmulatedPeers:
    """The connections of one entry to the others."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        self.number = number

    async def send(self, address: str, message: Announce) -> None:
        await anyio.sleep(LINK_LATENCY_S)
        target = int(address)
        if self.fleet.fault("news", target) is None:
            entry = self.fleet.entries[target]
            await entry.wait_for_turn()
            news = News(message.plan_version, message.evacuation_revision)
            self.fleet.group.start_soon(
                entry.follower.receive_news, str(self.number), news
            )

    async def request(self, address: str, message, timeout_s: float):
        fault = self.fleet.fault("pull", self.number)
        if fault == "reset":
            raise PeerLost("connection lost", "pull", address)
        if fault == "silent":
            await anyio.sleep(timeout_s)
            raise PeerTimeout("no reply", "pull", address)
        await anyio.sleep(LINK_LATENCY_S)
        other = self.fleet.entries[int(address)]
        await other.wait_for_turn()
        reply = other.follower.answer(message)
        await anyio.sleep(LINK_LATENCY_S)
        return reply


class EmulatedEntry:
    """An entry whose event loop is held for a time in each turn."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        clock = asyncio.get_running_loop().time
        store = PlatformStore("store", STORE_TIMEOUT_S, clock)
        store.client.client = EmulatedCalls(fleet, number)
        peers = EmulatedPeers(fleet, number)
        self.follower = PlanFollower(store, peers, PLAN_KEY, decode_plan, clock=clock)
        self.follower.hand_over = self.on_turn
        own_member = Member(f"entry-{number}", f"entry-{number}@1", str(number), "a")
        self.controller = DirectoryController(
            Directory(own_member),
            store,
            peers,
            fleet.group,
            [str(other) for other in range(ENTRIES) if other != number],
            False,
            clock,
            plan_version=lambda: self.follower.version,
        )

    def until_turn_s(self) -> float:
        turn_s = self.fleet.turn_s
        return turn_s - self.fleet.now % turn_s if turn_s else 0.0

    def on_turn(self, action, *arguments) -> None:
        """Run an action in the next turn of the event loop."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.until_turn_s(), action, *arguments)

    async def wait_for_turn(self) -> None:
        await anyio.sleep(self.until_turn_s())

    def start(self) -> None:
        self.fleet.group.start_soon(self.follower._follow_forever)
        self.fleet.group.start_soon(self.controller._announce_forever)
        self.fleet.group.start_soon(
            self.follower.ask_peers_forever, self.controller.announce_addresses
        )


@dataclass
class Fleet:
    """Entries that follow one store.

    :ivar turn_s: For how long callers keep the event loops of the entries busy.
    :ivar phase_s: How much later than the entries' first watches the change is made.
    """

    faults: list[Fault]
    turn_s: float
    phase_s: float
    entries: list[EmulatedEntry] = field(default_factory=list)

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def fault(self, of: str, number: int) -> str | None:
        for fault in self.faults:
            if fault.strikes(of, number, self.now):
                return fault.how
        return None

    async def play(self) -> list[float]:
        """Change the plan; return for each entry after how long it is in force."""
        self.store = StoreEmulator()
        self.put(1)
        async with anyio.create_task_group() as self.group:
            await anyio.sleep(self.phase_s)
            self.entries = [EmulatedEntry(self, number) for number in range(ENTRIES)]
            for entry in self.entries:
                entry.start()
            await anyio.sleep_until(CHANGE_AT_S)
            self.put(2)
            in_force_s = {}
            while len(in_force_s) < ENTRIES and self.now < CHANGE_AT_S + 15:
                for number, entry in enumerate(self.entries):
                    if entry.follower.version == 2:
                        in_force_s.setdefault(number, self.now - CHANGE_AT_S)
                await anyio.sleep(POLL_INTERVAL_S)
            self.group.cancel_scope.cancel()
        return [in_force_s.get(number, float("inf")) for number in range(ENTRIES)]

    def put(self, version: int) -> None:
        self.store.put(PLAN_KEY, plan_document(version, [route("stock", "/stock/")]))


HALF_TURNED_AWAY = {"share": 0.5, "at_s": -2.0, "for_s": 12.0}
MOST_TURNED_AWAY = {"share": 0.93, "at_s": -2.0, "for_s": 12.0}
NEWS_LOST = Fault("news", "silent", for_s=1.0)
# Each with the bound of the entries that the faults of the store hit.
CHAINS = {
    "sound": ([], CONFIG_APPLY_S),
    "the answer to the watch is lost": (
        [Fault("store", "silent", for_s=0.5)],
        CONFIG_APPLY_S,
    ),
    "watches hear nothing for a second": (
        [Fault("store", "silent", for_s=1.0)],
        CONFIG_APPLY_S,
    ),
    "connections to the store are reset": (
        [Fault("store", "reset", for_s=1.0)],
        CONFIG_APPLY_S,
    ),
    "the store is slow": ([Fault("store", "slow")], CONFIG_APPLY_S),
    "the store is busy for a second": (
        [Fault("store", "busy", for_s=1.0)],
        CONFIG_APPLY_S,
    ),
    **{
        f"{name} {how}{news_name}{pull_name}": (
            [Fault("store", how, **turned_away), *news, *pulls],
            CONFIG_APPLY_S + MAX_SKEW_S,
        )
        for name, turned_away in (
            ("half turned away,", HALF_TURNED_AWAY),
            ("all but one turned away,", MOST_TURNED_AWAY),
        )
        for how in ("silent", "reset", "busy")
        for news_name, news in (("", []), (", news lost", [NEWS_LOST]))
        for pull_name, pulls in (
            ("", []),
            (", pulls without a reply", [Fault("pull", "silent", for_s=1.0)]),
            (", pulls reset", [Fault("pull", "reset", for_s=2.0)]),
        )
    },
}


@pytest.mark.parametrize("turn_s", [0.0, 0.8], ids=["idle loops", "late loops"])
@pytest.mark.parametrize(("faults", "bound_s"), CHAINS.values(), ids=CHAINS)
def test_change_is_in_force_in_time_on_every_chain(faults, bound_s, turn_s):
    late = []
    for phase in range(2):
        in_force_s = run(Fleet(faults, turn_s, 0.4 * phase).play())
        hit = {
            number
            for number in range(ENTRIES)
            for fault in faults
            if fault.of == "store" and number < round(fault.share * ENTRIES)
        }
        late += [
            (phase, number, round(after_s, 2))
            for number, after_s in enumerate(in_force_s)
            if after_s > (bound_s if number in hit else CONFIG_APPLY_S)
        ]
    assert not late
