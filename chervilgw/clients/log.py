"""Requests to the append-only log, and their answers.

The functions convert between typed values and HTTP calls. The tasks that fold a stream
send the calls.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from chervilgw.clients.errors import PlatformError, RecordsExpired
from chervilgw.codec.documents import load_document, to_integer
from chervilgw.runtime.events import CallDone, CallFailed, HttpCall

READ_LIMIT_RECORDS = 1000
READ_WAIT_MS = 1000
LOG_TIMEOUT_S = 3.0


class Stream(Enum):
    """Streams of the log."""

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
    """Address of the log and the channel of the task that gets its answers."""

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
        First offset to read.
    wait_ms : int
        How long the log may wait for a record before it answers, in ms.

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
    """Return the call that appends records in one operation.

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
        ``RecordsExpired`` if the log no longer retains the offset.

    Examples
    --------
    >>> parse_page(CallDone("1", 200, (), b'{"oldest":0,"next":0,"records":[]}'))
    <Success: LogPage(oldest_offset=0, next_offset=0, records=())>
    """
    try:
        body = load_document(answer.body)
        if answer.status == 410:
            return Failure(RecordsExpired(to_integer(body["oldest"])))
        if answer.status != 200:
            return Failure(_status_error(answer, may_have_run=False))
        records = tuple(
            (to_integer(offset), to_integer(time_ms), _to_record(record))
            for offset, time_ms, record in body["records"]
        )
        oldest, following = to_integer(body["oldest"]), to_integer(body["next"])
        return Success(LogPage(oldest, following, records))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(PlatformError(f"malformed answer of the log: {error}", False))


def _to_record(record: Any) -> dict[str, Any]:
    """Return a record; one that is no object is empty, which each fold rejects."""
    return record if isinstance(record, dict) else {}


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
        # With these statuses the log has appended nothing.
        not_appended = answer.status in (400, 413, 429, 503)
        return Failure(_status_error(answer, may_have_run=not not_appended))
    try:
        body = load_document(answer.body)
        return Success((to_integer(body["first"]), to_integer(body["next"])))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(PlatformError(f"malformed answer of the log: {error}", True))


def error_from_failed_call(failed: CallFailed) -> PlatformError:
    """Return the error for a failed call.

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
