"""Admission of callers' requests at an entry, by priority, quota and deadline."""

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.limits import (
    AdmissionController,
    AdmissionDecision,
    RefusalReason,
    TeamQuotas,
)
from marigoldkeel.models import Answer, Outcome
from marigoldkeel.primaries import refusal


QUOTA_STEP = "quota"
REFRESH_INTERVAL_S = 0.2


class CallerRequest:
    """A validated request of a caller.

    :ivar deadline_s: The time from the arrival until the deadline, in seconds.
    :ivar deadline: The deadline on the clock of the entry.
    :ivar unanswered: Earlier attempts that the caller states to have had no answer.
    :ivar possible_attempts: The same, or 1 if the caller may have sent the id to
        another entry meanwhile. If it is 0, a refusal here means "not run"; the
        members of the partition decide from what they know and from ``unanswered``.
    """

    __slots__ = (
        "submission_id",
        "text_id",
        "team",
        "kind",
        "priority",
        "deadline_s",
        "deadline",
        "unanswered",
        "possible_attempts",
        "tasks",
        "body",
        "read_only",
        "idempotent",
    )


class EntryAdmission:
    """Applies the configured quotas and limits to the requests of one entry.

    The load balancer distributes callers over the entries, so each entry admits an
    equal share of each team's quota and of the fleet's queue capacity. The share is
    derived from the number of live entries and needs no messages besides heartbeats.
    """

    def __init__(self, board: Blackboard):
        self.board = board
        self.controller = AdmissionController(TeamQuotas({}), 1)
        self.applied_key: tuple[int, int] = (-1, 0)
        self.refreshed_at = float("-inf")

    def admit(self, caller: CallerRequest) -> AdmissionDecision:
        """Decide on a request; `release` must be called for an admitted one."""
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
        if now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        self.refreshed_at = now
        entries = 1 + self.board.peers.count_unsuspected_entries(now)
        limit = self.board.setting("max_inflight_tasks")
        slots = self._fleet_slots(now)
        if slots:
            queue_tasks = self.board.setting("queue_tasks_per_slot") + 1
            limit = min(limit, queue_tasks * slots)
        # An entry that has just started knows no agents, and so nothing of their slots.
        self.controller.max_in_flight = max(1, limit // entries)
        applied_key = (self.board.configuration.revision, entries)
        if applied_key != self.applied_key:
            self.applied_key = applied_key
            rates, bursts = (
                {
                    team: self.board.setting(name, team=team) / entries
                    for team in self.board.policy.teams
                }
                for name in ("tasks_per_s", "burst")
            )
            self.controller.quotas.update_rates(rates, bursts)

    def _fleet_slots(self, now: float) -> int:
        """Estimate the number of slots of the fleet from the agents known here.

        The size of the peer table is limited, but the partition table has every agent
        that is a member of a partition. The estimate scales the slots of the known
        agents accordingly.
        """
        agents = self.board.peers.live_agents(now)
        if not agents:
            return 0
        slots = sum(state.slots for state in agents)
        fleet = max(len(agents), len(self.board.partitions.members))
        return slots * fleet // len(agents)

    def refuse(self, admission: AdmissionDecision, unanswered: int) -> Answer:
        """Return the answer to a refused request and count the refusal."""
        answer = refusal(str(admission.reason), unanswered, "admit")
        answer.retry_after_ms = int(admission.retry_after_s * 1000)
        if admission.reason is RefusalReason.OVER_QUOTA:
            answer.step = QUOTA_STEP
        self.board.events[f"refused_{admission.reason.name.lower()}"] += 1
        self.board.events[f"refused_class_{admission.priority.name.lower()}"] += 1
        return answer

    def release(
        self,
        admission: AdmissionDecision,
        caller: CallerRequest,
        started_at: float,
        answer: Answer | None,
    ) -> None:
        """Release an admitted request.

        Only a complete answer shows how long the request was queued.
        """
        now = self.board.clock()
        latency_s = run_time_s = None
        if answer is not None and answer.outcome is Outcome.COMPLETE:
            latency_s = now - started_at
            run_time_s = answer.run_ms / 1000
        self.controller.release(
            caller.tasks, now, latency_s, admission=admission, run_time_s=run_time_s
        )
