"""A caller of one resumable stream that holds the events of all its attempts."""

from __future__ import annotations

import os
import re
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from enum import Enum

import httpx

from fleet.deployed import Entry
from standins.opaque_platform import DEFAULT_VERSION

TRIES = 4
RETRY_AFTER_S = 0.3
_EVENT = re.compile(rb"id: (\d+)\ndata: token(?: (\S+))?")
_RESET = struct.pack("ii", 1, 0)


class Outcome(Enum):
    """How an attempt ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"


@dataclass
class StreamCaller:
    """A caller that takes its stream up again, as the platform's pages allow.

    ``events`` are the ids and software versions of all events that it holds, and
    ``origin`` the id of the attempt that brought the first one. ``status`` is that of
    the last attempt, None if no answer came.
    """

    prompt: str
    events: list[tuple[int, str]] = field(default_factory=list)
    origin: str = ""
    status: int | None = None
    retry_after_s: float = RETRY_AFTER_S
    client: httpx.Client = field(default_factory=lambda: httpx.Client(timeout=20.0))

    @property
    def versions(self) -> set[str]:
        """Return the software versions that wrote the events."""
        return {version for _, version in self.events}

    @property
    def is_in_order(self) -> bool:
        """Return whether no event is missing or repeated."""
        ids = [number for number, _ in self.events]
        return ids == list(range(1, len(ids) + 1))

    def open(self, entry: Entry, changes: dict[str, str | None] | None = None) -> None:
        """Send an attempt and wait for the head of its answer.

        ``changes`` replaces headers, or removes those with None.
        """
        self._attempt, self._unread = os.urandom(8).hex(), b""
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": self._attempt,
            "X-Credential": "key-a",
            "X-Deadline-Ms": "8000",
            "X-Model": "m1",
            "X-Token-Count": "100,20",
            "X-Prompt-Prefix": f"{self.prompt}:100",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.origin
        headers |= changes or {}
        sent = {name: value for name, value in headers.items() if value is not None}
        url = f"{entry.url}/draft/{self.prompt}"
        request = self.client.build_request("POST", url, headers=sent)
        try:
            self._answer = self.client.send(request, stream=True)
        except httpx.TransportError:
            self.status = None
            return
        self.status = self._answer.status_code
        stated = self._answer.headers.get("Retry-After", RETRY_AFTER_S)
        self.retry_after_s = float(stated)
        self._parts = self._answer.iter_raw()

    def read(self, count: int | None = None) -> Outcome | None:
        """Read until that many events are held, or else to the end of the answer."""
        if self.status is None:
            return Outcome.BROKEN
        if self.status != 200:
            self._answer.close()
            return Outcome.REFUSED
        try:
            while count is None or len(self.events) < count:
                part = next(self._parts, None)
                if part is None:
                    return Outcome.WHOLE
                self._take(part)
        except httpx.TransportError:
            return Outcome.BROKEN
        return None

    def _take(self, part: bytes) -> None:
        *events, self._unread = (self._unread + part).split(b"\n\n")
        for event in events:
            found = _EVENT.fullmatch(event)
            if found is None:
                raise ValueError(f"no event of a backend server: {event[:80]!r}")
            version = found[2].decode() if found[2] else DEFAULT_VERSION
            self.origin = self.origin or self._attempt
            self.events.append((int(found[1]), version))

    def reset(self) -> None:
        """Reset the connection of the attempt in progress."""
        connection = self._answer.extensions["network_stream"]
        connected = connection.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._answer.close()

    def take_up(
        self, entry: Entry, changes: dict[str, str | None] | None = None
    ) -> Outcome:
        """Go on behind the last event, in one attempt."""
        self.open(entry, changes)
        return self.read()

    def take_up_with_retries(
        self, entry: Entry, changes: dict[str, str | None] | None = None
    ) -> Outcome:
        """Go on behind the last event, in a few attempts as callers make them."""
        for number in range(TRIES):
            if number:
                threading.Event().wait(self.retry_after_s)
            outcome = self.take_up(entry, changes)
            if outcome is Outcome.WHOLE:
                break
        return outcome


def timed(action) -> tuple[Outcome, float]:
    """Return the outcome of an action and how long it took in s."""
    began_s = time.monotonic()
    return action(), time.monotonic() - began_s
