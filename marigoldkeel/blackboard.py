"""The state of one daemon, shared by its controllers."""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger

from marigoldkeel.claims import ClaimRegister
from marigoldkeel.clocks import boot_time_s
from marigoldkeel.configuration import Configuration
from marigoldkeel.ejection import OutlierDetector
from marigoldkeel.heartbeats import PeerState, PeerTable
from marigoldkeel.identifiers import wall_clock_ms
from marigoldkeel.jobs import Job
from marigoldkeel.messages import TaskResult
from marigoldkeel.models import Member, TaskState
from marigoldkeel.partitions import PartitionTable
from marigoldkeel.revisions import RevisionRegister


# Upper bound on the delay with which the expiry of an exception takes effect.
SETTINGS_CACHE_TTL_S = 1.0


class Blackboard:
    """The state of one daemon, which its controllers read and write.

    :param member: The name, incarnation and address of this process.
    :param clock: Returns seconds, including time in system suspend.
    :param wall_ms: Returns the wall-clock time in milliseconds, for mint times only.
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
        clock: Callable[[], float] = boot_time_s,
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
        """The operators' configuration in force, or None if none is known yet."""
        return self.configuration.document

    def setting(self, name: str, **scope: str) -> Any:
        """Return a configured value with exceptions applied; see `effective`.

        The failure domain defaults to that of this daemon.
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
        """Record a generation of a partition.

        :return: False if a newer generation is known.
        """
        record = self.partitions.records.get(partition)
        known = max(
            self.observed_generations.get(partition, 0),
            record.generation if record is not None else 0,
        )
        self.observed_generations[partition] = max(known, generation)
        return generation >= known

    def own_state(self) -> PeerState:
        """Return the state of this daemon as sent to peers in heartbeats."""
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
        """Exclude a pause of this process from the silence of its peers.

        Called at regular intervals and right before peers are checked.

        :param interval_s: The regular time between two calls.
        """
        delay_s = self.peers.compensate_local_pause(self.clock(), interval_s)
        if delay_s > 0:
            logger.info(
                "this process was paused for {:.2f} s, which is not counted as silence "
                "of its peers",
                delay_s,
            )

    def candidates(self, kind: str) -> list[PeerState]:
        """Return the live agents to which work of a kind may be sent."""
        now = self.clock()
        states = self.peers.live_agents(now)
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
        """Pass the result of a task to the outlier detector.

        It ejects agents whose targets fail.

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
        """Yield this member and its peers, as far as they may serve partitions."""
        if self.is_agent and not self.leaving:
            yield self.member
        for state in self.peers.live_agents(self.clock()):
            yield state.member
