"""Guards against a daemon that a change of its settings ends while it starts."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from marigoldkeel.commands import DAEMONS


PYPROJECT = Path(__file__).parent.parent / "pyproject.toml"
LOAD_SCRIPT = """
import importlib, signal, sys
# Whoever runs the tests may ignore the signal, and programs inherit that.
signal.signal(signal.SIGHUP, signal.SIG_DFL)
module, _, function = sys.argv.pop(1).partition(":")
getattr(importlib.import_module(module), function)
print(signal.getsignal(signal.SIGHUP).name)
"""


@pytest.mark.parametrize(
    ("command", "disposition"),
    [
        *((command, "SIG_IGN") for command in DAEMONS),
        # A caller's terminal ends what it started when it is closed.
        ("submit", "SIG_DFL"),
        ("demo", "SIG_DFL"),
    ],
)
@pytest.mark.parametrize("launch_method", ["script", "module"])
def test_sighup_during_startup_ends_callers_but_no_daemon(
    launch_method, command, disposition
):
    """Guards against a daemon of the installed program that SIGHUP kills.

    Settings may change before the daemon handles the signal itself.
    """
    entry_points = {
        "script": tomllib.loads(PYPROJECT.read_text())["project"]["scripts"][
            "marigoldkeel"
        ],
        "module": "marigoldkeel.__main__:main",
    }
    arguments = [entry_points[launch_method], command, "settings.toml"]
    output = subprocess.check_output(
        [sys.executable, "-c", LOAD_SCRIPT, *arguments], cwd=PYPROJECT.parent, text=True
    )
    assert output.strip() == disposition
