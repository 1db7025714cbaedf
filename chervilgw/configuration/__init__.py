"""Operators' configuration: records, validation, fold, snapshots and followers."""

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.fold import Outcome, OutcomeKind, fold
from chervilgw.configuration.records import Change, change_record, parse_change
from chervilgw.configuration.state import (
    ConfigurationState,
    empty_state,
    from_snapshot,
    to_snapshot,
)
from chervilgw.configuration.validation import check_change, parse_value
from chervilgw.configuration.values import Kind

__all__ = [
    "Change",
    "ConfigurationError",
    "ConfigurationState",
    "Kind",
    "Outcome",
    "OutcomeKind",
    "change_record",
    "check_change",
    "empty_state",
    "fold",
    "from_snapshot",
    "parse_change",
    "parse_value",
    "to_snapshot",
]
