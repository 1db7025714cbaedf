"""Which forwarded connections are silent or reset."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

PairId = NewType("PairId", int)


class Scope(Enum):
    """Which connections a fault hits.

    ``ESTABLISHED`` hits those open when it is switched on, and silences them for good;
    ``ALL`` also hits later ones, until it is switched off.
    """

    OFF = "off"
    ESTABLISHED = "established"
    ALL = "all"


class Direction(Enum):
    """Which direction a silence stops."""

    BOTH = "both"
    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"


class PairAction(Enum):
    """What is done to a pair of connections."""

    SILENCE = "silence"
    RELEASE = "release"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class CutFaults:
    """Values of the faults."""

    silence: Scope = Scope.OFF
    direction: Direction = Direction.BOTH
    cut: Scope = Scope.OFF


class CutState:
    """Open pairs and the ones that are silent.

    Examples
    --------
    >>> state = CutState()
    >>> state.opened(PairId(1)), state.change(CutFaults(silence=Scope.ESTABLISHED))
    (None, [(1, <PairAction.SILENCE: 'silence'>)])
    >>> state.opened(PairId(2)), state.change(CutFaults())
    (None, [])
    """

    def __init__(self) -> None:
        self.faults = CutFaults()
        self.open: set[PairId] = set()
        self.silent: set[PairId] = set()
        self._for_good: set[PairId] = set()

    def opened(self, pair: PairId) -> PairAction | None:
        """Add a pair and return what is done to it."""
        if self.faults.cut is Scope.ALL:
            return PairAction.RESET
        self.open.add(pair)
        if self.faults.silence is Scope.ALL:
            self.silent.add(pair)
            return PairAction.SILENCE
        return None

    def closed(self, pair: PairId) -> None:
        """Remove a pair."""
        for pairs in (self.open, self.silent, self._for_good):
            pairs.discard(pair)

    def change(self, faults: CutFaults) -> list[tuple[PairId, PairAction]]:
        """Take new fault values and return what is done to the open pairs."""
        self.faults = faults
        if faults.cut is not Scope.OFF:
            actions = [(pair, PairAction.RESET) for pair in sorted(self.open)]
            for pair, _ in actions:
                self.closed(pair)
            return actions
        if faults.silence is Scope.OFF:
            released = sorted(self.silent - self._for_good)
            self.silent = set(self._for_good)
            return [(pair, PairAction.RELEASE) for pair in released]
        silenced = sorted(self.open - self.silent)
        self.silent = set(self.open)
        if faults.silence is Scope.ESTABLISHED:
            self._for_good = set(self.open)
        return [(pair, PairAction.SILENCE) for pair in silenced]
