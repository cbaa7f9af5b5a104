"""Commands that read and change the configuration.

Each command is a function that defopt runs and that returns the exit code: 0 change
accepted or read succeeded; 1 change not accepted or store could not be read; 2 wrong
usage or invalid input; 3 outcome unknown.
"""

import re
import sys
import uuid
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from enum import IntEnum
from pathlib import Path
from typing import Any, TypeVar

import anyio
from msgspec.structs import replace

from marigoldkeel.audit import (
    MAX_DOCUMENT_BYTES,
    AuditRecord,
    ChangeOutcome,
    ChangeResult,
    ConfigurationStore,
)
from marigoldkeel.configuration import (
    SETTING_TYPES,
    Configuration,
    ConfigurationError,
    ExceptionRule,
    convert,
    diff_configurations,
)
from marigoldkeel.configuration_checks import find_problems
from marigoldkeel.exceptions import InvalidInput, StoreUnavailable
from marigoldkeel.identifiers import mint_submission_id
from marigoldkeel.stores import open_store


STORE_KIND = "etcd"
REVISION_LINE = re.compile(r"^# revision: (\d+)$", re.MULTILINE)

ResultT = TypeVar("ResultT")


class ExitCode(IntEnum):
    """Exit codes of the commands.

    ``ACCEPTED`` also stands for a successful read, and ``NOT_ACCEPTED`` for a store
    that could not be read.
    """

    ACCEPTED = 0
    NOT_ACCEPTED = 1
    INVALID_INPUT = 2
    UNKNOWN = 3


def config_show(*, store: str) -> int:
    """Print the current configuration as TOML, with its revision.

    :param store: URL of the store.
    """

    async def show(configurations: ConfigurationStore) -> None:
        versioned = await configurations.read()
        print(f"# revision: {versioned.revision}")
        print(versioned.configuration.to_toml(), end="")

    return run_read(store, show)


def config_set(
    key: str, value: str, *, store: str, author: str, reason: str, change: str = ""
) -> int:
    """Set one field of the defaults or of an existing kind or team.

    :param key: Path of the field, such as kinds.quote.max_tasks.
    :param value: New value; null clears an optional field.
    :param store: URL of the store.
    :param author: Who makes the change.
    :param reason: Why it is made.
    :param change: Id of the change, to repeat an attempt whose outcome is unknown.
    """

    def edit(configuration: Configuration) -> Configuration:
        return configuration.with_value(key, value)

    return run_change(store, edit, author, reason, change)


def config_apply(
    file: Path,
    *,
    store: str,
    author: str,
    reason: str,
    revision: int | None = None,
    change: str = "",
) -> int:
    """Replace the whole configuration with the contents of a TOML file.

    The first line of the file, "# revision: N", names the revision on which the file is
    based, which must still be the current one. "config show" prints this form.

    :param file: TOML file with the whole configuration.
    :param store: URL of the store.
    :param author: Who makes the change.
    :param reason: Why it is made.
    :param revision: Revision that the file is based on; overrides the first line.
    :param change: Id of the change, to repeat an attempt whose outcome is unknown.
    """
    try:
        text = file.read_text()
        configuration = Configuration.from_toml(text)
    except (OSError, UnicodeDecodeError, InvalidInput) as error:
        return print_invalid(error)
    match = REVISION_LINE.match(text)
    if revision is None and match is None:
        return print_invalid(
            'the revision is missing; start the file with "# revision: N" or pass '
            "--revision"
        )
    expected = int(match[1]) if revision is None else revision
    return run_change(
        store, lambda _: configuration.copy(), author, reason, change, expected
    )


