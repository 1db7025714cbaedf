"""A request that crashes its engine stops after two crashes in the whole fleet."""

from __future__ import annotations

import pytest

from fleet.client import call
from fleet.launcher import start_fleet
from fleet.plan import ModelPlan
from fleet.tests.faulting import (
    COMPLETIONS,
    Callers,
    completion,
    each_seed,
    engine_vms,
    errors_of,
    holders_of,
    small_plan,
)

pytestmark = pytest.mark.faults

MODEL = "draft"
BLOCK_S = 4.0


def crash_plan():
    return small_plan(models=(ModelPlan(MODEL, min_copies=3),))


def send_crashing(fleet, address: str, seed: int):
    """Send the request that ends its engine."""
    body = completion(MODEL, f"CRASH-ENGINE {seed}", 20)
    return call(address, "POST", COMPLETIONS, body, fleet.keys["tenants"])


def is_blocked(answer) -> bool:
    return answer.status == 422 and answer.json()["error"]["code"] == (
        "blocked_after_crashes"
    )


def crash_twice(fleet, seed: int) -> int:
    """Send the request through both entries until both refuse it; return crashes."""
    for address in fleet.entry_addresses():
        fleet.wait_for(
            lambda address=address: is_blocked(send_crashing(fleet, address, seed)),
            "the request is blocked",
            10.0,
        )
    return sum(not vm.backend.running for vm in engine_vms(fleet))


def restart_engines(fleet) -> None:
    for vm in engine_vms(fleet):
        if not vm.backend.running:
            fleet.start_backend(vm.name)


@each_seed
def test_two_crashes_then_refused_everywhere_and_lifted(seed):
    """Guards: a crashing request takes two engines at most; its block can be lifted."""
    with start_fleet(crash_plan()) as fleet:
        fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 3, "copies", 20.0)
        callers = Callers(fleet, MODEL, 60, seed).start(6)
        callers.await_progress(3)
        assert crash_twice(fleet, seed) <= 2
        results = callers.finish()
        assert not errors_of(results)
        newest = fleet.add_entry("entry-3", "zone-c")
        address = newest.daemon.addresses["http"]
        fleet.wait_ready()
        assert is_blocked(send_crashing(fleet, address, seed))
        blocks = fleet.admin("GET", "blocks").json()
        digest = next(iter(blocks.values()))[0]["digest"]
        restart_engines(fleet)
        lifted = fleet.admin("POST", f"blocks/{digest}/lift", {"reason": "test"})
        assert lifted.status in (200, 201), lifted.body
        for entry in fleet.entry_addresses():
            fleet.wait_for(
                lambda entry=entry: not blocks_of(fleet, entry), "no block", 5.0
            )


def blocks_of(fleet, address: str) -> list:
    return next(iter(fleet.admin("GET", "blocks", address=address).json().values()))


@each_seed
def test_block_ends_after_its_time(seed):
    """Guards: a block ends by itself after ``crash_block_s``."""
    with start_fleet(crash_plan()) as fleet:
        fleet.set_item(
            "defaults",
            {
                "store_loads_per_s": fleet.plan.store_loads_per_s,
                "store_loads_at_once": fleet.plan.store_loads_at_once,
                "crash_block_s": BLOCK_S,
            },
        )
        fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 3, "copies", 20.0)
        assert crash_twice(fleet, seed) <= 2
        for entry in fleet.entry_addresses():
            fleet.wait_for(
                lambda entry=entry: not blocks_of(fleet, entry),
                "the block ends",
                BLOCK_S + 3.0,
            )
