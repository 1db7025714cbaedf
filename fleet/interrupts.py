"""Turns SIGINT, SIGTERM and SIGHUP into an exception at points where it is safe."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager

_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class Interrupted(Exception):
    """The program was asked to end."""


class _Gate:
    """Remembers a signal that arrives while interrupts are held."""

    def __init__(self):
        self.depth = 0
        self.pending = False

    def on_signal(self, number, frame) -> None:
        if self.depth:
            self.pending = True
        else:
            raise Interrupted(signal.Signals(number).name)

    def release(self) -> None:
        self.depth -= 1
        if self.depth == 0 and self.pending:
            self.pending = False
            raise Interrupted("signal")


_GATE = _Gate()


def catch_interrupts() -> None:
    """Make the three signals raise :class:`Interrupted` in the main thread."""
    for number in _SIGNALS:
        signal.signal(number, _GATE.on_signal)


def ignore_interrupts() -> None:
    """Ignore the three signals, so that cleaning up is not cut short."""
    for number in _SIGNALS:
        signal.signal(number, signal.SIG_IGN)


@contextmanager
def interrupts_held() -> Iterator[None]:
    """Delay :class:`Interrupted` to the end of the block.

    A child process that was forked but not yet recorded could not be ended later.
    """
    _GATE.depth += 1
    try:
        yield
    finally:
        _GATE.release()
