"""Blocking client of the administration interface, for ``chervilctl``."""

from __future__ import annotations

import http.client
import json
from enum import IntEnum
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

from chervilgw.admin.commands import PREFIX
from chervilgw.core.errors import ChervilError


class ExitStatus(IntEnum):
    """Exit status of ``chervilctl``."""

    DONE = 0
    REFUSED = 1
    WRONG_USAGE = 2
    CONFLICT = 3
    NOT_REACHABLE = 4


class CommandError(ChervilError):
    """A failed command, with the exit status of the program."""

    def __init__(self, status: ExitStatus, message: str):
        super().__init__(message)
        self.status = status


class AdminClient:
    """Sends requests to one entry; see :func:`make_admin_client`."""

    def __init__(self, connection: http.client.HTTPConnection, address: str, key: str):
        self._connection = connection
        self._address = address
        self._key = key

    def get(self, *path: str, **query: Any) -> dict[str, Any]:
        """Return the JSON object under a path."""
        return self._request_object("GET", path, query=query)

    def find(self, *path: str) -> dict[str, Any] | None:
        """Return the item under a path, or None if there is none."""
        status, answer = self._send_request("GET", path, None, {})
        return None if status == 404 else _check_response(status, answer)

    def put(self, *path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Create or replace the item under a path."""
        return self._request_object("PUT", path, body)

    def post(self, *path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Run the action under a path."""
        return self._request_object("POST", path, body)

    def delete(self, *path: str, **query: Any) -> dict[str, Any]:
        """Delete the item under a path."""
        return self._request_object("DELETE", path, query=query)

    def _request_object(self, method, path, body=None, query=None) -> dict[str, Any]:
        return _check_response(*self._send_request(method, path, body, query or {}))

    def _send_request(self, method, path, body, query):
        target = PREFIX + "/".join(quote(part, safe="") for part in path)
        if query:
            target += f"?{urlencode(query)}"
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self._key}"}
        try:
            self._connection.request(method, target, data, headers)
            response = self._connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            # The message of a ValueError for an invalid header contains the key.
            reason = "invalid request" if isinstance(error, ValueError) else error
            text = f"{self._address} cannot be reached: {reason}"
            raise CommandError(ExitStatus.NOT_REACHABLE, text) from None
        finally:
            self._connection.close()


def _check_response(status: int, answer: bytes) -> dict[str, Any]:
    try:
        body = json.loads(answer)
    except ValueError:
        text = f"the response with status {status} is not valid JSON"
        raise CommandError(ExitStatus.REFUSED, text) from None
    if status in (200, 201):
        return body
    message = body.get("error", {}).get("message", f"status {status}")
    exit_status = ExitStatus.CONFLICT if status == 409 else ExitStatus.REFUSED
    raise CommandError(exit_status, message)


def make_admin_client(address: str, key: str, timeout_s: float = 30.0) -> AdminClient:
    """Return a client of one entry.

    Parameters
    ----------
    address : str
        ``ip:port``, or a URL with ``http`` or ``https``.
    key : str
        Operator key.
    timeout_s : float
        Timeout of each socket operation.

    Returns
    -------
    AdminClient

    Raises
    ------
    CommandError
        If the address is malformed.

    Examples
    --------
    >>> make_admin_client("ftp://127.0.0.1", "k")
    Traceback (most recent call last):
    ...
    chervilgw.admin.client.CommandError: address: 'ftp://127.0.0.1' is not ip:port, \
http://ip:port or https://ip:port
    """
    url = urlsplit(address if "://" in address else f"http://{address}")
    connection_classes = {
        "http": http.client.HTTPConnection,
        "https": http.client.HTTPSConnection,
    }
    try:
        if url.scheme in connection_classes and url.hostname and url.path in ("", "/"):
            connection = connection_classes[url.scheme](
                url.hostname, url.port, timeout=timeout_s
            )
            return AdminClient(connection, address, key)
    except ValueError:
        pass
    text = f"address: {address!r} is not ip:port, http://ip:port or https://ip:port"
    raise CommandError(ExitStatus.WRONG_USAGE, text)
