"""Tests of the evacuation of failure domains: revisions, sources, orders, capacity."""

import anyio
import pytest
from msgspec.structs import replace

from marigoldkeel.exceptions import StoreUnavailable
from marigoldkeel.fleet.evacuations import EvacuatedDomains
from marigoldkeel.fleet.following import PlanFollower
from marigoldkeel.fleet.links import IDLE_RENEW_INTERVAL_S, TICK_INTERVAL_S
from marigoldkeel.fleet.messages import Attach, Renew, RunEvent
from marigoldkeel.fleet.placement import find_candidates
from marigoldkeel.fleet.plans import Plan
from marigoldkeel.fleet.pulls import News
from marigoldkeel.fleet.supervisors import EVACUATED
from marigoldkeel.fleet.views import COLD_SHARE, WorkerView
from marigoldkeel.fleet.work import JobState, Resources
from marigoldkeel.messages import Pull, Pulled
from marigoldkeel.stores import Change, Snapshot, StoredValue
from tests.fleet.loads import LONG, NORMAL, TASK, make_fleet, offer_mixed_load
from tests.fleet.test_links import LinkedAgent
from tests.fleet.test_plays import check_invariants
from tests.fleet.test_supervisors import FACTS, OWNER, start_message


PREFIX = "op/evacuate/"


class Source:
    """A store that follows a script, and a peer with the documents that a test sets."""

    def __init__(self, reads=(), changes=(), **documents):
        self.reads, self.changes = list(reads), changes
        self.documents = documents
        self.prefixes, self.asked = set(), []
        self.confirmed_at = {}

    async def get_prefix(self, prefix: str) -> Snapshot:
        self.prefixes.add(prefix)
        revision, *domains = self.reads.pop(0)
        keys = ["op/config", "op/other", *(PREFIX + domain for domain in domains)]
        return Snapshot([StoredValue(key, b"1", 1) for key in keys], revision)

    async def watch_changes(self, prefix, after, idle_timeout_s):
        self.prefixes.add(prefix)
        for domain, is_evacuated, revision in () if self.reads else self.changes:
            yield Change(PREFIX + domain, b"{}" if is_evacuated else None, revision)

    async def request(self, address, message: Pull, timeout_s):
        self.asked.append(message.what)
        if message.what not in self.documents:
            raise StoreUnavailable("no reply", "pull", address)
        return self.documents[message.what]

    def follower(self, *evacuations) -> PlanFollower:
        def decode(data: bytes) -> Plan:
            return Plan(int(data))

        return PlanFollower(self, self, "op/config", decode, *evacuations, PREFIX)


@pytest.mark.parametrize(
    ("offers", "revision", "domains"),
    [
        ([(7,), (5, "a")], 7, []),
        ([(5, "a"), (6,), (8, "a"), (7,)], 8, ["a"]),
        ([(5, "a"), (5, "b")], 5, ["a"]),
        ([(5, "a"), (9, "b", "c"), (6, "a")], 9, ["b", "c"]),
    ],
)
def test_state_with_the_highest_revision_wins(offers, revision, domains):
    # Guards against a domain that is taken back or evacuated by a late message.
    evacuations = EvacuatedDomains()
    for number, *names in offers:
        evacuations.offer(number, names, "test")
    # Of a read that began before the last of these states arrived.
    evacuations.record_read(revision - 1, {"late"}, known_revision=1)
    assert (evacuations.revision, evacuations.domains) == (revision, domains)


# Each with the reads, the changes after the last of them, and what is known then.
STORES = {
    "taken back": ([(4, "a")], [("a", False, 6)], 6, ""),
    "ordered again": ([(4, "a")], [("a", False, 6), ("a", True, 7)], 7, "a"),
    "one revision": ([(4,)], [("a", True, 5), ("b", True, 5)], 5, "ab"),
    "history lost": ([(4, "a"), (9, "b")], [], 9, "b"),
    "set back": ([(9, "a"), (3, "b")], [], 10, "ab"),
    "set back, order": ([(9, "a"), (3,)], [("b", True, 4), ("a", False, 5)], 10, "ab"),
    "caught up": ([(9, "a"), (3, "b"), (10,), (11,)], [], 11, ""),
    "malformed": ([(4, "", "a/b", "x" * 65, "a")], [("/", True, 5)], 4, "a"),
}  # fmt: skip


@pytest.mark.parametrize(
    ("reads", "changes", "revision", "domains"), STORES.values(), ids=STORES
)
def test_evacuations_follow_the_store(reads, changes, revision, domains):
    # Without the setting, the same store only yields the plan.
    for evacuations, prefix in ((EvacuatedDomains(), "op/"), (None, "op/config")):
        source = Source(reads, changes)
        follower = source.follower(evacuations)
        while source.reads:
            anyio.run(follower._follow)
        assert follower.plan.version == 1
        # One watch covers the plan and the evacuations.
        assert source.prefixes == {prefix}
        assert follower.evacuation_revision == (revision if evacuations else 0)
        assert evacuations is None or evacuations.domains == list(domains)


