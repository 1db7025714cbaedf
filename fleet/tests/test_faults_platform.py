"""Outages of the weight store and of the VM list, and the limit on cold starts."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest

from fleet.plan import ModelPlan
from fleet.tests.faulting import engine_state, engine_vms, holders_of, set_model
from fleet.tests.outages import (
    MODEL,
    Traffic,
    complete,
    http_address,
    in_background,
    small_fleet,
    try_call,
    wait_until,
)

pytestmark = pytest.mark.faults

ADDED = "summary"
LOAD_S = 1.0
"""One load in the stand-ins: 0.5 s in the weight store and 0.5 s in the engine."""
BOUND_S = LOAD_S + 5.0
COLD_STARTS_AT_ONCE = 3
ADAPTERS = tuple(f"adapter-{number}" for number in range(12))


def traffic_to(fleet, per_s=20):
    """Send completions of the model with two copies through all entries in turn."""
    key = fleet.keys["tenants"]

    def request(number):
        addresses = fleet.entry_addresses()
        return complete(addresses[number % len(addresses)], key, timeout_s=8)

    return Traffic(request, per_s=per_s)


def ask(fleet, model, timeout_s=12.0):
    body = {"model": model, "prompt": "two words", "max_tokens": 3}
    address, key = http_address(fleet, "entry-1"), fleet.keys["surveyors"]
    return try_call(
        address, "POST", "/v1/completions", body, key, timeout_s=timeout_s
    ).status


def test_store_outage_stops_no_loaded_model_and_loads_go_on_after_it():
    """Guards against requests that fail, or loads given up, while the store is down."""
    models = (ModelPlan(MODEL, min_copies=2),)
    with small_fleet(engines=2, models=models) as fleet:
        fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 2, "two copies")
        with traffic_to(fleet) as traffic:
            fleet.set_faults("store", refuse=True)
            set_model(fleet, ADDED, "1")
            fleet.vms["engine-1"].backend.kill()
            fleet.start_backend("engine-1")
            wait_until(fleet, time.monotonic() + 6.0)
            assert not holders_of(fleet, ADDED), "loaded without the store"
            assert len(holders_of(fleet, MODEL)) == 1
            fleet.set_faults("store")
            up_s = time.monotonic()
            fleet.wait_for(lambda: ask(fleet, ADDED) == 200, f"{ADDED} answers")
            waited_s = time.monotonic() - up_s
            fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 2, "two copies")
        print(
            f"\n{ADDED} answers {waited_s:.2f} s after the outage ({BOUND_S} allowed)"
        )
        assert waited_s <= BOUND_S
        assert len(traffic.sent) > 60
        assert not traffic.failed(), traffic.failed()[:3]


@pytest.mark.parametrize("fault", [{"refuse": True}, {"freeze": True}])
def test_list_outage_takes_no_vm_for_gone(fault):
    """Guards against VMs that count as gone because the list does not answer."""
    models = (ModelPlan(MODEL, min_copies=2),)
    with small_fleet(engines=2, models=models) as fleet:
        fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 2, "two copies")
        with traffic_to(fleet) as traffic:
            fleet.set_faults("vmlist", **fault)
            # Longer than the time after which an unlisted VM counts as gone.
            wait_until(fleet, time.monotonic() + 8.0)
            fleet.vms["engine-1"].daemon.kill()
            wait_until(fleet, time.monotonic() + 3.0)
            fleet.set_faults("vmlist")
            fleet.start_daemon("engine-1")
            fleet.wait_ready()
        assert len(traffic.sent) > 100
        assert not traffic.failed(), traffic.failed()[:3]
        states = {
            server["vm"]: server["state"]
            for server in fleet.admin("GET", "fleet").json()["servers"]
        }
        assert states == {"engine-1": "live", "engine-2": "live"}


def test_cold_starts_of_adapters_stay_under_the_limit_over_the_fleet():
    """Guards against more cold starts at once than the knee of the store's curve."""
    options = {"adapter_ms": 400, "adapter_knee": COLD_STARTS_AT_ONCE}
    with small_fleet(
        engines=2,
        models=(ModelPlan(MODEL, min_copies=2),),
        adapters=tuple((name, MODEL) for name in ADAPTERS),
        engine_options=options,
    ) as fleet:
        fleet.wait_for(lambda: len(holders_of(fleet, MODEL)) == 2, "two copies")
        fleet.set_item("defaults", {"adapter_cold_starts_at_once": COLD_STARTS_AT_ONCE})
        wait_until(fleet, time.monotonic() + 3.0)
        stop = Event()
        watched = in_background(most_cold_starts, fleet, stop)
        with ThreadPoolExecutor(len(ADAPTERS)) as pool:
            statuses = list(pool.map(lambda name: ask(fleet, name), ADAPTERS))
        stop.set()
        most = watched.result()
        print(f"\nmost cold starts at once: {most} of {COLD_STARTS_AT_ONCE}")
        assert statuses == [200] * len(ADAPTERS)
        # All adapters were wanted at once, so the limit was reached.
        assert most == COLD_STARTS_AT_ONCE


def most_cold_starts(fleet, stop: Event) -> int:
    """Return the most adapters that were being loaded at once."""
    most = 0
    while not stop.wait(0.02):
        loading = [
            copy
            for vm in engine_vms(fleet)
            for copy in engine_state(vm)["resident"]
            if copy["kind"] == "adapter" and copy["state"] == "loading"
        ]
        most = max(most, len(loading))
    return most
