"""Switchable faults: which one applies to the next request."""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import Enum
from typing import Any, NewType

FaultName = NewType("FaultName", str)

COMMON_FAULTS: dict[str, Any] = {
    "delay_ms": 0,
    "refuse": False,
    "lose_answers": 0,
    "freeze": False,
}


class FaultAction(Enum):
    """What happens to one request."""

    NONE = "none"
    REFUSE = "refuse"
    FREEZE = "freeze"
    LOSE_ANSWER = "lose_answer"


class Faults:
    """Current fault values.

    Parameters
    ----------
    defaults : mapping of str to value
        Every fault that exists, with the value that means "off". A boolean is a switch,
        an integer a number, an enum member one of its values.

    Examples
    --------
    >>> faults = make_faults()
    >>> faults.replace({"lose_answers": 1})
    >>> faults.take(), faults.take()
    (<FaultAction.LOSE_ANSWER: 'lose_answer'>, <FaultAction.NONE: 'none'>)
    """

    def __init__(self, defaults: Mapping[str, Any]) -> None:
        self._defaults = dict(defaults)
        self._values = dict(defaults)
        self._random: dict[str, random.Random] = {}

    def replace(self, values: Mapping[str, Any]) -> None:
        """Set the given faults and switch all others off.

        Raises
        ------
        ValueError
            If a name or a value is not valid.
        """
        for name, value in values.items():
            if name not in self._defaults:
                raise ValueError(f"unknown fault: {name!r}")
            _check_value(name, self._defaults[name], value)
        self._values = self._defaults | dict(values)
        self._random = {
            name: random.Random(value.get("seed", 0))
            for name, value in values.items()
            if isinstance(value, Mapping)
        }

    def values(self) -> dict[str, Any]:
        """Return all faults with their current values."""
        return {
            name: value.value if isinstance(value, Enum) else value
            for name, value in self._values.items()
        }

    def value(self, name: str) -> Any:
        """Return the current value of one fault."""
        return self._values[name]

    def take_one(self, name: str) -> bool:
        """Return whether a counted fault hits now, and count it.

        The value is a number of hits, or ``{"probability": p, "seed": s}``.
        """
        value = self._values[name]
        if isinstance(value, Mapping):
            return self._random[name].random() < value["probability"]
        if value > 0:
            self._values[name] = value - 1
            return True
        return False

    def take(self) -> FaultAction:
        """Return what happens to the next request."""
        if self._values["freeze"]:
            return FaultAction.FREEZE
        if self._values["refuse"]:
            return FaultAction.REFUSE
        if self.take_one("lose_answers"):
            return FaultAction.LOSE_ANSWER
        return FaultAction.NONE


def _check_value(name: str, default: Any, value: Any) -> None:
    """Raise ``ValueError`` unless the value has the form that the fault needs."""
    if isinstance(default, bool):
        valid = isinstance(value, bool)
    elif isinstance(default, int):
        counted = isinstance(value, (int, float)) and not isinstance(value, bool)
        valid = (counted and value >= 0) or (
            isinstance(value, Mapping)
            and isinstance(value.get("probability"), (int, float))
            and not name.endswith("_ms")
        )
    else:
        valid = value in [member.value for member in type(default)]
    if not valid:
        raise ValueError(f"invalid value for fault {name!r}: {value!r}")


def make_faults(extra: Mapping[str, Any] | None = None) -> Faults:
    """Return the common faults, all off, with a stand-in's own ones.

    Examples
    --------
    >>> sorted(make_faults({"lose_orders": 0}).values())
    ['delay_ms', 'freeze', 'lose_answers', 'lose_orders', 'refuse']
    """
    return Faults(COMMON_FAULTS | dict(extra or {}))
