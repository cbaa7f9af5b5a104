"""Load shedding: whether a job that has not started may keep waiting for capacity.

The rules are designed for overloads that last seconds. During a short overload jobs
wait, since a job that starts late may still end in time. During a longer one the jobs
that would end too late are refused immediately, so that their callers can go elsewhere
and the remaining jobs are not delayed too.
"""

from msgspec import Struct


# An answer is late after the job's objective, and useless after this many times it.
LATE_FACTOR = 3.0
# A job that is forecast to miss its objective is refused once it has waited for this
# share of it. A caller that is refused later has lost too much of its available time.
WAIT_SHARE = 0.25
# Time of the messages between the entry, the agent and the worker.
OVERHEAD_S = 0.01


class WaitForecast(Struct):
    """Times of a waiting job, in seconds.

    :ivar waited_s: Time since its arrival.
    :ivar run_s: Expected time from its start to its end.
    :ivar wait_s: Forecast time from now until it can start.
    :ivar workers_known: Whether the forecast is based on the current state of the
        workers. It is not while the entry has just started or has just lost all of its
        workers.
    """

    waited_s: float
    objective_s: float
    run_s: float
    wait_s: float
    caller_timeout_s: float
    workers_known: bool = True

    @property
    def completion_s(self) -> float:
        """Forecast time from its arrival to its end."""
        return self.waited_s + self.wait_s + self.run_s + OVERHEAD_S

    @property
    def max_useful_s(self) -> float:
        """Time from its arrival after which its answer is of no use."""
        return min(LATE_FACTOR * self.objective_s, self.caller_timeout_s)


def useless_reason(forecast: WaitForecast) -> str:
    """Return why a job is of no use even if it starts now, or ``""``."""
    if forecast.waited_s + forecast.run_s > forecast.max_useful_s:
        return "it cannot end while its answer is of use"
    return ""


def refusal_reason(forecast: WaitForecast) -> str:
    """Return why a job that has not started is to be refused now, or ``""``."""
    reason = useless_reason(forecast)
    if reason or not forecast.workers_known:
        return reason
    if forecast.completion_s > forecast.max_useful_s:
        return "the work ahead of it takes too long"
    waited_long = forecast.waited_s > WAIT_SHARE * forecast.objective_s
    if waited_long and forecast.completion_s > forecast.objective_s:
        return "no room in time for its objective"
    return ""


def waiting_times(work: list[float], cores: float) -> list[float]:
    """Return the time until each job can start, for jobs in queue order.

    :param work: Core-seconds of each job.
    :param cores: Core-seconds that a busy fleet completes for these jobs per second.
    """
    if cores <= 0:
        return [float("inf")] * len(work)
    waits = []
    ahead = 0.0
    for amount in work:
        # The job's own work is included, since its last task starts only after nearly
        # all of its other tasks have started.
        ahead += amount
        waits.append(ahead / cores)
    return waits
