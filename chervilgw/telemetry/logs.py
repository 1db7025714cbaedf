"""Writes log lines: JSON objects with an event name, without keys or prompts."""

from __future__ import annotations

import json
import logging as standard_logging
import math
import re
import traceback
from datetime import UTC, datetime
from enum import Enum
from typing import Any, TextIO

from absl import flags, logging

from chervilgw.core.errors import ChervilError

# Names of fields that would hold callers' secrets or content.
REFUSED_FIELDS = frozenset(
    {"key", "api_key", "prompt", "messages", "authorization", "body", "secret"}
)

_RESERVED = frozenset({"time", "level", "event"})
_KEY_PATTERN = re.compile(r"cgw_([0-9A-Za-z]{1,32})_[0-9A-Za-z_-]+")
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LogFieldError(ChervilError):
    """A log field has a name that is not allowed."""


def redact(text: str) -> str:
    """Return the text with the secret part of every key replaced.

    Examples
    --------
    >>> redact("key cgw_ab12_0123456789abcdef was used")
    'key cgw_ab12_[redacted] was used'
    """
    return _KEY_PATTERN.sub(r"cgw_\1_[redacted]", text)


def log_event(event: str, /, *, level: str = "info", **fields: Any) -> None:
    """Write one log line.

    Parameters
    ----------
    event : str
        Name of the event in lower case with underscores.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    **fields
        Values, with units in the names (``_s``, ``_ms``, ``_tokens``, ``_bytes``).

    Raises
    ------
    LogFieldError
        If a field's name is reserved or stands for a key, a prompt or a body. Raised
        also for levels that are not written, so that tests find it.
    """
    forbidden = {name for name in fields if name.lower() in REFUSED_FIELDS | _RESERVED}
    if forbidden:
        raise LogFieldError(f"fields {sorted(forbidden)} must not be logged")
    priority = _LEVELS[level]
    if logging.level_debug() or logging.get_verbosity() >= priority:
        logging.get_absl_logger().log(
            logging.converter.absl_to_standard(priority),
            event,
            extra={"chervil_fields": fields},
        )


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON line; other libraries' records get event ``log``."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        fields = getattr(record, "chervil_fields", None)
        line: dict[str, Any] = {
            "time": _format_rfc3339(record.created),
            "level": record.levelname.lower(),
        }
        if fields is None:
            line |= {"event": "log", "message": _format_message(record)}
        else:
            line |= {"event": record.msg, **fields}
        if record.exc_info:
            line["exception"] = "".join(traceback.format_exception(*record.exc_info))
        return json.dumps(_to_loggable(line), ensure_ascii=False)


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
    """Make absl's handler write JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    stream : text file or None
        Output; None stands for standard error.
    """
    if not flags.FLAGS.is_parsed():
        # The process defines no absl flags, but absl warns if they are not parsed.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter())
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
    logging.set_verbosity(_LEVELS[level])


def _format_rfc3339(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _format_message(record: standard_logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except (TypeError, ValueError):
        return str(record.msg)


def _to_loggable(value: Any) -> Any:
    """Return a JSON value with keys redacted and refused fields' values replaced."""
    if isinstance(value, dict):
        return {
            redact(str(name)): "[refused]"
            if str(name).lower() in REFUSED_FIELDS
            else _to_loggable(item)
            for name, item in value.items()
        }
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_to_loggable(item) for item in value]
    if isinstance(value, Enum):
        return _to_loggable(value.value)
    if value is None or isinstance(value, (bool, int)):
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    return redact(str(value))
