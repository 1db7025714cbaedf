"""Errors of the configuration layer."""

from chervilgw.core.errors import ChervilError


class ConfigurationError(ChervilError):
    """A change or snapshot that does not satisfy the configuration's rules."""
