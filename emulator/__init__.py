"""Stand-ins for what marigoldkeel's fleet serves, and a tool that plays loads on it.

`emulator.workers` behaves like a worker, `emulator.plays` runs entries, agents and
workers in simulated time (`emulator.worlds`), with the daemons' own decisions.
`emulator.sites` runs the daemons themselves on loopback beside `emulator.stores` and
`emulator.runners`, which speak the platform's protocol.
"""
