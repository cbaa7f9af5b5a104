"""Guards against a daemon that ends on SIGHUP while it is starting."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from marigoldkeel.commands import DAEMONS


PYPROJECT = Path(__file__).parent.parent / "pyproject.toml"
LOAD_SCRIPT = """
import importlib, signal, sys
# The test runner may ignore the signal, and child processes inherit that.
signal.signal(signal.SIGHUP, signal.SIG_DFL)
module, _, function = sys.argv.pop(1).partition(":")
getattr(importlib.import_module(module), function)
print(signal.getsignal(signal.SIGHUP).name)
"""


@pytest.mark.parametrize(
    ("command", "disposition"),
    [
        *((command, "SIG_IGN") for command in DAEMONS),
        # Commands of callers must end when their terminal is closed.
        ("submit", "SIG_DFL"),
        ("demo", "SIG_DFL"),
    ],
)
@pytest.mark.parametrize("launch_method", ["script", "module"])
def test_sighup_during_startup_ends_callers_but_no_daemon(
    launch_method, command, disposition
):
    """SIGHUP announces changed settings and may arrive before a daemon handles it."""
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