PLAN, STATE = Pulled(0, 3, b"3"), Pulled(0, 7, b'["a"]')
BOTH = {"plan": PLAN, "evacuations": STATE}


@pytest.mark.parametrize(
    ("announced", "documents", "domains", "plan_version"),
    [
        ((3, 7), BOTH, ["a"], 3),
        ((3, 7), {"plan": PLAN}, None, 0),
        ((3, 7), {**BOTH, "evacuations": Pulled(0, 7, b"7")}, None, 0),
        # A peer of the previous version, and one that knows nothing yet.
        ((3, 0), {"plan": PLAN}, [], 3),
        ((0, 0), {}, None, 0),
    ],
)
def test_entry_that_the_store_rejects_gets_both_documents_before_it_is_ready(
    announced, documents, domains, plan_version
):
    # Guards against an entry that accepts jobs with a plan only, after a restart.
    source, evacuations = Source(**documents), EvacuatedDomains()
    follower = source.follower(evacuations)
    anyio.run(follower.pull, "peer", *announced)
    # What it announces, another entry takes for known together with the evacuations.
    assert follower.version == plan_version
    assert (evacuations.domains if evacuations.known else None) == domains
    follower.apply_if_newer(b"9", "store")
    assert (follower.plan is None) == (domains is None)
    # An older state is neither asked for nor given.
    evacuations.offer(8, ["b"], "store")
    source.asked.clear()
    anyio.run(follower.pull, "peer", 0, 7)
    assert source.asked == []
    assert follower.answer(Pull("evacuations", 0)) == Pulled(0, 8, b'["b"]')


@pytest.mark.parametrize(
    ("states", "starts"),
    [
        ([(5, "a")], 0),
        ([(5, "b")], 1),
        ([(5, "a"), (4,)], 0),
        ([(5, "a"), (6,), (7, "a"), (6,)], 0),
        ([(5, "a"), (6,)], 1),
    ],
)
@pytest.mark.parametrize("message", [Attach(1, OWNER), Renew(2)])
@pytest.mark.parametrize("own_domain", ["a", "elsewhere"])
def test_agent_refuses_orders_of_an_entry_that_does_not_know(
    states, starts, message, own_domain
):
    # Guards against starts in an evacuated domain by an entry with an older state. The
    # worker reports domain "a"; its agent may have another one.
    agent = LinkedAgent()
    agent.supervisor.domain = own_domain
    for revision, *domains in states:
        stated = replace(message, evacuation_revision=revision, evacuated=domains)
        agent.receive(stated, 0.0)
    agent.receive(start_message(0), 0.0)
    assert len(agent.supervisor.take_orders()) == starts
    agent.links.deliver()
    events = [item for item in agent.connection.sent if isinstance(item, RunEvent)]
    assert [event.reason for event in events] == [EVACUATED] * (1 - starts)
    assert agent.supervisor.usable == bool(starts)


