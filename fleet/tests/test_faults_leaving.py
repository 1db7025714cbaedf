"""Planned stops: no new work, and nothing is cut off."""

import time
from signal import SIGTERM

import pytest

from fleet.client import call
from fleet.plan import ModelPlan
from fleet.process import Process, python_command
from fleet.tests.outages import (
    MODEL,
    WITHIN_S,
    EngineRuns,
    Reader,
    Traffic,
    complete,
    http_address,
    long_stream,
    small_fleet,
    wait_until,
)

pytestmark = pytest.mark.faults


def two_loaded_engines(**changes):
    models = (ModelPlan(MODEL, min_copies=2),)
    return small_fleet(engines=2, models=models, **changes)


def await_copies(fleet, number):
    def copies():
        servers = fleet.admin("GET", "fleet").json()["servers"]
        return sum(s["resident"].get(MODEL) == "loaded" for s in servers)

    fleet.wait_for(lambda: copies() >= number, f"{number} copies")


def runs_since(runs, moment_s):
    return [each for each in runs.charges() if each[0] > moment_s]


@pytest.mark.parametrize("notice", ["sigterm", "list", "both"])
def test_leaving_server_gets_no_new_work_and_ends_its_streams(notice):
    """Guards requirement 9 for each way in which a server learns that it leaves."""
    options = {"token_ms": 25, "slots": 32}
    with two_loaded_engines(engine_options=options, max_running=32) as fleet:
        await_copies(fleet, 2)
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()
        vm = fleet.vms["engine-1"]
        request = lambda n: complete(addresses[n % 2], key, 3, 2)  # noqa: E731
        with EngineRuns([vm.backend.address]) as runs:
            readers = [
                Reader(long_stream(addresses[n % 2], key, f"text {n}", 300))
                for n in range(8)
            ]
            with Traffic(request, per_s=20) as traffic:
                fleet.wait_for(lambda: all(r.tokens for r in readers), "streams")
                # The engine is polled every 0.25 s, which may not have happened yet.
                runs.read()
                assert runs_since(runs, 0), "the server has no work"
                if notice in ("list", "both"):
                    fleet.list_vm("engine-1", "leaving")
                if notice in ("sigterm", "both"):
                    vm.daemon.signal(SIGTERM)
                # The platform's list lags by half a second.
                limit_s = time.time() + WITHIN_S + 0.5 * (notice == "list")
                wait_until(fleet, time.monotonic() + WITHIN_S + 4)
            fleet.wait_for(lambda: all(r.ended_s for r in readers), "streams end")
            if notice != "list":
                assert vm.daemon.wait(10) == 0
        assert not runs_since(runs, limit_s)
        assert all(r.stream.done and r.tokens == 300 for r in readers), [
            (r.stream.error, r.tokens) for r in readers
        ]
        assert not traffic.failed(), traffic.failed()


def test_entry_leaves_behind_a_slow_balancer(tmp_path):
    """Guards requirement 9 at the entry: callers see no reset during the notice."""
    with small_fleet(notice_s=3.0, engine_options={"token_ms": 25}) as fleet:
        key = fleet.keys["tenants"]
        targets = ",".join(f"{address}=1" for address in fleet.entry_addresses())
        command = python_command(
            "standins.balancer", targets=targets, check_interval_ms=1000
        )
        log_path = fleet.folder / "logs" / "balancer.log"
        fleet.stand_ins["balancer"] = Process("balancer", command, log_path).start()
        address = fleet.stand_ins["balancer"].address
        readers = [
            Reader(long_stream(address, key, f"text {n}", 350)) for n in range(4)
        ]
        request = lambda n: complete(address, key, 3, 2)  # noqa: E731
        with Traffic(request, per_s=20) as traffic:
            fleet.wait_for(lambda: all(r.tokens for r in readers), "streams")
            fleet.vms["entry-1"].daemon.signal(SIGTERM)
            assert fleet.vms["entry-1"].daemon.wait(25) == 0
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 20, "traffic")
        fleet.wait_for(lambda: all(r.ended_s for r in readers), "streams end")
        assert all(r.stream.done and r.tokens == 350 for r in readers), [
            (r.stream.error, r.tokens) for r in readers
        ]
        assert not traffic.failed(), traffic.failed()


def test_rolling_restart_of_all_sidecars_fails_no_request(tmp_path):
    """Guards requirement 9 over a whole release: one sidecar after the other."""
    options = {"runs_file": tmp_path / "runs"}
    with two_loaded_engines(services=2, service_options=options) as fleet:
        await_copies(fleet, 2)
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()

        def request(number):
            address = addresses[number % 2]
            if number % 3:
                return complete(address, key, 3, 10)
            return call(address, "GET", "/services/casework/stock/bed", key=key)

        sidecars = [name for name, vm in fleet.vms.items() if vm.role == "sidecar"]
        with Traffic(request, per_s=10) as traffic:
            for name in sidecars:
                assert fleet.vms[name].daemon.stop() == 0
                fleet.start_daemon(name)
                fleet.wait_ready()
                if name.startswith("engine"):
                    await_copies(fleet, 2)
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 10, "traffic")
        print(traffic.statuses())
        assert not traffic.failed(), traffic.failed()


def test_list_alone_makes_an_entry_treat_a_server_as_leaving():
    """Guards against new work on a VM that the platform is about to take away."""
    with small_fleet(engines=0, models=(), services=2) as fleet:
        fleet.list_vm("casework-1", "leaving")
        for name in ("entry-1", "entry-2"):
            address = http_address(fleet, name)

            def state(address=address):
                servers = fleet.admin("GET", "fleet", address=address).json()["servers"]
                return {s["vm"]: s["state"] for s in servers}["casework-1"]

            fleet.wait_for(lambda s=state: s() == "leaving", name, WITHIN_S + 0.5)
