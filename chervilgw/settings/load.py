"""Loads and validates settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import SecretStr, ValidationError

from chervilgw.core.errors import ChervilError
from chervilgw.settings.models import CommonSettings, EntrySettings, SidecarSettings

SettingsT = TypeVar("SettingsT", bound=CommonSettings)

_SECRET_KEYS = ("fleet_secret",)


class SettingsError(ChervilError):
    """An invalid settings file; the message names the file, key and value."""


class _UniqueKeyLoader(yaml.SafeLoader):
    """Rejects duplicate keys in a mapping; PyYAML keeps the last value."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node, or raise if it has duplicate keys."""
        seen = set()
        for key_node, _ in node.value:
            key = str(key_node.value)
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"key {key!r} occurs twice",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_entry(path: str | Path) -> EntrySettings:
    """Return the settings of an entry.

    Raises
    ------
    SettingsError
        If the file cannot be read or has a wrong key or value.
    """
    return _load(Path(path), EntrySettings)


def load_sidecar(path: str | Path) -> SidecarSettings:
    """Return the settings of a sidecar.

    Raises
    ------
    SettingsError
        If the file cannot be read or has a wrong key or value.
    """
    return _load(Path(path), SidecarSettings)


def load_settings(path: str | Path) -> EntrySettings | SidecarSettings:
    """Return the settings of either role; only a sidecar's have ``backend``.

    Raises
    ------
    SettingsError
        If the file cannot be read or has a wrong key or value.
    """
    mapping = _read_mapping(Path(path))
    model = SidecarSettings if "backend" in mapping else EntrySettings
    return _load(Path(path), model)


def _read_mapping(path: Path) -> dict[str, Any]:
    try:
        mapping = yaml.load(path.read_text(encoding="utf-8"), _UniqueKeyLoader)
    except (OSError, UnicodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not valid YAML: {error}") from error
    if not isinstance(mapping, dict):
        raise SettingsError(f"{path}: must be a mapping of keys to values")
    return mapping


def _load(path: Path, model: type[SettingsT]) -> SettingsT:
    mapping = _read_mapping(path)
    try:
        settings = model.model_validate(mapping)
    except ValidationError as error:
        lines = [
            _format_error(path, model, detail)
            for detail in error.errors(include_url=False)
        ]
        raise SettingsError("\n".join(lines)) from None
    return _read_fleet_secret(path, settings)


def _format_error(
    path: Path, model: type[CommonSettings], error: dict[str, Any]
) -> str:
    key = ".".join(map(str, error["loc"])) or "(file)"
    if error["type"] == "extra_forbidden":
        allowed = ", ".join(sorted(model.model_fields))
        hint = f"; allowed: {allowed}" if len(error["loc"]) == 1 else ""
        return f"{path}: {key}: unknown key{hint}"
    if error["type"] == "missing":
        return f"{path}: {key}: missing"
    message = error["msg"].removeprefix("Value error, ")
    if not error["loc"] or error["loc"][0] in _SECRET_KEYS:
        return f"{path}: {key}: {message}"
    return f"{path}: {key}: {error['input']!r}: {message}"


def _read_fleet_secret(path: Path, settings: SettingsT) -> SettingsT:
    """Read the fleet secret from its file; relative to the settings file's folder."""
    if settings.fleet_secret_file is None:
        return settings
    secret_path = path.parent / settings.fleet_secret_file
    try:
        secret = secret_path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeError) as error:
        raise SettingsError(f"{path}: fleet_secret_file: {error}") from error
    if len(secret) < 16:
        raise SettingsError(
            f"{path}: fleet_secret_file: {secret_path}: "
            "allowed: a secret of at least 16 characters"
        )
    return settings.model_copy(update={"fleet_secret": SecretStr(secret)})
