"""Clients of the contracts in docs/contracts.md: log, weight store, list of VMs, engines."""

from chervilgw.clients.errors import PlatformError, RecordsExpired
from chervilgw.clients.log import LogPage, Stream

__all__ = ["LogPage", "PlatformError", "RecordsExpired", "Stream"]
