"""Dead-entry task of the sidecar: knows which entries' requests must be refused."""

from __future__ import annotations

from circuits import BaseComponent, handler

from chervilgw.core.ids import NO_OFFSET, Offset
from chervilgw.quota.errors import QuotaError
from chervilgw.quota.members import Members
from chervilgw.quota.records import record_from_mapping
from chervilgw.runtime.control_events import dead_incarnations, ledger_status


class DeadTask(BaseComponent):
    """Dead-entry task; see :func:`make_dead_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._members = Members()
        self._offset = NO_OFFSET
        self._log_ok = False
        self._newest = NO_OFFSET
        self._published = None

    @handler("log_page")
    def _on_page(self, stream, page, asked_s):
        self._log_ok = True
        for offset, _, mapping in page.records:
            self._offset = Offset(offset)
            try:
                self._members.fold(self._offset, record_from_mapping(mapping))
            except QuotaError:
                continue
        self._publish()

    @handler("log_failed")
    def _on_failed(self, stream):
        self._log_ok = False
        self._publish()

    @handler("log_expired")
    def _on_expired(self, stream, oldest):
        self._members.truncated(Offset(oldest))

    @handler("peer_heartbeat")
    def _on_heartbeat(self, peer, heartbeat, echoed_s):
        self._newest = max(self._newest, heartbeat.ledger_offset)
        self._publish()

    def _publish(self):
        # Without the log, a peer that has read further may know of an entry's death
        # that this process does not know of.
        behind = not self._log_ok and self._newest > self._offset
        state = (self._members.dead(), behind)
        if state != self._published:
            self._published = state
            self.fire(dead_incarnations(*state), "*")
            self.fire(ledger_status(self._offset), "fleet")


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
