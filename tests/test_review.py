"""Tests that the cases of ``review/`` can be run with the deploy folder as it is."""

import compileall
import os
import re
import shutil
import signal
import subprocess
import sys
import sysconfig
from contextlib import suppress
from pathlib import Path

import pytest


ROOT = Path(__file__).parents[1]
FOLDERS = ("deploy", "marigoldkeel", "review")
# How each rig records that a task began, and that a job was answered.
RECORDS = {
    "standins": (r" start \w+\.0\.0\.0 run ", r" client got for \w+: 200 "),
    "installation": (r" begins \w+\.0\.0\.0 run ", r" answer \w+ 200 "),
    "rig3": (r" begins \w+\.0\.0\.0 run ", r" client gets 200 .* for POST "),
}


@pytest.fixture(scope="module")
def checkout(tmp_path_factory) -> Path:
    """A copy in which the cases write their records, with the libraries they expect."""
    copy = tmp_path_factory.mktemp("checkout")
    for name in FOLDERS:
        shutil.copytree(ROOT / name, copy / name)
    compileall.compile_dir(copy / "marigoldkeel", quiet=1)
    (copy / "target").mkdir()
    (copy / "target/deps").symlink_to(sysconfig.get_path("platlib"))
    return copy


def run(script: Path, trouble: bool = False) -> subprocess.CompletedProcess:
    """Run a script with the interpreter of the tests as ``python3``."""
    path = os.pathsep.join((str(Path(sys.executable).parent), os.environ["PATH"]))
    environment = {**os.environ, "PATH": path, "TROUBLE": str(int(trouble))}
    with subprocess.Popen(
        ["bash", script],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as process:
        try:
            output, _ = process.communicate()
        finally:
            # A rig that fails while it launches leaves the daemons launched before.
            with suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
    return subprocess.CompletedProcess(process.args, process.returncode, output)


@pytest.mark.parametrize("name", ["build.sh", "build-2.sh", "build-3.sh"])
def test_rigs_build(checkout, name):
    built = run(checkout / "review" / name)
    assert built.returncode == 0, built.stdout


# A field that only the platform fills in, in a template of deploy/, kept all cases of
# one rig from starting a daemon (KeyError: 'limits.memory_mb').
@pytest.mark.parametrize(
    ("rig", "case", "trouble"),
    [
        ("standins", "2", False),
        ("standins", "5", False),
        ("installation", "8", False),
        ("installation", "10", True),
        ("rig3", "12", False),
        ("rig3", "14", True),
    ],
)
def test_case_runs_to_its_end_and_holds(checkout, rig, case, trouble):
    folder = checkout / "review" / case
    (folder / "record.txt").unlink()
    ended = run(folder / "run.sh", trouble)
    assert ended.returncode == 0, ended.stdout
    record = (folder / "record.txt").read_text()
    missing = [line for line in RECORDS[rig] if not re.search(line, record)]
    assert not missing, record
