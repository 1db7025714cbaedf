"""Whether a registration is that of the engine beside an agent."""

from __future__ import annotations


def is_registration_of_engine(claimed_ms: int, known_ms: int, engine_ms: int) -> bool:
    """Return whether an agent takes a registration for that of its engine.

    The engine itself states its start. Until it has, a later start replaces an earlier
    one; an entry of another writer can name any.

    Parameters
    ----------
    claimed_ms : int
        Start of the registered server.
    known_ms : int
        Start of the registration that the agent uses.
    engine_ms : int
        Start that the engine states, 0 while it is not known.

    Examples
    --------
    >>> is_registration_of_engine(claimed_ms=9, known_ms=5, engine_ms=0)
    True
    >>> is_registration_of_engine(claimed_ms=5, known_ms=9, engine_ms=5)
    True
    """
    if engine_ms:
        return claimed_ms == engine_ms
    return claimed_ms >= known_ms
