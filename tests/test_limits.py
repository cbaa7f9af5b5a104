"""Tests of admission control, team quotas, retry budgets and concurrency limits."""

from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given, strategies as st

from marigoldkeel.limits import (
    MAX_JOB_TASKS,
    AdmissionController,
    ConcurrencyLimit,
    RefusalReason,
    RetryBudget,
    TeamQuotas,
    TokenBucket,
)
from marigoldkeel.models import Priority


URGENT, NORMAL, BATCH = Priority
steps = st.lists(st.tuples(st.floats(0, 3), st.integers(1, 12)), max_size=60)


@given(steps, st.sampled_from([0.5, 4.0]))
def test_quota_is_never_exceeded_in_any_interval(steps, rate):
    bucket, now, granted = TokenBucket(rate, 10), 0.0, []
    for gap, tokens in steps:
        now += gap
        wait_s = bucket.wait_s(tokens, now)
        taken = bucket.take(tokens, now)
        assert taken == (wait_s == 0)
        granted += [(now, tokens)] * taken
        for index, (start, _) in enumerate(granted):
            used = sum(tokens for _, tokens in granted[index:])
            assert used <= 10 + rate * (now - start) + 1e-6


@given(steps)
def test_retries_stay_within_a_tenth_of_calls(steps):
    """Guards against retry storms, including after calls have left the window."""
    budget, now, calls, retries = RetryBudget(min_per_s=0.0), 0.0, 0, 0
    for gap, count in steps:
        now += gap
        for _ in range(count):
            budget.record_call(now)
            calls += 1
            retries += budget.try_retry(now) + budget.try_retry(now)
            assert retries <= 0.1 * calls
    now += 20
    assert not budget.try_retry(now)
    assert RetryBudget(min_per_s=0.1).try_retry(now)


def make_controller(in_flight=0, delay_per_task_s=0.0):
    quotas = TeamQuotas({"shop": 1000.0, "tiny": 1.0, "barred": 0.0})
    controller = AdmissionController(quotas, 100, max_delay_s=5.0)
    controller.in_flight[URGENT] = in_flight
    controller.delay_per_task_s = dict.fromkeys(Priority, delay_per_task_s)
    return controller


@pytest.mark.parametrize(
    ("team", "priority", "tasks", "deadline_s", "in_flight", "per_task", "reason"),
    [
        ("shop", BATCH, 10, 9, 50, 0.0, None),
        ("shop", BATCH, 11, 9, 50, 0.0, RefusalReason.IN_FLIGHT),
        ("shop", NORMAL, 11, 9, 50, 0.0, None),
        ("shop", NORMAL, 36, 9, 50, 0.0, RefusalReason.IN_FLIGHT),
        ("shop", URGENT, 50, 9, 50, 0.0, None),
        ("shop", URGENT, 51, 9, 50, 0.0, RefusalReason.IN_FLIGHT),
        ("shop", BATCH, 150, 9, 0, 0.0, None),
        ("shop", BATCH, 1, 9, 10, 0.31, RefusalReason.DELAY),
        ("shop", NORMAL, 1, 9, 10, 0.31, None),
        ("shop", URGENT, 1, 3, 10, 0.31, RefusalReason.DEADLINE),
        ("shop", URGENT, 1, 0, 0, 0.0, RefusalReason.DEADLINE),
        ("nobody", URGENT, 1, 9, 0, 0.0, RefusalReason.UNKNOWN_TEAM),
        ("barred", URGENT, 1, 9, 0, 0.0, RefusalReason.OVER_QUOTA),
    ],
)
def test_admission(team, priority, tasks, deadline_s, in_flight, per_task, reason):
    controller = make_controller(in_flight, per_task)
    got = controller.admit(team, priority, tasks, deadline_s, 0.0)
    assert (got.reason, got.admitted) == (reason, reason is None)
    assert sum(controller.in_flight.values()) == in_flight + tasks * got.admitted
    waits = {RefusalReason.IN_FLIGHT, RefusalReason.DELAY}
    assert (got.retry_after_s > 0) == (reason in waits or deadline_s == 3)


