"""Soak of the whole path: real processes, callers that stay, faults from outside.

``python -m fleet.soak --seeds 1-50`` plays one seed after the other and prints what
broke a promise. Callers keep their connections until the process at the other end is
gone. Signals, restarts, changes of the configuration, store outages and servers in
trouble come in series that overlap. A seed decides all of it, apart from the timing of
the machine.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import Enum

import fire
import httpx

from fleet.deployed import CONFIGURATION, DeployedFleet, Entry, wait_for
from standins.opaque_platform import ServerStandIn

SECONDS = 12.0
CALLERS = 6
WORK_S = 0.15
"""Time of a run, so that most callers have a request in progress when a fault comes."""
SERIES = 3
"""Series of faults that run at the same time."""
RECOVER_S = 12.0
"""The operators' bound from the last fault until requests are served again."""
STOP_SLACK_S = 0.2
"""The operators' slack around the last byte of a request that crosses a stop."""
NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""
MODEL = {"X-Model": "m1", "X-Token-Count": "100,20", "X-Prompt-Prefix": "5c:100"}


class Kind(Enum):
    """Requests of the callers, by the path of their route."""

    BOOKING = "/reserve/"
    LOOKUP = "/stock/"
    DRAFT = "/draft/"


@dataclass(frozen=True, slots=True)
class Sent:
    """One attempt of a caller; ``status`` is None if no whole answer came."""

    attempt: str
    kind: Kind
    entry: int
    began_s: float
    ended_s: float
    status: int | None
    body: bytes = b""
    sealed: bool = False
    connected: bool = True
    key: str = "key-a"
    path: str = ""


