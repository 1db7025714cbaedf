"""Events between the sidecar's tasks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from circuits import Event


@dataclass(frozen=True, slots=True)
class EngineView:
    """Snapshot of the engine's memory.

    ``resident`` maps a model or adapter name to a copy state value; a name counts as
    loaded if any of its versions is.
    """

    up: bool = False
    capacity_bytes: int = 0
    free_bytes: int = 0
    resident: Mapping[str, str] = field(default_factory=dict)


class engine_view(Event):  # noqa: N801
    """The engine's state or copies changed: ``EngineView``."""


class engine_load_request(Event):  # noqa: N801
    """Queued requests need these models and adapters loaded: tuple of names."""


class engine_retire(Event):  # noqa: N801
    """Stop starting requests on a copy, so that it can be unloaded: name."""


class engine_retired(Event):  # noqa: N801
    """Result of ``engine_retire``: name, whether no request uses the copy."""


class engine_probe(Event):  # noqa: N801
    """A call to the engine was interrupted; check whether the engine crashed."""


class engine_probe_result(Event):  # noqa: N801
    """Result of ``engine_probe``: id of the crash, or None if the engine is alive."""


class permits_granted(Event):  # noqa: N801
    """Messages about permits: list of ``PermitGrant``."""


class run_booking(Event):  # noqa: N801
    """The booking task allows an attempt to run: request id."""


class answer_booking(Event):  # noqa: N801
    """The booking task answers an attempt from its records: request id, answer."""


class refuse_booking(Event):  # noqa: N801
    """The booking task refuses an attempt: request id, ``Refusal``."""


class booking_request(Event):  # noqa: N801
    """Request to run a booking with an idempotency key: ``Dispatch``."""


class booking_finished(Event):  # noqa: N801
    """The service answered an attempt: request id, status, headers, body."""


class booking_lost(Event):  # noqa: N801
    """The service gave no answer: request id, ``Refusal``.

    The booking task answers with ``refuse_booking``.
    """


class attempt_arrived(Event):  # noqa: N801
    """A new attempt arrived: ``Dispatch``."""


class attempt_cancelled(Event):  # noqa: N801
    """The entry cancels an attempt: request id."""


class attempt_answer(Event):  # noqa: N801
    """Store messages of attempts, in order, and send them to their entries."""


class attempt_resend(Event):  # noqa: N801
    """Send an attempt's stored messages again: request id."""


class run_begin(Event):  # noqa: N801
    """Run an attempt now: ``Dispatch``."""


class run_stop(Event):  # noqa: N801
    """Stop a run at an engine or of an idempotent call: request id, reason."""


class suspect_passed(Event):  # noqa: N801
    """A suspect produced tokens past the point of the crash: request id."""


class run_ended(Event):  # noqa: N801
    """A run has ended: request id, tokens that it used."""


class service_refuses(Event):  # noqa: N801
    """The plain service refused a connection."""


class service_answers(Event):  # noqa: N801
    """The plain service answered."""