@pytest.mark.parametrize(
    ("cold_ms", "elapsed_s", "share"),
    [(0, 0.0, 1.0), (4000, 0.0, COLD_SHARE), (4000, 2.0, 0.625), (4000, 4.0, 1.0)],
)
def test_cold_worker_is_used_by_degrees(cold_ms, elapsed_s, share):
    view = WorkerView("agent-1")
    view.describe(replace(FACTS, cold_ms=cold_ms), 100.0)
    held_back = view.held_back_milli(100.0 + elapsed_s)
    assert held_back == round((1 - share) * FACTS.capacity.cpu_milli)
    assert (view.speed_factor(100.0 + elapsed_s) < 1) == (share < 1)
    # A later report of the same start shortens the time that is left.
    view.describe(replace(FACTS, cold_ms=cold_ms // 4), 200.0)
    assert view.held_back_milli(200.0) <= round(0.75 / 4 * FACTS.capacity.cpu_milli)
    # Without the setting, it is used as a warm one.
    view.describe(replace(FACTS, cold_ms=cold_ms), 300.0, counts_cold=False)
    assert not view.is_cold(300.0)


def test_cold_worker_adds_a_part_of_its_cores_unless_all_workers_are_cold():
    simulation = make_fleet(1, workers=2, entries=1)
    simulation.run(2.0)
    now, (entry,) = simulation.loop.now, simulation.entries
    scheduler, ready = entry.scheduler, entry.fleet.ready("service")
    for view, cores in zip(ready, (20.0, 32.0), strict=True):
        view.describe(replace(view.facts, cold_ms=4000), now)
        assert scheduler.available_cores("service") == cores
        candidates = find_candidates(
            ready, scheduler.detector, scheduler.forecaster, "a", now
        )
        assert sum(item.free.cpu_milli for item in candidates) == 1000 * cores
        assert candidates[0].speed < 1


@pytest.mark.parametrize("restarted", ["none", "agents", "entry"])
@pytest.mark.parametrize("seed", [1, 2])
def test_evacuated_domain_gets_no_start_until_it_is_taken_back(seed, restarted):
    # One entry is cut off and only knows that an earlier order was withdrawn; it goes
    # on to send orders.
    simulation = make_fleet(seed, workers=12, entries=4)
    loop, informed = simulation.loop, simulation.entries[:3]
    offer_mixed_load(simulation, 0.7, 1.0, 12.0)
    loop.call_at(2.0, lambda: simulation.evacuate(4))
    loop.call_at(4.0, lambda: simulation.evacuate(9, "b", entries=informed))
    processes = {"none": [], "agents": simulation.agents[1::4], "entry": informed[:1]}
    for process in processes[restarted]:
        loop.call_at(5.0, process.kill)
        loop.call_at(5.2, process.start)
    # A restarted entry accepts jobs only once it knows the evacuations.
    loop.call_at(5.2, lambda: simulation.evacuate(10, "b", entries=informed))
    loop.call_at(9.0, lambda: simulation.evacuate(11))
    simulation.run(20.0)
    check_invariants(simulation)

    def starts(since: float, until: float) -> int:
        agents = [agent for agent in simulation.agents if agent.domain == "b"]
        return sum(
            since < when < until for agent in agents for when, _ in agent.worker.starts
        )

    assert starts(2.0, 4.0) > 0 < starts(9.0, 10.0)
    # A restarted agent knows no more than the first entry that attaches to it; the
    # others attach within tenths of a second.
    assert starts(4.01, 5.2 if restarted == "agents" else 9.0) == 0 == starts(5.8, 9.0)
    # Callers of the killed entry do not retry here.
    others = [job for job in simulation.jobs if job.entry is not informed[0]]
    assert all(job.answer is not None for job in others)


def test_agents_learn_that_an_unchanged_state_holds_as_of_a_later_revision():
    # Guards against an entry that missed that the domain was evacuated again: its state
    # has a higher revision than the one that the agent was told first.
    simulation = make_fleet(1, workers=4, entries=2)
    first, second = simulation.entries
    supervisor = simulation.agents[0].supervisor
    simulation.loop.call_at(1.0, lambda: first.evacuations.offer(5, ["a"], "test"))
    simulation.run(1.0 + TICK_INTERVAL_S)
    assert supervisor.evacuated, "a change is sent at once"
    first.evacuations.offer(9, ["a"], "test")
    simulation.run(1.0 + IDLE_RENEW_INTERVAL_S + 3 * TICK_INTERVAL_S)
    second.evacuations.offer(7, [], "test")
    simulation.run(4.0)
    assert (supervisor.evacuations.revision, supervisor.evacuated) == (9, True)


def test_running_tasks_end_and_jobs_too_large_for_the_rest_are_refused():
    simulation = make_fleet(1, workers=4, entries=1, domains="abb")
    (entry,), agents = simulation.entries, simulation.agents
    # The largest worker is in the evacuated domain, which only its agent states.
    agents[2].worker.domain = ""
    simulation.run(1.0)
    running = simulation.submit(entry, LONG, [1.0] * 30, TASK, 1.0)
    simulation.run(1.5)
    assert entry.scheduler.available_cores("service") == 72.0
    simulation.evacuate(5, "b")
    assert entry.scheduler.available_cores("service") == 32.0
    refused = simulation.submit(entry, NORMAL, [0.1], Resources(17_000, 64), 0.1)
    assert refused.answer.state == JobState.NOT_RUN
    assert entry.fleet.runs_by_evacuated_domain()["b"] > 0
    simulation.run(10.0)
    assert running.answer.state == JobState.DONE
    assert sum(len(agent.worker.starts) for agent in agents) == 30, "tasks went on"


def test_subset_is_backed_up_from_other_domains_at_once():
    simulation = make_fleet(1, workers=60, entries=12, domains="abcd")
    simulation.run(3.0)
    entry = simulation.entries[0]
    ready = len(entry.fleet.ready("service"))
    simulation.evacuate(5, "a")
    simulation.run(3.5)
    assert len(entry.fleet.ready("service")) == ready
    # Each of the other agents is shared by more entries.
    assert entry.links.entries_per_agent() == pytest.approx(12 * ready / 45)


@pytest.mark.parametrize(("follows", "is_asked"), [(False, False), (True, True)])
def test_entry_without_evacuations_does_not_ask_for_those_of_others(follows, is_asked):
    # Guards against requests that nothing ends, as the answer is not used.
    source = Source(plan=Pulled(0, 1, b"1"), evacuations=Pulled(0, 7, b"[]"))
    follower = source.follower(EvacuatedDomains() if follows else None)
    follower.apply_if_newer(b"1", "store")
    anyio.run(follower.receive_news, "peer", News(1, 7))
    assert (source.asked != []) == is_asked
    later = follower.clock() + 99.0
    chosen = follower.pulls.choose_newer(later, follower.known_news, ["peer"])
    assert chosen == []
