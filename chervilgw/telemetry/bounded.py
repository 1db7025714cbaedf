"""Bounded, non-blocking output for log lines."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable

LINES_PER_S = 300.0
"""A busy entry ends about 50 requests a second and writes one or two lines for each; a
burst of refusals may have several times that."""
BURST_LINES = 600.0
PENDING_BYTES = 262_144
"""Output that waits for a slow reader; beyond it lines are dropped."""


class BoundedStream:
    """Stream that drops lines rather than wait; see :func:`make_bounded_stream`."""

    def __init__(self, descriptor: int, clock: Callable[[], float]):
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._filled_s = clock()
        self._pending = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it and count it."""
        now_s = self._clock()
        gain = (now_s - self._filled_s) * LINES_PER_S
        self._filled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + gain)
        data = text.encode("utf-8", "replace")
        if self._tokens < 1.0 or len(self._pending) + len(data) > PENDING_BYTES:
            self.dropped += 1
            return len(text)
        self._tokens -= 1.0
        if self.dropped and self._tokens >= 1.0:
            line = {"level": "warning", "event": "logs_dropped", "lines": self.dropped}
            self._pending += json.dumps(line).encode() + b"\n"
            self.dropped = 0
        self._pending += data
        self._send()
        return len(text)

    def flush(self) -> None:
        """Send what the reader takes now."""
        self._send()

    def _send(self) -> None:
        while self._pending:
            try:
                sent = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines are lost with their reader.
                self._pending.clear()
                return
            del self._pending[:sent]


def make_bounded_stream(
    descriptor: int, clock: Callable[[], float] = time.monotonic
) -> BoundedStream:
    """Return a stream on a file descriptor, which becomes non-blocking.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, such as that of standard output.
    clock : callable
        Monotonic time in seconds.
    """
    os.set_blocking(descriptor, False)
    return BoundedStream(descriptor, clock)
