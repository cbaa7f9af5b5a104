"""Sends and receives heartbeats and keeps the bounded set of peers."""

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.followers import Follower
from marigoldkeel.heartbeats import FORGET_AFTER_S, FULL_INTERVAL_S, PeerState
from marigoldkeel.messages import Heartbeat, HeartbeatReply
from marigoldkeel.models import Member
from marigoldkeel.transports import PeerPool


TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
NEWS_WAIT_S = 60.0
MAX_MEMBERS_IN_REPLY = 8
ASK_MEMBERS_INTERVAL_S = 30.0
# Half of the learned contacts are of other failure domains, where standbys are.
MAX_LEARNED = 12


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
        self.names: dict[str, str] = {}
        self.due: dict[str, float] = {}
        self.sending: set[str] = set()
        self.asked_at: dict[str, float] = {}
        self.heard_from: dict[str, float] = {}
        self.announced = (0, 0)

    async def run_forever(self) -> None:
        """Send each contact a heartbeat when it is due."""
        while True:
            self.board.excuse_own_delay(TICK_S)
            now = self.board.clock()
            self.board.peers.suspect_after_s = (
                self.board.setting("suspect_after_ms") / 1000
            )
            for name in self.board.peers.forget_old(now):
                self.board.detector.remove(name, now)
            contacts = self.contacts()
            partition_peers = self._partition_peers()
            self._prune(contacts, now)
            is_news = self._has_news()
            for address in contacts:
                wait_s = self.due.get(address, 0.0) - now
                # A contact that has no room for this daemon gets no news either.
                is_due = wait_s <= (NEWS_WAIT_S if is_news else 0.0)
                if address in self.sending or not is_due:
                    continue
                must_send = is_news or address in partition_peers
                if must_send or not self._is_covered(address, now):
                    self.sending.add(address)
                    self.group.start_soon(self._send, address)
            await anyio.sleep(TICK_S)

    def _has_news(self) -> bool:
        """Whether a newer document is known than at the last call.

        It is announced to all contacts at once, so that a change takes a tick for
        each hop rather than a heartbeat interval.
        """
        versions = (self.board.configuration.revision, self.board.partitions.version)
        is_news = versions != self.announced
        self.announced = versions
        return is_news

    def _prune(self, contacts: set[str], now: float) -> None:
        """Forget addresses that are no contacts and senders long silent."""
        for table in (self.due, self.asked_at, self.names):
            for address in table.keys() - contacts:
                del table[address]
        for name, heard_at in list(self.heard_from.items()):
            if now - heard_at > FORGET_AFTER_S:
                del self.heard_from[name]

    def contacts(self) -> set[str]:
        """Return the addresses to send heartbeats to."""
        own = self.board.member
        addresses = set(self.seeds) | self._partition_peers() | set(self.learned)
        return addresses - {own.address, ""}

    def _partition_peers(self) -> set[str]:
        own = self.board.member
        addresses = set()
        for record in self.board.partitions.of_member(own.incarnation):
            addresses |= {record.primary.address, record.standby.address}
        return addresses

    def learn(self, members: list[Member]) -> None:
        """Remember members, half of them of other failure domains."""
        own = self.board.member
        for member in members:
            if member.name != own.name and member.address:
                self.learned.setdefault(member.address, member)
        near = [item for item in self.learned.values() if item.domain == own.domain]
        far = [item for item in self.learned.values() if item.domain != own.domain]
        far = far[: max(MAX_LEARNED // 2, MAX_LEARNED - len(near))]
        kept = near[: MAX_LEARNED - len(far)] + far
        self.learned = {member.address: member for member in kept}

    def _is_covered(self, address: str, now: float) -> bool:
        """Whether the peer's own heartbeats make one from here needless.

        Of two peers, the one with the lower name sends and the other replies; it
        sends too when nothing has come for more than an interval. The two members
        of a partition both send, as each has to know that it can ask the other.
        """
        name = self.names.get(address)
        if name is None or self.board.member.name < name or self.board.leaving:
            return False
        heard_at = self.heard_from.get(name, float("-inf"))
        return now - heard_at <= 1.5 * self._interval_s()

    def _interval_s(self) -> float:
        return self.board.setting("heartbeat_ms") / 1000

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
            self._wants_members(address),
        )
        interval_s = self._interval_s()
        try:
            reply = await self.peers.request(address, message, HEARTBEAT_TIMEOUT_S)
            interval_s = reply.interval_ms / 1000
            self.names[address] = reply.member.name
            now = self.board.clock()
            self.board.peers.note_answer(reply.member.incarnation, now)
            self.learn(reply.members)
            await self._observe(reply, must_keep=True)
        except MarigoldkeelError as error:
            logger.debug("heartbeat not answered: {}", error)
            self.learned.pop(address, None)
        finally:
            self.due[address] = self.board.clock() + interval_s
            self.sending.discard(address)

    def _wants_members(self, address: str) -> bool:
        now = self.board.clock()
        full = len(self.learned) >= MAX_LEARNED
        last = self.asked_at.get(address, float("-inf"))
        if now - last < (ASK_MEMBERS_INTERVAL_S if full else self._interval_s()):
            return False
        self.asked_at[address] = now
        return True

    async def receive(self, message: Heartbeat) -> HeartbeatReply:
        """Note a peer's heartbeat and return this daemon's state."""
        member = message.member
        now = self.board.clock()
        self.names[member.address] = member.name
        self.heard_from[member.name] = now
        is_member_here = member.address in self._partition_peers()
        between_entries = not (message.is_agent or self.board.is_agent)
        accepted = await self._observe(message, is_member_here or between_entries)
        if accepted and message.is_agent:
            self.learn([member])
        own = self.board.own_state()
        sample = self._sample_members() if message.wants_members else []
        interval_s = self._interval_s() if accepted else FULL_INTERVAL_S
        return HeartbeatReply(
            own.member,
            own.load,
            own.slots,
            own.config_revision,
            own.table_version,
            own.leaving,
            list(own.kinds),
            own.is_agent,
            int(interval_s * 1000),
            sample,
        )

    def _sample_members(self) -> list[Member]:
        known = [
            state.member for state in self.board.peers.states.values() if state.is_agent
        ]
        return self.board.random.sample(known, min(len(known), MAX_MEMBERS_IN_REPLY))

    async def _observe(
        self, message: Heartbeat | HeartbeatReply, must_keep: bool
    ) -> bool:
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
        accepted = self.board.peers.observe(state, self.board.clock(), must_keep)
        if accepted and state.is_agent:
            self.board.detector.add(state.member.name)
        for follower in self.followers:
            self.group.start_soon(follower.pull_if_behind, state)
        return accepted
