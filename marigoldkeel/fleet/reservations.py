"""Reservations of capacity for waiting jobs whose tasks are too large to start now.

Designed for fleets in which tasks of different sizes wait at the same time: as soon as
a small run ends, a small task takes its place, so that a large task that waits longer
never finds enough free capacity on one worker. The first waiting jobs that do not fit
therefore get the gaps in which they are forecast to start. Jobs behind them may use
these gaps only until then, or use the capacity that is left beside them (backfilling).

An entry knows the ends of its own runs only, and other entries do not see its
reservations. A reservation is thus a preference of one entry and gives way: its start
time is at most ``HORIZON_S`` away, and it lapses if the job has not started by then.

Performs no I/O.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum

from msgspec import Struct, field

from marigoldkeel.fleet.order import URGENT_PRIORITY
from marigoldkeel.fleet.owned import OwnedJob, TaskPhase, TaskRecord
from marigoldkeel.fleet.packing import Candidate, expected_s
from marigoldkeel.fleet.work import NO_RESOURCES, Resources, Step


# Loads change within seconds, and gaps that are kept for longer cost more work than
# the large job is worth.
HORIZON_S = 1.0
# A job must leave gaps to those ahead of it only if its tasks need at most this share
# of the CPU that theirs need. Gaps for tasks of similar size open by themselves.
SMALL_TASK_SHARE = 0.6
# Reservations per service.
MAX_RESERVATIONS = 2
# Share of a service's workers on which gaps are kept, and the least number of them. The
# other workers always serve the small jobs.
MAX_RESERVED_SHARE = 0.25
MIN_RESERVED_WORKERS = 2
# The forecast of a reservation is renewed this often, at each tick of the entry.
REPLAN_INTERVAL_S = 0.05
# A reservation lapses when its first forecast wait is exceeded by this factor and time.
# Run times are forecast with errors of about a factor of e^0.4.
LAPSE_FACTOR = 1.5
LAPSE_MARGIN_S = 0.05
# Time after a lapse until the same job can get another reservation.
LAPSE_PAUSE_S = 0.5
# A run that has exceeded its forecast is expected to take this share of its elapsed
# time longer, about the mean for forecasts that are wrong by a factor of e^0.4.
OVERDUE_SHARE = 0.25
# Time until a run that was ordered to stop has ended.
STOP_S = 0.01
# How long the demands of tasks are remembered to find the largest one.
DEMAND_WINDOW_S = 5.0


class ReservationEvent(StrEnum):
    """What became of the reservations of an entry."""

    HELD = "held"
    STARTED = "started"
    LAPSED = "lapsed"
    WITHDRAWN = "withdrawn"


class Outlook(Struct):
    """A worker with the forecast ends of this entry's runs on it, in order of time.

    :ivar step_tasks: How many tasks of the step it already has.
    """

    candidate: Candidate
    ends: list[tuple[float, Resources]] = []
    step_tasks: int = 0


class GapRequest(Struct):
    """The waiting tasks of a step for which gaps are sought.

    :ivar task_s: Expected run time of a task at the mean speed.
    :ivar latest_end: When the tasks must have ended to be of use.
    """

    step: Step
    count: int
    task_s: float
    latest_end: float = float("inf")


class Gap(Struct):
    """Capacity that is kept on a worker.

    :ivar starts_at: When the capacity is forecast to be sufficient.
    :ivar spare: Capacity that is left beside the reserved one at that time.
    """

    starts_at: float
    spare: Resources


class Reservation(Struct):
    """The gaps kept for a waiting job.

    :ivar replan_at: The earliest time of the next forecast.
    :ivar lapses_at: When the reservation ends if the job is still waiting.
    """

    job_id: str
    is_urgent: bool
    gaps: dict[str, Gap] = field(default_factory=dict)
    replan_at: float = 0.0
    lapses_at: float = float("inf")

    @property
    def starts_at(self) -> float:
        """When all tasks that have gaps are forecast to have started."""
        return max((gap.starts_at for gap in self.gaps.values()), default=0.0)


class Withheld(Struct):
    """Capacity of a candidate that a job may not use because of a gap.

    :ivar free: What the job may use.
    :ivar kept: What it may not use.
    :ivar ends_later: Whether its tasks would end after the start of the gap.
    """

    candidate: Candidate
    gap: Gap
    free: Resources
    kept: Resources
    ends_later: bool


class RecentDemands(Struct):
    """The demands of the tasks of one service that arrived recently.

    :ivar current: The largest one since the last window ended.
    :ivar previous: The largest one of the window before.
    """

    current: Resources = NO_RESOURCES
    previous: Resources = NO_RESOURCES
    window_ends_at: float = 0.0

    def record(self, demand: Resources, now: float) -> None:
        """Record the demand of a task that has arrived."""
        if now >= self.window_ends_at:
            is_recent = now < self.window_ends_at + DEMAND_WINDOW_S
            self.previous = self.current if is_recent else NO_RESOURCES
            self.current = NO_RESOURCES
            self.window_ends_at = now + DEMAND_WINDOW_S
        if demand.cpu_milli > self.current.cpu_milli:
            self.current = demand

    @property
    def largest(self) -> Resources:
        """The demand with the most CPU."""
        return max(self.current, self.previous, key=lambda demand: demand.cpu_milli)


def forecast_end(task: TaskRecord, now: float) -> float:
    """Return when the run of a placed task is expected to end."""
    if task.stopping:
        return now + STOP_S
    ends_at = task.placed_at + task.expected_s
    overdue_at = now + OVERDUE_SHARE * (now - task.placed_at)
    return ends_at if ends_at > now else overdue_at


def find_gaps(
    request: GapRequest, outlooks: Iterable[Outlook], now: float, max_workers: int
) -> dict[str, Gap]:
    """Return the gaps in which the tasks will end soonest, by worker.

    There are none if a task fits now, as it is then delayed for another reason. If not
    all tasks find a gap within the horizon, gaps are kept for the others.
    """
    starts = []
    for outlook in outlooks:
        for starts_at, ends_at in _possible_starts(request, outlook, now):
            if starts_at <= now:
                return {}
            starts.append((ends_at, starts_at, outlook.candidate.name, outlook))
    starts.sort(key=lambda start: start[:3])
    chosen: dict[str, list[float]] = {}
    found: dict[str, Outlook] = {}
    count = 0
    for _, starts_at, name, outlook in starts:
        if count == request.count:
            break
        if name in chosen or len(chosen) < max_workers:
            chosen.setdefault(name, []).append(starts_at)
            found[name] = outlook
            count += 1
    return {
        name: Gap(times[-1], _spare(request.step, found[name], times))
        for name, times in chosen.items()
    }


def _possible_starts(
    request: GapRequest, outlook: Outlook, now: float
) -> list[tuple[float, float]]:
    """Return the start and end times of the tasks that a worker can run."""
    step, candidate = request.step, outlook.candidate
    if (
        candidate.is_probe
        or not step.demand.fits(candidate.capacity)
        or (step.label and step.label not in candidate.labels)
    ):
        return []
    count = request.count
    if step.spread_limit:
        count = min(count, step.spread_limit - outlook.step_tasks)
    run_s = expected_s(step, request.task_s, candidate)
    latest_start = min(now + HORIZON_S, request.latest_end - run_s)
    starts: list[tuple[float, float]] = []
    free = candidate.free
    for at, released in [(now, NO_RESOURCES), *outlook.ends]:
        if at > latest_start:
            break
        free = free + released
        while len(starts) < count and step.demand.fits(free):
            free = free - step.demand
            starts.append((at, at + run_s))
    return starts


def _spare(step: Step, outlook: Outlook, times: list[float]) -> Resources:
    """Return the capacity that is left on a worker when the last task starts."""
    spare = outlook.candidate.free
    for at, released in outlook.ends:
        if at <= times[-1]:
            spare = spare + released
    for _ in times:
        spare = spare - step.demand
    return spare


def _lower(first: Resources, second: Resources) -> Resources:
    return Resources(
        min(first.cpu_milli, second.cpu_milli),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def _waiting_step(owned: OwnedJob) -> int:
    """Return the first step of a job that has tasks left to place."""
    return next(
        number
        for number, tasks in enumerate(owned.tasks)
        if any(task.phase == TaskPhase.WAITING for task in tasks)
    )


class LookAhead:
    """The reservations of an entry.

    In each pass over the waiting jobs, `begin_pass` is called first, then for each step
    that may be placed `withhold`, and `restore` after its placement. `add_waiting` is
    called for each job that has tasks left to place.

    Forecasts are made only when a job could take capacity that a job before it needs.
    If all tasks are alike there is no such job, and no forecast is made.

    :param ends_on: Returns the forecast ends of this entry's runs on a worker.
    :ivar counts: How many reservations were held and how each ended.
    :ivar backfilled: How many tasks were started beside or before a reservation.
    """

    def __init__(self, ends_on: Callable[[str, float], list[tuple[float, Resources]]]):
        self.ends_on = ends_on
        self.reservations: dict[str, Reservation] = {}
        self.ahead: dict[str, list[OwnedJob]] = {}
        self.counts: Counter[ReservationEvent] = Counter()
        self.backfilled = 0
        self.on_event: Callable[[OwnedJob, ReservationEvent, Reservation], None] = (
            lambda owned, event, reservation: None
        )

    @property
    def held(self) -> list[Reservation]:
        """The reservations that keep gaps now."""
        return [item for item in self.reservations.values() if item.gaps]

    def begin_pass(
        self, waiting: dict[str, OwnedJob], jobs: dict[str, OwnedJob]
    ) -> None:
        """Start a pass over the waiting jobs and end the reservations of all others.

        :param jobs: All jobs of the entry.
        """
        self.ahead.clear()
        for job_id in [item for item in self.reservations if item not in waiting]:
            owned = jobs.get(job_id)
            is_started = owned is not None and not owned.answered
            self._end(
                self.reservations.pop(job_id),
                ReservationEvent.STARTED if is_started else ReservationEvent.WITHDRAWN,
            )

    def add_waiting(self, owned: OwnedJob) -> None:
        """Add a job that does not fit now; later jobs of the pass come after it."""
        ahead = self.ahead.setdefault(owned.job.queue.service, [])
        if len(ahead) < MAX_RESERVATIONS:
            ahead.append(owned)

    def withhold(
        self, owned: OwnedJob, number: int, candidates: list[Candidate], now: float
    ) -> list[Withheld]:
        """Limit the free capacity of candidates to what a job may use.

        :param number: The step of the job that is about to be placed.
        """
        ahead = self.ahead.get(owned.job.queue.service)
        if not ahead:
            return []
        step, task_s = owned.job.steps[number], owned.task_s[number]
        gaps = self._gaps_ahead(owned, step, ahead, candidates, now)
        if not gaps:
            return []
        withheld = []
        for candidate in candidates:
            gap = gaps.get(candidate.name)
            if gap is None:
                continue
            free = candidate.free
            ends_later = now + expected_s(step, task_s, candidate) > gap.starts_at
            if ends_later:
                candidate.free = _lower(free, gap.spare)
            kept = free - candidate.free
            withheld.append(Withheld(candidate, gap, candidate.free, kept, ends_later))
        return withheld

    def restore(self, step: Step, withheld: list[Withheld]) -> int:
        """Restore the free capacity of candidates after a placement.

        :return: How many tasks were placed on workers with gaps.
        """
        backfilled = 0
        for item in withheld:
            used = item.free - item.candidate.free
            if used.cpu_milli:
                backfilled += round(used.cpu_milli / step.demand.cpu_milli)
                if item.ends_later:
                    item.gap.spare = item.gap.spare - used
            item.candidate.free = item.candidate.free + item.kept
        self.backfilled += backfilled
        return backfilled

    def _gaps_ahead(
        self,
        owned: OwnedJob,
        step: Step,
        ahead: list[OwnedJob],
        candidates: list[Candidate],
        now: float,
    ) -> dict[str, Gap]:
        """Return the gaps that a step must leave to the jobs ahead of it, by worker."""
        gaps: dict[str, Gap] = {}
        for first in ahead:
            is_urgent = first.job.queue.priority == URGENT_PRIORITY
            if owned.job.queue.priority == URGENT_PRIORITY and not is_urgent:
                continue
            large = first.job.steps[_waiting_step(first)].demand
            if step.demand.cpu_milli > SMALL_TASK_SHARE * large.cpu_milli:
                continue
            reservation = self.reservations.get(first.job.job_id)
            if reservation is None:
                reservation = Reservation(first.job.job_id, is_urgent)
                self.reservations[first.job.job_id] = reservation
            if now >= reservation.replan_at:
                self._replan(reservation, first, candidates, gaps, now)
            gaps |= reservation.gaps
        return gaps

    def _replan(
        self,
        reservation: Reservation,
        owned: OwnedJob,
        candidates: list[Candidate],
        taken: dict[str, Gap],
        now: float,
    ) -> None:
        if reservation.gaps and now >= reservation.lapses_at:
            self._end(reservation, ReservationEvent.LAPSED, owned)
            reservation.replan_at = now + LAPSE_PAUSE_S
            return
        number = _waiting_step(owned)
        waiting = owned.waiting_tasks(number)
        avoided = set().union(*(task.avoided for task in waiting))
        placed = Counter(task.worker for task in owned.tasks[number])
        outlooks = [
            Outlook(item, self.ends_on(item.name, now), placed[item.name])
            for item in candidates
            if item.name not in taken and item.name not in avoided
        ]
        max_workers = int(MAX_RESERVED_SHARE * len(candidates)) - len(taken)
        # A job that has started occupies capacity until it is done, even if it is late.
        latest_end = float("inf") if owned.has_started else owned.objective_deadline
        request = GapRequest(
            owned.job.steps[number], len(waiting), owned.task_s[number], latest_end
        )
        had_gaps = bool(reservation.gaps)
        gaps = find_gaps(request, outlooks, now, max(MIN_RESERVED_WORKERS, max_workers))
        reservation.replan_at = now + REPLAN_INTERVAL_S
        if not gaps:
            if had_gaps:
                self._end(reservation, ReservationEvent.WITHDRAWN, owned)
            return
        reservation.gaps = gaps
        if not had_gaps:
            wait_s = reservation.starts_at - now
            reservation.lapses_at = now + LAPSE_FACTOR * wait_s + LAPSE_MARGIN_S
            self.counts[ReservationEvent.HELD] += 1
            self.on_event(owned, ReservationEvent.HELD, reservation)

    def _end(
        self,
        reservation: Reservation,
        event: ReservationEvent,
        owned: OwnedJob | None = None,
    ) -> None:
        if not reservation.gaps:
            return
        self.counts[event] += 1
        if owned is not None:
            self.on_event(owned, event, reservation)
        reservation.gaps = {}
        reservation.lapses_at = float("inf")
