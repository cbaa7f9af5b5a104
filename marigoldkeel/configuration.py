"""The configuration document: schema, validation and lookup of effective values.

A path names a field of the document, such as ``defaults.deadline_ms``,
``kinds.quote.max_tasks``, ``teams.gulfline.burst`` or ``exceptions.ID.value``.
"""

import math
import re
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Annotated, Any, Literal, Self

import msgspec
from msgspec import Meta, Struct

from marigoldkeel.claims import MAX_CLOCK_SKEW_MS
from marigoldkeel.exceptions import InvalidInput


# A name is one component of a dotted path, so it must not contain a dot.
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,63}")
# A longer deadline would exceed the claim retention that the claim protocol assumes.
MAX_DEADLINE_MS = 300_000
# A single lost heartbeat must not make a live process a suspect.
MIN_HEARTBEATS_BEFORE_SUSPECT = 2

PriorityName = Literal["urgent", "normal", "batch"]
Scope = Literal["kind", "team", "domain"]
DeadlineMs = Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=2000)]
Timestamp = Annotated[datetime, Meta(tz=True)]


class ConfigurationError(InvalidInput):
    """The configuration has an unknown key, a wrong type or an invalid value.

    :param path: The path of the field, also available as ``peer``.
    """

    def __init__(self, message: str, step: str = "", path: str = ""):
        super().__init__(message, step, path)

    @property
    def path(self) -> str:
        return self.peer


class Defaults(Struct, forbid_unknown_fields=True):
    """Fleet-wide values, which a policy or an exception may override.

    :ivar suspect_after_ms: Silence after which an agent is replaced in its partitions
        and gets no new tasks.
    :ivar lost_after_ms: Silence after which the tasks that an agent has started are
        given up; at least ``suspect_after_ms`` is waited.
    """

    deadline_ms: DeadlineMs = 10_000
    max_deadline_ms: DeadlineMs = MAX_DEADLINE_MS
    claim_timeout_ms: Annotated[int, Meta(ge=10, le=60_000)] = 500
    heartbeat_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000
    suspect_after_ms: Annotated[int, Meta(ge=200, le=300_000)] = 3000
    lost_after_ms: Annotated[int, Meta(ge=200, le=300_000)] = 10_000
    retention_s: Annotated[int, Meta(ge=1, le=86_400)] = 900
    retry_budget_ratio: Ratio = 0.1
    probe_ratio: Annotated[float, Meta(ge=1, le=10)] = 2.0
    queue_tasks_per_slot: Annotated[int, Meta(ge=1, le=10_000)] = 16
    ageing_ms: Annotated[int, Meta(ge=10, le=MAX_DEADLINE_MS)] = 2000
    long_task_ms: Annotated[int, Meta(ge=10, le=MAX_DEADLINE_MS)] = 2000
    long_slot_share: Ratio = 0.5
    max_inflight_tasks: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    drain_timeout_ms: Annotated[int, Meta(ge=1000, le=3_600_000)] = 310_000


class KindPolicy(Struct, forbid_unknown_fields=True):
    """Settings of the calls and tasks of one kind.

    If ``deadline_ms`` is None, the one in :class:`Defaults` applies.
    """

    priority: PriorityName = "normal"
    idempotent: bool = False
    read_only: bool = False
    deadline_ms: DeadlineMs | None = None
    max_tasks: Annotated[int, Meta(ge=1, le=10_000)] = 150


class TeamPolicy(Struct, forbid_unknown_fields=True):
    """Quota and token of one team; no token is needed if ``token_sha256`` is empty."""

    tasks_per_s: Annotated[float, Meta(ge=0, le=1_000_000)] = 1000.0
    burst: Annotated[int, Meta(ge=1, le=10_000_000)] = 2000
    token_sha256: Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?\Z")] = ""


class ExceptionRule(Struct, forbid_unknown_fields=True):
    """An override of one setting for one scope, with the reason for it.

    The scope is a kind, a team or a failure domain, but never a single host.
    """

    id: str
    scope: Scope
    scope_name: NonEmptyText
    setting: str
    value: int | float | str | bool
    reason: NonEmptyText
    author: NonEmptyText
    created_at: Timestamp
    expires_at: Timestamp | None = None

    def is_active(self, now: datetime) -> bool:
        """Return whether the rule is in effect at ``now``, that is, not expired."""
        return self.expires_at is None or now < self.expires_at


