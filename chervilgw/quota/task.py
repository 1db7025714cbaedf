"""Quota task of an entry: owns its share ledger and the permits for sidecars."""

from __future__ import annotations

import time
from itertools import count

from circuits import BaseComponent, Event, handler

from chervilgw.clients.log import Stream
from chervilgw.clients.log_events import log_append
from chervilgw.configuration.lookups import defaults
from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import PermitRelease, PermitRequest
from chervilgw.core.states import Role
from chervilgw.quota.budget_names import (
    ADAPTER_STARTS_AT_ONCE,
    STORE_LOADS_AT_ONCE,
    STORE_LOADS_PER_S,
    customer_budget,
)
from chervilgw.quota.errors import QuotaError
from chervilgw.quota.ledger import make_quota
from chervilgw.quota.permits import make_permits
from chervilgw.quota.records import (
    Append,
    Denied,
    Granted,
    Output,
    Send,
    UnitsChanged,
    record_from_mapping,
    record_to_mapping,
)
from chervilgw.runtime.control_events import (
    drained,
    ledger_status,
    quota_denied,
    quota_granted,
    quota_ready,
)
from chervilgw.runtime.events import peer_send
from chervilgw.telemetry import Metrics, table

# Longest time that a planned stop waits for peers to accept the share units.
MAX_HAND_OVER_S = 5.0


class QuotaTask(BaseComponent):
    """Quota task; see :func:`make_quota_task`."""

    def __init__(self, local: Incarnation, metrics: Metrics, channel):
        super().__init__(channel=channel)
        self._local = local
        self._metrics = metrics
        self._quota = make_quota(local, time.monotonic())
        self._permits = make_permits(self._quota)
        self._reply_to: dict[str, str] = {}
        self._budgets: dict[BudgetName, tuple] = {}
        self._peers: set[Incarnation] = set()
        self._numbers = count(1)
        self._draining_since_s: float | None = None
        self._drained = False
        self._config_until_s = float("-inf")
        self._supplied = False

    @handler("quota_reserve")
    def _on_reserve(self, token, budget, amount, reply_to):
        self._reply_to[token] = reply_to
        now_s = time.monotonic()
        self._perform(self._quota.reserve(token, budget, amount, now_s), now_s)

    @handler("quota_started")
    def _on_started(self, debit):
        self._quota.confirm_start(debit, time.monotonic())

    @handler("quota_settle")
    def _on_settle(self, debit, used):
        now_s = time.monotonic()
        self._perform(self._quota.settle(debit, used, now_s), now_s)

    @handler("quota_cancel")
    def _on_cancel(self, debit):
        now_s = time.monotonic()
        self._perform(self._quota.cancel(debit, now_s), now_s)

    @handler("quota_abandon")
    def _on_abandon(self, token, budget):
        self._reply_to.pop(token, None)
        self._quota.abandon(token, budget)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._perform(self._quota.tick(now_s), now_s)
        self._perform(self._permits.tick(now_s), now_s)
        self._check_drained(now_s)
        self._check_supplied(now_s)

    def _check_supplied(self, now_s):
        # An unconfirmed configuration may still lack budgets.
        confirmed = now_s <= self._config_until_s
        if not self._supplied and confirmed and self._quota.is_supplied(now_s):
            self._supplied = True
            self.fire(quota_ready(), "front")

    @handler("config_fresh", channel="*")
    def _on_fresh(self, until_s):
        self._config_until_s = until_s

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        now_s = time.monotonic()
        for message in messages:
            if isinstance(message, PermitRequest):
                outputs = self._permits.on_request(peer.incarnation, message, now_s)
            elif isinstance(message, PermitRelease):
                outputs = self._permits.on_release(peer.incarnation, message, now_s)
            else:
                outputs = self._quota.on_message(peer.incarnation, message, now_s)
            self._perform(outputs, now_s)

    @handler("log_page")
    def _on_page(self, stream, page, requested_s):
        now_s = time.monotonic()
        for offset, _, mapping in page.records:
            try:
                record = record_from_mapping(mapping)
            except QuotaError:
                continue
            outputs = self._quota.on_record(Offset(offset), record, now_s)
            self._perform(outputs, now_s)
        if page.records:
            self.fire(ledger_status(Offset(page.records[-1][0])), "fleet")

    @handler("log_expired")
    def _on_expired(self, stream, oldest):
        self._quota.on_log_truncated(Offset(oldest))

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        if peer.role is Role.ENTRY:
            self._peers.add(peer.incarnation)
            self._quota.set_peers(self._peers)
        else:
            self._permits.on_connected(peer.incarnation)

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        self._peers.discard(peer.incarnation)
        self._quota.set_peers(self._peers)
        if peer.role is not Role.ENTRY:
            self._permits.on_disconnected(peer.incarnation, time.monotonic())

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        self._quota.set_gone(fleet.gone)
        self._permits.set_gone(fleet.gone, time.monotonic())
        entries = {entry.incarnation for entry in fleet.entries}
        if fleet.complete and entries - {self._local} <= self._peers:
            self._quota.confirm_members()

    @handler("config_applied", channel="*")
    def _on_config(self, state: ConfigurationState):
        now_s = time.monotonic()
        configured = configured_budgets(state)
        for budget in self._budgets.keys() - configured.keys():
            self._perform(self._quota.remove_budget(budget, now_s), now_s)
        for budget, limits in configured.items():
            if self._budgets.get(budget) == limits:
                continue
            if len(limits) == 2:
                self._quota.set_budget(budget, *limits, now_s)
            else:
                self._quota.set_count_budget(budget, *limits, now_s)
        self._budgets = configured

    def _perform(self, outputs: list[Output], now_s: float):
        for output in self._permits.filter_outputs(outputs, now_s):
            match output:
                case Granted(token, debit):
                    self._answer(token, quota_granted(token, debit))
                case Denied(token, refusal):
                    self._answer(token, quota_denied(token, refusal))
                case Send(to, message):
                    self.fire(peer_send(to, message), "links")
                case Append(record):
                    token = f"shares-{next(self._numbers)}"
                    records = [record_to_mapping(record)]
                    append = log_append(token, Stream.SHARES, records, self.channel)
                    self.fire(append, "log")
                case UnitsChanged(budget, units):
                    self._metrics.record(table.SHARE_UNITS_HELD, units, budget)

    def _answer(self, token, event):
        reply_to = self._reply_to.pop(token, None)
        if reply_to is not None:
            self.fire(event, reply_to)
        elif isinstance(event, quota_granted):
            # The caller abandoned the reservation in the meantime.
            self.fire(quota_cancel_unclaimed(event.args[1]), self.channel)

    @handler("quota_cancel_unclaimed")
    def _on_cancel_own(self, debit):
        self._on_cancel(debit)

    @handler("quota_hand_over")
    def _on_hand_over(self):
        if self._draining_since_s is None:
            now_s = self._draining_since_s = time.monotonic()
            self._perform(self._quota.hand_over(now_s), now_s)

    def _check_drained(self, now_s):
        if self._draining_since_s is None or self._drained:
            return
        waited_s = now_s - self._draining_since_s
        if self._quota.handed_over or not self._peers or waited_s > MAX_HAND_OVER_S:
            self._drained = True
            self.fire(drained("quota"), "role")


