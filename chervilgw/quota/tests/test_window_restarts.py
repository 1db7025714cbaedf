"""Grants of ended processes count at entries that survive them and that start."""

import pytest
from returns.pipeline import is_successful

from chervilgw.core.ids import VmId
from chervilgw.quota.window import make_window_quota
from chervilgw.quota.window_peers import MAX_INFORMANTS

from .test_window import ACME, LIMIT, RULE, STEP_S, WINDOW_S, entry


def tell(informant, quota, now_s, number=1):
    """Let an informed entry tell a started one what it remembers."""
    memory = informant.memory_for(VmId("e0"), entry(number), now_s)
    assert quota.on_memory(memory, now_s)


def test_entry_that_restarts_alone_grants_what_its_peers_show_to_be_free():
    """Guards against a limit that a killed entry grants again.

    A whole limit was granted by one of four entries and again after its restart: 98,000
    tokens of 66,000 (review case 3).
    """
    survivor = make_window_quota(WINDOW_S)
    former = {ACME: 850}
    survivor.on_report(entry(0), former, 0.0, True, former)
    survivor.on_report(entry(0, start_ms=2), {}, 1.0, False)
    quota = make_window_quota(WINDOW_S, restarted_s=1.0)
    quota.on_report(entry(1), {}, 1.0)
    # Nothing is proved free before a peer has told what it remembers.
    assert not is_successful(quota.reserve(RULE, 1, 1.0))
    tell(survivor, quota, 1.0)
    assert not is_successful(quota.reserve(RULE, 151, 1.0))
    assert is_successful(quota.reserve(RULE, 150, 1.0))
    quota.on_report(entry(1), {}, WINDOW_S)
    assert is_successful(quota.reserve(RULE, 850, WINDOW_S))


def test_entry_that_was_told_tells_others():
    """Guards against grants that are forgotten with the last entry that saw them."""
    first = make_window_quota(WINDOW_S)
    first.on_report(entry(2), {ACME: 600}, 0.0)
    first.on_report(entry(2, start_ms=2), {}, 1.0, False)
    second = make_window_quota(WINDOW_S, restarted_s=1.0)
    tell(first, second, 1.0)
    third = make_window_quota(WINDOW_S, restarted_s=2.0)
    second.on_report(entry(2, start_ms=2), {}, 1.9)
    second.on_report(entry(1), {ACME: 300}, 1.9)
    second.on_report(entry(1, start_ms=2), {}, 2.0, False)
    tell(second, third, 2.0, number=2)
    assert not is_successful(third.reserve(RULE, 101, 2.0))
    assert is_successful(third.reserve(RULE, 100, 2.0))


def test_started_entry_counts_silent_peers_of_its_informant():
    """Guards against a started entry that knows no peer beyond a partition."""
    survivor = make_window_quota(WINDOW_S)
    survivor.on_report(entry(2), {ACME: 10}, 0.0)
    quota = make_window_quota(WINDOW_S, restarted_s=2.0)
    tell(survivor, quota, 2.0)
    quota.on_report(entry(1), {}, 2.0)
    third = int(LIMIT / 3)
    assert not is_successful(quota.reserve(RULE, int(LIMIT) - third + 1, 2.0))
    assert is_successful(quota.reserve(RULE, int(LIMIT) - third - 1, 2.0))


def test_grants_before_two_restarts_of_an_entry_count():
    """Guards against a second restart that hides the grants before the first one."""
    quota = make_window_quota(WINDOW_S)
    for start_ms, amount in ((1, 500), (2, 400), (3, 0)):
        quota.on_report(entry(1, start_ms), {ACME: amount}, float(start_ms))
    assert not is_successful(quota.reserve(RULE, 101, 3.0))
    assert is_successful(quota.reserve(RULE, 100, 3.0))


def test_grants_of_an_ended_process_expire_one_by_one():
    """Guards against refusals within a customer's rate for a window after a kill."""
    quota = make_window_quota(WINDOW_S)
    for step in range(41):
        now_s, ever = step * STEP_S, {ACME: 20 * (step + 1)}
        granted = {ACME: min(ever[ACME], 800)}
        quota.on_report(entry(1), granted, now_s, True, ever)
    quota.on_report(entry(1, start_ms=2), {}, 8.2)
    # 100 tokens a second: after half of a window half of the 800 still count.
    quota.on_report(entry(1, start_ms=2), {}, 12.2)
    assert is_successful(quota.reserve(RULE, 560, 12.2))


def test_peer_whose_clock_was_set_back_before_its_restart_counts():
    """Guards against grants that are never counted, as their start looks old."""
    quota = make_window_quota(WINDOW_S)
    quota.on_report(entry(1, start_ms=5_000), {ACME: 100}, 0.0)
    quota.on_report(entry(1, start_ms=1_000), {ACME: 700}, 1.0)
    assert not is_successful(quota.reserve(RULE, 201, 1.0))
    assert is_successful(quota.reserve(RULE, 200, 1.0))


def test_time_to_retry_counts_the_grants_of_ended_processes():
    """Guards against callers that are told to stay away for a whole window."""
    quota = make_window_quota(WINDOW_S)
    quota.on_report(entry(1), {ACME: int(LIMIT)}, 1.0)
    quota.on_report(entry(1, start_ms=2), {}, 3.0)
    refusal = quota.reserve(RULE, 10, 4.0).failure()
    assert refusal.retry_after_s == pytest.approx(5.0)


def test_only_some_entries_tell_a_started_one():
    """Guards against answers of a whole fleet to one start."""
    informants = 0
    for number in range(6):
        quota = make_window_quota(WINDOW_S)
        for other in {*range(6)} - {number}:
            quota.on_report(entry(other), {}, 0.0)
        memory = quota.memory_for(VmId("e9"), entry(number), 0.0)
        informants += memory is not None
    assert informants == MAX_INFORMANTS
