"""Simulations of fleets in which each entry is connected to a subset of the agents."""

from collections import Counter

import pytest

from emulator.event_loop import SimulatedConnection
from marigoldkeel.fleet import subsets
from marigoldkeel.fleet.messages import WorkerState
from marigoldkeel.fleet.subsets import MIN_SUBSET_SIZE
from marigoldkeel.fleet.work import Resources
from tests.fleet.loads import (
    LONG,
    NORMAL,
    URGENT,
    make_fleet,
    offer_mixed_load,
    share_in_time,
)
from tests.fleet.test_plays import check_invariants, resubmit_unanswered


WORKERS, ENTRIES, DOMAINS = 96, 24, "abcdef"
# Offers the same load for each worker as scale 1 on the 11 workers of `make_fleet`.
SCALE = WORKERS / 11


def play(until: float, at_s: float = 0.0, fault=None):
    """Play a load that takes half of the fleet, with a fault."""
    simulation = make_fleet(1, WORKERS, ENTRIES, DOMAINS)
    offer_mixed_load(simulation, SCALE, 1.0, until - 3.0)
    if fault is not None:
        simulation.loop.call_at(at_s, lambda: fault(simulation))
    simulation.run(until)
    for agent in simulation.agents:
        # Ends the runs whose lease has expired at the workers of killed agents.
        agent.worker.advance(until)
    check_invariants(simulation)
    return simulation


@pytest.fixture(scope="module")
def full_view():
    """A play in which every entry is connected to every agent."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(subsets, "MIN_SUBSET_SIZE", WORKERS)
        return play(7.0)


@pytest.mark.parametrize("queue", [URGENT, NORMAL, LONG], ids=lambda queue: queue.name)
def test_a_subset_serves_as_many_jobs_in_time_as_all_agents_do(full_view, queue):
    simulation = play(7.0)
    for entry in simulation.entries:
        assert len(entry.links.links) == MIN_SUBSET_SIZE
    least = share_in_time(full_view, queue, since=2.0) - 0.02
    assert share_in_time(simulation, queue, since=2.0) >= least


def lose_domain(simulation) -> None:
    for agent in simulation.agents:
        if agent.domain == "a":
            agent.kill()


def lose_every_third(simulation) -> None:
    for agent in simulation.agents[::3]:
        agent.kill(silently=True)


@pytest.mark.parametrize("fault", [lose_domain, lose_every_third])
def test_lost_agents_are_backed_up(fault):
    simulation = play(8.5, 2.0, fault)
    for entry in simulation.entries:
        # An agent that backs up a lost one may itself be lost.
        assert entry.links.connected >= 0.9 * MIN_SUBSET_SIZE
    # The load takes three quarters of what is left.
    for queue, least in ((URGENT, 0.95), (NORMAL, 0.9)):
        assert share_in_time(simulation, queue, since=4.8) >= least, queue.name


def test_entry_of_a_large_fleet_may_be_killed():
    def kill(simulation) -> None:
        simulation.entries[0].kill()
        resubmit_unanswered(simulation)

    simulation = play(7.0, 2.0, kill)
    answered = [
        submitted.answer is not None
        for submitted in simulation.jobs
        if submitted.entry.alive
    ]
    assert all(answered)


def test_wide_job_is_served_as_if_all_agents_were_connected(monkeypatch):
    response_times_s = {}
    for size in (MIN_SUBSET_SIZE, WORKERS):
        monkeypatch.setattr(subsets, "MIN_SUBSET_SIZE", size)
        simulation = make_fleet(1, WORKERS, ENTRIES, DOMAINS)
        simulation.run(2.0)
        tasks = [0.3] * 300
        submitted = simulation.submit(
            simulation.entries[0], NORMAL, tasks, Resources(4000), 0.3
        )
        simulation.run(4.0)
        check_invariants(simulation)
        workers = sum(bool(agent.worker.starts) for agent in simulation.agents)
        assert workers > MIN_SUBSET_SIZE
        response_times_s[size] = submitted.response_time_s
    # The connections take a few messages between failure domains.
    assert response_times_s[MIN_SUBSET_SIZE] <= response_times_s[WORKERS] + 0.02


@pytest.mark.parametrize("workers", [48, 96])
def test_states_received_by_an_entry_do_not_grow_with_the_fleet(monkeypatch, workers):
    received: Counter[str] = Counter()
    send = SimulatedConnection.send

    def count(connection, content) -> None:
        received[type(content).__name__] += 1
        send(connection, content)

    monkeypatch.setattr(SimulatedConnection, "send", count)
    simulation = make_fleet(1, workers, ENTRIES, DOMAINS)
    simulation.run(2.0)
    received.clear()
    simulation.run(6.0)
    # Without load: one renewal a second and the state that answers it.
    states = received[WorkerState.__name__] / ENTRIES / 4.0
    assert states <= 1.1 * MIN_SUBSET_SIZE
