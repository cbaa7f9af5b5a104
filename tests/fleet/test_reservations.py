"""Tests for reservations: which gaps are kept, who may use them, and when they end."""

import pytest

from emulator.simulations import Load
from marigoldkeel.exceptions import SettingsError
from marigoldkeel.fleet.owned import TaskRecord
from marigoldkeel.fleet.packing import Candidate
from marigoldkeel.fleet.reservations import (
    GapRequest,
    Outlook,
    ReservationEvent,
    find_gaps,
    forecast_end,
)
from marigoldkeel.fleet.settings import FleetSettings
from marigoldkeel.fleet.work import Resources, Step, TaskId
from marigoldkeel.settings import read_settings
from tests.fleet.loads import LONG, NORMAL, make_fleet
from tests.fleet.test_plays import SEEDS, check_invariants
from tests.fleet.test_schedulers import CORE, QUEUE, URGENT, Entry


def cores(count: int) -> Resources:
    return Resources(1000 * count, 64 * count)


def outlook(name: str, free: int, *ends: tuple[float, int], speed=1.0, **fields):
    candidate = Candidate(name, cores(free), cores(8), [], speed, True, **fields)
    return Outlook(candidate, [(at, cores(count)) for at, count in ends])


@pytest.mark.parametrize(
    "count, outlooks, gaps",
    [
        pytest.param(1, [outlook("x", 1, (0.2, 4))], {"x": (0.2, 1)}, id="one end"),
        pytest.param(
            1, [outlook("x", 0, (0.1, 2), (0.3, 2))], {"x": (0.3, 0)}, id="two ends"
        ),
        pytest.param(
            2, [outlook("x", 2, (0.1, 2), (0.3, 4))], {"x": (0.3, 0)}, id="two tasks"
        ),
        pytest.param(
            1,
            [outlook("x", 0, (0.3, 4)), outlook("y", 0, (0.1, 4))],
            {"y": (0.1, 0)},
            id="soonest end",
        ),
        pytest.param(
            3,
            [outlook(name, 0, (0.2, 4)) for name in "xyz"],
            {"x": (0.2, 0), "y": (0.2, 0)},
            id="limited workers",
        ),
        pytest.param(1, [outlook("x", 0, (1.1, 4))], {}, id="beyond the horizon"),
        pytest.param(1, [outlook("x", 0, (0.2, 4), speed=0.5)], {}, id="late there"),
        pytest.param(
            1, [outlook("x", 4), outlook("y", 0, (0.1, 4))], {}, id="fits now"
        ),
        pytest.param(1, [outlook("x", 0, (0.1, 4), is_probe=True)], {}, id="ejected"),
    ],
)
def test_gaps_are_where_tasks_end_soonest(count, outlooks, gaps):
    # Guards against capacity that is kept where the tasks can not start in time.
    request = GapRequest(Step(count, cores(4)), count, 0.8, latest_end=1.5)
    found = find_gaps(request, outlooks, 0.0, max_workers=2)
    expected = {name: (at, cores(spare)) for name, (at, spare) in gaps.items()}
    assert {name: (gap.starts_at, gap.spare) for name, gap in found.items()} == expected


@pytest.mark.parametrize(
    "now, stopping, ends_at",
    [(1.2, False, 1.4), (1.8, False, 2.0), (5.0, False, 6.0), (1.1, True, 1.11)],
)
def test_overdue_run_is_expected_to_take_a_share_longer(now, stopping, ends_at):
    # Guards against starts that are forecast for the past, again and again.
    task = TaskRecord(TaskId("j", 0, 0, 0), stopping=stopping)
    task.placed_at, task.expected_s = 1.0, 0.4
    assert forecast_end(task, now) == pytest.approx(ends_at)


@pytest.mark.parametrize(
    "queue, demand, estimate_s, look_ahead, starts",
    [
        pytest.param(QUEUE, CORE, 0.15, False, True, id="disabled"),
        pytest.param(QUEUE, CORE, 0.15, True, False, id="would end later"),
        pytest.param(QUEUE, CORE, 0.12, True, True, id="ends before"),
        pytest.param(URGENT, CORE, 0.15, True, True, id="urgent"),
        pytest.param(QUEUE, cores(3), 0.15, True, True, id="of similar size"),
    ],
)
def test_small_job_may_not_delay_a_large_one(
    queue, demand, estimate_s, look_ahead, starts
):
    # Guards against large jobs that wait while small ones take each freed core.
    entry = Entry({"w": 4}, look_ahead=look_ahead)
    entry.submit("filler", steps=[Step(1, CORE, 0.175)])
    entry.submit("large", steps=[Step(1, cores(4), 0.2)])
    entry.advance_time(0.05)
    entry.starts()
    entry.submit("small", queue, [Step(1, demand, estimate_s)])
    assert bool(entry.starts()) == starts


@pytest.mark.parametrize("look_ahead, worker", [(False, "w"), (True, "x")])
def test_small_job_ahead_of_a_large_one_prefers_other_workers(look_ahead, worker):
    # Guards against gaps that are filled by small jobs with an earlier latest start.
    entry = Entry({"w": 4, "x": 6}, {"w": ["w"], "x": ["x"]}, look_ahead=look_ahead)
    entry.submit("filler", steps=[Step(1, CORE, 0.175, label="w")])
    entry.submit("other", steps=[Step(1, cores(5), 0.175, label="x")])
    entry.submit("large", steps=[Step(1, cores(4), 0.2)])
    entry.starts()
    entry.submit("small", steps=[Step(1, CORE, 0.19)])
    assert [name for name, _ in entry.starts()] == [worker]


def test_reservation_lapses_when_its_forecast_fails():
    # Guards against capacity that stays idle for a run that takes much longer.
    entry = Entry({"w": 4, "x": 4}, {"x": ["x"]}, look_ahead=True)
    entry.submit("filler", steps=[Step(1, cores(3), 0.2, label="x")])
    entry.submit("large", steps=[Step(2, cores(4), 0.2, spread_limit=1)])
    entry.submit("small", steps=[Step(1, CORE, 5.0)])
    entry.starts()
    entry.advance_time(0.3)
    assert entry.starts() == []
    entry.advance_time(0.2)
    assert [run.task.job_id for _, run in entry.starts()] == ["small"]
    counts = entry.scheduler.look_ahead.counts
    assert counts == {ReservationEvent.HELD: 1, ReservationEvent.LAPSED: 1}


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_with_reservations_answers_all_jobs(seed):
    # Guards against jobs that wait for each other's gaps for ever.
    simulation = make_fleet(seed, look_ahead=True, packing="whole_gaps")
    simulation.offer(Load(NORMAL, 130, 2, 0.34, Resources(1600), ends_at=6.0))
    simulation.offer(Load(LONG, 2, 2, 0.5, Resources(10_000), ends_at=6.0))
    simulation.run(20.0)
    check_invariants(simulation)
    assert all(submitted.answer is not None for submitted in simulation.jobs)
    look_aheads = [entry.scheduler.look_ahead for entry in simulation.entries]
    assert sum(item.counts[ReservationEvent.STARTED] for item in look_aheads)
    assert not any(item.reservations for item in look_aheads)


def test_settings_name_an_unknown_packing(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(
        'name = "e"\ndomain = "a"\nlisten = "127.0.0.1:1"\n[store]\nurl = "http://127.0.0.1:1"\n'
        '[placement]\npacking = "tight"\n'
    )
    with pytest.raises(SettingsError, match="placement.packing: unknown packing"):
        read_settings(path, FleetSettings)
