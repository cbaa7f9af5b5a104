"""The two-member claim register: decides which submissions may start.

Promise: while the members of a partition change only through generations that
keep one member of the generation before, no id is confirmed twice, and an id
refused by a member is never confirmed in that generation or a later one entered
from that member's state.

Assumes nothing of clocks for safety: mint times only move a mark that rises.
Assumes of the network that a message is delivered at most once or refers to a
generation; loss, delay and reordering are allowed.

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

from dataclasses import dataclass
from enum import Enum, IntEnum


MAX_CLOCK_SKEW_MS = 60_000
MINT_TIME_BYTES = 6


class Verdict(IntEnum):
    """What a member says of a claim."""

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
    """The state of one id at one member."""

    PENDING = 1
    CLAIMED = 2
    REFUSED = 3


class Phase(Enum):
    """What a member may do in its generation.

    RECEIVING: the state is incomplete; it neither acknowledges nor swaps.
    TRANSFERRING: it has the whole state; its new standby does not yet.
    ACTIVE: claims are proposed and acknowledged.
    STOPPED: a swap has begun; nothing is acknowledged in this generation again.
    """

    RECEIVING = "receiving"
    TRANSFERRING = "transferring"
    ACTIVE = "active"
    STOPPED = "stopped"


@dataclass(slots=True)
class ClaimRecord:
    """What a member knows of one id."""

    digest: bytes
    state: ClaimState


@dataclass(slots=True)
class RegisterSnapshot:
    """The whole state of a register, as handed to a new standby."""

    low_water_ms: int
    claims: list[tuple[bytes, bytes, ClaimState]]


def mint_time_of(submission_id: bytes) -> int:
    """Return the mint time in milliseconds held in the id's first six bytes."""
    return int.from_bytes(submission_id[:MINT_TIME_BYTES], "big")


class ClaimRegister:
    """The claims of one partition at one of its two members."""

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
        """Return an empty register that has yet to be transferred to a standby."""
        return cls(partition, generation, True, Phase.TRANSFERRING, low_water_ms)

    @classmethod
    def as_standby(cls, partition: int, generation: int) -> "ClaimRegister":
        """Return a register that waits for the primary's state."""
        return cls(partition, generation, False, Phase.RECEIVING)

    @property
    def has_complete_state(self) -> bool:
        """Whether this member counts as a survivor of its generation."""
        return self.phase is not Phase.RECEIVING

    def propose(
        self, submission_id: bytes, digest: bytes, generation: int, now_ms: int
    ) -> Verdict:
        """Record a claim at the primary, before the standby is asked.

        Every refusal is recorded, so that the id cannot start here later.
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
        """Record a claim at the standby. Only ACCEPTED lets the primary start."""
        if self.is_primary:
            return Verdict.WRONG_GENERATION
        verdict = self._check_claim(submission_id, digest, generation, now_ms)
        if verdict is Verdict.ACCEPTED:
            self.claims[submission_id] = ClaimRecord(digest, ClaimState.CLAIMED)
        return verdict

    def confirm(self, submission_id: bytes, generation: int) -> bool:
        """Return whether the primary may start the id, once acknowledged.

        A claim whose generation was stopped while the standby was asked is
        refused: the standby may already have taken over.
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
        """Record that the id never starts here; False if it was claimed before."""
        record = self.claims.get(submission_id)
        if record is None:
            self.claims[submission_id] = ClaimRecord(digest, ClaimState.REFUSED)
            return True
        if record.state is ClaimState.CLAIMED:
            return False
        record.state = ClaimState.REFUSED
        return True

    def stop(self) -> bool:
        """Stop acknowledging for good in this generation, before a swap.

        :return: False for a member without the whole state, which must not swap.
        """
        if not self.has_complete_state:
            return False
        self.phase = Phase.STOPPED
        for record in self.claims.values():
            if record.state is ClaimState.PENDING:
                record.state = ClaimState.REFUSED
        return True

    def advance(self, generation: int, low_water_ms: int = 0) -> None:
        """Enter a newer generation as its primary, after winning the swap."""
        if self.phase is not Phase.STOPPED or generation <= self.generation:
            raise ValueError("advance needs a stopped register and a newer generation")
        self.generation = generation
        self.is_primary = True
        self.phase = Phase.TRANSFERRING
        self.raise_low_water(low_water_ms)

    def open(self) -> None:
        """Accept claims, once the standby has the whole state."""
        if self.phase is Phase.TRANSFERRING:
            self.phase = Phase.ACTIVE

    def snapshot(self) -> RegisterSnapshot:
        """Return the whole state for a new standby."""
        return RegisterSnapshot(
            self.low_water_ms,
            [
                (submission_id, record.digest, record.state)
                for submission_id, record in self.claims.items()
            ],
        )

    def install(self, snapshot: RegisterSnapshot) -> None:
        """Replace the whole state at a new standby and start acknowledging.

        A repeated transfer must not erase claims acknowledged since the first,
        so only a member in phase RECEIVING takes one. What it refused while it
        waited stays refused.
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
        """Refuse ids minted before ``low_water_ms`` for ever and forget them."""
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
