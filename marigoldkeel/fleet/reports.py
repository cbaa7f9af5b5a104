"""Decides which reports about a worker count; performs no I/O.

Polls are answered by the worker itself, so only they show which boot it runs. A report
may have been sent by another writer; it counts once a poll has shown its boot.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct

from marigoldkeel.fleet.messages import WorkerFacts


# Reports of unconfirmed boots that are kept; all but one are those of other writers.
MAX_UNCONFIRMED_REPORTS = 4
# Reports that contradict the last one that counted, and that arrive in order and as far
# apart as they were sent, count after this many: the last one was not the worker's. A
# worker reports every 1.5 s.
CONTRADICTING_REPORTS = 3
MAX_ARRIVAL_JITTER_S = 0.5


class ReportOutcome(StrEnum):
    """What became of a report about the worker.

    ``KEPT`` reports name a boot that no poll has shown yet. The others are ignored.
    ``CONTRADICTORY`` reports would be out of date by their number or clock, if the last
    report was the worker's.
    """

    APPLIED = "applied"
    KEPT = "kept"
    EARLIER_BOOT = "earlier boot"
    OTHER_WORKER = "other worker"
    OUTDATED = "outdated"
    CONTRADICTORY = "contradictory"

    @property
    def counts(self) -> bool:
        """Whether the report was applied or kept."""
        return self in (ReportOutcome.APPLIED, ReportOutcome.KEPT)


class ReportOrder(Struct):
    """Finds the reports of a worker that are newer than the last one that counted.

    Numbers and clock of a worker rise together. Another writer may have sent a number
    or a clock that the worker does not reach; what the worker goes on sending then
    contradicts that report.

    :ivar clock_ms: The worker's clock in the last report that counted; None if it is
        not known.
    :ivar contradicting: How many reports in a row contradict it.
    """

    sequence: int = -1
    clock_ms: float | None = None
    contradicting: int = 0
    contradicting_sequence: int = -1
    contradicting_clock_ms: float = 0.0
    contradicted_at: float = 0.0

    def classify(
        self, sequence: int, clock_ms: float | None, now: float
    ) -> ReportOutcome:
        """Return ``APPLIED`` for a report that counts from now on."""
        if self._is_newer(sequence, clock_ms):
            self.sequence, self.clock_ms = sequence, clock_ms
            self.contradicting = 0
            return ReportOutcome.APPLIED
        is_repeated = (sequence, clock_ms) == (self.sequence, self.clock_ms)
        if clock_ms is None or self.clock_ms is None or is_repeated:
            return ReportOutcome.OUTDATED
        self._record_contradiction(sequence, clock_ms, now)
        if self.contradicting < CONTRADICTING_REPORTS:
            return ReportOutcome.CONTRADICTORY
        self.sequence, self.clock_ms = sequence, clock_ms
        self.contradicting = 0
        return ReportOutcome.APPLIED

    def _is_newer(self, sequence: int, clock_ms: float | None) -> bool:
        if clock_ms is None or self.clock_ms is None:
            return sequence > self.sequence
        # A late report of the worker has the lower number and the earlier clock.
        return (clock_ms, sequence) > (self.clock_ms, self.sequence)

    def _record_contradiction(self, sequence: int, clock_ms: float, now: float) -> None:
        sent_later_s = (clock_ms - self.contradicting_clock_ms) / 1000
        is_next = (
            self.contradicting > 0
            and sequence > self.contradicting_sequence
            and sent_later_s > 0
            and abs(now - self.contradicted_at - sent_later_s) <= MAX_ARRIVAL_JITTER_S
        )
        self.contradicting = self.contradicting + 1 if is_next else 1
        self.contradicting_sequence = sequence
        self.contradicting_clock_ms = clock_ms
        self.contradicted_at = now


class WorkerReports:
    """The reports about one worker, and what is known of it.

    :ivar facts: The worker as the last report that counts describes it; None if unknown
        or if the worker has announced its exit.
    :ivar order: The number and clock of that report.
    :ivar identity: Name and service of the worker by the first report of its boot.
    :ivar unconfirmed: The last report, its number and clock by boot, of boots that no
        poll has shown.
    :ivar exit_announced: Whether the worker has announced its exit since its last
        report.
    """

    __slots__ = (
        "facts",
        "order",
        "identity",
        "unconfirmed",
        "counts",
        "boot",
        "exit_announced",
        "on_facts",
    )

    def __init__(self):
        self.facts: WorkerFacts | None = None
        self.order = ReportOrder()
        self.identity: tuple[str, str] | None = None
        self.unconfirmed: dict[int, tuple[ReportOrder, WorkerFacts]] = {}
        self.counts: Counter[ReportOutcome] = Counter()
        self.boot = 0
        self.exit_announced = False
        self.on_facts: Callable[[WorkerFacts], None] = lambda facts: None

    def receive(
        self, facts: WorkerFacts, sequence: int, clock_ms: float | None, now: float
    ) -> ReportOutcome:
        """Apply, keep or ignore a report.

        :param clock_ms: The worker's clock when it sent the report; None if unknown.
        """
        outcome = self._handle(facts, sequence, clock_ms, now)
        self.counts[outcome] += 1
        return outcome

    def adopt(self, facts: WorkerFacts) -> None:
        """Use facts cached elsewhere if the worker has not reported yet."""
        if self.facts is None and facts.worker and facts.boot == self.boot:
            self.facts = facts

    def announce_exit(self, worker: str) -> bool:
        """Record that the worker is about to exit; return whether it is this one."""
        is_known = self.facts is not None and self.facts.worker == worker
        if is_known:
            self.exit_announced = True
            self.facts = None
        return is_known

    def reset_for_boot(self, boot: int) -> None:
        """Forget the last boot, and apply the report of the new one if it is kept."""
        self.boot = boot
        self.identity = None
        self.order = ReportOrder()
        self.exit_announced = False
        self.facts = None
        report = self.unconfirmed.get(boot)
        self.unconfirmed = {
            other: kept for other, kept in self.unconfirmed.items() if other > boot
        }
        if report is not None:
            self.order, facts = report
            self._apply(facts)

    def _handle(
        self, facts: WorkerFacts, sequence: int, clock_ms: float | None, now: float
    ) -> ReportOutcome:
        if facts.boot < self.boot:
            return ReportOutcome.EARLIER_BOOT
        if facts.boot > self.boot:
            return self._keep(facts, sequence, clock_ms, now)
        if self.identity not in (None, (facts.worker, facts.service)):
            return ReportOutcome.OTHER_WORKER
        outcome = self.order.classify(sequence, clock_ms, now)
        if outcome == ReportOutcome.APPLIED:
            self._apply(facts)
        return outcome

    def _apply(self, facts: WorkerFacts) -> None:
        self.identity = facts.worker, facts.service
        self.exit_announced = False
        self.facts = facts
        self.on_facts(facts)

    def _keep(
        self, facts: WorkerFacts, sequence: int, clock_ms: float | None, now: float
    ) -> ReportOutcome:
        """Keep a report of a later boot until a poll shows that boot."""
        if facts.boot not in self.unconfirmed:
            if len(self.unconfirmed) == MAX_UNCONFIRMED_REPORTS:
                del self.unconfirmed[next(iter(self.unconfirmed))]
            order = ReportOrder()
        else:
            order = self.unconfirmed[facts.boot][0]
        outcome = order.classify(sequence, clock_ms, now)
        if outcome != ReportOutcome.APPLIED:
            return outcome
        self.unconfirmed[facts.boot] = (order, facts)
        return ReportOutcome.KEPT
