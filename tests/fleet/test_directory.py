"""Tests of the directory of daemons and of its announcements. No I/O."""

import random
from collections import Counter

import pytest

from marigoldkeel.fleet.directory import (
    ANNOUNCE_CYCLE_S,
    ANNOUNCE_INTERVAL_S,
    EXPIRE_AFTER_S,
    LIST_INTERVAL_S,
    MAX_ANNOUNCED_AGENTS,
    UNSTORED_GRACE_S,
    AnnouncementRounds,
    DaemonRecord,
    Directory,
    DirectoryController,
    WorkerRecord,
    decode_record,
)
from marigoldkeel.fleet.messages import Announce, WorkerFacts
from marigoldkeel.fleet.work import Resources
from marigoldkeel.models import Member


OWN = Member("entry-0", "entry-0@1", "10.0.0.1:1", "a")


def make_agent(number: int, incarnation: int = 1) -> Member:
    name = f"agent-{number}"
    return Member(name, f"{name}@{incarnation}", f"10.0.1.{number % 250}:1", "a")


def make_record(number: int, worker: WorkerRecord | None = None) -> DaemonRecord:
    member = make_agent(number)
    return DaemonRecord(
        member.name, member.incarnation, member.address, "a", True, worker
    )


class Group:
    """Records the announcements that a controller starts."""

    def __init__(self):
        self.started = []

    def start_soon(self, action, *arguments) -> None:
        self.started.append(arguments)


class Controlled:
    """A controller whose clock and connections the test sets."""

    def __init__(self):
        self.now = 0.0
        self.connected: set[str] = set()
        self.removed: list[str] = []
        self.directory = Directory(OWN, on_agent_removed=self.removed.append)
        self.group = Group()
        self.controller = DirectoryController(
            self.directory,
            None,
            None,
            self.group,
            [],
            False,
            lambda: self.now,
            is_alive=self.connected.__contains__,
        )

    def receive(self, *known: Member, digest: int = 1) -> None:
        sender = Member("entry-1", "entry-1@1", "10.0.0.2:1", "a")
        self.controller.receive(Announce(sender, False, False, 0, digest, list(known)))


@pytest.mark.parametrize("entries", [1, 3, 9, 34, 300])
def test_each_entry_is_announced_to_before_it_would_remove_the_sender(entries):
    rounds = AnnouncementRounds()
    addresses = {f"10.0.0.{number}:1" for number in range(entries)}
    cycle = [
        rounds.next_round(addresses, 0)
        for _ in range(round(ANNOUNCE_CYCLE_S / ANNOUNCE_INTERVAL_S))
    ]
    sent = Counter(address for chosen in cycle for address in chosen)
    assert set(sent) == addresses
    # The cost of an announcement to all entries in each round grew with the fleet.
    assert max(len(chosen) for chosen in cycle) <= max(3, entries / 10 + 1)


@pytest.mark.parametrize("news", [(2, 1), (1, 2)], ids=["plan", "evacuations"])
def test_news_are_announced_to_all_entries_at_once(news):
    # Guards against an entry that the store rejects and that goes on with an older plan
    # or in an evacuated domain until its turn comes, after seconds.
    rounds = AnnouncementRounds()
    addresses = {f"10.0.0.{number}:1" for number in range(34)}
    assert len(rounds.next_round(addresses, 1, 1)) == 34
    assert len(rounds.next_round(addresses, 1, 1)) < 34
    assert len(rounds.next_round(addresses, *news)) == 34


class StartedFleet:
    """Directories that start within half a second and exchange announcements."""

    def __init__(self, entries: int, agents: int):
        self.now = 0.0
        self.rng = random.Random(1)
        self.controllers: dict[str, DirectoryController] = {}
        self.group = Group()
        seeds = [f"entry-{number}" for number in range(entries)]
        self.starts_at = {}
        for name in seeds + [f"agent-{number}" for number in range(agents)]:
            self.starts_at[name] = round(self.rng.uniform(0, 0.45), 2)
        self.seeds = seeds

    def start(self, name: str) -> None:
        member = Member(name, f"{name}@1", name, "a")
        directory = Directory(member)
        self.controllers[name] = DirectoryController(
            directory,
            None,
            None,
            self,
            self.seeds,
            name.startswith("agent"),
            lambda: self.now,
            is_alive=directory.daemons.__contains__,
            is_discovered=lambda: any(self.knows(entry, name) for entry in self.seeds),
        )

    def knows(self, entry: str, agent: str) -> bool:
        controller = self.controllers.get(entry)
        return controller is not None and agent in controller.directory.daemons

    def start_soon(self, run, step, announce, address, include_agents) -> None:
        """Deliver an announcement at once, unless the receiver has not started."""
        sender = announce.__self__
        message = Announce(
            sender.directory.own_member,
            sender.is_agent,
            False,
            0,
            sender.directory.digest(),
            sender._next_agents() if include_agents else [],
        )
        if address in self.controllers:
            self.controllers[address].receive(message)

    def run(self, until: float) -> None:
        for tick in range(round(until * 100)):
            self.now = tick / 100
            for name, starts_at in self.starts_at.items():
                since_start = tick - round(starts_at * 100)
                if since_start == 0:
                    self.start(name)
                if since_start >= 0 and since_start % 50 == 0:
                    controller = self.controllers[name]
                    for address in controller.rounds.next_round(
                        controller.announce_addresses(),
                        0,
                        is_starting=controller._is_starting(),
                    ):
                        controller._start_announcement(address, include_agents=False)


