"""Stand-ins of the platform and a launcher, for the scripts of the cases 6 to 10.

The store, the backend servers and the callers run as tasks of the script's process and
follow the users' pages. The programs of the system run as processes of their own, with
the commands of the deploy file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The commands of the deploy file name the ports of the metrics, so that each run has
# addresses of its own.
NETWORK = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 421: "Misdirected Request"}
# Figures of the settings and the configuration of the small site laeder-aarhus.
BOUNDS = {
    "touch_ms": "3000",
    "drain_ms": "2000",
    "grace_s": "8",
    "config_deadline_ms": "2000",
    "budget_ratio": "0.2",
    "budget_window_s": "10",
    "budget_slack": "52",
    "quota_window_s": "8",
    "quota_over": "0.1",
    "quota_slack": "11000",
    "ceiling_window_s": "5",
    "ceiling_over": "1.1",
}

# Longest time for which the site's engines spoil answers, and a pause before the next.
GARBLE_S = 5.0
GARBLE_PAUSE_S = 3.0


class Record:
    """Record of what was sent, answered and run; one line an event."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, *words: Any) -> None:
        """Write a line with the time since the start."""
        since_s = time.monotonic() - self._start_s
        text = " ".join(str(word) for word in words)
        self._file.write(f"{since_s:9.3f} {text}\n")
        self._file.flush()


@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raise `EOFError` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection; raise `EOFError` at its end."""
    line, headers = await read_head(reader)
    method, path, _ = line.split(" ", 2)
    body = b""
    if int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, path, headers, body)


def encode_answer(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass
class HttpStandIn:
    """HTTP server; subclasses define ``serve``, which writes one answer."""

    ip: str
    port: int = 0

    async def start(self) -> None:
        """Listen; ``address`` is then set."""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(
            self._on_connection, self.ip, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.serve(request, reader, writer):
                    break
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request: Request, reader, writer) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError

    def stop(self) -> None:
        """Close the listening socket and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


