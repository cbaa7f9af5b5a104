"""Repeatable jobs on a fleet of workers; each job is owned by the entry it was sent to.

A repeatable job may be run again from the start, but no task of it runs twice at the
same time. The owner keeps the job's state in memory only; if the owner is lost, the
caller submits the job again. See docs/platform.md.
"""
