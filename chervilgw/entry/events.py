"""Events between the entry's tasks."""

from __future__ import annotations

from circuits import Event


class request_priced(Event):  # noqa: N801
    """A request passed the front task's filters: ``Priced``, request id."""


class caller_gone(Event):  # noqa: N801
    """The caller of an unfinished exchange disconnected: exchange number."""


class front_closed(Event):  # noqa: N801
    """The front task will send no further requests."""
