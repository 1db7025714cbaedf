"""Whether an entry that has just started knows an older configuration than its peers.

It reads its first configuration from the store. If the store has just come back from a
copy, that one may lack what the peers have acknowledged, such as a withdrawn key.
"""

from __future__ import annotations

from dataclasses import dataclass

# The operators have written again by then what the copy lacks. After it the entry
# serves what it knows, as its peers may hold a version that was given up.
MAX_LAG_S = 10.0


@dataclass(slots=True)
class ConfigurationLag:
    """Versions in force at peers; see :func:`make_configuration_lag`."""

    _started_s: float
    _peer_version: int = -1

    def on_peer(self, version: int) -> bool:
        """Record the version that a peer has in force; return whether it is news."""
        is_news = version > self._peer_version
        self._peer_version = max(self._peer_version, version)
        return is_news

    def is_behind(self, version: int, now_s: float) -> bool:
        """Return whether requests have to wait for a newer configuration.

        Parameters
        ----------
        version : int
            Version that this entry has in force.
        now_s : float
            Monotonic time.
        """
        has_just_started = now_s - self._started_s < MAX_LAG_S
        return has_just_started and version < self._peer_version


def make_configuration_lag(started_s: float) -> ConfigurationLag:
    """Return the lag of an entry that has heard no peer.

    Parameters
    ----------
    started_s : float
        Monotonic time at which the entry started.

    Examples
    --------
    >>> lag = make_configuration_lag(100.0)
    >>> lag.on_peer(7)
    True
    >>> lag.is_behind(6, 101.0), lag.is_behind(7, 101.0), lag.is_behind(6, 111.0)
    (True, False, False)
    """
    return ConfigurationLag(started_s)
