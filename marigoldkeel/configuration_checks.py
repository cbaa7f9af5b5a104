"""Checks of a valid configuration for entries that have no effect or contradict others.

Such entries are accepted when the configuration is applied, but rarely do what the
operator intended. Performs no I/O.
"""

from collections.abc import Callable, Iterator
from datetime import datetime

from msgspec import Struct

from marigoldkeel.configuration import Configuration, ExceptionRule
from marigoldkeel.limits import MAX_JOB_TASKS


# The scopes for which an exception can be made although no daemon reads the setting for
# them, by setting: the settings belong to a whole agent, a whole entry or a kind.
UNREAD_SCOPES = {
    "ageing_ms": "kind",
    "long_task_ms": "kind",
    "max_inflight_tasks": "team",
    "retry_budget_ratio": "team",
}


class Finding(Struct, frozen=True, order=True):
    """An entry of a configuration that is valid, but probably a mistake.

    :ivar path: The path of the entry, as in `Configuration.flatten`.
    """

    path: str
    message: str


Check = Callable[[Configuration, datetime], Iterator[Finding]]
checks: list[Check] = []


def check(function: Check) -> Check:
    """Register a check, which is called with a configuration and the current time."""
    checks.append(function)
    return function


def find_problems(configuration: Configuration, now: datetime) -> list[Finding]:
    """Return what all checks find in a valid configuration, by path."""
    return sorted({item for run in checks for item in run(configuration, now)})


# Entries that never match


@check
def find_expired(configuration: Configuration, now: datetime) -> Iterator[Finding]:
    """Find exceptions that have expired."""
    for rule in configuration.exceptions:
        if not rule.is_active(now):
            expired_at = rule.expires_at.isoformat()
            yield Finding(f"exceptions.{rule.id}", f"has no effect since {expired_at}")


@check
def find_unread(configuration: Configuration, now: datetime) -> Iterator[Finding]:
    """Find exceptions for a scope for which no daemon reads the setting."""
    for rule in configuration.exceptions:
        if UNREAD_SCOPES.get(rule.setting) == rule.scope:
            yield Finding(
                f"exceptions.{rule.id}",
                f"{rule.setting} is not read for a {rule.scope}; "
                "set it for a domain or in the defaults",
            )


@check
def find_shadowed(configuration: Configuration, now: datetime) -> Iterator[Finding]:
    """Find exceptions and defaults that others override for all kinds."""
    for rule in configuration.exceptions:
        if rule.scope != "kind" and _is_set_for_all_kinds(configuration, rule, now):
            yield Finding(
                f"exceptions.{rule.id}",
                f"each kind has an exception for {rule.setting}, which precedes it",
            )
    kinds = configuration.kinds
    if kinds and all(policy.deadline_ms is not None for policy in kinds.values()):
        yield Finding("defaults.deadline_ms", "each kind has its own deadline_ms")


def _is_set_for_all_kinds(
    configuration: Configuration, rule: ExceptionRule, now: datetime
) -> bool:
    names = {
        other.scope_name
        for other in configuration.exceptions
        if other.scope == "kind"
        and other.setting == rule.setting
        and other.is_active(now)
        and _lasts_as_long(other, rule)
    }
    return bool(names) and names == set(configuration.kinds)


def _lasts_as_long(other: ExceptionRule, rule: ExceptionRule) -> bool:
    if other.expires_at is None:
        return True
    return rule.expires_at is not None and rule.expires_at <= other.expires_at


@check
def find_redundant(configuration: Configuration, now: datetime) -> Iterator[Finding]:
    """Find exceptions that set the value that applies without any exception."""
    for rule in configuration.exceptions:
        kind = rule.scope_name if rule.scope == "kind" else None
        team = rule.scope_name if rule.scope == "team" else None
        is_set_by_kind = rule.setting in ("priority", "max_tasks", "deadline_ms")
        if is_set_by_kind and kind is None:
            continue  # The value that it replaces depends on the kind.
        others = [other for other in configuration.exceptions if other is not rule]
        if any(other.setting == rule.setting for other in others):
            continue  # It may be meant to precede one of another scope.
        if configuration.find_policy_value(rule.setting, kind, team) == rule.value:
            yield Finding(
                f"exceptions.{rule.id}.value",
                f"{rule.setting} is {rule.value} without this exception too",
            )