class quota_cancel_unclaimed(Event):  # noqa: N801
    """Cancel a grant whose reservation was abandoned: ``Debit``."""


class quota_hand_over(Event):  # noqa: N801
    """Transfer all share units to peers, after the last request has ended."""


def configured_budgets(state: ConfigurationState) -> dict[BudgetName, tuple]:
    """Return the budgets that a configuration defines.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.

    Returns
    -------
    dict of BudgetName to tuple
        Rate and burst of a rate budget, or the count of a count budget.
    """
    values = defaults(state)
    budgets: dict[BudgetName, tuple] = {
        # With a burst of one load every window stays within the store's limit.
        STORE_LOADS_PER_S: (values.store_loads_per_s, 1.0),
        STORE_LOADS_AT_ONCE: (values.store_loads_at_once,),
        ADAPTER_STARTS_AT_ONCE: (values.adapter_cold_starts_at_once,),
    }
    for name, item in state.items[Kind.CUSTOMER].items():
        limits = (item.value.rate_tokens_per_s, float(item.value.burst_tokens))
        budgets[customer_budget(name)] = limits
    return budgets


def make_quota_task(
    local: Incarnation, metrics: Metrics, channel: str = "quota"
) -> QuotaTask:
    """Return a quota task.

    Parameters
    ----------
    local : Incarnation
        This process.
    metrics : Metrics
        Registry of the task's metrics.
    channel : str
        Channel of the task.

    Returns
    -------
    QuotaTask
    """
    return QuotaTask(local, metrics, channel)
