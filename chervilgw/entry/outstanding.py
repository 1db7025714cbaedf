"""Counts attempts sent to each backend server since its last load report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import VmId

# Times computed from the same report at two moments differ only by rounding.
REPORT_TIME_TOLERANCE_S = 0.01


class Outstanding:
    """Attempt counts by VM; see :func:`make_outstanding`.

    A count is negative if more attempts ended than were sent since the last report,
    which still includes those that ended.
    """

    def __init__(self) -> None:
        self.counts: Counter[VmId] = Counter()
        self._report_times_s: dict[VmId, float] = {}

    def record_sent(self, vm: VmId) -> None:
        """Count an attempt that was sent."""
        self.counts[vm] += 1

    def record_ended(self, vm: VmId) -> None:
        """Subtract an attempt that ended, since the last report may include it."""
        self.counts[vm] -= 1

    def on_servers(self, servers: Iterable[ServerView], now_s: float) -> None:
        """Reset the counts of servers with a newer report, which includes them.

        Parameters
        ----------
        servers : iterable of ServerView
            Fleet view.
        now_s : float
            Time of the view.
        """
        for server in servers:
            report_time_s = now_s - server.load_age_s
            if (
                report_time_s
                > self._report_times_s.get(server.vm, 0.0) + REPORT_TIME_TOLERANCE_S
            ):
                self._report_times_s[server.vm] = report_time_s
                self.counts[server.vm] = 0


def make_outstanding() -> Outstanding:
    """Return counters at zero.

    Returns
    -------
    Outstanding

    Examples
    --------
    >>> outstanding = make_outstanding()
    >>> outstanding.record_sent(VmId("b1"))
    >>> outstanding.counts["b1"]
    1
    """
    return Outstanding()
