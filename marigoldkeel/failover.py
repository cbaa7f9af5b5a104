"""Replaces failed members of partitions and transfers the state of the partition.

A swap is the compare-and-swap that replaces the stored record of a partition with
that of the next generation. A member that suspects the other one attempts a swap;
which generation is valid is decided by the record in the store alone.
"""

import uuid

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.blackboard import Blackboard
from marigoldkeel.claims import (
    ClaimRegister,
    ClaimState,
    Phase,
    RegisterSnapshot,
    Verdict,
)
from marigoldkeel.exceptions import MarigoldkeelError, StoreUnavailable
from marigoldkeel.messages import (
    Claim,
    Claimed,
    ClaimEntry,
    Done,
    Move,
    Transfer,
    Transferred,
)
from marigoldkeel.models import PartitionRecord
from marigoldkeel.partitions import (
    PARTITION_COUNT_KEY,
    choose_primary,
    decode_record,
    encode_record,
    partition_key,
    plan_creation,
    plan_replacement,
)
from marigoldkeel.primaries import PrimaryController
from marigoldkeel.stores import KeyValueStore, Write
from marigoldkeel.transports import PeerPool


CHECK_INTERVAL_S = 0.25
STORE_RETRY_DELAY_S = 0.25
TRANSFER_TIMEOUT_S = 2.0
TRANSFER_RETRY_DELAY_S = 0.25
CLAIMS_PER_MESSAGE = 5000
# Time for the first heartbeats, so that enough peers are known to choose members from.
CREATION_DELAY_S = 1.5
MOVE_POLL_INTERVAL_S = 0.02
LOW_WATER_INTERVAL_S = 10.0
# How long a stopping agent waits for an agent to hand its partitions over to. An agent
# that restarts is back within a few seconds.
SUCCESSOR_TIMEOUT_S = 10.0


class IncomingTransfer:
    """The part of a partition's state that has been received so far."""

    __slots__ = ("transfer_id", "sequence", "claims")

    def __init__(self, transfer_id: str):
        self.transfer_id = transfer_id
        self.sequence = 0
        self.claims: list[tuple[bytes, bytes, ClaimState]] = []


