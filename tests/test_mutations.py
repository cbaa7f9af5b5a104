"""Guards against a history checker that does not detect a broken protocol.

Each scenario is run twice: unmodified, without a violation, and with one rule of the
protocol broken, which the checker must report.
"""

import msgspec
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
from tests.protocol_model import AGENTS, SimulatedCluster


STARTED_TWICE = "started twice"
STARTED_AFTER_NOT_RUN = 'started after "not run"'
NOT_RUN_AFTER_START = 'is "not run", but task'


def start_submission(cluster):
    """Start a submission whose answer is lost."""
    attempts = cluster.mint()
    cluster.send(attempts)
    cluster.settle(AGENTS)
    cluster.packets.clear()
    return attempts


def fail_over(cluster, lost, survivor, candidate):
    cluster.crash(lost)
    cluster.suspect_peer(survivor, candidate)
    cluster.settle(AGENTS)
    for name in AGENTS:
        cluster.deliver_record(name, cluster.records[-1])
    cluster.settle(AGENTS)


def send_again(cluster, attempts):
    cluster.send(attempts)
    cluster.settle()


def one_failover(cluster):
    attempts = start_submission(cluster)
    fail_over(cluster, "a", "b", "c")
    send_again(cluster, attempts)


def two_failovers(cluster):
    attempts = start_submission(cluster)
    fail_over(cluster, "a", "b", "c")
    fail_over(cluster, "b", "c", "d")
    send_again(cluster, attempts)


def claim_after_the_swap(cluster):
    """A claim of the old generation reaches the surviving member after its swap."""
    attempts = cluster.mint()
    cluster.send(attempts)
    cluster.deliver(cluster.take_packets(Submit)[0])
    cluster.step_waiting("a", "begin")
    (claim,) = cluster.take_packets(Claim)
    cluster.packets.clear()
    cluster.suspect_peer("b", "c")
    cluster.settle(("b", "c"))
    cluster.packets.append(claim)
    cluster.deliver(claim)
    cluster.settle(AGENTS)
    cluster.packets.clear()
    cluster.crash("a")
    fail_over(cluster, "b", "c", "d")
    send_again(cluster, attempts)


def late_acknowledgement(cluster):
    """An acknowledgement arrives after its request timed out."""
    attempts = cluster.mint()
    cluster.send(attempts)
    cluster.deliver(cluster.take_packets(Submit)[0])
    cluster.step_waiting("a", "begin")
    (claim,) = cluster.take_packets(Claim)
    cluster.step_waiting("a", "request", fault=1)
    cluster.step_waiting("a", "event")
    cluster.deliver(claim)
    cluster.settle(("clients",))
    assert attempts.ended
    submission_id = attempts.submission_id
    assert (
        cluster.agents["b"].register.claims[submission_id].state is ClaimState.CLAIMED
    )
    if cluster.agents["a"].register.confirm(submission_id, 1):
        cluster.start(submission_id, 0, "a")


def first_attempt_refused_last(cluster):
    """A paused primary refuses the first attempt while the second one runs."""
    attempts = cluster.mint()
    cluster.send(attempts)
    (submit,) = cluster.take_packets(Submit)
    cluster.packets.clear()
    cluster.suspect_peer("b", "c")
    cluster.settle(("b", "c"))
    cluster.send(attempts)
    cluster.settle(("b", "c"))
    cluster.packets.clear()
    cluster.packets.append(submit)
    cluster.settle()


def late_transfer_to_a_restarted_standby(cluster):
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    (transfer,) = cluster.take_packets(Transfer)
    cluster.settle()
    attempts = start_submission(cluster)
    cluster.restart("c")
    cluster.deliver_record("c", cluster.records[-1])
    cluster.packets.append(transfer)
    fail_over(cluster, "b", "c", "d")
    send_again(cluster, attempts)


def late_transfer(cluster):
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    (transfer,) = cluster.take_packets(Transfer)
    cluster.settle()
    attempts = start_submission(cluster)
    cluster.packets.append(transfer)
    fail_over(cluster, "b", "c", "d")
    send_again(cluster, attempts)


def state_installed_again(cluster):
    snapshot = cluster.agents["a"].register.snapshot()
    attempts = start_submission(cluster)
    cluster.agents["b"].register.install(snapshot)
    fail_over(cluster, "a", "b", "c")
    send_again(cluster, attempts)


def old_id(cluster):
    attempts = start_submission(cluster)
    cluster.now_ms += 1_000_000
    for name in ("a", "b"):
        cluster.raise_low_water(name)
    assert not cluster.agents["a"].register.claims
    send_again(cluster, attempts)


def old_id_after_a_failover(cluster):
    attempts = start_submission(cluster)
    cluster.now_ms += 1_000_000
    for name in ("a", "b"):
        cluster.raise_low_water(name)
    fail_over(cluster, "a", "b", "c")
    fail_over(cluster, "b", "c", "d")
    send_again(cluster, attempts)


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
    """Mark the record as reopened too, since its members would not enter otherwise."""

    def plan(record, survivor, candidates):
        (candidate,) = [each for each in candidates if each != survivor]
        other = msgspec.structs.replace(
            candidate, name="d", address="d", incarnation="d@1"
        )
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
    patch.setattr(SimulatedCluster, "unanswered_known", lambda self, unanswered: 0)


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
    cluster = SimulatedCluster()
    try:
        scenario(cluster)
        return cluster.checker.violations
    finally:
        cluster.close()


@pytest.mark.parametrize(
    ("mutation", "scenario", "violation"),
    [pytest.param(*row, id=row[0].__name__) for row in MUTATIONS],
)
def test_mutation_is_caught(monkeypatch, mutation, scenario, violation):
    """Guards against an undetected mutation and a scenario that fails without one."""
    assert run(scenario) == []
    mutation(monkeypatch)
    assert any(violation in each for each in run(scenario))
