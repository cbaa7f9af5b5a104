"""Reads and changes of the stored configuration, with an audit trail.

The key ``/marigoldkeel/config`` holds the document and its revision. The keys
``/marigoldkeel/audit/NNNNNNNN`` hold chunks of audit records, in order. Each change
writes the document and its audit record in one transaction, so that neither exists
without the other.
"""

import random
import uuid
from collections.abc import AsyncIterator, Callable
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import anyio
import msgspec
from msgspec import Struct, field

from marigoldkeel.configuration import (
    Configuration,
    ConfigurationError,
    diff_configurations,
)
from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.identifiers import UUID_VERSION, mint_time_ms
from marigoldkeel.stores import KeyValueStore, StoredValue, Write


CONFIGURATION_KEY = "/marigoldkeel/config"
AUDIT_PREFIX = "/marigoldkeel/audit/"
# A chunk and the document are written in one transaction; etcd limits requests to
# 1.5 MiB.
MAX_CHUNK_BYTES = 512 * 1024
MAX_DOCUMENT_BYTES = 256 * 1024
# When a new chunk starts, the chunk this many numbers before it is emptied, which
# limits the audit trail to 32 MiB. The store interface has no delete.
AUDIT_CHUNKS_KEPT = 64
MAX_ATTEMPTS = 20
# 20 attempts with this delay cover a short outage of the store.
RETRY_DELAY_S = 0.25
MAX_CONFLICT_DELAY_S = 0.05
# Keeps error messages short if many changes intervened or the revision is very old.
MAX_DESCRIBED_CHANGES = 5


