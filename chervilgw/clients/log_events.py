"""Events between the log task and the tasks that fold a stream."""

from __future__ import annotations

from circuits import Event


class log_page(Event):  # noqa: N801
    """Records were read: ``Stream``, ``LogPage``, when the read was sent."""


class log_expired(Event):  # noqa: N801
    """Records before ``oldest`` are gone: ``Stream``, offset of the oldest."""


class log_read_failed(Event):  # noqa: N801
    """A read failed: ``Stream``."""


class log_append(Event):  # noqa: N801
    """Append records: token, ``Stream``, list of records, reply channel."""


class log_appended(Event):  # noqa: N801
    """Result of an append: token, ``Stream``, ``AppendOutcome``."""
