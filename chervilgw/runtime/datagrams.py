"""Datagram task: owns the UDP socket for messages between the system's processes.

Messages that may be lost are sent as datagrams. Each is a frame of
:mod:`chervilgw.codec` and replaces the earlier messages of its type.
"""

from __future__ import annotations

import socket

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from chervilgw.codec.frames import FrameError, encode, make_decoder
from chervilgw.core.addresses import split_address
from chervilgw.telemetry import log_event

# Below the 64 KiB limit of UDP.
MAX_DATAGRAM_BYTES = 60_000
# Bounds one read event, so that a flood does not delay other tasks.
MAX_DATAGRAMS_PER_READ = 64


class datagram_send(Event):  # noqa: N801
    """Send a message: message, list of ``ip:port``."""


class datagram_received(Event):  # noqa: N801
    """A message arrived from another process: message, ``ip:port`` of the sender."""


class Datagrams(BaseComponent):
    """Datagram task; see :func:`make_datagrams`."""

    def __init__(self, ip: str, port: int, owner: str, channel):
        super().__init__(channel=channel)
        self._owner = owner
        self._poller = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((ip, port))
        self.address = "{}:{}".format(*self._sock.getsockname())

    @handler("registered", "started", channel="*")
    def _on_started(self, component, manager=None):
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
            if self._poller is not None:
                self._poller.addReader(self, self._sock)

    @handler("_read", priority=1)
    def _on_readable(self, sock):
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # The socket has no more data, or an earlier datagram was sent to a
                # closed port, which does not affect this socket.
                return
            try:
                messages = make_decoder(MAX_DATAGRAM_BYTES).feed(data)
            except FrameError as error:
                log_event("datagram_malformed", level="warning", detail=str(error))
                continue
            for message in messages:
                event = datagram_received(message, "{}:{}".format(*sender))
                self.fire(event, self._owner)

    @handler("datagram_send")
    def _on_send(self, message, addresses):
        try:
            data = encode(message)
        except FrameError as error:
            log_event("datagram_not_encoded", level="error", detail=str(error))
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            name = type(message).__name__
            log_event("datagram_too_large", level="error", message_type=name)
            return
        for address in addresses:
            try:
                self._sock.sendto(data, split_address(address))
            except (OSError, ValueError) as error:
                # The buffer is full, the host unreachable or the address of a peer
                # malformed. The next datagram replaces the lost one.
                log_event(
                    "datagram_not_sent",
                    level="debug",
                    address=address,
                    detail=str(error),
                )


def make_datagrams(ip: str, port: int, owner: str, channel="datagrams") -> Datagrams:
    """Return a datagram task.

    Parameters
    ----------
    ip, port : str, int
        Address to bind; port 0 lets the kernel choose.
    owner : str
        Channel of the task that gets the messages.
    channel : str
        Channel of the task.

    Returns
    -------
    Datagrams
    """
    return Datagrams(ip, port, owner, channel)