def field_types(*policies: type[Struct]) -> dict[str, Any]:
    """Return the annotated types of the fields of ``policies``, by field name."""
    return {
        field.name: field.type
        for policy in policies
        for field in msgspec.structs.fields(policy)
    }


# If two classes have the same field, the type in Defaults is used: the value of an
# exception can't be None, which KindPolicy allows for ``deadline_ms``.
SETTING_TYPES = field_types(TeamPolicy, KindPolicy, Defaults)
# Can't be overridden, since both members of a partition must use the same value.
# Otherwise one member would evict claims that the other still relies on.
FLEET_WIDE_SETTINGS = {"retention_s"}
# Settings that an exception may override, by scope. Idempotence is a property of a
# kind and a token is a credential, so an exception, which may expire, can set neither.
SCOPE_SETTINGS: dict[str, set[str]] = {
    "kind": {
        *("priority", "max_tasks", "deadline_ms", "max_deadline_ms"),
        *("retry_budget_ratio", "probe_ratio", "ageing_ms", "long_task_ms"),
    },
    "team": {
        *("tasks_per_s", "burst", "deadline_ms", "max_deadline_ms"),
        *("retry_budget_ratio", "max_inflight_tasks"),
    },
    "domain": set(field_types(Defaults)) - FLEET_WIDE_SETTINGS,
}

CROSS_FIELD_RULES: tuple[tuple[tuple[str, ...], Callable[[Defaults], bool], str], ...]
CROSS_FIELD_RULES = (
    (
        ("deadline_ms", "max_deadline_ms"),
        lambda values: values.deadline_ms <= values.max_deadline_ms,
        "deadline_ms must be at most max_deadline_ms",
    ),
    (
        ("suspect_after_ms", "heartbeat_ms"),
        lambda values: (
            values.suspect_after_ms
            >= MIN_HEARTBEATS_BEFORE_SUSPECT * values.heartbeat_ms
        ),
        f"suspect_after_ms must be at least {MIN_HEARTBEATS_BEFORE_SUSPECT} times "
        "heartbeat_ms",
    ),
    # A claim must be retained for as long as an attempt with its id may arrive.
    (
        ("retention_s", "max_deadline_ms"),
        lambda values: (
            values.retention_s * 1000 >= values.max_deadline_ms + MAX_CLOCK_SKEW_MS
        ),
        f"retention_s must cover max_deadline_ms plus {MAX_CLOCK_SKEW_MS} ms",
    ),
    # A planned stop must not interrupt a request before its deadline.
    (
        ("drain_timeout_ms", "max_deadline_ms"),
        lambda values: values.drain_timeout_ms >= values.max_deadline_ms,
        "drain_timeout_ms must be at least max_deadline_ms",
    ),
)


def convert(value: Any, expected_type: Any, path: str, *, strict: bool = True) -> Any:
    """Return ``value`` converted to ``expected_type``.

    :raises ConfigurationError: The value does not match the type; names the path.
    """
    try:
        converted = msgspec.convert(value, expected_type, strict=strict)
    except msgspec.ValidationError as error:
        message, _, position = str(error).partition(" - at `$")
        suffix = position.rstrip("`")
        raise ConfigurationError(
            message, "validate configuration", f"{path}{suffix}".strip(".")
        ) from None
    # NaN passes msgspec's range checks, and JSON can't represent it.
    if isinstance(converted, float) and not math.isfinite(converted):
        raise ConfigurationError(
            "Expected a finite number", "validate configuration", path
        )
    return converted


