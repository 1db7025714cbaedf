"""Log lines: one JSON object with one event name each, free of keys and prompts."""

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

REFUSED_FIELDS = frozenset(
    {"key", "api_key", "prompt", "messages", "authorization", "body", "secret"}
)
"""Field names that stand for callers' secrets or content."""

_RESERVED = frozenset({"time", "level", "event"})
_KEY = re.compile(r"cgw_([0-9A-Za-z]{1,32})_[0-9A-Za-z_-]+")
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LogFieldError(ChervilError):
    """A field that must not be logged."""


def redact(text: str) -> str:
    """Return the text with the secret part of each key replaced.

    Examples
    --------
    >>> redact("key cgw_ab12_0123456789abcdef was used")
    'key cgw_ab12_[redacted] was used'
    """
    return _KEY.sub(r"cgw_\1_[redacted]", text)


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
        If a field's name stands for a key, a prompt or a body; also when the level is
        not written, so that a test finds it.
    """
    wrong = {name for name in fields if name.lower() in REFUSED_FIELDS | _RESERVED}
    if wrong:
        raise LogFieldError(f"fields {sorted(wrong)} must not be logged")
    priority = _LEVELS[level]
    if logging.level_debug() or logging.get_verbosity() >= priority:
        logging.get_absl_logger().log(
            logging.converter.absl_to_standard(priority),
            event,
            extra={"chervil_fields": fields},
        )


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON line; other libraries' records become ``log``."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        fields = getattr(record, "chervil_fields", None)
        line: dict[str, Any] = {
            "time": _rfc3339(record.created),
            "level": record.levelname.lower(),
        }
        if fields is None:
            line |= {"event": "log", "message": _message(record)}
        else:
            line |= {"event": record.msg, **fields}
        if record.exc_info:
            line["exception"] = "".join(traceback.format_exception(*record.exc_info))
        return json.dumps(_clean(line), ensure_ascii=False)


def configure_logs(level: str = "info", stream: TextIO | None = None) -> None:
    """Make absl's handler write JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    stream : text file or None
        Where to; None stands for standard error.
    """
    if not flags.FLAGS.is_parsed():
        # The daemon has no absl flags; unparsed ones make absl print a warning line.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter())
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
    logging.set_verbosity(_LEVELS[level])


def _rfc3339(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _message(record: standard_logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except (TypeError, ValueError):
        return str(record.msg)


def _clean(value: Any) -> Any:
    """Return a value that JSON can hold, with keys redacted and fields refused."""
    if isinstance(value, dict):
        return {
            redact(str(name)): "[refused]"
            if str(name).lower() in REFUSED_FIELDS
            else _clean(each)
            for name, each in value.items()
        }
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_clean(each) for each in value]
    if isinstance(value, Enum):
        return _clean(value.value)
    if value is None or isinstance(value, (bool, int)):
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    return redact(str(value))
