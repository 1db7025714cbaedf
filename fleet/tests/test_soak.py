"""A short soak with fixed seeds; ``python -m fleet.soak`` plays more of them."""

import pytest

from fleet.soak import play

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_promise_is_broken_under_overlapping_faults(seed):
    """Guards against bookings that run twice, false refusals, and cut or mixed answers.

    Entries are stopped, killed and paused, servers break off and the store is away, in
    series that overlap, while callers use their connections to the end.
    """
    assert play(seed, SECONDS) == []
