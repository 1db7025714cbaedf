"""Actions that the booking decisions request from their task."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.bookings.records import Record, RecordedAnswer
from chervilgw.core.ids import Offset, RequestId
from chervilgw.core.refusals import Refusal


@dataclass(frozen=True, slots=True)
class Append:
    """Append these records in one operation; report its outcome with this object."""

    number: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Read:
    """Read the stream from this offset on; report the outcome with this object."""

    number: int
    start: Offset


@dataclass(frozen=True, slots=True)
class Run:
    """Send the attempt to the service once, now."""

    attempt: RequestId


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the attempt."""

    attempt: RequestId
    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the attempt."""

    attempt: RequestId
    refusal: Refusal


Output = Append | Read | Run | Answer | Refuse
