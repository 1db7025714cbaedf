"""Loopback proxy before a TCP server, which can withhold the bytes of either direction.

It stands in for a link whose packets are lost: connections stay open, and what was
withheld arrives once the link is back, as a sender repeats it.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from dataclasses import dataclass, field
from enum import Enum

_READ_BYTES = 65_536


class Direction(Enum):
    """Direction of bytes that pass a proxy."""

    REQUESTS = "requests"
    ANSWERS = "answers"


@dataclass
class ProxyStandIn:
    """Proxy before the server at ``target``; ``address`` is where it listens."""

    target: str
    ip: str = "127.0.0.1"
    _open: dict[Direction, threading.Event] = field(default_factory=dict)
    _connections: list[socket.socket] = field(default_factory=list)

    def start(self) -> None:
        """Listen, and pass connections on until :meth:`stop`."""
        for direction in Direction:
            self._open[direction] = threading.Event()
        self.restore()
        self._listener = socket.create_server((self.ip, 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close all connections."""
        self.restore()
        for connection in (self._listener, *self._connections):
            _shut(connection)
            connection.close()

    def cut(self, *directions: Direction) -> None:
        """Withhold the bytes of these directions."""
        for direction in directions:
            self._open[direction].clear()

    def restore(self) -> None:
        """Pass on what was withheld, and all later bytes."""
        for is_open in self._open.values():
            is_open.set()

    def _accept(self) -> None:
        host, _, port = self.target.rpartition(":")
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                server = socket.create_connection((host, int(port)))
                self._connections += [caller, server]
                for direction, source, sink in (
                    (Direction.REQUESTS, caller, server),
                    (Direction.ANSWERS, server, caller),
                ):
                    arguments = (source, sink, self._open[direction])
                    threading.Thread(target=_pump, args=arguments, daemon=True).start()


def _pump(source: socket.socket, sink: socket.socket, is_open: threading.Event):
    with contextlib.suppress(OSError):
        while data := source.recv(_READ_BYTES):
            is_open.wait()
            sink.sendall(data)
    is_open.wait()
    _shut(sink)


def _shut(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
