"""Functions that submit one job or call, each in its own session."""

import uuid
from collections.abc import Iterable, Sequence
from typing import Any

from marigoldkeel.sessions import DEFAULT_DEADLINE_S, CallResult, JobResult, Session


def submit(
    kind: str,
    tasks: Iterable[Any],
    *,
    entries: Sequence[str] | str,
    team: str,
    token: str = "",
    deadline_s: float = DEFAULT_DEADLINE_S,
    submission_id: uuid.UUID | str | None = None,
    unanswered: int | None = None,
) -> JobResult:
    """Run a job and return its result; see `sessions.Session.submit`.

    Usage::

        submit("cut-list", [{"board": 1}], entries="10.0.0.1:8000", team="shop")
    """
    with Session(entries, team, token=token) as session:
        return session.submit(
            kind,
            tasks,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )


def call(
    kind: str,
    value: Any,
    *,
    entries: Sequence[str] | str,
    team: str,
    token: str = "",
    deadline_s: float = DEFAULT_DEADLINE_S,
    submission_id: uuid.UUID | str | None = None,
    unanswered: int | None = None,
) -> CallResult:
    """Make one call and return its result; see `sessions.Session.submit`.

    Usage::

        call("quote", {"sku": 7}, entries="10.0.0.1:8000", team="garden-centres")
    """
    with Session(entries, team, token=token) as session:
        return session.call(
            kind,
            value,
            deadline_s=deadline_s,
            submission_id=submission_id,
            unanswered=unanswered,
        )
