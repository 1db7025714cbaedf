"""Messages of the opaque server's events to and from the events of ``h11``."""

from __future__ import annotations

import h11

from chervilgw.core.errors import ChervilError
from chervilgw.runtime.events import HttpPushStart, HttpReply, HttpRequest
from chervilgw.runtime.header_fields import (
    HeaderTextError,
    decode_headers,
    encode_headers,
)


class AnswerEncodingError(ChervilError):
    """A part of an answer cannot be sent: a field is malformed, or the length wrong."""


def make_request(exchange: int, head: h11.Request, body: bytes, server) -> HttpRequest:
    """Return the message of a complete request.

    Parameters
    ----------
    exchange : int
        Number of the exchange.
    head : h11.Request
        Method, target and headers as they arrived.
    body : bytes
        Whole body.
    server : str
        Channel of the server task.
    """
    pairs = decode_headers(head.headers.raw_items())
    path, _, query = head.target.decode("latin-1").partition("?")
    return HttpRequest(
        exchange,
        head.method.decode("latin-1"),
        path,
        query,
        {name.lower(): value for name, value in pairs},
        body,
        server,
        pairs,
    )


def encode_reply(
    parser: h11.Connection, head: h11.Request, reply: HttpReply, closes: bool
) -> bytes:
    """Return a complete answer; with ``closes`` it is the connection's last one.

    Raises
    ------
    AnswerEncodingError
    """
    headers = (*reply.headers, ("Content-Length", str(len(reply.body))))
    data = encode_head(parser, HttpPushStart(0, reply.status, headers), closes)
    if head.method != b"HEAD":
        data += encode_part(parser, reply.body)
    return data + encode_end(parser)


def encode_head(parser: h11.Connection, start: HttpPushStart, closes: bool) -> bytes:
    """Return the head of an answer whose body follows.

    Raises
    ------
    AnswerEncodingError
    """
    closing = [(b"Connection", b"close")] if closes else []
    try:
        headers = [*encode_headers(start.headers), *closing]
        response = h11.Response(status_code=start.status, headers=headers)
    except (HeaderTextError, h11.LocalProtocolError) as error:
        raise AnswerEncodingError(str(error)) from error
    return _send(parser, response)


def encode_part(parser: h11.Connection, data: bytes) -> bytes:
    """Return a part of an answer's body.

    Raises
    ------
    AnswerEncodingError
    """
    return _send(parser, h11.Data(data=data))


def encode_end(parser: h11.Connection) -> bytes:
    """Return the end of an answer.

    Raises
    ------
    AnswerEncodingError
    """
    return _send(parser, h11.EndOfMessage())


def _send(parser: h11.Connection, event) -> bytes:
    try:
        return parser.send(event) or b""
    except h11.LocalProtocolError as error:
        raise AnswerEncodingError(str(error)) from error
