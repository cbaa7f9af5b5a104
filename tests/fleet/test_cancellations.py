"""Tests of the forwarding of cancellations, also to entries that are not known yet."""

import anyio
import anyio.lowlevel
import pytest

from marigoldkeel.exceptions import (
    PeerLost,
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
)
from marigoldkeel.fleet import cancellations, daemons
from marigoldkeel.fleet.cancellations import (
    CancellationForwarder,
    CancellationLog,
)
from marigoldkeel.fleet.cancelled import (
    CANCELLED_MEMORY_S,
    MAX_REMEMBERED_CANCELLATIONS,
)
from marigoldkeel.fleet.daemons import FleetEntry
from marigoldkeel.fleet.messages import DropJob
from marigoldkeel.fleet.settings import FleetSettings
from marigoldkeel.messages import Done
from marigoldkeel.settings import StoreSettings
from tests.fleet.test_supervisors import Clock


pytestmark = pytest.mark.anyio

SILENT = PeerTimeout("no reply")
LOST = PeerLost("connection lost")
UNAVAILABLE = PeerUnavailable("cannot connect")


class ScriptedPeers:
    """Peers whose replies are scripted by address; later requests are answered."""

    def __init__(self, clock: Clock, replies: dict[str, list]):
        self.clock = clock
        self.replies = replies
        self.requests: list[tuple[str, str]] = []
        self.resets: list[str] = []

    async def request(self, address, content, timeout_s):
        self.requests.append((address, content.job_id))
        self.clock.now += 1.0
        replies = self.replies.get(address)
        reply = replies.pop(0) if replies else Done()
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def reset(self, address):
        self.resets.append(address)


async def forward(peers: ScriptedPeers, clock: Clock, *calls) -> CancellationForwarder:
    async with anyio.create_task_group() as group:
        forwarder = CancellationForwarder(peers, group, clock)
        for job_id, addresses in calls:
            forwarder.forward(job_id, addresses)
    return forwarder


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    monkeypatch.setattr(cancellations, "RETRY_DELAY_S", 0.0)


@pytest.mark.parametrize(
    ("replies", "resets"),
    [([], 0), ([SILENT], 1), ([SILENT, UNAVAILABLE, LOST], 1), ([SILENT, SILENT], 2)],
)
async def test_cancellation_is_repeated_until_it_is_confirmed(replies, resets):
    # Guards against a cancelled job that ran on: the cancellation was sent once, on a
    # connection that had gone silent.
    clock = Clock()
    peers = ScriptedPeers(clock, {"b": list(replies)})
    forwarder = await forward(peers, clock, ("j", ["a", "b"]))
    assert peers.requests.count(("a", "j")) == 1
    assert peers.requests.count(("b", "j")) == len(replies) + 1
    assert peers.resets == ["b"] * resets
    assert forwarder.unconfirmed == {}


async def test_cancellation_is_given_up_when_the_id_is_no_longer_remembered():
    clock = Clock()
    peers = ScriptedPeers(clock, {"b": [UNAVAILABLE] * 1000})
    forwarder = await forward(peers, clock, ("j", ["b"]), ("k", ["b"]))
    assert len(peers.requests) <= CANCELLED_MEMORY_S + 1
    assert forwarder.unconfirmed == {}


async def test_cancellations_of_several_jobs_are_all_sent():
    clock = Clock()
    peers = ScriptedPeers(clock, {"b": [SILENT]})
    await forward(peers, clock, ("j", ["a", "b"]), ("k", ["a", "b"]))
    assert set(peers.requests) == {
        (address, job_id) for address in "ab" for job_id in "jk"
    }


async def test_entry_that_does_not_answer_gets_one_cancellation_at_a_time():
    clock = Clock()
    jobs = [f"j{number}" for number in range(10)]
    peers = ScriptedPeers(clock, {"b": [SILENT] * (len(jobs) + 2)})
    forwarder = await forward(peers, clock, *((job, ["b"]) for job in jobs))
    repeated = [job for _, job in peers.requests[len(jobs) :][:3]]
    assert repeated == ["j0", "j0", "j0"]
    assert {job for _, job in peers.requests} == set(jobs)
    assert forwarder.unconfirmed == {}


