"""Requests to the append-only log, and their answers.

These functions translate between typed values and HTTP calls; the tasks that fold a
stream own the calls.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from chervilgw.clients.errors import PlatformError, RecordsExpired
from chervilgw.runtime.events import CallDone, CallFailed, HttpCall

READ_LIMIT_RECORDS = 1000
READ_WAIT_MS = 1000
LOG_TIMEOUT_S = 3.0


class Stream(Enum):
    """Streams of the log that the system uses."""

    CONFIGURATION = "configuration"
    SHARES = "shares"
    BOOKINGS = "bookings"
    CRASHES = "crashes"


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records of a stream.

    ``oldest_offset`` is the oldest retained offset, ``next_offset`` that of the next
    append. ``records`` holds offset, append time in ms and record.
    """

    oldest_offset: int
    next_offset: int
    records: tuple[tuple[int, int, dict[str, Any]], ...]


@dataclass(frozen=True, slots=True)
class LogClientSpec:
    """Where a task reaches the log, and under which channel it gets answers."""

    address: str
    reply_to: str


def make_read_call(
    spec: LogClientSpec, call: str, stream: Stream, offset: int, wait_ms: int
) -> HttpCall:
    """Return the call that reads records from an offset on.

    Parameters
    ----------
    spec : LogClientSpec
        Address of the log and channel for the answer.
    call : str
        Call id.
    stream : Stream
        Stream to read.
    offset : int
        First offset wanted.
    wait_ms : int
        How long the log may hold the answer back until a record arrives.

    Returns
    -------
    HttpCall
    """
    query = f"from={offset}&limit={READ_LIMIT_RECORDS}&wait_ms={wait_ms}"
    return HttpCall(
        call,
        spec.reply_to,
        spec.address,
        "GET",
        f"/streams/{stream.value}/records?{query}",
        timeout_s=LOG_TIMEOUT_S,
    )


def make_append_call(
    spec: LogClientSpec, call: str, stream: Stream, records: list[dict[str, Any]]
) -> HttpCall:
    """Return the call that appends records as one append.

    Parameters
    ----------
    spec : LogClientSpec
        Address of the log and channel for the answer.
    call : str
        Call id.
    stream : Stream
        Stream to append to.
    records : list of dict
        Records, in order.

    Returns
    -------
    HttpCall
    """
    return HttpCall(
        call,
        spec.reply_to,
        spec.address,
        "POST",
        f"/streams/{stream.value}/records",
        (("Content-Type", "application/json"),),
        json.dumps(records, separators=(",", ":")).encode(),
        timeout_s=LOG_TIMEOUT_S,
    )


def parse_page(answer: CallDone) -> Result[LogPage, PlatformError]:
    """Parse the answer to a read.

    Parameters
    ----------
    answer : CallDone
        Answer of the log.

    Returns
    -------
    Result of LogPage or PlatformError
        ``RecordsExpired`` if the offset is older than what the log keeps.

    Examples
    --------
    >>> parse_page(CallDone("1", 200, (), b'{"oldest":0,"next":0,"records":[]}'))
    <Success: LogPage(oldest_offset=0, next_offset=0, records=())>
    """
    try:
        body = json.loads(answer.body)
        if answer.status == 410:
            return Failure(RecordsExpired(int(body["oldest"])))
        if answer.status != 200:
            return Failure(_status_error(answer, may_have_run=False))
        records = tuple((int(o), int(t), dict(r)) for o, t, r in body["records"])
        return Success(LogPage(int(body["oldest"]), int(body["next"]), records))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(PlatformError(f"malformed answer of the log: {error}", False))


def parse_append(answer: CallDone) -> Result[tuple[int, int], PlatformError]:
    """Parse the answer to an append.

    Parameters
    ----------
    answer : CallDone
        Answer of the log.

    Returns
    -------
    Result of tuple or PlatformError
        First offset of the append and the next free offset.

    Examples
    --------
    >>> parse_append(CallDone("1", 200, (), b'{"first": 4, "next": 6}'))
    <Success: (4, 6)>
    """
    if answer.status != 200:
        # An overload or outage answer says that nothing was appended.
        known = answer.status in (400, 413, 429, 503)
        return Failure(_status_error(answer, may_have_run=not known))
    try:
        body = json.loads(answer.body)
        return Success((int(body["first"]), int(body["next"])))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(PlatformError(f"malformed answer of the log: {error}", True))


def from_failed_call(failed: CallFailed) -> PlatformError:
    """Translate a failed call.

    Parameters
    ----------
    failed : CallFailed
        Result of the HTTP client task.

    Returns
    -------
    PlatformError
    """
    return PlatformError(failed.detail, may_have_run=failed.sent)


def _status_error(answer: CallDone, may_have_run: bool) -> PlatformError:
    return PlatformError(f"the log answered with status {answer.status}", may_have_run)
