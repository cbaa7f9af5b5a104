"""Connections between the owners of jobs and the agents of workers.

Each entry maintains one connection to each agent of its subset. Either end sends
messages at any time; an owner with no other message to send renews its lease
periodically.
"""

import math
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marigoldkeel.exceptions import MarigoldkeelError, PeerUnavailable
from marigoldkeel.fleet.messages import (
    Attach,
    Progress,
    Renew,
    RunEvent,
    StartRuns,
    StopRuns,
    WorkerFacts,
    WorkerState,
)
from marigoldkeel.fleet.schedulers import Scheduler
from marigoldkeel.fleet.subsets import (
    AgentSubset,
    has_enough_workers,
    workers_to_add,
)
from marigoldkeel.fleet.supervisors import (
    LOST_AGENT_TIMEOUT_S,
    MAX_ORDER_AGE_S,
    Supervisor,
)
from marigoldkeel.fleet.views import FleetView
from marigoldkeel.fleet.work import NO_RESOURCES, RepeatableJob, Resources
from marigoldkeel.guards import run_guarded
from marigoldkeel.models import Member
from marigoldkeel.servers import read_pending_events
from marigoldkeel.transports import Connection, ConnectionListener, PeerPool


TICK_INTERVAL_S = 0.05
# Interval between messages from an owner that has runs on a worker: two and a half
# messages per lease.
RENEW_INTERVAL_S = 0.2
# Interval between messages from an owner that has no runs on a worker. Each renewal
# makes the agent send its state.
IDLE_RENEW_INTERVAL_S = 1.0
# A connection on which a message is unacknowledged for this long is considered dead,
# even if it has not been reset.
ACKNOWLEDGE_TIMEOUT_S = 0.4
# The longest time without a message on a link in use. A link that is lost after a
# longer time was not read meanwhile, so its facts of the worker may be out of date.
MAX_LINK_SILENCE_S = IDLE_RENEW_INTERVAL_S + ACKNOWLEDGE_TIMEOUT_S + TICK_INTERVAL_S
# Interval between choices of the subset of agents; a new agent or a job that needs more
# of them triggers one at once.
SUBSET_INTERVAL_S = 0.5
# An agent without a usable worker for this long is backed up by another one. Agents
# that start together with the entry are usable before, after their workers' first
# reports.
MISSING_AFTER_S = 2.0
# The same for an agent without a connection: longer than the timeout of an attempt to
# connect and than the restart of an agent.
UNCONNECTED_AFTER_S = 1.2
# How long a link is kept that the subset no longer contains, so that an agent whose
# worker comes and goes does not cause connections each time.
UNWANTED_LINK_S = 10.0
# How long after its start an entry's directory may lack agents that have started with
# it: an agent without a connection announces itself at this interval.
DISCOVERY_INTERVAL_S = 0.5
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# Retry delay of a link whose connection another link uses: shorter than the longest
# one, so that a link whose attaches are refused does not come first each time.
TAKEN_RETRY_DELAY_S = 0.2
# A change of the free CPU capacity by more than this fraction of the total is sent to
# the owners immediately, a smaller one after STATE_INTERVAL_S. Owners account for their
# own runs themselves.
IMMEDIATE_CHANGE_FRACTION = 0.4
STATE_INTERVAL_S = 0.25
# Messages are acknowledged within this time, since the owner drops the link after
# ACKNOWLEDGE_TIMEOUT_S; the difference covers the tick and the network latency.
ACKNOWLEDGE_INTERVAL_S = 0.2


