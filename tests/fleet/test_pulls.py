"""Tests of which entries are asked for newer orders, and when. No I/O."""

import pytest

from marigoldkeel.fleet.pulls import (
    ASK_AFTER_S,
    ASK_INTERVAL_S,
    MAX_PULLS,
    RETRY_INTERVAL_S,
    SLOW_AFTER_S,
    News,
    PullSchedule,
)


KNOWN = News(4, 9)
PEERS = [f"entry-{number}" for number in range(13)]


@pytest.mark.parametrize(
    ("news", "is_asked"),
    [
        (News(5, 9), True),
        (News(4, 10), True),
        (News(5, 0), True),
        (News(4, 9), False),
        (News(3, 0), False),
    ],
)
def test_only_entries_that_know_more_are_asked(news, is_asked):
    schedule = PullSchedule()
    schedule.record("entry-1", news)
    assert schedule.choose_newer(0.0, KNOWN, PEERS) == ["entry-1"] * is_asked


def test_failed_request_is_repeated_at_another_entry_first():
    # Guards against a version that is announced to all at once and never asked for
    # again if that request fails.
    schedule = PullSchedule()
    for address in PEERS[:3]:
        schedule.record(address, News(5, 9))
    first = schedule.choose_newer(0.0, KNOWN, PEERS)
    assert len(first) == MAX_PULLS
    for address in first:
        schedule.end(address)
    assert schedule.choose_newer(0.1, KNOWN, PEERS) == ["entry-2"]
    assert schedule.choose_newer(RETRY_INTERVAL_S, KNOWN, PEERS) == first[:1]
    assert schedule.choose_newer(RETRY_INTERVAL_S, News(5, 9), PEERS) == []


def test_entries_without_a_reply_do_not_keep_others_from_being_asked():
    schedule = PullSchedule()
    for address in PEERS:
        schedule.record(address, News(5, 9))
    asked = []
    for round_number in range(3):
        now = round_number * SLOW_AFTER_S
        asked += schedule.choose_newer(now, KNOWN, PEERS)
    assert asked == PEERS[: 3 * MAX_PULLS]


def test_all_entries_are_asked_in_turn_while_the_store_does_not_answer():
    schedule = PullSchedule()
    assert schedule.choose_in_turn(0.0, ASK_AFTER_S, PEERS) == []
    asked = []
    for round_number in range(len(PEERS)):
        now = round_number * ASK_INTERVAL_S
        chosen = schedule.choose_in_turn(now, ASK_AFTER_S + now + 0.1, PEERS)
        assert schedule.choose_in_turn(now + 0.1, 99.0, PEERS) == []
        for address in chosen:
            schedule.end(address)
        asked += chosen
    assert {asked.count(address) for address in PEERS} == {MAX_PULLS}


def test_announcements_of_entries_that_left_are_forgotten():
    schedule = PullSchedule()
    schedule.record("entry-1", News(5, 9))
    schedule.forget_others(["entry-2"])
    assert schedule.choose_newer(0.0, KNOWN, PEERS) == []
