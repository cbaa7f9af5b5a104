"""Plays a pause of an entry or of an agent at each point of what it does.

A point is a reading of the clock, or a message that is sent or read. Each scenario is
played once without a pause, to count the points of a process in the time of interest,
and then once for each of them. Meanwhile callers give up and submit their jobs again.
"""

from collections.abc import Callable

import pytest

from emulator.simulations import FleetSimulation, SimulatedEntry, SimulatedJob
from marigoldkeel.fleet.plans import Queue
from marigoldkeel.fleet.work import JobState, Resources


QUEUE = Queue("normal", "h", "/n/", "service", 1, 3, 1.6, 0.06)
TASK = Resources(1000, 64)
WIDE_TASK = Resources(6000, 64)
WORK_S = 1.2
CALLER_TIMEOUT_S = 1.5
RETRANSMIT_S = 1.3
# Longer than a caller waits until it submits its job again.
PAUSE_S = 3.6
STARTS_AT = 1.9
# Least number of points at which each scenario is paused.
MIN_POINTS = 30


class Play:
    """A fleet of two entries, the first of which gets all jobs, and the callers.

    :ivar process: The process that is paused.
    :ivar patient: The job of a caller that stays.
    """

    def __init__(self, process: str, **options):
        self.simulation = FleetSimulation(1, options)
        for number in range(4):
            self.simulation.add_worker(
                f"worker-{number}", "ab"[number % 2], Resources(12_000, 65_536)
            )
        for name, domain in (("entry-0", "a"), ("entry-1", "b")):
            self.simulation.add_entry(name, domain)
        first, self.second = self.simulation.entries
        self.first: SimulatedEntry = first
        self.process = first if process == "entry" else self.simulation.agents[0]
        self.patient: SimulatedJob | None = None
        self.hurried: list[SimulatedJob | None] = []
        self.repeated: list[SimulatedJob] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        self.simulation.loop.call_at(when, action)

    def submit(
        self,
        tasks: int,
        demand: Resources = TASK,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
        held: bool = False,
        work_s: float = WORK_S,
    ) -> None:
        """Submit a job to the first entry, once it reads the request.

        The caller gives up after its timeout, and then submits the job to the second.
        """
        loop = self.simulation.loop
        number, job_id = len(self.hurried), f"{1 + len(self.hurried):016x}"
        self.hurried.append(None)

        def read() -> None:
            if number in left:
                return
            job = self.simulation.submit(
                self.first,
                QUEUE,
                [work_s] * tasks,
                demand,
                work_s,
                caller_timeout_s,
                job_id=job_id,
                held=held,
            )
            self.hurried[number] = job
            if held:
                release = self.first.scheduler.release
                loop.call_later(
                    0.0, lambda: self.first.run_when_resumed(lambda: release(job.owned))
                )

        left: set[int] = set()

        def leave() -> None:
            job = self.hurried[number]
            if job is not None and job.answer is not None:
                return
            left.add(number)
            self.first.run_when_resumed(disconnect)
            loop.call_later(RETRANSMIT_S, repeat)

        def disconnect() -> None:
            job = self.hurried[number]
            if job is not None and job.owned is not None:
                self.first.scheduler.abandon(job.owned, "the caller has left")

        def repeat() -> None:
            self.repeated.append(
                self.simulation.submit(
                    self.second, QUEUE, [work_s] * tasks, demand, work_s, job_id=job_id
                )
            )

        # Scheduled first, as the entry may be paused while it reads the request.
        loop.call_later(caller_timeout_s, leave)
        self.first.run_when_resumed(read)

    def submit_patient(self) -> None:
        """Submit the job of a caller that waits for longer than any pause."""
        self.patient = self.simulation.submit(
            self.first, QUEUE, [WORK_S] * 2, TASK, WORK_S, job_id="f" * 16
        )

    def run(self, pause_at: int | None, begins: float, ends: float) -> int:
        """Run the play; return how many points there were in the time of interest.

        :param pause_at: The number of the point at which the process is paused.
        """
        simulation, process = self.simulation, self.process
        simulation.run(begins)
        first_point = process.points
        if pause_at is not None:
            process.pauses[first_point + pause_at] = PAUSE_S
        simulation.run(ends)
        points = process.points - first_point
        simulation.run(ends + PAUSE_S + 7.0)
        return points


