"""Forecasts of run times and worker speeds, learned from completed and running tasks.

A worker is modelled as faster or slower than the mean of the fleet by the same factor
for every task. Tasks of one step differ little in their work, so comparing two of them
that ran on different workers reveals the relative speed of these workers.

Callers give two hints of a job's duration: an estimate, which is often wrong by half,
and how long they wait for the answer. The error of each hint is learned per queue, and
the more accurate hint gets the larger weight.
"""

import math

from msgspec import Struct, field


# Lowest learning rate for a comparison with tasks of the same step. The first
# comparisons of a worker have larger weights.
SIBLING_WEIGHT = 0.1
MAX_SIBLING_WEIGHT = 0.5
# Learning rate for a comparison with the job's forecast, the only one for a run without
# siblings.
FORECAST_WEIGHT = 0.015
# A run time that differs from its siblings' by more than this factor indicates that the
# worker's speed has changed, and is learned at a higher rate.
OUTLIER_LOG_RATIO = math.log(2.5)
OUTLIER_WEIGHT = 0.25
# Lowest learning rate for the accuracy of a hint. The first jobs have larger weights.
HINT_WEIGHT = 0.03
# Until jobs were observed, a hint is assumed to be wrong by a factor of e either way.
INITIAL_VARIANCE = 1.0
# Lower bound of a hint's variance, because the tasks of one job differ as well.
MIN_VARIANCE = 0.01
MIN_RUN_S = 0.001
# Largest factor by which a single observation can deviate from what was expected.
MAX_FACTOR = 20.0
# Used for a queue without observations whose callers give no hints.
DEFAULT_CRITICAL_PATH_S = 0.3


class Sample(Struct):
    """The run time of a task on a worker, measured or predicted from its progress."""

    worker: str
    run_s: float


class HintAccuracy(Struct):
    """The observed accuracy of one kind of hint in one queue.

    :ivar observations: How many jobs were observed.
    :ivar bias: Mean of the logarithm of the actual duration over the hint.
    :ivar variance: Variance of that logarithm around its mean.
    """

    observations: int = 0
    bias: float = 0.0
    variance: float = INITIAL_VARIANCE

    def learn(self, hint_s: float, actual_s: float) -> None:
        """Update the statistics with the actual duration of one job."""
        log_error = math.log(actual_s / hint_s) - self.bias
        limit = math.log(MAX_FACTOR)
        if self.observations:
            log_error = max(-limit, min(limit, log_error))
        self.observations += 1
        weight = max(HINT_WEIGHT, 1 / self.observations)
        self.bias += weight * log_error
        if self.observations > 1:
            self.variance += max(HINT_WEIGHT, 1 / (self.observations + 1)) * (
                log_error * log_error - self.variance
            )


class Forecaster(Struct):
    """Forecasts job durations and worker speeds.

    :ivar log_slowdown: For each worker the logarithm of its run time over the fleet's
        mean run time.
    :ivar comparisons: How often each worker was compared with others.
    :ivar hints: The accuracy of each hint, by queue and position of the hint.
    """

    log_slowdown: dict[str, float] = field(default_factory=dict)
    comparisons: dict[str, int] = field(default_factory=dict)
    hints: dict[tuple[str, int], HintAccuracy] = field(default_factory=dict)

    def critical_path_s(self, queue: str, hints_s: list[float]) -> float:
        """Return the expected length of a job's critical path at the mean speed.

        :param hints_s: The caller's hints in seconds; 0 for a missing hint.
        """
        total = weights = 0.0
        for position, hint_s in enumerate(hints_s):
            if hint_s <= 0:
                continue
            accuracy = self.hints.get((queue, position), HintAccuracy())
            # Only the first hint is an estimate of the duration. The others are used
            # only after their relation to the duration has been observed.
            if position and not accuracy.observations:
                continue
            weight = 1 / max(MIN_VARIANCE, accuracy.variance)
            total += weight * (math.log(hint_s) + accuracy.bias)
            weights += weight
        return math.exp(total / weights) if weights else DEFAULT_CRITICAL_PATH_S

    def learn_critical_path(
        self, queue: str, hints_s: list[float], actual_s: float
    ) -> None:
        """Update the accuracy of the hints with a completed job.

        :param actual_s: Length of its critical path at the mean speed.
        """
        for position, hint_s in enumerate(hints_s):
            if hint_s > 0:
                accuracy = self.hints.setdefault((queue, position), HintAccuracy())
                accuracy.learn(hint_s, max(MIN_RUN_S, actual_s))

    def speed(self, worker: str) -> float:
        """Return a worker's relative speed; the mean of the fleet is 1."""
        return math.exp(-self.log_slowdown.get(worker, 0.0))

    @property
    def max_speed(self) -> float:
        """The speed of the fastest worker."""
        return math.exp(-min(self.log_slowdown.values(), default=0.0))

    def work_s(self, sample: Sample) -> float:
        """Return how long a run would have taken at the mean speed."""
        return max(MIN_RUN_S, sample.run_s) * self.speed(sample.worker)

    def learn_speed(
        self, sample: Sample, siblings: list[Sample], forecast_s: float
    ) -> None:
        """Update the speeds of workers from a run.

        :param siblings: Runs of other tasks of the same step.
        :param forecast_s: Forecast run time of the task at the mean speed.
        """
        self._adjust(
            sample.worker, self._log_error(forecast_s, sample), FORECAST_WEIGHT
        )
        others = [item for item in siblings if item.worker != sample.worker]
        if others:
            logs = [math.log(self.work_s(item)) for item in others]
            log_error = self._log_error(math.exp(sum(logs) / len(logs)), sample)
            weight = self._sibling_weight(sample.worker)
            if abs(log_error) > OUTLIER_LOG_RATIO:
                weight = max(weight, OUTLIER_WEIGHT)
            self._adjust(sample.worker, log_error, weight)
            for item in others:
                weight = self._sibling_weight(item.worker)
                self._adjust(item.worker, -log_error / len(others), weight)
        self._normalize()

    def reset_speed(self, worker: str) -> None:
        """Discard the learned speed of a worker that has left or was replaced."""
        self.log_slowdown.pop(worker, None)
        self.comparisons.pop(worker, None)

    def _log_error(self, expected_s: float, sample: Sample) -> float:
        limit = math.log(MAX_FACTOR)
        log_error = math.log(self.work_s(sample) / max(MIN_RUN_S, expected_s))
        return max(-limit, min(limit, log_error))

    def _sibling_weight(self, worker: str) -> float:
        """Count a comparison of a worker, and return the weight that it has."""
        count = self.comparisons.get(worker, 0) + 1
        self.comparisons[worker] = count
        return max(SIBLING_WEIGHT, min(MAX_SIBLING_WEIGHT, 1 / count))

    def _adjust(self, worker: str, log_error: float, weight: float) -> None:
        self.log_slowdown[worker] = (
            self.log_slowdown.get(worker, 0.0) + weight * log_error
        )

    def _normalize(self) -> None:
        """Keep the mean speed at 1; a factor common to all belongs to the hints."""
        mean = sum(self.log_slowdown.values()) / len(self.log_slowdown)
        for worker in self.log_slowdown:
            self.log_slowdown[worker] -= mean
