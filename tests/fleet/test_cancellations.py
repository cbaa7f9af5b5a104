"""Tests of the forwarding of cancellations to entries that do not answer."""

import anyio
import pytest

from marigoldkeel.exceptions import PeerLost, PeerTimeout, PeerUnavailable
from marigoldkeel.fleet import cancellations
from marigoldkeel.fleet.cancellations import CancellationForwarder
from marigoldkeel.fleet.cancelled import CANCELLED_MEMORY_S
from marigoldkeel.messages import Done
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