@dataclass(slots=True)
class Stops:
    """When an entry was disturbed: ``planned`` by SIGTERM, ``unplanned`` otherwise."""

    planned: list[tuple[float, float]] = field(default_factory=list)
    unplanned: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Soak:
    """One seed; see :func:`play`."""

    rng: random.Random
    fleet: DeployedFleet
    seconds: float
    entries: list[Entry] = field(default_factory=list)
    desks: list[ServerStandIn] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    stops: list[Stops] = field(default_factory=list)
    endless: list[tuple[float, float]] = field(default_factory=list)
    began_s: float = 0.0
    version: int = CONFIGURATION["version"]
    busy: list[threading.Lock] = field(default_factory=list)

    def set_up(self) -> None:
        """Start two entries, three desks and two engines with their agents."""
        self.desks = [
            self.fleet.add_server(name=f"i-{n}", work_s=WORK_S) for n in range(3)
        ]
        for number in range(2):
            ip = f"127.0.0.{number + 2}"
            engine = self.fleet.add_server(
                name=f"e-{number}",
                service="llm",
                ip=ip,
                models={"m1": [], "m2": []},
                work_s=WORK_S,
            )
            self.fleet.add_agent(engine)
        for number in range(2):
            self.entries.append(self.fleet.add_entry(f"127.0.0.{number + 8}"))
            self.stops.append(Stops())
            self.busy.append(threading.Lock())
        wait_for(lambda: self._ask(0, Kind.DRAFT).status == 200, "drafts are served")
        self.sent.clear()

    def run(self) -> None:
        """Let callers and series of faults run side by side, then wait for recovery."""
        self.began_s = time.monotonic()
        until_s = self.began_s + self.seconds
        seeds = [self.rng.random() for _ in range(CALLERS + SERIES)]
        with ThreadPoolExecutor(CALLERS + SERIES) as pool:
            running = [
                pool.submit(self._call, random.Random(seed), until_s)
                for seed in seeds[:CALLERS]
            ]
            running += [
                pool.submit(self._disturb, random.Random(seed), until_s)
                for seed in seeds[CALLERS:]
            ]
        for each in running:
            each.result()
        for number in range(len(self.entries)):
            for kind in Kind:
                wait_for(
                    lambda n=number, k=kind: self._ask(n, k).status == 200,
                    f"entry {number} serves {kind.value} again",
                    RECOVER_S,
                )

    # Callers.

    def _call(self, rng: random.Random, until_s: float) -> None:
        clients: dict[int, httpx.Client] = {}
        while time.monotonic() < until_s:
            number = rng.randrange(len(self.entries))
            client = clients.get(number)
            if client is None:
                client = clients[number] = httpx.Client(timeout=20.0)
            sent = self._ask(number, *self._pick(rng), client=client)
            self.sent.append(sent)
            if sent.status is None:
                clients.pop(number).close()
            time.sleep(rng.uniform(0.0, 0.05))
        for client in clients.values():
            client.close()

    def _pick(self, rng: random.Random) -> tuple[Kind, str, str, str]:
        """Return the kind, key, path and model of a caller's next request."""
        kind = rng.choice(list(Kind))
        return kind, "key-a", kind.value, "m1"

    def _ask(
        self,
        number: int,
        kind: Kind,
        key: str = "key-a",
        path: str = "",
        model: str = "m1",
        client=httpx,
    ) -> Sent:
        attempt, path = os.urandom(8).hex(), path or kind.value
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": attempt,
            "X-Credential": key,
            "X-Deadline-Ms": "8000",
        } | (MODEL | {"X-Model": model} if kind is Kind.DRAFT else {})
        method = "GET" if kind is Kind.LOOKUP else "POST"
        url = self.entries[number].url + path + "1"
        began_s = time.monotonic()
        try:
            answer = client.request(method, url, headers=headers)
        except httpx.HTTPError as error:
            return Sent(
                attempt,
                kind,
                number,
                began_s,
                time.monotonic(),
                None,
                connected=not isinstance(error, httpx.ConnectError),
                key=key,
                path=path,
            )
        return Sent(
            attempt,
            kind,
            number,
            began_s,
            time.monotonic(),
            answer.status_code,
            answer.content,
            "X-Server-Seal" in answer.headers,
            key=key,
            path=path,
        )

    # Faults.

    def _faults(self, now_s: float) -> list[Callable[[random.Random], None]]:
        """Return the faults that a series chooses from."""
        return [
            self._terminate,
            self._kill,
            self._pause,
            self._break_desk,
            self._store_outage,
            self._configure,
        ]

    def _disturb(self, rng: random.Random, until_s: float) -> None:
        while (now_s := time.monotonic()) < until_s:
            rng.choice(self._faults(now_s))(rng)
            time.sleep(rng.uniform(0.0, 1.0))

    def _terminate(self, rng: random.Random) -> None:
        number = rng.randrange(len(self.entries))
        with self.busy[number]:
            program, began_s = self.entries[number].program, time.monotonic()
            program.stop()
            program.start()
            self.stops[number].planned.append((began_s, time.monotonic()))
            self._wait_ready(number)

    def _kill(self, rng: random.Random) -> None:
        number = rng.randrange(len(self.entries))
        with self.busy[number]:
            began_s = time.monotonic()
            program = self.entries[number].program
            program.kill()
            program.start()
            self._wait_ready(number)
            self.stops[number].unplanned.append((began_s, time.monotonic()))

    def _wait_ready(self, number: int) -> None:
        wait_for(self.entries[number].is_ready, f"entry {number} is ready again")

    def _pause(self, rng: random.Random) -> None:
        number = rng.randrange(len(self.entries))
        with self.busy[number]:
            process, began_s = self.entries[number].program.process, time.monotonic()
            process.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.1, 2.0))
            process.send_signal(signal.SIGCONT)
            self.stops[number].unplanned.append((began_s, time.monotonic()))

    def _break_desk(self, rng: random.Random) -> None:
        desk = rng.choice(self.desks)
        name, trouble = rng.choice(
            [("break_after", 0), ("refuse", True), ("endless", True)]
        )
        sound = None if name == "break_after" else False
        began_s = time.monotonic()
        setattr(desk, name, trouble)
        time.sleep(rng.uniform(0.2, 1.5))
        setattr(desk, name, sound)
        if name == "endless":
            self.endless.append((began_s, time.monotonic()))

    def _store_outage(self, rng: random.Random) -> None:
        self.fleet.store.down = True
        time.sleep(rng.uniform(0.2, 3.0))
        self.fleet.store.down = False

    def _configure(self, rng: random.Random) -> None:
        self.version += rng.randrange(1, 5)
        changed = CONFIGURATION | {"version": self.version}
        self.fleet.store.put("keyed.op", "config", changed)

    # Promises.

    def findings(self) -> Iterator[str]:
        """Return what callers or servers saw that breaks a promise."""
        runs = [run for server in self.fleet.servers for run in list(server.runs)]
        by_attempt: dict[str, int] = {}
        for run in runs:
            attempt = run["headers"].get("x-attempt-id", "")
            by_attempt[attempt] = by_attempt.get(attempt, 0) + 1
            if "x-credential" in run["headers"]:
                yield f"{attempt}: a server got the caller's key"
        for sent in self.sent:
            yield from self._findings_of(sent, by_attempt.get(sent.attempt, 0))
        for entry in self.entries:
            for line in entry.program.log_text().splitlines():
                if '"event": "handler_failed"' in line:
                    yield f"{entry.url}: {line[:300]}"

    def _findings_of(self, sent: Sent, runs: int) -> Iterator[str]:
        label = (
            f"{sent.attempt} {sent.kind.value} at {sent.began_s - self.began_s:.2f} s"
        )
        if sent.kind is Kind.BOOKING and runs > 1:
            yield f"{label}: a booking ran {runs} times"
        if sent.kind is not Kind.LOOKUP and runs and sent.status in NOT_RUN:
            yield f"{label}: answered {sent.status} and has run"
        if sent.status == 200:
            yield from self._findings_of_success(label, sent, runs)
        if sent.status is None and sent.connected and self._is_cut_by_stop(sent):
            yield f"{label}: cut off by a planned stop"

    def _findings_of_success(self, label: str, sent: Sent, runs: int) -> Iterator[str]:
        if not sent.sealed or not runs:
            yield f"{label}: a success that no server gave"
        elif sent.kind is Kind.DRAFT:
            if sent.body.count(b"data: token\n\n") != self.desks[0].events:
                yield f"{label}: a stream with missing or repeated events"
        elif not sent.body.startswith(b"answer of i-"):
            yield f"{label}: a wrong body of {len(sent.body)} bytes"

    def _is_cut_by_stop(self, sent: Sent) -> bool:
        """Return whether a planned stop is the only reason for a request's end.

        An answer without an end is cut at the time-out of its route.
        """
        stops = self.stops[sent.entry]
        others = [*stops.unplanned, *self.endless]
        if any(_overlap(sent, other) for other in others):
            return False
        return any(
            sent.began_s < began_s + STOP_SLACK_S and _overlap(sent, (began_s, ended_s))
            for began_s, ended_s in stops.planned
        )


