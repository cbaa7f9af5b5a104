"""Tests of the lateness of the event loop that a daemon reports."""

import pytest

from marigoldkeel.fleet.lateness import WINDOW_S, LoopLateness


@pytest.mark.parametrize(
    ("wake_ups", "worst_s"),
    [
        ([], 0.0),
        ([(1.0, 1.0)], 0.0),
        ([(1.0, 0.9)], 0.0),
        ([(1.0, 1.5), (2.0, 2.25)], 0.5),
        ([(1.0, 1.5), (1.5 + WINDOW_S, 1.75 + WINDOW_S)], 0.5),
        ([(1.0, 1.5), (1.5 + 2 * WINDOW_S, 1.75 + 2 * WINDOW_S)], 0.25),
    ],
)
def test_worst_lateness_is_that_of_the_last_windows(wake_ups, worst_s):
    lateness = LoopLateness()
    for due_at, now in wake_ups:
        lateness.record(due_at, now)
    assert lateness.worst_s == pytest.approx(worst_s)
