"""Guards against double starts and wrong "not run" answers under random faults."""

import os
from types import SimpleNamespace

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

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import (
    MAX_CLOCK_SKEW_MS,
    ClaimRegister,
    ClaimState,
    Phase,
    RegisterSnapshot,
    Verdict,
)
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.failover import FailoverController
from marigoldkeel.heartbeats import PeerState
from marigoldkeel.messages import Transfer, Transferred
from marigoldkeel.models import Member, PartitionRecord
from marigoldkeel.partitions import decode_record, encode_record
from marigoldkeel.primaries import PrimaryController
from marigoldkeel.stores import StoredValue
from tests.protocol_model import (
    AGENTS,
    PARTICIPANTS,
    PARTITION,
    TASKS,
    SimulatedCluster,
)


SEED = os.environ.get("MARIGOLDKEEL_SEED")
EXAMPLES = 400
STEPS = 60
names = sampled_from(AGENTS)
indexes = integers(0, 1_000)
# A rule with this draw acts on 0 only, so that partitions keep members for long enough.
one_in_five = integers(0, 4)
# Clock skews around the limits of 15 minutes in the past and 60 s in the future.
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
    """Generates faults and interleavings of five agents and many submissions."""

    totals: dict[str, int] = {}

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster()

    def teardown(self):
        for name, count in self.cluster.counts.items():
            self.totals[name] = self.totals.get(name, 0) + count
        self.cluster.close()

    @rule(skew_ms=skews_ms, to_standby=booleans(), count=integers(1, 3))
    def submit(self, skew_ms, to_standby, count):
        for _ in range(count):
            self.cluster.send(self.cluster.mint(skew_ms), to_standby=to_standby)

    @rule(which=indexes, known=sampled_from([0, 0, 1, 2]), to_standby=booleans())
    def resubmit(self, which, known, to_standby):
        cluster = self.cluster
        submissions = [each for each in cluster.submissions.values() if not each.ended]
        if submissions:
            record = cluster.records[-1 - known % len(cluster.records)]
            cluster.send(submissions[which % len(submissions)], record, to_standby)

    @rule()
    def resubmit_all(self):
        for attempts in self.cluster.submissions.values():
            self.cluster.send(attempts)

    @rule(which=indexes, rounds=integers(1, 6), candidate=names, ask=booleans())
    @precondition(lambda self: self.cluster.submissions)
    def lose_primary_of(self, which, rounds, candidate, ask):
        """Restart the primary before its answer arrives, often after tasks started."""
        cluster = self.cluster
        record = cluster.records[-1]
        submissions = list(cluster.submissions.values())
        cluster.send(submissions[which % len(submissions)])
        cluster.settle((record.primary.name, record.standby.name), rounds)
        cluster.restart(record.primary.name)
        cluster.suspect_peer(record.standby.name, candidate)
        if ask:
            cluster.settle(AGENTS, rounds=12)
            self.resubmit_all()

    @rule(which=indexes)
    @precondition(lambda self: self.cluster.packets)
    def deliver(self, which):
        self.cluster.deliver(self.cluster.packets[which % len(self.cluster.packets)])

    @rule(which=indexes, chance=one_in_five)
    @precondition(lambda self: self.cluster.packets)
    def drop(self, which, chance):
        if chance == 0:
            del self.cluster.packets[which % len(self.cluster.packets)]

    @rule(which=indexes, fault=sampled_from([0, 0, 0, 1, 2, 3]))
    @precondition(lambda self: self.cluster.operations)
    def resume_operation(self, which, fault):
        operations = self.cluster.operations
        self.cluster.step(operations[which % len(operations)], fault)

    @rule(fault=sampled_from([0, 1, 2]), times=integers(1, 3))
    def answer_store_calls(self, fault, times):
        for _ in range(times):
            for operation in list(self.cluster.operations):
                if operation.wait.kind in ("begin", "get", "sleep"):
                    self.cluster.step(operation)
                elif operation.wait.kind == "swap":
                    self.cluster.step(operation, fault)
        if fault == 2:
            self.cluster.apply_delayed_write(0)

    @rule(left_out=sampled_from(PARTICIPANTS), rounds=integers(1, 8))
    def settle(self, left_out, rounds):
        self.cluster.settle([name for name in PARTICIPANTS if name != left_out], rounds)

    @rule(which=indexes)
    @precondition(lambda self: self.cluster.delayed_writes)
    def apply_delayed_write(self, which):
        self.cluster.apply_delayed_write(which)

    @rule(name=names, chance=one_in_five)
    def restart(self, name, chance):
        if chance == 0:
            self.cluster.restart(name)

    @rule(is_primary=booleans(), candidate=names)
    def suspect(self, is_primary, candidate):
        record = self.cluster.records[-1]
        member = record.primary if is_primary else record.standby
        self.cluster.suspect_peer(member.name, candidate)

    @rule(candidate=names)
    def suspect_both(self, candidate):
        for name in AGENTS:
            self.cluster.suspect_peer(name, candidate)

    @rule(chance=one_in_five)
    def move(self, chance):
        if chance == 0:
            self.cluster.move(self.cluster.records[-1].primary.name)

    @rule()
    def learn_newest(self):
        for name in AGENTS:
            self.cluster.deliver_record(name, self.cluster.records[-1])

    @rule(name=names, known=indexes)
    def learn(self, name, known):
        records = self.cluster.records
        self.cluster.deliver_record(name, records[-1 - known % min(3, len(records))])

    @rule(chance=one_in_five)
    def switch_store(self, chance):
        self.cluster.store_down = chance == 0

    @rule(seconds=sampled_from([1, 30, 400, 1_000]), name=names)
    def pass_time(self, seconds, name):
        self.cluster.now_ms += seconds * 1_000
        self.cluster.raise_low_water(name)

    @rule(chance=one_in_five)
    def lose_both_and_reopen(self, chance):
        if chance:
            return
        record = self.cluster.records[-1]
        for member in (record.primary, record.standby):
            self.cluster.crash(member.name)
        self.cluster.reopen()
        for name in AGENTS:
            if not self.cluster.agents[name].alive:
                self.cluster.restart(name)
            self.cluster.deliver_record(name, self.cluster.records[-1])
        self.cluster.settle(AGENTS, rounds=12)
        self.resubmit_all()

    @invariant()
    def history_has_no_violations(self):
        assert self.cluster.checker.violations == []


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
    """Also guards against a search that does not reach every kind of event."""
    run_machine()
    missing = [name for name in EVENTS if not ProtocolMachine.totals.get(name)]
    assert not missing, ProtocolMachine.totals


