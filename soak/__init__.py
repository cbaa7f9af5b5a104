"""A randomized soak of the real programs under faults injected from outside.

Entries and agents run as processes of their own on loopback. The store, the workers,
the operator and the callers are stand-ins in the soak's process; proxies between them
delay, hold back, silence and reset connections, and signals stop, pause and kill the
processes. What callers and workers see is checked against the promises.
"""
