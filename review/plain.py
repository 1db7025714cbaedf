"""A plain service, for the scripts of the cases 6 to 10."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import fakes

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-book",
            "hostname": "desk.example",
            "path_prefix": "/book/",
            "route_kind": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "desk",
            "max_attempts": 1,
            "allow_anonymous": True,
            "resumable": False,
        }
    ],
    "services": [{"name": "desk", "health_path": "/health", "max_connections": 96}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": ["key-a"], "unit": "token_rate"}],
}


@dataclass
class Desk(fakes.HttpStandIn):
    """A backend server of a plain service.

    It works ``work_s`` on a request, between two bounds, and refuses a fraction of them
    as shed. ``arrivals`` holds the time of each arrival by the id of the request.
    """

    name: str = ""
    service: str = "desk"
    work_s: tuple[float, float] = (0.01, 0.03)
    shed: float = 0.0
    record: fakes.Record | None = None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ran: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)

    def entry(self) -> dict:
        """Return what the server writes into the list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "sequence": 0,
        }

    async def serve(self, request, reader, writer) -> bool:
        """Run a request, or refuse it."""
        attempt = request.headers["x-attempt-id"]
        headers = {"X-Attempt-Id": attempt}
        self.arrivals.append((time.monotonic(), attempt))
        if random.random() < self.shed:
            self.record.write(f"server {self.name} sheds {attempt}")
            headers["X-Not-Executed"] = "1"
            writer.write(fakes.encode_answer(503, b"", headers))
            return True
        work_s = random.uniform(*self.work_s)
        self.ran.add(attempt)
        self.record.write(f"server {self.name} runs {attempt} for {work_s:.3f} s")
        await asyncio.sleep(work_s)
        headers["X-Server-Seal"] = f"{self.name}.{attempt}"
        writer.write(fakes.encode_answer(200, b"booked " + attempt.encode(), headers))
        return True
