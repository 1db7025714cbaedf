"""Errors of the translation."""

from __future__ import annotations

from chervilgw.core.errors import ChervilError


class DecodeError(ChervilError):
    """Bytes from the platform that are not what its pages describe."""
