"""All entries are killed at once and start again; then servers shed some requests."""

from __future__ import annotations

import itertools
import os
import random
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.desk import (
    CUSTOMER,
    HOST,
    SERVER_PORT,
    DeskServer,
    Usage,
    desk_configuration,
)
from review.harness import (
    BOUNDS,
    Fleet,
    Program,
    Record,
    run_case,
    send,
    trouble_is_on,
)

ZONES = ("jyl-a", "jyl-b", "jyl-c", "jyl-d")
# Requests a second over all zones, each from a client of its own.
REQUESTS_PER_S = 20.0
RESTART_S = 1.0
# The servers shed this part of the requests, twice for this long.
SHED_FRACTION = 0.45
SHED_FOR_S = 6.5
KILL_AT_S = 3.0
SHED_AT_S = 6.0
END_S = SHED_AT_S + 2 * SHED_FOR_S
# A client whose connection is refused tries again, each time as a new attempt.
RECONNECT_S = 0.25
RECONNECTS = 5


@dataclass
class Arrivals:
    """Requests that clients sent, and their arrivals at the servers."""

    record: Record
    sent_s: dict[str, float] = field(default_factory=dict)
    arrived: list[tuple[float, str]] = field(default_factory=list)
    shedding: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)

    def holds(self) -> bool:
        """Return whether the retries stayed within their budget in all windows."""
        window_s = BOUNDS["budget_window_s"]
        seen: set[str] = set()
        repeats = []
        for arrived_s, attempt in sorted(self.arrived):
            if attempt in seen:
                repeats.append(arrived_s)
            seen.add(attempt)
        worst = (float("-inf"), 0, 0.0, 0.0)
        for start_s in repeats:
            count = sum(start_s <= at_s < start_s + window_s for at_s in repeats)
            starts = (start_s, start_s - window_s / 2, start_s - window_s)
            requests = max(
                sum(begin_s <= at_s < begin_s + window_s for at_s in self._sent())
                for begin_s in starts
            )
            ratio, slack = BOUNDS["budget_ratio"], BOUNDS["budget_slack"]
            allowed = ratio * requests + slack
            worst = max(worst, (count - allowed, count, allowed, start_s))
        excess, count, allowed, start_s = worst
        self.record.write(
            f"{count} repeated arrivals in {window_s} s from {start_s:.3f} s; "
            f"allowed {allowed:.1f}"
        )
        return excess <= 0

    def _sent(self):
        return self.sent_s.values()


@dataclass
class SheddingServer(DeskServer):
    """A server that may shed requests, and says so truly."""

    arrivals: Arrivals | None = None

    def on_request(self, handler, method: str, path: str, body: bytes):
        """Run a request, or shed it."""
        attempt = handler.headers.get("X-Attempt-Id", "")
        if path != "/health":
            with self.arrivals.lock:
                at_s = self.arrivals.record.write(f"{attempt} reaches {self.name}")
                self.arrivals.arrived.append((at_s, attempt))
        if self.arrivals.shedding and random.random() < SHED_FRACTION:
            self.arrivals.record.write(f"{attempt} is shed by {self.name}")
            echo = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            handler.reply(503, b"", echo)
            return
        super().on_request(handler, method, path, body)


def one_client(arrivals: Arrivals, entry: Program) -> None:
    """Send one request, again if its connection is refused."""
    headers = {"X-Credential": "key-a", "X-Deadline-Ms": "1500"}
    for _ in range(RECONNECTS):
        attempt = os.urandom(8).hex()
        arrivals.sent_s[attempt] = arrivals.record.now_s()
        answer = send(entry, attempt, HOST, "/reserve/7", headers)
        arrivals.record.write(f"{attempt} to {entry.name}: {answer.status}")
        if answer.status:
            return
        time.sleep(RECONNECT_S)


def play(record: Record) -> bool:
    """Kill all entries, let the servers shed, and count the repeated arrivals."""
    arrivals = Arrivals(record)
    usage = Usage(record)
    unlimited = CUSTOMER | {"rate_per_s": 0, "burst": 0}
    configuration = desk_configuration() | {"tenants": [unlimited]}
    with Fleet(record, configuration) as fleet:
        for number, zone in enumerate(ZONES):
            server = SheddingServer(
                ip=fleet.address(100 + number),
                port=SERVER_PORT,
                name=f"i-{number:06x}",
                zone=zone,
                usage=usage,
                born=int(time.time() * 1000),
                arrivals=arrivals,
            )
            server.start()
            fleet.register(server.name, server.entry)
        entries = [fleet.add_entry(11 + i, zone) for i, zone in enumerate(ZONES)]
        fleet.wait_until(lambda: all(each.is_ready() for each in entries), "ready")
        time.sleep(3.0)
        _play_day(record, arrivals, entries)
        return arrivals.holds()


def _play_day(record: Record, arrivals: Arrivals, entries: list[Program]) -> None:
    began_s = record.write("traffic starts")
    events = [(SHED_AT_S, "shed")]
    if trouble_is_on():
        events = [(KILL_AT_S, "kill"), (KILL_AT_S + RESTART_S, "restart"), *events]
    threads = []
    for number in itertools.count():
        now_s = record.now_s() - began_s
        while events and now_s >= events[0][0]:
            _apply(events.pop(0)[1], record, arrivals, entries)
        if now_s >= END_S:
            break
        entry = entries[number % len(entries)]
        thread = threading.Thread(target=one_client, args=(arrivals, entry))
        thread.start()
        threads.append(thread)
        next_s = began_s + (number + 1) / REQUESTS_PER_S
        time.sleep(max(0.0, next_s - record.now_s()))
    arrivals.shedding = False
    for thread in threads:
        thread.join(10)


def _apply(event: str, record: Record, arrivals: Arrivals, entries: list) -> None:
    record.write(event)
    if event == "shed":
        arrivals.shedding = True
    for entry in entries:
        if event == "kill":
            entry.kill()
        elif event == "restart":
            entry.restart()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
