"""Decoding of the platform's settings file into :class:`VmSettings`."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from pydantic import ValidationError

from chervilgw.platform.errors import DecodeError
from chervilgw.platform.records import describe
from chervilgw.settings.vm import Bounds, StoreSettings, VmSettings

BOOT_VARIABLE = "CHERVILGW_BOOT"
DEFAULT_BOOT_PATH = "/etc/chervilgw/boot.conf"

# Maps a field of `Bounds` to the platform's name and the factor to the field's unit.
_BOUND_FIELDS = {
    "grace_s": ("grace_s", 1.0),
    "drain_s": ("drain_ms", 0.001),
    "configuration_deadline_s": ("config_deadline_ms", 0.001),
    "quota_window_s": ("quota_window_s", 1.0),
    "quota_over_tokens": ("quota_slack", 1.0),
    "retry_ratio": ("budget_ratio", 1.0),
    "retry_window_s": ("budget_window_s", 1.0),
    "retry_slack": ("budget_slack", 1.0),
    "load_window_s": ("ceiling_window_s", 1.0),
    "load_excess": ("ceiling_over", 1.0),
    "evacuation_deadline_s": ("evac_ms", 0.001),
    "cold_excess": ("cold_over", 1.0),
    "cold_slack": ("cold_slack", 1.0),
}


def boot_path() -> Path:
    """Return the path of this process's settings file."""
    return Path(os.environ.get(BOOT_VARIABLE) or DEFAULT_BOOT_PATH)


def parse_lines(text: str) -> dict[str, str]:
    r"""Return the fields of a settings file with lines of the form ``a.b=value``.

    Examples
    --------
    >>> parse_lines("zone=a\nlimits.cores=1\n")
    {'zone': 'a', 'limits.cores': '1'}
    """
    pairs = (line.partition("=") for line in text.splitlines())
    return {
        name.strip(): value.strip() for name, separator, value in pairs if separator
    }


def decode_settings(text: str) -> VmSettings:
    """Decode the content of a settings file.

    Parameters
    ----------
    text : str
        Content of the file. Unknown fields are ignored, since the platform may add
        some.

    Returns
    -------
    VmSettings

    Raises
    ------
    DecodeError
        If a field is missing or has a wrong value; the message names it.
    """
    fields = parse_lines(text)
    try:
        first, _, last = fields["internal_ports"].partition(",")
        return VmSettings(
            vm=fields["node_name"],
            ip=fields["ip"],
            zone=fields.get("zone", ""),
            front_listen=fields.get("listen.front") or None,
            ready_listen=fields.get("listen.ready") or None,
            app=fields.get("app") or None,
            app_service=fields.get("service", ""),
            peer_ports=(int(first), int(last or first)),
            first_start=fields.get("bootstrap") == "true",
            max_descriptors=int(fields.get("limits.max_fds", "4096")),
            memory_mb=int(fields.get("limits.memory_mb", "300")),
            store=StoreSettings(
                address=fields["platform.address"],
                record_bytes=int(fields.get("platform.record_bytes", "262144")),
            ),
            bounds=_decode_bounds(fields),
        )
    except KeyError as error:
        raise DecodeError(f"settings: {error.args[0]}: missing") from None
    except ValidationError as error:
        raise DecodeError(f"settings: {describe(error)}") from None
    except ValueError as error:
        raise DecodeError(f"settings: {error}") from None


def _decode_bounds(fields: Mapping[str, str]) -> Bounds:
    values = {}
    for name, (outer_name, factor) in _BOUND_FIELDS.items():
        text = fields.get(f"bounds.{outer_name}")
        if text:
            values[name] = float(text) * factor
    return Bounds(**values)


def load_vm_settings(path: Path) -> VmSettings:
    """Read and decode a settings file.

    Raises
    ------
    DecodeError
        If the file cannot be read or decoded.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise DecodeError(f"{path}: cannot be read: {error}") from error
    return decode_settings(text)
