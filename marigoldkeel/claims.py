"""The claim register, replicated on two members: decides which submissions may start.

Guarantees: as long as each new generation of a partition keeps one member of the
previous one, no submission id is confirmed twice. An id that a member has refused is
never confirmed in that generation, nor in a later one that starts from that member's
state. `acknowledge` records no refusal; the primary refuses an id that its standby did
not accept.

Assumptions: safety does not depend on clocks. Ids minted before the low-water mark are
refused, and the mark never falls, whatever clock it is raised by. Each message is
delivered at most once or carries the generation that it belongs to; messages may be
lost, delayed or reordered.

Usage::

    >>> primary = ClaimRegister.as_primary(partition=0, generation=1)
    >>> standby = ClaimRegister.as_standby(partition=0, generation=1)
    >>> standby.install(primary.snapshot())
    >>> primary.open()
    >>> submission_id = (1_000).to_bytes(6, "big") + bytes(10)
    >>> primary.propose(submission_id, b"digest", 1, now_ms=1_000).name
    'ACCEPTED'
    >>> standby.acknowledge(submission_id, b"digest", 1, now_ms=1_000).name
    'ACCEPTED'
    >>> primary.confirm(submission_id, 1)
    True
"""

from enum import Enum, IntEnum

from msgspec import Struct


# How far ahead of the local clock the mint time of an accepted id may be.
MAX_CLOCK_SKEW_MS = 60_000
MINT_TIME_BYTES = 6


class Verdict(IntEnum):
    """A member's decision on a claim.

    REFUSED: the id was refused here before, or the claim was proposed to a member that
    is not the primary.
    WRONG_GENERATION: the claim belongs to another generation, or the primary was asked
    to acknowledge it.
    """

    ACCEPTED = 1
    DUPLICATE = 2
    CONFLICT = 3
    REFUSED = 4
    WRONG_GENERATION = 5
    STOPPED = 6
    NOT_READY = 7
    TOO_OLD = 8
    TOO_NEW = 9


class ClaimState(IntEnum):
    """The state of a submission id at one member."""

    PENDING = 1
    CLAIMED = 2
    REFUSED = 3


class Phase(Enum):
    """The phase of a member in its generation.

    RECEIVING: the state is incomplete; the member neither acknowledges claims nor
    replaces the other member.
    TRANSFERRING: the primary has the complete state and is sending it to its standby.
    ACTIVE: claims are proposed and acknowledged.
    STOPPED: a change of members has begun; no further claim is acknowledged in this
    generation.
    """

    RECEIVING = "receiving"
    TRANSFERRING = "transferring"
    ACTIVE = "active"
    STOPPED = "stopped"


class ClaimRecord(Struct):
    """The claim of one submission id at one member."""

    digest: bytes
    state: ClaimState


class RegisterSnapshot(Struct):
    """The complete state of a register, as transferred to a new standby."""

    low_water_ms: int
    claims: list[tuple[bytes, bytes, ClaimState]]


def mint_time_of(submission_id: bytes) -> int:
    """Return the mint time in milliseconds, stored in the first six bytes of the id."""
    return int.from_bytes(submission_id[:MINT_TIME_BYTES], "big")


