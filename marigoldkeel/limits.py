"""Admission control by priority, team quotas, retry budgets and concurrency limits.

Performs no I/O. All times are monotonic seconds passed in by the caller. Every call
is O(1) unless noted otherwise.
"""

from collections import deque
from collections.abc import Mapping
from enum import StrEnum
from statistics import median

from msgspec import Struct

from marigoldkeel.models import Priority


# Fractions of `max_in_flight` and `max_delay_s` up to which each priority is admitted.
ADMISSION_SHARES = {Priority.URGENT: 1.0, Priority.NORMAL: 0.85, Priority.BATCH: 0.6}
MAX_JOB_TASKS = 150
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
# Weight of a new sample in the moving average of the queueing delay per task ahead.
DELAY_SMOOTHING = 0.1
# Half-life of the delay estimate in the absence of new samples. Without the decay, a
# priority that is refused because of an old estimate would get no new samples for as
# long as higher priorities keep tasks in flight.
DELAY_HALF_LIFE_S = 2.0
RETRY_BUCKETS = 10
# The concurrency limit is adjusted after a round of as many finished requests as the
# limit allows in flight, within these bounds.
MIN_ROUND_SAMPLES = 20
MAX_ROUND_SAMPLES = 50
ROUND_SMOOTHING = 0.2


class TokenBucket:
    """Grants at most ``burst + rate_per_s * t`` tokens in any ``t`` seconds."""

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at: float | None = None

    def take(self, tokens: float, now: float) -> bool:
        """Take all of the tokens or none; return whether they were taken."""
        self._refill(now)
        if tokens > self.tokens:
            return False
        self.tokens -= tokens
        return True

    def wait_s(self, tokens: float, now: float) -> float:
        """Return the seconds until ``take`` can succeed, infinite if it never can."""
        self._refill(now)
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        if tokens > self.burst or self.rate_per_s <= 0:
            return float("inf")
        return missing / self.rate_per_s

    def _refill(self, now: float) -> None:
        if self.updated_at is None or now > self.updated_at:
            elapsed_s = now - (now if self.updated_at is None else self.updated_at)
            self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
            self.updated_at = now


class TeamQuotas:
    """Quotas of the teams in tasks per second. A team without a quota is unknown.

    :param rates_per_s: Tasks per second that this process may admit, by team.
    :param burst_s: Burst size, in seconds of the rate. The burst is at least
        ``MAX_JOB_TASKS``, so that the largest job can be admitted.
    """

    def __init__(self, rates_per_s: Mapping[str, float], burst_s: float = 1.0):
        self.burst_s = burst_s
        self.buckets: dict[str, TokenBucket] = {}
        self.update_rates(rates_per_s)

    def update_rates(
        self,
        rates_per_s: Mapping[str, float],
        bursts: Mapping[str, float] | None = None,
    ) -> None:
        """Replace the quotas, carrying over what each team has used. O(teams).

        :param bursts: Burst sizes in tasks, for teams whose burst differs from
            ``burst_s`` seconds of the rate.
        """
        buckets = {}
        for team, rate_per_s in rates_per_s.items():
            burst = (bursts or {}).get(team, rate_per_s * self.burst_s)
            burst = max(MAX_JOB_TASKS, burst) if rate_per_s else 0
            bucket = TokenBucket(rate_per_s, burst)
            if old := self.buckets.get(team):
                bucket.tokens = max(0, burst - (old.burst - old.tokens))
                bucket.updated_at = old.updated_at
            buckets[team] = bucket
        self.buckets = buckets


class RefusalReason(StrEnum):
    """The reason for refusing a request."""

    UNKNOWN_TEAM = "team has no quota"
    OVER_QUOTA = "team is over its quota"
    IN_FLIGHT = "too many tasks in flight for this class"
    DELAY = "queueing delay is too long for this class"
    DEADLINE = "deadline cannot be met"


class AdmissionDecision(Struct, frozen=True):
    """The decision on a request, which is refused if ``reason`` is set.

    ``tasks_ahead`` counts the tasks in flight at the same or a higher priority.
    ``retry_after_s`` is 0 if a retry would not help.
    """

    priority: Priority
    tasks_ahead: int = 0
    reason: RefusalReason | None = None
    retry_after_s: float = 0.0

    @property
    def admitted(self) -> bool:
        return self.reason is None


