"""Conversion between configuration changes and their log records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import ChangeId

CHANGE = "change"
SNAPSHOT = "snapshot"

_MAX_TEXT_LENGTHS = {"change_id": 128, "kind": 32, "name": 384, "operator": 128}
_MAX_REASON_LENGTH = 500


@dataclass(frozen=True, slots=True)
class Change:
    """One change of one item.

    Parameters
    ----------
    change_id : ChangeId
        Unique; a second record with the same id is a duplicate.
    kind : Kind
        Item kind.
    name : str
        Item name.
    base_version : int
        Version of the item on which the change is based, 0 to create it.
    value : mapping or None
        The item's whole new value, or None to delete it.
    operator : str
        Operator who makes the change.
    reason : str
        The operator's reason for the change.
    time_ms : int
        Wall-clock time of the change, for the audit log and block lifts.
    """

    change_id: ChangeId
    kind: Kind
    name: str
    base_version: int
    value: Mapping[str, Any] | None
    operator: str
    reason: str
    time_ms: int


def change_record(change: Change) -> dict[str, Any]:
    """Return the log record of a change.

    Examples
    --------
    >>> change = Change("c1", Kind.BLOCK_LIFT, "d", 0, {"digest": "d"}, "ann", "", 5)
    >>> parse_change(change_record(change)) == change
    True
    """
    return {
        "type": CHANGE,
        "change_id": change.change_id,
        "kind": change.kind.value,
        "name": change.name,
        "base_version": change.base_version,
        "value": None if change.value is None else dict(change.value),
        "operator": change.operator,
        "reason": change.reason,
        "time_ms": change.time_ms,
    }


def parse_change(record: Mapping[str, Any]) -> Change:
    """Return the change in a log record.

    Raises
    ------
    ConfigurationError
        If a field is missing or has the wrong type; the message names the field.
    """
    texts = {
        name: _text_field(record, name, max_length)
        for name, max_length in _MAX_TEXT_LENGTHS.items()
    }
    value = record.get("value")
    if value is not None and not isinstance(value, Mapping):
        raise ConfigurationError("value: must be a mapping or null")
    try:
        kind = Kind(texts["kind"])
    except ValueError:
        kinds = ", ".join(item_kind.value for item_kind in Kind)
        raise ConfigurationError(
            f"kind: {texts['kind']!r} is not one of {kinds}"
        ) from None
    return Change(
        ChangeId(texts["change_id"]),
        kind,
        texts["name"],
        _integer_field(record, "base_version"),
        value,
        texts["operator"],
        _text_field(record, "reason", _MAX_REASON_LENGTH, 0),
        _integer_field(record, "time_ms"),
    )


def _text_field(
    record: Mapping[str, Any], name: str, max_length: int, min_length: int = 1
) -> str:
    text = record.get(name)
    if not isinstance(text, str) or not min_length <= len(text) <= max_length:
        raise ConfigurationError(
            f"{name}: must be a string of {min_length} to {max_length} characters"
        )
    return text


def _integer_field(record: Mapping[str, Any], name: str) -> int:
    number = record.get(name)
    if type(number) is not int or not 0 <= number < 2**63:
        raise ConfigurationError(f"{name}: must be an integer from 0 to 2**63 - 1")
    return number
