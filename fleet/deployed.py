"""A fleet on the platform's stand-ins: entries and agents as processes of their own."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from fleet.process import free_port
from standins.opaque_platform import ServerStandIn, StoreStandIn

START_S = 20.0
"""Generous bound for a Python process to start on a busy machine."""

CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r-desk",
            "hostname": "desk.example",
            "path_prefix": "/reserve/",
            "route_kind": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 125,
            "priority": 2,
            "service": "desk",
            "max_attempts": 2,
        },
        {
            "name": "r-stock",
            "hostname": "desk.example",
            "path_prefix": "/stock/",
            "route_kind": "idempotent",
            "timeout_ms": 5000,
            "target_latency_ms": 125,
            "priority": 2,
            "service": "desk",
            "max_attempts": 3,
        },
        {
            "name": "r-draft",
            "hostname": "desk.example",
            "path_prefix": "/draft/",
            "route_kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": "llm",
            "max_attempts": 2,
            "resumable": True,
            "gap_aim_ms": 300,
        },
    ],
    "services": [
        {"name": "desk", "health_path": "/health", "max_connections": 100},
        {
            "name": "llm",
            "health_path": "/health",
            "max_connections": 360,
            "engine": {
                "slots": 64,
                "kv_tokens": 100000,
                "weights_mb": 200.0,
                "adapter_slots": 4,
                "loads_per_s": 2.0,
                "models": [
                    {
                        "name": name,
                        "weights_mb": 60.0,
                        "load_time_s": 1.0,
                        "adapters": 3,
                        "adapter_mb": 1.0,
                    }
                    for name in ("m1", "m2")
                ],
            },
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "acme", "api_keys": ["key-a"], "unit": "token_rate"},
        {
            "name": "small",
            "api_keys": ["key-s"],
            "unit": "token_rate",
            "plain_tokens": 200,
            "rate_per_s": 50,
            "burst": 200,
        },
    ],
}


@dataclass
class Program:
    """One process of the system, started as the platform starts it."""

    fields: dict[str, str]
    folder: Path
    process: subprocess.Popen | None = None

    def write_settings(self) -> Path:
        """Write the settings file, and return where it is."""
        path = self.folder / f"{self.fields['node_name']}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in self.fields.items()))
        return path

    def start(self) -> None:
        """Write the settings file and start the process."""
        path = self.write_settings()
        self.log = open(self.folder / f"{self.fields['node_name']}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chervilgw.daemon", "--deployed"],
            env={**os.environ, "CHERVILGW_BOOT": str(path)},
            stdout=self.log,
            stderr=self.log,
        )

    def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(30)

    def kill(self) -> None:
        """End the process without notice."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(30)
        self.log.close()

    def log_text(self) -> str:
        """Return what the process has written so far."""
        name = f"{self.fields['node_name']}.log"
        return (self.folder / name).read_text(errors="replace")


@dataclass
class DeployedFleet:
    """Store, backend servers, entries and agents of one test."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    store: StoreStandIn = field(default_factory=StoreStandIn)
    servers: list[ServerStandIn] = field(default_factory=list)
    programs: list[Program] = field(default_factory=list)
    configuration: dict[str, Any] = field(default_factory=lambda: dict(CONFIGURATION))

    def __enter__(self) -> DeployedFleet:
        self.store.start()
        self.store.put("keyed.op", "config", self.configuration)
        self.peer_port = free_port("127.0.0.1", socket.SOCK_DGRAM)
        return self

    def __exit__(self, *error: object) -> None:
        for program in self.programs:
            program.kill()
        for stand_in in (*self.servers, self.store):
            stand_in.stop()

    def add_server(self, **options: Any) -> ServerStandIn:
        """Start a backend server and register it."""
        server = ServerStandIn(**options)
        server.start()
        self.servers.append(server)
        self.register(server)
        return server

    def register(self, server: ServerStandIn, state: str = "ready") -> None:
        """Let a server write its entry."""
        self.store.put("keyed.servers", server.name, server.entry(state))

    def add_entry(
        self, ip: str = "127.0.0.1", settings: dict[str, str] | None = None
    ) -> Entry:
        """Start an entry with further settings and wait until it is ready."""
        front, ready = free_port(ip), free_port(ip)
        program = self._start(
            f"front-{len(self.programs)}",
            ip,
            {"listen.front": f"{ip}:{front}", "listen.ready": f"{ip}:{ready}"}
            | (settings or {}),
        )
        entry = Entry(program, f"http://{ip}:{front}", f"http://{ip}:{ready}/ready")
        wait_for(entry.is_ready, "the entry is ready")
        return entry

    def add_agent(self, server: ServerStandIn) -> Program:
        """Start the agent beside an engine."""
        fields = {"app": server.address, "service": server.service}
        return self._start(f"side-{len(self.programs)}", server.ip, fields)

    def _start(self, name: str, ip: str, fields: dict[str, str]) -> Program:
        common = {
            "node_name": name,
            "ip": ip,
            "zone": "a",
            "internal_ports": f"{self.peer_port},{self.peer_port + 1}",
            "platform.address": self.store.address,
            "bounds.grace_s": "8",
            "bootstrap": "true",
        }
        program = Program(common | fields, self.folder)
        program.start()
        self.programs.append(program)
        return program


@dataclass
class Entry:
    """A running entry and where it is reached."""

    program: Program
    url: str
    ready_url: str

    def is_ready(self) -> bool:
        """Return what the balancer would see."""
        try:
            return httpx.get(self.ready_url, timeout=2.0).status_code == 200
        except httpx.HTTPError:
            return False

    def send(self, path: str, key: str = "key-a", **options: Any) -> httpx.Response:
        """Send a request as a caller."""
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": os.urandom(8).hex(),
            "X-Credential": key,
            "X-Deadline-Ms": "8000",
        } | options.pop("headers", {})
        method = options.pop("method", "POST")
        return httpx.request(
            method, self.url + path, headers=headers, timeout=20.0, **options
        )


def wait_for(condition, what: str, within_s: float = START_S) -> None:
    """Wait until a condition holds; raise `TimeoutError` if it does not in time."""
    until_s = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until_s:
            raise TimeoutError(f"not within {within_s} s: {what}")
        time.sleep(0.02)
