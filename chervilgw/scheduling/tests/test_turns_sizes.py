"""Prompts of all sizes are read in an overload of one engine."""

import pytest

from chervilgw.scheduling.tests.reading import Load, by_size, play, served_share
from chervilgw.scheduling.turns import make_turn_queue

LEAST_OF_ALL = 0.5
"""The operators' bound: the largest tenth of a kind, and the fifth below it, are served
at least half as often as the whole kind."""


@pytest.mark.parametrize("mean_tokens", [491.0, 1_110.0])
@pytest.mark.parametrize("offered", [0.8, 1.2, 1.5, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_large_prompts_are_not_starved_by_small_ones_that_fit(
    offered, seed, mean_tokens
):
    """Pattern: more prompts of mixed sizes than one engine can read, for 30 seconds.

    Guards against a large prompt that waits until its caller gives up, because there is
    always a smaller one that fits beside what is being read.
    """
    load = Load(offered, seed, mean_tokens=mean_tokens, largest_tokens=4_300)
    prompts = play(load, make_turn_queue).prompts
    least = LEAST_OF_ALL * served_share(prompts)
    largest, below = by_size(prompts)
    assert served_share(largest) >= least
    assert served_share(below) >= least
