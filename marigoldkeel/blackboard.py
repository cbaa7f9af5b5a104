"""The tables of one daemon, which its controllers read and write."""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger

from marigoldkeel.claims import ClaimRegister
from marigoldkeel.configuration import Configuration
from marigoldkeel.ejection import OutlierDetector
from marigoldkeel.heartbeats import PeerState, PeerTable
from marigoldkeel.identifiers import wall_clock_ms
from marigoldkeel.jobs import Job
from marigoldkeel.messages import TaskResult
from marigoldkeel.models import Member, TaskState
from marigoldkeel.partitions import PartitionTable
from marigoldkeel.revisions import RevisionRegister


# An exception expires with this delay at the most.
SETTINGS_CACHE_TTL_S = 1.0


class Blackboard:
    """What one daemon knows.

    :param member: This start of the process.
    :param clock: Monotonic time in seconds.
    :param wall_ms: Wall-clock time in milliseconds, used only for mint times.
    """

    __slots__ = (
        "member",
        "clock",
        "wall_ms",
        "random",
        "peers",
        "partitions",
        "registers",
        "jobs",
        "configuration",
        "detector",
        "observed_generations",
        "load",
        "slots",
        "kinds",
        "is_agent",
        "leaving",
        "events",
        "settings_cache",
        "cached_at",
    )

    def __init__(
        self,
        member: Member,
        clock: Callable[[], float] = time.monotonic,
        wall_ms: Callable[[], int] = wall_clock_ms,
        seed: int | None = None,
        is_agent: bool = True,
    ):
        self.member = member
        self.clock = clock
        self.wall_ms = wall_ms
        self.random = random.Random(seed)
        self.peers = PeerTable()
        self.partitions = PartitionTable()
        self.registers: dict[int, ClaimRegister] = {}
        self.jobs: dict[bytes, Job] = {}
        self.configuration = RevisionRegister()
        self.detector = OutlierDetector()
        self.observed_generations: dict[int, int] = {}
        self.load = 0.0
        self.slots = 0
        self.kinds: list[str] = []
        self.is_agent = is_agent
        self.leaving = False
        self.events: Counter[str] = Counter()
        self.settings_cache: dict[tuple, Any] = {}
        self.cached_at = (-1, 0.0)

    @property
    def policy(self) -> Configuration | None:
        """The operators' configuration in force, or None before the first."""
        return self.configuration.document

    def setting(self, name: str, **scope: str) -> Any:
        """Return a configured value after exceptions; see `effective`.

        Exceptions for this daemon's failure domain apply.
        """
        now = self.clock()
        revision, cached_at = self.cached_at
        if (
            revision != self.configuration.revision
            or now - cached_at > SETTINGS_CACHE_TTL_S
        ):
            self.settings_cache.clear()
            self.cached_at = (self.configuration.revision, now)
        scope.setdefault("domain", self.member.domain)
        key = (name, scope.get("kind"), scope.get("team"), scope["domain"])
        if key not in self.settings_cache:
            configuration = self.policy or Configuration()
            self.settings_cache[key] = configuration.effective(name, **scope)
        return self.settings_cache[key]

    def observe_generation(self, partition: int, generation: int) -> bool:
        """Note a generation; False if a newer one has been seen."""
        record = self.partitions.records.get(partition)
        known = max(
            self.observed_generations.get(partition, 0),
            record.generation if record is not None else 0,
        )
        self.observed_generations[partition] = max(known, generation)
        return generation >= known

    def own_state(self) -> PeerState:
        """Return this daemon's state in the form in which peers know it."""
        return PeerState(
            self.member,
            self.load,
            self.slots,
            self.configuration.revision,
            self.partitions.version,
            self.leaving,
            self.kinds,
            self.is_agent,
            self.clock(),
        )

    def compensate_local_pause(self, interval_s: float) -> None:
        """Suspect no peer because this process stood still.

        Called at regular intervals, also right before silences are judged.

        :param interval_s: The time between two calls of a process that keeps up.
        """
        delay_s = self.peers.compensate_local_pause(self.clock(), interval_s)
        if delay_s > 0:
            logger.info("this process was {:.2f} s late; no peer is blamed", delay_s)

    def candidates(self, kind: str) -> list[PeerState]:
        """Return the live agents that may be sent work of a kind."""
        now = self.clock()
        states = self.peers.live(now)
        if self.is_agent and not self.leaving:
            states.append(self.own_state())
        return [
            state
            for state in states
            if kind in state.kinds
            and state.slots
            and self.detector.available(state.member.name, now)
        ]

    def record_result(self, agent: str, kind: str, result: TaskResult) -> None:
        """Count the result of a task towards the ejection of the agent's targets.

        :param agent: The agent's name or incarnation.
        """
        if result.state == TaskState.NOT_STARTED:
            return
        self.detector.record(
            agent.partition("@")[0],
            kind,
            result.state == TaskState.SUCCEEDED,
            self.clock(),
            result.run_ms / 1000,
        )

    def live_members(self) -> Iterator[Member]:
        """Return this member and the peers that may serve partitions."""
        if self.is_agent and not self.leaving:
            yield self.member
        for state in self.peers.live(self.clock()):
            yield state.member
