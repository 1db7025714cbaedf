"""Events between the control tasks: configuration, fleet view, quota, crashes.

``config_applied``, ``config_fresh`` and ``fleet_changed`` go to all tasks and carry
immutable values, so that a task decides on its own copy.
"""

from __future__ import annotations

from circuits import Event


class config_applied(Event):  # noqa: N801
    """The configuration moved forward: ``ConfigurationState``."""


class config_fresh(Event):  # noqa: N801
    """The configuration may be used until this monotonic time in seconds."""


class config_submit(Event):  # noqa: N801
    """Submit a change: ``Change``, channel for ``config_decided``."""


class config_decided(Event):  # noqa: N801
    """Outcome of a submitted change: ``Accepted``, ``Rejected`` or ``Undecided``."""


class fleet_changed(Event):  # noqa: N801
    """New fleet view: ``FleetSnapshot``."""


class peer_heartbeat(Event):  # noqa: N801
    """Heartbeat of a peer: ``Peer``, ``Heartbeat``, when this process sent its echo."""


class load_changed(Event):  # noqa: N801
    """Load of this sidecar: ``Load``."""


class control_status(Event):  # noqa: N801
    """What heartbeats carry of the configuration: offset, time of confirmation."""


class ledger_status(Event):  # noqa: N801
    """What heartbeats carry of the share ledger: offset."""


class dead_incarnations(Event):  # noqa: N801
    """Entries whose requests are refused: frozenset, until when it is confirmed."""


class recent_entry_loss(Event):  # noqa: N801
    """Permits may be missing after the loss of an entry: until when, in seconds."""


class quota_ready(Event):  # noqa: N801
    """The entry holds its shares, or has waited for them long enough."""


class quota_reserve(Event):  # noqa: N801
    """Reserve an amount: token, budget, amount, reply channel."""


class quota_granted(Event):  # noqa: N801
    """The reservation was granted: token, ``Debit``."""


class quota_denied(Event):  # noqa: N801
    """The reservation was denied: token, ``Refusal``."""


class quota_started(Event):  # noqa: N801
    """The run of a debit has started: ``Debit``."""


class quota_settle(Event):  # noqa: N801
    """The run of a debit has ended: ``Debit``, used amount."""


class quota_cancel(Event):  # noqa: N801
    """A debit was certainly not run: ``Debit``."""


class drain(Event):  # noqa: N801
    """The process is leaving: accept no new work and finish what is running."""


class drained(Event):  # noqa: N801
    """A task has finished its work after ``drain``: name of the task."""


class crash_seen(Event):  # noqa: N801
    """A backend server crashed, as this process saw: ``CrashReport``."""


class crash_known(Event):  # noqa: N801
    """A crash that this process learned of, once each: ``CrashReport``."""


class quota_abandon(Event):  # noqa: N801
    """Nobody needs a waiting reservation any more: token, budget."""


class admin_request(Event):  # noqa: N801
    """A request to the operators' interface: ``HttpRequest``."""