def test_used_quota_survives_refusals_and_configuration_changes():
    """Guards against quota used by refused work or reset by a configuration change."""
    controller = make_controller(in_flight=99)
    assert not controller.admit("tiny", BATCH, MAX_JOB_TASKS, 9, 0.0).admitted
    controller.in_flight[URGENT] = 0
    assert controller.admit("tiny", BATCH, MAX_JOB_TASKS, 9, 0.0).admitted
    controller.quotas.update_rates({"tiny": 2.0})
    controller.in_flight[BATCH] = 0
    got = controller.admit("tiny", BATCH, 10, 9, 2.0)
    assert (got.reason, got.retry_after_s) == (RefusalReason.OVER_QUOTA, 3.0)
    assert controller.admit("shop", BATCH, 1, 9, 0.0).reason


def test_delay_estimate_recovers_and_spares_urgent_work():
    """Guards against delay estimates that never recover or that mix priorities.

    An estimate from a burst must decay, or batch work is refused forever. Delays of
    batch work must not lead to the refusal of urgent work.
    """
    controller = make_controller()
    got = [controller.admit("shop", BATCH, 1, 99, 0.0) for _ in range(60)]
    for old in got[:50]:
        controller.release(1, 9.0, 60.0, admission=old, run_time_s=0.5)
    assert controller.admit("shop", BATCH, 1, 99, 9.0).reason == RefusalReason.DELAY
    assert controller.delay_s(BATCH, 9.0) < 60.0
    controller.delay_per_task_s[URGENT] = 50.0
    assert controller.admit("shop", URGENT, 1, 1.0, 9.0).admitted
    assert controller.admit("shop", BATCH, 1, 99, 25.0).admitted
    for now in range(26, 60):
        old = controller.admit("shop", BATCH, 1, 99, now)
        assert old.admitted
        controller.release(1, now, 0.5, admission=old, run_time_s=0.5)
    assert controller.delay_s(BATCH, 60) < 0.1


def run_rounds(limit, rounds, latency, expected_s=0.1, overloaded=False, now=0.0):
    """Fill the limit and release all requests, ``rounds`` times, 0.1 s apart."""
    for number in range(rounds):
        taken = 0
        while limit.acquire():
            taken += 1
        for index in range(taken):
            latency_s = latency(taken, index)
            limit.release(now + number * 0.1, latency_s, expected_s, overloaded)
    return int(limit.limit)


@pytest.mark.parametrize("spread", ["none", "uniform", "exponential"])
@pytest.mark.parametrize(("slots", "low", "high"), [(8, 8, 24), (64, 56, 64)])
def test_concurrency_limit_settles_near_the_capacity(slots, low, high, spread):
    """Guards against a limit that is far from the capacity of the target.

    A limit that is too high moves the queue to the target. Varying run times must
    not make the limit collapse.
    """
    rng, limit, now, running = Random(1), ConcurrencyLimit(64), 0.0, []
    free, seen = [0.0] * slots, []
    while now < 60:
        while limit.acquire():
            run_s = {"uniform": rng.uniform(0.05, 0.55), "none": 0.3}.get(spread)
            start = max(heappop(free), now)
            end = start + (run_s or rng.expovariate(1 / 0.3))
            heappush(free, end)
            heappush(running, (end, now))
        now, sent_at = heappop(running)
        limit.release(now, now - sent_at, 0.3)
        seen += [limit.limit] * (now > 30)
    assert low <= sum(seen) / len(seen) <= high


@pytest.mark.parametrize(
    ("latency", "expected_s", "overloaded", "low", "high"),
    [
        (lambda *_: 0.1, 0.1, False, 64, 64),
        (lambda *_: 5.0, 5.0, False, 64, 64),
        (lambda *_: 5.0, None, False, 64, 64),
        (lambda _, index: 0.1 if index % 5 else 9.0, 0.1, False, 64, 64),
        (lambda *_: 5.0, 0.1, False, 1, 1),
        (lambda *_: None, 0.1, True, 1, 1),
    ],
)
def test_concurrency_limit_bounds(latency, expected_s, overloaded, low, high):
    """Guards against limits that fall without overload, or do not fall under overload.

    Long kinds and stragglers must not reduce the limit.
    """
    limit = ConcurrencyLimit(64)
    run_rounds(limit, 100, lambda *_: 0.1)
    assert low <= run_rounds(limit, 300, latency, expected_s, overloaded, 31.0) <= high
    assert limit.in_flight == 0
    assert run_rounds(limit, 900, lambda *_: 0.1, now=61.0) == 64


def test_concurrency_limit_does_not_grow_unused():
    limit = ConcurrencyLimit(64)
    for now in range(200):
        assert limit.acquire()
        limit.release(now, 0.1, 0.1)
    assert limit.limit == 8
