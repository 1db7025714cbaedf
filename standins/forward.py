"""TCP forwarder task: one outgoing connection per accepted one, no HTTP parsing."""

from __future__ import annotations

import socket
from typing import Any, Protocol

from circuits import handler

from standins.tcp import PromptTCPServer, dial

READ_BYTES = 65536


class TargetChoice(Protocol):
    """Decides where a new connection goes."""

    def pick(self) -> str | None:
        """Return ``ip:port``, or None if there is no target."""
        ...


class Forwarder(PromptTCPServer):
    """Task that owns both connections of each forwarded pair.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 lets the kernel choose.
    choice : TargetChoice
        Asked once per accepted connection.
    """

    channel = "forward"

    def __init__(self, listen: str, choice: TargetChoice) -> None:
        super().__init__(listen, channel=self.channel, bufsize=READ_BYTES)
        self._choice = choice
        self.partners: dict[socket.socket, socket.socket] = {}

    @property
    def address(self) -> str:
        """Return ``ip:port`` of the listening socket."""
        return f"{self.host}:{self.port}"

    def on_pair_opened(self, caller: socket.socket, target: socket.socket) -> None:
        """React to a new pair of connections."""

    def on_pair_closed(self, sock: socket.socket) -> None:
        """React to the end of a pair of connections."""

    @handler("connect")
    def _on_caller(self, sock: socket.socket, *peer: Any) -> None:
        address = self._choice.pick()
        try:
            target = dial(address) if address else None
        except OSError:
            target = None
        if target is None or not self.owns(sock):
            self.reset(sock)
            return
        self.adopt(target)
        self.partners[sock] = target
        self.partners[target] = sock
        self.on_pair_opened(sock, target)

    @handler("read")
    def _on_data(self, sock: socket.socket, data: bytes) -> None:
        partner = self.partners.get(sock)
        if partner is not None:
            self.write(partner, data)

    @handler("disconnect")
    def _on_end(self, sock: socket.socket) -> None:
        partner = self.partners.pop(sock, None)
        if partner is not None:
            self.partners.pop(partner, None)
            self.on_pair_closed(sock)
            self.on_pair_closed(partner)
            self.close(partner)

    def reset_pair(self, sock: socket.socket) -> None:
        """Reset both connections of a pair."""
        partner = self.partners.pop(sock, None)
        self.reset(sock)
        if partner is not None:
            self.partners.pop(partner, None)
            self.reset(partner)
