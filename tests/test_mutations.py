"""Guards against a history checker that no longer notices a broken protocol.

Each scenario runs twice: as it is, without a violation, and with one rule of the
protocol broken, which the checker must report.
"""

from dataclasses import replace

import pytest

from marigoldkeel import failover
from marigoldkeel.claims import (
    ClaimRecord,
    ClaimRegister,
    ClaimState,
    Phase,
    RegisterSnapshot,
    Verdict,
)
from marigoldkeel.failover import FailoverController
from marigoldkeel.messages import Claim, Submit, Transfer
from marigoldkeel.models import PartitionRecord
from marigoldkeel.primaries import PrimaryController
from tests import protocol_model
from tests.protocol_model import AGENTS, World


STARTED_TWICE = "started twice"
STARTED_AFTER_NOT_RUN = 'started after "not run"'
NOT_RUN_AFTER_START = 'is "not run", but task'


def start_one(world):
    """Start a submission whose answer is lost."""
    attempts = world.mint()
    world.send(attempts)
    world.settle(AGENTS)
    world.packets.clear()
    return attempts


def fail_over(world, lost, survivor, candidate):
    world.crash(lost)
    world.replace(survivor, candidate)
    world.settle(AGENTS)
    for name in AGENTS:
        world.learn(name, world.records[-1])
    world.settle(AGENTS)


def send_again(world, attempts):
    world.send(attempts)
    world.settle()


def one_failover(world):
    attempts = start_one(world)
    fail_over(world, "a", "b", "c")
    send_again(world, attempts)


def two_failovers(world):
    attempts = start_one(world)
    fail_over(world, "a", "b", "c")
    fail_over(world, "b", "c", "d")
    send_again(world, attempts)


def claim_after_the_swap(world):
    """A claim of the old generation reaches the survivor after its swap."""
    attempts = world.mint()
    world.send(attempts)
    world.deliver(world.take_packets(Submit)[0])
    world.step_when("a", "begin")
    (claim,) = world.take_packets(Claim)
    world.packets.clear()
    world.replace("b", "c")
    world.settle(("b", "c"))
    world.packets.append(claim)
    world.deliver(claim)
    world.settle(AGENTS)
    world.packets.clear()
    world.crash("a")
    fail_over(world, "b", "c", "d")
    send_again(world, attempts)


def late_acknowledgement(world):
    """An acknowledgement arrives after its request timed out."""
    attempts = world.mint()
    world.send(attempts)
    world.deliver(world.take_packets(Submit)[0])
    world.step_when("a", "begin")
    (claim,) = world.take_packets(Claim)
    world.step_when("a", "request", fate=1)
    world.step_when("a", "event")
    world.deliver(claim)
    world.settle(("clients",))
    assert attempts.ended
    submission_id = attempts.submission_id
    assert world.agents["b"].register.claims[submission_id].state is ClaimState.CLAIMED
    if world.agents["a"].register.confirm(submission_id, 1):
        world.start(submission_id, 0, "a")


def first_attempt_refused_last(world):
    """A frozen primary refuses the first attempt while the second one runs."""
    attempts = world.mint()
    world.send(attempts)
    (submit,) = world.take_packets(Submit)
    world.packets.clear()
    world.replace("b", "c")
    world.settle(("b", "c"))
    world.send(attempts)
    world.settle(("b", "c"))
    world.packets.clear()
    world.packets.append(submit)
    world.settle()


def late_transfer_to_a_restarted_standby(world):
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    (transfer,) = world.take_packets(Transfer)
    world.settle()
    attempts = start_one(world)
    world.restart("c")
    world.learn("c", world.records[-1])
    world.packets.append(transfer)
    fail_over(world, "b", "c", "d")
    send_again(world, attempts)


def late_transfer(world):
    world.crash("a")
    world.replace("b", "c")
    world.settle(("b",))
    (transfer,) = world.take_packets(Transfer)
    world.settle()
    attempts = start_one(world)
    world.packets.append(transfer)
    fail_over(world, "b", "c", "d")
    send_again(world, attempts)


def state_installed_again(world):
    snapshot = world.agents["a"].register.snapshot()
    attempts = start_one(world)
    world.agents["b"].register.install(snapshot)
    fail_over(world, "a", "b", "c")
    send_again(world, attempts)


def old_id(world):
    attempts = start_one(world)
    world.now_ms += 1_000_000
    for name in ("a", "b"):
        world.raise_low_water(name)
    assert not world.agents["a"].register.claims
    send_again(world, attempts)


