"""Runs the command line with ``python -m marigoldkeel``."""

import signal


# The settings may change while a daemon is still starting, before it handles this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marigoldkeel.commands import main  # noqa: E402


if __name__ == "__main__":
    main()
