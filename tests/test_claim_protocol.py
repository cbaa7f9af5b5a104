"""Guards against double starts and false "not run" answers under any faults."""

import os

import pytest
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import booleans, integers, sampled_from

from marigoldkeel.claims import (
    MAX_FUTURE_MS,
    ClaimRegister,
    ClaimState,
    Phase,
    RegisterSnapshot,
    Verdict,
)
from marigoldkeel.messages import Transfer, Transferred
from tests.protocol_model import AGENTS, PARTIES, PARTITION, TASKS, World


SEED = os.environ.get("MARIGOLDKEEL_SEED")
EXAMPLES = 400
STEPS = 60
names = sampled_from(AGENTS)
indexes = integers(0, 1_000)
# A step with this draw happens for 0 only, so that partitions live long enough.
rarely = integers(0, 4)
# Skews around the limits of 15 minutes back and 60 s ahead.
skews_ms = sampled_from([0, 0, 0, -950_000, -850_000, 50_000, 70_000])
EVENTS = (
    "start",
    "swap",
    "swap lost a race",
    "swap unanswered",
    "delayed write applied",
    "request timed out",
    "move",
    "reopening",
    "answer complete",
    "answer failed",
    "answer not_run",
    "answer unknown",
)


class ProtocolMachine(RuleBasedStateMachine):
    """Draws faults and interleavings of five agents and many ids."""

    totals: dict[str, int] = {}

    def __init__(self):
        super().__init__()
        self.world = World()

    def teardown(self):
        for name, count in self.world.counts.items():
            self.totals[name] = self.totals.get(name, 0) + count
        self.world.close()

    @rule(skew_ms=skews_ms, to_standby=booleans(), count=integers(1, 3))
    def submit(self, skew_ms, to_standby, count):
        for _ in range(count):
            self.world.send(self.world.mint(skew_ms), to_standby=to_standby)

    @rule(which=indexes, known=sampled_from([0, 0, 1, 2]), to_standby=booleans())
    def resubmit(self, which, known, to_standby):
        world = self.world
        submissions = [each for each in world.submissions.values() if not each.ended]
        if submissions:
            record = world.records[-1 - known % len(world.records)]
            world.send(submissions[which % len(submissions)], record, to_standby)

    @rule()
    def resubmit_all(self):
        for attempts in self.world.submissions.values():
            self.world.send(attempts)

    @rule(which=indexes, rounds=integers(1, 6), candidate=names, ask=booleans())
    @precondition(lambda self: self.world.submissions)
    def lose_primary_of(self, which, rounds, candidate, ask):
        """Lose the primary before its answer arrives, often after the start."""
        world = self.world
        record = world.records[-1]
        submissions = list(world.submissions.values())
        world.send(submissions[which % len(submissions)])
        world.settle((record.primary.name, record.standby.name), rounds)
        world.restart(record.primary.name)
        world.replace(record.standby.name, candidate)
        if ask:
            world.settle(AGENTS, rounds=12)
            self.resubmit_all()

    @rule(which=indexes)
    @precondition(lambda self: self.world.packets)
    def deliver(self, which):
        self.world.deliver(self.world.packets[which % len(self.world.packets)])

    @rule(which=indexes, chance=rarely)
    @precondition(lambda self: self.world.packets)
    def drop(self, which, chance):
        if chance == 0:
            del self.world.packets[which % len(self.world.packets)]

    @rule(which=indexes, fate=sampled_from([0, 0, 0, 1, 2, 3]))
    @precondition(lambda self: self.world.operations)
    def go_on(self, which, fate):
        operations = self.world.operations
        self.world.step(operations[which % len(operations)], fate)

    @rule(fate=sampled_from([0, 1, 2]), times=integers(1, 3))
    def answer_store_calls(self, fate, times):
        for _ in range(times):
            for operation in list(self.world.operations):
                if operation.wait.kind in ("begin", "get", "sleep"):
                    self.world.step(operation)
                elif operation.wait.kind == "swap":
                    self.world.step(operation, fate)
        if fate == 2:
            self.world.apply_delayed_write(0)

    @rule(left_out=sampled_from(PARTIES), rounds=integers(1, 8))
    def settle(self, left_out, rounds):
        self.world.settle([name for name in PARTIES if name != left_out], rounds)

    @rule(which=indexes)
    @precondition(lambda self: self.world.delayed_writes)
    def apply_delayed_write(self, which):
        self.world.apply_delayed_write(which)

    @rule(name=names, chance=rarely)
    def restart(self, name, chance):
        if chance == 0:
            self.world.restart(name)

    @rule(is_primary=booleans(), candidate=names)
    def suspect(self, is_primary, candidate):
        record = self.world.records[-1]
        member = record.primary if is_primary else record.standby
        self.world.replace(member.name, candidate)

    @rule(candidate=names)
    def suspect_both(self, candidate):
        for name in AGENTS:
            self.world.replace(name, candidate)

    @rule(chance=rarely)
    def move(self, chance):
        if chance == 0:
            self.world.move(self.world.records[-1].primary.name)

    @rule()
    def learn_newest(self):
        for name in AGENTS:
            self.world.learn(name, self.world.records[-1])

    @rule(name=names, known=indexes)
    def learn(self, name, known):
        records = self.world.records
        self.world.learn(name, records[-1 - known % min(3, len(records))])

    @rule(chance=rarely)
    def switch_store(self, chance):
        self.world.store_down = chance == 0

    @rule(seconds=sampled_from([1, 30, 400, 1_000]), name=names)
    def pass_time(self, seconds, name):
        self.world.now_ms += seconds * 1_000
        self.world.raise_low_water(name)

    @rule(chance=rarely)
    def lose_both_and_reopen(self, chance):
        if chance:
            return
        record = self.world.records[-1]
        for member in (record.primary, record.standby):
            self.world.crash(member.name)
        self.world.reopen()
        for name in AGENTS:
            if not self.world.agents[name].alive:
                self.world.restart(name)
            self.world.learn(name, self.world.records[-1])
        self.world.settle(AGENTS, rounds=12)
        self.resubmit_all()

    @invariant()
    def history_is_clean(self):
        assert self.world.checker.violations == []


