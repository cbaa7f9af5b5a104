"""Sends and receives heartbeats and maintains a bounded set of contacts."""

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.followers import Follower
from marigoldkeel.heartbeats import FORGET_AFTER_S, FULL_TABLE_INTERVAL_S, PeerState
from marigoldkeel.messages import Heartbeat, HeartbeatReply
from marigoldkeel.models import Member
from marigoldkeel.transports import PeerPool


CHECK_INTERVAL_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
# A new version is announced at once to the contacts whose heartbeat is due within
# this time. Contacts whose full peer table lacks this daemon have a longer interval.
EARLY_SEND_WINDOW_S = 60.0
MAX_MEMBERS_IN_REPLY = 8
MEMBER_REQUEST_INTERVAL_S = 30.0
# Half of the learned contacts are in other failure domains, where standbys are chosen.
MAX_LEARNED_CONTACTS = 12


class MembershipController:
    """Sends heartbeats to contacts and learns further contacts from the replies.

    :param contacts: Addresses from the settings, which are never removed.
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
        self.learned_contacts: dict[str, Member] = {}
        self.names_by_address: dict[str, str] = {}
        self.due_at: dict[str, float] = {}
        self.in_flight: set[str] = set()
        self.members_requested_at: dict[str, float] = {}
        self.heartbeat_received_at: dict[str, float] = {}
        self.announced_versions = (0, 0)

    async def run_forever(self) -> None:
        """Send each contact a heartbeat when one is due."""
        while True:
            self.board.compensate_local_pause(CHECK_INTERVAL_S)
            now = self.board.clock()
            peers, setting = self.board.peers, self.board.setting
            peers.suspect_after_s = setting("suspect_after_ms") / 1000
            peers.lost_after_s = setting("lost_after_ms") / 1000
            for name in self.board.peers.remove_expired(now):
                self.board.detector.remove(name, now)
            for address in self._due_contacts(now):
                self.in_flight.add(address)
                self.group.start_soon(self._send, address)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _due_contacts(self, now: float) -> list[str]:
        """Return the addresses to which a heartbeat is to be sent now."""
        contacts = self.contacts()
        members = self._partition_members()
        partition_peers = {member.address for member in members}
        self.board.peers.forget_answers({member.incarnation for member in members})
        self._prune(contacts, now)
        has_new_version = self._has_new_version()
        due = []
        for address in contacts - self.in_flight:
            is_partition_peer = address in partition_peers
            if is_partition_peer:
                # A member of a partition always has a place in the table of the other.
                latest = now + self._interval_s()
                self.due_at[address] = min(latest, self.due_at.get(address, 0.0))
            wait_s = self.due_at.get(address, 0.0) - now
            # A contact whose full peer table lacks this daemon gets none early.
            if wait_s > (EARLY_SEND_WINDOW_S if has_new_version else 0.0):
                continue
            must_send = has_new_version or is_partition_peer
            if must_send or not self._is_redundant(address, now):
                due.append(address)
        return due

    def _has_new_version(self) -> bool:
        """Whether the configuration or the partition table changed since the last call.

        A new version is announced to all contacts at once, so that a change takes one
        check interval per hop rather than one heartbeat interval.
        """
        versions = (self.board.configuration.revision, self.board.partitions.version)
        has_new_version = versions != self.announced_versions
        self.announced_versions = versions
        return has_new_version

    def _prune(self, contacts: set[str], now: float) -> None:
        """Remove addresses that are not contacts and senders that have expired."""
        for table in (self.due_at, self.members_requested_at, self.names_by_address):
            for address in table.keys() - contacts:
                del table[address]
        for name, heard_at in list(self.heartbeat_received_at.items()):
            if now - heard_at > FORGET_AFTER_S:
                del self.heartbeat_received_at[name]

    def contacts(self) -> set[str]:
        """Return the addresses that heartbeats are sent to."""
        own = self.board.member
        addresses = (
            set(self.seeds) | self._partition_peers() | set(self.learned_contacts)
        )
        return addresses - {own.address, ""}

    def _partition_members(self) -> set[Member]:
        own = self.board.member
        members = set()
        for record in self.board.partitions.records_of_member(own.incarnation):
            members |= {record.primary, record.standby}
        return members

    def _partition_peers(self) -> set[str]:
        return {member.address for member in self._partition_members()}

    def add_contacts(self, members: list[Member]) -> None:
        """Add members to the learned contacts and drop those above the limit.

        At least half of the contacts kept are in other failure domains, if there are
        enough of them.
        """
        own = self.board.member
        for member in members:
            if member.name != own.name and member.address:
                self.learned_contacts.setdefault(member.address, member)
        same_domain = [
            item for item in self.learned_contacts.values() if item.domain == own.domain
        ]
        other_domains = [
            item for item in self.learned_contacts.values() if item.domain != own.domain
        ]
        other_domains = other_domains[
            : max(MAX_LEARNED_CONTACTS // 2, MAX_LEARNED_CONTACTS - len(same_domain))
        ]
        kept = same_domain[: MAX_LEARNED_CONTACTS - len(other_domains)] + other_domains
        self.learned_contacts = {member.address: member for member in kept}

    def _is_redundant(self, address: str, now: float) -> bool:
        """Whether the peer's own heartbeats make one from this daemon unnecessary.

        Of two peers, the one with the lower name sends and the other only replies. The
        latter sends too if it has received nothing for 1.5 heartbeat intervals. The two
        members of a partition always both send, because each must know whether the
        other one answers requests.
        """
        name = self.names_by_address.get(address)
        if name is None or self.board.member.name < name or self.board.leaving:
            return False
        heard_at = self.heartbeat_received_at.get(name, float("-inf"))
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
            self.names_by_address[address] = reply.member.name
            now = self.board.clock()
            self.board.peers.record_answer(reply.member.incarnation, now)
            self.add_contacts(reply.members)
            await self._observe(reply, must_keep=True)
        except MarigoldkeelError as error:
            logger.debug("no reply to the heartbeat: {}", error)
            self.learned_contacts.pop(address, None)
        finally:
            self.due_at[address] = self.board.clock() + interval_s
            self.in_flight.discard(address)

    def _wants_members(self, address: str) -> bool:
        now = self.board.clock()
        is_full = len(self.learned_contacts) >= MAX_LEARNED_CONTACTS
        last = self.members_requested_at.get(address, float("-inf"))
        if now - last < (MEMBER_REQUEST_INTERVAL_S if is_full else self._interval_s()):
            return False
        self.members_requested_at[address] = now
        return True

    async def receive(self, message: Heartbeat) -> HeartbeatReply:
        """Record the heartbeat of a peer and return the state of this daemon."""
        member = message.member
        now = self.board.clock()
        self.names_by_address[member.address] = member.name
        self.heartbeat_received_at[member.name] = now
        is_member_here = member.address in self._partition_peers()
        both_are_entries = not (message.is_agent or self.board.is_agent)
        accepted = await self._observe(message, is_member_here or both_are_entries)
        if accepted and message.is_agent:
            self.add_contacts([member])
        own = self.board.own_state()
        sample = self._sample_members() if message.wants_members else []
        interval_s = self._interval_s() if accepted else FULL_TABLE_INTERVAL_S
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
