"""Guards against control traffic that grows with the fleet and wrong suspicions."""

import anyio
import pytest

from bench.spread import simulate_fleet
from marigoldkeel import failover
from marigoldkeel.blackboard import Blackboard
from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import PeerTimeout
from marigoldkeel.heartbeats import (
    FULL_TABLE_INTERVAL_S,
    MAX_REPLACED,
    PeerState,
    PeerTable,
)
from marigoldkeel.memberships import (
    CHECK_INTERVAL_S,
    MAX_LEARNED_CONTACTS,
    MembershipController,
)
from marigoldkeel.messages import Heartbeat, HeartbeatReply
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.transports import parse_address


pytestmark = pytest.mark.anyio


class NoGroup:
    def start_soon(self, *args):
        pass


def make_controller(now, name="m", contacts=()):
    board = Blackboard(Member(name, f"{name}@1", "127.0.0.1:1", "x"), lambda: now[0])
    return MembershipController(board, None, list(contacts), [], NoGroup())


def member(number, domain="x"):
    name = f"a{number:04d}"
    return Member(name, f"{name}@1", f"127.0.0.1:{1000 + number}", domain)


@pytest.mark.parametrize("fleet", [10, 100, 1000, 3900])
async def test_a_daemon_keeps_a_bounded_number_of_senders(fleet):
    now = [0.0]
    controller = make_controller(now)
    replies = [
        await controller.receive(Heartbeat(member(number), is_agent=True))
        for number in range(fleet)
    ]
    table = controller.board.peers
    assert len(table.states) == min(fleet, table.max_peers)
    often = sum(reply.interval_ms < FULL_TABLE_INTERVAL_S * 1000 for reply in replies)
    assert often == min(fleet, table.max_peers)
    assert len(controller.contacts()) <= MAX_LEARNED_CONTACTS


async def test_learned_contacts_are_of_several_failure_domains():
    controller = make_controller([0.0])
    controller.add_contacts([member(number) for number in range(100)])
    controller.add_contacts([member(number, "y") for number in range(100, 200)])
    domains = [item.domain for item in controller.learned_contacts.values()]
    assert len(domains) == MAX_LEARNED_CONTACTS
    assert domains.count("x") == domains.count("y")


@pytest.mark.parametrize(
    ("peer", "silent_s", "sends"),
    [("z", 0.0, True), ("a", 0.0, False), ("a", 1.4, False), ("a", 1.6, True)],
)
async def test_one_of_two_peers_sends_and_the_other_only_after_silence(
    peer, silent_s, sends
):
    now = [0.0]
    controller = make_controller(now)
    address = "127.0.0.1:9"
    await controller.receive(Heartbeat(Member(peer, f"{peer}@1", address, "x")))
    now[0] = silent_s
    assert controller._is_redundant(address, now[0]) is not sends


def test_a_full_table_adds_a_peer_only_for_a_silent_one_or_if_needed():
    table = PeerTable(suspect_after_s=3.0, max_peers=2)
    assert table.observe(PeerState(member(1)), 0.0)
    assert table.observe(PeerState(member(2)), 2.0)
    assert not table.observe(PeerState(member(3)), 2.5)
    assert table.observe(PeerState(member(4)), 2.5, must_keep=True)
    assert table.observe(PeerState(member(3)), 3.5)
    assert sorted(table.states) == ["a0002", "a0003", "a0004"]


def test_a_restarted_peer_is_suspected_under_its_old_incarnation_only():
    table = PeerTable()
    table.observe(PeerState(Member("a", "a@1")), 0.0)
    table.observe(PeerState(Member("a", "a@2")), 0.1)
    assert table.is_suspected("a@1", 0.2)
    assert not table.is_suspected("a@2", 0.2)


