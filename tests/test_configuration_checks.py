"""Tests of the checks of a configuration before it is applied."""

from datetime import UTC, datetime

import defopt
import pytest

from marigoldkeel import operators
from marigoldkeel.configuration import Configuration
from marigoldkeel.configuration_checks import find_problems
from marigoldkeel.memory import MemoryStore


NOW = datetime(2026, 12, 7, tzinfo=UTC)


def exceptions(*rows: str) -> str:
    """Return exceptions, each given as "scope name setting value [expiry]"."""
    text = ""
    for number, row in enumerate(rows, 1):
        scope, name, setting, value, *expiry = row.split()
        text += (
            f'[[exceptions]]\nid = "e{number}"\nscope = "{scope}"\n'
            f'scope_name = "{name}"\nsetting = "{setting}"\nvalue = {value}\n'
            'reason = "r"\nauthor = "a"\ncreated_at = 2026-01-01T00:00:00Z\n'
        )
        text += "".join(f"expires_at = {when}T00:00:00Z\n" for when in expiry)
    return text


@pytest.mark.parametrize(
    "text, paths",
    [
        (Configuration.example().to_toml(), []),
        (exceptions("team t burst 900 2026-12-07"), ["exceptions.e1"]),
        (exceptions("team t burst 900 2026-12-08"), []),
        (exceptions("kind k ageing_ms 900"), ["exceptions.e1"]),
        (exceptions("domain d ageing_ms 900"), []),
        (
            exceptions("team t deadline_ms 9000", "kind k deadline_ms 8000"),
            ["exceptions.e1"],
        ),
        (
            exceptions("team t deadline_ms 9000", "kind k deadline_ms 8000 2027-01-01"),
            [],
        ),
        ("[kinds.k]\ndeadline_ms = 3000", ["defaults.deadline_ms"]),
        (exceptions("kind k max_tasks 150"), ["exceptions.e1.value"]),
        (exceptions("team t burst 2000"), ["exceptions.e1.value"]),
        (exceptions("team t max_deadline_ms 10000"), []),
        (
            "[kinds.k]\ndeadline_ms = 50000\n[kinds.l]\n"
            + exceptions("team t max_deadline_ms 20000"),
            ["exceptions.e1.value"],
        ),
        ("[defaults]\nclaim_timeout_ms = 10000", ["kinds.k.deadline_ms"]),
        ("[defaults]\nlost_after_ms = 2000", ["defaults.lost_after_ms"]),
        ("[defaults]\nageing_ms = 10000", ["defaults.ageing_ms"]),
        ("[defaults]\nlong_task_ms = 9999", []),
        ("[defaults]\nmax_inflight_tasks = 149", ["kinds.k.max_tasks"]),
        ("[kinds.k]\nmax_tasks = 2001", ["kinds.k.max_tasks"]),
        ("[teams.t]\nburst = 149", ["teams.t.burst"]),
        ("[teams.t]\ntasks_per_s = 0", ["teams.t.burst"]),
    ],
)
def test_entries_without_effect_and_contradictions_are_found(text, paths):
    # Guards against mistakes that the operator notices only when requests are refused.
    for section in ("[kinds.k]", "[teams.t]"):
        if section not in text and "kinds.quote" not in text:
            text += f"{section}\n" if text.endswith("\n") else f"\n{section}\n"
    findings = find_problems(Configuration.from_toml(text), NOW)
    assert [finding.path for finding in findings] == paths


@pytest.mark.parametrize(
    "text, code, printed",
    [
        ("# revision: 0\n[teams.t]\n", 0, "teams.t.burst: unset -> 2000"),
        ("[teams.t]\n", 0, "config apply needs --revision"),
        ("# revision: 7\n", 1, "based on revision 7, but the current one is 0"),
        ("# revision: 0\n[teams.t]\nburst = 1\n", 1, "teams.t.burst: 1 is raised"),
        ("[teams.t]\nburst = 0\n", 2, "teams.t"),
        (exceptions("kind x burst 1"), 2, "exceptions.e1"),
    ],
)
def test_check_prints_findings_and_writes_nothing(
    monkeypatch, capsys, tmp_path, text, code, printed
):
    # Guards against a check that changes what it checks, or that hides its result.
    store = MemoryStore()
    monkeypatch.setattr(operators, "open_store", lambda kind, url: store)
    file = tmp_path / "configuration.toml"
    file.write_text(text)
    arguments = ["config", "check", str(file), "--store", "http://127.0.0.1:1"]
    assert defopt.run(operators.COMMANDS, argv=arguments) == code
    assert printed in "".join(capsys.readouterr())
    assert not store.counts["txn"]
