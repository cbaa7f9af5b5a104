"""Failure detection by heartbeats, with a bounded table of peers.

Guarantees: a peer that has sent nothing for ``suspect_after_s`` is suspected, and a
restarted peer is known under its new incarnation only; a late heartbeat of an earlier
incarnation changes nothing. `PeerTable.is_suspected` states from when this time is
counted. A suspicion may be wrong: it may trigger a change of members, but must never be
taken as proof that a peer has stopped. A peer that is silent for ``lost_after_s``
counts as lost: what it may be running is given up.

Assumptions: the local clock is monotonic. Nothing is assumed about the network.

Usage::

    >>> from marigoldkeel.models import Member
    >>> peers = PeerTable(suspect_after_s=3.0)
    >>> peers.observe(PeerState(Member("a", "a@1")), now=0.0)
    True
    >>> peers.is_suspected("a@1", now=2.9), peers.is_suspected("a@1", now=3.1)
    (False, True)
"""

from msgspec import Struct, field

from marigoldkeel.liveness import LivenessTable
from marigoldkeel.models import Member


SUSPECT_AFTER_S = 3.0
LOST_AFTER_S = 10.0
FORGET_AFTER_S = 60.0
# This limit bounds the heartbeat traffic. Two peers exchange one heartbeat and its
# reply per HEARTBEAT_INTERVAL_S, or one each way if they are members of a partition.
MAX_PEERS = 16
# A restart is forgotten after this many others.
MAX_REPLACED = 256
HEARTBEAT_INTERVAL_S = 1.0
# Heartbeat interval that a daemon with a full table requests from senders without a
# place in it. Their heartbeats ask whether there is a place by now. If 3,900 agents
# have no place in the table of an entry, they send it 3,900 / 300 s = 13 per second.
FULL_TABLE_INTERVAL_S = 300.0


class PeerState(Struct):
    """The state of a peer as of its last heartbeat.

    :ivar load: Number of queued and running tasks per slot.
    :ivar config_revision: Revision of the configuration that the peer has.
    :ivar table_version: Version of the partition table that the peer has.
    :ivar heard_at: Time of the heartbeat on the local clock, in seconds.
    """

    member: Member
    load: float = 0.0
    slots: int = 0
    config_revision: int = 0
    table_version: int = 0
    leaving: bool = False
    kinds: list[str] = field(default_factory=list)
    is_agent: bool = True
    heard_at: float = 0.0


