"""Conversion of header fields between the bytes of HTTP and the text of messages.

Field values may hold bytes of 0x80 or more, whose meaning is not defined. Each byte is
one character of the text (ISO 8859-1), so that values are forwarded unchanged.

References
----------
RFC 9110, section 5.5.
"""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.errors import ChervilError
from chervilgw.runtime.events import Headers

_ENCODING = "iso-8859-1"


class HeaderTextError(ChervilError):
    """A header field holds a character that is no byte."""


def decode_headers(fields: Iterable[tuple[bytes, bytes]]) -> Headers:
    r"""Return the header fields of a received message as text.

    Examples
    --------
    >>> decode_headers([(b"x-id", b"a\xe9")])
    (('x-id', 'aé'),)
    """
    return tuple(
        (name.decode(_ENCODING), value.decode(_ENCODING)) for name, value in fields
    )


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    r"""Return header fields as they are sent.

    Raises
    ------
    HeaderTextError
        If a character is above U+00FF.

    Examples
    --------
    >>> encode_headers([("x-id", "aé")])
    [(b'x-id', b'a\xe9')]
    """
    try:
        return [
            (name.encode(_ENCODING), value.encode(_ENCODING)) for name, value in headers
        ]
    except UnicodeEncodeError as error:
        raise HeaderTextError(
            f"a header holds {error.object[error.start]!a}"
        ) from error
