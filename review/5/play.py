"""A request that crashes its servers comes again while servers shed some requests."""

from __future__ import annotations

import base64
import itertools
import json
import os
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness import (
    BOUNDS,
    Fleet,
    Record,
    run_case,
    send,
    trouble_is_on,
)
from standins.opaque_platform import StandIn

SERVERS = 8
ZONES = ("jyl-a", "jyl-b")
SERVER_PORT = 8308
# How long a server is down after a crash; the pages say "some seconds".
DOWN_S = 2.0
# Share and length of the disruption: a third of the requests is shed, for 6.5 s.
SHED_EACH = 3
SHED_FOR_S = 6.5
PAUSE_S = 0.5
PLAY_S = 11.0
# The rule: more than three retries later than touch_ms after the third crash.
MAX_LATE_RETRIES = 3
CRASHES = 3

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-reserve",
            "hostname": "desk.example",
            "path_prefix": "/reserve/",
            "route_kind": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 100,
            "priority": 2,
            "service": "booking",
            "max_attempts": 1,
        }
    ],
    "services": [{"name": "booking", "health_path": "/health", "max_connections": 96}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["key-a"],
            "unit": "token_rate",
            "rate_per_s": 100000,
            "burst": 100000,
            "plain_tokens": 200,
        }
    ],
}


@dataclass
class Servers:
    """What the servers of the service have in common."""

    fleet: Fleet
    record: Record
    shedding: bool = False
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    _reached: itertools.count = field(default_factory=itertools.count)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _incarnations: itertools.count = field(default_factory=itertools.count)

    def sheds(self) -> bool:
        """Return whether the request that has just arrived is shed."""
        with self._lock:
            number = next(self._reached)
        return self.shedding and number % SHED_EACH == SHED_EACH - 1

    def start(self, number: int) -> None:
        """Start a new incarnation of a server."""
        name = f"i-{next(self._incarnations):04x}{number}"
        server = BookingServer(
            ip=self.fleet.address(100 + number),
            port=SERVER_PORT,
            name=name,
            zone=ZONES[number % len(ZONES)],
            number=number,
            shared=self,
            born=int(time.time() * 1000),
        )
        server.start()
        self.fleet.register(name, server.entry)
        self.record.write(f"server {name} starts at {server.address}")


@dataclass
class BookingServer(StandIn):
    """A server that crashes when it begins to run the poisonous request."""

    name: str = ""
    zone: str = ""
    number: int = 0
    shared: Servers | None = None
    born: int = 0
    down: bool = False

    def entry(self) -> dict:
        """Return what the server says of itself in the list."""
        return {
            "service": "booking",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "sequence": 0,
        }

    def on_request(self, handler, method: str, path: str, body: bytes):
        """Answer a request, shed it, or crash."""
        attempt = handler.headers.get("X-Attempt-Id", "")
        echo = {"X-Attempt-Id": attempt}
        if path == "/health":
            handler.reply(200, b"", {"X-Instance-Id": self.name})
            return
        if handler.headers.get("X-Expect-Instance") not in (None, self.name):
            handler.reply(421, b"", echo | {"X-Not-Executed": "1"})
            return
        record = self.shared.record
        if body != b"poison":
            seal = {"X-Server-Seal": f"{self.name}.1"}
            handler.reply(200, b"booked", echo | seal)
            return
        self.shared.arrivals.append((record.now_s(), attempt))
        if self.shared.sheds():
            record.write(f"{attempt} reaches {self.name}: 503 with X-Not-Executed")
            handler.reply(503, b"", echo | {"X-Not-Executed": "1"})
            return
        record.write(f"{attempt} reaches {self.name}: runs, and crashes it")
        self.shared.crashes.append(record.now_s())
        handler.drop()
        self._crash()

    def _crash(self):
        if self.down:
            return
        self.down = True
        self.shared.fleet.fall_silent(self.name)
        threading.Thread(target=self._restart_later, daemon=True).start()

    def _restart_later(self):
        self.stop()
        time.sleep(DOWN_S)
        self.shared.start(self.number)


def play(record: Record) -> bool:
    """Send the poisonous request again and again; return whether the rule held."""
    with Fleet(record, CONFIGURATION) as fleet:
        servers = Servers(fleet, record)
        for number in range(SERVERS):
            servers.start(number)
        entries = [fleet.add_entry(11 + i, zone) for i, zone in enumerate(ZONES)]
        fleet.wait_until(lambda: all(each.is_ready() for each in entries), "ready")
        entry = entries[0]
        fleet.wait_until(
            lambda: fleet.logs(entry.name).count('"server_changed"') >= SERVERS,
            "the servers are known",
        )
        time.sleep(1.0)
        _send(record, entry, b"harmless")
        servers.shedding = trouble_is_on()
        began_s = record.write("the poisonous request comes for the first time")
        while record.now_s() - began_s < PLAY_S:
            if servers.shedding and record.now_s() - began_s >= SHED_FOR_S:
                servers.shedding = False
                record.write("the servers shed no more")
            _send(record, entry, b"poison")
            time.sleep(PAUSE_S)
        return _judge(record, servers)


def _send(record: Record, entry, body: bytes) -> None:
    attempt = os.urandom(8).hex()
    headers = {"X-Credential": "key-a", "X-Deadline-Ms": "1500"}
    answer = send(entry, attempt, "desk.example", "/reserve/7", headers, body)
    text = base64.b64encode(answer.body).decode() if answer.status == 200 else ""
    reason = json.loads(answer.body)["error"] if answer.status >= 400 else text
    record.write(f"{attempt} ({body.decode()}) is answered {answer.status} {reason}")


def _judge(record: Record, servers: Servers) -> bool:
    record.write(f"crashes: {len(servers.crashes)}")
    if len(servers.crashes) < CRASHES:
        return True
    from_s = servers.crashes[CRASHES - 1] + BOUNDS["touch_ms"] / 1000
    late = {attempt for arrived_s, attempt in servers.arrivals if arrived_s > from_s}
    record.write(
        f"{len(late)} retries reached servers later than touch_ms after the third "
        f"crash (after {from_s:.3f} s); allowed {MAX_LATE_RETRIES}"
    )
    return len(late) <= MAX_LATE_RETRIES


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
