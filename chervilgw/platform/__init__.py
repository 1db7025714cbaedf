"""Clients of the platform: log, weight store, list of VMs, engines."""

from chervilgw.platform.errors import PlatformError, RecordsExpired
from chervilgw.platform.log import LogPage, Stream
from chervilgw.platform.vm_list import ListedVm

__all__ = ["ListedVm", "LogPage", "PlatformError", "RecordsExpired", "Stream"]
