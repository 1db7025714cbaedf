"""Runs tasks in a background thread for tests that connect to their sockets."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import contextmanager

from chervilgw.runtime.app import make_app
from chervilgw.runtime.clock import make_clock

TIMEOUT_S = 10.0


@contextmanager
def running(*tasks):
    app = make_app(make_clock(), *tasks)
    app.start()
    try:
        yield app
    finally:
        app.stop()
        app.join()


def wait_until(condition, timeout_s=TIMEOUT_S):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError("condition was not met in time")
        threading.Event().wait(0.01)


def exchange(port, data, timeout_s=TIMEOUT_S):
    """Send bytes and read until the server closes or the answer is complete."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout_s) as sock:
        sock.sendall(data)
        received = b""
        while True:
            part = sock.recv(65536)
            received += part
            if not part or received.endswith((b"0\r\n\r\n", b"END")):
                return received
