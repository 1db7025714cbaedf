"""Small blocking HTTP client for the launcher, the demo and the tests."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Answer:
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed body."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    key: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request over a new connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    method, path : str
        As in HTTP.
    body : object or None
        Sent as JSON.
    key : str or None
        Sent as bearer token.
    headers : dict or None
        Further headers.
    timeout_s : float
        Longest silence.

    Returns
    -------
    Answer
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        _send(connection, method, path, body, key, headers)
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    finally:
        connection.close()


@dataclass
class EventStream:
    """A stream of server-sent events that is being read."""

    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse
    done: bool = False
    error: dict | None = None
    text: list[str] = field(default_factory=list)

    def __iter__(self) -> Iterator[str]:
        """Yield the text of each event; sets ``done`` or ``error`` at the end."""
        try:
            for line in self.response:
                if not line.startswith(b"data: "):
                    continue
                data = line[len(b"data: ") :].strip()
                if data == b"[DONE]":
                    self.done = True
                    continue
                event = json.loads(data)
                if "error" in event:
                    self.error = event["error"]
                    continue
                part = _text(event)
                if part:
                    self.text.append(part)
                    yield part
        except (http.client.HTTPException, OSError) as error:
            if self.error is None:
                self.error = {"code": "connection", "message": repr(error)}
        finally:
            self.close()

    def read(self) -> str:
        """Read to the end and return the whole text."""
        for _ in self:
            pass
        return "".join(self.text)

    def close(self) -> None:
        """Close the connection, as a caller that leaves does."""
        self.response.close()
        self.connection.close()


def open_stream(
    address: str, path: str, body: dict, key: str, timeout_s: float = 60.0
) -> EventStream:
    """Send a request with ``stream: true`` and return its events.

    Parameters
    ----------
    address, path : str
        Where to send it.
    body : dict
        Request without ``stream``.
    key : str
        Customer key.
    timeout_s : float
        Longest silence.

    Returns
    -------
    EventStream
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    _send(connection, "POST", path, {**body, "stream": True}, key, None)
    response = connection.getresponse()
    stream = EventStream(connection, response)
    if response.status != 200:
        stream.error = json.loads(response.read())["error"]
    return stream


def _send(connection, method, path, body, key, headers):
    sent = dict(headers or {})
    if key is not None:
        sent["Authorization"] = f"Bearer {key}"
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        sent["Content-Type"] = "application/json"
    connection.request(method, path, body=data, headers=sent)


def _text(event: dict) -> str:
    choices = event.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return delta.get("content") or choices[0].get("text") or ""
