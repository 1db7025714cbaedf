"""Fake engines in virtual time, and the baselines that the policies are compared with.

Every run is deterministic for a seed. Engines have slots, a fixed time per token and a
fixed load time; load reports are taken every ``report_s`` and seen ``lag_s`` later.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from returns.result import Success

from benchmarks.policy_baselines import FifoQueue
from benchmarks.policy_traffic import Arrival, Setup
from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import Load
from chervilgw.core.states import BackendKind, VmState
from chervilgw.placement.copies import CopyLimits, LoadCopy, decide_copy_changes
from chervilgw.placement.demand import THRESHOLDS, DemandThresholds, make_demand_tracker
from chervilgw.routing.choice import RouteRequest, choose
from chervilgw.routing.order import preferred_order
from chervilgw.scheduling.fair_queue import QueuedItem, QueueLimits, make_fair_queue

ENTRY = Incarnation(VmId("entry-1"), 1)


@dataclass(frozen=True)
class Policy:
    """Which rule decides; ``ours`` is the product's."""

    name: str
    router: str = "ours"
    queue: str = "ours"
    placement: str = "ours"
    limits: CopyLimits = CopyLimits()
    thresholds: DemandThresholds = THRESHOLDS
    slack: float = 0.25


@dataclass
class Outcome:
    """What became of each request: ``met``, ``late``, ``refused`` or ``quota``."""

    results: list[tuple[Arrival, str]] = field(default_factory=list)
    moves: int = 0
    load_times: list[tuple[float, str]] = field(default_factory=list)

    def share(self, result: str, customer: str | None = None, since_s: float = 0.0):
        """Return the share of requests within quota that ended in this way."""
        counted = [
            r
            for a, r in self.results
            if r != "quota" and customer in (None, a.customer) and a.time_s >= since_s
        ]
        return counted.count(result) / max(1, len(counted))

    def worst(self, exclude: str | None = None) -> float:
        """Return the attainment of the worst-served customer within its rate."""
        customers = {a.customer for a, _ in self.results} - {exclude}
        return min(self.share("met", customer) for customer in customers)


class FakeEngine:
    """One engine with its queue and resident copies."""

    def __init__(self, number, pool, setup: Setup, policy: Policy):
        self.vm, self.zone, self.pool = VmId(f"b{number}"), number % setup.zones, pool
        self.setup = setup
        self.resident: dict[str, str] = {}
        self.last_used_s: dict[str, float] = {}
        self.changes: dict[str, float] = {}
        self.running: dict[RequestId, QueuedItem] = {}
        self.alive = True
        limits = QueueLimits(
            60_000, 200_000, wait_factor=policy.slack, service_factor=policy.slack
        )
        self.queue = make_fair_queue(limits) if policy.queue == "ours" else FifoQueue()
        self.tracker = make_demand_tracker(policy.thresholds)

    @property
    def free(self) -> int:
        """Return the number of free places for copies."""
        return self.setup.capacity - len(self.resident)

    def view(self, age_s: float = 0.0) -> ServerView:
        """Return the present load report."""
        load = Load(
            BackendKind.ENGINE,
            self.setup.capacity,
            self.free,
            len(self.running),
            len(self.queue),
            dict(self.resident),
            self.queue.tokens_by_target(),
            pool=self.pool,
        )
        state = VmState.LIVE if self.alive else VmState.GONE
        return ServerView(
            Incarnation(self.vm, 1), f"z{self.zone}", "", state, load, age_s, self.alive
        )