class FailoverController:
    """Keeps two live members in each partition of an agent.

    :ivar changing: The partitions that are being created or whose member is being
        replaced.
    """

    def __init__(
        self,
        board: Blackboard,
        peers: PeerPool,
        store: KeyValueStore,
        primaries: PrimaryController,
        group: TaskGroup,
    ):
        self.board = board
        self.peers = peers
        self.store = store
        self.primaries = primaries
        self.group = group
        self.changing: set[int] = set()
        self.incoming_transfers: dict[int, IncomingTransfer] = {}
        self.started_at = board.clock()
        self.low_water_raised_at = board.clock()

    async def run_forever(self) -> None:
        """Replace failed members, create missing partitions and delete old claims."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.board.compensate_local_pause(CHECK_INTERVAL_S)
            for partition, register in list(self.board.registers.items()):
                if partition not in self.changing and self._needs_change(register):
                    self._start_change(partition, self.replace_member)
            if self.board.clock() - self.started_at > CREATION_DELAY_S:
                self._create_missing()
            self._raise_low_water()
            self.primaries.reap()

    def _start_change(self, partition: int, change) -> None:
        self.changing.add(partition)
        self.group.start_soon(self._run_change, partition, change)

    async def _run_change(self, partition: int, change) -> None:
        try:
            await change(partition)
        except MarigoldkeelError as error:
            logger.info(
                "partition {}: creation or change of members not completed: {}",
                partition,
                error,
            )
            await anyio.sleep(STORE_RETRY_DELAY_S)
        finally:
            self.changing.discard(partition)

    def _needs_change(self, register: ClaimRegister) -> bool:
        if register.phase is Phase.RECEIVING or self.board.leaving:
            return False
        if register.phase is Phase.STOPPED:
            return True
        record = self.board.partitions.records.get(register.partition)
        if record is None or record.generation != register.generation:
            return False
        other = record.standby if register.is_primary else record.primary
        now = self.board.clock()
        if register.is_primary and self.board.peers.is_leaving(other.incarnation):
            return True
        peers = self.board.peers
        return peers.is_suspected(other.incarnation, now) or peers.is_unreachable(
            other.incarnation, now
        )

    def _create_missing(self) -> None:
        table = self.board.partitions
        if table.version == 0 or self.board.leaving:
            return
        missing = table.missing
        members = list(self.board.live_members()) if missing else []
        for partition in missing:
            if partition in self.changing:
                continue
            if choose_primary(partition, members) == self.board.member:
                self._start_change(partition, self.create_partition)

    async def create_partition(self, partition: int) -> None:
        """Create the record of a partition that does not have one."""
        await self._confirm_count()
        if partition >= self.board.partitions.partition_count:
            return
        planned = plan_creation(partition, self.board.member, self.board.live_members())
        if planned is None:
            return
        try:
            await self._swap(planned, 0)
        except StoreUnavailable as error:
            logger.info("partition {}: no answer to the creation: {}", partition, error)
        record = await self._read_with_retries(partition)
        if record is not None:
            self.apply_record(record)

    async def _confirm_count(self) -> None:
        """Use the stored number of partitions; store it if there is none."""
        table = self.board.partitions
        stored = await self.store.get(PARTITION_COUNT_KEY)
        if stored is None:
            data = str(table.partition_count).encode()
            await self.store.compare_and_swap([Write(PARTITION_COUNT_KEY, data, 0)])
            stored = await self.store.get(PARTITION_COUNT_KEY)
        table.set_partition_count(int(stored.data))

    async def replace_member(self, partition: int) -> None:
        """Replace the other member and become primary of the next generation.

        Once the register is stopped, the swap is repeated until the stored record has a
        new generation, whichever member wrote it.
        """
        register = self.board.registers.get(partition)
        record = await self._read_record(partition)
        if register is None or record is None:
            return
        if record.generation != register.generation:
            self._leave_generation(register, record)
            return
        planned = self._plan(record)
        if planned is None or not register.stop():
            return
        while True:
            await self._try_swap(planned, record.revision)
            record = await self._read_with_retries(partition)
            if record.generation != register.generation:
                break
            planned = self._plan(record) or planned
        self._leave_generation(register, record)

    def _leave_generation(
        self, register: ClaimRegister, record: PartitionRecord
    ) -> None:
        """Enter the stored generation, if this member is its primary, or leave."""
        is_newer = record.generation > register.generation
        is_primary = record.primary.incarnation == self.board.member.incarnation
        if is_newer and is_primary and register.stop():
            self._enter_as_primary(register, record)
        else:
            self.apply_record(record)

    def _plan(self, record: PartitionRecord) -> PartitionRecord | None:
        return plan_replacement(record, self.board.member, self.board.live_members())

    async def _try_swap(self, planned: PartitionRecord, revision: int) -> None:
        try:
            await self._swap(planned, revision)
        except StoreUnavailable as error:
            # The swap may have taken effect although the answer was lost. The caller
            # reads the record to find out.
            logger.info(
                "partition {}: no answer to the swap: {}", planned.partition, error
            )
            await anyio.sleep(STORE_RETRY_DELAY_S)

    async def _swap(self, planned: PartitionRecord, revision: int) -> None:
        key = partition_key(planned.partition)
        write = Write(key, encode_record(planned), revision)
        self.board.events["swaps_tried"] += 1
        await self.store.compare_and_swap([write])

    async def _read_record(self, partition: int) -> PartitionRecord | None:
        value = await self.store.get(partition_key(partition))
        return decode_record(value.data, value.revision) if value else None

    async def _read_with_retries(self, partition: int) -> PartitionRecord | None:
        while True:
            try:
                return await self._read_record(partition)
            except StoreUnavailable:
                await anyio.sleep(STORE_RETRY_DELAY_S)

    def apply_record(self, record: PartitionRecord) -> None:
        """Apply a record from the store or a peer, and enter or leave the partition."""
        self.board.partitions.apply(record)
        record = self.board.partitions.records[record.partition]
        register = self.board.registers.get(record.partition)
        if register is not None and register.generation >= record.generation:
            return
        own = self.board.member.incarnation
        if record.primary.incarnation == own:
            self._enter_or_create(register, record)
            return
        if register is not None:
            register.stop()
            del self.board.registers[record.partition]
            self.primaries.step_down(record.partition)
            logger.info(
                "partition {}: register closed, superseded by generation {}",
                record.partition,
                record.generation,
            )
        if record.standby.incarnation == own:
            self.board.registers[record.partition] = ClaimRegister.as_standby(
                record.partition, record.generation
            )

    def _enter_or_create(
        self, register: ClaimRegister | None, record: PartitionRecord
    ) -> None:
        if register is not None and register.has_complete_state:
            # During a change of members, `replace_member` enters the generation.
            if record.partition not in self.changing and register.stop():
                self._enter_as_primary(register, record)
        elif record.reopened or (register is None and record.generation == 1):
            register = ClaimRegister.as_primary(
                record.partition, record.generation, record.low_water_ms
            )
            self.board.registers[record.partition] = register
            self.group.start_soon(self.transfer, register, record)

    def _enter_as_primary(
        self, register: ClaimRegister, record: PartitionRecord
    ) -> None:
        self.board.partitions.apply(record)
        register.advance(record.generation, record.low_water_ms)
        self.primaries.adopt_generation(record.partition, record.generation)
        self.board.events["swaps_won"] += 1
        logger.info(
            "partition {}: became primary of generation {} with standby {}",
            record.partition,
            record.generation,
            record.standby.name,
        )
        self.group.start_soon(self.transfer, register, record)

    async def transfer(self, register: ClaimRegister, record: PartitionRecord) -> None:
        """Send the complete state to the new standby, then accept claims.

        Retried until the standby has it or the register enters another generation.
        """
        while (
            self.board.registers.get(record.partition) is register
            and register.generation == record.generation
            and register.phase is Phase.TRANSFERRING
        ):
            try:
                if await self._send_state(register, record):
                    if register.generation == record.generation:
                        register.open()
                    return
            except MarigoldkeelError as error:
                logger.info(
                    "partition {}: transfer to the standby failed: {}",
                    record.partition,
                    error,
                )
            await anyio.sleep(TRANSFER_RETRY_DELAY_S)

    async def _send_state(
        self, register: ClaimRegister, record: PartitionRecord
    ) -> bool:
        snapshot = register.snapshot()
        transfer_id = uuid.uuid4().hex
        message_count = max(1, -(-len(snapshot.claims) // CLAIMS_PER_MESSAGE))
        for sequence in range(message_count):
            start = sequence * CLAIMS_PER_MESSAGE
            claims = snapshot.claims[start : start + CLAIMS_PER_MESSAGE]
            message = Transfer(
                transfer_id,
                record.partition,
                record.generation,
                record.standby.incarnation,
                snapshot.low_water_ms,
                sequence,
                [ClaimEntry(*claim) for claim in claims],
                sequence == message_count - 1,
                encode_record(record),
            )
            reply = await self.peers.request(
                record.standby.address, message, TRANSFER_TIMEOUT_S
            )
            if not reply.accepted:
                return False
        return True

    async def receive_transfer(self, message: Transfer) -> Transferred:
        """Store a part of a partition's state, as the new standby.

        The parts of a transfer must arrive in order; any other part is rejected.
        """
        if message.incarnation != self.board.member.incarnation:
            return Transferred(False)
        self.apply_record(decode_record(message.record))
        register = self.board.registers.get(message.partition)
        if register is None or register.generation != message.generation:
            return Transferred(False, register.generation if register else 0)
        if register.phase is not Phase.RECEIVING:
            return Transferred(not register.is_primary, register.generation)
        incoming = self.incoming_transfers.get(message.partition)
        if message.sequence == 0:
            incoming = IncomingTransfer(message.transfer_id)
            self.incoming_transfers[message.partition] = incoming
        if (
            incoming is None
            or incoming.transfer_id != message.transfer_id
            or incoming.sequence != message.sequence
        ):
            return Transferred(False, register.generation)
        incoming.sequence += 1
        incoming.claims += [
            (claim.submission_id, claim.digest, ClaimState(claim.state))
            for claim in message.claims
        ]
        if message.last:
            register.install(RegisterSnapshot(message.low_water_ms, incoming.claims))
            del self.incoming_transfers[message.partition]
        return Transferred(True, register.generation)

    async def receive_claim(self, message: Claim) -> Claimed:
        """Acknowledge or refuse a claim of the primary, as the standby."""
        register = self.board.registers.get(message.partition)
        if register is None:
            return Claimed(Verdict.NOT_READY)
        verdict = register.acknowledge(
            message.submission_id,
            message.digest,
            message.generation,
            self.board.wall_ms(),
        )
        return Claimed(verdict, register.generation)

    async def receive_move(self, message: Move) -> Done:
        """Become primary in place of a primary that is about to stop.

        :raises MarigoldkeelError: If the generation is still the same afterwards.
        """
        register = self.board.registers.get(message.partition)
        if register is None or register.generation != message.generation:
            return Done()
        # The change runs in a task of its own: a swap that has begun must be completed
        # even if the connection of the request is closed.
        if message.partition not in self.changing:
            self._start_change(message.partition, self.replace_member)
        while message.partition in self.changing:
            await anyio.sleep(MOVE_POLL_INTERVAL_S)
        if register.generation == message.generation:
            raise MarigoldkeelError("the partition still has the same members", "move")
        return Done()

    async def hand_over(self) -> None:
        """Leave every partition, by asking its other member to replace this one.

        As a standby, wait until the primary replaces it. Gives up when no agent that
        could be a member has been known for a while, because the whole fleet stops.
        """
        own = self.board.member.incarnation
        successor_known_at = self.board.clock()
        while self.board.registers:
            now = self.board.clock()
            if self.board.peers.live_agents(now):
                successor_known_at = now
            elif now - successor_known_at > SUCCESSOR_TIMEOUT_S:
                logger.warning(
                    "{} partitions not handed over: no other agent stays",
                    len(self.board.registers),
                )
                return
            for partition, register in list(self.board.registers.items()):
                record = self.board.partitions.records[partition]
                if own not in (record.primary.incarnation, record.standby.incarnation):
                    self.apply_record(record)
                    continue
                if register.is_primary and record.generation == register.generation:
                    await self._request_move(record)
                else:
                    await self._refresh_record(partition)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _request_move(self, record: PartitionRecord) -> None:
        message = Move(record.partition, record.generation)
        try:
            await self.peers.request(
                record.standby.address, message, TRANSFER_TIMEOUT_S
            )
        except MarigoldkeelError as error:
            logger.info("partition {}: move failed: {}", record.partition, error)
        await self._refresh_record(record.partition)

    async def _refresh_record(self, partition: int) -> None:
        try:
            record = await self._read_record(partition)
        except MarigoldkeelError as error:
            logger.info("partition {}: record not read: {}", partition, error)
            return
        if record is not None:
            self.apply_record(record)

    def _raise_low_water(self) -> None:
        now = self.board.clock()
        if now - self.low_water_raised_at < LOW_WATER_INTERVAL_S:
            return
        self.low_water_raised_at = now
        retention_ms = int(self.board.setting("retention_s") * 1000)
        for register in self.board.registers.values():
            if register.phase is Phase.ACTIVE:
                register.raise_low_water(self.board.wall_ms() - retention_ms)