@pytest.mark.parametrize("entries", [4, 14, 30])
def test_entries_find_all_agents_soon_after_a_common_start_without_the_store(entries):
    # Agents announced themselves to the same three entries and stopped when one of them
    # had connected; the others learned of them by lists, one in two seconds.
    fleet = StartedFleet(entries, 77)
    fleet.run(2.0)
    agents = [name for name in fleet.starts_at if name.startswith("agent")]
    for entry in fleet.seeds:
        assert sum(fleet.knows(entry, agent) for agent in agents) == len(agents)


def test_entry_that_left_takes_no_turn():
    rounds = AnnouncementRounds()
    addresses = {f"10.0.0.{number}:1" for number in range(8)}
    rounds.next_round(addresses, 0)
    gone = rounds.waiting[0]
    assert gone not in rounds.next_round(addresses - {gone}, 0)


@pytest.mark.parametrize(
    ("stored", "connected", "passed_on"),
    [(True, False, True), (False, True, True), (False, False, False)],
)
def test_only_live_agents_are_passed_on(stored, connected, passed_on):
    # Entries with different directories refreshed each other's entry of an agent that
    # had left, so that none of them ever removed it.
    site = Controlled()
    site.directory.upsert_stored(make_record(0), 0.0)
    if not stored:
        site.directory.mark_not_stored("agent-0", 0.0)
    if connected:
        site.connected.add("agent-0")
    names = [member.name for member in site.controller._next_agents()]
    assert names == (["agent-0"] if passed_on else [])


@pytest.mark.parametrize(
    ("stored", "connected", "replaced"),
    [(True, False, False), (False, True, False), (False, False, True)],
)
def test_entry_that_is_behind_does_not_bring_an_old_incarnation_back(
    stored, connected, replaced
):
    # An agent that had moved was replaced by the address that it had left, as long as
    # another entry still listed it.
    site = Controlled()
    new, old = make_agent(0, 2), Member("agent-0", "agent-0@1", "10.0.2.1:1", "a")
    site.directory.upsert(new, True, 0.0)
    site.directory.daemons["agent-0"].stored = stored
    if connected:
        site.connected.add("agent-0")
    site.receive(old)
    assert site.directory.daemons["agent-0"].member == (old if replaced else new)


@pytest.mark.parametrize("way", ["removal", "listing"])
@pytest.mark.parametrize("returns", [True, False])
def test_agent_whose_record_expired_may_return_within_two_seconds(way, returns):
    # After an outage of the store all records had expired. Agents without a link were
    # forgotten at once, so an entry took its share of the cores for much too small.
    site = Controlled()
    site.directory.upsert_stored(make_record(0), 0.0)
    site.now = 100.0
    if way == "removal":
        site.directory.mark_not_stored("agent-0", site.now)
    else:
        site.directory.replace_stored([], site.now)
    site.directory.expire(site.now + 2.0, lambda name: False)
    assert site.removed == []
    if returns:
        site.directory.upsert_stored(make_record(0), site.now + 2.0)
    site.directory.expire(site.now + UNSTORED_GRACE_S + 0.1, lambda name: False)
    assert site.removed == ([] if returns else ["agent-0"])


def test_agent_that_nobody_lists_any_more_is_removed():
    site = Controlled()
    site.receive(make_agent(0))
    for _ in range(30):
        site.now += ANNOUNCE_INTERVAL_S
        site.receive()
        site.directory.expire(site.now, site.connected.__contains__)
    assert site.now > EXPIRE_AFTER_S
    assert site.removed == ["agent-0"]


def test_lists_of_agents_to_one_entry_are_limited():
    site = Controlled()
    site.directory.upsert_stored(make_record(0), 0.0)
    for _ in range(8):
        site.receive()
        site.now += ANNOUNCE_INTERVAL_S
    assert len(site.group.started) == 8 * ANNOUNCE_INTERVAL_S / LIST_INTERVAL_S


def test_long_lists_are_sent_in_parts_that_cover_all_agents():
    site = Controlled()
    for number in range(2 * MAX_ANNOUNCED_AGENTS + 10):
        site.directory.upsert_stored(make_record(number), 0.0)
    parts = [site.controller._next_agents() for _ in range(3)]
    assert all(len(part) == MAX_ANNOUNCED_AGENTS for part in parts)
    assert len({member.name for part in parts for member in part}) == len(
        site.directory.daemons
    )


@pytest.mark.parametrize("change", ["add", "replace", "expire"])
def test_digest_follows_the_agents(change):
    site = Controlled()
    site.receive(make_agent(0))
    before = site.directory.digest()
    assert site.directory.digest() == before
    if change == "add":
        site.receive(make_agent(1))
    elif change == "replace":
        site.receive(Member("agent-0", "agent-0@2", "10.0.2.1:1", "a"))
    else:
        site.directory.expire(EXPIRE_AFTER_S + 1, lambda name: False)
    assert site.directory.digest() != before


def test_record_describes_the_worker_of_an_agent():
    facts = WorkerFacts(
        "i-1", 7, "service", "a", ["r1", "b"], Resources(16_000, 65_536, 2)
    )
    described = {}
    directory = Directory(
        OWN, on_worker_described=lambda name, facts: described.update({name: facts})
    )
    directory.upsert_stored(make_record(0, WorkerRecord.from_facts(facts)), 0.0)
    directory.upsert_stored(make_record(1), 0.0)
    assert set(described) == {"agent-0"}
    assert described["agent-0"].labels == facts.labels
    assert described["agent-0"].capacity == facts.capacity


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"name":"agent-0"}',
        b'{"name":1,"incarnation":"","address":"","domain":"","is_agent":true}',
        b'{"name":"a","incarnation":"","address":"x","domain":"","is_agent":true,'
        b'"worker":{"service":3}}',
    ],
)
def test_malformed_record_adds_and_removes_nothing(data):
    assert decode_record(data) is None
