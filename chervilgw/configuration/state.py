"""The configuration state and its snapshot record."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from pydantic import ValidationError

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.history import History
from chervilgw.configuration.records import SNAPSHOT
from chervilgw.configuration.values import VALUE_TYPES, Kind, Value
from chervilgw.core.ids import NO_OFFSET, Offset

AUDIT_CHUNKS = 8
# 4,096 change ids, about four days of changes at the fleet size expected in two years.
VERDICT_CHUNKS = 64


@dataclass(frozen=True, slots=True)
class Item:
    """A configuration item.

    ``version`` is the offset of its last change plus one. Versions are unique, so a
    change based on a deleted item cannot apply to a later item of the same name.
    """

    value: Value
    version: int
    time_ms: int


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Audit record of a change; ``why`` is the cause of a rejection."""

    offset: int
    change_id: str
    kind: str
    name: str
    operator: str
    reason: str
    time_ms: int
    accepted: bool
    why: str
    value: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a change id; ``why`` is the cause of a rejection."""

    offset: int
    accepted: bool
    why: str


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Configuration after all records up to ``offset``.

    ``snapshot_offset`` is the offset of the last snapshot record, ``snapshot_covers``
    the offset up to which that snapshot contains the state.
    """

    offset: Offset
    items: Mapping[Kind, Mapping[str, Item]]
    audit: History[AuditEntry]
    verdicts: History[Verdict]
    snapshot_offset: int = -1
    snapshot_covers: int = -1


def empty_state() -> ConfigurationState:
    """Return the state before the first record.

    Examples
    --------
    >>> empty_state().offset
    -1
    """
    return ConfigurationState(
        NO_OFFSET,
        {kind: {} for kind in Kind},
        History(AUDIT_CHUNKS),
        History(VERDICT_CHUNKS),
    )


def to_snapshot(state: ConfigurationState) -> dict[str, Any]:
    """Return the snapshot record of a state.

    Examples
    --------
    >>> from_snapshot(to_snapshot(empty_state())) == empty_state()
    True
    """
    return {
        "type": SNAPSHOT,
        "offset": state.offset,
        "snapshot_offset": state.snapshot_offset,
        "snapshot_covers": state.snapshot_covers,
        "items": {
            kind.value: {
                name: [item.value.model_dump(mode="json"), item.version, item.time_ms]
                for name, item in items.items()
            }
            for kind, items in state.items.items()
        },
        "audit": _pack(state.audit, AuditEntry),
        "remembered": _pack(state.verdicts, Verdict),
    }


def from_snapshot(record: Mapping[str, Any]) -> ConfigurationState:
    """Return the state in a snapshot record.

    Raises
    ------
    ConfigurationError
        If the record does not contain a whole state.
    """
    try:
        return ConfigurationState(
            Offset(_require_int(record["offset"])),
            {
                kind: {
                    name: Item(
                        VALUE_TYPES[kind].model_validate(value),
                        _require_int(version),
                        _require_int(time_ms),
                    )
                    for name, (value, version, time_ms) in record["items"]
                    .get(kind.value, {})
                    .items()
                }
                for kind in Kind
            },
            _unpack(record["audit"], AuditEntry, AUDIT_CHUNKS),
            _unpack(record["remembered"], Verdict, VERDICT_CHUNKS),
            _require_int(record["snapshot_offset"]),
            _require_int(record["snapshot_covers"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ValidationError) as error:
        raise ConfigurationError(f"not a snapshot: {type(error).__name__}") from error


def _require_int(number: Any) -> int:
    if type(number) is not int:
        raise TypeError("not an integer")
    return number


def _pack(history: History[Any], kind: type) -> dict[str, Any]:
    names = [field.name for field in fields(kind)]
    return {
        "count": history.count,
        "chunks": [
            {key: [getattr(entry, name) for name in names] for key, entry in c.items()}
            for c in history.chunks
        ],
    }


def _unpack(packed: Mapping[str, Any], kind: type, max_chunks: int) -> History[Any]:
    chunks = tuple(
        {key: kind(*entry) for key, entry in chunk.items()}
        for chunk in packed["chunks"]
    )
    return History(max_chunks, _require_int(packed["count"]), chunks)