class AgentLink(Struct):
    """An entry's connection to one agent.

    :ivar unacknowledged: Send times of the messages that no `WorkerState` of the agent
        has acknowledged, by sequence number.
    :ivar successor: The agent at another address, to which the link is to be moved.
    :ivar fallback: The agent at the address before a move, until the new one answers.
    :ivar lease_sent_at: The latest time that a message has stated as the one from which
        it renews the lease.
    :ivar failures: Attempts to connect since the link was created that failed.
    :ivar runs_expire_at: When the runs on the worker of an unreachable agent have ended
        at the latest; None while the agent is reachable or after that time.
    :ivar agent_clock_ms: The agent's clock as of the last `WorkerState`, which arrived
        at ``agent_clock_read_at``.
    :ivar usable_at: When the agent last had a usable worker, or the link was created.
    :ivar connected_at: When the agent was last connected, or the link was created.
    :ivar wanted_at: When the subset last contained the agent.
    :ivar stated_revision: The revision of the evacuations that were last sent on the
        connection; 0 if there are none.
    """

    member: Member
    usable_at: float
    connected_at: float
    wanted_at: float
    successor: Member | None = None
    fallback: Member | None = None
    failures: int = 0
    connection: Connection | None = None
    connecting: bool = False
    sequence: int = 0
    unacknowledged: dict[int, float] = field(default_factory=dict)
    last_sent_at: float = float("-inf")
    lease_sent_at: float = float("-inf")
    retry_at: float = 0.0
    retry_delay_s: float = MIN_RETRY_DELAY_S
    runs_expire_at: float | None = None
    facts: WorkerFacts | None = None
    agent_clock_ms: int = 0
    agent_clock_read_at: float = 0.0
    stated_revision: int = 0

    def record_sent(self, now: float, lease_sent_at: float) -> None:
        """Record that the message with the current sequence number has been sent.

        :param lease_sent_at: The time that the message states as its own.
        """
        self.last_sent_at = now
        self.lease_sent_at = max(self.lease_sent_at, lease_sent_at)
        self.unacknowledged[self.sequence] = now

    def estimate_agent_clock_ms(self, when: float) -> int:
        """Return a lower bound for the reading of the agent's clock at a time."""
        elapsed_s = when - self.agent_clock_read_at
        return max(1, self.agent_clock_ms + math.floor(elapsed_s * 1000))

    def stated_time(self, facts_at: float) -> float:
        """Return the time that a message states as its own.

        Until the agent answers on a new connection, the runs expire as before it.
        """
        if self.runs_expire_at is None:
            return facts_at
        return min(facts_at, self.runs_expire_at - LOST_AGENT_TIMEOUT_S)

    def record_acknowledged(self, sequence: int) -> None:
        """Record that the agent has received all messages up to a sequence number."""
        for number in [key for key in self.unacknowledged if key <= sequence]:
            del self.unacknowledged[number]

    def unacknowledged_s(self, now: float) -> float:
        """Return the age of the oldest unacknowledged message."""
        return now - next(iter(self.unacknowledged.values()), now)


