"""Tests that the agent's queue neither loses nor starves work, nor returns expired
or cancelled work.
"""

import pytest
from hypothesis import given, strategies as st

from marigoldkeel.models import Priority
from marigoldkeel.queues import (
    AGED_POP_INTERVAL,
    MAX_KINDS,
    RunTimes,
    StragglerDetector,
    WorkItem,
    WorkQueue,
)


URGENT, NORMAL, BATCH = Priority


def item(key, priority=NORMAL, kind="a", deadline=1e6, count=1):
    return WorkItem(str(key).encode(), kind, priority, deadline, count)


def make_queue_with_long_kind(**options):
    """Return a queue for 4 slots that has classified the kind "slow" as long."""
    queue = WorkQueue(4, 100, **options)
    queue.observe("slow", 5.0)
    return queue


operations = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from(Priority),
            st.sampled_from("abc"),
            st.integers(1, 5),
            st.integers(1, 20),
        ),
        st.tuples(st.just("next"), st.integers(0, 3), st.booleans()),
        st.tuples(st.just("cancel"), st.integers(0, 40)),
        st.tuples(
            st.just("observe"), st.sampled_from("abc"), st.sampled_from([0.1, 9])
        ),
        st.tuples(st.just("expire")),
    ),
    max_size=120,
)


@given(operations)
def test_every_accepted_item_leaves_exactly_once(steps):
    """Guards against lost, duplicated, expired or cancelled items and a wrong depth."""
    queue = WorkQueue(3, 20, ageing_s=2.0)
    held, cancelled, pushed = {}, set(), 0
    for now, (step, *rest) in enumerate(steps):
        gone = []
        if step == "push":
            priority, kind, tasks, life = rest
            new = item(pushed, priority, kind, now + life, tasks)
            pushed += 1
            if queue.push(new, now):
                held[id(new)] = new
            gone = queue.take_displaced()
            assert all(old.priority == BATCH and priority == URGENT for old in gone)
        elif step == "next":
            got = queue.next_item(now, rest[0])
            if got:
                assert got.deadline > now and got.key not in cancelled
                got.count -= 1
                if not (rest[1] and queue.requeue(got)):
                    gone = [got]
        elif step == "cancel":
            key = str(rest[0]).encode()
            cancelled.add(key)
            gone = queue.cancel(key)
        elif step == "observe":
            queue.observe(*rest)
        else:
            gone = queue.expire(now)
        for old in gone:
            del held[id(old)]
        pending = sum(old.count for old in queue.expired)
        assert queue.depth + pending == sum(old.count for old in held.values())
        assert queue.depth <= 20
    last = queue.expire(len(steps))
    while got := queue.next_item(len(steps)):
        last.append(got)
    assert sorted(map(id, last)) == sorted(held)
    assert queue.depth == 0 and not queue.entries


@given(st.lists(st.sampled_from(Priority), max_size=40))
def test_urgent_is_never_behind_batch_unless_batch_has_aged(priorities):
    queue = WorkQueue(4, 1000, ageing_s=10.0)
    for number, priority in enumerate(priorities):
        assert queue.push(item(number, priority), 0.0)
    got = [queue.next_item(1.0) for _ in priorities]
    assert [(old.priority, int(old.key)) for old in got] == sorted(
        (priority, number) for number, priority in enumerate(priorities)
    )


@pytest.mark.parametrize("older", [0, 1, 5])
def test_aged_batch_is_returned_within_the_stated_pops(older):
    """Guards against starvation, and against aged work that delays all urgent work."""
    queue = WorkQueue(4, 1000, ageing_s=1.0)
    for number in range(older + 1):
        queue.push(item(f"old{number}", BATCH), 0.0)
    got = []
    for number in range(AGED_POP_INTERVAL * (older + 1)):
        queue.push(item(number, URGENT), 5.0)
        got.append(queue.next_item(5.0))
    assert got[-1].key == f"old{older}".encode()
    assert sum(old.priority == BATCH for old in got) == older + 1


