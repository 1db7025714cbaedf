"""JSON documents that another program wrote: depth, numbers and texts are bounded."""

from __future__ import annotations

import json
import math
import re
from typing import Any

# No document of the product is nested more deeply.
MAX_DEPTH = 100
# Larger integers fit into no frame.
MAX_INTEGER = 2**63 - 1

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class DocumentError(ValueError):
    """The bytes are no JSON document within the bounds."""


def load_document(data: bytes) -> Any:
    """Parse a document; values that are nested too deeply become null.

    A page of a log holds records of several writers. A record that is nested too deeply
    is thereby malformed by itself, and does not hide those beside it.

    Parameters
    ----------
    data : bytes

    Raises
    ------
    DocumentError
        If the document is malformed, or holds a number or a text out of bounds.

    Examples
    --------
    >>> str(load_document(b"[" * 200 + b"]" * 200)).count("[")
    100
    """
    try:
        text = _prune(data).decode()
        value = json.loads(text, parse_constant=_reject, parse_float=_finite)
        if "\\u" in text:
            # A lone surrogate is valid JSON but cannot be encoded as UTF-8.
            json.dumps(value, ensure_ascii=False).encode()
    except DocumentError:
        raise
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not JSON: {type(error).__name__}") from None
    return value


def to_integer(value: Any) -> int:
    """Return an integer of a document.

    Raises
    ------
    DocumentError
        If the value is no integer, negative or out of bounds.
    """
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise DocumentError(f"not an integer from 0 to {MAX_INTEGER}")
    return value


def _prune(data: bytes) -> bytes:
    """Return the document with null in place of values below :data:`MAX_DEPTH`."""
    if data.count(b"[") + data.count(b"{") <= MAX_DEPTH:
        return data
    parts, depth, kept_to, cut_from = [], 0, 0, None
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                cut_from = match.start()
        elif token in b"]}":
            depth -= 1
            if depth == MAX_DEPTH:
                parts += [data[kept_to:cut_from], b"null"]
                kept_to, cut_from = match.end(), None
    if cut_from is not None:
        raise DocumentError("nested too deeply, without an end")
    return b"".join([*parts, data[kept_to:]])


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise DocumentError("a number is out of range")
    return value


def _reject(name: str) -> Any:
    raise DocumentError(f"{name} is not JSON")
