"""Traffic, counts and clocks that the tests under failure share."""

from __future__ import annotations

import http.client
import os
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from itertools import count
from pathlib import Path
from threading import Event, Lock, Thread

from fleet.client import Answer, EventStream, call, open_stream
from fleet.launcher import Fleet, start_fleet
from fleet.plan import CustomerPlan, FleetPlan, ModelPlan

SEED = int(os.environ.get("FAULT_SEED", "1"))
MODEL = "draft-small"
BOOKINGS = "/services/casework/bookings"
WITHIN_S = 3.0
"""Withdrawals, leaving notices and changes are in force everywhere after this time."""

SMALL = FleetPlan(
    entries=2,
    engines=1,
    services=0,
    models=(ModelPlan(MODEL),),
    adapters=(),
    customers=(CustomerPlan("surveyors"), CustomerPlan("tenants")),
)


@contextmanager
def small_fleet(**changes) -> Iterator[Fleet]:
    """Start a fleet with one model, which is loaded, and other sizes as given."""
    plan = replace(SMALL, **changes)
    with start_fleet(plan) as fleet:
        if plan.engines and plan.models:
            fleet.wait_loaded()
        await_units(fleet)
        yield fleet


def await_units(fleet: Fleet) -> None:
    """Wait until each entry has configuration and units for every customer."""
    path = "/services/casework/stock/bed" if fleet.plan.services else "/v1/models"
    for address in fleet.entry_addresses():
        for key in fleet.keys.values():
            fleet.wait_for(
                lambda a=address, k=key: try_call(a, "GET", path, key=k).status == 200,
                "customer served",
            )


def http_address(fleet: Fleet, entry: str) -> str:
    """Return the callers' address of an entry."""
    return fleet.vms[entry].daemon.addresses["http"]


def complete(address, key, words=4, max_tokens=4, **options) -> Answer:
    """Send a completion request with a prompt of so many words."""
    body = {
        "model": MODEL,
        "prompt": " ".join(["word"] * words),
        "max_tokens": max_tokens,
        "min_tokens": max_tokens,
    }
    return call(address, "POST", "/v1/completions", body, key, **options)


def long_stream(address, key, prompt="a long text", max_tokens=900) -> EventStream:
    """Open a stream that lasts for most of a test."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "min_tokens": max_tokens,
    }
    return open_stream(address, "/v1/completions", body, key)


class Reader:
    """Reads a stream in a thread and notes when it ended."""

    def __init__(self, stream: EventStream):
        self.stream = stream
        self.ended_s: float | None = None
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        self.stream.read()
        self.ended_s = time.monotonic()

    @property
    def tokens(self) -> int:
        """Return the number of chunks read up to now."""
        return len(self.stream.text)


@dataclass
class Sent:
    """One request of the traffic and its outcome."""

    number: int
    sent_s: float
    answered_s: float
    status: int
    run: str
    detail: str


@dataclass
class Traffic:
    """Requests at a steady pace, or as fast as answers arrive, from several threads."""

    request: Callable[[int], Answer]
    per_s: float = 0.0
    threads: int = 4
    sent: list[Sent] = field(default_factory=list)

    def __enter__(self) -> Traffic:
        self._stop, self._lock, self._numbers = Event(), Lock(), count()
        self._began_s = time.monotonic()
        self._pool = ThreadPoolExecutor(self.threads)
        self._work = [self._pool.submit(self._run) for _ in range(self.threads)]
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._pool.shutdown()
        for work in self._work:
            work.result()

    def _run(self):
        while not self._stop.is_set():
            with self._lock:
                number = next(self._numbers)
            if self.per_s:
                due_s = self._began_s + number / self.per_s
                if self._stop.wait(max(0.0, due_s - time.monotonic())):
                    return
            self.sent.append(self._send(number))

    def _send(self, number: int) -> Sent:
        sent_s = time.monotonic()
        try:
            answer = self.request(number)
            status, detail = answer.status, answer.body.decode()
            run = answer.headers.get("x-chervil-run", "")
        except (OSError, http.client.HTTPException) as error:
            status, run, detail = 0, "", repr(error)
        return Sent(number, sent_s, time.monotonic(), status, run, detail)

    def statuses(self) -> Counter:
        """Return the number of answers of each status; 0 is a broken connection."""
        return Counter(each.status for each in list(self.sent))

    def failed(self, allowed=(200,)) -> list[Sent]:
        """Return the requests with another status."""
        return [each for each in list(self.sent) if each.status not in allowed]


def wait_until(fleet: Fleet, moment_s: float) -> None:
    """Wait until a time on the monotonic clock."""
    bound_s = max(1.0, moment_s - time.monotonic() + 1.0)
    fleet.wait_for(lambda: time.monotonic() >= moment_s, "the time", bound_s)


def try_call(*arguments, **options) -> Answer:
    """Send a request; a broken connection gives status 0."""
    try:
        return call(*arguments, **options)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, repr(error).encode())


def in_background(function, *arguments):
    """Start a function in a thread and return its future."""
    pool = ThreadPoolExecutor(1)
    future = pool.submit(function, *arguments)
    pool.shutdown(wait=False)
    return future


# What ran.


def book(address, key, booking: str, idempotency_key: str = "", timeout_s=20) -> Answer:
    """Send a booking; a broken connection gives status 0."""
    headers = {"x-booking-id": booking}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    return try_call(
        address, "POST", BOOKINGS, {"item": "bed"}, key, headers, timeout_s=timeout_s
    )


def runs_of(path: Path) -> Counter:
    """Return how often each booking ran on any service."""
    return Counter(path.read_text().split() if path.exists() else ())


def run_state(answer: Answer) -> str:
    """Return what an answer says about the run; empty for an unanswered request."""
    return answer.headers.get("x-chervil-run", "")


class EngineRuns:
    """Follows the requests that an engine received; it keeps only the newest ones."""

    def __init__(self, addresses):
        self._addresses = addresses
        self._seen: dict[tuple[str, int], dict] = {}
        self._stop = Event()
        self._thread = Thread(target=self._follow, daemon=True)

    def __enter__(self) -> EngineRuns:
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()
        self.read()

    def _follow(self):
        while not self._stop.wait(0.25):
            self.read()

    def read(self) -> None:
        """Take over what the engines received since the last read."""
        for address in self._addresses:
            answer = try_call(address, "GET", "/seen")
            if answer.status != 200:
                continue
            for seen in answer.json()["requests"]:
                if seen["path"].startswith("/v1/"):
                    self._seen[address, seen["number"]] = seen

    def charges(self) -> list[tuple[float, int]]:
        """Return time and tokens (prompt and completion) of each run."""
        charges = []
        for seen in self._seen.values():
            if seen["method"] == "POST":
                body = seen["body"]
                tokens = len(body["prompt"].split()) + body["max_tokens"]
                charges.append((seen["time_ms"] / 1000, tokens))
        return sorted(charges)


def most_over(charges, rate: float, burst: float) -> float:
    """Return the largest number of tokens over ``rate * window + burst``.

    Examples
    --------
    >>> most_over([(0.0, 10), (1.0, 10), (1.5, 10)], rate=10, burst=10)
    5.0
    >>> most_over([(0.0, 10), (5.0, 10)], rate=10, burst=10)
    0.0
    """
    # With f(t) = tokens up to t - rate * t, the excess of a window is the difference
    # of f at its ends, so the lowest start so far decides.
    total, lowest, worst = 0.0, float("inf"), 0.0
    for time_s, tokens in charges:
        lowest = min(lowest, total - rate * time_s)
        total += tokens
        worst = max(worst, total - rate * time_s - lowest - burst)
    return worst
