"""Decisions on requests that no warm server can serve in time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from returns.pipeline import is_successful

from chervilgw.core.deployment import ServerId, ServiceRule
from chervilgw.core.ids import ModelName, ServiceName
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.membership.entry_count import EntryCount, make_entry_count
from chervilgw.routing.cold_slots import (
    MAX_TURN_AGE_S,
    ColdBudget,
    ColdSlots,
    budget_per_s,
    make_cold_slots,
)
from chervilgw.routing.dispatch import (
    MIN_RETRY_AFTER_S,
    Candidate,
    DispatchRequest,
    ServerChoice,
    choose_server,
)
from chervilgw.routing.warm_up import WarmUp
from chervilgw.settings.vm import Bounds


@dataclass(frozen=True, slots=True)
class ColdOutcome:
    """The chosen cold server, or how long the request has to wait for one.

    ``refusal`` is set if the wait is too long.
    """

    choice: ServerChoice | None = None
    refusal: Refusal | None = None


@dataclass(slots=True)
class ColdDispatch:
    """Choice among cold servers; see :func:`make_cold_dispatch`.

    ``counts`` counts the decisions since they were last taken.
    """

    warm_up: WarmUp
    bounds: Bounds
    entries: EntryCount
    slots: ColdSlots
    counts: Counter[str] = field(default_factory=Counter)

    def split(
        self,
        service: ServiceName,
        model: ModelName | None,
        candidates: Sequence[Candidate],
        now_s: float,
    ) -> tuple[Sequence[Candidate], list[Candidate]]:
        """Return the warm candidates, and the cold ones that hold the model, if any."""
        if self.warm_up.rule(service) is None:
            return candidates, []
        self.warm_up.observe(now_s)
        warm, cold = [], []
        for candidate in candidates:
            is_cold = self.warm_up.is_cold(candidate.server.server, now_s)
            if is_cold and (model is None or candidate.has_model):
                cold.append(replace(candidate, is_cold=True))
            else:
                warm.append(candidate)
        return warm, cold

    def choose(
        self,
        number: int,
        request: DispatchRequest,
        cold: Sequence[Candidate],
        has_agent: Callable[[ServerId], bool],
        max_wait_s: float,
        now_s: float,
    ) -> ColdOutcome:
        """Return what to do with a request that only cold servers can serve.

        Parameters
        ----------
        number : int
            Number of the exchange.
        request : DispatchRequest
        cold : sequence of Candidate
            Cold servers that hold the model, at least one.
        has_agent : callable
            Whether turns are requested from the agent of a server, which then limits
            the rate.
        max_wait_s : float
            How long the request may wait for a slot.
        now_s : float
            Monotonic time.
        """
        rule = self.warm_up.rule(cold[0].server.service)
        budget = self._budget(rule)
        waits_s = {
            candidate.server.server: self.slots.wait_s(
                candidate.server.server, number, budget, now_s
            )
            for candidate in cold
            if not has_agent(candidate.server.server)
        }
        ready = [
            candidate for candidate in cold if not waits_s.get(candidate.server.server)
        ]
        chosen = choose_server(request, ready)
        if is_successful(chosen):
            return self._send(number, chosen.unwrap(), waits_s, budget, now_s)
        later = [wait_s for wait_s in waits_s.values() if wait_s > 0]
        if later and min(later) <= max_wait_s:
            server = next(name for name in waits_s if waits_s[name] == min(later))
            self.counts["held"] += not self.slots.is_booked(number)
            self.slots.book(server, number, budget, now_s)
            return ColdOutcome()
        self.counts["refused"] += 1
        return ColdOutcome(refusal=self._refusal(chosen.failure(), cold, later, now_s))

    def _send(self, number, choice: ServerChoice, waits_s, budget, now_s: float):
        if choice.server in waits_s:
            self.slots.take(choice.server, number, budget, now_s)
            self.counts["share"] += 1
        return ColdOutcome(choice)

    def _refusal(self, failure, cold, later, now_s: float) -> Refusal:
        """Return a refusal until the first slot or the end of the cold time."""
        times_s = [self.warm_up.remaining_s(c.server.server, now_s) for c in cold]
        times_s += later
        if failure.reason is RefusalReason.QUEUE_FULL:
            times_s.append(failure.retry_after_s)
        retry_s = max(MIN_RETRY_AFTER_S, min(times_s))
        text = f"only cold servers are ready, the first one in {retry_s:.2f} s"
        return make_refusal(RefusalReason.QUEUE_FULL, text, retry_s)

    def _budget(self, rule: ServiceRule) -> ColdBudget:
        per_s = budget_per_s(rule.cold_per_s, rule.engine is not None, self.bounds)
        return ColdBudget(per_s, self.entries.share())

    def is_turn_usable(self, server, age_s: float) -> bool:
        """Return whether a turn that was granted that long ago may be used.

        The age counts also where the server seems warm: a process that was frozen does
        not know yet whether it became cold.

        Parameters
        ----------
        server : RegisteredServer or None
        age_s : float
            Upper bound for the time since the grant.
        """
        has_limit = server is not None and self.warm_up.rule(server.service) is not None
        if not has_limit or age_s <= MAX_TURN_AGE_S:
            return True
        self.counts["old_turn"] += 1
        return False


def make_cold_dispatch(
    warm_up: WarmUp, bounds: Bounds, address: str = "", clock_offset_s: float = 0.0
) -> ColdDispatch:
    """Return the decisions of an entry.

    Parameters
    ----------
    warm_up : WarmUp
    bounds : Bounds
    address : str
        Datagram address of the entry, under which its peers know it.
    clock_offset_s : float
        Wall-clock time minus monotonic time at the start of the process.
    """
    slots = make_cold_slots(clock_offset_s)
    return ColdDispatch(warm_up, bounds, make_entry_count(address), slots)
