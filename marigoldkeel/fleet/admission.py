"""Whether a job that has not begun may go on waiting for room.

The rules answer a load that exceeds the fleet for seconds: a short excess is waited
out, since a job that begins late may still end in time, and of a lasting one the jobs
that would end too late are refused at once, so that their callers can turn elsewhere
and those that are kept do not wait as well.
"""

from dataclasses import dataclass


# A job is late up to this many times its objective, and of no use after that.
LATE_FACTOR = 3.0
# A job is refused without a forecast when it has waited for this share of its
# objective: a caller who is refused later has lost too much of the time it had.
WAIT_SHARE = 0.25
# Messages and orders between the entry, the agent and the worker.
OVERHEAD_S = 0.01


@dataclass(slots=True)
class WaitForecast:
    """What is known of a job that waits. Times are in seconds.

    :ivar run_s: Time from its begin to its end, as expected.
    :ivar wait_s: Time from now until it can begin, as forecast.
    :ivar workers_known: Whether the forecast rests on what the fleet says now. It does
        not while an entry has just started or has just lost all of its workers.
    """

    waited_s: float
    objective_s: float
    run_s: float
    wait_s: float
    caller_timeout_s: float
    workers_known: bool = True

    @property
    def completion_s(self) -> float:
        """Time from its arrival to its end, as forecast."""
        return self.waited_s + self.wait_s + self.run_s + OVERHEAD_S


def refusal_reason(forecast: WaitForecast) -> str:
    """Return why a job that has not begun is to be refused now, or ``""``."""
    max_useful_s = min(LATE_FACTOR * forecast.objective_s, forecast.caller_timeout_s)
    if forecast.waited_s + forecast.run_s > max_useful_s:
        return "it cannot end while its answer is of use"
    if not forecast.workers_known:
        return ""
    if forecast.completion_s > max_useful_s:
        return "the work ahead of it takes too long"
    waited_long = forecast.waited_s > WAIT_SHARE * forecast.objective_s
    if waited_long and forecast.completion_s > forecast.objective_s:
        return "no room in time for its objective"
    return ""


def waiting_times(work: list[float], cores: float) -> list[float]:
    """Return when each of several jobs can begin, in the order in which they wait.

    :param work: Core-seconds of each job.
    :param cores: Cores that become free for them in a second of a busy fleet.
    """
    if cores <= 0:
        return [float("inf")] * len(work)
    waits = []
    ahead = 0.0
    for amount in work:
        # Its last task begins when all but that task has been taken on.
        ahead += amount
        waits.append(ahead / cores)
    return waits
