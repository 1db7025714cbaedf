"""Records of the log stream ``bookings``, and their stored form."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from chervilgw.core.ids import Digest, Incarnation, RequestId, parse_incarnation
from chervilgw.core.states import RunState


@dataclass(frozen=True, slots=True)
class Booking:
    """One attempt of a request with an idempotency key, as the sidecar receives it.

    ``digest`` is over customer, service and key; ``content`` over method, path and
    body. ``time_ms`` is the wall-clock time of arrival.
    """

    digest: Digest
    content: Digest
    attempt: RequestId
    time_ms: int


@dataclass(frozen=True, slots=True)
class Intent:
    """Request of an attempt to run; only the first intent for a digest is granted."""

    digest: Digest
    content: Digest
    attempt: RequestId
    sidecar: Incarnation
    time_ms: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer of the service, which all repeated requests get."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of an attempt.

    ``answer`` is set for ``RUN`` only. ``NOT_RUN`` means that the attempt will never
    run, and releases the digest if the attempt was its winner.
    """

    digest: Digest
    attempt: RequestId
    run: RunState
    answer: RecordedAnswer | None = None


Record = Intent | Result


def to_value(record: Record) -> dict[str, Any]:
    """Return the mapping that is stored in the log for a record.

    Parameters
    ----------
    record : Intent or Result

    Returns
    -------
    dict

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> origin = Incarnation(VmId("e1"), 5)
    >>> result = Result(Digest("d"), RequestId(origin, 1), RunState.NOT_RUN)
    >>> from_value(to_value(result)) == result
    True
    """
    value: dict[str, Any] = {
        "digest": record.digest,
        "origin": str(record.attempt.origin),
        "counter": record.attempt.counter,
    }
    if isinstance(record, Intent):
        return value | {
            "type": "intent",
            "content": record.content,
            "sidecar": str(record.sidecar),
            "time_ms": record.time_ms,
        }
    value |= {"type": "result", "run": record.run.value}
    if record.answer is not None:
        value |= {
            "status": record.answer.status,
            "headers": [list(pair) for pair in record.answer.headers],
            "body": b64encode(record.answer.body).decode(),
        }
    return value


def from_value(value: Mapping[str, Any]) -> Record | None:
    """Return the record that a mapping stores, or None if it is malformed.

    Parameters
    ----------
    value : Mapping

    Returns
    -------
    Intent, Result or None

    Examples
    --------
    >>> from_value({"type": "other"}) is None
    True
    """
    try:
        attempt = RequestId(parse_incarnation(value["origin"]), int(value["counter"]))
        digest = Digest(str(value["digest"]))
        if value["type"] == "intent":
            return Intent(
                digest,
                Digest(str(value["content"])),
                attempt,
                parse_incarnation(value["sidecar"]),
                int(value["time_ms"]),
            )
        if value["type"] != "result":
            return None
        return Result(digest, attempt, RunState(value["run"]), _parse_answer(value))
    except (KeyError, ValueError, TypeError, AttributeError):
        return None


def _parse_answer(value: Mapping[str, Any]) -> RecordedAnswer | None:
    if RunState(value["run"]) is not RunState.RUN:
        return None
    headers = tuple((str(name), str(text)) for name, text in value["headers"])
    body = b64decode(value["body"], validate=True)
    return RecordedAnswer(int(value["status"]), headers, body)
