"""Clients of the platform: log, weight store, list of VMs, engines."""

from chervilgw.platform.errors import PlatformError, RecordsExpired
from chervilgw.platform.log import LogPage, Stream

__all__ = ["LogPage", "PlatformError", "RecordsExpired", "Stream"]
