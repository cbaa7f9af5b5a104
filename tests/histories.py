"""Checks recorded histories of submissions against the guarantees of the dispatcher.

The events of a history are in chronological order. Several processes on one host may
record them with the same monotonic clock and merge them by time, provided that a start
is recorded before its work begins.

Usage::

    >>> events = [Sent("a", 1), Start("a", 0, "x"), Start("a", 0, "y")]
    >>> check_history(events, {"a": [b"1"]})
    ['a: task 0 started twice, at x and at y']
"""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from marigoldkeel.models import Outcome


@dataclass(slots=True, frozen=True)
class Sent:
    """The client sent an attempt of a submission."""

    submission: Hashable
    attempt: int


@dataclass(slots=True, frozen=True)
class Start:
    """A task started. ``where`` is used in reports only."""

    submission: Hashable
    task: int
    where: str = ""


@dataclass(slots=True, frozen=True)
class Answered:
    """The client received the answer to an attempt.

    ``unanswered`` is the number of other attempts with this id that the client counts
    as unanswered at that time; only at 0 does it act on "not run".
    """

    submission: Hashable
    attempt: int
    outcome: str
    results: Sequence = ()
    unanswered: int = 0


Event = Sent | Start | Answered


class HistoryChecker:
    """Checks events one by one and collects the violations.

    :param expected: The complete and correct results of each submission.
    """

    def __init__(self, expected: Mapping[Hashable, Sequence]):
        self.expected = expected
        self.violations: list[str] = []
        self.starts: dict[Hashable, dict[int, str]] = {}
        self.sent: dict[Hashable, set[int]] = {}
        self.answered: dict[Hashable, set[int]] = {}
        self.not_run: set[Hashable] = set()

    def add(self, event: Event) -> None:
        """Check the next event."""
        match event:
            case Sent(submission, attempt):
                self.sent.setdefault(submission, set()).add(attempt)
                # A later start may belong to this attempt.
                self.not_run.discard(submission)
            case Start():
                self._add_start(event)
            case Answered():
                self._add_answer(event)

    def _add_start(self, event: Start) -> None:
        starts = self.starts.setdefault(event.submission, {})
        if event.submission not in self.sent:
            self._report(event, f"task {event.task} started but was never sent")
        if event.task in starts:
            where = f"at {starts[event.task]} and at {event.where}"
            self._report(event, f"task {event.task} started twice, {where}")
        if event.submission in self.not_run:
            self._report(event, f'task {event.task} started after "not run"')
        starts.setdefault(event.task, event.where)

    def _add_answer(self, event: Answered) -> None:
        name = f"answer to attempt {event.attempt}"
        answered = self.answered.setdefault(event.submission, set())
        if event.attempt not in self.sent.get(event.submission, ()):
            self._report(event, f"{name}, which was never sent")
        if event.attempt in answered:
            self._report(event, f"second {name}")
        answered.add(event.attempt)
        if event.outcome not in set(Outcome):
            self._report(event, f"{name} has unknown outcome {event.outcome!r}")
        if event.outcome == Outcome.COMPLETE:
            self._check_results(event, name)
        elif event.results:
            self._report(event, f"{name} is {event.outcome} but has results")
        if event.outcome == Outcome.NOT_RUN and event.unanswered == 0:
            self.not_run.add(event.submission)
            for task in self.starts.get(event.submission, ()):
                self._report(event, f'{name} is "not run", but task {task} started')

    def _check_results(self, event: Answered, name: str) -> None:
        expected = list(self.expected[event.submission])
        results = list(event.results)
        starts = self.starts.get(event.submission, {})
        if results != expected:
            owners = [
                other
                for other, others in self.expected.items()
                if results == list(others)
            ]
            detail = f"is that of {owners[0]}" if owners else f"is wrong: {results!r}"
            self._report(event, f"{name} {detail}, expected {expected!r}")
        # Also detects a history whose starts were not recorded, which shows nothing.
        for task in set(range(len(expected))) - starts.keys():
            self._report(event, f"{name} is complete, but task {task} never started")

    def _report(self, event: Event, text: str) -> None:
        self.violations.append(f"{event.submission}: {text}")


def check_history(
    events: Iterable[Event], expected: Mapping[Hashable, Sequence]
) -> list[str]:
    """Return the violations in a history, in order; empty if it is correct."""
    checker = HistoryChecker(expected)
    for event in events:
        checker.add(event)
    return checker.violations
