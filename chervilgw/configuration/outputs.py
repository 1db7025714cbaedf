"""Outputs of the configuration follower, for the task that drives it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chervilgw.configuration.state import ConfigurationState
from chervilgw.core.ids import ChangeId, Offset, VmId


class AppendResult(Enum):
    """What is known of an append."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the stream from ``offset``; answer with log records or a failure."""

    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record; answer with ``on_append_result(change_id, ...)``."""

    change_id: ChangeId
    record: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Append a snapshot record; the result needs no answer."""

    record: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Send ``ConfigRequest(offset)`` to a peer."""

    peer: VmId
    offset: Offset


@dataclass(frozen=True, slots=True)
class PushRecords:
    """Send records to one peer, or to all connected peers if ``peer`` is None."""

    peer: VmId | None
    after: Offset
    records: tuple[tuple[int, dict[str, Any]], ...]


@dataclass(frozen=True, slots=True)
class PushSnapshot:
    """Send the whole state to a peer that is too far behind for records."""

    peer: VmId
    offset: Offset
    snapshot: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Applied:
    """The state moved forward."""

    state: ConfigurationState


@dataclass(frozen=True, slots=True)
class Confirmed:
    """No record beyond the state was in the log at ``asked_s``."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was read back and applied by the fold."""

    change_id: ChangeId
    offset: Offset


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change did not take effect and never will."""

    change_id: ChangeId
    why: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """The record may be in the log or may still reach it; the operator looks later."""

    change_id: ChangeId
    why: str


Output = (
    ReadLog
    | AppendRecord
    | WriteSnapshot
    | AskPeer
    | PushRecords
    | PushSnapshot
    | Applied
    | Confirmed
    | Accepted
    | Rejected
    | Undecided
)
