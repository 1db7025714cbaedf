"""Applies log records in offset order to the configuration state."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.records import SNAPSHOT, Change, parse_change
from chervilgw.configuration.state import (
    AuditEntry,
    ConfigurationState,
    Item,
    Verdict,
)
from chervilgw.configuration.validation import check_change
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import Offset

# A lift has no effect once its block has expired, so old lifts can be dropped.
MAX_BLOCK_LIFTS = 256


class OutcomeKind(Enum):
    """How the fold handled a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    DUPLICATE = "duplicate"
    IGNORED = "ignored"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one record; ``entry`` is its audit entry, if it has one."""

    kind: OutcomeKind
    entry: AuditEntry | None = None


def fold(
    state: ConfigurationState, offset: int, record: Any
) -> tuple[ConfigurationState, Outcome]:
    """Apply one record. Malformed records are rejected without an exception.

    Parameters
    ----------
    state : ConfigurationState
        State after all earlier records.
    offset : int
        Offset of the record in the log.
    record : mapping
        Change or snapshot record.

    Returns
    -------
    tuple of ConfigurationState and Outcome

    Examples
    --------
    >>> from chervilgw.configuration.state import empty_state
    >>> state, outcome = fold(empty_state(), 0, {"type": "change"})
    >>> outcome.kind, state.offset, len(state.audit)
    (<OutcomeKind.REJECTED: 'rejected'>, 0, 0)
    """
    if offset <= state.offset:
        return state, Outcome(OutcomeKind.IGNORED)
    state = replace(state, offset=Offset(offset))
    if isinstance(record, Mapping) and record.get("type") == SNAPSHOT:
        return _fold_snapshot(state, offset, record)
    try:
        change = parse_change(record if isinstance(record, Mapping) else {})
    except ConfigurationError:
        # An audit entry needs a valid change id and operator.
        return state, Outcome(OutcomeKind.REJECTED)
    if state.verdicts.get(change.change_id) is not None:
        return state, Outcome(OutcomeKind.DUPLICATE)
    return _fold_change(state, offset, change)


def _fold_snapshot(
    state: ConfigurationState, offset: int, record: Mapping[str, Any]
) -> tuple[ConfigurationState, Outcome]:
    covered_offset = record.get("offset")
    if type(covered_offset) is int and state.snapshot_covers < covered_offset < offset:
        state = replace(state, snapshot_offset=offset, snapshot_covers=covered_offset)
    return state, Outcome(OutcomeKind.SNAPSHOT)


def _fold_change(
    state: ConfigurationState, offset: int, change: Change
) -> tuple[ConfigurationState, Outcome]:
    rejection = ""
    try:
        value = check_change(state, change)
    except ConfigurationError as error:
        rejection = str(error)
    else:
        items = dict(state.items[change.kind])
        if value is None:
            del items[change.name]
        else:
            items[change.name] = Item(value, offset + 1, change.time_ms)
            _drop_old_lifts(change.kind, items)
        state = replace(state, items={**state.items, change.kind: items})
    entry = AuditEntry(
        offset,
        change.change_id,
        change.kind.value,
        change.name,
        change.operator,
        change.reason,
        change.time_ms,
        not rejection,
        rejection,
        change.value if not rejection else None,
    )
    state = replace(
        state,
        audit=state.audit.add(change.change_id, entry),
        verdicts=state.verdicts.add(
            change.change_id, Verdict(offset, not rejection, rejection)
        ),
    )
    kind = OutcomeKind.REJECTED if rejection else OutcomeKind.ACCEPTED
    return state, Outcome(kind, entry)


def _drop_old_lifts(kind: Kind, items: dict[str, Item]) -> None:
    if kind is Kind.BLOCK_LIFT and len(items) > MAX_BLOCK_LIFTS:
        del items[min(items, key=lambda name: items[name].version)]
