"""Tests of where a watch of a store goes on."""

import pytest

from marigoldkeel.exceptions import StoreUnavailable
from marigoldkeel.watches import SETTLE_S, WatchPosition


@pytest.mark.parametrize(
    ("answers", "after"),
    [
        ([], 5),
        # Each with the revision, those of the events, and the time.
        ([(9, [], 0.0)], 5),
        ([(9, [], 0.0), (9, [], SETTLE_S - 0.1)], 5),
        ([(9, [], 0.0), (12, [], SETTLE_S)], 9),
        ([(9, [], 0.0), (12, [], 1.0), (12, [], SETTLE_S + 1.0)], 12),
        ([(9, [7], 0.0)], 7),
        ([(9, [7, 8], 0.0), (12, [], SETTLE_S)], 9),
        ([(9, [], 0.0), (9, [7], 1.0)], 7),
        ([(9, [6], 0.0), (9, [6], 1.0)], 6),
    ],
)
def test_watch_goes_on_after_what_it_has_delivered(answers, after):
    position = WatchPosition(5)
    for revision, events, now in answers:
        position.record(revision, events, now)
    assert position.after == after


@pytest.mark.parametrize("restored", [4, 8])
def test_restored_store_is_noticed_by_its_revision(restored):
    position = WatchPosition(5)
    position.record(9, [], 0.0)
    with pytest.raises(StoreUnavailable, match=f"revision {restored} is below 9"):
        position.record(restored, [], 1.0)
