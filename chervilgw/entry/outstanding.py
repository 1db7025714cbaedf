"""What this entry sent to each backend server since the server's last load report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import VmId

# Ages of the same report, taken at two moments, differ by rounding only.
HEARD_TOLERANCE_S = 0.01


class Outstanding:
    """Counts of attempts by VM; see :func:`make_outstanding`.

    A count is negative if more attempts ended than were sent since the report, which
    still counts those that ended.
    """

    def __init__(self) -> None:
        self.counts: Counter[VmId] = Counter()
        self._heard_s: dict[VmId, float] = {}

    def record_sent(self, vm: VmId) -> None:
        """Count an attempt."""
        self.counts[vm] += 1

    def record_ended(self, vm: VmId) -> None:
        """Take an attempt back; a later report no longer counts it."""
        self.counts[vm] -= 1

    def on_servers(self, servers: Iterable[ServerView], now_s: float) -> None:
        """Start to count anew for servers with a newer report, which counts the rest.

        Parameters
        ----------
        servers : iterable of ServerView
            Fleet view.
        now_s : float
            Time of the view.
        """
        for server in servers:
            heard_s = now_s - server.load_age_s
            if heard_s > self._heard_s.get(server.vm, 0.0) + HEARD_TOLERANCE_S:
                self._heard_s[server.vm] = heard_s
                self.counts[server.vm] = 0


def make_outstanding() -> Outstanding:
    """Return counts of zero.

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
