"""Repeatable jobs on a fleet of workers, each job owned by the entry that took it.

A repeatable job may run again from the start, but no task of it runs twice at the
same time. Its owner keeps its state in memory only; the caller asks again when an
owner is lost. See docs/platform.md.
"""
