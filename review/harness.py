"""Starts entries and agents as the deploy file does, on loopback addresses.

Each process gets a loopback address of its own, as each machine of a deployment has its
own address and all use the same ports. The store is the project's stand-in.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.opaque_platform import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
START_S = 20.0
ENTRY_METRICS_PORT = 9464
AGENT_METRICS_PORT = 9465
FRONT_PORT, READY_PORT, PEER_PORT = 8221, 8224, 7600

# Bounds of the sheet of the site ``laeder-aarhus``.
BOUNDS = {
    "touch_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_deadline_ms": 2000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "quota_window_s": 8,
    "quota_over": 0.1,
    "quota_slack": 11000,
    "lease_ms": 3000,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def trouble_is_on() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happened, with the seconds since the start, to ``record.txt``."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now_s = self.now_s()
        with self._lock:
            self._file.write(f"{now_s:8.3f}  {text}\n")
            self._file.flush()
        return now_s


def _choose_network() -> str:
    """Return the first three bytes of loopback addresses on which no one listens."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in (ENTRY_METRICS_PORT, AGENT_METRICS_PORT, FRONT_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")


@dataclass
class Program:
    """One process of the system."""

    name: str
    ip: str
    command: list[str]
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the platform does."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {"LANG": "C.UTF-8", "CHERVILGW_BOOT": str(self.settings)}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def restart(self) -> None:
        """Start the process again; the system as a whole has started before."""
        text = self.settings.read_text().replace("bootstrap=true", "bootstrap=false")
        self.settings.write_text(text)
        self.start()

    def kill(self) -> None:
        """End the process without notice."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def is_ready(self) -> bool:
        """Return what the platform's check of readiness would see."""
        try:
            connection = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1.0)
            connection.request("GET", "/ready")
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return False
        return status == 200


@dataclass
class Fleet:
    """Store, processes of the system and servers of one case."""

    record: Record
    configuration: dict[str, Any]
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    programs: list[Program] = field(default_factory=list)
    _alive: dict[str, Any] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Fleet:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of deploy/")
        self.network = _choose_network()
        self.store = StoreStandIn(ip=f"{self.network}.250")
        self.store.start()
        self.store.put("keyed.op", "config", self.configuration)
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        for program in self.programs:
            program.kill()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def address(self, number: int) -> str:
        """Return the loopback address of a machine."""
        return f"{self.network}.{number}"

    def register(self, name: str, entry) -> None:
        """Write a server's entry now and at each heartbeat; ``entry`` returns it."""
        with self._lock:
            self._alive[name] = entry
        self.store.put("keyed.servers", name, entry())

    def fall_silent(self, name: str) -> None:
        """Stop the heartbeats of a server that crashed; its entry lapses later."""
        with self._lock:
            self._alive.pop(name, None)
        lapse_s = MISSED_HEARTBEATS * HEARTBEAT_S
        timer = threading.Timer(lapse_s, self._lapse, [name])
        timer.daemon = True
        timer.start()

    def _lapse(self, name: str) -> None:
        with self._lock:
            is_back = name in self._alive
        if not is_back:
            self.store.put("keyed.servers", name, None)

    def _beat(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            with self._lock:
                alive = dict(self._alive)
            for name, entry in alive.items():
                self.store.put("keyed.servers", name, entry())

    def add_entry(self, number: int, zone: str) -> Program:
        """Start an entry."""
        ip = self.address(number)
        fields = {
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "listen.front": f"{ip}:{FRONT_PORT}",
            "listen.ready": f"{ip}:{READY_PORT}",
            "limits.max_fds": 4100,
        }
        return self._start(f"front-{zone}-1", ip, zone, ENTRY_METRICS_PORT, fields)

    def add_agent(self, number: int, zone: str, app: str, service: str) -> Program:
        """Start the agent beside an engine."""
        fields = {
            "role": "agent",
            "machine_class": "side",
            "app": app,
            "service": service,
            "limits.max_fds": 4096,
        }
        name = f"side-{zone}-{number}"
        return self._start(name, self.address(number), zone, AGENT_METRICS_PORT, fields)

    def _start(
        self, name: str, ip: str, zone: str, metrics_port: int, fields: dict[str, Any]
    ) -> Program:
        fields = {
            "node_name": name,
            "ip": ip,
            "zone": zone,
            "region": "dk-jylland",
            "internal_ports": f"{PEER_PORT},{PEER_PORT + 15}",
            "bootstrap": "true",
            "loss_counted": "false",
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
            "platform.address": self.store.address,
            "platform.form": "log",
            "platform.record_bytes": 262144,
            **{f"bounds.{bound}": value for bound, value in BOUNDS.items()},
            **fields,
        }
        settings = self.folder / f"{name}.conf"
        settings.write_text("".join(f"{key}={fields[key]}\n" for key in fields))
        command = [sys.executable, "-m", "chervilgw.daemon", "--deployed"]
        command.append(f"--metrics-port={metrics_port}")
        program = Program(name, ip, command, settings, self.folder / f"{name}.log")
        program.start()
        self.programs.append(program)
        return program

    def wait_until(self, condition, what: str, within_s: float = START_S) -> None:
        """Wait until a condition holds.

        Raises
        ------
        CannotRun
            If it does not hold in time.
        """
        until_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > until_s:
                raise CannotRun(f"not within {within_s} s: {what}")
            time.sleep(0.05)

    def logs(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")


@dataclass(frozen=True)
class Answer:
    """What a client saw: a status of 0 stands for a connection that was closed."""

    status: int
    retry_after: str | None
    body: bytes


def send(
    entry: Program,
    attempt: str,
    host: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Send one client attempt on a connection of its own, and wait for its end."""
    connection = http.client.HTTPConnection(entry.ip, FRONT_PORT, timeout=timeout_s)
    headers = {"Host": host, "X-Attempt-Id": attempt, **headers}
    try:
        connection.request("POST", path, body=body, headers=headers)
        answer = connection.getresponse()
        content = answer.read()
        return Answer(answer.status, answer.headers.get("Retry-After"), content)
    except (OSError, http.client.HTTPException):
        return Answer(0, None, b"")
    finally:
        connection.close()


def run_case(folder: Path, play) -> int:
    """Play a case; return 1 if its rule was broken, 0 if it held, 2 if it cannot run.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Gets the record; returns whether the rule held.
    """
    record = Record(folder)
    record.write(f"TROUBLE={int(trouble_is_on())}")
    try:
        held = play(record)
    except Exception as error:  # An error of the case says nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        return 2
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    print(json.dumps({"folder": folder.name, "held": held}))
    return 0 if held else 1
