"""Errors of the sidecar."""

from chervilgw.core.errors import ChervilError


class DamagedAnswer(ChervilError):
    """The engine's answer is malformed, cut, or has missing or duplicate tokens."""