def test_log_of_cancellations_is_limited_in_number_and_age():
    log = CancellationLog()
    for number in range(MAX_REMEMBERED_CANCELLATIONS + 5):
        log.add(f"j{number}", 60.0)
    assert [item.job_id for item in log.prune(0.0)] == [f"j{n}" for n in range(5)]
    log.add("j10", 70.0)
    assert len(log.prune(65.0)) == MAX_REMEMBERED_CANCELLATIONS - 1
    assert [item.job_id for item in log.after(0, 65.0)] == ["j10"]
    log.prune(71.0)
    assert (log.items, log.positions) == ({}, {})


class Network:
    """Entries without processes; requests between them are handled at once.

    :ivar unreachable: The addresses of entries that do not answer.
    """

    def __init__(self, group: anyio.abc.TaskGroup):
        self.group = group
        self.entries: dict[str, FleetEntry] = {}
        self.unreachable: set[str] = set()

    def start(self, number: int) -> FleetEntry:
        """Start an entry that knows no other one."""
        address = f"127.0.0.1:{number}"
        settings = FleetSettings(
            name=f"entry-{number}",
            domain="a",
            listen=address,
            store=StoreSettings("127.0.0.1:1"),
        )
        entry = FleetEntry(settings, None, "plan", lambda data: None)
        entry.peers = NetworkPeers(self, entry)
        entry.build_components(self.group)
        self.entries[address] = entry
        return entry

    def introduce(self, *entries: FleetEntry) -> None:
        """Let entries discover each other."""
        for entry in entries:
            for other in entries:
                entry.directory.upsert(other.own_member, False, entry.clock())


class NetworkPeers:
    """The peers of an entry; once it has ended, its requests reach nobody."""

    def __init__(self, network: Network, entry: FleetEntry):
        self.network = network
        self.entry = entry

    async def request(self, address, content, timeout_s):
        await anyio.lowlevel.checkpoint()
        entries = self.network.entries
        has_ended = entries.get(self.entry.own_member.address) is not self.entry
        if has_ended or address in self.network.unreachable or address not in entries:
            raise SILENT
        return await entries[address].handle(content, "peer")

    async def reset(self, address):
        pass


def knows_cancelled(entry: FleetEntry, job_id: str) -> bool:
    scheduler = entry.scheduler
    return scheduler.cancelled_ids.contains(job_id, scheduler.clock())


@pytest.fixture
async def network(monkeypatch):
    monkeypatch.setattr(cancellations, "RETRY_DELAY_S", 0.001)
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.0)
    async with anyio.create_task_group() as group:
        yield Network(group)
        group.cancel_scope.cancel()


async def test_entry_that_is_discovered_later_receives_earlier_cancellations(network):
    # Guards against a cancelled job that runs on: an entry that has just started, while
    # the store turns it away, confirms the cancellation before it knows the owner.
    confirming, owner = network.start(1), network.start(2)
    assert confirming.cancel_on_other_entries("j")
    await anyio.wait_all_tasks_blocked()
    network.introduce(confirming, owner)
    await anyio.wait_all_tasks_blocked()
    assert knows_cancelled(owner, "j")


async def test_entry_that_has_restarted_receives_earlier_cancellations(network):
    confirming = network.start(1)
    network.introduce(confirming, network.start(2))
    assert confirming.cancel_on_other_entries("j")
    await anyio.wait_all_tasks_blocked()
    restarted = network.start(2)
    assert not knows_cancelled(restarted, "j")
    network.introduce(confirming, restarted)
    await anyio.wait_all_tasks_blocked()
    assert knows_cancelled(restarted, "j")


async def wait_until(condition) -> None:
    while not condition():
        await anyio.sleep(0.001)


@pytest.mark.parametrize("is_confirmed", [False, True])
async def test_stopping_entry_hands_over_what_it_has_confirmed(network, is_confirmed):
    # Guards against a cancelled job that runs on. False: the owner of the job is cut
    # off while the entry that has confirmed the cancellation stops as planned. True:
    # the owner is an entry that the others discover after that.
    stopping, other, owner = (network.start(number) for number in (1, 2, 3))
    if is_confirmed:
        network.introduce(stopping, other)
    else:
        network.introduce(stopping, other, owner)
        network.unreachable.add(owner.own_member.address)
    assert stopping.cancel_on_other_entries("j")
    stopping.stop()
    await stopping.drain()
    del network.entries[stopping.own_member.address]
    assert not stopping.cancel_on_other_entries("k")
    assert not knows_cancelled(owner, "j")
    network.unreachable.clear()
    network.introduce(other, owner)
    await wait_until(lambda: knows_cancelled(owner, "j"))
    assert owner.own_member.address not in other.cancellations.unconfirmed


