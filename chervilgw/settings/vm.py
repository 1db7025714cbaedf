"""Settings of a process whose settings file is written by the platform."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from chervilgw.core.addresses import MAX_PORT, check_address, is_ip

# Bounds that operators set lie far below; larger numbers are mistakes.
MAX_BOUND = 1e9


def _check_ip(text: str) -> str:
    if not is_ip(text):
        raise ValueError("must be an IPv4 address")
    return text


Address = Annotated[str, AfterValidator(check_address)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Amount = Annotated[float, Field(ge=0, le=MAX_BOUND)]
PositiveAmount = Annotated[float, Field(gt=0, le=MAX_BOUND)]


class StoreSettings(BaseModel):
    """Address of the platform's store and its limit on the size of a record."""

    model_config = ConfigDict(frozen=True)

    address: Address
    record_bytes: int = Field(262_144, ge=1, le=2**40)


class Bounds(BaseModel):
    """Bounds that the operators set for the whole deployment.

    A process that stops has ``grace_s``. A server that drains gets no new request after
    ``drain_s``, and a configuration is in force after ``configuration_deadline_s``. The
    servers of a zone get no request ``evacuation_deadline_s`` after its evacuation. In
    a quota window a customer may get ``quota_over_tokens`` more than its quota. Retries
    are limited to ``retry_ratio`` per request plus ``retry_slack`` in each
    ``retry_window_s``. In any one second a cold server gets at most ``cold_excess``
    times its cold rate plus ``cold_slack`` requests.
    """

    model_config = ConfigDict(frozen=True)

    grace_s: PositiveAmount = 8.0
    drain_s: Amount = 2.0
    configuration_deadline_s: PositiveAmount = 2.0
    quota_window_s: PositiveAmount = 8.0
    quota_over_tokens: Amount = 0.0
    retry_ratio: Amount = 0.2
    retry_window_s: PositiveAmount = 10.0
    retry_slack: Amount = 50.0
    load_window_s: PositiveAmount = 5.0
    load_excess: float = Field(1.1, ge=1, le=MAX_BOUND)
    evacuation_deadline_s: PositiveAmount = 5.0
    cold_excess: PositiveAmount = 1.5
    cold_slack: Amount = 5.0


class VmSettings(BaseModel):
    """Settings of one process.

    ``front_listen`` and ``ready_listen`` are set where callers connect. ``app`` is the
    address of the engine on the same VM, if there is one, and ``app_service`` the
    service that it started with. ``peer_ports`` is the port range for messages between
    entries and agents. ``first_start`` is set only if no process of the system has run
    before. ``memory_mb`` is the memory of the VM, with which the bounds on callers'
    requests and unread answers scale.
    """

    model_config = ConfigDict(frozen=True)

    vm: str = Field(min_length=1)
    ip: Annotated[str, AfterValidator(_check_ip)]
    zone: str
    front_listen: Address | None = None
    ready_listen: Address | None = None
    app: Address | None = None
    app_service: str = ""
    peer_ports: tuple[Port, Port]
    first_start: bool = False
    max_descriptors: int = Field(4096, ge=256, le=2**31)
    memory_mb: int = Field(300, ge=1, le=2**31)
    store: StoreSettings
    bounds: Bounds
