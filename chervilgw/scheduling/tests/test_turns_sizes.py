"""Large prompts are not starved when one engine is overloaded."""

import pytest

from chervilgw.scheduling.tests.reading import Load, by_size, play, served_fraction
from chervilgw.scheduling.turns import make_turn_queue

# The operators' bound: the largest tenth of the prompts, and the fifth below it, are
# served at least half as often as all prompts.
MIN_SERVED_RATIO = 0.5


@pytest.mark.parametrize("mean_tokens", [491.0, 1_110.0])
@pytest.mark.parametrize("offered", [0.8, 1.2, 1.5, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_large_prompts_are_not_starved_by_small_ones_that_fit(
    offered, seed, mean_tokens
):
    """Guards against a large prompt that waits until its caller gives up.

    While the engine is overloaded, there is always a smaller prompt that fits beside
    those being read. The load offers prompts of mixed sizes for 30 seconds.
    """
    load = Load(offered, seed, mean_tokens=mean_tokens, largest_tokens=4_300)
    prompts = play(load, make_turn_queue).prompts
    minimum = MIN_SERVED_RATIO * served_fraction(prompts)
    largest, below = by_size(prompts)
    assert served_fraction(largest) >= minimum
    assert served_fraction(below) >= minimum