# Limits that contradict each other


@check
def find_limited_deadlines(
    configuration: Configuration, now: datetime
) -> Iterator[Finding]:
    """Find deadlines that a limit of another scope lowers."""
    for rule in configuration.exceptions:
        if rule.setting != "max_deadline_ms" or not rule.is_active(now):
            continue
        kinds = [rule.scope_name] if rule.scope == "kind" else configuration.kinds
        for kind in kinds:
            names: dict[str, str | None] = {"kind": kind, "team": None, "domain": None}
            names[rule.scope] = rule.scope_name
            limit_ms = configuration.effective("max_deadline_ms", now=now, **names)
            deadline_ms = configuration.find_exception_value("deadline_ms", names, now)
            if deadline_ms is None:
                deadline_ms = configuration.find_policy_value("deadline_ms", kind, None)
            if limit_ms == rule.value and deadline_ms > limit_ms:
                yield Finding(
                    f"exceptions.{rule.id}.value",
                    f"limits deadline_ms of kind {kind} from {deadline_ms} to "
                    f"{limit_ms}",
                )


@check
def find_slow_claims(configuration: Configuration, now: datetime) -> Iterator[Finding]:
    """Find kinds whose deadline passes before a claim times out."""
    claim_ms = configuration.defaults.claim_timeout_ms
    for kind in configuration.kinds:
        deadline_ms = configuration.effective("deadline_ms", kind=kind, now=now)
        if deadline_ms <= claim_ms:
            yield Finding(
                f"kinds.{kind}.deadline_ms",
                f"{deadline_ms} is not above defaults.claim_timeout_ms ({claim_ms})",
            )


@check
def find_unreachable_times(
    configuration: Configuration, now: datetime
) -> Iterator[Finding]:
    """Find times that no task and no silent agent reaches."""
    defaults = configuration.defaults
    if defaults.lost_after_ms < defaults.suspect_after_ms:
        yield Finding(
            "defaults.lost_after_ms",
            f"suspect_after_ms ({defaults.suspect_after_ms}) is waited in any case",
        )
    deadlines_ms = [
        configuration.effective("deadline_ms", kind=kind, now=now)
        for kind in configuration.kinds
    ]
    longest_ms = max(deadlines_ms, default=defaults.deadline_ms)
    for setting in ("ageing_ms", "long_task_ms"):
        value = getattr(defaults, setting)
        if value >= longest_ms:
            yield Finding(
                f"defaults.{setting}",
                f"{value} is not below the longest deadline_ms of a kind "
                f"({longest_ms}), so no task reaches it",
            )


@check
def find_unusable_task_limits(
    configuration: Configuration, now: datetime
) -> Iterator[Finding]:
    """Find kinds that allow larger jobs than are ever admitted."""
    inflight = configuration.defaults.max_inflight_tasks
    bursts = {
        team: configuration.effective("burst", team=team, now=now)
        for team in configuration.teams
    }
    for kind in configuration.kinds:
        max_tasks = configuration.effective("max_tasks", kind=kind, now=now)
        path = f"kinds.{kind}.max_tasks"
        if max_tasks > inflight:
            yield Finding(
                path, f"{max_tasks} is above defaults.max_inflight_tasks ({inflight})"
            )
        for team, burst in bursts.items():
            if max_tasks > max(burst, MAX_JOB_TASKS):
                yield Finding(
                    path, f"{max_tasks} is above the burst of team {team} ({burst})"
                )


@check
def find_unused_bursts(
    configuration: Configuration, now: datetime
) -> Iterator[Finding]:
    """Find bursts that have no effect."""
    for team in configuration.teams:
        burst = configuration.effective("burst", team=team, now=now)
        if not configuration.effective("tasks_per_s", team=team, now=now):
            yield Finding(f"teams.{team}.burst", "has no effect while tasks_per_s is 0")
        elif burst < MAX_JOB_TASKS:
            yield Finding(
                f"teams.{team}.burst",
                f"{burst} is raised to {MAX_JOB_TASKS}, so that the largest job can "
                "be admitted",
            )
