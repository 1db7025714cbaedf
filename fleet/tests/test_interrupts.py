"""``make demo`` and ``make up`` leave no process behind, also when interrupted."""

import json
import os
import subprocess
import threading
import time
import uuid
from signal import SIGINT, SIGTERM

import psutil
import pytest

from fleet.client import call
from fleet.process import python_command

BOUND_S = 60.0


class _Program:
    """A program with a mark in its environment, which its children inherit."""

    def __init__(self, module, temporary, **options):
        self.mark = f"CHERVILGW_TEST_MARK={uuid.uuid4()}"
        name, _, value = self.mark.partition("=")
        environment = {**os.environ, name: value, "TMPDIR": str(temporary)}
        command = python_command(module, **options)
        self.child = subprocess.Popen(
            command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )

    def marked(self) -> list[int]:
        """Return the ids of all running processes with the mark."""
        found = []
        for process in psutil.process_iter():
            try:
                environment = process.environ()
                running = process.status() != psutil.STATUS_ZOMBIE
            except psutil.Error:
                continue
            name, _, value = self.mark.partition("=")
            if running and environment.get(name) == value:
                found.append(process.pid)
        return found

    def await_marked(self, count) -> None:
        """Wait until this many processes run, the program included."""
        deadline_s = time.monotonic() + BOUND_S
        while len(self.marked()) < count:
            assert self.child.poll() is None
            assert time.monotonic() < deadline_s
            threading.Event().wait(0.01)

    def stop(self, number) -> tuple[int, str]:
        """Send a signal; return exit status and output."""
        self.child.send_signal(number)
        output, _ = self.child.communicate(timeout=BOUND_S)
        return self.child.returncode, output.decode()


@pytest.mark.parametrize("module", ["fleet.demo", "fleet.up"])
@pytest.mark.parametrize("count", [3, 6, 12])
def test_interrupt_during_the_start_leaves_nothing(tmp_path, module, count):
    """Guards against children that were started but not yet recorded."""
    options = {"folder": tmp_path / "run"} if module == "fleet.up" else {}
    program = _Program(module, tmp_path, **options)
    program.await_marked(count)
    status, output = program.stop(SIGINT)
    assert status == 130, output
    assert "interrupted" in output
    assert program.marked() == []
    assert not list(tmp_path.rglob("fleet.json"))


def test_up_serves_until_sigterm(tmp_path):
    """Guards against a description that is wrong, or stays after the end."""
    folder = tmp_path / "run"
    program = _Program("fleet.up", tmp_path, folder=folder)
    lines = []
    while not lines or not lines[-1].startswith(b"Stop with"):
        lines.append(program.child.stdout.readline())
        assert lines[-1], lines
    description = json.loads((folder / "fleet.json").read_text())
    pids = {process["pid"] for process in description["processes"]}
    assert pids == set(program.marked()) - {program.child.pid}
    for process in description["processes"]:
        assert {"role", "vm", "zone", "pid", "address"} <= process.keys()
    address = description["entries"][0].removeprefix("http://")
    for key in description["customer_keys"].values():
        assert call(address, "GET", "/v1/models", key=key).status == 200
    key = description["operator_key"]
    assert call(address, "GET", "/admin/v1/fleet", key=key).status == 200
    printed = b"".join(lines).decode()
    assert not any(key in printed for key in description["customer_keys"].values())
    status, output = program.stop(SIGTERM)
    assert status == 0, output
    assert program.marked() == []
    assert not (folder / "fleet.json").exists()
