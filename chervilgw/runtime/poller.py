"""Poller that reports the end of a peer's stream also while reading is paused."""

from __future__ import annotations

import contextlib
import select
from typing import Any

from circuits.core.pollers import EPoll


class HangupPoller(EPoll):
    """Poller with an interest in the end of a stream alone.

    The library drops a descriptor that is neither read nor written, so that nothing is
    reported of it, not even a reset. A watched descriptor whose peer ends the stream or
    resets the connection brings one ``_disconnect`` event, after which it is no longer
    polled.
    """

    def __init__(self, channel="epoll"):
        self._watched: dict[Any, str] = {}
        super().__init__(channel=channel)
        # Only watched descriptors are registered for this event.
        self._disconnected_flag |= select.EPOLLRDHUP

    def watch_end(self, source, fd):
        """Report the end of a stream that is not read.

        Parameters
        ----------
        source : circuits.BaseComponent
            Component whose channel gets the event.
        fd : socket.socket
            Socket that is not read.
        """
        self._watched[fd] = source.channel
        self._updateRegistration(fd)

    def unwatch_end(self, fd):
        """Undo :meth:`watch_end`; a reader is added next."""
        self._watched.pop(fd, None)

    def getTarget(self, fd):  # noqa: N802 (name of the library)
        """Return the channel that gets the events of a descriptor."""
        return self._watched.get(fd) or super().getTarget(fd)

    def discard(self, fd):
        """Report nothing further of a descriptor."""
        self._watched.pop(fd, None)
        super().discard(fd)

    def _updateRegistration(self, fd):  # noqa: N802
        if fd not in self._watched:
            super()._updateRegistration(fd)
            return
        with contextlib.suppress(OSError, ValueError):
            self._poller.unregister(fd)
        mask = select.EPOLLRDHUP
        if fd in self._write:
            mask |= select.EPOLLOUT
        self._poller.register(fd, mask)
        self._map[fd.fileno()] = fd

    def _process(self, fileno, event):
        fd = self._map.get(fileno)
        super()._process(fileno, event)
        if event & self._disconnected_flag:
            self._watched.pop(fd, None)