def run_machine(examples=EXAMPLES, steps=STEPS, machine=ProtocolMachine):
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=SEED is None,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    if SEED is not None:
        machine = seed(int(SEED))(machine)
    run_state_machine_as_test(machine, settings=chosen)


def test_no_interleaving_breaks_a_guarantee():
    """Also guards against a search that never reaches the events it is about."""
    run_machine()
    missing = [name for name in EVENTS if not ProtocolMachine.totals.get(name)]
    assert not missing, ProtocolMachine.totals


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


def test_reopening_refuses_ids_minted_ahead_of_the_clock(world):
    """Guards against a second start when a caller's clock is ahead.

    Members accept ids minted up to `MAX_FUTURE_MS` ahead, so the low-water mark of
    a reopened partition must be above all of these.
    """
    attempts = world.mint(skew_ms=MAX_FUTURE_MS)
    world.send(attempts)
    world.settle(AGENTS)
    world.packets.clear()
    world.restart("a")
    world.restart("b")
    world.reopen()
    for name in AGENTS:
        world.learn(name, world.records[-1])
    world.settle()
    world.send(attempts)
    world.settle()
    assert world.counts["start"] == TASKS
    assert world.checker.violations == []


def generations(world, name):
    """Return the generation of an agent's register and whether it is primary."""
    register = world.agents[name].register
    return register and (register.generation, register.is_primary, register.phase)


def start_one(world, lose_answer=True):
    attempts = world.mint()
    world.send(attempts)
    world.settle(AGENTS)
    if lose_answer:
        world.packets.clear()
    return attempts


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(["get", ("swap", 1), "sleep", "get"], id="answer lost"),
        pytest.param(
            ["get", ("swap", 2), "apply", "sleep", "get"], id="delayed, then read"
        ),
        pytest.param(
            ["get", ("swap", 2), "sleep", "get", "apply", "swap", "get"],
            id="read, then the delayed write, then the repeated swap",
        ),
        pytest.param(
            ["get", ("swap", 2), "sleep", "get", "swap", "apply", "get"],
            id="read, then the repeated swap, then the delayed write",
        ),
        pytest.param(
            ["get", ("swap", 2), "sleep", "get", ("swap", 1), "apply", "sleep", "get"],
            id="the repeated swap has its answer lost",
        ),
    ],
)
def test_unanswered_swap_is_resolved_by_a_read(world, steps):
    """Guards against a second or a wrong generation after an unanswered swap.

    The repeated swap names another standby than the first, so that a member that
    trusts its plan instead of the record enters with the wrong one.
    """
    world.crash("a")
    world.replace("b", "c")
    world.step_when("b", "begin")
    for step in steps:
        if step == "apply":
            world.apply_delayed_write(0)
            continue
        kind, fate = step if isinstance(step, tuple) else (step, 0)
        world.step_when("b", kind, fate)
        world.agents["b"].board.candidates = [world.agents["d"].member]
    assert [record.generation for record in world.records] == [1, 2]
    assert generations(world, "b") == (2, True, Phase.TRANSFERRING)
    world.settle()
    standby = world.records[-1].standby.name
    assert generations(world, "b") == (2, True, Phase.ACTIVE)
    assert generations(world, standby) == (2, False, Phase.ACTIVE)


