"""How long fleet-wide permits may be missing after the loss of an entry."""

from __future__ import annotations

# Time after a loss in which permits may be missing. A collection restores the units of
# a lost entry within the delay of the platform's list and the settling time, together
# 40 s for counts; a collection that is repeated takes longer.
PERMIT_RECOVERY_S = 120.0


class EntryLosses:
    """Losses of entries that one sidecar has recorded.

    A sidecar that started after the loss saw no connection end, so it reads the loss
    from the log. During an outage of the log no units are collected: a loss then
    matters until the outage ends, and a sidecar that never read the log assumes one.

    Examples
    --------
    >>> losses = EntryLosses()
    >>> losses.on_log_read()
    >>> losses.until_s
    -inf
    >>> losses.on_loss(10.0)
    >>> losses.until_s
    130.0
    """

    def __init__(self) -> None:
        self.until_s = float("-inf")
        self._log_was_read = False

    def on_loss(self, at_s: float) -> None:
        """Record the loss of an entry, now or at an earlier time."""
        self.until_s = max(self.until_s, at_s + PERMIT_RECOVERY_S)

    def on_log_read(self) -> None:
        """Record that the stream ``shares`` was read to its end."""
        self._log_was_read = True

    def on_log_failed(self, now_s: float) -> None:
        """Extend a loss while the stream ``shares`` cannot be read."""
        if not self._log_was_read or now_s <= self.until_s:
            self.on_loss(now_s)