def old_id_after_a_failover(world):
    attempts = start_one(world)
    world.now_ms += 1_000_000
    for name in ("a", "b"):
        world.raise_low_water(name)
    fail_over(world, "a", "b", "c")
    fail_over(world, "b", "c", "d")
    send_again(world, attempts)


def start_before_the_acknowledgement(patch):
    async def obtain_claim(self, job, register):
        submission = job.submission
        register.confirm(submission.submission_id, submission.generation)
        return ""

    patch.setattr(PrimaryController, "_obtain_claim", obtain_claim)


def leave_refusals_unrecorded(patch):
    patch.setattr(ClaimRegister, "refuse", lambda self, submission_id, digest=b"": True)


def acknowledge_after_stopping(patch):
    original = ClaimRegister.acknowledge

    def acknowledge(self, submission_id, digest, generation, now_ms):
        if generation < self.generation or self.phase is Phase.STOPPED:
            record = ClaimRecord(digest, ClaimState.CLAIMED)
            self.claims.setdefault(submission_id, record)
            return Verdict.ACCEPTED
        return original(self, submission_id, digest, generation, now_ms)

    patch.setattr(ClaimRegister, "acknowledge", acknowledge)


def keep_no_member(patch):
    """Also marks the record as reopened, or its new members would not enter."""

    def plan(record, survivor, candidates):
        (candidate,) = [each for each in candidates if each != survivor]
        other = replace(candidate, name="d", address="d", incarnation="d@1")
        return PartitionRecord(
            record.partition, record.generation + 1, candidate, other, reopened=True
        )

    patch.setattr(protocol_model, "mint_incarnation", lambda name: f"{name}@1")
    patch.setattr(failover, "plan_replacement", plan)


def transfer_without_claims(patch):
    patch.setattr(
        ClaimRegister,
        "snapshot",
        lambda self: RegisterSnapshot(self.low_water_ms, []),
    )


def act_while_an_attempt_is_open(patch):
    patch.setattr(World, "unanswered_known", lambda self, unanswered: 0)


def reuse_incarnations(patch):
    patch.setattr(protocol_model, "mint_incarnation", lambda name: f"{name}@1")


def forget_without_a_mark(patch):
    original = ClaimRegister.raise_low_water

    def raise_low_water(self, low_water_ms):
        original(self, low_water_ms)
        self.low_water_ms = 0

    patch.setattr(ClaimRegister, "raise_low_water", raise_low_water)


def transfer_without_the_mark(patch):
    original = ClaimRegister.snapshot
    patch.setattr(
        ClaimRegister,
        "snapshot",
        lambda self: RegisterSnapshot(0, original(self).claims),
    )


def take_a_repeated_transfer(patch):
    original = FailoverController.receive_transfer

    async def receive_transfer(self, message):
        register = self.board.registers.get(message.partition)
        if register is not None and register.generation == message.generation:
            register.phase = Phase.RECEIVING
            register.claims = {}
        return await original(self, message)

    patch.setattr(FailoverController, "receive_transfer", receive_transfer)


def install_at_any_time(patch):
    original = ClaimRegister.install

    def install(self, snapshot):
        self.phase = Phase.RECEIVING
        self.claims = {}
        original(self, snapshot)

    patch.setattr(ClaimRegister, "install", install)


# mutation, scenario, expected violation
MUTATIONS = [
    (start_before_the_acknowledgement, one_failover, STARTED_TWICE),
    (leave_refusals_unrecorded, late_acknowledgement, STARTED_AFTER_NOT_RUN),
    (acknowledge_after_stopping, claim_after_the_swap, STARTED_TWICE),
    (keep_no_member, one_failover, STARTED_TWICE),
    (transfer_without_claims, two_failovers, STARTED_TWICE),
    (act_while_an_attempt_is_open, first_attempt_refused_last, NOT_RUN_AFTER_START),
    (reuse_incarnations, late_transfer_to_a_restarted_standby, STARTED_TWICE),
    (forget_without_a_mark, old_id, STARTED_TWICE),
    (transfer_without_the_mark, old_id_after_a_failover, STARTED_TWICE),
    (take_a_repeated_transfer, late_transfer, STARTED_TWICE),
    (install_at_any_time, state_installed_again, STARTED_TWICE),
]


def run(scenario):
    world = World()
    try:
        scenario(world)
        return world.checker.violations
    finally:
        world.close()


@pytest.mark.parametrize(
    ("mutation", "scenario", "violation"),
    [pytest.param(*row, id=row[0].__name__) for row in MUTATIONS],
)
def test_mutation_is_caught(monkeypatch, mutation, scenario, violation):
    """Guards against a broken rule, and a scenario that fails without one."""
    assert run(scenario) == []
    mutation(monkeypatch)
    assert any(violation in each for each in run(scenario))
