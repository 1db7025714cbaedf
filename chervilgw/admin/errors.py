"""Errors of the administration interface."""

from __future__ import annotations

from chervilgw.core.errors import ChervilError


class AdminError(ChervilError):
    """An operator's request that cannot be carried out.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Error code for programs.
    message : str
        One sentence for the operator.
    """

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
