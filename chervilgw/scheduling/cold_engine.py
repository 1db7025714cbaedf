"""Warm-up of an agent's engine, and the turns that the engine gets while it is cold."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServiceRule
from chervilgw.core.ids import RequestId, ServiceName
from chervilgw.core.messages import ReportSubscription
from chervilgw.routing.warm_up import ColdSource, ColdState, RunGaps
from chervilgw.scheduling.turn_pace import TurnPace, make_turn_pace

# Waits of granted turns are kept for repeated requests; turns end within 0.5 s.
_MAX_KEPT_WAITS = 256


@dataclass(frozen=True, slots=True)
class _ColdRule:
    start_s: float
    per_s: float


@dataclass(slots=True)
class ColdEngine:
    """Warm-up of one engine; see :func:`make_cold_engine`."""

    clock_offset_s: float
    _pace: TurnPace
    _is_configured: bool = False
    _rule: _ColdRule | None = None
    _state: ColdState | None = None
    _gaps: RunGaps = field(default_factory=RunGaps)
    _waits_s: dict[RequestId, float] = field(default_factory=dict)
    _was_cold: bool = False

    @property
    def has_rate(self) -> bool:
        """Return whether the engine's service has a cold rate."""
        return self._rule is not None

    def set_rules(
        self, services: Mapping[ServiceName, ServiceRule], service: ServiceName
    ) -> None:
        """Use the rule of the service, or that of the only one with engines."""
        rule = services.get(service)
        if rule is None:
            rules = [item for item in services.values() if item.engine]
            rule = rules[0] if len(rules) == 1 else None
        self._is_configured = rule is not None
        if rule is not None:
            self._set_rule(rule.cold_start_s, rule.cold_per_s)

    def _set_rule(self, start_s: float, per_s: float) -> None:
        self._rule = _ColdRule(start_s, per_s) if per_s > 0 else None

    def on_subscription(self, subscription: ReportSubscription, now_s: float) -> None:
        """Apply what an entry knows of the engine.

        Its rule counts until this process has read the configuration, which it cannot
        while the store is down.
        """
        if not self._is_configured:
            self._set_rule(subscription.cold_start_s, subscription.cold_per_s)
        self.on_stated(
            subscription.started_ms,
            ColdSource.SUBSCRIPTION,
            subscription.cold_s,
            now_s,
        )

    def on_stated(
        self, started_ms: int, source: ColdSource, cold_s: float | None, now_s: float
    ) -> None:
        """Apply a statement on one incarnation of the engine; 0 names none."""
        state = self._state
        if started_ms and (state is None or state.started_ms < started_ms):
            age_s = max(0.0, now_s + self.clock_offset_s - started_ms / 1000)
            state = self._state = ColdState(started_ms, now_s - age_s)
        if state is not None and state.started_ms == started_ms:
            state.on_stated(source, cold_s, now_s)

    def cold_s(self, now_s: float) -> float:
        """Return how much longer the engine is cold, 0 if it is warm."""
        if self._rule is None:
            return 0.0
        self._gaps.observe(now_s)
        if self._state is None:
            return self._rule.start_s
        remaining_s = self._state.remaining_s(self._rule.start_s, now_s)
        return max(remaining_s, self._gaps.doubt_s(self._state, now_s))

    def stated_s(self, now_s: float) -> float | None:
        """Return the remaining cold time for the entries, None if no source stated it.

        They derive it from the start themselves if this process's clock is wrong.
        """
        if self._rule is None or self._state is None or not self._state.is_stated:
            return None
        return self.cold_s(now_s)

    def turn_wait_s(self, now_s: float) -> float:
        """Return in how many seconds the engine may get a request, 0 if now."""
        return self.queue_wait_s(0, now_s)

    def queue_wait_s(self, waiting: int, now_s: float) -> float:
        """Return the wait for a turn behind a number of requests."""
        cold_s = self.cold_s(now_s)
        if not cold_s:
            return 0.0
        per_s = self._rule.per_s
        return min(cold_s, self._pace.wait_s(per_s, now_s) + waiting / per_s)

    def on_granted(self, turn: RequestId, waited_s: float, now_s: float) -> None:
        """Record a turn and how long its request waited, also while it is warm."""
        if self._rule is None:
            return
        self._pace.on_granted(now_s)
        if len(self._waits_s) >= _MAX_KEPT_WAITS:
            for former in list(self._waits_s)[: _MAX_KEPT_WAITS // 2]:
                del self._waits_s[former]
        self._waits_s[turn] = waited_s

    def waited_s(self, turn: RequestId) -> float:
        """Return how long the request of a turn waited, 0 if that is not known."""
        return self._waits_s.get(turn, 0.0)

    def changed(self, now_s: float) -> bool:
        """Return whether the engine became cold or warm since the last call."""
        is_cold = self.cold_s(now_s) > 0
        is_changed = is_cold != self._was_cold
        self._was_cold = is_cold
        return is_changed


def make_cold_engine(started_s: float, clock_offset_s: float) -> ColdEngine:
    """Return the state of an agent that does not know its engine yet.

    Parameters
    ----------
    started_s : float
        Monotonic time at which the agent started.
    clock_offset_s : float
        Wall-clock time minus monotonic time at that moment, so that later steps of the
        wall clock do not make a cold engine look old.
    """
    return ColdEngine(clock_offset_s, make_turn_pace(started_s))