class AdmissionController:
    """Admits requests at an entry or a primary, refusing the lowest priority first.

    The queueing delay of a priority is estimated as the number of tasks ahead of it
    multiplied by the observed delay per task ahead, which halves every
    ``DELAY_HALF_LIFE_S`` without a sample. A refused request uses no quota.

    :param max_in_flight: Maximum number of tasks admitted and not yet released.
    :param max_delay_s: Estimated queueing delay up to which urgent work is
        admitted. Lower priorities are admitted up to a share of it.
    """

    def __init__(
        self, quotas: TeamQuotas, max_in_flight: int, max_delay_s: float = 5.0
    ):
        self.quotas = quotas
        self.max_in_flight = max_in_flight
        self.max_delay_s = max_delay_s
        self.in_flight = dict.fromkeys(Priority, 0)
        self.delay_per_task_s = dict.fromkeys(Priority, 0.0)
        self.sampled_at = dict.fromkeys(Priority, 0.0)

    def tasks_ahead(self, priority: Priority) -> int:
        """Return the number of tasks in flight at this or a higher priority."""
        return sum(self.in_flight[p] for p in Priority if p <= priority)

    def delay_s(self, priority: Priority, now: float) -> float:
        """Return the estimated queueing delay of a priority in seconds."""
        return self.tasks_ahead(priority) * self._delay_per_task_s(priority, now)

    def _delay_per_task_s(self, priority: Priority, now: float) -> float:
        age_s = max(0.0, now - self.sampled_at[priority])
        return self.delay_per_task_s[priority] * 0.5 ** (age_s / DELAY_HALF_LIFE_S)

    def admit(
        self,
        team: str,
        priority: Priority,
        tasks: int,
        deadline_s: float,
        now: float,
        run_time_s: float = 0.0,
    ) -> AdmissionDecision:
        """Decide on a request. The caller must release each admitted task once.

        :param deadline_s: Remaining time until the deadline, in seconds.
        :param run_time_s: Expected run time of the kind in seconds, 0 if unknown.
        """
        bucket = self.quotas.buckets.get(team)
        if bucket is None:
            return AdmissionDecision(priority, reason=RefusalReason.UNKNOWN_TEAM)
        share = ADMISSION_SHARES[priority]
        delay_s = self.delay_s(priority, now)
        total = sum(self.in_flight.values())
        reason, wait_s = None, 0.0
        if deadline_s <= 0 or run_time_s > deadline_s:
            return AdmissionDecision(priority, reason=RefusalReason.DEADLINE)
        if total and total + tasks > share * self.max_in_flight:
            reason, wait_s = RefusalReason.IN_FLIGHT, delay_s / 2
        elif delay_s > share * self.max_delay_s:
            reason, wait_s = RefusalReason.DELAY, delay_s - share * self.max_delay_s
        elif delay_s + run_time_s > deadline_s:
            reason, wait_s = RefusalReason.DEADLINE, delay_s + run_time_s - deadline_s
        elif not bucket.take(tasks, now):
            reason, wait_s = RefusalReason.OVER_QUOTA, bucket.wait_s(tasks, now)
            if wait_s == float("inf"):
                return AdmissionDecision(priority, reason=reason)
        if reason:
            wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
            return AdmissionDecision(priority, reason=reason, retry_after_s=wait_s)
        self.in_flight[priority] += tasks
        return AdmissionDecision(priority, self.tasks_ahead(priority))

    def release(
        self,
        tasks: int,
        now: float,
        latency_s: float | None = None,
        *,
        admission: AdmissionDecision,
        run_time_s: float | None = None,
    ) -> None:
        """Release tasks of an admitted request.

        The delay estimate is updated only if both durations are given.

        :param latency_s: Time from admission to the answer, in seconds.
        :param run_time_s: The part of ``latency_s`` that was not spent in queues.
        """
        priority = admission.priority
        self.in_flight[priority] = max(0, self.in_flight[priority] - tasks)
        if latency_s is None or run_time_s is None:
            return
        # The delay was caused by the backlog at admission. The current backlog may be
        # much shorter.
        sample = max(0.0, latency_s - run_time_s) / max(1, admission.tasks_ahead)
        old = self._delay_per_task_s(priority, now)
        self.sampled_at[priority] = now
        self.delay_per_task_s[priority] = old + DELAY_SMOOTHING * (sample - old)


