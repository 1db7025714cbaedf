"""Withdrawn keys, and entries that cannot confirm their configuration."""

import time

import pytest

from fleet.client import call
from fleet.tests.outages import (
    WITHIN_S,
    Reader,
    Traffic,
    book,
    complete,
    http_address,
    in_background,
    long_stream,
    run_state,
    small_fleet,
    try_call,
    wait_until,
)

pytestmark = pytest.mark.faults
REFUSED = (401, 403)


def withdraw(fleet, key_id, entry="entry-1"):
    path = f"keys/{key_id}/withdraw"
    address = http_address(fleet, entry)
    answer = fleet.admin("POST", path, {"reason": "leaked"}, address)
    assert answer.status == 200, answer
    return time.monotonic()


def await_ready(fleet, entry):
    address = http_address(fleet, entry)
    fleet.wait_for(lambda: try_call(address, "GET", "/readyz").status == 200, "ready")


def test_withdrawn_key_is_refused_everywhere_and_its_streams_end():
    """Guards requirement 4 under traffic, and that other keys go on."""
    with small_fleet(engine_options={"token_ms": 50}) as fleet:
        addresses = fleet.entry_addresses()
        key_id, key = fleet.issue_key("tenants")
        other = fleet.keys["surveyors"]
        readers = [Reader(long_stream(each, key)) for each in addresses]
        kept = Reader(long_stream(addresses[1], other))
        fleet.wait_for(lambda: all(r.tokens for r in [*readers, kept]), "tokens")
        with Traffic(
            lambda n: complete(addresses[n % 2], key, max_tokens=1), per_s=20
        ) as traffic:
            fleet.wait_for(lambda: traffic.statuses()[200] >= 10, "traffic")
            limit_s = withdraw(fleet, key_id) + WITHIN_S
            wait_until(fleet, limit_s)
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 20, "traffic")
        late = [each for each in traffic.sent if each.sent_s > limit_s]
        assert len(late) >= 10
        assert all(each.status in REFUSED for each in late), late
        for reader in readers:
            assert reader.ended_s is not None and reader.ended_s <= limit_s
            assert reader.stream.error and not reader.stream.done, reader.stream
        assert kept.ended_s is None
        assert complete(addresses[0], other, max_tokens=1).status == 200


@pytest.mark.parametrize("fault", ["frozen", "cut", "cut_and_frozen"])
def test_withdrawn_key_through_a_faulty_entry(fault):
    """Guards against an entry that missed the withdrawal and still admits the key."""
    options = {"token_ms": 50}
    with small_fleet(engine_options=options, cut_log=("entry-2",)) as fleet:
        address = http_address(fleet, "entry-2")
        key_id, key = fleet.issue_key("tenants")
        fleet.wait_for(lambda: complete(address, key).status == 200, "key known")
        reader = Reader(long_stream(address, key))
        fleet.wait_for(lambda: reader.tokens, "tokens")
        if "cut" in fault:
            fleet.set_cut("entry-2", "log", silence="all")
        daemon = fleet.vms["entry-2"].daemon
        if "frozen" in fault:
            daemon.freeze()
        limit_s = withdraw(fleet, key_id) + WITHIN_S
        queued = in_background(complete, address, key)
        wait_until(fleet, limit_s)
        daemon.thaw()
        thawed_s = time.monotonic()
        answers = [complete(address, key) for _ in range(3)]
        if "frozen" not in fault:
            assert reader.ended_s is not None and reader.ended_s <= limit_s
            assert all(answer.status in REFUSED for answer in answers), answers
        else:
            answers.append(queued.result(20))
            # A process that was paused may refuse as not confirmed, but never admits.
            for answer in answers:
                assert answer.status in (*REFUSED, 503), answer
            fleet.wait_for(lambda: reader.ended_s, "stream ended")
            assert reader.ended_s <= thawed_s + WITHIN_S
        assert reader.stream.error and not reader.stream.done
        fleet.set_cut("entry-2", "log")
        other = fleet.keys["surveyors"]
        fleet.wait_for(lambda: complete(address, other).status == 200, "other key")


def test_entry_that_reaches_neither_log_nor_half_the_vms_refuses():
    """Guards against an entry that admits keys by a configuration it can't confirm."""
    others = ("entry-2", "engine-1", "engine-2", "engine-3")
    with small_fleet(engines=3, cut_log=("entry-1",), cut_peers=others) as fleet:
        address = http_address(fleet, "entry-1")
        key_id, key = fleet.issue_key("tenants")
        other = fleet.keys["surveyors"]
        fleet.wait_for(lambda: complete(address, key).status == 200, "key known")
        fleet.set_cut("entry-1", "log", silence="all")
        for vm in others[:2]:
            fleet.set_cut(vm, "peer", silence="all")
        wait_until(fleet, time.monotonic() + WITHIN_S)
        # Two of four other VMs remain, which is half.
        fleet.wait_for(lambda: complete(address, other).status == 200, "half is enough")
        for vm in others:
            fleet.set_cut(vm, "peer", silence="all")
        withdraw(fleet, key_id, "entry-2")
        wait_until(fleet, time.monotonic() + WITHIN_S)
        for each in (key, other):
            answer = complete(address, each)
            assert (answer.status, run_state(answer)) == (503, "not_run"), answer
        fleet.set_cut("entry-1", "log")
        for vm in others:
            fleet.set_cut(vm, "peer")
        fleet.wait_for(lambda: complete(address, other).status == 200, "admits again")
        assert complete(address, key).status in REFUSED


def test_customers_with_the_same_idempotency_key_do_not_share_answers(tmp_path):
    """Guards requirement 3: a key of one customer never reaches another's data."""
    options = {"runs_file": tmp_path / "runs"}
    with small_fleet(engines=0, models=(), services=1, service_options=options) as f:
        one, two = f.entry_addresses()
        first = book(one, f.keys["tenants"], "of-tenants", "same")
        f.vms["casework-1"].daemon.kill()
        f.start_daemon("casework-1")
        f.wait_ready()
        second = book(two, f.keys["surveyors"], "of-surveyors", "same")
        again = book(two, f.keys["tenants"], "of-tenants", "same")
        assert first.json()["booking_id"] == "of-tenants", first
        assert second.json()["booking_id"] == "of-surveyors", second
        assert again.body == first.body, again
        for key in ("", "0123", f.keys["tenants"][:-1], f.operator_key):
            path = "/services/casework/bookings/of-tenants"
            assert call(one, "GET", path, key=key).status in REFUSED
