"""Decides which reports about a worker count; performs no I/O.

Polls are answered by the worker itself, so only they show which boot it runs. A report
may have been sent by another writer; it counts once a poll has shown its boot.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from marigoldkeel.fleet.messages import WorkerFacts


# Reports of unconfirmed boots that are kept; all but one are those of other writers.
MAX_UNCONFIRMED_REPORTS = 4


class ReportOutcome(StrEnum):
    """What became of a report about the worker.

    ``KEPT`` reports name a boot that no poll has shown yet. The last three are ignored.
    """

    APPLIED = "applied"
    KEPT = "kept"
    EARLIER_BOOT = "earlier boot"
    OTHER_WORKER = "other worker"
    OUTDATED = "outdated"


class WorkerReports:
    """The reports about one worker, and what is known of it.

    :ivar facts: The worker as the last report that counts describes it; None if unknown
        or if the worker has announced its exit.
    :ivar sequence: The number of that report.
    :ivar identity: Name and service of the worker by the first report of its boot.
    :ivar unconfirmed: The last report and its number by boot, of boots that no poll has
        shown.
    :ivar exit_announced: Whether the worker has announced its exit since its last
        report.
    """

    __slots__ = (
        "facts",
        "sequence",
        "identity",
        "unconfirmed",
        "counts",
        "boot",
        "exit_announced",
        "on_facts",
    )

    def __init__(self):
        self.facts: WorkerFacts | None = None
        self.sequence = -1
        self.identity: tuple[str, str] | None = None
        self.unconfirmed: dict[int, tuple[int, WorkerFacts]] = {}
        self.counts: Counter[ReportOutcome] = Counter()
        self.boot = 0
        self.exit_announced = False
        self.on_facts: Callable[[WorkerFacts], None] = lambda facts: None

    def receive(self, facts: WorkerFacts, sequence: int) -> ReportOutcome:
        """Apply, keep or ignore a report."""
        outcome = self._handle(facts, sequence)
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
        self.sequence = -1
        self.exit_announced = False
        self.facts = None
        report = self.unconfirmed.get(boot)
        self.unconfirmed = {
            other: kept for other, kept in self.unconfirmed.items() if other > boot
        }
        if report is not None:
            sequence, facts = report
            self._apply(facts, sequence)

    def _handle(self, facts: WorkerFacts, sequence: int) -> ReportOutcome:
        if facts.boot < self.boot:
            return ReportOutcome.EARLIER_BOOT
        if facts.boot > self.boot:
            is_kept = self._keep(facts, sequence)
            return ReportOutcome.KEPT if is_kept else ReportOutcome.OUTDATED
        if self.identity not in (None, (facts.worker, facts.service)):
            return ReportOutcome.OTHER_WORKER
        if sequence <= self.sequence:
            return ReportOutcome.OUTDATED
        self._apply(facts, sequence)
        return ReportOutcome.APPLIED

    def _apply(self, facts: WorkerFacts, sequence: int) -> None:
        self.identity = facts.worker, facts.service
        self.sequence = sequence
        self.exit_announced = False
        self.facts = facts
        self.on_facts(facts)

    def _keep(self, facts: WorkerFacts, sequence: int) -> bool:
        """Keep a report of a later boot until a poll shows that boot."""
        if facts.boot not in self.unconfirmed:
            if len(self.unconfirmed) == MAX_UNCONFIRMED_REPORTS:
                del self.unconfirmed[next(iter(self.unconfirmed))]
        elif sequence <= self.unconfirmed[facts.boot][0]:
            return False
        self.unconfirmed[facts.boot] = (sequence, facts)
        return True
