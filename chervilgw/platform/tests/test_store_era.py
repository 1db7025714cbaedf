"""Eras that answers of the store state, sound and odd ones."""

import pytest

from chervilgw.platform.store_era import EraStep, decode_era, make_era_tracker


def steps(*eras):
    tracker = make_era_tracker()
    return [tracker.on_answer(era) for era in eras]


def test_single_wrong_era_does_not_outdate_the_answers_after_it():
    """Guards against a process that discards all answers after a wrong one."""
    expected = [EraStep.SAME, EraStep.UNCONFIRMED, EraStep.SAME, EraStep.SAME]
    assert steps(1, 60_000, 1, 1) == expected
    expected = [EraStep.SAME, EraStep.UNCONFIRMED, EraStep.UNCONFIRMED, EraStep.SAME]
    assert steps(1, 60_000, 50_000, 1) == expected


def test_era_that_two_answers_state_is_believed():
    steps_seen = steps(1, 3, None, 3, 3, 2)
    assert steps_seen[3:] == [EraStep.RESTORED, EraStep.SAME, EraStep.OUTDATED]


@pytest.mark.parametrize("text", ["", "x", "-1", "2.0", "99999999999", "70000"])
def test_era_that_is_no_small_number_says_nothing(text):
    """Guards against odd headers that are taken for a restore."""
    assert decode_era((("Store-Era", text),)) is None
