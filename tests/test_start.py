"""Tests of what the start of a daemon imports and does before it runs."""

import subprocess
import sys

import pytest


IMPORT_DAEMON = """
import sys
sys.argv = ["marigoldkeel", "serve", "settings.toml"]
import marigoldkeel.__main__
import marigoldkeel.platform.daemons
import gc
print(gc.isenabled(), *sys.modules)
"""


@pytest.fixture(scope="module")
def started() -> list[str]:
    """The state of the garbage collector and the modules of a fleet's daemon."""
    return subprocess.run(
        [sys.executable, "-c", IMPORT_DAEMON],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()


@pytest.mark.parametrize("module", ["httpcore", "h11", "defopt", "trio", "jinja2"])
def test_daemon_of_a_fleet_does_not_import(started, module):
    # Imports are most of the time that a restarted daemon needs before it serves.
    assert module not in started


def test_no_collection_runs_while_a_daemon_imports_its_modules(started):
    assert started[0] == "False"