@pytest.fixture
def cluster():
    cluster = SimulatedCluster()
    yield cluster
    cluster.close()


def test_reopening_refuses_ids_minted_ahead_of_the_clock(cluster):
    """Guards against a second start when the clock of a caller is ahead.

    Members accept ids minted up to `MAX_CLOCK_SKEW_MS` in the future, so the low-water
    mark of a reopened partition must be above all of these ids.
    """
    attempts = cluster.mint(skew_ms=MAX_CLOCK_SKEW_MS)
    cluster.send(attempts)
    cluster.settle(AGENTS)
    cluster.packets.clear()
    cluster.restart("a")
    cluster.restart("b")
    cluster.reopen()
    for name in AGENTS:
        cluster.deliver_record(name, cluster.records[-1])
    cluster.settle()
    cluster.send(attempts)
    cluster.settle()
    assert cluster.counts["start"] == TASKS
    assert cluster.checker.violations == []


def generations(cluster, name):
    """Return generation, role and phase of an agent's register, or None without one."""
    register = cluster.agents[name].register
    return register and (register.generation, register.is_primary, register.phase)


def start_submission(cluster, lose_answer=True):
    attempts = cluster.mint()
    cluster.send(attempts)
    cluster.settle(AGENTS)
    if lose_answer:
        cluster.packets.clear()
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
def test_unanswered_swap_is_resolved_by_a_read(cluster, steps):
    """Guards against a second or a wrong generation after an unanswered swap.

    The repeated swap names a different standby than the first, so a member that relies
    on its plan instead of the stored record ends up with the wrong standby.
    """
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.step_waiting("b", "begin")
    for step in steps:
        if step == "apply":
            cluster.apply_delayed_write(0)
            continue
        kind, fault = step if isinstance(step, tuple) else (step, 0)
        cluster.step_waiting("b", kind, fault)
        cluster.agents["b"].board.candidates = [cluster.agents["d"].member]
    assert [record.generation for record in cluster.records] == [1, 2]
    assert generations(cluster, "b") == (2, True, Phase.TRANSFERRING)
    cluster.settle()
    standby = cluster.records[-1].standby.name
    assert generations(cluster, "b") == (2, True, Phase.ACTIVE)
    assert generations(cluster, standby) == (2, False, Phase.ACTIVE)


