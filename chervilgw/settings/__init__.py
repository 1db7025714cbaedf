"""Settings of the entry and sidecar processes, loaded from YAML files."""

from chervilgw.settings.load import (
    SettingsError,
    load_entry,
    load_settings,
    load_sidecar,
)
from chervilgw.settings.models import EntrySettings, Limits, SidecarSettings

__all__ = [
    "EntrySettings",
    "Limits",
    "SettingsError",
    "SidecarSettings",
    "load_entry",
    "load_settings",
    "load_sidecar",
]
