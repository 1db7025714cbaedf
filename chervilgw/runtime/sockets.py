"""TCP server with immediate writes and paused reads.

``circuits`` 3.2.5 queues each write for the poller, which costs four system calls a
write.
"""

from __future__ import annotations

import socket
import ssl
import time
from errno import EAGAIN, ETIMEDOUT, EWOULDBLOCK
from typing import Any

from circuits import handler
from circuits.net.events import read
from circuits.net.sockets import TCPServer

# Bounds what one round of reads from many servers at once takes.
READ_SIZE_BYTES = 16_384
# A source is paused while a connection leaves more than this unread, and read again
# below the second bound. Answers in time stay far below both.
PAUSE_UNREAD_BYTES = 32_768
RESUME_UNREAD_BYTES = 8_192
# A connection whose peer takes nothing of what is queued for this long is closed. A
# caller that reads slowly still takes some of it.
UNREAD_TIMEOUT_S = 30.0


class DirectServer(TCPServer):
    """TCP server that sends at once and bounds each connection's write buffer.

    Parameters
    ----------
    bind : tuple of str and int
        Address to listen on; port 0 lets the kernel choose.
    channel : str
        Channel of its events.
    write_limit_bytes : int
        A connection whose peer leaves more than this unread is closed.
    on_data : callable or None
        Function of the owning task that gets each read's socket and bytes at once. With
        None a ``read`` event is fired instead, which `circuits.web` needs.
    on_reset : callable or None
        Function of the owning task that gets a socket whose connection was reset,
        before it is closed, and whether its peer acknowledged nothing. An end of the
        stream only fires a ``disconnect`` event.
    on_end : callable or None
        Function of the owning task that gets a socket whose peer has ended its stream
        and closes it. With None it is closed once what is queued for it has been sent.
    on_drained : callable or None
        Function of the owning task that gets a socket whose queued bytes have fallen
        below :data:`RESUME_UNREAD_BYTES`.
    """

    def __init__(
        self,
        bind,
        channel,
        write_limit_bytes=8_388_608,
        on_data=None,
        on_reset=None,
        on_end=None,
        on_drained=None,
        **kwargs,
    ):
        super().__init__(bind, channel=channel, bufsize=READ_SIZE_BYTES, **kwargs)
        self._on_data = on_data
        self._on_reset = on_reset
        self._on_end = on_end
        self._on_drained = on_drained
        self._write_limit_bytes = write_limit_bytes
        self._pending_bytes: dict[Any, int] = {}
        # When the peer last took something of what is queued for it.
        self._taken_s: dict[Any, float] = {}
        self._paused: set[Any] = set()
        self._end_watched: set[Any] = set()
        self.total_unsent_bytes = 0
        self._handshaking: set[Any] = set()
        self._tls: ssl.SSLContext | None = None
        if self.secure:
            self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self._tls.load_cert_chain(self.certfile, self.keyfile)

    @handler("write", override=True)
    def write(self, sock, data) -> bool:
        """Send what the socket accepts now and queue the rest.

        Returns
        -------
        bool
            False if the connection is closed, so that no byte of the data is sent.
        """
        if is_closed(sock):
            return False
        if sock in self._pending_bytes:
            return self._enqueue(sock, data)
        try:
            sent = sock.send(data)
        except OSError as error:
            if not _would_block(error):
                self._close(sock)
                return False
            sent = 0
        return sent == len(data) or self._enqueue(sock, data[sent:]) or sent > 0

    def _reset(self, sock, error: OSError):
        if self._on_reset is not None:
            self._on_reset(sock, error.errno == ETIMEDOUT)
        if not is_closed(sock):
            self._close(sock)

    def _enqueue(self, sock, data) -> bool:
        pending_bytes = self._pending_bytes.get(sock, 0) + len(data)
        if pending_bytes > self._write_limit_bytes:
            self._close(sock)
            return False
        if sock not in self._pending_bytes:
            self._poller.addWriter(self, sock)
            self._taken_s[sock] = time.monotonic()
        self._pending_bytes[sock] = pending_bytes
        self.total_unsent_bytes += len(data)
        self._buffers[sock].append(data)
        return True

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock):
        """Send queued data when the poller reports the socket as writable."""
        if is_closed(sock):
            return
        queue = self._buffers[sock]
        if queue:
            try:
                sent = sock.send(queue[0])
            except OSError as error:
                if not _would_block(error):
                    self._reset(sock, error)
                return
            if sent < len(queue[0]):
                queue[0] = queue[0][sent:]
            else:
                queue.popleft()
            self._on_sent(sock, sent)
        if not queue:
            self._pending_bytes.pop(sock, None)
            self._taken_s.pop(sock, None)
            self._poller.removeWriter(sock)
            if sock in self._closeq:
                self._closeq.remove(sock)
                self._close(sock)

    def _on_sent(self, sock, sent: int):
        before = self._pending_bytes[sock]
        self._taken_s[sock] = time.monotonic()
        self._pending_bytes[sock] = before - sent
        self.total_unsent_bytes -= sent
        is_drained = before - sent < RESUME_UNREAD_BYTES <= before
        if is_drained and self._on_drained is not None:
            self._on_drained(sock)

    def unsent_bytes(self, sock) -> int:
        """Return how many written bytes are still queued here."""
        return self._pending_bytes.get(sock, 0)

    def most_unsent(self):
        """Return the connection with the most queued bytes, or None."""
        pending = self._pending_bytes
        return max(pending, key=pending.__getitem__) if pending else None

    def drop_stalled(self, now_s: float):
        """Close the connections whose peers take nothing, also those being closed.

        A peer with a full receive buffer acknowledges the kernel's probes for ever.
        """
        for sock, taken_s in list(self._taken_s.items()):
            if now_s - taken_s > UNREAD_TIMEOUT_S:
                self._close(sock)

    @handler("close", override=True)
    def close(self, sock=None):
        """Close a connection when what is queued for it has been sent."""
        # The library would keep an empty queue for a connection that was reset.
        if sock is None or not is_closed(sock):
            super().close(sock)

    def drop(self, sock):
        """Close a connection at once, without what is queued for it."""
        self._close(sock)

    def pause_reading(self, sock, watch_end=False):
        """Leave what the peer sends in the system's buffers.

        Parameters
        ----------
        sock : socket.socket
            Connection of this server.
        watch_end : bool
            Whether an end of the peer's stream counts at once, and not only once the
            bytes before it have been read.
        """
        if is_closed(sock) or sock in self._paused:
            return
        self._paused.add(sock)
        self._poller.removeReader(sock)
        if watch_end:
            self._end_watched.add(sock)
            self._poller.watch_end(self, sock)

    def resume_reading(self, sock):
        """Read again after :meth:`pause_reading`."""
        if sock not in self._paused:
            return
        self._paused.discard(sock)
        if is_closed(sock):
            return
        if sock in self._end_watched:
            self._end_watched.discard(sock)
            self._poller.unwatch_end(sock)
        self._poller.addReader(self, sock)

    def _end(self, sock):
        if self._on_end is not None:
            self._on_end(sock)
        else:
            self.close(sock)
        # What is queued may still be sent; the poller would report the end repeatedly.
        self.pause_reading(sock)

    @handler("_disconnect", priority=1, override=True)
    def _on_disconnect(self, sock):
        """Handle a reset, or the end of the stream of a connection that is not read."""
        if is_closed(sock):
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code or sock not in self._end_watched:
            self._close(sock)
            return
        # The poller has discarded the socket.
        self._end_watched.discard(sock)
        if sock in self._pending_bytes:
            self._poller.addWriter(self, sock)
        self._end(sock)

    def _discard_unsent(self, sock):
        self.total_unsent_bytes -= self._pending_bytes.pop(sock, 0)
        self._taken_s.pop(sock, None)
        self._paused.discard(sock)
        self._end_watched.discard(sock)

    def _close(self, sock):
        self._discard_unsent(sock)
        self._handshaking.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock):
        """Accept a connection, continue a TLS handshake, or read."""
        if sock is self._sock:
            self._accept_one()
        elif sock in self._handshaking:
            self._continue_handshake(sock)
        else:
            self._read_available(sock)

    def _accept_one(self):
        # The library accepts in a generator, which is resumed after an idle tick of up
        # to 100 ms, and blocks the whole process during a slow TLS handshake.
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        if not self.secure:
            self._on_accept_done(sock)
            if self._on_data is None:
                # The request has usually arrived already; reading now saves a poll.
                self._read(sock)
            return
        sock = self._tls.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        self._handshaking.add(sock)
        self._clients.append(sock)
        self._poller.addReader(self, sock)

    def _continue_handshake(self, sock):
        try:
            sock.do_handshake()
        except ssl.SSLWantReadError:
            return
        except OSError:
            self._close(sock)
            return
        self._handshaking.discard(sock)
        self._clients.remove(sock)
        self._poller.removeReader(sock)
        self._on_accept_done(sock)

    def _read_available(self, sock):
        self._read(sock)
        # The poller does not report decrypted bytes in the TLS layer.
        while self.secure and sock in self._clients and sock.pending():
            self._read(sock)

    def _read(self, sock):
        if is_closed(sock):
            return
        try:
            data = sock.recv(self._bufsize)
        except OSError as error:
            if not _would_block(error):
                self._reset(sock, error)
            return
        if not data:
            self._end(sock)
        elif self._on_data is not None:
            self._on_data(sock, data)
        else:
            self.fire(read(sock, data)).notify = True

    def _on_accept_done(self, sock, fire_connect_event=True):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super()._on_accept_done(sock, fire_connect_event)

    def stop_listening(self):
        """Close the listening socket; open connections stay."""
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def is_open(self, sock) -> bool:
        """Return whether a connection has not been closed here."""
        return not is_closed(sock)

    def is_serving(self, sock) -> bool:
        """Return whether a connection is open and about to stay so."""
        return not is_closed(sock) and sock not in self._closeq

    def has_unsent(self, sock) -> bool:
        """Return whether written bytes are still queued here."""
        return sock in self._pending_bytes

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._clients)


def detect_silence(sock, silence_timeout_s: float):
    """Configure the kernel to reset a connection whose peer is silent.

    Parameters
    ----------
    sock : socket.socket
        TCP socket.
    silence_timeout_s : float
        Time without an acknowledgement, in seconds. Probes start after one idle second
        and are sent each second, the kernel's smallest intervals.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, max(1, round(silence_timeout_s) - 1))
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(silence_timeout_s * 1000))


def is_closed(sock) -> bool:
    """Return whether a socket has been closed by this process."""
    # The library keeps open sockets in a list, whose search time grows with its length.
    return sock.fileno() < 0


def _would_block(error: OSError) -> bool:
    retry_errors = (ssl.SSLWantReadError, ssl.SSLWantWriteError)
    return isinstance(error, retry_errors) or error.errno in (EAGAIN, EWOULDBLOCK)
