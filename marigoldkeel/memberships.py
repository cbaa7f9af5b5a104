"""Sends and receives heartbeats and keeps the bounded set of peers."""

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.followers import Follower
from marigoldkeel.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    MAX_PEERS,
    PeerState,
    next_interval_s,
)
from marigoldkeel.messages import Heartbeat, HeartbeatReply
from marigoldkeel.models import Member
from marigoldkeel.transports import PeerPool


TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
MAX_MEMBERS_IN_REPLY = 16
MAX_CONTACTS = 32


class MembershipController:
    """Announces this daemon to its contacts and learns of others from replies.

    :param contacts: Addresses from the settings, which are never dropped.
    """

    def __init__(
        self,
        board: Blackboard,
        peers: PeerPool,
        contacts: list[str],
        followers: list[Follower],
        group: TaskGroup,
    ):
        self.board = board
        self.peers = peers
        self.seeds = list(contacts)
        self.followers = followers
        self.group = group
        self.learned: dict[str, Member] = {}
        self.due: dict[str, float] = {}
        self.sending: set[str] = set()

    async def run_forever(self) -> None:
        """Send each contact a heartbeat when it is due."""
        while True:
            now = self.board.clock()
            self.board.peers.suspect_after_s = (
                self.board.setting("suspect_after_ms") / 1000
            )
            for name in self.board.peers.forget_old(now):
                self.board.detector.remove(name, now)
            for address in self.contacts():
                if address not in self.sending and self.due.get(address, 0.0) <= now:
                    self.sending.add(address)
                    self.group.start_soon(self._send, address)
            await anyio.sleep(TICK_S)

    def contacts(self) -> set[str]:
        """Return the addresses to send heartbeats to."""
        addresses = set(self.seeds)
        own = self.board.member
        for record in self.board.partitions.of_member(own.incarnation):
            addresses |= {record.primary.address, record.standby.address}
        addresses |= set(list(self.learned)[:MAX_CONTACTS])
        return addresses - {own.address, ""}

    def learn(self, members: list[Member]) -> None:
        """Remember members, those of this failure domain first."""
        own = self.board.member
        for member in members:
            if member.name != own.name and member.address:
                self.learned[member.address] = member
        ranked = sorted(
            self.learned.items(), key=lambda item: item[1].domain != own.domain
        )
        self.learned = dict(ranked[:MAX_PEERS])

    async def _send(self, address: str) -> None:
        own = self.board.own_state()
        message = Heartbeat(
            own.member,
            own.load,
            own.slots,
            own.config_revision,
            own.table_version,
            own.leaving,
            list(own.kinds),
            own.is_agent,
        )
        interval_s = HEARTBEAT_INTERVAL_S
        try:
            reply = await self.peers.request(address, message, HEARTBEAT_TIMEOUT_S)
            interval_s = reply.interval_ms / 1000
            self.learn(reply.members)
            await self._observe(reply)
        except MarigoldkeelError as error:
            logger.debug("heartbeat not answered: {}", error)
            if address not in self.seeds:
                self.learned.pop(address, None)
        finally:
            self.due[address] = self.board.clock() + interval_s
            self.sending.discard(address)

    async def receive(self, message: Heartbeat) -> HeartbeatReply:
        """Note a peer's heartbeat and return this daemon's state."""
        self.group.start_soon(self._observe, message)
        self.learn([message.member] if message.is_agent else [])
        own = self.board.own_state()
        states = list(self.board.peers.states.values())
        known = [state.member for state in states if state.is_agent]
        sample = self.board.random.sample(known, min(len(known), MAX_MEMBERS_IN_REPLY))
        return HeartbeatReply(
            own.member,
            own.load,
            own.slots,
            own.config_revision,
            own.table_version,
            own.leaving,
            list(own.kinds),
            own.is_agent,
            int(next_interval_s(len(states)) * 1000),
            sample,
        )

    async def _observe(self, message: Heartbeat | HeartbeatReply) -> None:
        state = PeerState(
            message.member,
            message.load,
            message.slots,
            message.config_revision,
            message.table_version,
            message.leaving,
            message.kinds,
            message.is_agent,
        )
        self.board.peers.observe(state, self.board.clock())
        if state.is_agent:
            self.board.detector.add(state.member.name)
        for follower in self.followers:
            await follower.pull_if_behind(state)
