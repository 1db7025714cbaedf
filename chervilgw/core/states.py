"""Enumerations shared by several layers."""

from __future__ import annotations

from enum import Enum, IntEnum


class Role(Enum):
    """Role of a daemon process."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class VmState(Enum):
    """State of a VM as seen by its peers."""

    LIVE = "live"
    DRAINING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class RunState(Enum):
    """Whether a request without a complete answer was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"


class Urgency(IntEnum):
    """Urgency class of a request; a lower number is served first."""

    INTERACTIVE = 0
    STANDARD = 1
    OVERNIGHT = 2


class BackendKind(Enum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class CopyState(Enum):
    """State of one model copy on one backend server."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class RefusalReason(Enum):
    """Reason code of a refusal, visible to callers and operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    NO_KEY = "no_key"
    WRONG_KEY = "wrong_key"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    RATE_EXCEEDED = "rate_exceeded"
    LARGER_THAN_BURST = "larger_than_burst"
    REQUEST_TOO_LARGE = "request_too_large"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_BACKEND_SERVER = "no_backend_server"
    MODEL_NOT_LOADED = "model_not_loaded"
    NO_ROOM = "no_room"
    CONFIGURATION_STALE = "configuration_stale"
    DRAINING = "leaving"
    BLOCKED_AFTER_CRASHES = "blocked_after_crashes"
    SUSPECT_BUSY = "suspect_busy"
    LOG_UNAVAILABLE = "log_unavailable"
    DUPLICATE_REQUEST = "duplicate_request"
    BACKEND_LOST = "backend_lost"
    BACKEND_ERROR = "backend_error"
    DEAD_ORIGIN = "dead_origin"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    CONFLICT = "conflict"
    CANCELLED = "cancelled"
