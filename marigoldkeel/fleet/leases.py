"""The leases of owners on their runs and of an agent on its worker's runs.

Performs no I/O. An owner renews its lease with each message to the agent, and the agent
grants the worker a lease on all of its runs with each poll.
"""

from msgspec import Struct


# A caller that loses its connection to an owner, or has waited in vain, resubmits the
# job after this time at the earliest; no task of the job may still be running then.
RESUBMIT_DELAY_S = 1.3
# How long the runs of a job may continue after its caller has timed out.
CALLER_TIMEOUT_GRACE_S = 0.3
# Stopping a run takes up to 0.1 s. The rest of the time until a caller resubmits covers
# an agent that stops in the meantime: the worker then ends all runs when its own lease
# expires.
OWNER_LEASE_S = 0.5
# How long an owner whose lease has expired is kept after its attach, so that it can
# renew its lease. The worker's lease is not extended meanwhile.
ATTACH_GRACE_S = 0.1
# The worker's lease on all of its runs. Each poll renews it, at least every 0.2 s. Runs
# on an unreachable worker cannot be repeated elsewhere until it has expired.
WORKER_LEASE_S = 0.5
# Maximum relative error of a worker's clock. A slow clock extends the worker's lease.
MAX_CLOCK_DRIFT = 0.02
LEASE_MARGIN_S = 0.05
# Older start orders are not executed: a network partition or a pause of a process may
# have delayed them until the owner has repeated the runs elsewhere.
MAX_ORDER_AGE_S = 3 * LEASE_MARGIN_S
# Time from an owner's last message to an unreachable agent until the owner may repeat
# its runs elsewhere: the agent stops them when the owner's lease expires, and if the
# agent has failed too, the worker ends them when its own lease expires.
LOST_AGENT_TIMEOUT_S = (
    MAX_ORDER_AGE_S + OWNER_LEASE_S + WORKER_LEASE_S * (1 + MAX_CLOCK_DRIFT)
)
# Time from the reason of an owner's order to stop a run until the worker must have
# ended it.
ORDERED_STOP_TIMEOUT_S = RESUBMIT_DELAY_S - CALLER_TIMEOUT_GRACE_S
# Time from an owner's last message until no start order of an earlier agent can have an
# effect: the order carries the end of the worker's lease.
MAX_START_DELAY_S = MAX_ORDER_AGE_S + WORKER_LEASE_S * (1 + MAX_CLOCK_DRIFT)
# Longest lease granted at a planned stop of the agent: the agent's successor has this
# long to start and take over the worker's runs.
MAX_HANDOVER_LEASE_S = 1.0


class Owner(Struct):
    """An entry that may own runs on this worker.

    :ivar lease_renewed_at: When the owner sent the last message that renewed its lease,
        on the clock that includes suspension.
    :ivar attached_at: When its last attach arrived, on the same clock.
    """

    incarnation: str
    name: str
    lease_renewed_at: float
    attached_at: float

    def has_lease(self, now: float) -> bool:
        """Return whether the owner's lease has not expired."""
        return now - self.lease_renewed_at <= OWNER_LEASE_S

    def may_renew(self, now: float) -> bool:
        """Return whether an owner that has just attached may still renew its lease.

        Its runs end before it may repeat them elsewhere, even if the renewal is lost.
        """
        silent_s = now - self.lease_renewed_at
        is_in_time = silent_s < LOST_AGENT_TIMEOUT_S - MAX_ORDER_AGE_S
        return is_in_time and now - self.attached_at <= ATTACH_GRACE_S

    @property
    def runs_end_by(self) -> float:
        """When the worker must have ended the owner's runs if it stays silent."""
        return self.lease_renewed_at + LOST_AGENT_TIMEOUT_S - LEASE_MARGIN_S


def longest_lease_s(until: float, now: float) -> float:
    """Return the longest lease that ends by a time, whatever the worker's clock."""
    return max(0.0, (until - now) / (1 + MAX_CLOCK_DRIFT))


def end_by_time_out(sent_at: float, caller_waits_ms: int) -> float:
    """Return when a run must have ended, as its caller may submit again afterwards.

    :param sent_at: When the caller waited for ``caller_waits_ms`` milliseconds more.
    """
    return sent_at + caller_waits_ms / 1000 + RESUBMIT_DELAY_S - LEASE_MARGIN_S
