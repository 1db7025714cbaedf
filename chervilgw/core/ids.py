"""Identifier types.

Identifiers are strings or integers at run time; the ``NewType`` wrappers let a type
checker tell them apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

VmId = NewType("VmId", str)
ZoneId = NewType("ZoneId", str)
CustomerId = NewType("CustomerId", str)
KeyId = NewType("KeyId", str)
ModelName = NewType("ModelName", str)
ServiceName = NewType("ServiceName", str)
BudgetName = NewType("BudgetName", str)
ChangeId = NewType("ChangeId", str)
CrashId = NewType("CrashId", str)
Digest = NewType("Digest", str)
RequestTrait = NewType("RequestTrait", str)
SoftwareVersion = NewType("SoftwareVersion", str)
Offset = NewType("Offset", int)
# Position of a record in the platform's log, comparable also after the store came back
# from a copy and assigned offsets again. The bits above the offset rise with each copy.
LogPosition = NewType("LogPosition", int)
ShareUnits = NewType("ShareUnits", int)

NO_OFFSET = Offset(-1)
NO_POSITION = LogPosition(-1)
# Positions and fencing tokens stay below 2**53, so that JSON parsers that read numbers
# as floats keep all their digits.
OFFSET_BITS = 36


def is_restored_between(former: LogPosition, later: LogPosition) -> bool:
    """Return whether the log came back from a copy between two positions.

    Examples
    --------
    >>> is_restored_between(LogPosition(7), LogPosition(2**OFFSET_BITS + 3))
    True
    >>> is_restored_between(LogPosition(3), LogPosition(7))
    False
    """
    return former >> OFFSET_BITS < later >> OFFSET_BITS


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of one process.

    Parameters
    ----------
    vm : VmId
        The VM on which the process runs.
    start_ms : int
        Start time in milliseconds since the epoch. A later process of the same VM has a
        higher number.

    Examples
    --------
    >>> str(Incarnation(VmId("entry-1"), 17))
    'entry-1/17'
    """

    vm: VmId
    start_ms: int

    def __str__(self) -> str:
        return f"{self.vm}/{self.start_ms}"


@dataclass(frozen=True, slots=True, order=True)
class RequestId:
    """Identifier of one attempt, unique over restarts.

    Parameters
    ----------
    origin : Incarnation
        The entry process that dispatched the attempt.
    counter : int
        Number of the attempt within that process.

    Examples
    --------
    >>> str(RequestId(Incarnation(VmId("entry-1"), 17), 3))
    'entry-1/17/3'
    """

    origin: Incarnation
    counter: int

    def __str__(self) -> str:
        return f"{self.origin}/{self.counter}"


def parse_incarnation(text: str) -> Incarnation:
    """Parse the text form of an incarnation.

    Parameters
    ----------
    text : str
        ``vm/start_ms``.

    Returns
    -------
    Incarnation

    Raises
    ------
    ValueError
        If the text has another form.

    Examples
    --------
    >>> parse_incarnation("entry-1/17").start_ms
    17
    """
    vm, separator, start_ms = text.rpartition("/")
    if not separator or not vm:
        raise ValueError(f"not an incarnation: {text!r}")
    return Incarnation(VmId(vm), int(start_ms))