def test_member_with_incomplete_state_does_not_swap(cluster):
    """Guards against a new generation without the claims of the previous one."""
    attempts = start_submission(cluster)
    attempts_before = start_submission(cluster), start_submission(cluster)
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    # The first of two parts arrives, then the sender crashes.
    cluster.deliver(cluster.take_packets(Transfer)[0])
    assert generations(cluster, "c") == (2, False, Phase.RECEIVING)
    cluster.crash("b")
    cluster.suspect_peer("c", "d")
    cluster.settle()
    assert [record.generation for record in cluster.records] == [1, 2]
    for each in (attempts, *attempts_before):
        cluster.send(each)
    cluster.settle()
    assert cluster.checker.violations == []
    assert cluster.counts["start"] == 3 * TASKS


def test_repeated_transfer_does_not_erase_newer_claims(cluster):
    """Guards against a delayed copy of the first transfer that replaces the state."""
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    repeated = cluster.take_packets(Transfer)[0]
    cluster.settle()
    attempts = start_submission(cluster)
    cluster.packets.append(repeated)
    cluster.deliver(repeated)
    cluster.crash("b")
    cluster.suspect_peer("c", "d")
    cluster.settle()
    cluster.send(attempts)
    cluster.settle()
    assert cluster.counts == {**cluster.counts, "start": TASKS, "answer failed": 1}
    assert cluster.checker.violations == []


def test_restarted_standby_refuses_a_transfer_to_its_predecessor(cluster):
    """Guards against a restarted process that assumes its former incarnation's role."""
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    (packet,) = cluster.take_packets(Transfer)
    cluster.restart("c")
    cluster.deliver(packet)
    (reply,) = cluster.take_packets(Transferred)
    assert not reply.content.accepted
    cluster.settle()
    assert generations(cluster, "c") is None
    assert generations(cluster, "b") == (2, True, Phase.TRANSFERRING)


@pytest.mark.parametrize(("winner", "loser"), [("a", "b"), ("b", "a")])
def test_loser_of_a_race_steps_down(cluster, winner, loser):
    """Guards against a loser that still accepts or acknowledges claims or starts tasks.

    Both members attempt a swap at the same time.
    """
    waiting = cluster.mint()
    cluster.send(waiting)
    cluster.deliver(cluster.packets[0])
    cluster.step_waiting("a", "begin")
    cluster.suspect_peer("a", "c")
    cluster.suspect_peer("b", "d")
    for kind in ("begin", "get"):
        for name in (winner, loser):
            cluster.step_waiting(name, kind)
    cluster.step_waiting(winner, "swap")
    cluster.step_waiting(loser, "swap")
    cluster.settle()
    assert [record.generation for record in cluster.records] == [1, 2]
    assert generations(cluster, winner) == (2, True, Phase.ACTIVE)
    assert generations(cluster, loser) is None
    cluster.send(cluster.mint(), cluster.records[0], to_standby=loser == "b")
    cluster.settle()
    assert cluster.counts == {**cluster.counts, "swap": 1, "swap lost a race": 1}
    assert "start" not in cluster.counts
    assert cluster.checker.violations == []


@pytest.mark.parametrize(
    ("transferred", "verdict"),
    [
        pytest.param([], Verdict.REFUSED, id="unknown to the sender"),
        pytest.param([ClaimState.REFUSED], Verdict.REFUSED, id="refused by both"),
        pytest.param([ClaimState.CLAIMED], Verdict.DUPLICATE, id="claimed before"),
    ],
)
def test_refusals_made_while_receiving_are_kept(transferred, verdict):
    """Guards against acknowledging an id that this member answered with "not run".

    A claim in the transferred state takes precedence, because the id may have started.
    """
    submission_id = (1_000).to_bytes(6, "big") + bytes(10)
    standby = ClaimRegister.as_standby(PARTITION, 2)
    refused = standby.propose(submission_id, b"digest", 2, now_ms=1_000)
    assert refused is Verdict.NOT_READY
    claims = [(submission_id, b"digest", state) for state in transferred]
    standby.install(RegisterSnapshot(0, claims))
    assert standby.acknowledge(submission_id, b"digest", 2, 1_000) is verdict


