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
        Whether the request may have taken effect all the same.
    """

    def __init__(self, detail: str, may_have_run: bool):
        super().__init__(detail)
        self.may_have_run = may_have_run


class RecordsExpired(PlatformError):
    """The log no longer keeps the records that were asked for.

    Parameters
    ----------
    oldest : int
        Offset of the oldest record that is still there.
    """

    def __init__(self, oldest: int):
        super().__init__(f"oldest record is {oldest}", may_have_run=False)
        self.oldest_offset = oldest
