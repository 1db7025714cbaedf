"""Prompt prefixes: gain of routing to a cached prefix, with and without cache events.

Run with ``python -m benchmarks.prefixes``. The routing decision of the product runs in
virtual time against fake engines with slots, a prefix cache with least-recently-used
eviction, and load reports that are late. Several entries route; each knows what it
sent, and in some runs also the engines' cache events, which are late and have gaps.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import CustomerId, Digest, Incarnation, ModelName, VmId, ZoneId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, VmState
from chervilgw.entry.outstanding import Outstanding, make_outstanding
from chervilgw.routing.choice import RouteRequest, choose
from chervilgw.routing.prefixes import PrefixIndex, make_prefix_index

ENGINES, SLOTS, ENTRIES = 6, 8, 3
SPREAD = (80, 15, 5)
"""Shares of the requests that the balancer sends to each entry."""
BLOCKS = 8
"""Prefix digests of one prompt."""
DOCUMENTS, CACHED_DOCUMENTS = 60, 14
"""Different prompts, and how many of them one engine's cache holds."""
BLOCK_PREFILL_S = 0.05
DECODE_S = 0.6
TARGET_S = 0.47
REPORT_S, REPORT_LAG_S = 0.5, 0.05
EVENT_LAG_S, EVENT_GAP_EVERY = 0.5, 50
RATE_PER_S, LENGTH_S = 52.0, 120.0
MODEL = ModelName("m")


@dataclass(frozen=True)
class Policy:
    """A way to route: ``bonus`` multiplies the product's weight of a prefix."""

    name: str
    bonus: int = 1
    events: bool = False
    baseline: Callable[[Sequence[ServerView], int], VmId] | None = None


def round_robin(views: Sequence[ServerView], turn: int) -> VmId:
    """Return the servers in turn; each entry has its own turns."""
    return views[turn % len(views)].vm


def least_reported_load(views: Sequence[ServerView], turn: int) -> VmId:
    """Return the server whose last report shows the least load."""
    return min(views, key=lambda view: view.load.running + view.load.queued).vm


POLICIES = (
    Policy("round robin", baseline=round_robin),
    Policy("least reported load", baseline=least_reported_load),
    Policy("product without prefixes", bonus=0),
    Policy("product"),
    Policy("product, double bonus", bonus=2),
    Policy("product with cache events", events=True),
)


@dataclass
class Engine:
    """A fake engine: slots, a queue in order of arrival and a prefix cache."""

    vm: VmId
    running: int = 0
    queue: deque = field(default_factory=deque)
    cache: OrderedDict[Digest, None] = field(default_factory=OrderedDict)
    sequence: int = 0

    def use(self, digests: Sequence[Digest]) -> tuple[int, list[Digest], list[Digest]]:
        """Return the cached leading blocks; cache all, and return what changed."""
        hits = 0
        for digest in digests:
            if digest not in self.cache:
                break
            hits += 1
        stored = [digest for digest in digests if digest not in self.cache]
        for digest in digests:
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        evicted = []
        while len(self.cache) > CACHED_DOCUMENTS * BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        return hits, stored, evicted

    def view(self) -> ServerView:
        """Return the present load report."""
        load = Load(
            BackendKind.ENGINE,
            100,
            50,
            self.running,
            len(self.queue),
            {MODEL: "loaded"},
        )
        zone = ZoneId(f"zone-{int(self.vm[1:]) % 3}")
        return ServerView(
            Incarnation(self.vm, 1), zone, "", VmState.LIVE, load, 0.0, True
        )


@dataclass
class Entry:
    """What one entry knows."""

    zone: ZoneId
    turn: int = 0
    index: PrefixIndex = field(default_factory=make_prefix_index)
    outstanding: Outstanding = field(default_factory=make_outstanding)


