"""Stand-ins for what marigoldkeel's fleet serves, and a tool that plays loads on it.

`emulator.workers` behaves like a worker, `emulator.plays` runs entries, agents and
workers in simulated time, with the daemons' own decisions.
"""
