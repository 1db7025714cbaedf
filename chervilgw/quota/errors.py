"""Exceptions of the quota layer."""

from chervilgw.core.errors import ChervilError


class QuotaError(ChervilError):
    """An invalid call of the quota layer, such as cancelling a started run."""
