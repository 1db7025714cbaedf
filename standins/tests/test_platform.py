"""Plain service, VM list and weight store over HTTP; limits of the store."""

import http.client
import threading

import pytest

from standins.store_state import StoreLimits, StoreState
from standins.tests.processes import call, running, wait_for
from standins.vmlist_state import ListState, Vm, VmList


def test_list_shows_each_past_state():
    """Guards against a list that skips a state or shows the present."""
    vms = VmList(lag_s=1.0)
    entry = Vm("e1", "entry", "z1", "127.0.0.1:1", ListState.LIVE)
    vms.put(entry, 0.0)
    vms.put(Vm("e1", "entry", "z1", "127.0.0.1:1", ListState.LEAVING), 0.5)
    assert vms.delete("e1", 0.6) and not vms.delete("e1", 0.7)
    states = [[vm.state.value for vm in vms.listing(t)] for t in (0.9, 1.2, 1.5, 2.0)]
    assert states == [[], ["live"], ["leaving"], []]


def test_store_limits_concurrent_loads():
    """Guards against a store that frees no slot or allows one too many."""
    store = StoreState(StoreLimits(loads_per_s=100, burst=100, at_once=2), 0.0)
    assert [store.start(0.0) for _ in range(3)] == [True, True, False]
    store.finish()
    assert store.start(0.0)
    assert (store.started, store.refused, store.peak_at_once) == (3, 1, 2)


def test_service_process(tmp_path):
    """Guards against a service that hides a booking's second run."""
    runs_file = tmp_path / "runs"
    with running("service", "--stock=3", f"--runs-file={runs_file}") as (proc, ready):
        address = ready["address"]
        body = {"item": "bed", "booking_id": "b1"}
        assert call(address, "POST", "/bookings", body) == (
            201,
            {"booking_id": "b1", "runs": 1},
        )
        named = {"x-booking-id": "b2"}
        assert call(address, "POST", "/bookings", {"item": "bed"}, **named)[0] == 201
        assert call(address, "POST", "/bookings", {})[0] == 400
        assert call(address, "GET", "/bookings/b1")[1]["booking"] == body
        assert call(address, "GET", "/bookings/b9")[0] == 404
        assert call(address, "GET", "/stock/bed")[1]["left"] == 1
        assert call(address, "GET", "/open/info")[0] == 200
        call(address, "PUT", "/faults", {"freeze_after_effect": 1})
        with pytest.raises(TimeoutError):
            call(address, "POST", "/bookings", body, timeout_s=0.2)
        assert call(address, "GET", "/runs")[1] == {"b1": 2, "b2": 1}
        call(address, "PUT", "/faults", {"crash_after_effect": 1})
        with pytest.raises((http.client.HTTPException, ConnectionError)):
            call(address, "POST", "/bookings", body | {"booking_id": "b3"})
        assert proc.wait(5) == 1
        assert runs_file.read_text().split() == ["b1", "b2", "b1", "b3"]


def test_service_crash_before_effect(tmp_path):
    """Guards against a crash before the effect that still books."""
    runs_file = tmp_path / "runs"
    with running("service", f"--runs-file={runs_file}") as (proc, ready):
        call(ready["address"], "PUT", "/faults", {"crash_before_effect": 1})
        with pytest.raises((http.client.HTTPException, ConnectionError)):
            call(ready["address"], "POST", "/bookings", {"item": "bed"})
        assert proc.wait(5) == 1
        assert not runs_file.exists()


def test_vmlist_process():
    """Guards against a list without lag or without the leaving state."""
    with running("vmlist", "--lag-ms=500") as (_, ready):
        address = ready["address"]
        body = {"role": "entry", "zone": "z1", "address": "127.0.0.1:1"}
        assert call(address, "PUT", "/vms/e1", body)[0] == 200
        assert call(address, "GET", "/vms")[1] == {"vms": []}
        shown = {"vm": "e1", "state": "live"} | body
        wait_for(lambda: call(address, "GET", "/vms")[1] == {"vms": [shown]})
        assert call(address, "PUT", "/vms/e1", body | {"state": "off"})[0] == 400
        assert call(address, "DELETE", "/vms/e1")[0] == 200
        wait_for(lambda: call(address, "GET", "/vms")[1] == {"vms": []})
        call(address, "PUT", "/faults", {"refuse": True})
        assert call(address, "GET", "/vms")[0] == 503


def test_store_process_and_engine_loads_through_it():
    """Guards against engine loads that pass the store by or outlive its refusal."""
    store_options = ["--loads-per-s=0.01", "--burst=2", "--load-ms=1000"]
    with running("store", *store_options) as (_, ready):
        store = ready["address"]
        body = {"name": "m", "size_bytes": 5}
        with running("engine", f"--store-address={store}") as (_, ready):
            engine = ready["address"]
            first = threading.Thread(target=call, args=(store, "POST", "/loads", body))
            first.start()
            wait_for(lambda: call(store, "GET", "/state")[1]["running"] == 1)
            orders = [
                {
                    "order_id": f"o{n}",
                    "action": "load",
                    "kind": "model",
                    "name": f"m{n}",
                }
                for n in range(2)
            ]
            for order in orders:
                call(engine, "POST", "/orders", order)
            states = wait_for(
                lambda: (
                    "running" not in (found := engine_orders(engine)) and sorted(found)
                )
            )
            assert states == ["done", "failed"]
        first.join(5)
        report = call(store, "GET", "/state")[1]
        assert report == {"started": 2, "refused": 1, "running": 0, "peak_at_once": 2}
        call(store, "PUT", "/faults", {"refuse": True})
        assert call(store, "POST", "/loads", body)[0] == 503


def engine_orders(address):
    orders = list(call(address, "GET", "/state")[1]["orders"].values())
    return ["running" if order == "accepted" else order for order in orders]
