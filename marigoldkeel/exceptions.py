"""Exceptions raised by marigoldkeel.

Each names the processing step and the peer at which the error occurred.
"""

from collections.abc import Sequence


class MarigoldkeelError(Exception):
    """Base class of all exceptions raised by marigoldkeel.

    :param message: What went wrong and, where known, what to change.
    :param step: The processing step, for example ``"claim"``.
    :param peer: The address or file that the error concerns, or ``""``.
    """

    def __init__(self, message: str, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = ", ".join(
            f"{name}: {value}"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        )
        return f"{self.message} ({context})" if context else self.message


class InvalidInput(MarigoldkeelError, ValueError):
    """A caller, peer or operator provided an invalid value."""


class SettingsError(InvalidInput):
    """A settings file is unreadable, or has an unknown key or an invalid value."""


class ProtocolError(MarigoldkeelError, ValueError):
    """A peer sent a message that is malformed, truncated or too large."""


class PeerUnavailable(MarigoldkeelError, ConnectionError):
    """The peer cannot be reached, and nothing was sent."""


class PeerLost(MarigoldkeelError, ConnectionError):
    """The connection was lost after a request may have been sent."""


class PeerTimeout(MarigoldkeelError, TimeoutError):
    """The peer did not reply in time; the request may have had an effect."""


class StoreUnavailable(MarigoldkeelError, ConnectionError):
    """A call to the store failed; a write may have taken effect."""


class Refused(MarigoldkeelError, RuntimeError):
    """The request was refused and nothing was run.

    :param retry_after_s: Seconds after which a retry may succeed.
    """

    def __init__(
        self, message: str, step: str = "", peer: str = "", retry_after_s: float = 0.0
    ):
        super().__init__(message, step, peer)
        self.retry_after_s = retry_after_s


class JobFailed(MarigoldkeelError, RuntimeError):
    """The job failed; some of its tasks ran or may have run.

    :param ran: Indexes of the tasks that ran.
    :param may_have_run: Indexes of the tasks that may have run.
    """

    def __init__(
        self,
        message: str,
        step: str = "",
        peer: str = "",
        ran: Sequence[int] = (),
        may_have_run: Sequence[int] = (),
    ):
        super().__init__(message, step, peer)
        self.ran = list(ran)
        self.may_have_run = list(may_have_run)


class OutcomeUnknown(MarigoldkeelError, TimeoutError):
    """It is unknown whether the request ran; retry with the same submission id.

    :param submission_id: The id as text, or ``""`` if it is not known.
    """

    def __init__(
        self, message: str, step: str = "", peer: str = "", submission_id: str = ""
    ):
        super().__init__(message, step, peer)
        self.submission_id = submission_id


class Conflict(InvalidInput):
    """The submission id was already used with a different body."""
