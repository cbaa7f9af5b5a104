"""Runs the real controllers of several agents under an interleaving set by a test.

Each coroutine of `FailoverController` and `PrimaryController` is suspended wherever it
waits for the store, a peer, a delay or an event. The test chooses which one to resume,
so every run is reproducible and no step takes real time.
"""

import json
from types import SimpleNamespace
from unittest import mock

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import mint_time_of
from marigoldkeel.exceptions import (
    MarigoldkeelError,
    PeerTimeout,
    PeerUnavailable,
    StoreUnavailable,
)
from marigoldkeel.failover import FailoverController
from marigoldkeel.identifiers import mint_incarnation
from marigoldkeel.memory import MemoryStore
from marigoldkeel.messages import Claim, Move, Submit, TaskResult, Transfer
from marigoldkeel.models import Member, Outcome, TaskState
from marigoldkeel.partitions import (
    decode_record,
    encode_record,
    partition_key,
    plan_creation,
)
from marigoldkeel.primaries import PrimaryController
from marigoldkeel.reopening import plan_reopening
from marigoldkeel.stores import Write
from tests.histories import Answered, HistoryChecker, Sent, Start


AGENTS = ("a", "b", "c", "d", "e")
PARTICIPANTS = (*AGENTS, "clients")
PARTITION = 0
START_MS = 2_000_000_000
TASKS = 2


class Suspend:
    """The operation that a suspended coroutine waits for."""

    def __init__(self, kind, *details):
        self.kind = kind
        self.details = details

    def __await__(self):
        return (yield self)


class ModelEvent:
    def __init__(self):
        self.is_set = False

    def set(self):
        self.is_set = True

    def wait(self):
        return Suspend("event", self)


class NoDeadline:
    def __enter__(self):
        return self

    def __exit__(self, *exception_info):
        return False


MODEL_ANYIO = SimpleNamespace(
    sleep=lambda seconds: Suspend("sleep"),
    move_on_after=lambda seconds: NoDeadline(),
    Event=ModelEvent,
)


class ModelStore:
    """The store as one agent sees it."""

    def get(self, key):
        return Suspend("get", key)

    def compare_and_swap(self, writes):
        return Suspend("swap", writes)


class ModelPeers:
    def request(self, address, content, timeout_s):
        return Suspend("request", address, content)


class ModelBoard(Blackboard):
    """A board on which ``candidates`` replaces the peers known from heartbeats."""

    def live_members(self):
        return [self.member, *self.candidates]


class ModelPrimary(PrimaryController):
    """Runs the tasks of a job itself, one after the other, without placement."""

    async def _run(self, job):
        name = self.board.member.incarnation
        for sequence in range(TASKS):
            await Suspend("start")
            for index in job.take(name, sequence, 1):
                payload = job.submission.payloads[index]
                self.cluster.start(job.submission.submission_id, index, name)
                result = TaskResult(index, TaskState.SUCCEEDED, payload)
                job.record([result], name, 0.0)


class Agent:
    """One start of an agent process."""

    def __init__(self, cluster, name, incarnation=None):
        self.cluster = cluster
        self.alive = True
        self.member = Member(
            name, incarnation or mint_incarnation(name), name, f"domain-{name}"
        )
        self.board = ModelBoard(
            self.member, clock=lambda: 0.0, wall_ms=lambda: cluster.now_ms, seed=0
        )
        self.board.candidates = []
        self.board.partitions.set_partition_count(1)
        group = SimpleNamespace(
            start_soon=lambda function, *arguments: cluster.spawn(
                self, function(*arguments)
            )
        )
        self.primaries = ModelPrimary(self.board, ModelPeers(), None, group)
        self.primaries.cluster = cluster
        self.controller = FailoverController(
            self.board, ModelPeers(), ModelStore(), self.primaries, group
        )
        self.handlers = {
            Submit: self.primaries.submit,
            Claim: self.controller.receive_claim,
            Transfer: self.controller.receive_transfer,
            Move: self.controller.receive_move,
        }

    @property
    def register(self):
        return self.board.registers.get(PARTITION)


class Operation:
    """A suspended coroutine; ``agent`` is None for that of a client."""

    def __init__(self, agent, coroutine, done):
        self.agent = agent
        self.coroutine = coroutine
        self.done = done
        self.wait = Suspend("begin")


def participant_of(operation):
    return operation.agent.member.name if operation.agent else "clients"


class Packet:
    """A message in flight, or a reply if ``address`` is None."""

    def __init__(self, address, content, operation):
        self.address = address
        self.content = content
        self.operation = operation
        self.wait = operation.wait


class ClientSubmission:
    """The state of one submission at its client."""

    def __init__(self, cluster, submission_id):
        self.submission_id = submission_id
        self.sent = 0
        # Attempts without an answer or with the answer "unknown".
        self.unanswered = set()
        self.ended = False
        self.body = json.dumps([f"{submission_id.hex()}.{n}" for n in range(TASKS)])