def _overlap(sent: Sent, stop: tuple[float, float]) -> bool:
    return sent.began_s < stop[1] and stop[0] < sent.ended_s


def play(seed: int, seconds: float = SECONDS, make_soak=Soak) -> list[str]:
    """Play one seed and return what broke a promise.

    Parameters
    ----------
    seed : int
        Decides the requests and the faults.
    seconds : float
        How long callers and faults go on.
    make_soak : callable
        Returns the soak for a random generator, a fleet and ``seconds``.
    """
    with DeployedFleet() as fleet:
        soak = make_soak(random.Random(seed), fleet, seconds)
        soak.set_up()
        try:
            soak.run()
        except (TimeoutError, subprocess.TimeoutExpired) as error:
            return [f"seed {seed}: {error}, logs in {fleet.folder}"]
        served = sum(sent.status == 200 for sent in soak.sent)
        print(f"seed {seed}: {len(soak.sent)} requests, {served} served", flush=True)
        return [
            f"seed {seed}: {each}, logs in {fleet.folder}" for each in soak.findings()
        ]


def main(seeds: str = "1-3", seconds: float = SECONDS) -> None:
    """Play seeds, given as ``FIRST-LAST``, and print what broke a promise."""
    first, _, last = str(seeds).partition("-")
    found = []
    for seed in range(int(first), int(last or first) + 1):
        found += play(seed, seconds)
    print("\n".join(found) or "no promise was broken")
    sys.exit(bool(found))


if __name__ == "__main__":
    fire.Fire(main)
