"""Guards against invalid or wrongly applied configurations and revisions going back."""

import doctest
from datetime import UTC, datetime, timedelta

import pytest

from marigoldkeel import revisions
from marigoldkeel.configuration import (
    Configuration,
    ConfigurationError,
    Defaults,
    ExceptionRule,
    TeamPolicy,
)


NOW = datetime(2026, 3, 1, 12, tzinfo=UTC)


def make_rule(scope, name, setting, value, rule_id="e1", expires_in_s=None):
    expires = expires_in_s and NOW + timedelta(seconds=expires_in_s)
    return ExceptionRule(
        rule_id, scope, name, setting, value, "load test", "ann", NOW, expires
    )


def test_round_trips_preserve_the_document():
    example = Configuration.example()
    example.exceptions.append(
        make_rule("domain", "Cantù", "heartbeat_ms", 500, "e1", 60)
    )
    example.kinds["quote"].deadline_ms = None
    assert Configuration.from_toml(example.to_toml()) == example
    assert Configuration.from_json(example.to_json()) == example


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("[defaults]\ndeadline = 5", "defaults"),
        ("[defaults]\ndeadline_ms = 300001", "defaults.deadline_ms"),
        ("[defaults]\ndeadline_ms = true", "defaults.deadline_ms"),
        ("[defaults]\nmax_deadline_ms = 9999", "defaults.deadline_ms"),
        ("[defaults]\nretention_s = 359", "defaults.retention_s"),
        ("[defaults]\nheartbeat_ms = 1501", "defaults.suspect_after_ms"),
        ("[defaults]\ndrain_timeout_ms = 299999", "defaults.drain_timeout_ms"),
        ("[defaults]\nprobe_ratio = nan", "defaults.probe_ratio"),
        ("[kinds.quote]\npriority = 'high'", "kinds.quote.priority"),
        ("[kinds.quote]\nread_only = true", "kinds.quote.idempotent"),
        ("[kinds.'a.b']", "kinds.a.b"),
        ("[teams.gulfline]\ntoken_sha256 = 'AB'", "teams.gulfline.token_sha256"),
        ("[teams.gulfline]\ntasks_per_s = inf", "teams.gulfline.tasks_per_s"),
        ("teams = 3", "teams"),
        ("not toml", ""),
    ],
)
def test_fault_in_the_document_names_its_path(text, path):
    with pytest.raises(ConfigurationError) as caught:
        Configuration.from_toml(text)
    assert caught.value.path == path and caught.value.step


@pytest.mark.parametrize(
    ("rules", "path"),
    [
        ([make_rule("host", "h1", "heartbeat_ms", 500)], "exceptions.e1.scope"),
        ([make_rule("kind", "quoet", "deadline_ms", 5)], "exceptions.e1.scope_name"),
        ([make_rule("kind", "quote", "idempotent", True)], "exceptions.e1.setting"),
        ([make_rule("domain", "Meda", "retention_s", 900)], "exceptions.e1.setting"),
        ([make_rule("kind", "quote", "deadline_ms", "5")], "exceptions.e1.value"),
        ([make_rule("team", "gulfline", "burst", 0)], "exceptions.e1.value"),
        (
            [make_rule("team", "gulfline", "burst", 3, "e1", -1)],
            "exceptions.e1.expires_at",
        ),
        ([make_rule("domain", "Meda", "heartbeat_ms", 2000)], "exceptions.e1.value"),
        (
            [
                make_rule("domain", "Meda", "suspect_after_ms", 4000, "e1", 60),
                make_rule("domain", "Meda", "heartbeat_ms", 2000, "e2"),
            ],
            "exceptions.e2.value",
        ),
        (
            [make_rule("team", "gulfline", "burst", n, f"e{n}") for n in (1, 2)],
            "exceptions.e2.setting",
        ),
        ([make_rule("team", "gulfline", "burst", 3)] * 2, "exceptions.e1.id"),
    ],
)
def test_fault_in_an_exception_names_its_path(rules, path):
    example = Configuration.example()
    example.exceptions = rules
    with pytest.raises(ConfigurationError) as caught:
        example.validate()
    assert caught.value.path == path


def test_validate_checks_structs_built_in_python():
    for defaults in (Defaults(deadline_ms=0), Defaults(heartbeat_ms=None)):
        with pytest.raises(ConfigurationError):
            Configuration(defaults=defaults).validate()


@pytest.mark.parametrize(
    ("setting", "scopes", "after_s", "value"),
    [
        ("deadline_ms", {}, 0, 10_000),
        ("deadline_ms", {"kind": "cut-list"}, 0, 60_000),
        ("deadline_ms", {"domain": "Meda", "kind": "cut-list"}, 0, 7),
        ("deadline_ms", {"team": "gulfline", "domain": "Meda"}, 0, 6),
        ("deadline_ms", {"kind": "swap", "team": "gulfline", "domain": "Meda"}, 0, 5),
        ("deadline_ms", {"kind": "swap", "team": "gulfline"}, 60, 6),
        ("deadline_ms", {"kind": "cut-list", "team": "brusadelli"}, 0, 20_000),
        ("priority", {"kind": "no-such"}, 0, "normal"),
        ("burst", {"team": "gulfline"}, 0, TeamPolicy().burst),
    ],
)
def test_effective_value_follows_scope_order_and_expiry(
    setting, scopes, after_s, value
):
    example = Configuration.example()
    example.exceptions = [
        make_rule("domain", "Meda", "deadline_ms", 7, "e1"),
        make_rule("team", "gulfline", "deadline_ms", 6, "e2"),
        make_rule("kind", "swap", "deadline_ms", 5, "e3", 60),
        make_rule("team", "brusadelli", "max_deadline_ms", 20_000, "e4"),
    ]
    example.validate()
    now = NOW + timedelta(seconds=after_s)
    assert example.effective(setting, **scopes, now=now) == value


@pytest.mark.parametrize(
    ("path", "text"),
    [
        ("defaults.deadline_ms", "soon"),
        ("defaults.no_such", "1"),
        ("kinds.quoet.max_tasks", "5"),
        ("exceptions.e1.value", "5"),
        ("deadline_ms", "5"),
    ],
)
def test_setting_an_unknown_field_or_bad_value_is_rejected(path, text):
    example = Configuration.example()
    with pytest.raises(ConfigurationError) as caught:
        example.with_value(path, text)
    assert caught.value.path == path and example == Configuration.example()


def test_revisions_docstring_example():
    assert doctest.testmod(revisions).attempted > 0
    assert doctest.testmod(revisions).failed == 0