class ChangeOutcome(StrEnum):
    """The outcome of a change as reported to the operator; there are no others."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class AuditRecord(msgspec.Struct):
    """One accepted change.

    ``before`` and ``after`` hold the values of the changed paths only; a path that
    is missing from one of them had no value then. ``order_ms`` never decreases from
    one record to the next and is at least the timestamp of a UUIDv7 change id.
    """

    who: str
    when: datetime
    reason: str
    change_id: str
    revision: int
    before: dict[str, Any]
    after: dict[str, Any]
    order_ms: int = 0

    @property
    def paths(self) -> set[str]:
        return {*self.before, *self.after}


class VersionedConfiguration(Struct):
    """The configuration at ``revision``, which is 0 if none has been stored yet."""

    revision: int
    configuration: Configuration
    change_id: str = ""
    audit_chunk: int = 0

    @classmethod
    def from_json(cls, data: bytes) -> "VersionedConfiguration":
        """Return the configuration in a value of the configuration key.

        :raises ConfigurationError: If the value is malformed.
        """
        try:
            stored = msgspec.json.decode(data, type=_StoredConfiguration)
        except msgspec.MsgspecError as error:
            raise ConfigurationError(
                f"malformed stored configuration: {error}",
                "read configuration",
                CONFIGURATION_KEY,
            ) from None
        configuration = Configuration.from_builtins(stored.document)
        return cls(stored.revision, configuration, stored.change_id, stored.audit_chunk)

    def to_json(self) -> bytes:
        """Return the value to store under the configuration key."""
        return msgspec.json.encode(
            _StoredConfiguration(
                self.revision,
                self.configuration.to_builtins(),
                self.change_id,
                self.audit_chunk,
            )
        )


class _StoredConfiguration(msgspec.Struct):
    revision: int
    document: dict[str, Any]
    change_id: str
    audit_chunk: int = 0


class ChangeResult(Struct):
    """The result of a change.

    :ivar revision: The revision at which the change was accepted, otherwise 0.
    :ivar reason: Why the change was not accepted or why its outcome is unknown.
    :ivar invalid: Whether the edit or its result was invalid, rather than in conflict
        with another change or prevented by the store.
    :ivar edited: The configuration that the caller's edit produced.
    :ivar before: Values that the edit replaces, by path.
    :ivar after: Values that the edit sets, by path.
    :ivar intervening_changes: Changes by others since the revision on which the edit
        was based.
    """

    outcome: ChangeOutcome
    change_id: str
    revision: int = 0
    reason: str = ""
    invalid: bool = False
    edited: Configuration | None = None
    before: dict[str, Any] = field(default_factory=dict)
    after: dict[str, Any] = field(default_factory=dict)
    intervening_changes: list[AuditRecord] = field(default_factory=list)


class _StoredState(Struct):
    """The stored configuration and the newest audit chunk."""

    current: VersionedConfiguration
    store_revision: int
    chunk_revision: int
    records: list[AuditRecord]


class _Transaction(Struct):
    """A change prepared for one stored state, and the writes that commit it."""

    state: _StoredState
    edited: Configuration
    record: AuditRecord
    writes: list[Write]


def chunk_key(number: int) -> str:
    """Return the store key of an audit chunk."""
    return f"{AUDIT_PREFIX}{number:08d}"


def decode_records(stored: StoredValue | None) -> list[AuditRecord]:
    """Return the records of a chunk; empty if the chunk is missing or was emptied."""
    if stored is None:
        return []
    try:
        return msgspec.json.decode(stored.data, type=list[AuditRecord])
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"malformed audit chunk: {error}", "read audit trail", stored.key
        ) from None


def change_id_time_ms(change_id: str) -> int:
    """Return the timestamp of a UUIDv7 change id, or 0 for any other id."""
    try:
        parsed = uuid.UUID(change_id)
    except ValueError:
        return 0
    return mint_time_ms(parsed) if parsed.version == UUID_VERSION else 0


def describe_changes(records: list[AuditRecord]) -> str:
    """Return one line with the author and paths of each change, newest first."""
    lines = [
        f"revision {record.revision} by {record.who} changed "
        f"{', '.join(sorted(record.paths)) or 'nothing'}"
        for record in records[: -MAX_DESCRIBED_CHANGES - 1 : -1]
    ]
    if len(records) > MAX_DESCRIBED_CHANGES:
        lines.append(f"{len(records) - MAX_DESCRIBED_CHANGES} earlier changes")
    return "; ".join(lines)


class ConfigurationStore:
    """Reads and changes the stored configuration.

    Usage::

        result = await ConfigurationStore(store).change(
            lambda configuration: configuration.with_value(path, text),
            author, reason, change_id,
        )

    The store's reads must be linearizable, as etcd's are by default. A repeated change
    id is recognised for as long as the audit record of the first change is kept.

    :param store: A client of the key-value store.
    :param now: Returns the current time, which is used for audit records only.
    :param retry_delay_s: Seconds between attempts if the store does not answer.
    """

    def __init__(
        self,
        store: KeyValueStore,
        now: Callable[[], datetime] = lambda: datetime.now(UTC),
        retry_delay_s: float = RETRY_DELAY_S,
    ):
        self.store = store
        self.now = now
        self.retry_delay_s = retry_delay_s

    async def read(self) -> VersionedConfiguration:
        """Return the current configuration, or the built-in defaults as revision 0.

        :raises StoreUnavailable: The store did not answer.
        :raises ConfigurationError: The stored value is malformed.
        """
        stored = await self.store.get(CONFIGURATION_KEY)
        if stored is None:
            return VersionedConfiguration(0, Configuration())
        return VersionedConfiguration.from_json(stored.data)

    async def change(
        self,
        edit: Callable[[Configuration], Configuration],
        author: str,
        reason: str,
        change_id: str,
        expected_revision: int | None = None,
        repeated: bool = False,
    ) -> ChangeResult:
        """Apply an edit and record it in the audit trail, at most once per change id.

        An edit that lost a race against another change is applied again to the newer
        revision, unless both changed the same path. ``edit`` may therefore be called
        several times, each time with a new copy of the configuration.

        :param edit: Returns the changed configuration; it may modify its argument.
        :param change_id: Identifies the change if it is repeated.
        :param expected_revision: Reject the change at any other revision.
        :param repeated: Whether an earlier call with this id may have returned
            "unknown". If the store can't be read, the outcome is then "unknown"
            again, because the earlier call may have taken effect.
        :raises ConfigurationError: If author, reason or change id is empty, or if
            the stored configuration or audit trail is malformed.
        """
        for name, text in (
            ("author", author),
            ("reason", reason),
            ("change_id", change_id),
        ):
            if not text.strip():
                raise ConfigurationError("must not be empty", "change", name)
        transaction: _Transaction | None = None
        may_have_committed = repeated
        failure = ""
        for _ in range(MAX_ATTEMPTS):
            try:
                state = await self._read_state()
                earlier_record = await self._find_record(state, change_id)
                if earlier_record is not None:
                    return ChangeResult(
                        ChangeOutcome.ACCEPTED,
                        change_id,
                        earlier_record.revision,
                        before=earlier_record.before,
                        after=earlier_record.after,
                    )
                # While the configuration is unchanged, a transaction whose answer was
                # lost may still take effect. Repeating the same transaction is safe,
                # since at most one of the two can succeed. Reporting a rejection or
                # preparing a different transaction is not.
                if (
                    transaction is None
                    or transaction.state.store_revision != state.store_revision
                ):
                    may_have_committed = False
                    intervening_changes = await self._find_intervening_changes(
                        state, transaction, expected_revision
                    )
                    earlier_transaction = transaction
                    try:
                        transaction = self._prepare(
                            state, edit, author, reason, change_id
                        )
                    except ConfigurationError as error:
                        return make_rejection(
                            transaction,
                            change_id,
                            str(error),
                            intervening_changes,
                            invalid=True,
                        )
                    conflict = find_conflict(
                        earlier_transaction,
                        state,
                        intervening_changes,
                        expected_revision,
                    )
                    if conflict:
                        return make_rejection(
                            earlier_transaction or transaction,
                            change_id,
                            conflict,
                            intervening_changes,
                        )
                    if len(transaction.writes) > 2:
                        await self._set_old_chunk_revision(transaction)
            except StoreUnavailable as error:
                failure = str(error)
                if not may_have_committed:
                    return make_rejection(
                        transaction, change_id, f"nothing was written: {failure}", []
                    )
                await anyio.sleep(self.retry_delay_s)
                continue
            try:
                swapped = await self.store.compare_and_swap(transaction.writes)
            except StoreUnavailable as error:
                may_have_committed = True
                failure = str(error)
                await anyio.sleep(self.retry_delay_s)
                continue
            if swapped is not None:
                return ChangeResult(
                    ChangeOutcome.ACCEPTED,
                    change_id,
                    transaction.record.revision,
                    edited=transaction.edited,
                    before=transaction.record.before,
                    after=transaction.record.after,
                )
            await anyio.sleep(random.uniform(0, MAX_CONFLICT_DELAY_S))
        if may_have_committed:
            result = make_rejection(transaction, change_id, failure, [])
            result.outcome = ChangeOutcome.UNKNOWN
            return result
        return make_rejection(
            transaction,
            change_id,
            f"conflicted with other changes in {MAX_ATTEMPTS} attempts",
            [],
        )

    async def history(
        self, limit: int, change_id: str | None = None
    ) -> list[AuditRecord]:
        """Return audit records, newest first.

        :param limit: The maximum number of records to return.
        :param change_id: Return only the record of this change, if there is one.
        :raises StoreUnavailable: The store did not answer.
        """
        state = await self._read_state()
        if change_id is not None:
            record = await self._find_record(state, change_id)
            return [record][:limit] if record else []
        found: list[AuditRecord] = []
        async for records in self._iterate_chunks(state):
            found += reversed(records)
            if len(found) >= limit:
                break
        return found[:limit]

    async def diff(
        self, revision_a: int, revision_b: int
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the values of the paths that differ between two revisions.

        Revision 0 stands for the built-in defaults.

        :raises InvalidInput: If a revision does not exist yet or its audit records
            are no longer kept.
        """
        low, high = sorted((revision_a, revision_b))
        state = await self._read_state()
        records = [
            record
            for record in await self._records_after(state, low)
            if record.revision <= high
        ]
        if low < 0 or len(records) != high - low:
            raise InvalidInput(
                f"the audit trail does not cover revisions {low} to {high}", "diff"
            )
        old: dict[str, Any] = {}
        new: dict[str, Any] = {}
        for record in records:
            for path in record.paths:
                old.setdefault(path, record.before.get(path))
                new[path] = record.after.get(path)
        changed = [path for path in old if old[path] != new[path]]
        if revision_a > revision_b:
            old, new = new, old
        return (
            {path: old[path] for path in changed if old[path] is not None},
            {path: new[path] for path in changed if new[path] is not None},
        )

    async def _read_state(self) -> _StoredState:
        stored = await self.store.get(CONFIGURATION_KEY)
        chunk = None
        if stored is None:
            chunk = await self.store.get(chunk_key(0))
            if chunk is not None:
                # The first change may have been made between the two reads.
                stored = await self.store.get(CONFIGURATION_KEY)
                if stored is None:
                    raise ConfigurationError(
                        "an audit trail exists, but no configuration; restore the "
                        "configuration, since a new one would repeat revision 1",
                        "read configuration",
                        CONFIGURATION_KEY,
                    )
        if stored is None:
            return _StoredState(VersionedConfiguration(0, Configuration()), 0, 0, [])
        current = VersionedConfiguration.from_json(stored.data)
        chunk = await self.store.get(chunk_key(current.audit_chunk))
        return _StoredState(
            current,
            stored.revision,
            chunk.revision if chunk else 0,
            decode_records(chunk),
        )

    async def _iterate_chunks(
        self, state: _StoredState
    ) -> AsyncIterator[list[AuditRecord]]:
        """Yield the records of each kept chunk, starting with the newest chunk."""
        newest = state.current.audit_chunk
        records = state.records
        for number in range(newest, max(-1, newest - AUDIT_CHUNKS_KEPT), -1):
            if number != newest:
                records = decode_records(await self.store.get(chunk_key(number)))
            if not records:
                return
            yield records

    async def _find_record(
        self, state: _StoredState, change_id: str
    ) -> AuditRecord | None:
        """Return the record of a change, if it is kept.

        For a recent UUIDv7, only the newest chunks are read, usually one. For any
        other id, all chunks are read.
        """
        change_time_ms = change_id_time_ms(change_id)
        async for records in self._iterate_chunks(state):
            for record in reversed(records):
                if record.change_id == change_id:
                    return record
            if records[0].order_ms < change_time_ms:
                return None
        return None

    async def _records_after(
        self, state: _StoredState, revision: int
    ) -> list[AuditRecord]:
        """Return the kept records of revisions after ``revision``, oldest first."""
        found: list[AuditRecord] = []
        async for records in self._iterate_chunks(state):
            found = [r for r in records if r.revision > revision] + found
            if records[0].revision <= revision + 1:
                break
        return found

    async def _find_intervening_changes(
        self,
        state: _StoredState,
        transaction: _Transaction | None,
        expected_revision: int | None,
    ) -> list[AuditRecord]:
        """Return the changes since the revision on which the edit was based."""
        base = transaction.state.current.revision if transaction else expected_revision
        if base is None or base >= state.current.revision:
            return []
        return await self._records_after(state, base)

    def _prepare(
        self,
        state: _StoredState,
        edit: Callable[[Configuration], Configuration],
        author: str,
        reason: str,
        change_id: str,
    ) -> _Transaction:
        """Return the transaction that applies an edit to a stored state.

        :raises ConfigurationError: If the edit fails, or its result is invalid or
            too large.
        """
        current = state.current
        edited = edit(current.configuration.copy())
        edited.validate()
        now = self.now()
        before, after = diff_configurations(current.configuration, edited)
        last_order_ms = state.records[-1].order_ms if state.records else 0
        order_ms = max(
            int(now.timestamp() * 1000), last_order_ms, change_id_time_ms(change_id)
        )
        record = AuditRecord(
            author,
            now,
            reason,
            change_id,
            current.revision + 1,
            before,
            after,
            order_ms,
        )
        chunk, expected = current.audit_chunk, state.chunk_revision
        data = msgspec.json.encode([*state.records, record])
        rolled_over = len(data) > MAX_CHUNK_BYTES and bool(state.records)
        if rolled_over:
            chunk, expected = chunk + 1, 0
            data = msgspec.json.encode([record])
        document = VersionedConfiguration(
            record.revision, edited, change_id, chunk
        ).to_json()
        if len(document) > MAX_DOCUMENT_BYTES or len(data) > MAX_CHUNK_BYTES:
            raise ConfigurationError(
                f"the document or the record of the change is too large "
                f"({len(document)} of {MAX_DOCUMENT_BYTES} bytes and {len(data)} of "
                f"{MAX_CHUNK_BYTES} bytes); split the change",
                "change",
            )
        writes = [
            Write(CONFIGURATION_KEY, document, state.store_revision),
            Write(chunk_key(chunk), data, expected),
        ]
        if rolled_over and chunk >= AUDIT_CHUNKS_KEPT:
            writes.append(Write(chunk_key(chunk - AUDIT_CHUNKS_KEPT), b"[]", 0))
        return _Transaction(state, edited, record, writes)

    async def _set_old_chunk_revision(self, transaction: _Transaction) -> None:
        """Set the expected revision of the old chunk that the transaction empties."""
        write = transaction.writes[-1]
        stored = await self.store.get(write.key)
        write.expected_revision = stored.revision if stored else 0


