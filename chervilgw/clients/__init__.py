"""Clients of the product's own contracts: log, weight store, VM list, engines."""

from chervilgw.clients.errors import PlatformError, RecordsExpired
from chervilgw.clients.log import LogPage, Stream

__all__ = ["LogPage", "PlatformError", "RecordsExpired", "Stream"]
