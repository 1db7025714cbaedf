"""Relaying of streams through one entry: chunks a second, and gaps at 37 ms.

Run with ``python -m benchmarks.relay``. The engine is the stand-in; the baseline of the
added time is a direct call to it in the same run.
"""

from __future__ import annotations

import argparse
import selectors
import socket
import statistics
import threading
import time
from dataclasses import dataclass, field

import psutil

from fleet.client import call
from fleet.launcher import start_fleet
from fleet.plan import FleetPlan, ModelPlan

TARGET_CHUNKS_PER_S = 5_300
TARGET_GAP_MS = 45.0


@dataclass
class StreamReader:
    """Reads many streams in one thread and notes when each chunk arrived."""

    address: str
    key: str
    streams: int
    tokens: int
    chunk_times_s: list[list[float]] = field(default_factory=list)
    done: int = 0

    def run(self, model: str, bound_s: float) -> float:
        """Read all streams to their end; return the time taken in seconds."""
        selector = selectors.DefaultSelector()
        for number in range(self.streams):
            sock = self._open(model, number)
            self.chunk_times_s.append([])
            selector.register(sock, selectors.EVENT_READ, number)
        begin_s = time.monotonic()
        open_streams = self.streams
        while open_streams and time.monotonic() - begin_s < bound_s:
            for key, _ in selector.select(1.0):
                data = key.fileobj.recv(262144)
                now_s = time.monotonic()
                chunks = data.count(b"data: {")
                self.chunk_times_s[key.data].extend([now_s] * chunks)
                if b"[DONE]" in data or not data:
                    self.done += b"[DONE]" in data
                    selector.unregister(key.fileobj)
                    key.fileobj.close()
                    open_streams -= 1
        return time.monotonic() - begin_s

    def _open(self, model: str, number: int) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        body = (
            f'{{"model": "{model}", "prompt": "stream {number}", "stream": true, '
            f'"max_tokens": {self.tokens}, "min_tokens": {self.tokens}}}'
        )
        sock.sendall(
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {self.key}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        return sock

    def gaps_ms(self) -> list[float]:
        """Return the gaps between chunks of the same stream."""
        return [
            (later - earlier) * 1000
            for times in self.chunk_times_s
            for earlier, later in zip(times[1:], times[2:], strict=False)
        ]


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fleet_plan(token_ms: float, engines: int, slots: int) -> FleetPlan:
    """Return a plan with one entry and one model on every engine."""
    return FleetPlan(
        entries=1,
        engines=engines,
        services=0,
        models=(ModelPlan("m", 1_000_000_000, min_copies=engines),),
        adapters=(),
        engine_options={"token_ms": token_ms, "slots": slots, "load_ms": 10},
        max_running=slots,
    )


def wait_copies(fleet, copies: int) -> None:
    """Wait until the model is loaded on every engine."""

    def loaded() -> bool:
        servers = fleet.admin("GET", "fleet").json()["servers"]
        return sum(s["resident"].get("m") == "loaded" for s in servers) >= copies

    fleet.wait_for(loaded, f"{copies} copies loaded")


def raise_limits(fleet) -> str:
    """Create a customer without a practical limit and return its key."""
    value = {"rate_tokens_per_s": 1e8, "burst_tokens": 10**9}
    fleet.set_item("customers/bench", value)
    key = fleet.issue_key("bench")[1]
    address = fleet.entry_addresses()[0]
    fleet.wait_for(
        lambda: call(address, "GET", "/v1/models", key=key).status == 200, "key works"
    )
    # A new customer's share units arrive with the first collection.
    time.sleep(2.0)
    return key


def measure_throughput(engines: int, streams: int, tokens: int) -> None:
    """Print how many chunks a second one entry relays, and what each role spends."""
    with start_fleet(fleet_plan(1.0, engines, streams)) as fleet:
        wait_copies(fleet, engines)
        key = raise_limits(fleet)
        entry = psutil.Process(fleet.vms["entry-1"].daemon.pid)
        sidecars = [
            psutil.Process(fleet.vms[f"engine-{number + 1}"].daemon.pid)
            for number in range(engines)
        ]
        reader = StreamReader(fleet.entry_addresses()[0], key, streams, tokens)
        before_s, sidecars_s = _spent_s([entry]), _spent_s(sidecars)
        before_bytes = entry.memory_info().rss
        took_s = reader.run("m", bound_s=120)
        cpu_s = _spent_s([entry]) - before_s
        sidecars_s = _spent_s(sidecars) - sidecars_s
        added_bytes = entry.memory_info().rss - before_bytes
    chunks = sum(len(times) for times in reader.chunk_times_s)
    print(
        f"throughput: {chunks / took_s:,.0f} chunks/s through one entry "
        f"(target {TARGET_CHUNKS_PER_S:,}; ratio {chunks / took_s / 5300:.2f}); "
        f"{streams} streams of {tokens} tokens, {reader.done} complete, "
        f"{cpu_s / chunks * 1e6:.0f} us of processor time a chunk at the entry, "
        f"{sidecars_s / chunks * 1e6:.0f} us at the sidecars; a stream "
        f"{cpu_s / streams * 1e6:,.0f} and {sidecars_s / streams * 1e6:,.0f} us in "
        f"{chunks / streams:.0f} chunks; the entry's resident "
        f"memory grew by {added_bytes / streams / 1000:.1f} kB a stream"
    )


def _spent_s(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(each.user + each.system for each in times)


def _role_times_s(fleet) -> dict[str, float]:
    """Return the processor time of the entry and of the sidecars so far."""
    roles = {"entry": [], "sidecar": []}
    for vm in fleet.vms.values():
        roles[vm.role].append(psutil.Process(vm.daemon.pid))
    return {role: _spent_s(processes) for role, processes in roles.items()}


def _print_role_times(unit: str, units: int, before_s: dict, after_s: dict) -> None:
    spent = ", ".join(
        f"{(after_s[role] - before_s[role]) / units * 1e6:,.0f} us at the {role}"
        for role in after_s
    )
    print(f"processor time a {unit}: {spent}; idle time of the run included")


def measure_gaps(streams: int, tokens: int) -> None:
    """Print the gaps between chunks at 37 ms between tokens from the engine."""
    with start_fleet(fleet_plan(37.0, 2, streams)) as fleet:
        wait_copies(fleet, 2)
        key = raise_limits(fleet)
        reader = StreamReader(fleet.entry_addresses()[0], key, streams, tokens)
        before_s = _role_times_s(fleet)
        reader.run("m", bound_s=120)
        spent_s = _role_times_s(fleet)
        gaps_ms = reader.gaps_ms()
        engine = fleet.vms["engine-1"].backend.address
        direct = StreamReader(engine, "none", streams // 2, tokens)
        direct.run("m", bound_s=120)
        baseline_ms = direct.gaps_ms()
    chunks = sum(len(times) for times in reader.chunk_times_s)
    _print_role_times("chunk", chunks, before_s, spent_s)
    for name, values in (("through chervilgw", gaps_ms), ("direct", baseline_ms)):
        print(
            f"gaps {name}: p50 {statistics.median(values):.1f} ms, "
            f"p95 {quantile(values, 0.95):.1f} ms (target {TARGET_GAP_MS} ms), "
            f"p99 {quantile(values, 0.99):.1f} ms, {len(values)} gaps"
        )


def measure_added_time(calls: int, rate_per_s: float) -> None:
    """Print the added time of a short plain call against a direct one."""
    plan = FleetPlan(entries=1, engines=0, services=1, models=(), adapters=())
    with start_fleet(plan) as fleet:
        key = raise_limits(fleet)
        entry = fleet.entry_addresses()[0]
        service = fleet.vms["casework-1"].backend.address
        before_s = _role_times_s(fleet)
        through = _timed_calls(
            entry, "/services/casework/stock/x", key, calls, rate_per_s
        )
        spent_s = _role_times_s(fleet)
        direct = _timed_calls(service, "/stock/x", None, calls, rate_per_s)
    _print_role_times("call", calls, before_s, spent_s)
    added_ms = [
        (quantile(through, share) - quantile(direct, share)) * 1000
        for share in (0.5, 0.95)
    ]
    print(
        f"added time at {rate_per_s:.0f} calls/s: p50 {added_ms[0]:.2f} ms, "
        f"p95 {added_ms[1]:.2f} ms (target 5 ms); direct p95 "
        f"{quantile(direct, 0.95) * 1000:.2f} ms, {calls} calls"
    )


def _timed_calls(address, path, key, calls, rate_per_s) -> list[float]:
    times_s: list[float] = []
    lock = threading.Lock()

    def one(due_s: float) -> None:
        time.sleep(max(0.0, due_s - time.monotonic()))
        begin_s = time.monotonic()
        answer = call(address, "GET", path, key=key)
        with lock:
            times_s.append(time.monotonic() - begin_s)
        if answer.status != 200:
            raise RuntimeError(f"{path}: {answer.status}")

    begin_s = time.monotonic() + 0.2

    def worker(first: int) -> None:
        for number in range(first, calls, 8):
            one(begin_s + number / rate_per_s)

    workers = [threading.Thread(target=worker, args=(n,)) for n in range(8)]
    for thread in workers:
        thread.start()
    for thread in workers:
        thread.join()
    return times_s


def measure_idle(seconds: float) -> None:
    """Print processor time and memory of each role without requests."""
    with start_fleet() as fleet:
        fleet.wait_loaded()
        processes = {
            name: psutil.Process(vm.daemon.pid) for name, vm in fleet.vms.items()
        }
        before = {name: process.cpu_times() for name, process in processes.items()}
        time.sleep(seconds)
        for name, process in processes.items():
            now, then = process.cpu_times(), before[name]
            share = (now.user + now.system - then.user - then.system) / seconds
            memory = process.memory_info().rss / 1e6
            print(f"idle {name}: {share:.2%} of a core, {memory:.0f} MB resident")


def main() -> None:
    """Run all parts, or those that are named."""
    parts = {
        "throughput": lambda: measure_throughput(4, 100, 400),
        "requests": lambda: measure_throughput(4, 400, 1),
        "gaps": lambda: measure_gaps(100, 200),
        "added": lambda: measure_added_time(1000, 100.0),
        "idle": lambda: measure_idle(10.0),
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[[], *parts], default=[])
    for name in parser.parse_args().parts or parts:
        parts[name]()


if __name__ == "__main__":
    main()
