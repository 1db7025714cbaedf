"""Outputs of the configuration follower, which the configuration task carries out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chervilgw.configuration.state import ConfigurationState
from chervilgw.core.ids import ChangeId, Offset, VmId


class AppendResult(Enum):
    """Outcome of an append to the log."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from ``offset``.

    The result goes to ``on_log_records`` or ``on_log_failed``.
    """

    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record; the result goes to ``on_append_result``."""

    change_id: ChangeId
    record: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Append a snapshot record; its result is ignored."""

    record: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class QueryPeer:
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
    """The state has advanced."""

    state: ConfigurationState


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The log had no newer record when it was read at ``requested_s``."""

    requested_s: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was read back and applied by the fold."""

    change_id: ChangeId
    offset: Offset


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change was rejected and cannot take effect later."""

    change_id: ChangeId
    why: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """The outcome is unknown: the record may be in the log or may still reach it."""

    change_id: ChangeId
    why: str


Output = (
    ReadLog
    | AppendRecord
    | WriteSnapshot
    | QueryPeer
    | PushRecords
    | PushSnapshot
    | Applied
    | Confirmed
    | Accepted
    | Rejected
    | Undecided
)
