"""Loads settings files and explains what is wrong with them."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import SecretStr, ValidationError

from chervilgw.core.errors import ChervilError
from chervilgw.settings.models import CommonSettings, EntrySettings, SidecarSettings

S = TypeVar("S", bound=CommonSettings)

_SECRET_KEYS = ("fleet_secret",)


class SettingsError(ChervilError):
    """A settings file that cannot be used; the text names file, key and value."""


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a mapping that has a key twice; YAML's default keeps the last."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node after a check for repeated keys."""
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
    """Return the settings of either role; ``backend`` is the key of a sidecar.

    Raises
    ------
    SettingsError
        If the file cannot be read or has a wrong key or value.
    """
    mapping = _read(Path(path))
    kind = SidecarSettings if "backend" in mapping else EntrySettings
    return _load(Path(path), kind)


def _read(path: Path) -> dict[str, Any]:
    try:
        mapping = yaml.load(path.read_text(encoding="utf-8"), _UniqueKeyLoader)
    except (OSError, UnicodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not valid YAML: {error}") from error
    if not isinstance(mapping, dict):
        raise SettingsError(f"{path}: not a mapping of keys to values")
    return mapping


def _load(path: Path, kind: type[S]) -> S:
    mapping = _read(path)
    try:
        settings = kind.model_validate(mapping)
    except ValidationError as error:
        lines = [_explain(path, kind, each) for each in error.errors(include_url=False)]
        raise SettingsError("\n".join(lines)) from None
    return _with_secret(path, settings)


def _explain(path: Path, kind: type[CommonSettings], error: dict[str, Any]) -> str:
    key = ".".join(map(str, error["loc"])) or "(file)"
    if error["type"] == "extra_forbidden":
        allowed = ", ".join(sorted(kind.model_fields))
        hint = f"; allowed: {allowed}" if len(error["loc"]) == 1 else ""
        return f"{path}: {key}: unknown key{hint}"
    if error["type"] == "missing":
        return f"{path}: {key}: missing"
    message = error["msg"].removeprefix("Value error, ")
    if not error["loc"] or error["loc"][0] in _SECRET_KEYS:
        return f"{path}: {key}: {message}"
    return f"{path}: {key}: {error['input']!r}: {message}"


def _with_secret(path: Path, settings: S) -> S:
    """Read the fleet secret from its file, named relative to the settings file."""
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