async def test_entry_that_has_stopped_takes_over_no_cancellation(network):
    stopped = network.start(1)
    stopped.cancellations.closed = True
    with pytest.raises(ProtocolError):
        await stopped.handle(DropJob("j", 1000, True), "peer")
    await stopped.handle(DropJob("j"), "peer")


@pytest.mark.parametrize("is_reached", [True, False], ids=["reached", "cut off"])
async def test_stopping_entry_confirms_only_what_another_has_taken_over(
    network, is_reached
):
    # Guards against a cancelled job that runs on (review/15): an entry whose long
    # answer took all of its grace ended without telling what it had confirmed.
    stopping, other, owner = (network.start(number) for number in (1, 2, 3))
    network.introduce(stopping, other, owner)
    network.unreachable.add(owner.own_member.address)
    if not is_reached:
        network.unreachable.add(other.own_member.address)
    stopping.stop()
    stopping.stop_deadline = stopping.clock() + 0.3
    stopping.in_progress = 1
    async with anyio.create_task_group() as group:
        group.start_soon(stopping.drain)
        await wait_until(lambda: stopping.leaving)
        assert await stopping.confirm_cancellation("j") == is_reached
    del network.entries[stopping.own_member.address]
    assert knows_cancelled(other, "j") == is_reached
    network.unreachable.clear()
    network.introduce(other, owner)
    if is_reached:
        with anyio.fail_after(2.0):
            await wait_until(lambda: knows_cancelled(owner, "j"))


async def test_stopping_entry_without_others_confirms_a_cancellation(network):
    stopping = network.start(1)
    stopping.leaving = True
    with anyio.fail_after(0.5):
        assert await stopping.confirm_cancellation("j")


@pytest.mark.parametrize("reached", [0, 1, 2])
async def test_entry_confirms_a_cancellation_once_another_one_knows_it(
    network, monkeypatch, reached
):
    # Guards against a cancelled job that runs on (review/13): an entry that was cut off
    # from all others, or was killed right after its answer, had told nobody.
    monkeypatch.setattr(daemons, "ALL_CONFIRM_CANCELLATION_S", 0.05)
    monkeypatch.setattr(daemons, "CONFIRM_CANCELLATION_S", 0.1)
    asked, *others = (network.start(number) for number in (1, 2, 3))
    network.introduce(asked, *others)
    for other in others[reached:]:
        network.unreachable.add(other.own_member.address)
    assert await asked.confirm_cancellation("j") == (reached > 0)
    # Nothing that the asked entry does after its answer is needed.
    assert [knows_cancelled(other, "j") for other in others] == [
        number < reached for number in range(2)
    ]


async def test_wave_of_cancellations_wakes_each_waiter_once_an_entry(network):
    asked, *others = (network.start(number) for number in (1, 2, 3))
    network.introduce(asked, *others)
    results = []

    async def confirm(job_id: str) -> None:
        results.append(await asked.confirm_cancellation(job_id))

    async with anyio.create_task_group() as group:
        for number in range(500):
            group.start_soon(confirm, f"j{number}")
    assert results == [True] * 500
    assert asked.cancellations.waiters == {}


@pytest.mark.parametrize("is_answered", [True, False])
async def test_entry_whose_agents_answer_confirms_while_all_others_are_silent(
    network, monkeypatch, is_answered
):
    # The only other entry is frozen (review/5): it is told when it answers again. An
    # entry that nobody answers is cut off itself (review/13).
    monkeypatch.setattr(daemons, "ALL_CONFIRM_CANCELLATION_S", 0.05)
    monkeypatch.setattr(daemons, "CONFIRM_CANCELLATION_S", 0.1)
    asked, frozen = network.start(1), network.start(2)
    network.introduce(asked, frozen)
    network.unreachable.add(frozen.own_member.address)
    asked.fleet.view("agent-1").connected = is_answered
    assert await asked.confirm_cancellation("j") == is_answered
    network.unreachable.clear()
    with anyio.fail_after(2.0):
        await wait_until(lambda: knows_cancelled(frozen, "j"))
