"""A randomized soak test of entries and agents with faults injected from outside.

Entries and agents run as separate processes on loopback. The store, the workers, the
operator and the callers are stand-ins in the process of the soak test. Proxies on the
links delay, hold back, silence and reset connections, and signals stop, pause and kill
the processes. What callers and workers observe is checked against the guarantees.
"""