class PeerTable(LivenessTable):
    """The peers that sent heartbeats.

    There are more than ``max_peers`` only if `observe` was told to keep them.

    :ivar states: The states of the peers by name.
    :ivar replaced: The incarnations after which another one of the same name was heard.
    :ivar expected_since: Time since which a peer that is not in ``states`` is expected
        to send a heartbeat, by incarnation.
    :ivar entries_heard_at: Time of the last heartbeat of each entry, by name.
    :ivar no_answer_since: Time since which a peer has not answered a request, by
        incarnation: that of its last answer or, without one, of the first call of
        `is_unreachable`.
    """

    def __init__(
        self, suspect_after_s: float = SUSPECT_AFTER_S, max_peers: int = MAX_PEERS
    ):
        super().__init__()
        self.suspect_after_s = suspect_after_s
        self.lost_after_s = LOST_AFTER_S
        self.max_peers = max_peers
        self.states: dict[str, PeerState] = {}
        self.replaced: dict[str, None] = {}
        self.expected_since: dict[str, float] = {}
        self.entries_heard_at: dict[str, float] = {}
        self.no_answer_since: dict[str, float] = {}

    def shift_heard_times(self, delay_s: float, now: float) -> None:
        for state in self.states.values():
            state.heard_at = min(now, state.heard_at + delay_s)
        for table in (self.expected_since, self.entries_heard_at, self.no_answer_since):
            for peer_key, since in table.items():
                table[peer_key] = min(now, since + delay_s)

    def observe(self, state: PeerState, now: float, must_keep: bool = False) -> bool:
        """Record a heartbeat.

        In a full table, a new peer replaces the one heard from least recently, provided
        that it is silent for longer than ``suspect_after_s``.

        A heartbeat of an incarnation that was replaced is late, or two processes have
        one name. It is disregarded unless the incarnation that replaced it is lost.

        :param must_keep: Whether the peer is added even if the table is full.
        :return: False if the table is full and the peer was not added.
        """
        state.heard_at = now
        name = state.member.name
        if not self._supersede(state.member, now):
            return True
        # The time before this heartbeat is not silence. If the peer is not added or is
        # removed later, the next call of is_suspected() records a new time.
        self.expected_since.pop(state.member.incarnation, None)
        if not state.is_agent:
            self.entries_heard_at[name] = now
        if name not in self.states and len(self.states) >= self.max_peers:
            longest_silent = min(self.states, key=lambda key: self.states[key].heard_at)
            if now - self.states[longest_silent].heard_at > self.suspect_after_s:
                del self.states[longest_silent]
            elif not must_keep:
                return False
        self.states[name] = state
        return True

    def _supersede(self, member: Member, now: float) -> bool:
        """Record that another incarnation of a peer is replaced by ``member``.

        :return: False if ``member`` itself was replaced.
        """
        known = self.states.get(member.name)
        if known is not None and known.member.incarnation != member.incarnation:
            current = known.member.incarnation
            if member.incarnation in self.replaced and not self.is_lost(current, now):
                return False
            self.replaced[current] = None
            if len(self.replaced) > MAX_REPLACED:
                del self.replaced[next(iter(self.replaced))]
        self.replaced.pop(member.incarnation, None)
        return True

    def expect_heartbeat(self, incarnation: str, now: float) -> None:
        """Record that a peer is expected to send a heartbeat from ``now`` on.

        A time that an earlier call recorded is kept.
        """
        self.expected_since.setdefault(incarnation, now)

    def remove_expired(self, now: float) -> list[str]:
        """Remove peers that were silent for `FORGET_AFTER_S` and return their names.

        They are kept for longer if it takes longer until they count as lost.
        Times in ``expected_since`` and ``no_answer_since`` that are as old are removed
        too. The time is then counted anew: the peer is not suspected, or not
        unreachable, until ``suspect_after_s`` after the next check.
        """
        patience_s = max(self.suspect_after_s, self.lost_after_s)
        forget_after_s = max(FORGET_AFTER_S, 2 * patience_s)
        expired = [
            name
            for name, state in self.states.items()
            if now - state.heard_at > forget_after_s
        ]
        for name in expired:
            del self.states[name]
            self.entries_heard_at.pop(name, None)
        for table in (self.expected_since, self.no_answer_since):
            for incarnation, since in list(table.items()):
                if now - since > forget_after_s:
                    del table[incarnation]
        return expired

    def state_of(self, incarnation: str) -> PeerState | None:
        """Return the state of a peer if it is known under this incarnation."""
        state = self.states.get(incarnation.partition("@")[0])
        if state is not None and state.member.incarnation == incarnation:
            return state
        return None

    def is_suspected(self, incarnation: str, now: float) -> bool:
        """Return whether a peer has been silent for too long or was restarted.

        Silence is counted from the last heartbeat or, for an incarnation that is not in
        the table, from the first call that does not find it. A peer is therefore not
        suspected right after `remove_expired` has removed it.
        """
        return self._is_replaced_or_silent(incarnation, now, self.suspect_after_s)

    def is_lost(self, incarnation: str, now: float) -> bool:
        """Return whether what a peer was running is to be given up.

        That is the case at once if a later start of it was heard. A peer that is only
        silent may be paused or cut off and still complete its work, so it is given more
        time than until it is suspected.
        """
        silence_s = max(self.suspect_after_s, self.lost_after_s)
        return self._is_replaced_or_silent(incarnation, now, silence_s)

    def _is_replaced_or_silent(
        self, incarnation: str, now: float, silence_s: float
    ) -> bool:
        state = self.state_of(incarnation)
        if state is not None:
            return now - state.heard_at > silence_s
        if incarnation in self.replaced:
            return True
        # A start that was not heard of yet may be a later one than that in the table.
        self.expect_heartbeat(incarnation, now)
        return now - self.expected_since[incarnation] > silence_s

    def record_answer(self, incarnation: str, now: float) -> None:
        """Record that a peer answered a request sent to its address."""
        self.no_answer_since[incarnation] = now

    def forget_answers(self, except_of: set[str]) -> None:
        """Forget when peers answered, except those that are asked at every interval.

        The last answer of any other may be long ago although it is sound.

        :param except_of: The incarnations that are asked at every interval.
        """
        for incarnation in self.no_answer_since.keys() - except_of:
            del self.no_answer_since[incarnation]

    def is_unreachable(self, incarnation: str, now: float) -> bool:
        """Return whether a peer's last answer to a request is too long ago.

        Without a recorded answer, the time is counted from the first call. A peer whose
        inbound link is cut still sends heartbeats, so heartbeats do not show that it
        can be reached.
        """
        since = self.no_answer_since.setdefault(incarnation, now)
        return now - since > self.suspect_after_s

    def is_leaving(self, incarnation: str) -> bool:
        """Whether a peer has announced that it is about to stop."""
        state = self.state_of(incarnation)
        return state is not None and state.leaving

    def count_unsuspected_entries(self, now: float) -> int:
        """Return the number of entries that are not suspected.

        This daemon itself is not included; entries that are leaving or are not in
        ``states`` are. An entry uses the number to determine its share of a quota.
        There are few entries, so their number is not limited.
        """
        return sum(
            now - heard_at <= self.suspect_after_s
            for heard_at in self.entries_heard_at.values()
        )

    def live_agents(self, now: float) -> list[PeerState]:
        """Return the agents that are neither suspected nor leaving."""
        return [
            state
            for state in self.states.values()
            if state.is_agent
            and not state.leaving
            and now - state.heard_at <= self.suspect_after_s
        ]
