"""Runs the command line with ``python -m marigoldkeel``."""

from marigoldkeel.commands import main


if __name__ == "__main__":
    main()