class Configuration(Struct, forbid_unknown_fields=True):
    """A configuration document.

    Usage::

        configuration = Configuration.from_toml(text)
        deadline_ms = configuration.effective("deadline_ms", kind="quote")
    """

    defaults: Defaults = msgspec.field(default_factory=Defaults)
    kinds: dict[str, KindPolicy] = msgspec.field(default_factory=dict)
    teams: dict[str, TeamPolicy] = msgspec.field(default_factory=dict)
    exceptions: list[ExceptionRule] = msgspec.field(default_factory=list)

    @classmethod
    def from_toml(cls, text: str) -> Self:
        """Return the validated configuration in a TOML document.

        :raises ConfigurationError: If it is not TOML or not a valid configuration.
        """
        try:
            return cls.from_builtins(msgspec.toml.decode(text))
        except msgspec.DecodeError as error:
            raise ConfigurationError(str(error), "parse TOML") from None

    @classmethod
    def from_json(cls, data: bytes | str) -> Self:
        """Return the validated configuration in a JSON document.

        :raises ConfigurationError: If it is not JSON or not a valid configuration.
        """
        try:
            return cls.from_builtins(msgspec.json.decode(data))
        except msgspec.DecodeError as error:
            raise ConfigurationError(str(error), "parse JSON") from None

    @classmethod
    def from_builtins(cls, document: Any) -> Self:
        """Return the validated configuration in a decoded TOML or JSON document."""
        # msgspec's error positions do not contain map keys, so each policy and
        # exception is first converted by itself, with an error path that names it.
        if isinstance(document, dict):
            for section, policy in (("kinds", KindPolicy), ("teams", TeamPolicy)):
                entries = document.get(section)
                for name, entry in entries.items() if isinstance(entries, dict) else ():
                    convert(entry, policy, f"{section}.{name}")
            rules = document.get("exceptions")
            for index, rule in enumerate(rules if isinstance(rules, list) else ()):
                name = rule.get("id", index) if isinstance(rule, dict) else index
                convert(rule, ExceptionRule, f"exceptions.{name}")
        configuration = convert(document, cls, "")
        configuration.check()
        return configuration

    def to_builtins(self, keep_datetimes: bool = False) -> dict[str, Any]:
        """Return the document as dicts and lists, without keys whose value is None."""
        document = msgspec.to_builtins(
            self, builtin_types=(datetime,) if keep_datetimes else ()
        )
        return omit_none(document)

    def to_toml(self) -> str:
        """Return the document as TOML; :meth:`from_toml` converts it back."""
        return msgspec.toml.encode(self.to_builtins(keep_datetimes=True)).decode()

    def to_json(self) -> bytes:
        """Return the document as JSON; :meth:`from_json` converts it back."""
        return msgspec.json.encode(self.to_builtins())

    def validate(self) -> None:
        """Check types, ranges, references and rules between fields.

        :raises ConfigurationError: For the first invalid field, with its path.
        """
        # msgspec checks structs only when it decodes them, not when they are
        # constructed in Python.
        self.from_builtins(msgspec.to_builtins(self, builtin_types=(datetime,)))

    def check(self) -> None:
        """Check the rules that the field types can't express; see :meth:`validate`."""
        for path, value in self.flatten().items():
            if isinstance(value, float) and not math.isfinite(value):
                raise_invalid(path, "Expected a finite number")
        for section in ("kinds", "teams"):
            for name in getattr(self, section):
                if not NAME_PATTERN.fullmatch(name):
                    raise_invalid(
                        f"{section}.{name}",
                        f"the name must match {NAME_PATTERN.pattern}",
                    )
        for name, policy in self.kinds.items():
            if policy.read_only and not policy.idempotent:
                raise_invalid(
                    f"kinds.{name}.idempotent",
                    "a read-only kind must have idempotent = true",
                )
        check_cross_fields(
            self.defaults,
            {field: f"defaults.{field}" for field in field_types(Defaults)},
        )
        scope_rules: dict[tuple[str, str], list[ExceptionRule]] = {
            ("kind", name): [] for name in self.kinds
        }
        ids = set()
        for rule in self.exceptions:
            if rule.id in ids:
                raise_invalid(f"exceptions.{rule.id}.id", "this id is used twice")
            ids.add(rule.id)
            self.check_exception(rule)
            rules = scope_rules.setdefault((rule.scope, rule.scope_name), [])
            for other in rules:
                if other.setting == rule.setting:
                    raise_invalid(
                        f"exceptions.{rule.id}.setting",
                        f"exception {other.id} already sets {rule.setting} for "
                        f"{rule.scope} {rule.scope_name}; remove it first",
                    )
            rules.append(rule)
        for (scope, name), rules in scope_rules.items():
            policy = self.kinds[name] if scope == "kind" else None
            self.check_scope(name, policy, rules)

    def check_exception(self, rule: ExceptionRule) -> None:
        """Check that the scope exists and allows the setting and its value."""
        path = f"exceptions.{rule.id}"
        if not NAME_PATTERN.fullmatch(rule.id):
            raise_invalid(f"{path}.id", f"the id must match {NAME_PATTERN.pattern}")
        if not (rule.reason.strip() and rule.author.strip()):
            raise_invalid(f"{path}.reason", "a reason and an author are required")
        names = {"kind": self.kinds, "team": self.teams}.get(rule.scope)
        if names is not None and rule.scope_name not in names:
            raise_invalid(
                f"{path}.scope_name",
                f"there is no {rule.scope} named {rule.scope_name!r}",
            )
        settings = SCOPE_SETTINGS[rule.scope]
        if rule.setting not in settings:
            raise_invalid(
                f"{path}.setting",
                f"{rule.setting!r} can't be set for a {rule.scope}; "
                f"use one of {', '.join(sorted(settings))}",
            )
        if rule.expires_at is not None and rule.expires_at <= rule.created_at:
            raise_invalid(
                f"{path}.expires_at", "expires_at must be later than created_at"
            )
        convert(rule.value, SETTING_TYPES[rule.setting], f"{path}.value")

    def check_scope(
        self, name: str, policy: KindPolicy | None, rules: list[ExceptionRule]
    ) -> None:
        """Check the rules between fields for one scope, with all its exceptions.

        The check is repeated for the values in effect after each expiry.
        """
        fields = field_types(Defaults)
        expiries = {rule.expires_at for rule in rules if rule.expires_at} | {None}
        for expiry in expiries:
            values: dict[str, Any] = {}
            paths: dict[str, str] = {}
            if policy and policy.deadline_ms is not None:
                values["deadline_ms"] = policy.deadline_ms
                paths["deadline_ms"] = f"kinds.{name}.deadline_ms"
            for rule in rules:
                if rule.setting in fields and (
                    expiry is None or rule.is_active(expiry)
                ):
                    values[rule.setting] = rule.value
                    paths[rule.setting] = f"exceptions.{rule.id}.value"
            check_cross_fields(msgspec.structs.replace(self.defaults, **values), paths)

    def effective(
        self,
        setting: str,
        kind: str | None = None,
        team: str | None = None,
        domain: str | None = None,
        now: datetime | None = None,
    ) -> Any:
        """Return the value of a setting that applies to a request or process.

        In order of precedence, the value comes from an active exception for the
        kind, for the team or for the failure domain, the policy of the kind, the
        policy of the team, or the defaults. A kind or team without a policy uses the
        policy's default values. ``deadline_ms`` is limited to the effective
        ``max_deadline_ms``, which may come from another scope.

        Usage::

            configuration.effective("deadline_ms", kind="quote", team="brusadelli")

        :param setting: The name of a field of Defaults or of a policy.
        :param now: A time with a time zone, by default the current time.
        :raises ConfigurationError: If the setting does not exist.
        """
        if setting not in SETTING_TYPES:
            raise ConfigurationError(
                f"unknown setting {setting!r}", "look up setting", setting
            )
        now = now or datetime.now(UTC)
        value = self.find_exception_value(
            setting, {"kind": kind, "team": team, "domain": domain}, now
        )
        if value is None:
            value = self.find_policy_value(setting, kind, team)
        if setting == "deadline_ms":
            value = min(
                value, self.effective("max_deadline_ms", kind, team, domain, now)
            )
        return value

    def find_exception_value(
        self, setting: str, names: dict[str, str | None], now: datetime
    ) -> Any:
        """Return the value of the exception with the highest precedence, or None."""
        matches = {
            rule.scope: rule.value
            for rule in self.exceptions
            if rule.setting == setting
            and rule.scope_name == names[rule.scope]
            and rule.is_active(now)
        }
        return next((matches[scope] for scope in names if scope in matches), None)

    def find_policy_value(
        self, setting: str, kind: str | None, team: str | None
    ) -> Any:
        """Return the value of a setting, ignoring exceptions."""
        for policy in (
            self.kinds.get(kind or "") or KindPolicy(),
            self.teams.get(team or "") or TeamPolicy(),
            self.defaults,
        ):
            value = getattr(policy, setting, None)
            if value is not None:
                return value
        raise AssertionError(f"setting {setting} has no default")

    def with_value(self, path: str, text: str) -> Self:
        """Return a copy in which the field at ``path`` has the value in ``text``.

        Only fields of existing kinds and teams can be set, so that a misspelt name
        does not create a new one. ``null`` clears an optional field.

        :raises ConfigurationError: If the path is unknown or the value is invalid.
        """
        changed = self.copy()
        section, _, field = path.rpartition(".")
        parent: Any = None
        if section == "defaults":
            parent = changed.defaults
        elif section.startswith(("kinds.", "teams.")):
            group, _, name = section.partition(".")
            parent = getattr(changed, group).get(name)
        if parent is None or field not in parent.__struct_fields__:
            raise ConfigurationError(
                "unknown field; use defaults.FIELD, kinds.NAME.FIELD or "
                "teams.NAME.FIELD with an existing kind or team",
                "set value",
                path,
            )
        field_type = field_types(type(parent))[field]
        setattr(parent, field, convert(text, field_type, path, strict=False))
        changed.validate()
        return changed

    def copy(self) -> Self:
        """Return a deep copy."""
        return msgspec.convert(self.to_builtins(keep_datetimes=True), type(self))

    def flatten(self) -> dict[str, Any]:
        """Return the JSON values of all fields, by path."""
        document = self.to_builtins()
        document["exceptions"] = {rule["id"]: rule for rule in document["exceptions"]}
        flat: dict[str, Any] = {}

        def walk(value: Any, path: str) -> None:
            if isinstance(value, dict):
                for name, child in value.items():
                    walk(child, f"{path}.{name}" if path else name)
            else:
                flat[path] = value

        walk(document, "")
        return flat

    @classmethod
    def example(cls) -> Self:
        """Return the example configuration of the demo and the tests."""
        configuration = cls(
            kinds={
                "stock-check": KindPolicy(
                    "urgent", idempotent=True, read_only=True, deadline_ms=2000
                ),
                "cut-list": KindPolicy("normal", deadline_ms=60_000),
                "quote": KindPolicy("normal"),
                "flag-change": KindPolicy("urgent", deadline_ms=2000),
                "surf-alert": KindPolicy("urgent", idempotent=True, deadline_ms=5000),
                "swap": KindPolicy("normal"),
            },
            teams={"brusadelli": TeamPolicy(), "gulfline": TeamPolicy()},
        )
        configuration.validate()
        return configuration


def raise_invalid(path: str, message: str) -> None:
    raise ConfigurationError(message, "validate configuration", path)


def check_cross_fields(values: Defaults, paths: dict[str, str]) -> None:
    """Check each rule of which at least one field has a path in ``paths``."""
    for fields, is_satisfied, message in CROSS_FIELD_RULES:
        path = next((paths[field] for field in fields if field in paths), None)
        if path is not None and not is_satisfied(values):
            raise_invalid(path, message)


def omit_none(value: Any) -> Any:
    """Return ``value`` without dict items that are None, as TOML has no null."""
    if isinstance(value, dict):
        return {
            name: omit_none(child) for name, child in value.items() if child is not None
        }
    if isinstance(value, list):
        return [omit_none(child) for child in value]
    return value


def diff_configurations(
    before: Configuration, after: Configuration
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the values of the changed paths before and after, as two dicts.

    A path that exists on one side only is in that side's dict only.
    """
    old, new = before.flatten(), after.flatten()
    changed = [path for path in {**old, **new} if old.get(path) != new.get(path)]
    return (
        {path: old[path] for path in changed if path in old},
        {path: new[path] for path in changed if path in new},
    )
