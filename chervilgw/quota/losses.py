"""How long the loss of an entry may keep fleet-wide permits out of use."""

from __future__ import annotations

LOSS_MATTERS_S = 120.0
"""Time after a loss in which permits may be missing. A collection brings a lost entry's
units back within the list's delay and the settling time, 40 s for counts; a collection
that has to be repeated takes longer."""


class EntryLosses:
    """Losses of entries, as one sidecar knows them.

    A sidecar that started after the loss saw no connection end, so it takes the loss
    from the log. While the log cannot be read nothing collects the units: a loss then
    matters for as long as the outage lasts, and a sidecar that never read the log
    cannot rule one out.

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
        """Note that an entry was lost, now or at an earlier time."""
        self.until_s = max(self.until_s, at_s + LOSS_MATTERS_S)

    def on_log_read(self) -> None:
        """Note that the records of the stream ``shares`` were read to their end."""
        self._log_was_read = True

    def on_log_failed(self, now_s: float) -> None:
        """Note that the stream ``shares`` could not be read."""
        if not self._log_was_read or now_s <= self.until_s:
            self.on_loss(now_s)
