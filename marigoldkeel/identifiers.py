"""Submission ids, partitions and process incarnations."""

import hashlib
import os
import time
import uuid

from marigoldkeel.exceptions import InvalidInput, ProtocolError


UUID_VERSION = 7
SUBMISSION_ID_BYTES = 16


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def mint_submission_id(now_ms: int | None = None) -> uuid.UUID:
    """Return a new UUIDv7.

    Usage::

        submission_id = mint_submission_id()

    :param now_ms: Wall-clock time in milliseconds, by default the current time.
    :return: An id whose first 48 bits are the mint time.
    """
    if now_ms is None:
        now_ms = wall_clock_ms()
    random_bits = int.from_bytes(os.urandom(10), "big")
    value = (now_ms & 0xFFFF_FFFF_FFFF) << 80 | random_bits
    value = value & ~(0xF << 76) | UUID_VERSION << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return uuid.UUID(int=value)


def parse_submission_id(text: str) -> uuid.UUID:
    """Parse a submission id.

    :raises InvalidInput: If it is not a UUIDv7.
    """
    try:
        submission_id = uuid.UUID(text)
    except ValueError:
        submission_id = None
    if submission_id is None or submission_id.version != UUID_VERSION:
        raise InvalidInput(
            f"submission id {text[:64]!r} is not a UUIDv7", step="parse submission id"
        )
    return submission_id


def check_submission_id(submission_id: bytes) -> None:
    """Check the submission id of a message.

    :raises ProtocolError: If it does not have the length of a UUID.
    """
    if len(submission_id) != SUBMISSION_ID_BYTES:
        raise ProtocolError(
            f"submission id of {len(submission_id)} bytes", step="check submission id"
        )


def format_submission_id(submission_id: bytes) -> str:
    """Return a submission id as a UUID string."""
    return str(uuid.UUID(bytes=submission_id))


def mint_time_ms(submission_id: uuid.UUID) -> int:
    """Return the wall-clock time in milliseconds at which the id was minted."""
    return submission_id.int >> 80


def partition_of(submission_id: bytes, partition_count: int) -> int:
    """Return the partition of an id, in ``range(partition_count)``."""
    digest = hashlib.blake2b(submission_id, digest_size=8).digest()
    return int.from_bytes(digest, "big") % partition_count


def body_digest(kind: str, body: bytes) -> bytes:
    """Return the digest by which different requests with the same id are detected."""
    return hashlib.sha256(kind.encode() + b"\0" + body).digest()


def mint_incarnation(name: str) -> str:
    """Return a new incarnation, which identifies one start of the process ``name``."""
    return f"{name}@{uuid.uuid4().hex[:12]}"