@pytest.mark.parametrize(
    ("queued", "new", "accepted", "displaced"),
    [
        ([(BATCH, 5)], (BATCH, 1), False, 0),
        ([(BATCH, 5)], (NORMAL, 3), True, 0),
        ([(BATCH, 5), (NORMAL, 3)], (NORMAL, 1), False, 0),
        ([(BATCH, 5), (NORMAL, 3)], (URGENT, 2), True, 0),
        ([(BATCH, 5), (NORMAL, 3)], (URGENT, 3), True, 1),
        ([(BATCH, 2), (NORMAL, 6)], (URGENT, 5), False, 0),
        ([], (BATCH, 50), True, 0),
    ],
)
def test_lowest_class_is_refused_first(queued, new, accepted, displaced):
    queue = WorkQueue(2, 10)
    for number, (priority, tasks) in enumerate(queued):
        assert queue.push(item(number, priority, count=tasks), 0.0)
    assert queue.push(item("new", new[0], count=new[1]), 0.0) is accepted
    assert len(queue.take_displaced()) == displaced


@pytest.mark.parametrize(
    ("priority", "long_running", "now", "expected"),
    [
        (NORMAL, 1, 1.0, "slow"),
        (NORMAL, 2, 1.0, None),
        (URGENT, 2, 1.0, "slow"),
        (URGENT, 3, 1.0, None),
        (NORMAL, 3, 99.0, "slow"),
    ],
)
def test_long_kinds_leave_slots_for_short_work(priority, long_running, now, expected):
    queue = make_queue_with_long_kind(long_slot_share=0.5, short_window_s=10.0)
    queue.push(item("short"), 0.0)
    assert queue.next_item(0.0, 4).key == b"short"
    queue.push(item("slow", priority, "slow"), 0.0)
    got = queue.next_item(now, long_running)
    assert (got and got.kind) == expected


def test_long_kinds_stay_limited_while_short_work_waits():
    queue = make_queue_with_long_kind(short_window_s=1.0, ageing_s=1.0)
    queue.push(item("slow", kind="slow"), 0.0)
    queue.push(item("short"), 0.0)
    assert queue.next_item(50.0, 2).key == b"short"


def test_queued_work_follows_its_kind_between_long_and_short():
    """Guards against short work blocked by items whose kind turned out to be long.

    Items that are already queued must follow their kind when it is reclassified.
    """
    queue = make_queue_with_long_kind()
    queue.push(item(0, kind="new"), 0.0)
    taken = queue.next_item(0.0)
    for number, kind in [(1, "new"), (2, "a")]:
        queue.push(item(number, kind=kind), 0.5)
    queue.requeue(taken)
    queue.observe("new", 6.0)
    assert queue.next_item(0.5, 2).key == b"2"
    assert queue.next_item(0.5, 2) is None
    for _ in range(3):
        queue.observe("new", 0.1)
    assert [queue.next_item(0.5, 2).key for _ in range(2)] == [b"0", b"1"]


def test_urgent_work_displaces_the_newest_batch_work():
    queue = WorkQueue(2, 4)
    for number, priority in enumerate([BATCH, BATCH, URGENT, URGENT, URGENT]):
        assert queue.push(item(number, priority), number)
    assert [old.key for old in queue.take_displaced()] == [b"1"]


def test_cancelled_work_cannot_be_requeued_or_pushed():
    queue = WorkQueue(2, 10)
    queue.push(item(1, count=3), 0.0)
    taken = queue.next_item(0.0)
    queue.cancel(b"1")
    assert not queue.requeue(taken)
    assert not queue.push(item(1), 0.0)


def test_memory_is_bounded_by_live_work():
    """Guards against accumulating removed entries and kinds that are used only once."""
    queue = WorkQueue(2, 10)
    for number in range(5000):
        queue.push(item(number, BATCH, kind=str(number)), 0.0)
        queue.observe(str(number), 9.0)
        queue.cancel(str(number).encode())
        queue.next_item(0.0)
    assert len(queue.deadlines.heap) + len(queue.newest_batch.heap) < 200
    assert len(queue.long_kinds) == MAX_KINDS and len(queue.kind_heaps) < 10


@pytest.mark.parametrize(
    ("share", "low", "high"), [(0, 0.5, 1), (8, 0.5, 1), (3, 0.5, 2)]
)
def test_frequent_stragglers_stay_above_the_threshold(share, low, high):
    """Guards against stragglers that raise the threshold above their own run time.

    One task in ``share`` takes 50 times as long as the others.
    """
    times = RunTimes()
    detector = StragglerDetector(times)
    assert detector.threshold_s("a") == float("inf")
    for number in range(200):
        times.observe("a", 5.0 if share and number % share == 0 else 0.1)
    assert low <= detector.threshold_s("a") <= high
    queue = WorkQueue(4, 10, run_times=times)
    queue.observe("a", 5.0)
    assert not queue.is_long("a")
