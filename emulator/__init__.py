"""Emulated workers and platform services, and a simulator of whole fleets.

`emulator.workers` emulates a worker. `emulator.simulations` simulates entries, agents
and workers in simulated time (`emulator.event_loop`) and uses the schedulers and
supervisors of the daemons. `emulator.sites` runs the daemons themselves on loopback,
with `emulator.stores` and `emulator.runners`, which implement the platform's protocol.
"""
