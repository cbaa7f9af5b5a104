"""Outlier ejection of targets with half-open probing.

Performs no I/O. All times are monotonic seconds passed in by the caller.
"""

from collections import deque

from msgspec import Struct, field


RESULT_WINDOW = 10
# Number of consecutive failures of a kind on a target from which the kind is considered
# to fail there.
MIN_FAILURE_STREAK = 2
# Number of targets that must have run a kind before the kind can be classified as
# failing.
MIN_TARGETS_TRIED = 3
MAX_KINDS = 1000
SUCCESS_SMOOTHING = 0.2
SPEED_SMOOTHING = 0.1
NEUTRAL_WEIGHT = 0.5


class TargetHealth(Struct):
    """Health statistics of a target; ``slowness`` is 1.0 at average speed."""

    results: deque = field(default_factory=lambda: deque(maxlen=RESULT_WINDOW))
    success_rate: float = 1.0
    slowness: float = 1.0
    backoff_s: float = 0.0
    probe_at: float = 0.0
    probing_until: float | None = None
    reinstated_at: float = float("-inf")


class KindHealth(Struct):
    """Failure streaks of a kind by target, the least recently updated target first."""

    streaks: dict[str, tuple[int, float]] = field(default_factory=dict)
    failing_targets: int = 0
    run_time_s: float | None = None

    def set_streak(self, target: str, streak: int, now: float) -> None:
        self.clear_streak(target)
        self.streaks[target] = streak, now
        self.failing_targets += streak >= MIN_FAILURE_STREAK

    def clear_streak(self, target: str) -> None:
        streak, _ = self.streaks.pop(target, (0, 0.0))
        self.failing_targets -= streak >= MIN_FAILURE_STREAK

    def expire(self, before: float) -> None:
        while self.streaks:
            target = next(iter(self.streaks))
            if self.streaks[target][1] > before:
                return
            self.clear_streak(target)

    @property
    def is_failing(self) -> bool:
        tried = len(self.streaks)
        return tried >= MIN_TARGETS_TRIED and 2 * self.failing_targets > tried


