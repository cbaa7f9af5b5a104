"""Reservations of capacity for waiting jobs whose tasks are too large to start now.

Designed for fleets in which tasks of different sizes wait at the same time: as soon as
a small run ends, a small task takes its place, so that a large task that waits longer
never finds enough free capacity on one worker. The first waiting jobs that do not fit
therefore get the gaps in which they are forecast to start. Jobs behind them may use
these gaps only until then, or use the capacity that is left beside them (backfilling).
Jobs ahead of them may use all capacity, but prefer other workers.

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
# A reservation that has not been renewed for this time is withdrawn, as its job is no
# longer among the first that wait.
MAX_RENEWAL_DELAY_S = 0.2
# A job ahead of the reserving one uses a worker with a gap only if it would take this
# many times as long elsewhere. With 1.5 instead more reservations lapsed.
STEERING_FACTOR = 3.0
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

    :ivar demand: The demand of each task.
    :ivar replan_at: The earliest time of the next forecast.
    :ivar lapses_at: When the reservation ends if the job is still waiting.
    """

    job_id: str
    is_urgent: bool
    demand: Resources
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

    :ivar current: The smallest and the largest one since the last window ended.
    :ivar previous: Those of the window before.
    """

    current: tuple[Resources, Resources] | None = None
    previous: tuple[Resources, Resources] | None = None
    window_ends_at: float = 0.0

    def record(self, demand: Resources, now: float) -> None:
        """Record the demand of a task that has arrived."""
        if now >= self.window_ends_at:
            is_recent = now < self.window_ends_at + DEMAND_WINDOW_S
            self.previous = self.current if is_recent else None
            self.current = None
            self.window_ends_at = now + DEMAND_WINDOW_S
        smallest, largest = self.current or (demand, demand)
        self.current = (
            min(smallest, demand, key=_cpu_milli),
            max(largest, demand, key=_cpu_milli),
        )

    @property
    def smallest(self) -> Resources:
        """The demand with the least CPU."""
        windows = filter(None, (self.current, self.previous))
        return min((window[0] for window in windows), key=_cpu_milli)

    @property
    def largest(self) -> Resources:
        """The demand with the most CPU."""
        windows = filter(None, (self.current, self.previous))
        return max((window[1] for window in windows), key=_cpu_milli)


def _cpu_milli(demand: Resources) -> int:
    return demand.cpu_milli


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


class LookAhead:
    """The reservations of an entry.

    In each pass over the waiting jobs, `begin_pass` is called first, then for each step
    that may be placed `withhold`, and `restore` after its placement. `add_waiting` is
    called for each job that has tasks left to place.

    If all recent tasks are of similar size, no forecast is made.

    :param ends_on: Returns the forecast ends of this entry's runs on a worker.
    :ivar ahead: The first waiting jobs of each service in the current pass.
    :ivar counts: How many reservations were held and how each ended.
    :ivar backfilled: How many tasks were started beside or before a reservation.
    :ivar on_event: Called with the job and its reservation when it begins, and before
        it ends while the job waits.
    """

    def __init__(self, ends_on: Callable[[str, float], list[tuple[float, Resources]]]):
        self.ends_on = ends_on
        self.reservations: dict[str, Reservation] = {}
        self.ahead: dict[str, list[str]] = {}
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
        self, waiting: dict[str, OwnedJob], jobs: dict[str, OwnedJob], now: float
    ) -> None:
        """Start a pass over the waiting jobs, and end the reservations that are over.

        :param jobs: All jobs of the entry.
        """
        self.ahead.clear()
        for job_id, reservation in list(self.reservations.items()):
            owned = jobs.get(job_id)
            if job_id not in waiting:
                # The job has started all of its tasks, or has been answered.
                is_started = owned is not None and not owned.answered
                event = (
                    ReservationEvent.STARTED
                    if is_started
                    else ReservationEvent.WITHDRAWN
                )
                self._end(reservation, event)
                del self.reservations[job_id]
            elif now >= reservation.lapses_at:
                self._end(reservation, ReservationEvent.LAPSED, owned)
                reservation.replan_at = now + LAPSE_PAUSE_S
            elif now > reservation.replan_at + MAX_RENEWAL_DELAY_S:
                self._end(reservation, ReservationEvent.WITHDRAWN, owned)

    def add_waiting(
        self,
        owned: OwnedJob,
        candidates: list[Candidate],
        recent: RecentDemands,
        now: float,
    ) -> None:
        """Reserve gaps for a job that does not fit, if it is among the first.

        :param recent: The demands of the service's recent tasks.
        """
        job_id, queue = owned.job.job_id, owned.job.queue
        ahead = self.ahead.setdefault(queue.service, [])
        if len(ahead) == MAX_RESERVATIONS:
            return
        ahead.append(job_id)
        demand = owned.job.steps[_waiting_step(owned)].demand
        if not _is_small(recent.smallest, demand):
            return
        if job_id not in self.reservations:
            is_urgent = queue.priority == URGENT_PRIORITY
            self.reservations[job_id] = Reservation(job_id, is_urgent, demand)
        reservation = self.reservations[job_id]
        if now >= reservation.replan_at:
            self._replan(reservation, owned, candidates, now)

    def withhold(
        self, owned: OwnedJob, number: int, candidates: list[Candidate], now: float
    ) -> list[Withheld]:
        """Limit the free capacity of candidates to what a job may use.

        :param number: The step of the job that is about to be placed.
        """
        step, task_s = owned.job.steps[number], owned.task_s[number]
        ahead = self.ahead.get(owned.job.queue.service, [])
        gaps: dict[str, tuple[Gap, bool]] = {}
        for reservation in self.held:
            if _concerns(reservation, owned, step):
                is_ahead = reservation.job_id in ahead
                for name, gap in reservation.gaps.items():
                    gaps[name] = (gap, is_ahead)
        withheld = []
        for candidate in candidates if gaps else ():
            if candidate.name not in gaps:
                continue
            gap, is_ahead = gaps[candidate.name]
            free = candidate.free
            ends_later = now + expected_s(step, task_s, candidate) > gap.starts_at
            if ends_later and is_ahead:
                candidate.free = _lower(free, gap.spare)
            elif ends_later:
                candidate.cost_factor = STEERING_FACTOR
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
            item.candidate.cost_factor = 1.0
        self.backfilled += backfilled
        return backfilled

    def _replan(
        self,
        reservation: Reservation,
        owned: OwnedJob,
        candidates: list[Candidate],
        now: float,
    ) -> None:
        number = _waiting_step(owned)
        step, waiting = owned.job.steps[number], owned.waiting_tasks(number)
        avoided = set().union(*(task.avoided for task in waiting))
        taken = {
            name
            for other in self.held
            if other is not reservation
            for name in other.gaps
        }
        placed = Counter(task.worker for task in owned.tasks[number])
        outlooks = [
            Outlook(item, self.ends_on(item.name, now), placed[item.name])
            for item in candidates
            if item.name not in taken and item.name not in avoided
        ]
        max_workers = max(
            MIN_RESERVED_WORKERS, int(MAX_RESERVED_SHARE * len(candidates)) - len(taken)
        )
        # A job that has started occupies capacity until it is done, even if it is late.
        latest_end = float("inf") if owned.has_started else owned.objective_deadline
        request = GapRequest(step, len(waiting), owned.task_s[number], latest_end)
        gaps = find_gaps(request, outlooks, now, max_workers)
        reservation.replan_at = now + REPLAN_INTERVAL_S
        reservation.demand = step.demand
        if not gaps:
            self._end(reservation, ReservationEvent.WITHDRAWN, owned)
            return
        is_new = not reservation.gaps
        reservation.gaps = gaps
        if is_new:
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


def _waiting_step(owned: OwnedJob) -> int:
    """Return the first step of a job that has tasks left to place."""
    return next(
        number
        for number, tasks in enumerate(owned.tasks)
        if any(task.phase == TaskPhase.WAITING for task in tasks)
    )


def _is_small(demand: Resources, large: Resources) -> bool:
    """Return whether tasks are so small that they delay large ones."""
    return demand.cpu_milli <= SMALL_TASK_SHARE * large.cpu_milli


def _concerns(reservation: Reservation, owned: OwnedJob, step: Step) -> bool:
    """Return whether the tasks of a step are to leave the gaps of a reservation."""
    is_urgent = owned.job.queue.priority == URGENT_PRIORITY
    return (
        reservation.job_id != owned.job.job_id
        and (reservation.is_urgent or not is_urgent)
        and _is_small(step.demand, reservation.demand)
    )
