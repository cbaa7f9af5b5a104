"""Admits callers' requests at an entry, by class, quota and deadline."""

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.limits import (
    Admission,
    AdmissionController,
    RefusalReason,
    TeamQuotas,
)
from marigoldkeel.models import Answer, Outcome
from marigoldkeel.primaries import refusal


QUOTA_STEP = "quota"
REFRESH_S = 0.2


class CallerRequest:
    """A checked request of a caller. ``deadline_s`` is a duration in seconds."""

    __slots__ = (
        "submission_id",
        "text_id",
        "team",
        "kind",
        "priority",
        "deadline_s",
        "unanswered",
        "tasks",
        "body",
        "read_only",
        "idempotent",
    )


class Admissions:
    """Applies the configured quotas and bounds to the requests of one entry.

    The balancer spreads callers over the entries, so each entry admits its share
    of a team's quota and of the fleet's queue; the shares follow the number of
    live entries, without any message beyond the heartbeats.
    """

    def __init__(self, board: Blackboard):
        self.board = board
        self.controller = AdmissionController(TeamQuotas({}), 1)
        self.applied: tuple[int, int] = (-1, 0)
        self.refreshed_at = float("-inf")

    def admit(self, caller: CallerRequest) -> Admission:
        """Decide on a request, which `release` must end if it is admitted."""
        self._apply_configuration()
        return self.controller.admit(
            caller.team,
            caller.priority,
            caller.tasks,
            caller.deadline_s,
            self.board.clock(),
        )

    def _apply_configuration(self) -> None:
        now = self.board.clock()
        if now - self.refreshed_at < REFRESH_S:
            return
        self.refreshed_at = now
        entries = 1 + self.board.peers.count_live_entries(now)
        queue_tasks = self.board.setting("queue_tasks_per_slot") + 1
        limit = self.board.setting("max_inflight_tasks")
        fleet_tasks = queue_tasks * self._fleet_slots(now)
        self.controller.max_in_flight = max(1, min(limit, fleet_tasks) // entries)
        applied = (self.board.configuration.revision, entries)
        if applied != self.applied:
            self.applied = applied
            rates, bursts = (
                {
                    team: self.board.setting(name, team=team) / entries
                    for team in self.board.policy.teams
                }
                for name in ("tasks_per_s", "burst")
            )
            self.controller.quotas.change_rates(rates, bursts)

    def _fleet_slots(self, now: float) -> int:
        """Return the slots of the fleet, estimated from the agents known here.

        The peer table is bounded, but the partition table names every agent that
        is a member of a partition.
        """
        agents = self.board.peers.live(now)
        if not agents:
            return 0
        slots = sum(state.slots for state in agents)
        fleet = max(len(agents), len(self.board.partitions.members))
        return slots * fleet // len(agents)

    def refuse(self, admission: Admission, unanswered: int) -> Answer:
        """Return the answer to a request that was not admitted."""
        answer = refusal(str(admission.reason), unanswered, "admit")
        answer.retry_after_ms = int(admission.retry_after_s * 1000)
        if admission.reason is RefusalReason.OVER_QUOTA:
            answer.step = QUOTA_STEP
        self.board.events[f"refused_{admission.reason.name.lower()}"] += 1
        self.board.events[f"refused_class_{admission.priority.name.lower()}"] += 1
        return answer

    def release(
        self,
        admission: Admission,
        caller: CallerRequest,
        started_at: float,
        answer: Answer | None,
    ) -> None:
        """End an admitted request; only a complete one says how long it queued."""
        now = self.board.clock()
        latency_s = run_time_s = None
        if answer is not None and answer.outcome is Outcome.COMPLETE:
            latency_s = now - started_at
            run_time_s = answer.run_ms / 1000
        self.controller.release(
            caller.tasks, now, latency_s, admission=admission, run_time_s=run_time_s
        )
