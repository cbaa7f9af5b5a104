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

from marigoldkeel.claims import MAX_FUTURE_MS
from tests.protocol_model import AGENTS, PARTIES, TASKS, World


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


def run_to(world, *parties, rounds=30):
    world.settle(parties, rounds)


def test_reopening_refuses_ids_minted_ahead_of_the_clock(world):
    """Guards against a second start when a caller's clock is ahead.

    Members accept ids minted up to `MAX_FUTURE_MS` ahead, so the low-water mark of
    a reopened partition must be above all of these.
    """
    attempts = world.mint(skew_ms=MAX_FUTURE_MS)
    world.send(attempts)
    run_to(world, *AGENTS)
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
