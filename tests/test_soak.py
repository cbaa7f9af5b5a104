"""The soak's checks catch what they are for, and a short seeded run keeps them."""

import random
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from emulator.addresses import free_address
from marigoldkeel.fleet.work import RunEnd, TaskId
from soak.callers import LOST, NOT_CONNECTED, SILENT, Attempt, Probe, SentJob
from soak.checks import (
    DRAIN_S,
    MAX_ATTEMPTS,
    Record,
    Span,
    checks,
    findings,
    timed_checks,
)
from soak.installations import PlanChange
from soak.programs import Disturbance, Program
from soak.runs import run_seed


JOB = "00000000000000aa"
ALL_CHECKS = {**checks, **timed_checks}
DONE, FAILED, STOPPED = RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED
# Faults begin for this long in the run that CI makes.
SHORT_S = 4.0
# Seeds 8 and 9 ended an agent by a connection that was reset before it was accepted.
REGRESSIONS = (8, 9)


class Seen:
    """What a run saw, to be changed by one thing that breaks a promise."""

    def __init__(self, folder: Path):
        self.entry = Program("entry-0", {}, folder)
        self.entry.log_path.write_text('{"message":"started as entry-0"}\n')
        self.attempt = Attempt(self.entry, 10.0, 10.5, 200, "done")
        self.job = SentJob(JOB, 1, False, 1.5, [self.attempt])
        self.spans = [Span("w-1", 10.1, 10.4, DONE)]
        self.worker = SimpleNamespace(
            name="w-1", peak_cpu_milli=4000, capacity=SimpleNamespace(cpu_milli=4000)
        )
        self.changes = [
            PlanChange(2, {"/stock/"}),
            PlanChange(4, {"/stock/", "/extra-1/"}),
        ]
        self.probes = [self.probe("/extra-1/", 6.0, known=True)]
        self.leaving = [("w-1", 20.0, 25.0)]

    def probe(self, prefix: str, at: float, known: bool) -> Probe:
        return Probe(self.entry, prefix, at, at + 0.01, known, pid=1)

    def disturb(self, kind: str) -> None:
        self.entry.disturbances.append(Disturbance(kind, 10.2, 11.0))

    def record(self) -> Record:
        installation = SimpleNamespace(
            programs=[self.entry],
            runners=[SimpleNamespace(worker=self.worker)],
            changes=self.changes,
            leaving=self.leaving,
        )
        callers = SimpleNamespace(jobs=[self.job], probes=self.probes)
        return Record(installation, callers, {TaskId(JOB, 0, 0, 0): self.spans})


def run_twice(seen):
    seen.spans.append(Span("w-2", 10.3, 10.6, STOPPED))


def overfill(seen):
    seen.worker.peak_cpu_milli = 4001


def refuse_and_run(seen):
    seen.attempt.outcome = 503


def answer_unknown_status(seen):
    seen.attempt.outcome = 500


def answer_before_the_end(seen):
    seen.attempt.ended_at = 10.3


def claim_failure_too_soon(seen):
    seen.attempt.state = "failed"
    seen.spans[:] = [
        Span("w-1", 10.0 + number / 100, 10.005 + number / 100, FAILED)
        for number in range(MAX_ATTEMPTS - 1)
    ]


def stay_silent(seen):
    seen.attempt.outcome, seen.attempt.ended_at = SILENT, 13.0


def break_off(seen):
    seen.attempt.outcome = LOST


def cut_by_planned_stop(seen):
    seen.attempt.outcome = LOST
    seen.disturb("stopped")


def end_badly(seen):
    seen.entry.bad_exits.append("1")


def start_at_leaving_worker(seen):
    seen.spans.append(Span("w-1", 20.0 + DRAIN_S + 0.1, 23.0, DONE))


def fall_back(seen):
    seen.probes.append(seen.probe("/extra-1/", 7.0, known=False))


def log_error(seen):
    seen.entry.log_path.write_text("Traceback (most recent call last):\n")


@pytest.mark.parametrize(
    "broken, promise",
    [
        (run_twice, "no_task_runs_twice_at_once"),
        (overfill, "no_worker_is_overfull"),
        (refuse_and_run, "refused_jobs_never_start"),
        (answer_unknown_status, "answers_are_whole_and_true"),
        (answer_before_the_end, "answers_are_whole_and_true"),
        (claim_failure_too_soon, "answers_are_whole_and_true"),
        (stay_silent, "entries_that_run_give_an_answer"),
        (break_off, "entries_that_run_give_an_answer"),
        (cut_by_planned_stop, "entries_that_run_give_an_answer"),
        (end_badly, "planned_stops_end_in_time"),
        (start_at_leaving_worker, "leaving_workers_get_nothing_new"),
        (fall_back, "configurations_never_go_back"),
        (log_error, "no_unexpected_error_is_logged"),
    ],
)
def test_each_broken_promise_is_found_by_its_check(broken, promise, tmp_path):
    seen = Seen(tmp_path)
    assert findings(seen.record(), ALL_CHECKS) == []
    broken(seen)
    found = {text.partition(":")[0] for text in findings(seen.record(), ALL_CHECKS)}
    assert found == {promise}


def test_every_check_has_a_case_that_it_finds():
    (mark,) = test_each_broken_promise_is_found_by_its_check.pytestmark
    assert {promise for _, promise in mark.args[1]} == set(ALL_CHECKS)


@pytest.mark.parametrize(
    "outcome, kind",
    [(LOST, "killed"), (SILENT, "paused"), (NOT_CONNECTED, "stopped")],
)
def test_attempts_at_entries_that_did_not_run_are_excused(outcome, kind, tmp_path):
    seen = Seen(tmp_path)
    seen.attempt.outcome, seen.attempt.ended_at = outcome, 13.0
    seen.disturb(kind)
    assert findings(seen.record(), ALL_CHECKS) == []


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_short_run_finds_nothing(seed, tmp_path):
    """Checks with a bound in seconds are left to runs by hand."""
    report = anyio.run(run_seed, seed, tmp_path, SHORT_S)
    assert report.found == [], report.faults
    assert report.jobs


def test_no_address_is_handed_out_twice(monkeypatch):
    ports = iter([15_000, 15_000, 15_001])
    monkeypatch.setattr(random, "randrange", lambda *bounds: next(ports))
    host = "127.1.99.1"
    addresses = [free_address(host), free_address(host)]
    assert addresses == [f"{host}:15000", f"{host}:15001"]
