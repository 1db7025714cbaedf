"""Errors of decoding the platform's messages."""

from __future__ import annotations

from chervilgw.core.errors import ChervilError


class DecodeError(ChervilError):
    """Bytes from the platform do not have the documented form."""
