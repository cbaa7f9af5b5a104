"""Simulated time, processes and the connections between them."""

import heapq
import random
from collections.abc import Callable
from typing import Any

from marigoldkeel.exceptions import PeerUnavailable
from marigoldkeel.models import Member


NETWORK_S = 0.001
START_WALL_MS = 1_700_000_000_000


class World:
    """Simulated time and the events to come."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0

    def clock(self) -> float:
        """Return the time in seconds."""
        return self.now

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return START_WALL_MS + round(self.now * 1000)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self.sequence, action))

    def at(self, moment: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self.after(max(0.0, moment - self.now), action)

    def run_until(self, moment: float) -> None:
        """Carry out all events up to a time."""
        while self.events and self.events[0][0] <= moment:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = moment


class PlayedConnection:
    """One end of a connection in simulated time."""

    def __init__(self, world: World, peer: str, owner: "PlayedDaemon"):
        self.world = world
        self.peer = peer
        self.owner = owner
        self.other: PlayedConnection | None = None
        self.listener: Any = None
        self.closed = False

    def send(self, content: Any) -> None:
        if self.closed:
            raise PeerUnavailable("connection closed", step="send", peer=self.peer)
        self.world.after(NETWORK_S, lambda: self.other.deliver(content))

    def deliver(self, content: Any) -> None:
        if self.closed:
            return
        if self.owner.cut_from(self.other.owner):
            # TCP delivers what a cut holds back once it has healed.
            self.world.after(0.05, lambda: self.deliver(content))
            return
        self.owner.when_awake(lambda: self._receive(content))

    def _receive(self, content: Any) -> None:
        self.listener.message_received(self, content)
        self.listener.frame_processed(self)

    def close(self) -> None:
        """Close both ends."""
        for end in (self, self.other):
            if not end.closed:
                end.closed = True
                end.owner.when_awake(
                    lambda end=end: end.listener.connection_closed(end)
                )

    def close_after_flush(self) -> None:
        self.world.after(NETWORK_S, self.close)

    def abort(self) -> None:
        self.close()


class PlayedDaemon:
    """A process that can be killed, frozen and cut off."""

    def __init__(self, world: World, name: str, domain: str):
        self.world = world
        self.name = name
        self.domain = domain
        self.generation = 0
        self.alive = True
        self.frozen = False
        self.held_back: list[Callable[[], None]] = []
        self.cuts: set[str] = set()
        self.connections: list[PlayedConnection] = []

    @property
    def member(self) -> Member:
        """This start of the process."""
        incarnation = f"{self.name}@{self.generation}"
        return Member(self.name, incarnation, self.name, self.domain)

    def cut_from(self, other: "PlayedDaemon") -> bool:
        """Whether nothing gets through between two daemons."""
        return other.name in self.cuts or self.name in other.cuts

    def when_awake(self, action: Callable[[], None]) -> None:
        """Do something now, or when the process wakes again."""
        if self.frozen:
            self.held_back.append(action)
        elif self.alive:
            action()

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Do something again and again while this start of the process lives."""
        generation = self.generation

        def repeat() -> None:
            if not self.alive or self.generation != generation:
                return
            if not self.frozen:
                action()
            self.world.after(interval_s, repeat)

        self.world.after(self.world.random.uniform(0, interval_s), repeat)

    def freeze(self) -> None:
        """Stand still."""
        self.frozen = True

    def wake(self) -> None:
        """Go on."""
        self.frozen = False
        held_back, self.held_back = self.held_back, []
        for action in held_back:
            self.when_awake(action)

    def kill(self, silently: bool = False) -> None:
        """End the process; ``silently`` leaves its connections open at the others."""
        self.alive = False
        self.held_back.clear()
        connections, self.connections = self.connections, []
        if not silently:
            for connection in connections:
                self.world.after(NETWORK_S, connection.close)

    def start(self) -> None:
        """Start the process anew."""
        self.generation += 1
        self.alive = True
        self.frozen = False