class SimulatedCluster:
    """The agents, the store, the network and the clients of one partition."""

    def __init__(self):
        self.patches = [
            mock.patch(f"marigoldkeel.{module}.anyio", MODEL_ANYIO)
            for module in ("failover", "primaries", "jobs")
        ]
        # Small parts, so that most transfers consist of several.
        self.patches.append(mock.patch("marigoldkeel.failover.CLAIMS_PER_MESSAGE", 2))
        for patch in self.patches:
            patch.start()
        self.now_ms = START_MS
        self.operations = []
        self.packets = []
        self.delayed_writes = []
        self.expected = {}
        self.checker = HistoryChecker(self.expected)
        self.submissions = {}
        self.store_down = False
        self.counts = {}
        self.store = MemoryStore()
        self.agents = {name: Agent(self, name) for name in AGENTS}
        members = [agent.member for agent in self.agents.values()]
        self.records = []
        self.write(
            [
                Write(
                    partition_key(PARTITION),
                    encode_record(plan_creation(PARTITION, members[0], members[:2])),
                    0,
                )
            ]
        )
        for agent in self.agents.values():
            agent.controller.apply_record(self.records[0])
        self.settle()

    def close(self):
        for operation in self.operations:
            operation.coroutine.close()
        for patch in self.patches:
            patch.stop()

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    # Store

    def read(self):
        key = partition_key(PARTITION).encode()
        return self.store.read(key, key + b"\0")[0][0]

    def write(self, writes):
        revision = self.store.swap(
            {write.key.encode(): write.expected_revision for write in writes},
            {write.key.encode(): write.data for write in writes},
        )
        if revision is not None:
            value = self.read()
            self.records.append(decode_record(value.data, value.revision))
        return revision

    def apply_delayed_write(self, index):
        if self.delayed_writes and not self.store_down:
            position = index % len(self.delayed_writes)
            if self.write(self.delayed_writes.pop(position)) is not None:
                self.count("delayed write applied")

    # Coroutines

    def spawn(self, agent, coroutine, done=None):
        operation = Operation(agent, coroutine, done)
        self.operations.append(operation)
        return operation

    def resume(self, operation, value=None, error=None):
        self.operations.remove(operation)
        coroutine = operation.coroutine
        try:
            wait = coroutine.throw(error) if error else coroutine.send(value)
        except StopIteration as stop:
            result = stop.value
        except MarigoldkeelError as raised:
            result = raised
        else:
            operation.wait = wait
            self.operations.append(operation)
            if wait.kind == "request":
                self.packets.append(Packet(*wait.details, operation))
            return
        if operation.done:
            operation.done(result)

    def step(self, operation, fault=0):
        """Resume one coroutine, with or without a fault.

        :param fault: 0: none; for a swap, 1: its answer is lost, 2: its answer is lost
            and the write is delayed, 3: it is not written. Any number but 0 fails a
            read and times out a request.
        """
        kind, details = operation.wait.kind, operation.wait.details
        if kind in ("begin", "sleep", "start") or kind == "event" and details[0].is_set:
            self.resume(operation)
        elif kind == "get":
            if fault or self.store_down:
                self.resume(operation, error=StoreUnavailable("no answer", "get"))
            else:
                self.resume(operation, self.read())
        elif kind == "swap":
            self._swap(operation, details[0], fault)
        elif kind == "request" and fault:
            self.count("request timed out")
            self.resume(operation, error=PeerTimeout("no reply", "request"))

    def _swap(self, operation, writes, fault):
        if fault == 2:
            self.delayed_writes.append(writes)
        revision = None
        if fault in (0, 1) and not self.store_down:
            revision = self.write(writes)
            self.count("swap" if revision else "swap lost a race")
        if fault or self.store_down:
            self.count("swap unanswered")
            self.resume(operation, error=StoreUnavailable("no answer", "swap"))
        else:
            self.resume(operation, revision)

    def step_waiting(self, name, kind, fault=0):
        """Resume the only coroutine of an agent that waits for ``kind``."""
        (operation,) = [
            each
            for each in self.operations
            if each.wait.kind == kind and participant_of(each) == name
        ]
        self.step(operation, fault)

    def take_packets(self, message_class):
        """Return the packets in flight with a message of one class, oldest first."""
        return [each for each in self.packets if type(each.content) is message_class]

    def deliver(self, packet):
        """Deliver a message, or a reply whose receiver is still waiting for it."""
        self.packets.remove(packet)
        operation = packet.operation
        waits = operation in self.operations and operation.wait is packet.wait
        if packet.address is None:
            if waits and isinstance(packet.content, MarigoldkeelError):
                self.resume(operation, error=packet.content)
            elif waits:
                self.resume(operation, packet.content)
            return
        agent = self.agents[packet.address]
        if not agent.alive:
            if waits and operation.agent:
                error = PeerUnavailable("connection refused", "connect")
                self.resume(operation, error=error)
            return

        def reply(content):
            answer = Packet(None, content, operation)
            answer.wait = packet.wait
            self.packets.append(answer)

        handler = agent.handlers[type(packet.content)]
        self.resume(self.spawn(agent, handler(packet.content), reply))

    def settle(self, participants=PARTICIPANTS, rounds=30):
        """Run the named participants without faults for a number of rounds."""
        for _ in range(rounds):
            for packet in list(self.packets):
                receiver = packet.address or participant_of(packet.operation)
                if packet in self.packets and receiver in participants:
                    self.deliver(packet)
            for operation in list(self.operations):
                if (
                    operation in self.operations
                    and participant_of(operation) in participants
                ):
                    self.step(operation)

    # Agents

    def crash(self, name):
        agent = self.agents[name]
        agent.alive = False
        for operation in list(self.operations):
            if operation.agent is agent:
                self.operations.remove(operation)
                operation.coroutine.close()

    def restart(self, name, incarnation=None):
        self.crash(name)
        self.agents[name] = Agent(self, name, incarnation)

    def suspect_peer(self, name, candidate):
        """Make a member suspect the other one, whether or not that one is alive."""
        agent = self.agents[name]
        agent.board.candidates = [self.agents[candidate].member]
        register = agent.register
        if (
            agent.alive
            and register is not None
            and PARTITION not in agent.controller.changing
        ):
            agent.controller._start_change(PARTITION, agent.controller.replace_member)

    def move(self, name):
        """Make a primary ask its standby to replace it."""
        agent = self.agents[name]
        record = agent.board.partitions.records.get(PARTITION)
        if agent.alive and agent.register is not None and agent.register.is_primary:
            self.count("move")
            self.spawn(agent, agent.controller._request_move(record))

    def deliver_record(self, name, record):
        if self.agents[name].alive:
            self.agents[name].controller.apply_record(record)

    def raise_low_water(self, name):
        controller = self.agents[name].controller
        controller.low_water_raised_at = float("-inf")
        controller._raise_low_water()

    def is_lost(self, member):
        agent = self.agents[member.name]
        return not agent.alive or agent.member.incarnation != member.incarnation

    def reopen(self, names=AGENTS):
        """Reopen the partition if both members are lost and two agents are alive."""
        record = self.records[-1]
        if self.store_down or not (
            self.is_lost(record.primary) and self.is_lost(record.standby)
        ):
            return
        live = [self.agents[name].member for name in names if self.agents[name].alive]
        if len(live) < 2:
            return
        planned = plan_reopening(record, live, self.now_ms)
        key = partition_key(PARTITION)
        self.write([Write(key, encode_record(planned), record.revision)])
        self.count("reopening")

    # Clients

    def mint(self, skew_ms=0):
        number = len(self.submissions)
        mint_ms = self.now_ms + skew_ms
        submission_id = mint_ms.to_bytes(6, "big") + number.to_bytes(10, "big")
        assert mint_time_of(submission_id) == mint_ms
        attempts = ClientSubmission(self, submission_id)
        self.submissions[submission_id] = attempts
        self.expected[submission_id] = json.loads(attempts.body)
        return attempts

    def send(self, attempts, record=None, to_standby=False):
        """Send an attempt under a record known to the entry, possibly an old one."""
        record = record or self.records[-1]
        if attempts.ended:
            return
        attempt = attempts.sent = attempts.sent + 1
        submit = Submit(
            PARTITION,
            record.generation,
            attempts.submission_id,
            "team",
            "kind",
            1,
            300_000,
            len(attempts.unanswered),
            TASKS,
            attempts.body.encode(),
        )
        self.checker.add(Sent(attempts.submission_id, attempt))
        earlier = len(attempts.unanswered)
        attempts.unanswered.add(attempt)
        member = record.standby if to_standby else record.primary

        def done(answer):
            if not isinstance(answer, MarigoldkeelError):
                self._answer(attempts, attempt, answer, earlier)

        operation = self.spawn(None, self._request(member.address, submit), done)
        self.resume(operation)

    async def _request(self, address, submit):
        return await ModelPeers().request(address, submit, 0)

    def _answer(self, attempts, attempt, answer, earlier):
        if answer.outcome is Outcome.NOT_RUN and earlier:
            # A member that knows of unanswered attempts must not answer "not run" if
            # one of them has started.
            assert attempts.submission_id not in self.checker.starts
        unanswered = attempts.unanswered - {attempt}
        if answer.outcome is not Outcome.UNKNOWN:
            attempts.unanswered = unanswered
        self.count(f"answer {answer.outcome}")
        if not unanswered and answer.outcome is not Outcome.UNKNOWN:
            # The caller has its answer or continues with a new id.
            attempts.ended = True
        results = json.loads(answer.body) if answer.body else []
        self.checker.add(
            Answered(
                attempts.submission_id,
                attempt,
                answer.outcome,
                results,
                self.unanswered_known(unanswered),
            )
        )

    def unanswered_known(self, unanswered):
        """Return the number of unanswered attempts that the client considers."""
        return len(unanswered)

    def start(self, submission_id, task, where):
        self.count("start")
        self.checker.add(Start(submission_id, task, where))