class OwnerEndpoint(ConnectionListener):
    """An entry's links to its subset of the known agents.

    :param clock: The clock of the scheduler.
    :param count_entries: Returns how many entries share the fleet.
    :ivar last_sequence: The highest sequence number sent on any link, from which new
        links continue, so that an agent can tell a late `Attach` from a newer one.
    :ivar connected_racks: Racks whose workers were added for a job since the subset was
        last chosen.
    :ivar evacuated_agents: The agents of workers on which no run may start.
    """

    def __init__(
        self,
        own_member: Member,
        fleet: FleetView,
        clock: Callable[[], float],
        count_entries: Callable[[], int] = lambda: 1,
    ):
        self.own_member = own_member
        self.fleet = fleet
        self.clock = clock
        self.count_entries = count_entries
        self.created_at = clock()
        self.subset = AgentSubset(own_member.name, own_member.domain)
        self.choose_at = float("-inf")
        self.last_sequence = 0
        self.connected_racks: set[str] = set()
        self.evacuated_agents: set[str] = set()
        self.links: dict[str, AgentLink] = {}
        self.links_by_address: dict[str, AgentLink] = {}
        self.scheduler: Scheduler | None = None
        self.peers: PeerPool | None = None
        self.group: TaskGroup | None = None

    def add(self, member: Member) -> None:
        """Add an agent, or note its new address.

        A record with another address may be out of date. It does not replace a link on
        which the agent answers, or on whose worker this owner may still have runs.
        """
        self.subset.add(member)
        self.fleet.agent_domains[member.name] = member.domain
        self.choose_at = float("-inf")
        link = self.links.get(member.name)
        if link is None:
            return
        if link.member.address == member.address:
            link.member, link.successor = member, None
            return
        logger.bind(
            peer=link.member.address,
            address=member.address,
            connected=link.connection is not None,
        ).info("record of agent {} carries another address", member.name)
        link.successor = member
        if link.connection is not None:
            # Shows soon whether the agent still answers at its old address.
            self._renew(link, self.facts_time())
        self._follow_successor(link)

    def remove(self, name: str) -> None:
        """Remove an agent; its link stays while it may still have runs of this owner.

        That is the case while it is connected and until ``runs_expire_at``.
        """
        self.subset.remove(name)
        self.fleet.agent_domains.pop(name, None)
        self.fleet.described.pop(name, None)
        link = self.links.get(name)
        if link is not None and link.connection is None and link.runs_expire_at is None:
            self._discard(link)

    def describe(self, name: str, facts: WorkerFacts) -> None:
        """Record the description of a worker in its agent's directory record."""
        self.fleet.described[name] = facts

    def entries_per_agent(self) -> float:
        """Return how many entries are connected to one agent on average."""
        return self.subset.entries_per_agent(
            self.count_entries(), len(self.evacuated_agents)
        )

    def update_evacuations(self, is_changed: bool) -> None:
        """Act on a newer state of the evacuations.

        :param is_changed: Whether the set of evacuated domains has changed.
        """
        if not is_changed:
            # The next renewal tells the agents that the evacuations hold as of a later
            # revision, so that an entry that was cut off cannot replace them.
            return
        facts_at = self.facts_time()
        self._find_evacuated()
        self.choose_at = float("-inf")
        for link in list(self.links.values()):
            if link.connection is not None:
                self._renew(link, facts_at)
        self.scheduler.schedule()

    def _find_evacuated(self) -> None:
        is_evacuated = self.fleet.is_evacuated
        self.evacuated_agents = (
            {name for name in self.subset.agents if is_evacuated(name)}
            if self.fleet.evacuations.since
            else set()
        )

    def connect_workers(self, job: RepeatableJob) -> bool:
        """Connect to the workers that a job needs beside those of the subset.

        :return: Whether some of them are not connected yet.
        """
        if len(self.links) >= len(self.subset.agents):
            return False
        views = [
            self.fleet.view(name) for name in self.links.keys() - self.evacuated_agents
        ]
        connected = [view.facts for view in views if view.facts is not None]
        racks = {step.data_rack for step in job.steps} - {""} - self.connected_racks
        if not racks and all(has_enough_workers(step, connected) for step in job.steps):
            return False
        self.connected_racks |= racks
        known = self.fleet.known(job.queue.service)
        ranks = self.subset.ranks
        ranked = {
            name: known[name] for name in sorted(known.keys() & ranks, key=ranks.get)
        }
        names = workers_to_add(job.steps, set(self.links), ranked)
        if names:
            self.subset.pin(names, self.clock())
            self._choose_links(self.clock())
            self.step_links()
        return bool(names)

    def finds_workers(self) -> bool:
        """Return whether the workers that this owner may use are still being found.

        After a common start the first agents announce themselves up to
        `DISCOVERY_INTERVAL_S` before the others, so the directory is incomplete until
        then. Agents with no usable worker count until they are taken as missing.
        """
        now = self.clock()
        if now - self.created_at < DISCOVERY_INTERVAL_S:
            return True
        return any(
            now - link.usable_at <= MISSING_AFTER_S and not self.fleet.view(name).ready
            for name, link in self.links.items()
        )

    @property
    def connected(self) -> int:
        """The number of connected agents."""
        return sum(link.connection is not None for link in self.links.values())

    def facts_time(self) -> float:
        """Return the time as of which this owner knows that its runs are wanted."""
        return self.scheduler.facts_time(self.clock())

    def send(
        self, name: str, message: StartRuns | StopRuns | Renew, facts_at: float
    ) -> int:
        """Send a message to an agent.

        A message that cannot be sent is dropped; the next `Attach` reconciles the runs.

        :param facts_at: The time of the facts that the message is based on. The agent
            takes it for the time of sending, however late the message goes out.
        :return: The sequence number of the message, or 0 without a connection.
        """
        link = self.links.get(name)
        if link is None or link.connection is None:
            return 0
        message.sequence = self._next_sequence(link)
        now = self.clock()
        sent_at = link.stated_time(facts_at)
        message.sent_ms = link.estimate_agent_clock_ms(sent_at)
        try:
            link.connection.send(message)
        except PeerUnavailable as error:
            logger.info("could not send to agent {}: {}", name, error)
            link.stated_revision = 0
            return link.sequence
        link.record_sent(now, sent_at)
        return link.sequence

    async def run_forever(self) -> None:
        """Connect, renew leases and detect dead connections until cancelled."""
        while True:
            self.step()
            await anyio.sleep(TICK_INTERVAL_S)
            if self.scheduler.resuming:
                await read_pending_events()

    def step(self) -> None:
        """Perform all work that is due now."""
        self.step_links()
        self.scheduler.tick()

    def step_links(self) -> None:
        """Choose the subset, and connect, renew or drop links that are due."""
        now = self.clock()
        facts_at = self.scheduler.facts_time(now)
        if now >= self.choose_at:
            self.choose_at = now + SUBSET_INTERVAL_S
            self.connected_racks.clear()
            self._choose_links(now)
        for link in list(self.links.values()):
            if link.connection is None:
                self._check_disconnected(link, now)
            else:
                self._check_connected(link, now, facts_at)

    def _choose_links(self, now: float) -> None:
        """Create the links of the subset and discard those that it does not contain.

        A link with runs of this owner, or that may still have some, is kept.
        """
        for link in self.links.values():
            if self.fleet.view(link.member.name).ready:
                link.usable_at = now
            if link.connection is not None:
                link.connected_at = now
        missing = {
            name
            for name, link in self.links.items()
            if now - link.usable_at > MISSING_AFTER_S
            or now - link.connected_at > UNCONNECTED_AFTER_S
        }
        self._find_evacuated()
        missing |= self.evacuated_agents
        chosen = self.subset.choose(self.count_entries(), missing, now)
        added = chosen - self.links.keys()
        for name in chosen - added:
            self.links[name].wanted_at = now
        # In a fixed order, so that a simulation repeats.
        for name in sorted(added):
            self._create(self.subset.agents[name])
        if added:
            logger.bind(
                known=len(self.subset.agents),
                links=len(self.links),
                missing=len(missing),
                needed_by_jobs=len(self.subset.pinned),
            ).info("subset extended by {} agents", len(added))
        for link in list(self.links.values()):
            has_runs = bool(self.fleet.view(link.member.name).placed)
            may_have_runs = link.connecting or link.runs_expire_at is not None
            if (
                now - link.wanted_at > UNWANTED_LINK_S
                and not has_runs
                and not may_have_runs
            ):
                if link.connection is not None:
                    link.connection.close_after_flush()
                self._discard(link)

    def _create(self, member: Member) -> AgentLink:
        now = self.clock()
        link = AgentLink(member, now, now, now, sequence=self.last_sequence)
        self.links[member.name] = link
        user = self.links_by_address.get(member.address)
        if user is None or user.connection is None:
            self.links_by_address[member.address] = link
        return link

    def _follow_successor(self, link: AgentLink) -> bool:
        """Replace the link of an agent that has moved, unless it is still needed."""
        # The record that moved a link may have been out of date.
        returns = link.successor is None and link.failures > 0
        target = link.fallback if returns else link.successor
        name = link.member.name
        if target is None or link.connection is not None:
            return False
        if self.scheduler.held_on(name, self.clock()):
            return False
        self._discard(link)
        moved = self._create(target)
        moved.fallback = link.member
        if returns:
            moved.retry_at, moved.retry_delay_s = link.retry_at, link.retry_delay_s
        return True

    def _check_disconnected(self, link: AgentLink, now: float) -> None:
        if link.runs_expire_at is not None and now > link.runs_expire_at:
            link.runs_expire_at = None
            self.scheduler.handle_worker_lost(link.member.name, "agent not reachable")
        if self._follow_successor(link):
            return
        if not link.connecting and now >= link.retry_at:
            link.connecting = True
            self.group.start_soon(run_guarded, "connect", self.connect, link)

    def _check_connected(self, link: AgentLink, now: float, facts_at: float) -> None:
        if link.unacknowledged_s(now) > ACKNOWLEDGE_TIMEOUT_S:
            logger.bind(peer=link.member.address).info(
                "link to agent {} dropped: no acknowledgement for {:.2f} s",
                link.member.name,
                link.unacknowledged_s(now),
            )
            self.group.start_soon(link.connection.abort)
            self._mark_disconnected(link)
            return
        has_runs = bool(self.fleet.view(link.member.name).placed)
        interval_s = RENEW_INTERVAL_S if has_runs else IDLE_RENEW_INTERVAL_S
        if now - link.last_sent_at >= interval_s:
            self._renew(link, facts_at)

    def _renew(self, link: AgentLink, facts_at: float) -> None:
        """Renew the lease; state the evacuations if the agent may not know them."""
        message = Renew()
        evacuations = self.fleet.evacuations
        if evacuations.revision > link.stated_revision:
            message.evacuation_revision = evacuations.revision
            message.evacuated = evacuations.domains
            link.stated_revision = evacuations.revision
        self.send(link.member.name, message, facts_at)

    async def connect(self, link: AgentLink) -> None:
        """Connect to an agent and attach; a failed attempt is retried with backoff."""
        try:
            connection = await self.peers.connect(link.member.address)
            self.attach(link, connection)
        except MarigoldkeelError as error:
            logger.debug("could not connect to agent {}: {}", link.member.name, error)
            self._delay_retry(link, self.clock())
        finally:
            link.connecting = False

    def attach(self, link: AgentLink, connection: Connection) -> None:
        """Adopt a new connection to an agent and send an `Attach` on it."""
        now = self.clock()
        facts_at = self.scheduler.facts_time(now)
        is_current = self.links.get(link.member.name) is link
        if connection.closed or not is_current:
            self._delay_retry(link, now)
            return
        if self._is_taken(link, connection):
            link.failures += 1
            link.retry_at = now + TAKEN_RETRY_DELAY_S
            return
        self.links_by_address[link.member.address] = link
        link.connection = connection
        self._next_sequence(link)
        # An attach is no proof that the agent answers, so until a state has arrived,
        # the runs expire as before it.
        sent_at = link.stated_time(facts_at) if link.agent_clock_ms else facts_at
        link.record_sent(now, sent_at)
        held = self.scheduler.held_on(link.member.name, sent_at)
        self.fleet.view(link.member.name).restore(held, link.sequence)
        facts = link.facts or WorkerFacts()
        sent_ms = 0
        if link.agent_clock_ms:
            sent_ms = link.estimate_agent_clock_ms(sent_at)
        evacuations = self.fleet.evacuations
        attach = Attach(
            link.sequence,
            self.own_member,
            held,
            facts,
            sent_ms,
            link.member.name,
            evacuations.revision,
            evacuations.domains,
        )
        link.stated_revision = evacuations.revision
        connection.send(attach)
        # The orders or the ends of these runs may have been lost with the last link.
        for order in self.scheduler.stop_orders(link.member.name, facts_at):
            self.send(link.member.name, order, facts_at)

    def _is_taken(self, link: AgentLink, connection: Connection) -> bool:
        """Return whether another agent's link uses a connection.

        That is the case if the records of two agents carry one address.
        """
        user = self.links_by_address.get(link.member.address, link)
        return user is not link and user.connection is connection

    def _delay_retry(self, link: AgentLink, now: float) -> None:
        link.failures += 1
        link.retry_at = now + link.retry_delay_s
        link.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * link.retry_delay_s)

    def _next_sequence(self, link: AgentLink) -> int:
        link.sequence += 1
        self.last_sequence = max(self.last_sequence, link.sequence)
        return link.sequence

    def message_received(self, connection: Connection, content: Any) -> bool:
        link = self.links_by_address.get(connection.peer)
        if link is None or link.connection is not connection:
            return isinstance(content, WorkerFacts | WorkerState | RunEvent | Progress)
        name = link.member.name
        if isinstance(content, WorkerState):
            self._apply_state(link, content)
        elif isinstance(content, WorkerFacts):
            if link.facts is not None and link.facts.boot != content.boot:
                self.scheduler.clear_failures(name)
            link.facts = content
            # Deployments that follow no evacuations use cold workers as warm ones.
            self.fleet.view(name).describe(
                content, self.scheduler.clock(), self.fleet.evacuations.known
            )
        elif isinstance(content, RunEvent):
            self.scheduler.handle_event(name, content)
        elif isinstance(content, Progress):
            self.scheduler.handle_progress(name, content)
        else:
            return False
        return True

    def frame_processed(self, connection: Connection) -> None:
        self.scheduler.schedule()

    def continue_scheduling(self) -> None:
        """Continue a pass that has ended early, after what has arrived is read."""
        self.group.start_soon(run_guarded, "schedule", self._continue_scheduling)

    async def _continue_scheduling(self) -> None:
        await read_pending_events()
        if self.scheduler.is_interrupted:
            self.scheduler.schedule()

    def _apply_state(self, link: AgentLink, state: WorkerState) -> None:
        facts_at = self.facts_time()
        link.fallback = None
        is_reattached = link.runs_expire_at is not None
        link.runs_expire_at = None
        link.retry_delay_s = MIN_RETRY_DELAY_S
        view = self.fleet.view(link.member.name)
        if not view.connected:
            logger.bind(peer=link.member.address).info(
                "agent {} connected", link.member.name
            )
        link.agent_clock_ms, link.agent_clock_read_at = state.clock_ms, self.clock()
        view.connected = True
        view.update(state)
        link.record_acknowledged(state.heard)
        if is_reattached and view.placed:
            # The attach has not renewed the lease.
            self.send(link.member.name, Renew(), facts_at)

    def connection_closed(self, connection: Connection) -> None:
        link = self.links_by_address.get(connection.peer)
        if link is not None and link.connection is connection:
            self._mark_disconnected(link)

    def _mark_disconnected(self, link: AgentLink) -> None:
        """Handle the loss of a connection; runs of this owner may continue for now."""
        now = self.clock()
        link.connection = None
        link.unacknowledged.clear()
        if self.fleet.view(link.member.name).connected:
            link.retry_at = now
        else:
            self._delay_retry(link, now)
        if now - link.agent_clock_read_at > MAX_LINK_SILENCE_S:
            link.facts = None
        if link.runs_expire_at is None:
            link.runs_expire_at = link.lease_sent_at + LOST_AGENT_TIMEOUT_S
        self.fleet.view(link.member.name).disconnect()
        logger.bind(peer=link.member.address).info("agent {} lost", link.member.name)

    def _discard(self, link: AgentLink) -> None:
        self.links.pop(link.member.name, None)
        if self.links_by_address.get(link.member.address) is link:
            del self.links_by_address[link.member.address]
        self.fleet.remove(link.member.name)
        self.scheduler.remove_worker(link.member.name, "agent replaced")


