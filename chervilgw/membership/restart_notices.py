"""When an agent tells the entries that its engine has started anew.

The entries read the list of servers about once a second. Until they have read the entry
of an engine that restarted, they can neither send requests to it nor plan its models.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId

# An engine registers within a second of its start; an entry that does not read the
# registration is told for this long, at this interval.
NOTICE_DURATION_S = 3.0
NOTICE_INTERVAL_S = 0.3


@dataclass(slots=True)
class RestartNotices:
    """Notices of one agent; see :func:`make_restart_notices`.

    ``_known`` maps the address of an entry to the server and the start that its last
    subscription named.
    """

    _known: dict[str, tuple[ServerId, int]] = field(default_factory=dict)
    _started_ms: int = 0
    _since_s: float = 0.0
    _notified_s: float = float("-inf")

    def on_subscription(self, address: str, server: ServerId, started_ms: int) -> None:
        """Record which start of the engine an entry knows."""
        self._known[address] = (server, started_ms)

    def drop(self, address: str) -> None:
        """Drop an entry whose subscription has ended."""
        self._known.pop(address, None)

    def take_due(self, started_ms: int, now_s: float) -> dict[str, ServerId]:
        """Return the entries to notify now, with the server that each of them knows.

        Parameters
        ----------
        started_ms : int
            Start of the engine that answers.
        now_s : float
            Monotonic time.
        """
        if started_ms > self._started_ms:
            self._started_ms, self._since_s = started_ms, now_s
        is_over = now_s - self._since_s >= NOTICE_DURATION_S
        if is_over or now_s - self._notified_s < NOTICE_INTERVAL_S:
            return {}
        outdated = {
            address: server
            for address, (server, known_ms) in self._known.items()
            if known_ms < started_ms
        }
        if outdated:
            self._notified_s = now_s
        return outdated


def make_restart_notices() -> RestartNotices:
    """Return the notices of an agent without subscriptions.

    Examples
    --------
    >>> notices = make_restart_notices()
    >>> notices.on_subscription("10.0.0.1:7600", ServerId("i-1"), 1_000)
    >>> notices.take_due(1_000, now_s=1.0)
    {}
    >>> [len(notices.take_due(2_000, now_s=at_s)) for at_s in (5.0, 5.1, 5.4, 8.1)]
    [1, 0, 1, 0]
    """
    return RestartNotices()