def test_member_without_the_whole_state_does_not_swap(world):
    """Guards against a new generation that lacks the claims of the one before."""
    attempts = start_one(world)
    attempts_before = start_one(world), start_one(world)
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    # The first of two parts arrives, then the sender is lost.
    world.deliver(world.take_packets(Transfer)[0])
    assert generations(world, "c") == (2, False, Phase.RECEIVING)
    world.crash("b")
    world.replace("c", "d")
    world.settle()
    assert [record.generation for record in world.records] == [1, 2]
    for each in (attempts, *attempts_before):
        world.send(each)
    world.settle()
    assert world.checker.violations == []
    assert world.counts["start"] == 3 * TASKS


def test_repeated_transfer_does_not_erase_newer_claims(world):
    """Guards against a late copy of the first transfer that replaces the state."""
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    repeated = world.take_packets(Transfer)[0]
    world.settle()
    attempts = start_one(world)
    world.packets.append(repeated)
    world.deliver(repeated)
    world.crash("b")
    world.replace("c", "d")
    world.settle()
    world.send(attempts)
    world.settle()
    assert world.counts == {**world.counts, "start": TASKS, "answer failed": 1}
    assert world.checker.violations == []


def test_restarted_standby_refuses_a_transfer_to_its_predecessor(world):
    """Guards against a restarted process that takes up its predecessor's role."""
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    (packet,) = world.take_packets(Transfer)
    world.restart("c")
    world.deliver(packet)
    (reply,) = world.take_packets(Transferred)
    assert not reply.content.accepted
    world.settle()
    assert generations(world, "c") is None
    assert generations(world, "b") == (2, True, Phase.TRANSFERRING)


@pytest.mark.parametrize(("winner", "loser"), [("a", "b"), ("b", "a")])
def test_loser_of_a_race_steps_down(world, winner, loser):
    """Guards against a loser that still accepts, acknowledges or starts."""
    waiting = world.mint()
    world.send(waiting)
    world.deliver(world.packets[0])
    world.step_when("a", "begin")
    world.replace("a", "c")
    world.replace("b", "d")
    for kind in ("begin", "get"):
        for name in (winner, loser):
            world.step_when(name, kind)
    world.step_when(winner, "swap")
    world.step_when(loser, "swap")
    world.settle()
    assert [record.generation for record in world.records] == [1, 2]
    assert generations(world, winner) == (2, True, Phase.ACTIVE)
    assert generations(world, loser) is None
    world.send(world.mint(), world.records[0], to_standby=loser == "b")
    world.settle()
    assert world.counts == {**world.counts, "swap": 1, "swap lost a race": 1}
    assert "start" not in world.counts
    assert world.checker.violations == []


@pytest.mark.parametrize(
    ("transferred", "verdict"),
    [
        pytest.param([], Verdict.REFUSED, id="unknown to the sender"),
        pytest.param([ClaimState.REFUSED], Verdict.REFUSED, id="refused by both"),
        pytest.param([ClaimState.CLAIMED], Verdict.DUPLICATE, id="claimed before"),
    ],
)
def test_refusals_made_while_receiving_are_kept(transferred, verdict):
    """Guards against a late claim for an id that this member called "not run".

    A claim in the transferred state wins: the id may have started.
    """
    submission_id = (1_000).to_bytes(6, "big") + bytes(10)
    standby = ClaimRegister.as_standby(PARTITION, 2)
    refused = standby.propose(submission_id, b"digest", 2, now_ms=1_000)
    assert refused is Verdict.NOT_READY
    claims = [(submission_id, b"digest", state) for state in transferred]
    standby.install(RegisterSnapshot(0, claims))
    assert standby.acknowledge(submission_id, b"digest", 2, 1_000) is verdict


def test_agent_that_waits_for_old_state_enters_a_reopened_partition(world):
    """Guards against a partition that stays closed after its reopening.

    The new primary still waits for the state of a generation in which it was
    replaced without having heard of it.
    """
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    world.learn("c", world.records[-1])
    world.packets.clear()
    world.replace("b", "d")
    world.settle(("b", "d"))
    assert generations(world, "c") == (2, False, Phase.RECEIVING)
    world.crash("b")
    world.crash("d")
    world.reopen(("c", "e"))
    record = world.records[-1]
    assert (record.generation, record.primary.name) == (4, "c")
    world.learn("c", record)
    world.settle()
    assert generations(world, "c") == (4, True, Phase.ACTIVE)


def test_attached_attempt_is_not_told_not_run_for_an_open_one(world):
    """Guards against "not run" from a member that never held the claim.

    The first attempt runs under the newer generation. The third one waits at the
    old primary on the claim of the second when that primary learns of it.
    """
    world.replace("b", "c")
    world.settle(("b", "c"))
    attempts = world.mint()
    world.send(attempts)
    world.settle(("b", "c"))
    world.packets.clear()
    for _ in range(2):
        world.send(attempts, world.records[0])
        world.settle(("a",), rounds=1)
    world.learn("a", world.records[-1])
    world.settle()
    assert world.counts["start"] == TASKS
    assert "answer not_run" not in world.counts
    assert world.checker.violations == []