class Simulation:
    """One run of one policy in virtual time."""

    def __init__(self, policy: Policy, seed: int):
        self.policy = policy
        self.random = random.Random(seed)
        self.engines = {VmId(f"b{n}"): Engine(VmId(f"b{n}")) for n in range(ENGINES)}
        self.entries = [Entry(ZoneId(f"zone-{n}")) for n in range(ENTRIES)]
        self.views = [engine.view() for engine in self.engines.values()]
        self.events: list = []
        self.order = itertools.count()
        self.waits_s: list[float] = []
        self.hit_blocks = 0

    def at(self, time_s: float, action, *arguments) -> None:
        """Call an action at a time."""
        heapq.heappush(self.events, (time_s, next(self.order), action, arguments))

    def run(self) -> tuple[float, float, float]:
        """Return attainment, cached share and the 95th percentile in seconds."""
        weights = [1.0 / (1 + number) for number in range(DOCUMENTS)]
        time_s = 0.0
        while time_s < LENGTH_S:
            time_s += self.random.expovariate(RATE_PER_S)
            [document] = self.random.choices(range(DOCUMENTS), weights)
            [entry] = self.random.choices(self.entries, SPREAD)
            self.at(time_s, self._arrive, entry, document, self.random.random())
        for step in range(int(LENGTH_S / REPORT_S)):
            self.at(step * REPORT_S, self._report)
        while self.events:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)
        waits_s = sorted(self.waits_s)
        met = sum(wait_s <= TARGET_S for wait_s in waits_s) / len(waits_s)
        share = self.hit_blocks / (BLOCKS * len(waits_s))
        return met, share, waits_s[int(0.95 * len(waits_s))]

    def _arrive(self, now_s, entry, document, random_value) -> None:
        digests = [Digest(f"{document}/{block}") for block in range(BLOCKS)]
        vm = self._route(now_s, entry, digests, random_value)
        engine = self.engines[vm]
        engine.queue.append((now_s, digests, entry))
        self._start(now_s, engine)

    def _route(self, now_s, entry, digests, random_value) -> VmId:
        if self.policy.baseline is not None:
            entry.turn += 1
            return self.policy.baseline(self.views, entry.turn)
        cached = entry.index.cached(self.engines, digests, now_s)
        scaled = {vm: self.policy.bonus * count for vm, count in cached.items()}
        request = RouteRequest(
            CustomerId("c"), entry.zone, MODEL, cached_prefixes=scaled
        )
        choice = choose(
            request, self.views, entry.outstanding.counts, now_s, random_value
        )
        vm = choice.unwrap().vm
        entry.outstanding.record_sent(vm)
        entry.index.on_dispatch(vm, digests, now_s)
        return vm

    def _start(self, now_s, engine: Engine) -> None:
        while engine.queue and engine.running < SLOTS:
            arrived_s, digests, entry = engine.queue.popleft()
            engine.running += 1
            hits, stored, evicted = engine.use(digests)
            self.hit_blocks += hits
            first_s = now_s + (BLOCKS - hits) * BLOCK_PREFILL_S
            self.waits_s.append(first_s - arrived_s)
            self.at(first_s + DECODE_S, self._finish, engine, entry)
            if self.policy.events and (stored or evicted):
                self._publish(now_s, engine, stored, evicted)

    def _publish(self, now_s, engine: Engine, stored, evicted) -> None:
        engine.sequence += 1
        if engine.sequence % EVENT_GAP_EVERY:
            event = (engine.vm, engine.sequence, stored, evicted)
            self.at(now_s + EVENT_LAG_S, self._deliver, event)

    def _deliver(self, now_s, event) -> None:
        for entry in self.entries:
            entry.index.on_event(*event, now_s)

    def _finish(self, now_s, engine: Engine, entry: Entry) -> None:
        engine.running -= 1
        entry.outstanding.record_ended(engine.vm)
        self._start(now_s, engine)

    def _report(self, now_s) -> None:
        views = [engine.view() for engine in self.engines.values()]
        self.at(now_s + REPORT_LAG_S, self._see, views)

    def _see(self, now_s, views) -> None:
        self.views = views
        for entry in self.entries:
            entry.outstanding.on_servers(views, now_s)


def main(seeds=(20260, 20261, 20262)) -> None:
    """Run all policies and print one line for each."""
    print(
        f"{ENGINES} engines of {SLOTS} slots, {ENTRIES} entries, {RATE_PER_S:.0f} "
        f"requests/s, first token within {TARGET_S} s; python -m benchmarks.prefixes"
    )
    print(f"{'policy':<28} {'attainment':<24} {'cached share':<22} p95 s")
    for policy in POLICIES:
        runs = [Simulation(policy, seed).run() for seed in seeds]
        met, share, p95_s = (
            " / ".join(f"{value:.3f}" for value in column)
            for column in zip(*runs, strict=True)
        )
        print(f"{policy.name:<28} {met:<24} {share:<22} {p95_s}")


if __name__ == "__main__":
    main()
