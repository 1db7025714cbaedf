"""Serving system between callers and model engines."""

__version__ = "0.1.0"
