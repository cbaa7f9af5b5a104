"""An event loop in simulated time, with processes and connections between them."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from marigoldkeel.exceptions import PeerUnavailable
from marigoldkeel.models import Member


NETWORK_LATENCY_S = 0.001
INITIAL_WALL_MS = 1_700_000_000_000
RETRANSMIT_INTERVAL_S = 0.05
# Follows the last content of a connection.
END = object()


class EventLoop:
    """A simulated clock and the queue of scheduled events.

    :ivar random: Source of all random decisions, seeded for repeatable runs.
    """

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def wall_ms(self) -> int:
        """Return the simulated wall-clock time in milliseconds."""
        return INITIAL_WALL_MS + round(self.now * 1000)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self.sequence, action))

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or immediately if that has passed."""
        self.call_later(max(0.0, when - self.now), action)

    def run_until(self, when: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= when:
            self.now, _, action = heapq.heappop(self.events)
            action()
        # An action that was paused may have run the events up to a later time.
        self.now = max(self.now, when)


class SimulatedConnection:
    """One end of a simulated connection.

    As with TCP, what a partition holds up arrives in order once it has healed, and an
    end learns that the other one has closed after all that was sent before.

    :ivar owner: The process at this end.
    :ivar arriving: What was sent to this end and has not been delivered yet.
    :ivar other: The other end.
    :ivar listener: Called when messages arrive and when the connection closes.
    :ivar latency_s: How long messages from this end take.
    """

    def __init__(self, loop: EventLoop, peer: str, owner: "SimulatedProcess"):
        self.loop = loop
        self.peer = peer
        self.owner = owner
        self.other: SimulatedConnection | None = None
        self.listener: Any = None
        self.latency_s = NETWORK_LATENCY_S
        self.closed = False
        self.arriving: deque[Any] = deque()

    def send(self, content: Any) -> None:
        if self.closed:
            raise PeerUnavailable("connection closed", step="send", peer=self.peer)
        self._transmit(content)

    def _transmit(self, content: Any) -> None:
        self.owner.pass_point()
        self.loop.call_later(self.latency_s, lambda: self.other.arrive(content))

    def arrive(self, content: Any) -> None:
        """Deliver what the other end has sent, after all that it sent before."""
        self.arriving.append(content)
        if len(self.arriving) == 1:
            self._deliver()

    def _deliver(self) -> None:
        while self.arriving:
            if self.owner.is_partitioned_from(self.other.owner):
                self.loop.call_later(RETRANSMIT_INTERVAL_S, self._deliver)
                return
            content = self.arriving.popleft()
            self.owner.run_when_resumed(lambda content=content: self._receive(content))

    def _receive(self, content: Any) -> None:
        if self.closed:
            return
        if content is END:
            self.closed = True
            self.listener.connection_closed(self)
            return
        self.owner.pass_point()
        self.listener.message_received(self, content)
        self.listener.frame_processed(self)

    def close(self) -> None:
        """Close this end; the other one follows when it has received what was sent."""
        if self.closed:
            return
        self.closed = True
        self._transmit(END)
        self.owner.run_when_resumed(lambda: self.listener.connection_closed(self))

    def close_after_flush(self) -> None:
        self.loop.call_later(NETWORK_LATENCY_S, self.close)

    def abort(self) -> None:
        self.close()


class SimulatedProcess:
    """A process that can be killed, paused, and partitioned from others.

    :ivar generation: How many times it was restarted.
    :ivar deferred: Actions to run once it is resumed.
    :ivar partitioned_from: Names of the processes that it cannot communicate with.
    :ivar points: How many points at which a pause may fall it has passed: readings of
        the clock, and messages sent or read.
    :ivar pauses: How long it is paused at some of these points, by number.
    """

    def __init__(self, loop: EventLoop, name: str, domain: str):
        self.loop = loop
        self.name = name
        self.domain = domain
        self.generation = 0
        self.alive = True
        self.paused = False
        self.deferred: list[Callable[[], None]] = []
        self.partitioned_from: set[str] = set()
        self.connections: list[SimulatedConnection] = []
        self.points = 0
        self.pauses: dict[int, float] = {}

    def pass_point(self) -> None:
        """Pause the process here, within an action, if that is due.

        Everything else goes on meanwhile. What arrives is handled after the action.
        """
        pause_s = self.pauses.pop(self.points, None)
        self.points += 1
        if pause_s is None or self.paused:
            return
        self.pause()
        self.loop.run_until(self.loop.now + pause_s)
        self.loop.call_later(0.0, self.resume)

    def clock(self) -> float:
        """Return the simulated time; the process may be paused before or after."""
        self.pass_point()
        now = self.loop.now
        self.pass_point()
        return now

    @property
    def member(self) -> Member:
        """The identity of the current incarnation of the process."""
        incarnation = f"{self.name}@{self.generation}"
        return Member(self.name, incarnation, self.name, self.domain)

    def is_partitioned_from(self, other: "SimulatedProcess") -> bool:
        """Return whether a network partition separates two processes."""
        return (
            other.name in self.partitioned_from or self.name in other.partitioned_from
        )

    def run_when_resumed(self, action: Callable[[], None]) -> None:
        """Run an action now, or when the process is resumed."""
        if self.paused:
            self.deferred.append(action)
        elif self.alive:
            action()

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run an action periodically while this incarnation of the process lives."""
        generation = self.generation

        def repeat() -> None:
            if not self.alive or self.generation != generation:
                return
            if not self.paused:
                action()
            self.loop.call_later(interval_s, repeat)

        self.loop.call_later(self.loop.random.uniform(0, interval_s), repeat)

    def pause(self) -> None:
        """Pause the process, as by SIGSTOP."""
        self.paused = True

    def resume(self) -> None:
        """Resume the process and run its deferred actions."""
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            self.run_when_resumed(action)

    def kill(self, silently: bool = False) -> None:
        """Kill the process.

        :param silently: Whether its peers are not notified that connections closed.
        """
        self.alive = False
        self.deferred.clear()
        connections, self.connections = self.connections, []
        if not silently:
            for connection in connections:
                connection.close()

    def start(self) -> None:
        """Start a new incarnation of the process."""
        self.generation += 1
        self.alive = True
        self.paused = False
