"""Sends random messages to running daemons and looks for unexpected errors."""
