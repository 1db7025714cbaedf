"""One child process of the launcher."""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from fleet.interrupts import interrupts_held

READY_S = 20.0
STOP_S = 30.0
_PORTS = range(20_000, 32_000)
_PORTS_PER_PROCESS = 149
_port_numbers = count()


class StartFailed(Exception):
    """A process ended, or printed no address, before it was ready."""


@dataclass
class Process:
    """A running program that printed its addresses when it was ready."""

    name: str
    command: list[str]
    log_path: Path
    addresses: dict[str, str] = field(default_factory=dict)
    child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.child.pid

    @property
    def address(self) -> str:
        """Return the address of a stand-in."""
        return self.addresses["address"]

    def start(self) -> Process:
        """Start the program and wait for its ready line."""
        return self.launch().await_ready()

    def launch(self) -> Process:
        """Start the program."""
        environment = dict(os.environ, PYTHONUNBUFFERED="1")
        with self.log_path.open("ab") as log, interrupts_held():
            self.child = subprocess.Popen(
                self.command,
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment,
                start_new_session=True,
            )
        return self

    def await_ready(self) -> Process:
        """Wait for the ready line of a launched program."""
        self.addresses = self._read_ready_line()
        return self

    def _read_ready_line(self) -> dict[str, str]:
        stream = self.child.stdout
        deadline_s = time.monotonic() + READY_S
        while time.monotonic() < deadline_s:
            readable, _, _ = select.select([stream], [], [], 0.1)
            if readable:
                line = stream.readline()
                if line.startswith(b'{"event": "ready"'):
                    return json.loads(line)
            if self.child.poll() is not None:
                break
        self.kill()
        raise StartFailed(f"{self.name} did not start; see {self.log_path}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def freeze(self) -> None:
        """Stop the process until :meth:`thaw`."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
            self.child.stdout.close()

    def stop(self, bound_s: float = STOP_S) -> int:
        """End the process with SIGTERM and return its exit status."""
        self.thaw()
        self.signal(signal.SIGTERM)
        return self.wait(bound_s)

    def wait(self, bound_s: float = STOP_S) -> int:
        """Wait for the end of the process and return its exit status."""
        try:
            return self.child.wait(bound_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.child is not None and self.child.poll() is None


def python_command(module: str, **options) -> list[str]:
    """Return the command that runs a module of this repository.

    Parameters
    ----------
    module : str
        Module with a ``main`` that ``fire`` or ``argparse`` drives.
    **options
        Command-line options; underscores become hyphens.

    Returns
    -------
    list of str

    Examples
    --------
    >>> python_command("standins.log", appends_per_s=9)[2:]
    ['standins.log', '--appends-per-s=9']
    """
    flags = [f"--{name.replace('_', '-')}={value}" for name, value in options.items()]
    return [sys.executable, "-m", module, *flags]


def free_port(ip: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now and that the kernel assigns to nobody else.

    The ports lie below the range from which the kernel takes those of outgoing
    connections. Each process begins at another one, so that test workers beside each
    other do not choose the same port before it is bound.
    """
    for _ in range(len(_PORTS)):
        number = os.getpid() * _PORTS_PER_PROCESS + next(_port_numbers)
        port = _PORTS[number % len(_PORTS)]
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port
    raise OSError(f"no free port at {ip}")
