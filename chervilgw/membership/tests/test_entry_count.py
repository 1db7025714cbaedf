"""Number of entries that share a cold server's rate."""

import pytest

from chervilgw.membership.entry_count import (
    EXPECTED_ENTRIES,
    ISOLATED_SILENT_S,
    LEFT_S,
    SILENT_S,
    make_entry_count,
)

PEERS = tuple(f"10.0.0.{number}:7600" for number in range(1, 9))


@pytest.fixture
def count():
    made = make_entry_count(PEERS[0])
    made.on_listed(PEERS, 0.0)
    return made


def run(count, from_s, to_s, heard=(), draining=()):
    now_s = from_s
    while now_s < to_s:
        now_s += 1.0
        for address in heard:
            count.on_report(address, address in draining, now_s)
        count.drop_silent(now_s)
    return count.share().entries


def test_entry_without_a_list_expects_the_largest_deployment():
    """Guards against an entry that starts and takes itself for the only one."""
    count = make_entry_count(PEERS[0])
    count.on_report(PEERS[1], False, 0.0)
    assert count.share().entries == EXPECTED_ENTRIES
    count.on_listed(PEERS, 1.0)
    assert count.share().entries == len(PEERS)


def test_every_entry_has_a_position_of_its_own():
    """Guards against two entries that use the same slots."""
    ranks = set()
    for address in PEERS:
        count = make_entry_count(address)
        count.on_listed(PEERS, 0.0)
        ranks.add(count.share().rank)
    assert ranks == set(range(len(PEERS)))


def test_silent_peers_count_until_they_are_surely_gone(count):
    """Guards against a share that grows while a peer is frozen."""
    heard = PEERS[1:7]
    assert run(count, 0.0, SILENT_S - 1.0, heard) == 8
    assert run(count, SILENT_S - 1.0, SILENT_S + 3.0, heard) == 7


def test_peers_that_left_do_not_count_again_when_they_are_listed_again(count):
    """Guards against a share that shrinks after a restore of the store."""
    assert run(count, 0.0, 1.0, PEERS[1:], PEERS[1:]) == 8
    assert run(count, 1.0, LEFT_S + 2.0) == 1
    count.on_listed(PEERS, LEFT_S + 3.0)
    assert count.share().entries == 1
    count.on_report(PEERS[1], False, LEFT_S + 4.0)
    assert count.share().entries == 2


def test_peer_that_announced_its_stop_is_dropped_soon(count):
    """Guards against a fleet that shrinks and sends too little for a minute."""
    run(count, 0.0, 3.0, PEERS[1:], draining=PEERS[7:])
    assert run(count, 3.0, 3.0 + LEFT_S + 2.0, PEERS[1:7]) == 7


def test_entry_that_hears_few_peers_keeps_their_number(count):
    """Guards against both sides of a cut network that each use the whole rate."""
    assert run(count, 0.0, 5 * SILENT_S, PEERS[1:3]) == 8
    assert run(count, 5 * SILENT_S, ISOLATED_SILENT_S + 5.0, PEERS[1:3]) == 3


def test_time_in_which_the_process_did_not_run_does_not_count(count):
    """Guards against a resumed entry that forgets its peers before it hears them."""
    run(count, 0.0, 10.0, PEERS[1:])
    assert run(count, 900.0, 903.0) == 8
