"""Blocks requests that repeatedly crash their backend server."""

from chervilgw.crashes.gate import SuspectGate, make_suspect_gate
from chervilgw.crashes.suspicion import (
    SuspicionTable,
    make_suspicion_table,
    request_traits,
)
from chervilgw.crashes.tracker import (
    CrashTracker,
    blamed_digests,
    make_crash_tracker,
    request_digest,
)

__all__ = [
    "CrashTracker",
    "SuspectGate",
    "SuspicionTable",
    "blamed_digests",
    "make_crash_tracker",
    "make_suspect_gate",
    "make_suspicion_table",
    "request_digest",
    "request_traits",
]