def hand_in(play: Play) -> tuple[float, float]:
    play.at(STARTS_AT, lambda: play.submit(16))
    return STARTS_AT - 0.001, STARTS_AT + 0.06


def hold_and_release(play: Play) -> tuple[float, float]:
    play.at(STARTS_AT, lambda: play.submit(16, held=True))
    return STARTS_AT - 0.001, STARTS_AT + 0.06


def queue(play: Play) -> tuple[float, float]:
    """A queue of jobs begins when the job before has ended."""
    begins = fill_workers(play)
    for _ in range(12):
        play.at(begins - 0.1, lambda: play.submit(2))
    return begins - 0.001, begins + 0.07


def fill_workers(play: Play) -> float:
    """Keep all workers busy with a job of the second entry; return when it ends."""
    work_s = 0.6
    play.at(
        STARTS_AT,
        lambda: play.simulation.submit(
            play.second, QUEUE, [work_s] * 48, TASK, work_s, job_id="e" * 16
        ),
    )
    return STARTS_AT + work_s


def lose_worker(play: Play) -> tuple[float, float]:
    """The tasks on a lost worker are started again on the others."""
    agent = play.simulation.agents[3]
    play.at(STARTS_AT, lambda: play.submit(16, caller_timeout_s=3.0))
    play.at(STARTS_AT + 0.05, lambda: play.simulation.separate(play.first, agent, 2.0))
    return STARTS_AT + 1.1, STARTS_AT + 1.5


def look_ahead(play: Play) -> tuple[float, float]:
    """A job of large tasks has waited for capacity that was reserved for it."""
    begins = fill_workers(play)
    play.at(begins - 0.1, lambda: play.submit(2, WIDE_TASK))
    for _ in range(6):
        play.at(begins - 0.09, lambda: play.submit(2))
    return begins - 0.001, begins + 0.07


def retry_starts(play: Play) -> tuple[float, float]:
    """Half of the first orders to the workers get no answer."""
    for agent in play.simulation.agents:
        play.at(STARTS_AT - 0.01, lambda agent=agent: set_delays(agent, 0.5))
        play.at(STARTS_AT + 0.02, lambda agent=agent: set_delays(agent, 0.0))
    play.at(STARTS_AT, lambda: play.submit(16))
    return STARTS_AT - 0.001, STARTS_AT + 0.1


def set_delays(agent, ratio: float) -> None:
    agent.delayed_order_ratio = ratio


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        hand_in,
        hold_and_release,
        queue,
        lose_worker,
        look_ahead,
        retry_starts,
    )
}


def play_once(scenario: str, process: str, pause_at: int | None) -> tuple[Play, int]:
    play = Play(process, look_ahead=scenario == look_ahead.__name__)
    begins, ends = SCENARIOS[scenario](play)
    play.at(STARTS_AT - 0.1, play.submit_patient)
    return play, play.run(pause_at, begins, ends)


@pytest.mark.parametrize("process", ["entry", "agent"])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_pause_at_no_point_runs_a_task_twice(scenario, process, record_property):
    # Guards against tasks that ran twice: an entry that was paused within a pass went
    # on placing when it woke, and its orders counted as fresh.
    play, points = play_once(scenario, process, None)
    assert play.simulation.overlapping_tasks() == []
    assert play.repeated == []
    broken = {}
    for pause_at in range(points):
        play, _ = play_once(scenario, process, pause_at)
        twice = play.simulation.overlapping_tasks()
        answers = [job.answer for job in [play.patient, *play.repeated]]
        if twice or play.simulation.overcommitted_workers():
            broken[pause_at] = f"{len(twice)} tasks ran twice"
        elif any(answer is None or answer.state != JobState.DONE for answer in answers):
            broken[pause_at] = "a caller that stayed has no result"
    record_property("points", points)
    print(f"{scenario}, {process}: paused at {points} points")
    assert points >= MIN_POINTS
    assert broken == {}
