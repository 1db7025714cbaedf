"""HTTP clients of the append-only log, the VM list and the engines."""

from chervilgw.clients.errors import PlatformError, RecordsExpired
from chervilgw.clients.log import LogPage, Stream

__all__ = ["LogPage", "PlatformError", "RecordsExpired", "Stream"]