@pytest.mark.parametrize(
    ("heard", "given_up", "live"),
    [
        # A restart.
        ([("a@1", 0.0), ("a@2", 0.1)], ["a@1"], ["a@2"]),
        # A heartbeat of the earlier start arrives late, or that process still runs.
        ([("a@1", 0.0), ("a@2", 0.1), ("a@1", 0.2)], ["a@1"], ["a@2"]),
        # The same while the restarted agent is paused.
        ([("a@1", 0.0), ("a@2", 0.1), ("a@1", 9.0)], ["a@1"], []),
        # The earlier start is the one that goes on running.
        ([("a@1", 0.0), ("a@2", 0.1), ("a@1", 10.2)], ["a@2"], ["a@1"]),
        # Nothing was heard yet of the restarted agent.
        ([("a@1", 0.0)], [], ["a@1"]),
    ],
)
def test_heartbeat_of_an_earlier_start_does_not_end_the_work_of_a_sound_agent(
    heard, given_up, live
):
    """Guards against sound work that is given up because of an outdated heartbeat."""
    table = PeerTable()
    for incarnation, now in heard:
        table.observe(PeerState(Member("a", incarnation)), now)
    lost = [name for name in ("a@1", "a@2") if table.is_lost(name, now)]
    assert lost == given_up
    assert [state.member.incarnation for state in table.live_agents(now)] == live


def test_peer_that_never_sends_a_heartbeat_is_lost_in_the_end():
    table = PeerTable()
    table.observe(PeerState(Member("a", "a@1")), 0.0)
    suspected = [table.is_suspected("a@2", now) for now in (0.0, 2.9, 3.1)]
    lost = [table.is_lost("a@2", now) for now in (9.9, 10.1)]
    assert (suspected, lost) == ([False, False, True], [False, True])


def test_starts_of_a_peer_that_restarts_all_the_time_take_bounded_memory():
    table = PeerTable()
    for number in range(10 * MAX_REPLACED):
        table.observe(PeerState(Member("a", f"a@{number}")), 0.1 * number)
    assert len(table.replaced) == MAX_REPLACED


@pytest.mark.parametrize("down_share", [0.0, 0.1, 0.2])
def test_a_change_reaches_the_design_scale_within_eight_seconds(down_share):
    rows = {row["shape"]: row for row in simulate_fleet(3900, down_share, seed=1)}
    assert rows["contacts"]["seconds"] <= 8
    assert rows["contacts"]["seconds"] <= rows["fan_out"]["seconds"]


async def test_a_newer_configuration_is_announced_at_once_and_only_once():
    controller = make_controller([0.0])
    assert not controller._has_new_version()
    controller.board.configuration.offer(1, None)
    assert controller._has_new_version()
    assert not controller._has_new_version()


@pytest.mark.parametrize(
    ("answered_at", "now", "unreachable"),
    [(None, 3.1, True), (0.5, 3.4, False), (0.5, 3.6, True)],
)
def test_a_peer_that_is_heard_but_does_not_answer_is_unreachable(
    answered_at, now, unreachable
):
    table = PeerTable(suspect_after_s=3.0)
    assert not table.is_unreachable("a@1", 0.0)
    if answered_at is not None:
        table.record_answer("a@1", answered_at)
    table.observe(PeerState(Member("a", "a@1")), now)
    assert not table.is_suspected("a@1", now)
    assert table.is_unreachable("a@1", now) is unreachable


@pytest.mark.parametrize(
    ("checked_at", "heard_at", "now", "suspected"),
    [
        # No pause; the peer is silent.
        ([9.0, 9.3, 9.6, 9.9], 5.0, 10.0, True),
        # Paused from 5 to 10, with heartbeats of the peer unread.
        ([5.0, 10.0], 4.9, 10.0, False),
        # Every check is late.
        ([5.0, 6.5, 8.0, 9.5], 5.0, 9.5, False),
        # The peer was silent for long before the pause.
        ([3.5, 4.0, 9.0], 0.0, 9.0, True),
    ],
)
def test_no_peer_is_suspected_after_a_local_pause(checked_at, heard_at, now, suspected):
    """Guards against jobs that fail because live agents are suspected."""
    table = PeerTable(suspect_after_s=3.0)
    table.observe(PeerState(Member("a", "a@1")), heard_at)
    for moment in checked_at:
        table.compensate_local_pause(moment, interval_s=0.3)
    assert table.is_suspected("a@1", now) == suspected


@pytest.mark.parametrize("pause_s", [3.5, 30.0])
async def test_entry_keeps_its_agents_after_a_local_pause(pause_s):
    """Guards against an entry that refuses all work because it suspects live agents."""
    now = [0.0]
    controller = make_controller(now)
    peers = controller.board.peers
    peers.observe(PeerState(Member("a", "a@1")), now[0])
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run_forever)
        await anyio.wait_all_tasks_blocked()
        now[0] += pause_s
        await anyio.sleep(2 * CHECK_INTERVAL_S)
        group.cancel_scope.cancel()
    assert len(peers.live_agents(now[0])) == 1


