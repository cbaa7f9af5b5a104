"""Guards against sending work to broken targets, and against ejecting too many."""

import pytest
from hypothesis import given, strategies as st

from marigoldkeel.ejection import MAX_KINDS, OutlierDetector


def make_detector(size=10, **options):
    detector = OutlierDetector(**options)
    for number in range(size):
        detector.add(f"t{number}")
    return detector


def record_failures(detector, target="t0", times=5, kind="a", now=0.0):
    for _ in range(times):
        detector.record(target, kind, False, now)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 7), st.sampled_from("abc"), st.booleans(), st.integers(0, 3)
        ),
        max_size=150,
    ),
    st.sampled_from([0.0, 0.3, 0.5]),
)
def test_ejected_share_is_bounded(steps, share):
    detector, now = make_detector(8, max_ejected_share=share), 0.0
    for number, kind, succeeded, gap in steps:
        now += gap
        target = f"t{number}"
        if detector.available(target, now):
            detector.record_start(target, now)
        detector.record(target, kind, succeeded, now)
        assert len(detector.ejected) <= share * 8
        assert 0 <= detector.weight(target) <= 1
        for health in detector.kinds.values():
            streaks = [streak for streak, _ in health.streaks.values()]
            assert health.failing_targets == sum(streak >= 2 for streak in streaks)
    for number in range(8):
        record_failures(detector, f"t{number}", 9, f"only on {number}", now)
    assert len(detector.ejected) == int(share * 8)
    for number in reversed(range(8)):
        detector.remove(f"t{number}", now)
        assert len(detector.ejected) <= share * number


def test_a_target_that_fails_fast_is_ejected_and_has_a_low_weight():
    detector = make_detector()
    for now in range(20):
        for number in range(10):
            succeeded = number != 0
            run_time_s = 0.1 if succeeded else 0.001
            kind = "ab"[now % 2]
            detector.record(f"t{number}", kind, succeeded, now, run_time_s)
            assert detector.available(f"t{number}", now) or number == 0
    assert list(detector.ejected) == ["t0"]
    assert detector.weight("t0") < 0.05 < 0.4 < detector.weight("t1")
    assert detector.list_failing_kinds(20.0) == []


@pytest.mark.parametrize("in_turn", [True, False])
def test_failing_kind_does_not_eject_targets(in_turn):
    """Guards against ejecting healthy targets for a kind that fails everywhere.

    The kind fails either on all targets in turn or on one target after the other.
    """
    detector = make_detector(max_ejected_share=0.5)
    order = [n for n in range(10) for _ in range(8)]
    if in_turn:
        order = list(range(10)) * 8
    for number in order:
        detector.record(f"t{number}", "bad", False, 1.0)
        detector.record(f"t{number}", "good", True, 1.0)
    assert detector.list_failing_kinds(1.0) == ["bad"]
    assert not detector.ejected
    weight = detector.weight("t0")
    record_failures(detector, kind="bad", now=2.0)
    assert detector.weight("t0") == weight
    record_failures(detector, kind="good", now=2.0, times=9)
    assert list(detector.ejected) == ["t0"]
    detector.record_start("t0", 3.0)
    record_failures(detector, kind="bad", now=3.0, times=1)
    assert detector.available("t0", 3.0), "a failing kind gives no evidence as a probe"
    assert detector.list_failing_kinds(40.0) == []


def test_probes_go_one_at_a_time_with_a_doubled_and_bounded_backoff():
    detector = make_detector(backoff_s=1.0, max_backoff_s=4.0, probe_timeout_s=10.0)
    record_failures(detector, times=4)
    assert detector.available("t0", 0.0)
    record_failures(detector, times=1)
    now = 0.0
    for backoff_s in (1.0, 2.0, 4.0, 4.0):
        assert not detector.available("t0", now + backoff_s - 0.01)
        now += backoff_s
        assert detector.available("t0", now)
        detector.record_start("t0", now)
        assert not detector.available("t0", now)
        record_failures(detector, times=1, now=now)
    now += 4.0
    detector.record_start("t0", now)
    assert not detector.available("t0", now + 9.9)
    assert detector.available("t0", now + 10.0)
    detector.record_start("t0", now + 10.0)
    detector.record("t0", "a", True, now + 10.1)
    record_failures(detector, times=4, now=now + 10.1)
    assert detector.available("t0", now + 10.1) and not detector.ejected


@pytest.mark.parametrize(("healthy_s", "backoff_s"), [(1.0, 2.0), (60.0, 1.0)])
def test_backoff_is_kept_for_a_target_that_fails_again_soon(healthy_s, backoff_s):
    detector = make_detector()
    record_failures(detector)
    detector.record("t0", "a", True, 0.5)
    assert not detector.available("t0", 0.5), (
        "the result of earlier work is not a probe"
    )
    detector.record_start("t0", 1.0)
    detector.record("t0", "a", True, 1.0)
    record_failures(detector, now=1.0 + healthy_s)
    assert detector.targets["t0"].backoff_s == backoff_s


def test_weight_reflects_speed_for_any_mix_of_kinds():
    detector = make_detector(4)
    for _ in range(200):
        for kind, run_time_s in [("short", 0.1), ("long", 5.0)]:
            detector.record("t0", kind, True, 0.0, run_time_s)
            detector.record("t1", kind, True, 0.0, 3 * run_time_s)
        detector.record("t2", "short", True, 0.0, 0.1)
        detector.record("t3", "long", True, 0.0, 5.0)
    fast, slow, short, long = (detector.weight(f"t{n}") for n in range(4))
    assert fast == pytest.approx(3 * slow, rel=0.2)
    assert [short, long] == pytest.approx([fast, fast], rel=0.2)


def test_failures_on_targets_that_left_do_not_mark_a_kind_as_failing():
    detector = make_detector(3)
    for target in detector.targets:
        record_failures(detector, target, 2, "a")
    assert detector.failing_kinds == {"a"}
    detector.remove("t0", 0.0)
    assert not detector.failing_kinds


def test_kinds_are_bounded():
    detector = make_detector(3)
    for number in range(MAX_KINDS + 50):
        for target in ("t0", "t1", "t2"):
            record_failures(detector, target, 2, str(number))
    assert len(detector.kinds) == MAX_KINDS >= len(detector.failing_kinds)
