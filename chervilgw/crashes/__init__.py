"""Blocks requests that repeatedly crash their backend server."""

from chervilgw.crashes.gate import SuspectGate, make_suspect_gate
from chervilgw.crashes.tracker import (
    CrashTracker,
    blamed_digests,
    make_crash_tracker,
    request_digest,
)

__all__ = [
    "CrashTracker",
    "SuspectGate",
    "blamed_digests",
    "make_crash_tracker",
    "make_suspect_gate",
    "request_digest",
]