class AnsweringPeer:
    """Answers each heartbeat with the interval that it asks for."""

    def __init__(self, member, interval_s=1.0):
        self.member = member
        self.interval_ms = int(interval_s * 1000)
        self.answers = True

    async def request(self, address, message, timeout_s):
        if not self.answers:
            raise PeerTimeout("no reply", "heartbeat", address)
        return HeartbeatReply(self.member, is_agent=True, interval_ms=self.interval_ms)


@pytest.mark.parametrize(
    ("is_partition_peer", "seconds"), [(False, [0]), (True, [0, 5, 6, 7, 8, 9])]
)
async def test_new_partition_peer_with_a_full_table_gets_heartbeats_at_once(
    is_partition_peer, seconds
):
    """Guards against a sound standby that is replaced because it was asked nothing.

    Before both were members of a partition, it had no place for this daemon.
    """
    now = [0.0]
    peer = member(1, "y")
    controller = make_controller(now, contacts=[peer.address])
    controller.peers = AnsweringPeer(peer, FULL_TABLE_INTERVAL_S)
    board, sent_at = controller.board, []
    for tenth in range(100):
        now[0] = tenth / 10
        if tenth == 40 and is_partition_peer:
            board.partitions.apply(PartitionRecord(0, 1, board.member, peer))
        for address in controller._due_contacts(now[0]):
            sent_at.append(tenth // 10)
            await controller._send(address)
    assert sent_at == seconds


@pytest.mark.parametrize("answers_again", [True, False])
@pytest.mark.parametrize("asked_before_s", [0, 5, 30, 70])
async def test_new_partition_peer_has_time_to_answer(asked_before_s, answers_again):
    """Guards against a sound standby that is replaced at once after a failover.

    Its name is the lower one, so it sends the heartbeats, and the last one that it
    answered is long ago.
    """
    now = [0.0]
    peer = member(1, "y")
    controller = make_controller(now, contacts=[peer.address])
    controller.peers = AnsweringPeer(peer)
    board = controller.board
    unreachable_at = []
    for tenth in range(10 * asked_before_s + 50):
        now[0] = tenth / 10
        if tenth == 10 * asked_before_s:
            board.partitions.apply(PartitionRecord(0, 1, board.member, peer))
        if board.partitions.records:
            if board.peers.is_unreachable(peer.incarnation, now[0]):
                unreachable_at.append(tenth - 10 * asked_before_s)
            controller.peers.answers = answers_again
        elif tenth % 10 == 5:
            await controller.receive(Heartbeat(peer, is_agent=True))
        for address in controller._due_contacts(now[0]):
            await controller._send(address)
    assert unreachable_at[:1] == ([] if answers_again else [31])


async def wait_until_closed(address: str) -> None:
    host, port = parse_address(address)
    while True:
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError:
            return
        await stream.aclose()
        await anyio.sleep(0.05)


async def test_agents_that_all_stop_at_once_do_not_wait_for_a_successor(monkeypatch):
    """Guards against a planned stop of the fleet that takes five minutes."""
    monkeypatch.setattr(failover, "SUCCESSOR_TIMEOUT_S", 1.0)
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        for agent in system.agents:
            agent.stop()
        # Peers learn within a second that an agent is leaving.
        with anyio.fail_after(10.0):
            for agent in system.agents:
                await wait_until_closed(agent.http_address)


async def test_agent_that_stops_alone_hands_its_partitions_over():
    async with LocalSystem.open(agents=3, entries=1, partitions=4) as system:
        stopping = system.agents[0]
        stopping.stop()
        with anyio.fail_after(10.0):
            await wait_until_closed(stopping.http_address)
        assert not stopping.board.registers


def test_silent_peer_is_suspected_however_long_the_setting():
    """Guards against a peer that is forgotten before it is suspected."""
    table = PeerTable(suspect_after_s=100.0)
    table.observe(PeerState(member(1)), 0.0)
    for now in range(10, 130, 10):
        assert table.remove_expired(now) == []
        assert table.is_suspected("a0001@1", now) == (now > 100)