class OwnerLink(Struct):
    """An agent's connection to one owner, and what was last sent on it.

    :ivar last_sequence: The highest sequence number received from the owner.
    :ivar acknowledged_sequence: The highest one that a sent state acknowledges.
    :ivar sent_free: The free resources in the last state sent.
    """

    connection: Connection
    owner: Member
    last_sequence: int = 0
    acknowledged_sequence: int = 0
    state_sent_at: float = float("-inf")
    sent_free: Resources = NO_RESOURCES
    sent_usable: bool = False
    facts_sent: WorkerFacts | None = None


class AgentEndpoint(ConnectionListener):
    """An agent's links to the owners of runs at its worker.

    :param clock: Returns seconds of a clock that includes time in system suspend.
    :param own_name: The agent's name; an attach that names another has no effect.
    :ivar closed_sequences: The highest sequence number received from each owner whose
        connection has closed.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        flush: Callable[[], None],
        clock: Callable[[], float],
        own_name: str = "",
    ):
        self.supervisor = supervisor
        self.flush = flush
        self.clock = clock
        self.own_name = own_name
        self.links: dict[str, OwnerLink] = {}
        self.closed_sequences: dict[str, int] = {}
        self.links_by_connection: dict[int, OwnerLink] = {}

    def message_received(self, connection: Connection, content: Any) -> bool:
        if isinstance(content, Attach | Renew) and content.evacuation_revision:
            self._record_evacuations(connection, content)
        if isinstance(content, Attach):
            self._attach(connection, content)
            return True
        if not isinstance(content, StartRuns | StopRuns | Renew):
            return False
        link = self.links_by_connection.get(id(connection))
        # Entries of earlier versions send stop orders without a time.
        has_time = content.sent_ms or not isinstance(content, StopRuns)
        sent_at, age_s = self._sent_at(content.sent_ms if has_time else None)
        if link is None or not self.supervisor.renew_owner_lease(
            link.owner.incarnation, sent_at
        ):
            # The lease has expired; the owner has to attach again.
            self._close(connection)
            return True
        link.last_sequence = max(link.last_sequence, content.sequence)
        if isinstance(content, StartRuns) and age_s > MAX_ORDER_AGE_S:
            self.supervisor.refuse(
                link.owner.incarnation, content, f"the order is {age_s:.2f} s old"
            )
        elif isinstance(content, StartRuns):
            self.supervisor.start(link.owner.incarnation, content, sent_at)
        elif isinstance(content, StopRuns):
            due_at = sent_at - content.age_ms / 1000
            self.supervisor.stop(link.owner.incarnation, content.runs, due_at)
        else:
            self._send_state(
                link, self.supervisor.free_resources, self.supervisor.usable
            )
        return True

    def _record_evacuations(
        self, connection: Connection, message: Attach | Renew
    ) -> None:
        """Keep the stated evacuations if they are the latest, whoever states them."""
        link = self.links_by_connection.get(id(connection))
        owner = link.owner if link is not None else getattr(message, "owner", None)
        self.supervisor.evacuations.offer(
            message.evacuation_revision,
            message.evacuated,
            owner.name if owner is not None else connection.peer,
        )

    def frame_processed(self, connection: Connection) -> None:
        self.flush()

    def connection_closed(self, connection: Connection) -> None:
        link = self.links_by_connection.pop(id(connection), None)
        if link is not None and self.links.get(link.owner.incarnation) is link:
            del self.links[link.owner.incarnation]
            self.closed_sequences[link.owner.incarnation] = link.last_sequence

    def deliver(self) -> None:
        """Send pending notifications, and the state to the owners that need it."""
        for notification in self.supervisor.take_notifications():
            link = self.links.get(notification.owner)
            if link is not None:
                self._send(link, notification.content)
        # Computed once for all owners, since it is a sum over all runs.
        free, usable = self.supervisor.free_resources, self.supervisor.usable
        for link in list(self.links.values()):
            if self._must_send_state(link, free, usable):
                self._send_state(link, free, usable)

    def _must_send_state(self, link: OwnerLink, free: Resources, usable: bool) -> bool:
        """Whether the current state is to be sent to an owner now.

        An owner needs it if it may be waiting for capacity or may send orders that
        exceed the capacity. Delaying other changes saves most of the messages.
        """
        supervisor = self.supervisor
        facts = supervisor.facts
        if usable != link.sent_usable or facts != link.facts_sent:
            return True
        since_state_s = supervisor.clock() - link.state_sent_at
        if (
            link.last_sequence > link.acknowledged_sequence
            and since_state_s > ACKNOWLEDGE_INTERVAL_S
        ):
            return True
        if facts is None or free == link.sent_free:
            return False
        recent_demand = supervisor.last_demand
        if recent_demand.fits(free) != recent_demand.fits(link.sent_free):
            return True
        change = abs(free.cpu_milli - link.sent_free.cpu_milli)
        if change > IMMEDIATE_CHANGE_FRACTION * facts.capacity.cpu_milli:
            return True
        return since_state_s > STATE_INTERVAL_S

    @property
    def entries(self) -> list[Member]:
        """The connected entries."""
        return [link.owner for link in self.links.values()]

    def _attach(self, connection: Connection, message: Attach) -> None:
        if message.agent and self.own_name and message.agent != self.own_name:
            logger.bind(peer=message.owner.address, agent=message.agent).info(
                "attach of owner {} refused: meant for another agent",
                message.owner.name,
            )
            self._close(connection)
            return
        current = self.links.get(message.owner.incarnation)
        if message.sequence < self._last_sequence(message.owner.incarnation):
            # The owner has given up this connection and attached on a newer one.
            logger.bind(peer=message.owner.address).info(
                "late attach of owner {} ignored", message.owner.name
            )
            self._close(connection)
            return
        if current is not None and current.connection is not connection:
            # The owner is now told which runs are not here, so that no order that is
            # still on its way on the older connection may start one of them.
            self._close(current.connection)
        link = OwnerLink(connection, message.owner, message.sequence)
        self.links[message.owner.incarnation] = link
        self.links_by_connection[id(connection)] = link
        sent_at, _ = self._sent_at(message.sent_ms or None)
        self.supervisor.attach(message, sent_at, self.links.keys())
        self.closed_sequences = {
            owner: sequence
            for owner, sequence in self.closed_sequences.items()
            if owner in self.supervisor.owners and owner not in self.links
        }
        logger.bind(peer=message.owner.address).info(
            "owner {} attached with {} runs", message.owner.name, len(message.held)
        )
        self._send_state(link, self.supervisor.free_resources, self.supervisor.usable)

    def _last_sequence(self, incarnation: str) -> int:
        """Return the highest sequence number received from an owner."""
        link = self.links.get(incarnation)
        if link is not None:
            return link.last_sequence
        return self.closed_sequences.get(incarnation, 0)

    def _sent_at(self, sent_ms: int | None) -> tuple[float, float]:
        """Return when a message was sent, on the supervisor's clock, and its age.

        :param sent_ms: The time on this agent's clock that the message states.
        """
        # Read first: a pause between the two readings makes a message older.
        now = self.supervisor.suspended_clock()
        if sent_ms is None:
            return now, 0.0
        age_s = max(0.0, self.clock() - sent_ms / 1000)
        return now - age_s, age_s

    def _send_state(self, link: OwnerLink, free: Resources, usable: bool) -> None:
        supervisor = self.supervisor
        if supervisor.facts is not None and supervisor.facts != link.facts_sent:
            link.facts_sent = supervisor.facts
            self._send(link, supervisor.facts)
        state = WorkerState(
            link.last_sequence, free, usable, round(self.clock() * 1000)
        )
        link.state_sent_at = supervisor.clock()
        link.acknowledged_sequence = link.last_sequence
        link.sent_free, link.sent_usable = state.room, state.usable
        self._send(link, state)

    def _send(self, link: OwnerLink, content: Any) -> None:
        try:
            link.connection.send(content)
        except PeerUnavailable as error:
            logger.info("could not send to owner {}: {}", link.owner.name, error)

    def _close(self, connection: Connection) -> None:
        self.links_by_connection.pop(id(connection), None)
        connection.close_after_flush()
