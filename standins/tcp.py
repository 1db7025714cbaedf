"""TCP server task that accepts without delay and can own outgoing connections."""

from __future__ import annotations

import socket
import struct

from circuits import handler
from circuits.net.sockets import TCPServer

CONNECT_TIMEOUT_S = 0.2


class PromptTCPServer(TCPServer):
    """TCP server that accepts and sends at once.

    ``TCPServer`` accepts in a generator, which circuits resumes only after an idle tick
    of up to 100 ms. It also leaves TCP_NODELAY off on accepted sockets.
    """

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accept_done(sock)

    @handler("write", override=True)
    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send at once what the kernel takes; queue only the rest.

        The inherited handler registers the socket with the poller for each write.
        """
        # The caller may leave while a write is queued; the poller raises for a closed
        # socket.
        if sock.fileno() < 0:
            return
        if not self._buffers[sock]:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                self._close(sock)
                return
        if data:
            super().write(sock, data)

    def adopt(self, sock: socket.socket) -> None:
        """Own a connected socket like an accepted one."""
        self._on_accept_done(sock, fire_connect_event=False)

    def hold(self, sock: socket.socket) -> None:
        """Stop reading from a socket; what arrives stays in the kernel's buffers."""
        if self.owns(sock):
            self._poller.removeReader(sock)

    def release(self, sock: socket.socket) -> None:
        """Read from a held socket again."""
        if self.owns(sock) and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def reset(self, sock: socket.socket) -> None:
        """Close a connection with a reset (RST) instead of an orderly close."""
        if self.owns(sock):
            self._poller.discard(sock)
            self._clients.remove(sock)
            self._buffers.pop(sock, None)
            # A linger time of 0 makes the kernel send a reset.
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()

    def owns(self, sock: socket.socket) -> bool:
        """Return whether the socket is an open connection of this server."""
        return sock in self._clients


def dial(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
    """Return a connection to ``ip:port``.

    The kernel completes a loopback connect without help from the accepting process, so
    the short blocking call returns at once unless the accept queue is full.

    Raises
    ------
    OSError
        If nothing accepts there.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setblocking(False)
    return sock
