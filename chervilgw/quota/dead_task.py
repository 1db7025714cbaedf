"""Dead-entry task of the sidecar: reports the entries whose requests are refused."""

from __future__ import annotations

import time

from circuits import BaseComponent, handler

from chervilgw.configuration.freshness import MAX_CONFIRMATION_AGE_S
from chervilgw.core.ids import NO_OFFSET, Incarnation, Offset
from chervilgw.core.states import Role
from chervilgw.quota.errors import QuotaError
from chervilgw.quota.losses import EntryLosses
from chervilgw.quota.members import Members
from chervilgw.quota.records import record_from_mapping
from chervilgw.runtime.control_events import (
    dead_incarnations,
    ledger_status,
    recent_entry_loss,
)


class DeadTask(BaseComponent):
    """Dead-entry task; see :func:`make_dead_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._members = Members()
        self._offset = NO_OFFSET
        self._newest_offset = NO_OFFSET
        self._log_ok = False
        self._confirmed_s = float("-inf")
        self._gone: frozenset[Incarnation] = frozenset()
        self._published = None
        self._losses = EntryLosses()
        self._loss_until_s = self._losses.until_s

    @handler("log_page")
    def _on_page(self, stream, page, requested_s):
        self._log_ok = True
        for offset, time_ms, mapping in page.records:
            self._offset = Offset(offset)
            try:
                self._members.fold(self._offset, record_from_mapping(mapping))
            except QuotaError:
                continue
            if self._members.loss_offset == self._offset:
                age_s = max(0.0, time.time() - time_ms / 1000.0)
                self._losses.on_loss(time.monotonic() - age_s)
        if self._offset + 1 >= page.next_offset:
            self._losses.on_log_read()
            self._confirm(requested_s)
        self._publish_loss()
        self.fire(ledger_status(self._offset), "fleet")

    @handler("log_read_failed")
    def _on_failed(self, stream):
        self._log_ok = False
        self._losses.on_log_failed(time.monotonic())
        self._publish_loss()

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        if peer.role is Role.ENTRY:
            self._losses.on_loss(time.monotonic())
            self._publish_loss()

    @handler("log_expired")
    def _on_expired(self, stream, oldest):
        self._members.on_truncated(Offset(oldest))

    @handler("peer_heartbeat")
    def _on_heartbeat(self, peer, heartbeat, echoed_s):
        self._newest_offset = max(self._newest_offset, heartbeat.ledger_offset)
        # Without the log no death can be recorded, so a peer that has read no further
        # confirms the view. A process that started during the outage relies on the
        # platform's list.
        unread = self._offset == NO_OFFSET
        if echoed_s is not None and (unread or self._newest_offset <= self._offset):
            self._confirm(echoed_s)

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        if fleet.gone != self._gone:
            self._gone = fleet.gone
            self._publish()

    def _confirm(self, requested_s: float):
        self._confirmed_s = max(self._confirmed_s, requested_s)
        self._publish()

    def _publish_loss(self):
        if self._losses.until_s != self._loss_until_s:
            self._loss_until_s = self._losses.until_s
            self.fire(recent_entry_loss(self._loss_until_s), "engine")

    def _publish(self):
        dead = self._members.dead() | self._gone
        state = (dead, self._confirmed_s + MAX_CONFIRMATION_AGE_S)
        if state != self._published:
            self._published = state
            self.fire(dead_incarnations(*state), "*")


def make_dead_task(channel: str = "dead") -> DeadTask:
    """Return a dead-entry task.

    Parameters
    ----------
    channel : str
        Channel of the task.

    Returns
    -------
    DeadTask
    """
    return DeadTask(channel)
