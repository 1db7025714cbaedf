"""Soak with drills of the store, which comes back from a copy, and what it must keep.

``python -m fleet.soak_drills --seeds 1-50`` plays one seed after the other. Faults come
in bursts: beside those of :mod:`fleet.soak`, restores of the store and kills of all
entries at once. In the calm after each burst the operator and the servers go on, so
that the bounds that hold for undisturbed entries can be checked.
"""

from __future__ import annotations

import copy
import math
import random
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

import fire

from fleet.deployed import CONFIGURATION, wait_for
from fleet.soak import Kind, Sent, Soak, play
from standins.opaque_platform import ServerStandIn

SECONDS = 20.0
BURST_S = 3.0
CALM_S = 7.0
HEARTBEAT_S = 1.2
STEP_S = 0.1
"""Time between two copies of the store."""
COPIES = 60
TOUCH_S = 3.0
"""The operators' bound on the time that a process needs after a disturbance."""
CONFIGURATION_DEADLINE_S = 2.0
DRAIN_S = 2.0
OPERATOR_DELAY_S = 0.5
"""Longest time from the store's return until the operator has written again."""
SERVER_DELAY_S = 1.0
RECENT = 4
"""Withdrawn keys and routes that callers still use."""
ADAPTERS = tuple(f"{model}/a{n}" for model in ("m1", "m2") for n in (1, 2, 3))
"""More adapters than an engine holds, so that agents give orders."""
DENIED = frozenset({401, 403, 404})


class ServerStep(Enum):
    """What a server last wrote of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Version:
    """One configuration: its optional keys and paths, and when it was acknowledged."""

    number: int
    keys: tuple[str, ...]
    paths: tuple[str, ...]
    sent_s: float
    acknowledged_s: float

    def allows(self, sent: Sent) -> bool:
        """Return whether a request's key and route are in the configuration."""
        keys, paths = {"key-a", *self.keys}, {*self.paths, *(k.value for k in Kind)}
        return sent.key in keys and sent.path in paths


@dataclass(frozen=True, slots=True)
class Leave:
    """A server's incarnation whose draining or removal the store acknowledged."""

    server: str
    born: int
    acknowledged_s: float


