"""A short soak with fixed seeds; ``python -m fleet.soak`` plays more of them."""

import pytest

from fleet.soak import play
from fleet.soak_drills import SECONDS as DRILL_SECONDS
from fleet.soak_drills import DrillSoak

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_promise_is_broken_under_overlapping_faults(seed):
    """Guards against bookings that run twice, false refusals, and cut or mixed answers.

    Entries are stopped, killed and paused, servers break off and the store is away, in
    series that overlap, while callers use their connections to the end.
    """
    assert play(seed, SECONDS) == []


def test_no_promise_is_broken_when_the_store_comes_back_from_copies():
    """Guards against what a restore of the store undoes: configurations and leaves.

    On the commit before eras were read (8c6bf7b) this seed broke CONFIG.
    """
    assert play(1, DRILL_SECONDS, DrillSoak) == []