def config_check(file: Path, *, store: str) -> int:
    """Check a TOML file with the whole configuration against the current one.

    Prints errors, entries that can never match, limits that contradict each other, and
    the differences. Nothing is written. The exit code is 0 if the file would be
    accepted and nothing was found, and 1 if it needs attention.

    :param file: TOML file with the whole configuration.
    :param store: URL of the store.
    """
    try:
        text = file.read_text()
        configuration = Configuration.from_toml(text)
    except (OSError, UnicodeDecodeError, InvalidInput) as error:
        return print_invalid(error)
    match = REVISION_LINE.match(text)

    async def check(configurations: ConfigurationStore) -> int:
        current = await configurations.read()
        size = len(replace(current, configuration=configuration).to_json())
        if size > MAX_DOCUMENT_BYTES:
            return print_invalid(
                f"the document is too large ({size} of {MAX_DOCUMENT_BYTES} bytes)"
            )
        findings = find_problems(configuration, datetime.now(UTC))
        for finding in findings:
            print(f"{finding.path}: {finding.message}")
        print(f"differences to revision {current.revision}:")
        print_difference(*diff_configurations(current.configuration, configuration))
        if match is None:
            print("the file names no revision; config apply needs --revision")
        elif int(match[1]) != current.revision:
            print(
                f"not accepted: based on revision {match[1]}, but the current one is "
                f"{current.revision}",
                file=sys.stderr,
            )
            return ExitCode.NOT_ACCEPTED
        return ExitCode.NOT_ACCEPTED if findings else ExitCode.ACCEPTED

    return run_read(store, check)


def config_history(*, store: str, change: str = "", limit: int = 20) -> int:
    """Print accepted changes, newest first.

    The oldest changes are dropped from the audit trail when it reaches its size limit.

    :param store: URL of the store.
    :param change: Print only the change with this id; exit with 1 if it is not found.
    :param limit: Maximum number of changes to print, at least 1.
    """
    if limit < 1:
        return print_invalid(f"--limit must be at least 1, not {limit}")

    async def print_history(configurations: ConfigurationStore) -> int:
        records = await configurations.history(limit, change or None)
        for record in records:
            print_record(record)
        if change and not records:
            print(f"not accepted so far: there is no record of change {change}")
            return ExitCode.NOT_ACCEPTED
        return ExitCode.ACCEPTED

    return run_read(store, print_history)


def config_diff(revision_a: int, revision_b: int, *, store: str) -> int:
    """Print the differences between two revisions.

    :param revision_a: First revision; 0 stands for the built-in defaults.
    :param revision_b: Second revision.
    :param store: URL of the store.
    """

    async def print_diff(configurations: ConfigurationStore) -> None:
        print_difference(*await configurations.diff(revision_a, revision_b))

    return run_read(store, print_diff)


def exception_list(*, store: str) -> int:
    """Print all exceptions to the configured settings, with their reasons.

    :param store: URL of the store.
    """

    async def print_exceptions(configurations: ConfigurationStore) -> None:
        now = datetime.now(UTC)
        for rule in (await configurations.read()).configuration.exceptions:
            state = "active" if rule.is_active(now) else "expired"
            until = f" until {rule.expires_at.isoformat()}" if rule.expires_at else ""
            print(
                f"{rule.id}: {rule.scope} {rule.scope_name}: {rule.setting} = "
                f"{rule.value} ({state}{until}; {rule.author}, "
                f"{rule.created_at.isoformat()}: {rule.reason})"
            )

    return run_read(store, print_exceptions)


def exception_add(
    scope: str,
    scope_name: str,
    setting: str,
    value: str,
    *,
    store: str,
    author: str,
    reason: str,
    expires_at: str = "",
    id: str = "",
    change: str = "",
) -> int:
    """Add an exception for a kind, a team or a failure domain.

    :param scope: kind, team or domain.
    :param scope_name: Name of the kind, team or failure domain.
    :param setting: Name of the setting to override.
    :param value: Value that overrides all configured policies and the default.
    :param store: URL of the store.
    :param author: Who makes the change.
    :param reason: Why the exception is needed.
    :param expires_at: ISO 8601 time with UTC offset at which it expires.
    :param id: Id of the exception; generated if empty.
    :param change: Id of the change, to repeat an attempt whose outcome is unknown.
    """
    rule_id = id or uuid.uuid4().hex[:8]
    path = f"exceptions.{rule_id}"
    fields: dict[str, Any] = {
        "id": rule_id,
        "scope": scope,
        "scope_name": scope_name,
        "setting": setting,
        "reason": reason,
        "author": author,
        "created_at": datetime.now(UTC),
    }
    if expires_at:
        fields["expires_at"] = expires_at
    try:
        # An unknown setting is rejected later, when the whole document is validated.
        setting_type = SETTING_TYPES.get(setting, str)
        fields["value"] = convert(value, setting_type, f"{path}.value", strict=False)
        rule = convert(fields, ExceptionRule, path)
    except ConfigurationError as error:
        return print_invalid(error)

    def edit(configuration: Configuration) -> Configuration:
        configuration.exceptions.append(rule)
        return configuration

    return run_change(store, edit, author, reason, change)


