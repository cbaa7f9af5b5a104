"""Tests for decisions under overload: the capacity counted on, order and refusals."""

import pytest

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.admission import WaitForecast
from marigoldkeel.fleet.capacity import SMOOTHING_S, EvenShare, LeftOverShare
from marigoldkeel.fleet.links import (
    DISCOVERY_INTERVAL_S,
    MISSING_AFTER_S,
    OwnerEndpoint,
)
from marigoldkeel.fleet.messages import WorkerFacts, WorkerState
from marigoldkeel.fleet.order import order_by_priority
from marigoldkeel.fleet.overload import ByDeadline, ByPriority, find_overload_policy
from marigoldkeel.fleet.owned import OwnedJob
from marigoldkeel.fleet.schedulers import WORKER_DISCOVERY_S, Scheduler
from marigoldkeel.fleet.views import FleetView, WorkerView
from marigoldkeel.fleet.work import RepeatableJob, Resources, RunId, Step, TaskId
from marigoldkeel.models import Member
from tests.fleet.loads import (
    LONG,
    NORMAL,
    URGENT,
    make_large_machines,
    offer_peaks,
    share_served,
)
from tests.fleet.test_plays import check_invariants


# The policies differ in one job of a thousand, so a few seeds cannot tell them apart.
SEEDS = range(1, 13)


def make_view(free: int, own: int, cores: int = 16) -> WorkerView:
    view = WorkerView("w", connected=True)
    view.facts = WorkerFacts(
        "w", 1, "service", "a", [], Resources(1000 * cores, 64_000)
    )
    view.update(WorkerState(0, Resources(1000 * (free + own), 64_000), True))
    for number in range(own):
        view.place(RunId(TaskId("j", 0, 0, number), 1), 1, Resources(1000, 64))
    return view


@pytest.mark.parametrize(
    "free, own, cores",
    [(0, 0, 4), (0, 3, 4), (2, 2, 4), (6, 0, 6), (0, 12, 12), (4, 12, 16)],
    ids=["others", "own", "even", "free", "own runs", "all"],
)
def test_entry_counts_on_its_even_share_or_on_what_others_leave(free, own, cores):
    # An entry with most of the demand refused jobs while workers were free.
    views = [make_view(free, own)]
    assert LeftOverShare().cores("s", views, 4.0, 1.0) == pytest.approx(cores)
    assert EvenShare().cores("s", views, 4.0, 1.0) == 4.0


def test_gap_of_an_instant_is_not_counted_on_and_lost_workers_count_at_once():
    share = LeftOverShare()
    share.cores("s", [make_view(0, 4)], 4.0, 1.0)
    gap = [make_view(12, 4)]
    assert share.cores("s", gap, 4.0, 1.0 + SMOOTHING_S / 10) < 6
    assert share.cores("s", gap, 4.0, 1.0 + 10 * SMOOTHING_S) > 15
    now = 1.0 + 10 * SMOOTHING_S
    assert share.cores("s", [make_view(6, 2, 8)], 4.0, now) <= 8
    assert share.cores("s", [], 4.0, now) == 0


def make_owned(
    name: str, queue, received_at: float, run_s: float, objective_s: float
) -> OwnedJob:
    steps = [Step(1, Resources(1000), run_s)]
    job = RepeatableJob(name, queue, "", steps, received_at, run_s + 1.5)
    owned = OwnedJob(job, lambda answer: None)
    owned.critical_path_s, owned.objective_s = run_s, objective_s
    return owned


def test_order_by_priority_puts_useless_jobs_last_and_late_ones_after_their_queue():
    # Waiting long jobs of the lowest priority preceded new short ones.
    jobs = [
        make_owned("long, useless", LONG, 7.0, 1.8, 2.9),
        make_owned("short, useless", NORMAL, 8.0, 0.4, 0.7),
        make_owned("long, started", LONG, 9.0, 1.8, 2.9),
        make_owned("long", LONG, 9.0, 1.8, 2.9),
        make_owned("short, late", NORMAL, 9.2, 0.4, 0.7),
        make_owned("short", NORMAL, 9.9, 0.4, 0.7),
        make_owned("urgent, late", URGENT, 9.7, 0.12, 0.25),
        make_owned("urgent", URGENT, 9.9, 0.12, 0.25),
    ]
    jobs[2].has_run = True
    names = [owned.job.job_id for owned in order_by_priority(jobs, 10.0, 1.0)]
    assert names == [
        "long, started",
        "urgent",
        "urgent, late",
        "short",
        "short, late",
        "long",
        "short, useless",
        "long, useless",
    ]