class OutlierDetector:
    """Ejects targets that fail, except for failures caused by the kind of work.

    A target is ejected if ``max_failures`` of its last 10 results are failures, not
    counting those of failing kinds. A kind is failing while it fails on more than half
    of the targets that ran it within ``window_s``. Its failures are then ignored, and
    targets that were ejected only because of them are reinstated. After the backoff, an
    ejected target gets one probe at a time. The backoff doubles with each failed probe
    and with each ejection within ``max_backoff_s`` of a reinstatement.

    ``record``, ``available`` and ``weight`` are amortised O(1), except that a change
    of the failing kinds takes O(ejected targets). Memory use is O(kinds * targets), for
    at most 1,000 kinds.

    :param max_ejected_share: Maximum fraction of the targets that may be ejected. It is
        rounded down, so with few targets there may be no ejection at all.
    :param probe_timeout_s: Time after which a probe without a result is abandoned.
    """

    def __init__(
        self,
        max_ejected_share: float = 0.3,
        max_failures: int = 5,
        backoff_s: float = 1.0,
        max_backoff_s: float = 60.0,
        window_s: float = 30.0,
        probe_timeout_s: float = 10.0,
    ):
        self.max_ejected_share = max_ejected_share
        self.max_failures = max_failures
        self.backoff_s = backoff_s
        self.max_backoff_s = max_backoff_s
        self.window_s = window_s
        self.probe_timeout_s = probe_timeout_s
        self.targets: dict[str, TargetHealth] = {}
        self.kinds: dict[str, KindHealth] = {}
        self.failing_kinds: set[str] = set()
        self.ejected: dict[str, None] = {}  # in order of ejection

    def add(self, target: str) -> None:
        """Add a target, so that it counts towards the maximum ejected share."""
        self.targets.setdefault(target, TargetHealth())

    def remove(self, target: str, now: float) -> None:
        """Remove a target that has left. O(kinds)."""
        self.targets.pop(target, None)
        self.ejected.pop(target, None)
        for kind in list(self.kinds):
            self.kinds[kind].clear_streak(target)
            self._update_failing_kind(kind, now)
        while len(self.ejected) > self._max_ejected():
            self._reinstate(next(iter(self.ejected)), now)

    def available(self, target: str, now: float) -> bool:
        """Return whether work may be sent to the target now. Changes no state."""
        if target not in self.ejected:
            return True
        health = self.targets[target]
        if health.probing_until is not None and now < health.probing_until:
            return False
        return now >= health.probe_at

    def record_start(self, target: str, now: float) -> None:
        """Record that work is sent. For an ejected target, that work is its probe."""
        if target in self.ejected:
            self.targets[target].probing_until = now + self.probe_timeout_s

    def record(
        self,
        target: str,
        kind: str,
        succeeded: bool,
        now: float,
        run_time_s: float | None = None,
    ) -> None:
        """Record a result, with its run time in seconds if it succeeded."""
        self.add(target)
        health = self.targets[target]
        kind_health = self.kinds.pop(kind, None) or KindHealth()
        self.kinds[kind] = kind_health
        if len(self.kinds) > MAX_KINDS:
            oldest = next(iter(self.kinds))
            del self.kinds[oldest]
            self.failing_kinds.discard(oldest)
        streak, _ = kind_health.streaks.get(target, (0, 0.0))
        kind_health.set_streak(target, 0 if succeeded else streak + 1, now)
        self._update_failing_kind(kind, now)
        if succeeded and run_time_s:
            self._record_speed(health, kind_health, run_time_s)
        is_evidence = succeeded or kind not in self.failing_kinds
        if is_evidence:
            health.results.append((kind, succeeded))
            health.success_rate += SUCCESS_SMOOTHING * (succeeded - health.success_rate)
        if target not in self.ejected:
            if (
                self._has_too_many_failures(health)
                and len(self.ejected) < self._max_ejected()
            ):
                self._eject(target, now)
        elif health.probing_until is not None:
            health.probing_until = None
            if succeeded:
                self._reinstate(target, now)
            elif is_evidence:
                self._back_off(health, now)

    def list_failing_kinds(self, now: float) -> list[str]:
        """Return the kinds that fail on most targets, in sorted order."""
        for kind in list(self.failing_kinds):
            self._update_failing_kind(kind, now)
        return sorted(self.failing_kinds)

    def weight(self, target: str) -> float:
        """Return a weight from 0 to 1: the success rate times the relative speed.

        A target of average speed and an unknown target have 0.5, a target at least
        twice as fast has 1.0. Failures lower the weight regardless of how fast they
        are, because run times of failures are ignored.
        """
        health = self.targets.get(target)
        if health is None:
            return NEUTRAL_WEIGHT
        return health.success_rate * min(1.0, NEUTRAL_WEIGHT / health.slowness)

    def _record_speed(
        self, health: TargetHealth, kind: KindHealth, run_time_s: float
    ) -> None:
        if kind.run_time_s is None:
            kind.run_time_s = run_time_s
        slowness = run_time_s / kind.run_time_s
        kind.run_time_s += SPEED_SMOOTHING * (run_time_s - kind.run_time_s)
        health.slowness += SPEED_SMOOTHING * (slowness - health.slowness)

    def _max_ejected(self) -> int:
        return int(self.max_ejected_share * len(self.targets))

    def _has_too_many_failures(self, health: TargetHealth) -> bool:
        failures = sum(
            not succeeded and kind not in self.failing_kinds
            for kind, succeeded in health.results
        )
        return failures >= self.max_failures

    def _eject(self, target: str, now: float) -> None:
        health = self.targets[target]
        if now - health.reinstated_at >= self.max_backoff_s:
            health.backoff_s = 0.0
        self.ejected[target] = None
        health.probing_until = None
        self._back_off(health, now)

    def _back_off(self, health: TargetHealth, now: float) -> None:
        doubled_s = max(self.backoff_s, 2 * health.backoff_s)
        health.backoff_s = min(self.max_backoff_s, doubled_s)
        health.probe_at = now + health.backoff_s

    def _reinstate(self, target: str, now: float) -> None:
        del self.ejected[target]
        health = self.targets[target]
        health.results.clear()
        health.probing_until = None
        health.reinstated_at = now

    def _update_failing_kind(self, kind: str, now: float) -> None:
        health = self.kinds[kind]
        health.expire(now - self.window_s)
        if health.is_failing == (kind in self.failing_kinds):
            return
        if not health.is_failing:
            self.failing_kinds.discard(kind)
            return
        self.failing_kinds.add(kind)
        for target in list(self.ejected):
            if not self._has_too_many_failures(self.targets[target]):
                self._reinstate(target, now)
                self.targets[target].backoff_s = 0.0