@dataclass(slots=True)
class DrillSoak(Soak):
    """One seed; see :func:`fleet.soak.play`."""

    versions: list[Version] = field(default_factory=list)
    steps: dict[str, ServerStep] = field(default_factory=dict)
    leaves: list[Leave] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    copies: deque = field(default_factory=lambda: deque(maxlen=COPIES))
    operator: threading.Lock = field(default_factory=threading.Lock)
    registry: threading.Lock = field(default_factory=threading.Lock)
    outage: threading.Lock = field(default_factory=threading.Lock)
    leaving: threading.Lock = field(default_factory=threading.Lock)
    agents: threading.Lock = field(default_factory=threading.Lock)
    judged: int = 0

    def set_up(self) -> None:
        """Start the fleet and the first configuration with an optional key."""
        Soak.set_up(self)
        self.steps = {server.name: ServerStep.READY for server in self.fleet.servers}
        self.versions.append(Version(self.version, (), (), 0.0, 0.0))

    def run(self) -> None:
        """Let copies be taken and servers write their entries beside the soak."""
        ended = threading.Event()
        thread = threading.Thread(target=self._beat_forever, args=(ended,))
        thread.start()
        try:
            Soak.run(self)
        finally:
            ended.set()
            thread.join()

    # The store and its writers.

    def _beat_forever(self, ended: threading.Event) -> None:
        due_s = dict.fromkeys(self.steps, time.monotonic())
        while not ended.wait(STEP_S):
            self.copies.append(self.fleet.store.take_copy())
            for server in self.fleet.servers:
                if time.monotonic() >= due_s[server.name]:
                    due_s[server.name] += HEARTBEAT_S
                    if self.steps[server.name] is not ServerStep.GONE:
                        self._write_entry(server)

    def _write_entry(self, server: ServerStandIn) -> bool:
        """Write what a server last wrote; return whether the store took it."""
        with self.registry:
            if self.fleet.store.down:
                return False
            step = self.steps[server.name]
            if step is ServerStep.GONE:
                self.fleet.store.put("keyed.servers", server.name, None)
            else:
                self.fleet.register(server, step.value)
            return True

    def _store_outage(self, rng: random.Random) -> None:
        if self.outage.acquire(blocking=False):
            began_s = time.monotonic()
            Soak._store_outage(self, rng)
            self.outages.append((began_s, time.monotonic()))
            self.outage.release()

    def _restore(self, rng: random.Random) -> None:
        """Let the store come back from a copy, and all writers write again.

        A copy may be older than the restore before this one.
        """
        if not self.outage.acquire(blocking=False):
            return
        began_s = time.monotonic()
        self.fleet.store.down = True
        time.sleep(rng.uniform(0.1, 1.5))
        with self.operator, self.registry:
            self.fleet.store.restore(rng.choice(list(self.copies)))
        self.fleet.store.down = False
        self.outages.append((began_s, time.monotonic()))
        self.outage.release()
        writers = [(rng.uniform(0.0, OPERATOR_DELAY_S), self._write_configuration)]
        for server in self.fleet.servers:
            delay_s = rng.uniform(0.0, SERVER_DELAY_S)
            writers.append((delay_s, lambda each=server: self._write_entry(each)))
        began_s = time.monotonic()
        for delay_s, write in sorted(writers, key=lambda each: each[0]):
            time.sleep(max(0.0, began_s + delay_s - time.monotonic()))
            write()

    def _restore_twice(self, rng: random.Random) -> None:
        self._restore(rng)
        self._restore(rng)

    def _change_and_restore(self, rng: random.Random) -> None:
        """Let the store lose several configurations."""
        for _ in range(rng.randrange(2, 7)):
            self._configure(rng)
            time.sleep(rng.uniform(0.05, 0.3))
        self._restore(rng)

    def _configure(self, rng: random.Random) -> None:
        """Add or withdraw a key and a route; none ever comes back."""
        keys_grow, paths_grow = rng.random() < 0.5, rng.random() < 0.5
        step = rng.randrange(1, 5)
        wait_for(lambda: self._change(step, keys_grow, paths_grow), "a new version")

    def _change(self, step: int, keys_grow: bool, paths_grow: bool) -> bool:
        with self.operator:
            if self.fleet.store.down:
                return False
            self.version += step
            keys, paths = self.versions[-1].keys, self.versions[-1].paths
            keys = (*keys, f"key-{self.version}") if keys_grow else keys[1:]
            path = f"/extra-{self.version}/"
            paths = (*paths, path) if paths_grow else paths[1:]
            newest = Version(self.version, keys, paths, time.monotonic(), math.inf)
            self._put_configuration(newest)
            self.versions.append(replace(newest, acknowledged_s=time.monotonic()))
            return True

    def _write_configuration(self) -> None:
        with self.operator:
            if not self.fleet.store.down:
                self._put_configuration(self.versions[-1])

    def _put_configuration(self, version: Version) -> None:
        changed = copy.deepcopy(CONFIGURATION) | {"version": version.number}
        changed["tenants"][0]["api_keys"] += version.keys
        for path in version.paths:
            extra = {"name": f"r{path.strip('/')}", "path_prefix": path}
            changed["routes"].append(changed["routes"][1] | extra)
        self.fleet.store.put("keyed.op", "config", changed)

    # Faults and callers.

    def _faults(self, now_s: float) -> list[Callable[[random.Random], None]]:
        if (now_s - self.began_s) % (BURST_S + CALM_S) > BURST_S:
            return [self._configure, self._leave, self._wait, self._wait]
        drills = [self._restore, self._restore_twice, self._change_and_restore]
        drills += [self._kill_all, self._leave, self._change_and_restore]
        drills.append(self._kill_agent)
        return Soak._faults(self, now_s) + drills

    def _wait(self, rng: random.Random) -> None:
        time.sleep(rng.uniform(0.5, 1.5))

    def _kill_all(self, rng: random.Random) -> None:
        """End all entries at once without notice."""
        for lock in self.busy:
            lock.acquire()
        began_s = time.monotonic()
        for entry in self.entries:
            entry.program.kill()
        for entry in self.entries:
            entry.program.start()
        for number in range(len(self.entries)):
            self._wait_ready(number)
            self.stops[number].unplanned.append((began_s, time.monotonic()))
            self.busy[number].release()

    def _kill_agent(self, rng: random.Random) -> None:
        if self.agents.acquire(blocking=False):
            agents = [each for each in self.fleet.programs if "app" in each.fields]
            agent = rng.choice(agents)
            agent.kill()
            time.sleep(rng.uniform(0.0, 1.0))
            agent.start()
            self.agents.release()

    def _leave(self, rng: random.Random) -> None:
        """Let a desk end with or without notice, and start again under its id."""
        if not self.leaving.acquire(blocking=False):
            return
        desk, is_crash = rng.choice(self.desks), rng.random() < 0.2
        is_announced = rng.random() < 0.5
        if not is_crash:
            desk.signals = rng.choice([{}, {"Server-Leaving": "1"}])
            step = ServerStep.DRAINING if is_announced else ServerStep.GONE
            self._write_step(desk, step)
            self.leaves.append(Leave(desk.name, desk.born, time.monotonic()))
            time.sleep(DRAIN_S + rng.uniform(0.5, 5.0))
            self._write_step(desk, ServerStep.GONE)
        desk.stop()
        time.sleep(rng.uniform(0.0, 1.0))
        desk.start_again()
        self._write_step(desk, ServerStep.READY)
        self.leaving.release()

    def _write_step(self, server: ServerStandIn, step: ServerStep) -> None:
        """Let a server write its state, and wait until the store has taken it."""
        self.steps[server.name] = step
        wait_for(lambda: self._write_entry(server), "the store takes an entry")

    def _pick(self, rng: random.Random) -> tuple[Kind, str, str, str]:
        if rng.random() < 0.6:
            kind, key, path, model = Soak._pick(self, rng)
            return kind, key, path, rng.choice([model, *ADAPTERS])
        versions = self.versions[-RECENT:]
        keys = [key for version in versions for key in version.keys]
        paths = [path for version in versions for path in version.paths]
        if keys and rng.random() < 0.5:
            return Kind.LOOKUP, rng.choice(keys), Kind.LOOKUP.value, ""
        return Kind.LOOKUP, "key-a", rng.choice(paths or [Kind.LOOKUP.value]), ""

    # Promises.

    def findings(self) -> Iterator[str]:
        """Return what breaks a promise, the bounds in the calm among them."""
        yield from Soak.findings(self)
        runs = [
            (server.name, run)
            for server in self.fleet.servers
            for run in list(server.runs)
        ]
        sent_by_attempt = {sent.attempt: sent for sent in self.sent}
        ran = {run["headers"].get("x-attempt-id") for _, run in runs}
        for sent in self.sent:
            yield from self._configuration_findings(sent, sent.attempt in ran)
        for server, run in runs:
            sent = sent_by_attempt.get(run["headers"].get("x-attempt-id"))
            if sent is not None:
                yield from self._drain_findings(server, run, sent)
        yield from self._notice_findings(runs, sent_by_attempt)
        for server in self.fleet.servers:
            fences = [order["fence"] for order in server.orders]
            if fences != sorted(fences):
                yield f"ONE: {server.name} got orders with the tokens {fences}"
        print(f"{self.judged} requests were sent in a calm", flush=True)

    def _is_calm(self, entry: int, from_s: float, until_s: float) -> bool:
        """Return whether an entry and the store were undisturbed for long before."""
        stops = self.stops[entry]
        disturbed = [*self.outages, *stops.planned, *stops.unplanned]
        return not any(
            began_s < until_s and from_s - TOUCH_S < ended_s
            for began_s, ended_s in disturbed
        )

    def _configuration_findings(self, sent: Sent, has_run: bool) -> Iterator[str]:
        if not self._is_calm(sent.entry, sent.began_s, sent.ended_s):
            return
        due_s = sent.began_s - CONFIGURATION_DEADLINE_S
        oldest = max(v.number for v in self.versions if v.acknowledged_s <= due_s)
        allowed = [
            version.allows(sent)
            for version in self.versions
            if version.number >= oldest and version.sent_s <= sent.ended_s
        ]
        label = f"CONFIG: {self._describe(sent)}, version {oldest} or later in force"
        self.judged += 1
        if not any(allowed) and (has_run or sent.status == 200):
            yield f"{label}: run, though no such version allows it"
        if all(allowed) and sent.status in DENIED:
            yield f"{label}: refused, though all such versions allow it"

    def _describe(self, sent: Sent) -> str:
        return (
            f"{sent.attempt} {sent.path} with {sent.key} at entry {sent.entry}, sent "
            f"at {sent.began_s - self.began_s:.2f} s, status {sent.status}"
        )

    def _drain_findings(self, server: str, run: dict, sent: Sent) -> Iterator[str]:
        for leave in self.leaves:
            if (leave.server, leave.born) != (server, run["born"]):
                continue
            since_s = run["at_s"] - leave.acknowledged_s
            is_judged = self._is_calm(sent.entry, sent.began_s, run["at_s"])
            if is_judged and since_s > DRAIN_S:
                yield (
                    f"DRAIN: {self._describe(sent)} reached {server} {since_s:.2f} s "
                    "after the acknowledgement"
                )

    def _notice_findings(self, runs: list, sent_by_attempt: dict) -> Iterator[str]:
        """Return requests to servers that had told this entry that they leave."""
        told_s: dict[tuple, float] = {}
        for server, run in runs:
            sent = sent_by_attempt.get(run["headers"].get("x-attempt-id"))
            if sent is not None and run["leaving"] and sent.status == 200:
                key = (server, run["born"], sent.entry)
                told_s[key] = min(sent.ended_s, told_s.get(key, math.inf))
        for server, run in runs:
            sent = sent_by_attempt.get(run["headers"].get("x-attempt-id"))
            if sent is None:
                continue
            since_s = told_s.get((server, run["born"], sent.entry), math.inf)
            stops = self.stops[sent.entry]
            is_excused = any(
                began_s < run["at_s"] and since_s < ended_s
                for began_s, ended_s in (*stops.planned, *stops.unplanned)
            )
            if sent.began_s > since_s + DRAIN_S and not is_excused:
                yield f"DRAIN: {self._describe(sent)} reached {server} after its notice"


def main(seeds: str = "1-3", seconds: float = SECONDS) -> None:
    """Play seeds, given as ``FIRST-LAST``, and print what broke a promise."""
    first, _, last = str(seeds).partition("-")
    found = []
    for seed in range(int(first), int(last or first) + 1):
        found += play(seed, seconds, DrillSoak)
    print("\n".join(found) or "no promise was broken")
    sys.exit(bool(found))


if __name__ == "__main__":
    fire.Fire(main)