@pytest.mark.parametrize(
    "waited_s, wait_s, caller_timeout_s, known, by_deadline, by_priority",
    [
        (0.0, 0.0, 9.0, True, False, False),
        (0.5, 0.5, 9.0, True, True, False),
        (0.0, 2.0, 9.0, True, True, False),
        (0.0, 4.0, 9.0, True, True, True),
        (0.0, 4.0, 9.0, False, False, False),
        (0.9, 0.0, 1.2, True, True, True),
        (1.9, 0.0, 9.0, False, True, True),
    ],
)
def test_job_is_refused_by_priority_only_if_its_answer_is_of_no_use(
    waited_s, wait_s, caller_timeout_s, known, by_deadline, by_priority
):
    forecast = WaitForecast(waited_s, 0.7, 0.4, wait_s, caller_timeout_s, known)
    assert bool(ByDeadline().refusal_reason(forecast)) == by_deadline
    assert bool(ByPriority().refusal_reason(forecast)) == by_priority


def test_unknown_overload_policy_is_rejected():
    with pytest.raises(InvalidInput, match="by_deadline, by_priority"):
        find_overload_policy("none")


@pytest.mark.parametrize(
    "overload, finds_workers, after_s, is_refused",
    [
        ("by_priority", True, 0.1, False),
        ("by_priority", True, WORKER_DISCOVERY_S + 0.1, True),
        ("by_priority", False, 0.1, True),
        ("by_deadline", True, 0.1, True),
    ],
)
def test_entry_that_has_just_started_refuses_nothing_by_its_first_workers(
    overload, finds_workers, after_s, is_refused
):
    # After all machines had lost power, 55 of 60 refusals within half a second were
    # decided by forecasts over one to seven of ten workers (inc-b229).
    now = 10.0
    fleet = FleetView()
    scheduler = Scheduler(
        fleet,
        "a",
        lambda worker, message, facts_at: 1,
        lambda: now,
        lambda: 1,
        overload=overload,
        finds_workers=lambda: finds_workers,
    )
    fleet.workers["w"] = make_view(0, 0)
    now += after_s
    scheduler.tick()
    answers = []
    for number in range(200):
        step = Step(1, Resources(1000), 1.0)
        job = RepeatableJob(str(number), NORMAL, "", [step], now, 30.0)
        scheduler.submit(job, answers.append)
    scheduler.tick()
    assert bool(answers) == is_refused


def test_owner_finds_workers_until_its_agents_are_usable_or_missing():
    now = 10.0
    links = OwnerEndpoint(Member("e", "e@1", "e:1", "a"), FleetView(), lambda: now)
    assert links.finds_workers()
    now += DISCOVERY_INTERVAL_S
    assert not links.finds_workers()
    links.add(Member("w", "w@1", "w:1", "a"))
    links._choose_links(now)
    assert links.finds_workers()
    links.fleet.workers["w"] = make_view(1, 0)
    assert not links.finds_workers()
    links.fleet.workers["w"].disconnect()
    now += MISSING_AFTER_S + 0.1
    assert not links.finds_workers()


def play(**options) -> list:
    """Play the peaks for each seed."""
    simulations = []
    for seed in SEEDS:
        simulation = make_large_machines(seed, **options)
        offer_peaks(simulation, 0.75)
        simulation.run(17.0)
        check_invariants(simulation)
        simulations.append(simulation)
    return simulations


def mean_served(simulations: list, select) -> float:
    jobs = [job for simulation in simulations for job in simulation.jobs]
    return share_served([job for job in jobs if select(job)])


def is_at_busy_entry(submitted) -> bool:
    return submitted.entry.name == "entry-0"


@pytest.fixture(scope="module")
def by_priority() -> list:
    return play(overload="by_priority", capacity="left_over")


def test_busy_entry_serves_more_with_what_the_others_leave(by_priority):
    even = play(overload="by_priority", capacity="even")
    assert mean_served(by_priority, is_at_busy_entry) > mean_served(
        even, is_at_busy_entry
    )

    def is_elsewhere(submitted) -> bool:
        return not is_at_busy_entry(submitted)

    others = mean_served(by_priority, is_elsewhere)
    assert others > mean_served(even, is_elsewhere) - 0.01


def test_policy_by_priority_serves_more_jobs_and_starves_no_queue(by_priority):
    by_deadline = play()

    def served(simulations, *queues) -> float:
        return mean_served(simulations, lambda job: job.job.queue in queues)

    assert served(by_priority, URGENT, NORMAL, LONG) > served(
        by_deadline, URGENT, NORMAL, LONG
    )
    assert served(by_priority, NORMAL) > served(by_deadline, NORMAL)
    assert served(by_priority, URGENT) >= served(by_deadline, URGENT) - 0.005
    assert served(by_priority, LONG) > 0.5 * served(by_deadline, LONG)