class RetryBudget:
    """Limits retries to a fraction of the calls in a sliding window.

    The number of retries never exceeds ``ratio`` times the number of calls, except
    that ``min_per_s`` permits a few retries when there are hardly any calls.
    """

    def __init__(
        self, ratio: float = 0.1, min_per_s: float = 0.1, window_s: float = 10.0
    ):
        self.ratio = ratio
        self.min_retries = min_per_s * window_s
        self.bucket_s = window_s / RETRY_BUCKETS
        self.buckets: deque[list] = deque()  # [number, calls, retries]
        self.calls = 0
        self.retries = 0

    def record_call(self, now: float) -> None:
        """Record a first attempt."""
        self._current_bucket(now)[1] += 1
        self.calls += 1

    def try_retry(self, now: float) -> bool:
        """Return whether a retry is allowed, and record it if so."""
        bucket = self._current_bucket(now)
        if self.retries + 1 > max(self.ratio * self.calls, self.min_retries):
            return False
        bucket[2] += 1
        self.retries += 1
        return True

    def _current_bucket(self, now: float) -> list:
        number = int(now / self.bucket_s)
        if not self.buckets or self.buckets[-1][0] < number:
            self.buckets.append([number, 0, 0])
        while self.buckets[0][0] <= number - RETRY_BUCKETS:
            _, calls, retries = self.buckets.popleft()
            self.calls -= calls
            self.retries -= retries
        return self.buckets[-1]


class ConcurrencyLimit:
    """Adaptive limit of the requests in flight to one target, based on latency (AIMD).

    Each latency is divided by the expected run time of its kind, so that a shift
    towards long kinds does not change the limit. At the end of a round, the median
    ratio is added to a moving average. If the average exceeds ``tolerance`` times its
    minimum over the last one to two ``window_s``, the limit is reduced by a tenth.
    Otherwise it grows by one if it was reached during the round. The minimum is taken
    of the smoothed values because, with varying run times, the minimum of single
    samples is far below the normal latency and would make the limit collapse.

    :param max_limit: Upper bound, for example the runner's number of connections.
    """

    def __init__(
        self,
        max_limit: int = 64,
        initial: int = 8,
        tolerance: float = 1.7,
        window_s: float = 30.0,
    ):
        self.max_limit = max_limit
        self.limit = float(min(initial, max_limit))
        self.tolerance = tolerance
        self.window_s = window_s
        self.in_flight = 0
        self.limit_reached = False
        self.latency_ratios: list[float] = []
        self.completed = 0
        self.overload_count = 0
        self.rounds = 0
        self.average_ratio = 0.0
        self.window_minimum = self.previous_minimum = float("inf")
        self.window_ends_at: float | None = None

    def acquire(self) -> bool:
        """Reserve a place for a request; return False if the limit is reached."""
        if self.in_flight >= int(self.limit):
            self.limit_reached = True
            return False
        self.in_flight += 1
        self.limit_reached = self.limit_reached or self.in_flight >= int(self.limit)
        return True

    def release(
        self,
        now: float,
        latency_s: float | None = None,
        expected_s: float | None = None,
        overloaded: bool = False,
    ) -> None:
        """Release the place of a request.

        :param latency_s: Duration of the request in seconds, if it was answered.
        :param expected_s: Expected run time of its kind in seconds. It must come from
            the whole fleet or from a low quantile, because an estimate that follows
            this target's latency would hide overload. A sample without an expected
            run time does not count against the target.
        :param overloaded: Whether the target refused the request or timed out.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self.completed += 1
        self.overload_count += overloaded
        if latency_s is not None and expected_s:
            self.latency_ratios.append(latency_s / expected_s)
        if self.completed >= max(
            MIN_ROUND_SAMPLES, min(MAX_ROUND_SAMPLES, int(self.limit))
        ):
            self._adjust(now)

    def _adjust(self, now: float) -> None:
        if self.window_ends_at is None or now >= self.window_ends_at:
            self.previous_minimum, self.window_minimum = (
                self.window_minimum,
                float("inf"),
            )
            self.window_ends_at = now + self.window_s
        slow = False
        if self.latency_ratios:
            self.rounds += 1
            weight = max(ROUND_SMOOTHING, 1 / self.rounds)
            self.average_ratio += weight * (
                median(self.latency_ratios) - self.average_ratio
            )
            if self.rounds * ROUND_SMOOTHING >= 1:
                self.window_minimum = min(self.window_minimum, self.average_ratio)
            slow = self.average_ratio > self.tolerance * min(
                self.window_minimum, self.previous_minimum
            )
        # Up to a tenth of timeouts is attributed to stragglers rather than to overload.
        if slow or self.overload_count > 0.1 * self.completed:
            self.limit = max(1.0, self.limit * 0.9)
        elif self.limit_reached:
            self.limit = min(float(self.max_limit), self.limit + 1)
        self.latency_ratios, self.completed, self.overload_count = [], 0, 0
        self.limit_reached = False
