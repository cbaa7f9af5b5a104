"""Failure detection by heartbeats, with a bounded table of peers.

Guarantees: a peer that has sent nothing for ``suspect_after_s`` is suspected, and a
restarted peer is known under its new incarnation only. A suspicion may be wrong: it
may trigger a change of members, but must never be taken as proof that a peer has
stopped.

Assumptions: the local clock is monotonic. Nothing is assumed about the network.

Usage::

    >>> from marigoldkeel.models import Member
    >>> peers = PeerTable(suspect_after_s=3.0)
    >>> peers.observe(PeerState(Member("a", "a@1")), now=0.0)
    True
    >>> peers.is_suspected("a@1", now=2.9), peers.is_suspected("a@1", now=3.1)
    (False, True)
"""

from dataclasses import dataclass, field

from marigoldkeel.liveness import LivenessTable
from marigoldkeel.models import Member


SUSPECT_AFTER_S = 3.0
FORGET_AFTER_S = 60.0
# This limit bounds the heartbeat traffic: a daemon and each of its peers exchange one
# heartbeat and one reply per HEARTBEAT_INTERVAL_S.
MAX_PEERS = 16
HEARTBEAT_INTERVAL_S = 1.0
# Heartbeat interval that a daemon with a full table requests from senders without a
# place in it. Their heartbeats ask whether there is a place by now. With 3,900 agents,
# an entry gets 3,900 / 300 s = 13 of them per second.
FULL_TABLE_INTERVAL_S = 300.0


@dataclass(slots=True)
class PeerState:
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
    :ivar expected_since: Time since which a peer that is not in ``states`` is expected
        to send a heartbeat, by incarnation.
    :ivar entries_heard_at: Time of the last heartbeat of each entry, by name.
    :ivar answered_at: Time of each peer's last answer to a request, or of the first
        check if it has answered none, by incarnation.
    """

    def __init__(
        self, suspect_after_s: float = SUSPECT_AFTER_S, max_peers: int = MAX_PEERS
    ):
        super().__init__()
        self.suspect_after_s = suspect_after_s
        self.max_peers = max_peers
        self.states: dict[str, PeerState] = {}
        self.expected_since: dict[str, float] = {}
        self.entries_heard_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}

    def shift_heard_times(self, delay_s: float, now: float) -> None:
        for state in self.states.values():
            state.heard_at = min(now, state.heard_at + delay_s)
        for table in (self.expected_since, self.entries_heard_at, self.answered_at):
            for peer_id, since in table.items():
                table[peer_id] = min(now, since + delay_s)

    def observe(self, state: PeerState, now: float, must_keep: bool = False) -> bool:
        """Record a heartbeat.

        In a full table, a new peer replaces the one heard from least recently, provided
        that it is silent for longer than ``suspect_after_s``.

        :param must_keep: Whether the peer is added even if the table is full.
        :return: False if the table is full and the peer was not added.
        """
        state.heard_at = now
        name = state.member.name
        # If the peer is not added or is removed later, its silence is counted from the
        # next check and not from an expectation that precedes this heartbeat.
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

    def expect_heartbeat(self, incarnation: str, now: float) -> None:
        """Count a peer without a heartbeat as silent from ``now`` on.

        A time that an earlier call recorded is kept.
        """
        self.expected_since.setdefault(incarnation, now)

    def remove_expired(self, now: float) -> list[str]:
        """Remove peers that were silent for `FORGET_AFTER_S` and return their names."""
        expired = [
            name
            for name, state in self.states.items()
            if now - state.heard_at > FORGET_AFTER_S
        ]
        for name in expired:
            del self.states[name]
            self.entries_heard_at.pop(name, None)
        for table in (self.expected_since, self.answered_at):
            for incarnation, since in list(table.items()):
                if now - since > FORGET_AFTER_S:
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

        The silence of a peer that is not in the table is counted from the first call,
        so a peer is not suspected right after `remove_expired` has removed it.
        """
        state = self.states.get(incarnation.partition("@")[0])
        if state is None:
            self.expect_heartbeat(incarnation, now)
            return now - self.expected_since[incarnation] > self.suspect_after_s
        if state.member.incarnation != incarnation:
            return True
        return now - state.heard_at > self.suspect_after_s

    def record_answer(self, incarnation: str, now: float) -> None:
        """Record that a peer answered a request sent to its address."""
        self.answered_at[incarnation] = now

    def is_unreachable(self, incarnation: str, now: float) -> bool:
        """Return whether a peer has answered no request for too long.

        The time is counted from the first call if no answer is recorded. A peer whose
        inbound link is cut still sends heartbeats, so heartbeats do not show that it
        can be reached.
        """
        since = self.answered_at.setdefault(incarnation, now)
        return now - since > self.suspect_after_s

    def is_leaving(self, incarnation: str) -> bool:
        """Whether a peer has announced that it is about to stop."""
        state = self.state_of(incarnation)
        return state is not None and state.leaving

    def count_unsuspected_entries(self, now: float) -> int:
        """Return the number of entries that are not suspected.

        Entries that are leaving or are not in the peer table are included. Each entry
        counts the others to determine its share of a quota. There are few entries, so
        their number is not limited.
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