def exception_remove(
    id: str, *, store: str, author: str, reason: str, change: str = ""
) -> int:
    """Remove an exception.

    :param id: Id of the exception, as printed by "exception list".
    :param store: URL of the store.
    :param author: Who makes the change.
    :param reason: Why the exception is no longer needed.
    :param change: Id of the change, to repeat an attempt whose outcome is unknown.
    """

    def edit(configuration: Configuration) -> Configuration:
        remaining = [rule for rule in configuration.exceptions if rule.id != id]
        if len(remaining) == len(configuration.exceptions):
            raise ConfigurationError(
                "no exception has this id", "remove exception", f"exceptions.{id}"
            )
        configuration.exceptions = remaining
        return configuration

    return run_change(store, edit, author, reason, change)


COMMANDS = {
    "config": {
        "show": config_show,
        "set": config_set,
        "apply": config_apply,
        "check": config_check,
        "history": config_history,
        "diff": config_diff,
    },
    "exception": {
        "list": exception_list,
        "add": exception_add,
        "remove": exception_remove,
    },
}


def run_with_store(
    url: str, action: Callable[[ConfigurationStore], Awaitable[ResultT]]
) -> ResultT:
    """Return the result of ``action`` on the configuration in the store at ``url``."""

    async def run() -> ResultT:
        async with open_store(STORE_KIND, url) as store:
            return await action(ConfigurationStore(store))

    return anyio.run(run)


def run_read(
    url: str, action: Callable[[ConfigurationStore], Awaitable[int | None]]
) -> int:
    """Run a read-only command and return its exit code."""
    try:
        return run_with_store(url, action) or ExitCode.ACCEPTED
    except StoreUnavailable as error:
        print(f"store could not be read: {error}", file=sys.stderr)
        return ExitCode.NOT_ACCEPTED
    except InvalidInput as error:
        return print_invalid(error)


def run_change(
    url: str,
    edit: Callable[[Configuration], Configuration],
    author: str,
    reason: str,
    change_id: str,
    expected_revision: int | None = None,
) -> int:
    """Make a change, print its outcome and return the exit code.

    A ``change_id`` that is not empty marks a repetition of an earlier attempt.
    """
    repeated = bool(change_id)
    # A UUIDv7, like a submission id, lets a search of the audit trail end early.
    change_id = change_id or str(mint_submission_id())

    async def make_change(configurations: ConfigurationStore) -> ChangeResult:
        return await configurations.change(
            edit, author, reason, change_id, expected_revision, repeated
        )

    try:
        result = run_with_store(url, make_change)
    except InvalidInput as error:
        return print_invalid(error)
    if result.outcome is ChangeOutcome.ACCEPTED:
        print(f"accepted at revision {result.revision} (change {change_id})")
        print_difference(result.before, result.after)
        return ExitCode.ACCEPTED
    if result.outcome is ChangeOutcome.UNKNOWN:
        print(
            "outcome unknown, check with "
            f"`marigoldkeel config history --change {change_id}`, or repeat the "
            f"command with `--change {change_id}`: {result.reason}",
            file=sys.stderr,
        )
        return ExitCode.UNKNOWN
    print(f"not accepted: {result.reason}", file=sys.stderr)
    return ExitCode.INVALID_INPUT if result.invalid else ExitCode.NOT_ACCEPTED


def print_invalid(error: object) -> int:
    """Print an error about invalid input or stored data and return the exit code."""
    print(f"not accepted: {error}", file=sys.stderr)
    return ExitCode.INVALID_INPUT


def print_record(record: AuditRecord) -> None:
    """Print one audit record and the values that it changed."""
    print(
        f"revision {record.revision}, {record.when.isoformat()}, {record.who}: "
        f"{record.reason} (change {record.change_id})"
    )
    print_difference(record.before, record.after)


def print_difference(before: dict[str, Any], after: dict[str, Any]) -> None:
    """Print each changed path with its values before and after."""
    for path in sorted({**before, **after}):
        print(f"  {path}: {before.get(path, 'unset')} -> {after.get(path, 'unset')}")
