"""Outgoing connections with non-blocking connects.

The client of ``circuits`` 3.2.5 polls in a loop for the end of a connect.
"""

from __future__ import annotations

import socket
import struct
from errno import EINPROGRESS
from typing import Any

from circuits import Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from chervilgw.runtime.sockets import DirectServer, detect_silence, is_closed


class dialed(Event):  # noqa: N801 (an event's class name is its event name)
    """A connect of a :class:`Dialer` ended: token, socket or None, detail."""


class Dialer(DirectServer):
    """Owns many outgoing connections.

    The result of each :meth:`dial` is a :class:`dialed` event. Later events are those
    of a server: ``read``, ``write``, ``close`` and ``disconnect``.

    Parameters
    ----------
    channel : str
        Channel of its events.
    silence_timeout_s : float or None
        A connection whose peer acknowledges neither data nor keep-alive probes for
        about this long is reset. With None the system's defaults apply.
    """

    def __init__(self, channel, silence_timeout_s=None, **kwargs):
        super().__init__(("127.0.0.1", 0), channel=channel, **kwargs)
        self._connecting: dict[Any, Any] = {}
        self._silence_timeout_s = silence_timeout_s

    def _create_socket(self):
        return None

    @handler("registered", "started", channel="*", override=True)
    def _on_registered_or_started(self, component, manager=None):
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)

    def dial(self, token, host: str, port: int):
        """Begin a connect without waiting for it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._silence_timeout_s is not None:
            detect_silence(sock, self._silence_timeout_s)
        try:
            code = sock.connect_ex((host, port))
        except (OSError, OverflowError) as error:
            # The address is no IPv4 address, or its port is out of range.
            sock.close()
            self.fire(dialed(token, None, f"connect failed: {error}"))
            return
        if code not in (0, EINPROGRESS):
            sock.close()
            self.fire(dialed(token, None, f"connect failed: errno {code}"))
            return
        self._connecting[sock] = token
        self._clients.append(sock)
        self._poller.addWriter(self, sock)

    def abandon(self, token):
        """Cancel a connect that has not ended."""
        for sock, owner in list(self._connecting.items()):
            if owner == token:
                self._finish_connect(sock, "abandoned")

    def abort(self, sock):
        """Reset a connection and discard the bytes that have not arrived.

        After an ordinary close the kernel still delivers them when the network or the
        server recovers, seconds after the request was cancelled.
        """
        if is_closed(sock) or sock not in self._clients:
            return
        # The library's close first calls shutdown, which sends the rest.
        self._discard_unsent(sock)
        self._buffers.pop(sock, None)
        if sock in self._closeq:
            self._closeq.remove(sock)
        self._poller.discard(sock)
        self._clients.remove(sock)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    def _finish_connect(self, sock, failure: str | None):
        token = self._connecting.pop(sock)
        self._poller.discard(sock)
        if failure is not None:
            self._clients.remove(sock)
            sock.close()
            self.fire(dialed(token, None, failure))
            return
        self._poller.addReader(self, sock)
        self.fire(dialed(token, sock, ""))

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock):
        """Finish a connect, or send queued data."""
        if sock not in self._connecting:
            super()._on_write(sock)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._finish_connect(sock, f"connect failed: errno {code}" if code else None)

    @handler("_disconnect", priority=1, override=True)
    def _on_disconnect(self, sock):
        if sock in self._connecting:
            self._finish_connect(sock, "connection refused")
        elif not is_closed(sock):
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._reset(sock, OSError(code, "connection lost"))
