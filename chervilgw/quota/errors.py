"""Exceptions of the quota layer."""

from chervilgw.core.errors import ChervilError


class QuotaError(ChervilError):
    """A call breaks the rules of the quota layer, such as cancelling a started run."""
