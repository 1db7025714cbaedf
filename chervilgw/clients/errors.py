"""Errors of the platform's services."""

from __future__ import annotations

from chervilgw.core.errors import ChervilError


class PlatformError(ChervilError):
    """A service of the platform could not be reached or answered with an error.

    Parameters
    ----------
    detail : str
        What happened.
    may_have_run : bool
        Whether the request may have taken effect despite the error.
    """

    def __init__(self, detail: str, may_have_run: bool):
        super().__init__(detail)
        self.may_have_run = may_have_run


class RecordsExpired(PlatformError):
    """The log no longer retains the requested records.

    Parameters
    ----------
    oldest : int
        Offset of the oldest retained record.
    """

    def __init__(self, oldest: int):
        super().__init__(
            f"the oldest retained record has offset {oldest}", may_have_run=False
        )
        self.oldest_offset = oldest
