"""Era of the platform's store, which rises when the store comes back from a copy.

Records that the store acknowledged after the copy was made are lost, and their offsets
are assigned again. An offset therefore identifies a record only within an era.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from chervilgw.core.ids import OFFSET_BITS, LogPosition, Offset
from chervilgw.platform.errors import DecodeError
from chervilgw.runtime.events import Headers

StoreEra = NewType("StoreEra", int)

_ERA_HEADER = "store-era"
# An era that no number of restores reaches is not believed.
MAX_ERA = 2**16
MAX_OFFSET = 2**OFFSET_BITS - 1
_DIGITS = re.compile(r"[0-9]{1,10}")


class EraStep(Enum):
    """What an answer's era says of the store."""

    SAME = "same"
    UNCONFIRMED = "unconfirmed"
    RESTORED = "restored"
    OUTDATED = "outdated"


@dataclass(slots=True)
class EraTracker:
    """Newest era seen by one process; see :func:`make_era_tracker`."""

    era: StoreEra | None = None
    _claimed: StoreEra | None = None

    def on_answer(self, era: StoreEra | None) -> EraStep:
        """Apply the era of an answer.

        A later era is believed when two answers state it: after a single wrong one, all
        sound answers would count as outdated.

        Parameters
        ----------
        era : StoreEra or None
            None if the answer states no valid era, which says nothing of the store.
            The first era that is stated is taken as it is.

        Returns
        -------
        EraStep
            ``OUTDATED`` if the store answered before it came back from its copy,
            ``UNCONFIRMED`` if the answer alone states a later era.

        Examples
        --------
        >>> tracker = make_era_tracker()
        >>> [tracker.on_answer(StoreEra(era)).value for era in (1, 2, 2, 1, 2)]
        ['same', 'unconfirmed', 'restored', 'outdated', 'same']
        """
        if era is None:
            return EraStep.SAME
        if self.era is None or era == self.era:
            self.era, self._claimed = era, None
            return EraStep.SAME
        if era < self.era:
            return EraStep.OUTDATED
        if era != self._claimed:
            self._claimed = era
            return EraStep.UNCONFIRMED
        self.era, self._claimed = era, None
        return EraStep.RESTORED


def make_era_tracker() -> EraTracker:
    """Return the tracker of a process that has no answer of the store yet."""
    return EraTracker()


def decode_era(headers: Headers) -> StoreEra | None:
    """Return the era that an answer states, or None without a valid one.

    Examples
    --------
    >>> decode_era((("Store-Era", "3"),)), decode_era((("Store-Era", "-1"),))
    (3, None)
    """
    for name, value in headers:
        if name.lower() == _ERA_HEADER and _DIGITS.fullmatch(value.strip()):
            era = int(value)
            return StoreEra(era) if era <= MAX_ERA else None
    return None


def to_position(era: StoreEra | None, offset: Offset) -> LogPosition:
    """Return the position of a record; those of a later era are higher.

    Parameters
    ----------
    era : StoreEra or None
        Era in which the store assigned the offset, None if it states none.
    offset : Offset

    Raises
    ------
    DecodeError
        If the offset is higher than a log can grow within an era.

    Examples
    --------
    >>> to_position(StoreEra(1), Offset(15)) < to_position(StoreEra(2), Offset(3))
    True
    >>> to_position(None, Offset(15))
    15
    """
    if offset > MAX_OFFSET:
        raise DecodeError(f"offset {offset} is out of range")
    return LogPosition(((era or 0) << OFFSET_BITS) + offset)
