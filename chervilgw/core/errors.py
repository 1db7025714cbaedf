"""Base class of the package's exceptions; each layer derives subclasses."""


class ChervilError(Exception):
    """Base class of all exceptions that this package raises."""