class Run:
    """One run of a policy over a list of arrivals."""

    def __init__(self, setup: Setup, policy: Policy, seed: int):
        self.setup, self.policy = setup, policy
        self.random = random.Random(seed)
        self.outcome = Outcome()
        self.now_s = 0.0
        self.events: list = []
        self.tie = itertools.count()
        numbers = itertools.count()
        self.engines = {
            engine.vm: engine
            for pool, count in setup.pools.items()
            for engine in (
                FakeEngine(next(numbers), pool, setup, policy) for _ in range(count)
            )
        }
        self.specs = {spec.name: spec for spec in setup.models}
        self.arrivals: dict[RequestId, Arrival] = {}
        self.levels = {c: (burst, 0.0) for c, (_, burst) in setup.quota.items()}
        self.sent = [{} for _ in range(3)]
        self.turn = itertools.count()
        self.loading = 0
        for spec in setup.models:
            self.place_first(spec)
        self.views = self.take_views()

    def place_first(self, spec):
        """Load the first copies of a model before the run."""
        pool = [e.view() for e in self.engines.values() if e.pool == spec.pool]
        placed = 0
        for server in preferred_order(spec.name, pool):
            engine = self.engines[server.vm]
            if engine.free > 0 and placed < spec.min_copies:
                engine.resident[spec.name] = "loaded"
                placed += 1

    def take_views(self):
        """Return the reports of all engines."""
        return [engine.view(self.setup.lag_s) for engine in self.engines.values()]

    def at(self, delay_s, action, *arguments):
        """Schedule an action in virtual time."""
        event = (self.now_s + delay_s, next(self.tie), action, arguments)
        heapq.heappush(self.events, event)

    def run(self, arrivals: list[Arrival]) -> Outcome:
        """Return what became of the arrivals."""
        end_s = arrivals[-1].time_s + 30.0
        for number, arrival in enumerate(arrivals):
            self.at(arrival.time_s, self.arrive, RequestId(ENTRY, number), arrival)
        self.at(0.1, self.report)
        self.at(0.2, self.manage)
        if self.setup.lost_zone_at_s is not None:
            self.at(self.setup.lost_zone_at_s, self.lose_zone)
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for arrival in self.arrivals.values():
            self.outcome.results.append((arrival, "late"))
        return self.outcome

    def report(self):
        """Take reports and send them."""
        self.at(self.setup.lag_s, self.reports_seen, self.take_views())
        self.at(self.setup.report_s, self.report)

    def reports_seen(self, views):
        """Replace the fleet view."""
        self.views = views
        self.sent = [{} for _ in range(3)]

    def arrive(self, request_id, arrival):
        """Admit a request within the quota of its customer."""
        if arrival.customer in self.setup.quota:
            rate, burst = self.setup.quota[arrival.customer]
            level, last_s = self.levels[arrival.customer]
            level = min(burst, level + rate * (self.now_s - last_s))
            admitted = level >= arrival.tokens
            level -= arrival.tokens * admitted
            self.levels[arrival.customer] = (level, self.now_s)
            if not admitted:
                self.outcome.results.append((arrival, "quota"))
                return
        self.arrivals[request_id] = arrival
        self.dispatch(request_id)

    def end(self, request_id, result):
        """Record the end of a request."""
        arrival = self.arrivals.pop(request_id, None)
        if arrival is not None:
            self.outcome.results.append((arrival, result))

    def dispatch(self, request_id, excluded=frozenset()):
        """Send a request to the selected engine."""
        arrival = self.arrivals.get(request_id)
        if arrival is None:
            return
        deadline_s = arrival.time_s + arrival.target_s
        vm = self.route(arrival, excluded)
        if vm is None or not self.engines[vm].alive:
            # Not run; the entry tries again until the target has passed.
            if self.now_s + 0.5 > deadline_s:
                self.end(request_id, "refused")
            else:
                self.at(0.5, self.dispatch, request_id)
            return
        item = QueuedItem(
            request_id,
            arrival.customer,
            arrival.model,
            arrival.tokens,
            arrival.urgency,
            deadline_s,
        )
        sent = self.sent[arrival.entry]
        sent[vm] = sent.get(vm, 0) + 1
        if isinstance(self.engines[vm].queue.push(item, self.now_s), Success):
            self.start_work(self.engines[vm])
        else:
            # A refusal says "not run", so the entry tries the other holders.
            self.dispatch(request_id, excluded | {vm})

    def route(self, arrival, excluded=frozenset()) -> VmId | None:
        """Return the engine for a request, or None if there is none."""
        views = [v for v in self.views if v.vm not in excluded]
        live = [v for v in views if v.connected and v.is_engine(arrival.pool)]
        holders = [v for v in live if v.holds(arrival.model)]
        if self.policy.placement == "greedy":
            busy = all(v.load.queued >= self.setup.slots for v in holders)
            if live and (not holders or busy):
                idlest = min(live, key=lambda v: (v.load.running + v.load.queued, v.vm))
                self.load_greedily(self.engines[idlest.vm], arrival.model)
                return idlest.vm
        if self.policy.router == "round_robin":
            return holders[next(self.turn) % len(holders)].vm if holders else None
        if self.policy.router == "least_reported":
            key = lambda v: (v.load.running + v.load.queued, v.vm)  # noqa: E731
            return min(holders, key=key).vm if holders else None
        request = RouteRequest(
            arrival.customer,
            "",
            arrival.model,
            pool=arrival.pool,
            size_bytes=1,
            excluded=excluded,
        )
        sent = self.sent[arrival.entry]
        result = choose(request, self.views, sent, self.now_s, self.random.random())
        if not isinstance(result, Success):
            return None
        choice = result.unwrap()
        return None if choice.needs_load and not holders else choice.vm

    def start_work(self, engine):
        """Fill the free slots of an engine."""

        def can_run(item):
            return engine.resident.get(item.target) == "loaded"

        while engine.alive and len(engine.running) < self.setup.slots:
            item = engine.queue.pop(self.now_s, can_run)
            if item is None:
                return
            engine.running[item.request_id] = item
            engine.last_used_s[item.target] = self.now_s
            arrival = self.arrivals.get(item.request_id)
            used = arrival.used if arrival else 0
            self.at(used * self.setup.token_s, self.finish, engine, item, used)

    def finish(self, engine, item, used):
        """End one request on an engine."""
        if not engine.alive:
            return
        del engine.running[item.request_id]
        engine.queue.settle(item, used, self.now_s)
        self.end(item.request_id, "met" if self.now_s <= item.deadline_s else "late")
        self.start_work(engine)

    def manage(self):
        """Expire requests and decide on copies."""
        self.at(0.5, self.manage)
        for engine in self.engines.values():
            if not engine.alive:
                continue
            for item in engine.queue.expire(self.now_s):
                self.end(item.request_id, "late")
            if self.policy.placement == "ours":
                self.decide_copies(engine)

    def decide_copies(self, engine):
        """Carry out the product's decisions of one engine."""
        views = [v for v in self.views if v.vm != engine.vm] + [engine.view()]
        changes = decide_copy_changes(
            engine.vm,
            views,
            self.setup.models,
            engine.tracker.observe(views, self.now_s),
            engine.changes,
            self.now_s,
            self.policy.limits,
        )
        for change in changes:
            if isinstance(change, LoadCopy):
                self.load(engine, change.name)
            elif not any(i.target == change.name for i in engine.running.values()):
                self.unload(engine, change.name)

    def unload(self, engine, name):
        """Remove a copy and send its waiting requests elsewhere."""
        del engine.resident[name]
        engine.changes[name] = self.now_s
        # Waiting requests for it go to another holder.
        for item in [i for i in self.queued(engine) if i.target == name]:
            if hasattr(engine.queue, "remove"):
                engine.queue.remove(item.request_id)
            else:
                engine.queue.items.remove(item)
            self.at(0.0, self.dispatch, item.request_id)

    @staticmethod
    def queued(engine):
        """Return the waiting requests of an engine."""
        queue = engine.queue
        return list(queue.items if isinstance(queue, FifoQueue) else queue.waiting())

    def load(self, engine, name):
        """Start a load if there is room."""
        if engine.free <= 0 or self.loading >= self.setup.store_loads:
            return
        engine.resident[name] = "loading"
        engine.changes[name] = self.now_s
        self.loading += 1
        self.outcome.moves += 1
        self.at(self.setup.load_s, self.loaded, engine, name)

    def loaded(self, engine, name):
        """End a load."""
        self.loading -= 1
        if engine.alive:
            engine.resident[name] = "loaded"
            engine.last_used_s[name] = self.now_s
            self.outcome.load_times.append((self.now_s, name))
            self.start_work(engine)

    def load_greedily(self, engine, name):
        """Load a model, evicting the least recently used one."""
        if name in engine.resident:
            return
        in_use = {item.target for item in engine.running.values()}
        if engine.free <= 0:
            idle = [n for n, s in engine.resident.items() if s == "loaded"]
            idle = [n for n in idle if n not in in_use]
            if not idle:
                return
            key = lambda n: (engine.last_used_s.get(n, 0.0), n)  # noqa: E731
            self.unload(engine, min(idle, key=key))
        self.load(engine, name)

    def lose_zone(self):
        """Stop the engines of the first zone."""
        for engine in self.engines.values():
            if engine.zone == 0:
                engine.alive = False
                lost = list(engine.running) + [
                    i.request_id for i in self.queued(engine)
                ]
                # A silent connection is closed after 2 s and its requests retried.
                for request_id in lost:
                    self.at(2.0, self.dispatch, request_id)
