"""Tests of the deploy folder: how the platform's fields reach a process."""

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from loguru import logger

from emulator.addresses import HOST, free_address
from marigoldkeel.client_guard import ClientGuard
from marigoldkeel.exceptions import SettingsError
from marigoldkeel.fleet.daemons import FleetEntry
from marigoldkeel.fleet.settings import ENVIRONMENT_VARIABLES, FleetSettings


DEPLOY = Path(__file__).parents[2] / "deploy"
LIMITS = {"MARIGOLDKEEL_MEMORY_MB": "300", "MARIGOLDKEEL_MAX_DESCRIPTORS": "1000"}
# The fields of the platform that every installation has, by the names of its pages.
FIELDS = {
    "node": "front-1",
    "zone": "a",
    "ip": HOST,
    "port_range.0": "7720",
    "bounds.grace_s": "6",
    "service": "service",
}
ADDRESSES = ("app", "listen.control", "listen.front", "listen.ready_addr")


def render(role: str) -> str:
    """Fill in a template whose only section is the list of seeds, which is empty."""
    template = (DEPLOY / f"{role}.toml").read_text()
    fields = {**FIELDS, **{name: free_address() for name in ADDRESSES}}
    fields["platform.addr"] = free_address()
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], text)


def read(tmp_path: Path, environment: dict, more: str = "") -> FleetSettings:
    path = tmp_path / "entry.toml"
    path.write_text(render("entry") + more)
    return FleetSettings.from_toml(path, environment)


@pytest.mark.parametrize(
    ("environment", "more", "memory_mb", "descriptors", "within_ms"),
    [
        ({}, "", 0, 0, None),
        (dict.fromkeys(ENVIRONMENT_VARIABLES, ""), "", 0, 0, None),
        (LIMITS, "", 300, 1000, None),
        ({"MARIGOLDKEEL_MEMORY_MB": " 160.5 "}, "", 160.5, 0, None),
        ({"MARIGOLDKEEL_EVACUATE_WITHIN_MS": "5000"}, "", 0, 0, 5000),
        ({}, "[limits]\nmemory_mb = 96\n", 96, 0, None),
        (LIMITS, "[limits]\nmemory_mb = 96\n", 300, 1000, None),
        (
            {"MARIGOLDKEEL_MAX_DESCRIPTORS": "9"},
            "[limits]\nmemory_mb = 96\n[evacuation]\nwithin_ms = 7\n",
            *(96, 9, 7),
        ),
    ],
)
def test_variables_go_before_the_file_and_an_empty_one_counts_as_missing(
    tmp_path, environment, more, memory_mb, descriptors, within_ms
):
    settings = read(tmp_path, environment, more)
    evacuation = settings.evacuation
    assert settings.limits.memory_mb == memory_mb
    assert settings.limits.max_descriptors == descriptors
    assert (evacuation and evacuation.within_ms) == within_ms


@pytest.mark.parametrize("variable", ENVIRONMENT_VARIABLES)
@pytest.mark.parametrize("value", ["many", "-1", "nan", "inf", "1,5", "[1]"])
def test_invalid_variable_is_named_in_the_error(tmp_path, variable, value):
    with pytest.raises(SettingsError, match=variable):
        read(tmp_path, {variable: value})


def test_variables_are_not_reported_as_changed_by_a_reload(tmp_path, monkeypatch):
    # A reload that read the file alone would report the limits as gone each time.
    for variable, value in LIMITS.items():
        monkeypatch.setenv(variable, value)
    path = tmp_path / "entry.toml"
    path.write_text(render("entry"))
    entry = FleetEntry(FleetSettings.from_toml(path), None, "", None, str(path))
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]))
    entry.reload()
    logger.remove(sink)
    assert [line["changed_but_not_applied"] for line in lines] == [[]]


@pytest.mark.parametrize(
    ("role", "variables"),
    [
        ("entry", set(ENVIRONMENT_VARIABLES)),
        ("agent", set(LIMITS)),
    ],
)
def test_roles_pass_on_the_limits_of_the_machine(role, variables):
    roles = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]
    assert set(roles[role]["env"]) == variables
    assert roles[role]["template"] == f"deploy/{role}.toml"


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("variables", [{}, LIMITS])
def test_process_starts_with_and_without_the_settings_of_the_machine(
    tmp_path, role, variables
):
    # A template that required fields which some installations lack kept the processes
    # from starting there.
    path = tmp_path / f"{role}.toml"
    path.write_text(render(role))
    others = {k: v for k, v in os.environ.items() if k not in ENVIRONMENT_VARIABLES}
    with subprocess.Popen(
        [sys.executable, "-m", "marigoldkeel", "serve", str(path)],
        stdout=subprocess.PIPE,
        env={**others, **variables},
    ) as process:
        lines = (msgspec.json.decode(line) for line in process.stdout)
        started = next(line for line in lines if "started as" in line["message"])
        process.kill()
    memory_mb = float(variables.get("MARIGOLDKEEL_MEMORY_MB", 0))
    descriptors = float(variables.get("MARIGOLDKEEL_MAX_DESCRIPTORS", 0))
    guard = ClientGuard.from_limits(memory_mb, descriptors)
    assert started["client_bytes"] == guard.budget.capacity
    assert started["max_connections"] == guard.max_connections
    assert started["follows_evacuations"] is False
