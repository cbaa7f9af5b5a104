"""Starts the program, installed or with ``python -m marigoldkeel``."""

import signal
import sys


# The keys of commands.DAEMONS, which takes too long to import.
DAEMON_COMMANDS = ("serve", "entry", "agent")

# The settings may change while a daemon is still starting, before it handles this.
if sys.argv[1:2] and sys.argv[1] in DAEMON_COMMANDS:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marigoldkeel.commands import main  # noqa: E402


if __name__ == "__main__":
    main()