def make_rejection(
    transaction: _Transaction | None,
    change_id: str,
    reason: str,
    intervening_changes: list[AuditRecord],
    invalid: bool = False,
) -> ChangeResult:
    """Return a rejection that contains the result of the caller's edit, if known."""
    result = ChangeResult(
        ChangeOutcome.REJECTED,
        change_id,
        reason=reason,
        invalid=invalid,
        intervening_changes=intervening_changes,
    )
    if transaction is not None:
        result.edited = transaction.edited
        result.before = transaction.record.before
        result.after = transaction.record.after
    return result


def find_conflict(
    transaction: _Transaction | None,
    state: _StoredState,
    intervening_changes: list[AuditRecord],
    expected_revision: int | None,
) -> str:
    """Return why an edit must not be applied to ``state``, or ``""`` if it may be.

    :param transaction: The earlier transaction that lost a race, if any.
    """
    revision = state.current.revision
    if expected_revision not in (None, revision):
        return (
            f"expected revision {expected_revision}, but the current one is "
            f"{revision}: {describe_changes(intervening_changes)}"
        )
    if transaction is not None:
        conflicting = [
            r for r in intervening_changes if r.paths & transaction.record.paths
        ]
        if conflicting:
            return (
                "another change modified the same fields: "
                f"{describe_changes(conflicting)}"
            )
    return ""
