"""Task that sends one HTTP request over its own connection."""

from __future__ import annotations

import json
from typing import Any

from circuits import Event, handler
from circuits.net.events import write
from circuits.net.sockets import TCPClient

from standins.tcp import dial


class fetched(Event):  # noqa: N801
    """The connection ended: ``fetched(tag, status)``, status 0 without an answer."""


class Fetch(TCPClient):
    """One request; it ends with a `fetched` event on ``reply_channel``.

    Parameters
    ----------
    tag : object
        Passed back in the `fetched` event.
    address : str
        ``ip:port`` of the server.
    method, path : str
        Request line.
    body : object or None
        Encoded as JSON.
    reply_channel : str
        Channel of the component that waits for the answer.

    Raises
    ------
    OSError
        If nothing accepts at the address.
    """

    def __init__(
        self,
        tag: Any,
        address: str,
        method: str,
        path: str,
        body: Any,
        reply_channel: str,
    ) -> None:
        data = b"" if body is None else json.dumps(body).encode()
        self._request = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        self._tag = tag
        self._reply_channel = reply_channel
        self._answer = b""
        super().__init__(dial(address), channel=f"fetch-{id(self)}")
        # The socket is connected already; ``connect`` would poll for it in idle ticks.
        self._connected = True

    @handler("ready")
    def _on_connection_ready(self, *args: Any) -> None:
        self._poller.addReader(self, self._sock)
        self.fire(write(self._request))

    @handler("read")
    def _on_answer(self, data: bytes) -> None:
        self._answer += data

    @handler("disconnected")
    def _on_end(self) -> None:
        parts = self._answer.split(b" ", 2)
        status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
        self.fire(fetched(self._tag, status), self._reply_channel)
        self.unregister()
