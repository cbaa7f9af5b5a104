"""A register that holds the document with the highest revision offered to it."""

from typing import Any


class RevisionRegister:
    """The newest known revision of one document. It does no I/O.

    Guarantees: ``revision`` never decreases, and ``document`` is always the one offered
    with ``revision``. Offers may be repeated, delayed and reordered; registers that
    were offered the same revisions hold the same document.

    Assumptions: revisions start at 1 and are assigned by one compare-and-swap register,
    so that two different documents never have the same revision. No clock is used, and
    no offer has to arrive within a certain time.

    >>> register = RevisionRegister()
    >>> register.ready
    False
    >>> register.offer(2, "second"), register.offer(1, "first")
    (True, False)
    >>> register.ready, register.revision, register.document
    (True, 2, 'second')
    """

    __slots__ = ("document", "revision")

    def __init__(self):
        self.revision = 0
        self.document: Any = None

    @property
    def ready(self) -> bool:
        """Whether a revision has been applied."""
        return self.revision > 0

    def offer(self, revision: int, document: Any) -> bool:
        """Apply ``document`` if its revision is higher than the current one.

        :return: Whether it was applied.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        self.document = document
        return True
