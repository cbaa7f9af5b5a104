"""Looks for unexpected errors: ``python -m fuzz --seed 1 --messages 5000``."""

import logging
import sys

import anyio
import defopt
from loguru import logger

from fuzz.daemons import find_errors, installations


def fuzz(names: list[str] | None = None, *, seed: int = 1, messages: int = 5000) -> int:
    """Send random messages to running daemons; exit with 1 if one raised an error.

    :param names: Installations to run, one after the other; all of them by default.
    :param seed: Determines the messages and their order.
    :param messages: Number of messages for each installation.
    """
    names = names or [*installations]
    unknown = [name for name in names if name not in installations]
    if unknown:
        known = ", ".join(installations)
        return _print_invalid(f"unknown installation {unknown[0]!r}; known: {known}")
    if messages < 1:
        return _print_invalid(f"--messages must be at least 1, not {messages}")
    failed = False
    for name in names:
        findings = anyio.run(find_errors, name, seed, messages)
        failed = failed or bool(findings)
        print(f"{name}, seed {seed}, {messages} messages: {len(findings)} findings")
        for finding in findings:
            print(f"  {finding}")
    return int(failed)


def _print_invalid(problem: str) -> int:
    print(problem, file=sys.stderr)
    return 2


if __name__ == "__main__":
    logger.remove()
    # uvicorn reports requests that are cancelled when an installation is stopped.
    logging.disable()
    sys.exit(defopt.run(fuzz))
