"""Settings of a process whose settings file is written by the platform."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field

Address = str


class StoreSettings(BaseModel):
    """Address of the platform's store and its limit on the size of a record."""

    model_config = ConfigDict(frozen=True)

    address: Address = Field(pattern=r"^[0-9.]+:\d{1,5}$")
    record_bytes: int = Field(262_144, ge=1)


class Bounds(BaseModel):
    """Bounds that the operators set for the whole deployment.

    A process that stops has ``grace_s``. In a quota window a customer may get
    ``quota_over_tokens`` more than its quota. Retries are limited to ``retry_ratio``
    per request plus ``retry_slack`` in each ``retry_window_s``.
    """

    model_config = ConfigDict(frozen=True)

    grace_s: float = Field(8.0, gt=0)
    drain_s: float = Field(2.0, ge=0)
    quota_window_s: float = Field(8.0, gt=0)
    quota_over_tokens: float = Field(0.0, ge=0)
    retry_ratio: float = Field(0.2, ge=0)
    retry_window_s: float = Field(10.0, gt=0)
    retry_slack: float = Field(50.0, ge=0)
    load_window_s: float = Field(5.0, gt=0)
    load_excess: float = Field(1.1, ge=1)


class VmSettings(BaseModel):
    """Settings of one process.

    ``front_listen`` and ``ready_listen`` are set where callers connect. ``app`` is the
    address of the engine on the same VM, if there is one, and ``app_service`` the
    service that it started with. ``peer_ports`` is the port range for messages between
    entries and agents. ``first_start`` is set only if no process of the system has run
    before.
    """

    model_config = ConfigDict(frozen=True)

    vm: str = Field(min_length=1)
    ip: str = Field(pattern=r"^[0-9.]+$")
    zone: str
    front_listen: Address | None = None
    ready_listen: Address | None = None
    app: Address | None = None
    app_service: str = ""
    peer_ports: tuple[int, int]
    first_start: bool = False
    max_descriptors: int = Field(4096, ge=256)
    store: StoreSettings
    bounds: Bounds
