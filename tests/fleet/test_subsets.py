"""Tests of the choice of the agents that an entry connects to."""

from collections import Counter

import pytest

from marigoldkeel.fleet.messages import WorkerFacts
from marigoldkeel.fleet.subsets import (
    MIN_ENTRIES_PER_AGENT,
    MIN_SUBSET_SIZE,
    PINNED_S,
    AgentSubset,
    workers_to_add,
)
from marigoldkeel.fleet.work import Resources, Step
from marigoldkeel.models import Member


def make_member(number: int) -> Member:
    return Member(
        f"agent-{number}", f"agent-{number}@1", "127.0.0.1:1", f"{number % 6}"
    )


def make_subset(name: str = "entry-0", agents: int = 160) -> AgentSubset:
    subset = AgentSubset(name, "0")
    for number in range(agents):
        subset.add(make_member(number))
    return subset


@pytest.mark.parametrize(
    ("agents", "entries", "size"),
    [
        (0, 4, 0),
        (11, 4, 11),
        (32, 4, 32),
        (160, 35, MIN_SUBSET_SIZE),
        (1600, 350, MIN_SUBSET_SIZE),
        (160, 4, 160),
        (1600, 26, 247),
    ],
)
def test_links_of_an_entry_are_bounded_as_the_fleet_grows(agents, entries, size):
    subset = make_subset(agents=agents)
    assert len(subset.choose(entries, [], 0.0)) == size


@pytest.mark.parametrize(("agents", "entries"), [(160, 35), (1600, 350), (1600, 26)])
def test_every_agent_has_entries_and_none_has_most_of_them(agents, entries):
    links = Counter()
    for number in range(entries):
        subset = make_subset(f"entry-{number}", agents)
        subset.own_domain = f"{number % 6}"
        links.update(subset.choose(entries, [], 0.0))
    mean = sum(links.values()) / agents
    assert mean >= MIN_ENTRIES_PER_AGENT
    # With a mean of 4, a binomial distribution leaves 2 of 100 without any.
    assert sum(not links[f"agent-{number}"] for number in range(agents)) < agents / 25
    assert max(links.values()) < 5 * mean


def test_own_domain_has_its_share():
    chosen = make_subset().choose(35, [], 0.0)
    near = sum(int(name.removeprefix("agent-")) % 6 == 0 for name in chosen)
    assert MIN_SUBSET_SIZE / 2 <= near < MIN_SUBSET_SIZE


@pytest.mark.parametrize("number", range(0, 160, 16))
def test_choice_changes_by_at_most_one_agent_when_one_leaves(number):
    subset = make_subset()
    before = subset.choose(35, [], 0.0)
    subset.remove(f"agent-{number}")
    assert len(before ^ subset.choose(35, [], 0.0)) <= 2


@pytest.mark.parametrize("lost", [1, 8, 32, 100, 160])
def test_missing_agents_are_backed_up_until_they_return(lost):
    subset = make_subset()
    before = subset.choose(35, [], 0.0)
    missing = sorted(subset.agents, key=lambda name: name not in before)[:lost]
    during = subset.choose(35, missing, 0.0)
    assert before <= during
    usable = during - set(missing)
    assert len(usable) == min(MIN_SUBSET_SIZE, 160 - lost)
    assert subset.choose(35, [], 0.0) == before


def make_workers() -> dict[str, WorkerFacts]:
    """Return 160 workers of 16 cores in racks of 8; every tenth has a label."""
    return {
        f"agent-{number}": WorkerFacts(
            labels=[f"r{number // 8}"] + ["b"] * (number % 10 == 0),
            capacity=Resources(16_000, 65_536),
        )
        for number in range(160)
    }


@pytest.mark.parametrize(
    ("step", "added"),
    [
        (Step(8, Resources(2500)), 0),
        (Step(4, Resources(2500), label="b"), 4),
        (Step(4, Resources(2500), label="none"), 0),
        (Step(2, Resources(2500), data_rack="r0"), 0),
        (Step(2, Resources(2500), data_rack="r19"), 8),
        (Step(150, Resources(1000)), 6),
        (Step(150, Resources(16_000)), 128),
        (Step(40, Resources(100), spread_limit=1), 8),
        (Step(4, Resources(100_000)), 0),
    ],
)
def test_job_adds_the_workers_that_it_needs(step, added):
    workers = make_workers()
    connected = set(list(workers)[:32])
    names = workers_to_add([step], connected, workers)
    assert len(names) == added
    assert not connected & set(names)
    assert all(not step.label or step.label in workers[name].labels for name in names)


def test_workers_that_a_job_needs_stay_for_a_while():
    subset = make_subset()
    chosen = subset.choose(35, [], 0.0)
    extra = sorted(set(subset.agents) - chosen)[:8]
    subset.pin(extra, 1.0)
    assert subset.choose(35, [], 0.9 + PINNED_S) == chosen | set(extra)
    assert subset.choose(35, [], 1.0 + PINNED_S) == chosen
