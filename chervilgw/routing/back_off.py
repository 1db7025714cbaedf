"""Backend servers that asked this process to send nothing for some time.

A server that refuses a request may say for how long it wants nothing from the process
that sent it. Other processes are not bound by that, so that it is not shared.
"""

from __future__ import annotations

from chervilgw.core.deployment import ServerId

# A server may ask for any time. Without a bound a single malformed answer would exclude
# it for good.
MAX_BACK_OFF_S = 600.0


class BackOffs:
    """Servers that get nothing for now; see :func:`make_back_offs`."""

    def __init__(self):
        self._until_s: dict[tuple[ServerId, int], float] = {}

    def on_refused(
        self,
        server: ServerId,
        started_ms: int,
        retry_after_s: float | None,
        now_s: float,
    ) -> float:
        """Record a refusal; return for how many seconds the server gets nothing.

        Parameters
        ----------
        server : ServerId
        started_ms : int
            Incarnation of the server. A later one may get requests at once.
        retry_after_s : float or None
            Time that the refusal names, or None. A shorter time than an earlier refusal
            named does not end the earlier one.
        now_s : float
            Monotonic time.
        """
        if retry_after_s is not None and retry_after_s > 0:
            until_s = now_s + min(retry_after_s, MAX_BACK_OFF_S)
            key = (server, started_ms)
            self._until_s[key] = max(until_s, self._until_s.get(key, until_s))
        return self.remaining_s(server, started_ms, now_s)

    def remaining_s(self, server: ServerId, started_ms: int, now_s: float) -> float:
        """Return for how many seconds the server gets nothing, 0 if it may get work."""
        until_s = self._until_s.get((server, started_ms))
        return 0.0 if until_s is None else max(0.0, until_s - now_s)

    def drop_past(self, now_s: float) -> None:
        """Drop the times that are past."""
        for key in [key for key, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[key]


def make_back_offs() -> BackOffs:
    """Return a record without refusals.

    Examples
    --------
    >>> back_offs = make_back_offs()
    >>> back_offs.on_refused(ServerId("i-1"), 7, 2.0, now_s=10.0)
    2.0
    >>> back_offs.remaining_s(ServerId("i-1"), 7, now_s=11.5)
    0.5
    >>> back_offs.remaining_s(ServerId("i-1"), 8, now_s=11.5)
    0.0
    """
    return BackOffs()
