"""The fold: records in offset order to state."""

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

BLOCK_LIFTS_KEPT = 256
"""A lift matters for as long as a block lasts, so that older ones can be dropped."""


class OutcomeKind(Enum):
    """What the fold did with a record."""

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
    """Apply one record; never raises, whatever the record holds.

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
        # A record without a usable change id or author gets no audit entry.
        return state, Outcome(OutcomeKind.REJECTED)
    if state.remembered.get(change.change_id) is not None:
        return state, Outcome(OutcomeKind.DUPLICATE)
    return _fold_change(state, offset, change)


def _fold_snapshot(
    state: ConfigurationState, offset: int, record: Mapping[str, Any]
) -> tuple[ConfigurationState, Outcome]:
    covers = record.get("offset")
    if type(covers) is int and state.snapshot_covers < covers < offset:
        state = replace(state, snapshot_offset=offset, snapshot_covers=covers)
    return state, Outcome(OutcomeKind.SNAPSHOT)


def _fold_change(
    state: ConfigurationState, offset: int, change: Change
) -> tuple[ConfigurationState, Outcome]:
    why = ""
    try:
        value = check_change(state, change)
    except ConfigurationError as error:
        why = str(error)
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
        not why,
        why,
        change.value if not why else None,
    )
    state = replace(
        state,
        audit=state.audit.add(change.change_id, entry),
        remembered=state.remembered.add(
            change.change_id, Verdict(offset, not why, why)
        ),
    )
    kind = OutcomeKind.REJECTED if why else OutcomeKind.ACCEPTED
    return state, Outcome(kind, entry)


def _drop_old_lifts(kind: Kind, items: dict[str, Item]) -> None:
    if kind is Kind.BLOCK_LIFT and len(items) > BLOCK_LIFTS_KEPT:
        del items[min(items, key=lambda name: items[name].version)]
