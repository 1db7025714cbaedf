"""A plain service whose servers record what they run, and the check of a quota.

Requests without token counts are charged ``plain_tokens`` of the customer.
"""

from __future__ import annotations

import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from review.harness import BOUNDS, Fleet, Program, Record, send
from standins.opaque_platform import StandIn

HOST = "desk.example"
SERVER_PORT = 8308
REQUEST_TOKENS = 1000
RATE_PER_S = 5000
BURST = 10_000
SENDERS = 8

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
CUSTOMER = {
    "name": "acme",
    "api_keys": ["key-a"],
    "unit": "token_rate",
    "rate_per_s": RATE_PER_S,
    "burst": BURST,
    "plain_tokens": REQUEST_TOKENS,
}
DESK_ROUTE = {
    "name": "r-reserve",
    "hostname": HOST,
    "path_prefix": "/reserve/",
    "route_kind": "non_idempotent",
    "timeout_ms": 1500,
    "target_latency_ms": 125,
    "priority": 2,
    "service": "booking",
    "max_attempts": 1,
}
DESK_SERVICE = {"name": "booking", "health_path": "/health", "max_connections": 96}


def desk_configuration() -> dict[str, Any]:
    """Return a configuration with one service, one route and one customer."""
    return {
        "version": 3,
        "routes": [DESK_ROUTE],
        "services": [DESK_SERVICE],
        "limits": LIMITS,
        "tenants": [CUSTOMER],
    }


@dataclass
class Usage:
    """Requests of the customer that were sent, and those that servers ran."""

    record: Record
    sent_s: dict[str, float] = field(default_factory=dict)
    ran_s: dict[str, float] = field(default_factory=dict)

    def send(self, entry: Program, path: str, headers: dict[str, str]) -> int:
        """Send one request; return the status of its answer."""
        attempt = os.urandom(8).hex()
        headers = {"X-Credential": "key-a", **headers}
        self.sent_s[attempt] = self.record.now_s()
        answer = send(entry, attempt, HOST, path, headers)
        self.record.write(f"{attempt} to {entry.name} is answered {answer.status}")
        return answer.status

    def on_run(self, attempt: str, server: str) -> None:
        """Record that a server begins to run a request."""
        self.ran_s[attempt] = self.record.write(f"{attempt} runs at {server}")

    def holds(self) -> bool:
        """Return whether the customer stayed within its quota in all windows."""
        window_s = BOUNDS["quota_window_s"]
        limit = RATE_PER_S * window_s + BURST
        allowed = limit * (1 + BOUNDS["quota_over"]) + BOUNDS["quota_slack"]
        spans = [(self.sent_s[name], ran_s) for name, ran_s in self.ran_s.items()]
        most, at_s = 0, 0.0
        for start_s, _ in spans:
            count = sum(
                start_s <= sent_s and ran_s <= start_s + window_s
                for sent_s, ran_s in spans
            )
            if count * REQUEST_TOKENS > most:
                most, at_s = count * REQUEST_TOKENS, start_s
        self.record.write(
            f"{most} tokens were sent and run in {window_s} s from {at_s:.3f} s; "
            f"limit {limit}, allowed {allowed:.0f}"
        )
        return most <= allowed


@dataclass
class DeskServer(StandIn):
    """A sound server of the plain service."""

    name: str = ""
    zone: str = ""
    usage: Usage | None = None
    born: int = 0

    def entry(self) -> dict[str, Any]:
        """Return what the server says of itself in the list."""
        return {
            "service": DESK_SERVICE["name"],
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
        """Run a request."""
        attempt = handler.headers.get("X-Attempt-Id", "")
        echo = {"X-Attempt-Id": attempt}
        if path == "/health":
            handler.reply(200, b"", {"X-Instance-Id": self.name})
        elif handler.headers.get("X-Expect-Instance") not in (None, self.name):
            handler.reply(421, b"", echo | {"X-Not-Executed": "1"})
        else:
            self.usage.on_run(attempt, self.name)
            time.sleep(0.015)
            handler.reply(200, b"booked", echo | {"X-Server-Seal": f"{self.name}.1"})


def start_desk(fleet: Fleet, usage: Usage, zones: tuple[str, ...]) -> list[Program]:
    """Start two servers and one entry a zone; return the entries once they serve."""
    for number in range(2 * len(zones)):
        zone = zones[number % len(zones)]
        server = DeskServer(
            ip=fleet.address(100 + number),
            port=SERVER_PORT,
            name=f"i-{number:06x}",
            zone=zone,
            usage=usage,
            born=int(time.time() * 1000),
        )
        server.start()
        fleet.register(server.name, server.entry)
    entries = [fleet.add_entry(11 + i, zone) for i, zone in enumerate(zones)]
    for entry in entries:
        await_entry(fleet, entry, 2 * len(zones))
    # Reports between the entries come five times a second.
    time.sleep(1.0)
    return entries


def await_entry(fleet: Fleet, entry: Program, servers: int) -> None:
    """Wait until an entry is ready and knows the servers."""
    known = fleet.logs(entry.name).count('"server_changed"')
    known -= known % servers
    fleet.wait_until(entry.is_ready, f"{entry.name} is ready")
    fleet.wait_until(
        lambda: fleet.logs(entry.name).count('"server_changed"') >= max(known, servers),
        f"{entry.name} knows the servers",
    )


def spend(usage: Usage, entry: Program, requests: int) -> int:
    """Send requests as fast as they are answered; return how many were served."""
    headers = {"X-Deadline-Ms": "1500"}
    with ThreadPoolExecutor(SENDERS) as pool:
        statuses = list(
            pool.map(
                lambda _: usage.send(entry, "/reserve/7", headers), range(requests)
            )
        )
    return statuses.count(200)


def press(usage: Usage, entry: Program, until_s: float, per_s: float) -> None:
    """Send requests at a steady pace until a time of the record."""
    headers = {"X-Deadline-Ms": "1500"}
    while usage.record.now_s() < until_s:
        args = (entry, "/reserve/7", headers)
        threading.Thread(target=usage.send, args=args, daemon=True).start()
        time.sleep(1.0 / per_s)
    time.sleep(1.6)
