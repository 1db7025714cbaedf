"""Helpers of the process-level tests: start a stand-in, call it, wait."""

from __future__ import annotations

import contextlib
import http.client
import json
import select
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any


@contextlib.contextmanager
def running(module: str, *options: str) -> Iterator[tuple[Any, dict[str, str]]]:
    """Yield a stand-in's process and ready line; end it with SIGTERM."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"standins.{module}", *options], stdout=subprocess.PIPE
    )
    try:
        readable, _, _ = select.select([process.stdout], [], [], 20)
        assert readable, f"{module} did not announce itself"
        yield process, json.loads(process.stdout.readline())
        if process.poll() is None:
            process.terminate()
            assert process.wait(5) == 0, "SIGTERM did not end the process cleanly"
    finally:
        if process.poll() is None:
            process.kill()
        process.wait(5)
        process.stdout.close()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 5,
    **headers,
) -> tuple[int, Any]:
    """Send one request over its own connection; return status and decoded body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        connection.close()


def wait_for(condition: Callable[[], Any], timeout_s: float = 5) -> Any:
    """Return the condition's first true value."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        select.select([], [], [], 0.005)
    raise AssertionError("the condition did not become true")
