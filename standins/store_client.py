"""Task that fetches weights from the weight store, one connection per load."""

from __future__ import annotations

import json
from typing import Any

from circuits import Event, handler
from circuits.net.events import write
from circuits.net.sockets import TCPClient

from standins.tcp import dial


class fetched(Event):  # noqa: N801
    """The store answered: ``fetched(tag, succeeded)``."""


class Fetch(TCPClient):
    """One load from the store; ends with a `fetched` event on ``reply_channel``."""

    def __init__(self, tag: Any, address: str, body: Any, reply_channel: str) -> None:
        data = json.dumps(body).encode()
        self._request = (
            f"POST /loads HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        self._tag = tag
        self._reply_channel = reply_channel
        self._head = b""
        super().__init__(dial(address), channel=f"fetch-{id(self)}")
        # The socket is connected already; ``connect`` would poll for it in idle ticks.
        self._connected = True

    @handler("ready")
    def _on_ready(self, *args: Any) -> None:
        self._poller.addReader(self, self._sock)
        self.fire(write(self._request))

    @handler("read")
    def _on_read(self, data: bytes) -> None:
        self._head += data

    @handler("disconnected")
    def _on_disconnected(self) -> None:
        succeeded = self._head.split(b" ")[1:2] == [b"200"]
        self.fire(fetched(self._tag, succeeded), self._reply_channel)
        self.unregister()
