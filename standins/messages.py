"""Messages between the HTTP front and the handlers of a stand-in."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NewType

CallId = NewType("CallId", int)


@dataclass(frozen=True, slots=True)
class Call:
    """One decoded HTTP request."""

    call_id: CallId
    method: str
    segments: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: Any


@dataclass(frozen=True, slots=True)
class Answer:
    """A plain answer: status code and a JSON body."""

    status: int
    body: Any
