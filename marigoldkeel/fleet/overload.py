"""Overload policies: in which order jobs wait, and which of them are refused.

An entry's policy is chosen by a setting. Performs no I/O.
"""

from collections.abc import Callable, Iterable

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.admission import (
    OVERHEAD_S,
    WaitForecast,
    refusal_reason,
    useless_reason,
)
from marigoldkeel.fleet.order import order_by_precedence, order_by_priority
from marigoldkeel.fleet.owned import OwnedJob


# Part of a forecast wait after which a job is refused if it is too long. The work ahead
# is counted as if all of it were to be done, but some callers leave and some jobs are
# refused. In simulated overloads more jobs were served with a half than with all of it.
CERTAIN_WAIT_SHARE = 0.5


class OverloadPolicy:
    """How waiting jobs are ordered and refused.

    :cvar waits_for_workers: Whether an entry that has just started makes no forecasts
        while some of the workers that it knows of are not usable yet.
    """

    waits_for_workers = False

    def order(
        self, jobs: Iterable[OwnedJob], now: float, max_speed: float
    ) -> list[OwnedJob]:
        """Return waiting jobs in the order in which they are served.

        :param now: The earliest time at which a run can start.
        :param max_speed: The relative speed of the fastest worker.
        """
        raise NotImplementedError

    def refusal_reason(self, forecast: WaitForecast) -> str:
        """Return why a job that has not started is to be refused now, or ``""``."""
        raise NotImplementedError


overload_policies: dict[str, type[OverloadPolicy]] = {}


def overload_policy(
    name: str,
) -> Callable[[type[OverloadPolicy]], type[OverloadPolicy]]:
    """Register an overload policy under a name used in the settings."""

    def register(cls: type[OverloadPolicy]) -> type[OverloadPolicy]:
        overload_policies[name] = cls
        return cls

    return register


def find_overload_policy(name: str) -> type[OverloadPolicy]:
    """Return the policy registered as ``name``.

    :raises InvalidInput: If there is none.
    """
    if name not in overload_policies:
        known = ", ".join(sorted(overload_policies))
        raise InvalidInput(
            f"unknown overload policy {name!r}; known: {known}", "settings"
        )
    return overload_policies[name]


@overload_policy("by_deadline")
class ByDeadline(OverloadPolicy):
    """Serves urgent jobs first and then those that have to start earliest.

    Designed for callers that can go elsewhere: a job that is forecast to be late is
    refused once it has waited for a part of its objective.
    """

    def order(
        self, jobs: Iterable[OwnedJob], now: float, max_speed: float
    ) -> list[OwnedJob]:
        return order_by_precedence(jobs, now, max_speed)

    def refusal_reason(self, forecast: WaitForecast) -> str:
        return refusal_reason(forecast)


@overload_policy("by_priority")
class ByPriority(OverloadPolicy):
    """Serves queues in the order of their priority.

    Designed for overloads of seconds in which callers try only once and long jobs have
    the lowest priority: a late answer is worth more than a refusal, and many short jobs
    are served with the capacity that one long job needs. A job is refused only if its
    answer would be of no use. A caller that waits longer than its run by more than the
    jobs of higher priority take still gets an answer, so no queue is starved while the
    entry has more capacity than the queues before it need.
    """

    # After a common start of all daemons a forecast over the first workers would refuse
    # most jobs. Those that wait instead delay none that can still be in time.
    waits_for_workers = True

    def order(
        self, jobs: Iterable[OwnedJob], now: float, max_speed: float
    ) -> list[OwnedJob]:
        return order_by_priority(jobs, now, max_speed)

    def refusal_reason(self, forecast: WaitForecast) -> str:
        reason = useless_reason(forecast)
        if reason or not forecast.workers_known:
            return reason
        certain_wait_s = CERTAIN_WAIT_SHARE * forecast.wait_s
        end_s = forecast.waited_s + certain_wait_s + forecast.run_s + OVERHEAD_S
        if end_s > forecast.max_useful_s:
            return "the work ahead of it takes too long"
        return ""