@dataclass
class Store(HttpStandIn):
    """The platform's store: topics with one partition, and listings of keyed ones."""

    answer_s: float = 0.004
    topics: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record as the operator or a backend server does; None removes."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))

    async def serve(self, request: Request, reader, writer) -> bool:
        """Serve an append, a read or a listing."""
        await asyncio.sleep(self.answer_s)
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        records = self.topics.setdefault(query["topic"], [])
        if parts.path == "/log-append":
            body = self._append(query["topic"], records, request.body)
        elif parts.path == "/log-newest":
            body = self._newest(records)
        else:
            body = await self._read(records, query)
        writer.write(encode_answer(200, body, {}))
        await writer.drain()
        return True

    def _append(self, topic: str, records: list, body: bytes) -> bytes:
        offset, content = len(records), body[4:]
        key = ""
        if topic.startswith("keyed."):
            end = 1 + content[0]
            key, content = content[1:end].decode(), content[end:]
        records.append((key, content))
        return json.dumps({"offset": offset, "end": offset + 1}).encode()

    def _newest(self, records: list) -> bytes:
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        answer = {"items": items, "truncated": False, "end": len(records)}
        return json.dumps(answer).encode()

    async def _read(self, records: list, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(records) <= start and time.monotonic() < until_s:
            await asyncio.sleep(0.005)
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return body


@dataclass
class Program:
    """One process of the system, with the command of a role of the deploy file."""

    role: str
    fields: dict[str, str]
    folder: Path
    process: subprocess.Popen | None = None

    def start(self, first: bool = True) -> None:
        """Write the settings file and start the process at the repository's root."""
        self.fields["bootstrap"] = str(first).lower()
        path = self.folder / f"{self.fields['node_name']}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in self.fields.items()))
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        log = (self.folder / f"{self.fields['node_name']}.log").open("ab")
        self.process = subprocess.Popen(
            roles[self.role]["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
                "PYTHONDONTWRITEBYTECODE": "1",
                "CHERVILGW_BOOT": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self) -> None:
        """End the process without notice."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)


class Fleet:
    """Store, backend servers and processes of one case; all end with the context."""

    def __init__(self, configuration: dict[str, Any]):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.configuration = configuration
        self.store = Store(ip(1))
        self.programs: list[Program] = []
        self.servers: list[Any] = []
        self._heartbeats: list[asyncio.Task] = []
        self.peer_port = free_port(ip(1), socket.SOCK_DGRAM)

    async def __aenter__(self) -> Fleet:
        await self.store.start()
        self.store.put("keyed.op", "config", self.configuration)
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._heartbeats:
            task.cancel()
        for program in self.programs:
            program.kill()
        for server in (*self.servers, self.store):
            server.stop()

    async def add_server(self, server) -> None:
        """Start a backend server, and write its entry in the list at each change."""
        await server.start()
        self.servers.append(server)
        self.store.put("keyed.servers", server.name, server.entry())
        self._heartbeats.append(asyncio.create_task(self._beat(server)))

    async def _beat(self, server):
        known = server.entry()
        while True:
            await asyncio.sleep(1.2)
            entry = server.entry()
            if entry != known:
                known = entry
                self.store.put("keyed.servers", server.name, entry)

    def add_entry(self, ip: str, zone: str) -> Program:
        """Start an entry; its addresses are ``front`` and ``ready``."""
        front, ready = free_port(ip), free_port(ip)
        listen = {"listen.front": f"{ip}:{front}", "listen.ready": f"{ip}:{ready}"}
        return self._add("entry", f"front-{zone}-1", ip, zone, listen)

    def add_agent(self, server, zone: str) -> Program:
        """Start the agent beside an engine."""
        fields = {"app": server.address, "service": server.service}
        return self._add("agent", f"side-{server.name}", server.ip, zone, fields)

    def _add(self, role, name, ip, zone, more) -> Program:
        fields = {
            "node_name": name,
            "role": role,
            "ip": ip,
            "zone": zone,
            "region": "r",
            "internal_ports": f"{self.peer_port},{self.peer_port + 15}",
            "heartbeat_ms": "1200",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "platform.address": self.store.address,
            "platform.form": "log",
            "platform.record_bytes": "262144",
        }
        fields |= {f"bounds.{key}": value for key, value in BOUNDS.items()} | more
        program = Program(role, fields, self.folder)
        program.start()
        self.programs.append(program)
        return program


async def wait_ready(entry: Program, within_s: float = 20.0) -> None:
    """Wait until an entry says that it is ready, or raise `TimeoutError`."""
    host, _, port = entry.fields["listen.ready"].rpartition(":")
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            if " 200 " in line:
                return
        except (OSError, EOFError):
            pass
        await asyncio.sleep(0.02)
    raise TimeoutError(f"{entry.fields['node_name']} is not ready")


def ip(number: int) -> str:
    """Return a loopback address of this run; numbers are from 1 to 250."""
    return f"{NETWORK}.{number}"


def free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at an address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def is_garbling(since_s: float) -> bool:
    """Return whether engines spoil answers now, if they began to at a given time."""
    elapsed_s = time.monotonic() - since_s
    return elapsed_s % (GARBLE_S + GARBLE_PAUSE_S) < GARBLE_S


def new_id(length: int = 16) -> str:
    """Return a random id in hexadecimal."""
    return "".join(random.choices("0123456789abcdef", k=length))


def run_case(folder: str, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Run a case; return 1 if it broke the rule, 0 if not, 2 if it could not run."""
    record = Record(Path(folder) / "record.txt")
    record.write("trouble", int(TROUBLE))
    try:
        broken = asyncio.run(_run_until_stopped(case, record))
    except (Exception, asyncio.CancelledError) as error:
        record.write("the case could not run:", repr(error))
        print(f"the case could not run: {error!r}")
        return 2
    return int(broken)


async def _run_until_stopped(case, record: Record) -> bool:
    """Run a case, which ends its processes also if the script gets SIGTERM."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(case(record), 112)