class ClaimRegister:
    """The claims of one partition, as held by one of its two members."""

    def __init__(
        self,
        partition: int,
        generation: int,
        is_primary: bool,
        phase: Phase,
        low_water_ms: int = 0,
    ):
        self.partition = partition
        self.generation = generation
        self.is_primary = is_primary
        self.phase = phase
        self.low_water_ms = low_water_ms
        self.claims: dict[bytes, ClaimRecord] = {}

    @classmethod
    def as_primary(
        cls, partition: int, generation: int, low_water_ms: int = 0
    ) -> "ClaimRegister":
        """Return an empty register of a primary whose standby has no state yet."""
        return cls(partition, generation, True, Phase.TRANSFERRING, low_water_ms)

    @classmethod
    def as_standby(cls, partition: int, generation: int) -> "ClaimRegister":
        """Return a register that is waiting for the state of the primary."""
        return cls(partition, generation, False, Phase.RECEIVING)

    @property
    def has_complete_state(self) -> bool:
        """Whether this member has the complete state and may start a new generation."""
        return self.phase is not Phase.RECEIVING

    def propose(
        self, submission_id: bytes, digest: bytes, generation: int, now_ms: int
    ) -> Verdict:
        """Record a claim at the primary, before it is sent to the standby.

        An id that is refused cannot be started here later: every refusal of an unknown
        id is recorded. An id below the low-water mark needs no record, as the mark
        never falls.
        """
        verdict = self._check_claim(submission_id, digest, generation, now_ms)
        if verdict is Verdict.ACCEPTED and not self.is_primary:
            verdict = Verdict.REFUSED
        if verdict is Verdict.ACCEPTED:
            self.claims[submission_id] = ClaimRecord(digest, ClaimState.PENDING)
        else:
            self._record_refusal(submission_id, digest)
        return verdict

    def acknowledge(
        self, submission_id: bytes, digest: bytes, generation: int, now_ms: int
    ) -> Verdict:
        """Record a claim at the standby; the primary may start it only if ACCEPTED."""
        if self.is_primary:
            # Only the primary of another generation sends its claims to this member.
            return Verdict.WRONG_GENERATION
        verdict = self._check_claim(submission_id, digest, generation, now_ms)
        if verdict is Verdict.ACCEPTED:
            self.claims[submission_id] = ClaimRecord(digest, ClaimState.CLAIMED)
        return verdict

    def confirm(self, submission_id: bytes, generation: int) -> bool:
        """Claim or refuse, at the primary, an id that the standby acknowledged.

        A claim whose generation was stopped in the meantime is refused, because the
        standby may already have taken over.

        :return: Whether this call has claimed the id, so that the primary may start it.
        """
        record = self.claims.get(submission_id)
        if (
            record is None
            or record.state is not ClaimState.PENDING
            or self.generation != generation
            or self.phase is not Phase.ACTIVE
        ):
            self.refuse(submission_id)
            return False
        record.state = ClaimState.CLAIMED
        return True

    def refuse(self, submission_id: bytes, digest: bytes = b"") -> bool:
        """Record that the id must never be started here.

        :return: False if the id is already claimed.
        """
        record = self.claims.get(submission_id)
        if record is None:
            self.claims[submission_id] = ClaimRecord(digest, ClaimState.REFUSED)
            return True
        if record.state is ClaimState.CLAIMED:
            return False
        record.state = ClaimState.REFUSED
        return True

    def stop(self) -> bool:
        """Stop acknowledging claims in this generation, before the members change.

        Pending claims are refused. A generation that is stopped stays stopped.

        :return: False if the state is incomplete; nothing is stopped then, and the
            member must not start a new generation.
        """
        if not self.has_complete_state:
            return False
        self.phase = Phase.STOPPED
        for record in self.claims.values():
            if record.state is ClaimState.PENDING:
                record.state = ClaimState.REFUSED
        return True

    def advance(self, generation: int, low_water_ms: int = 0) -> None:
        """Become primary of a newer generation.

        Call this only once the store holds the partition record of that generation.
        """
        if self.phase is not Phase.STOPPED or generation <= self.generation:
            raise ValueError(
                "advance requires a stopped register and a newer generation"
            )
        self.generation = generation
        self.is_primary = True
        self.phase = Phase.TRANSFERRING
        self.raise_low_water(low_water_ms)

    def open(self) -> None:
        """Start accepting claims, once the standby has the complete state."""
        if self.phase is Phase.TRANSFERRING:
            self.phase = Phase.ACTIVE

    def snapshot(self) -> RegisterSnapshot:
        """Return the complete state, to be sent to a new standby."""
        return RegisterSnapshot(
            self.low_water_ms,
            [
                (submission_id, record.digest, record.state)
                for submission_id, record in self.claims.items()
            ],
        )

    def install(self, snapshot: RegisterSnapshot) -> None:
        """Load the transferred state at a new standby and start acknowledging claims.

        Ignored unless the member is in phase RECEIVING, because a duplicate transfer
        would erase the claims acknowledged since the first one. Ids that the member
        refused while receiving stay refused, unless the snapshot contains them: those
        are claimed or refused already, so they are not confirmed later.
        """
        if self.phase is not Phase.RECEIVING:
            return
        refused_while_receiving = self.claims
        self.low_water_ms = snapshot.low_water_ms
        self.claims = {
            submission_id: ClaimRecord(digest, ClaimState(state))
            for submission_id, digest, state in snapshot.claims
        }
        for submission_id, record in refused_while_receiving.items():
            self.claims.setdefault(submission_id, record)
        self.phase = Phase.ACTIVE

    def raise_low_water(self, low_water_ms: int) -> None:
        """Raise the low-water mark and delete the claims below it.

        Ids minted before ``low_water_ms`` are refused from then on.
        """
        if low_water_ms <= self.low_water_ms:
            return
        self.low_water_ms = low_water_ms
        self.claims = {
            submission_id: record
            for submission_id, record in self.claims.items()
            if mint_time_of(submission_id) >= low_water_ms
        }

    def _check_claim(
        self, submission_id: bytes, digest: bytes, generation: int, now_ms: int
    ) -> Verdict:
        record = self.claims.get(submission_id)
        if record is not None:
            if record.state is ClaimState.REFUSED:
                return Verdict.REFUSED
            return Verdict.DUPLICATE if record.digest == digest else Verdict.CONFLICT
        if generation != self.generation:
            return Verdict.WRONG_GENERATION
        if self.phase is Phase.STOPPED:
            return Verdict.STOPPED
        if self.phase is not Phase.ACTIVE:
            return Verdict.NOT_READY
        mint_ms = mint_time_of(submission_id)
        if mint_ms < self.low_water_ms:
            return Verdict.TOO_OLD
        if mint_ms > now_ms + MAX_CLOCK_SKEW_MS:
            return Verdict.TOO_NEW
        return Verdict.ACCEPTED

    def _record_refusal(self, submission_id: bytes, digest: bytes) -> None:
        known = submission_id in self.claims
        if not known and mint_time_of(submission_id) >= self.low_water_ms:
            self.refuse(submission_id, digest)