def test_agent_that_waits_for_old_state_enters_a_reopened_partition(cluster):
    """Guards against a partition that stays closed after it was reopened.

    The new primary is still waiting for the state of an older generation, because it
    did not learn that it had been replaced.
    """
    cluster.crash("a")
    cluster.suspect_peer("b", "c")
    cluster.settle(("b",))
    cluster.deliver_record("c", cluster.records[-1])
    cluster.packets.clear()
    cluster.suspect_peer("b", "d")
    cluster.settle(("b", "d"))
    assert generations(cluster, "c") == (2, False, Phase.RECEIVING)
    cluster.crash("b")
    cluster.crash("d")
    cluster.reopen(("c", "e"))
    record = cluster.records[-1]
    assert (record.generation, record.primary.name) == (4, "c")
    cluster.deliver_record("c", record)
    cluster.settle()
    assert generations(cluster, "c") == (4, True, Phase.ACTIVE)


def test_attached_attempt_is_not_told_not_run_for_an_open_one(cluster):
    """Guards against "not run" from a member that never held the claim.

    The first attempt runs under the newer generation. The other two are sent to the
    old primary: the second one is waiting for its claim, and the third one for the
    claim of the second, when that primary learns of the newer generation.
    """
    cluster.suspect_peer("b", "c")
    cluster.settle(("b", "c"))
    attempts = cluster.mint()
    cluster.send(attempts)
    cluster.settle(("b", "c"))
    cluster.packets.clear()
    for _ in range(2):
        cluster.send(attempts, cluster.records[0])
        cluster.settle(("a",), rounds=1)
    cluster.deliver_record("a", cluster.records[-1])
    cluster.settle()
    assert cluster.counts["start"] == TASKS
    assert "answer not_run" not in cluster.counts
    assert cluster.checker.violations == []


class ForgetfulStore:
    """Applies a swap, then once returns ``bad_value`` instead of the record."""

    def __init__(self, record, bad_value):
        self.value = StoredValue("", encode_record(record), 1)
        self.bad_value = bad_value
        self.swapped = False

    async def get(self, key):
        if self.swapped:
            self.swapped = False
            return self.bad_value
        return self.value

    async def compare_and_swap(self, writes):
        self.value = StoredValue("", writes[0].data, self.value.revision + 1)
        self.swapped = True
        return self.value.revision


@pytest.mark.anyio
@pytest.mark.parametrize("learns_record", [False, True])
@pytest.mark.parametrize("bad_value", [None, StoredValue("", b"{", 2)])
async def test_member_enters_the_generation_that_it_swapped_before_an_error(
    bad_value, learns_record
):
    """Guards against a partition that is closed until its primary is restarted."""
    primary, standby, other = (Member(name, f"{name}@1", name) for name in "abc")
    board = Blackboard(standby)
    board.partitions.apply(PartitionRecord(PARTITION, 1, primary, standby, revision=1))
    board.peers.observe(PeerState(other), board.clock())
    register = ClaimRegister.as_standby(PARTITION, 1)
    register.install(RegisterSnapshot(0, []))
    board.registers[PARTITION] = register
    store = ForgetfulStore(board.partitions.records[PARTITION], bad_value)
    group = SimpleNamespace(start_soon=lambda *arguments: None)
    primaries = PrimaryController(board, None, None, group)
    controller = FailoverController(board, None, store, primaries, group)
    controller.changing.add(PARTITION)
    with pytest.raises((MarigoldkeelError, AttributeError)):
        await controller.replace_member(PARTITION)
    if learns_record:
        controller.apply_record(decode_record(store.value.data, store.value.revision))
    assert controller._needs_change(register)
    await controller.replace_member(PARTITION)
    assert (register.generation, register.phase) == (2, Phase.TRANSFERRING)
    assert board.partitions.records[PARTITION].primary == standby
