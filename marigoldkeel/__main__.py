"""Entry point of the console script and of ``python -m marigoldkeel``."""

import gc
import signal
import sys


# Must equal the keys of `commands.DAEMONS`, whose module takes too long to import
# before the signal handler below is set.
DAEMON_COMMANDS = ("serve", "entry", "agent")

if sys.argv[1:2] and sys.argv[1] in DAEMON_COMMANDS:
    # SIGHUP is sent when settings change, also while a daemon is starting and does not
    # handle the signal yet. Its default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create no garbage, so collections would only delay the start of a daemon.
    # `commands` enables them again.
    gc.disable()

from marigoldkeel.commands import main  # noqa: E402


if __name__ == "__main__":
    main()
