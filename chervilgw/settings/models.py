"""Pydantic models of the settings files."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    model_validator,
)

from chervilgw.core.states import BackendKind


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("allowed: an IP address and a port, ip:port") from None
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("allowed: an IP address and a port, ip:port")
    if not 0 <= int(port) <= 65_535:
        raise ValueError("allowed: a port from 0 to 65535")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Identifier = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class Section(BaseModel):
    """Base of all sections: immutable, unknown keys are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid", allow_inf_nan=False)


class Tls(Section):
    """Certificate and private key files, in PEM form."""

    certificate_file: str
    private_key_file: str


class Platform(Section):
    """Addresses of the platform's log, store and list of servers."""

    log: Address
    store: Address
    list: Address


class Limits(Section):
    """Bounds on what callers and peers may send."""

    max_body_bytes: int = Field(default=4_194_304, ge=1_024, le=1_073_741_824)
    max_headers_bytes: int = Field(default=32_768, ge=1_024, le=1_048_576)
    header_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 30.0
    max_frame_bytes: int = Field(default=67_108_864, ge=65_536, le=1_073_741_824)
    max_connections: int = Field(default=10_000, ge=1, le=1_000_000)
    write_buffer_bytes: int = Field(default=1_048_576, ge=4_096, le=1_073_741_824)


class OperatorSettings(Section):
    """An operator's name and the salted digest of the operator's key."""

    name: Identifier
    salt: str = Field(pattern=r"^([0-9a-f]{2}){8,64}$")
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class CommonSettings(Section):
    """Settings common to both roles."""

    vm: Identifier
    zone: Identifier
    peer_listen: Address
    peer_advertise: Address | None = None
    fleet_secret: SecretStr | None = None
    fleet_secret_file: str | None = None
    platform: Platform
    limits: Limits = Limits()
    tls: Tls | None = None
    statsd: Address | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @model_validator(mode="after")
    def _check_fleet_secret(self):
        if (self.fleet_secret is None) == (self.fleet_secret_file is None):
            raise ValueError("allowed: exactly one of fleet_secret, fleet_secret_file")
        if self.fleet_secret and len(self.fleet_secret.get_secret_value()) < 16:
            raise ValueError("allowed: a fleet_secret of at least 16 characters")
        return self

    @property
    def advertised_address(self) -> str:
        """Return the address that peers connect to."""
        return self.peer_advertise or self.peer_listen


class EntrySettings(CommonSettings):
    """Settings of an entry.

    ``notice_s`` is the time for the load balancer to notice a planned stop.
    """

    http_listen: Address
    admin_listen: Address | None = None
    operators: tuple[OperatorSettings, ...] = ()
    notice_s: Seconds = 5.0


class SidecarSettings(CommonSettings):
    """Settings of a sidecar.

    ``services`` lists what a plain service offers; an engine reports its own capacity.
    A command without a reply can take effect until ``order_settle_s`` after it was
    sent. ``fenced`` says whether the engine checks fencing tokens.
    """

    backend: BackendKind
    backend_address: Address
    pool: Identifier = "default"
    fenced: bool = False
    order_settle_s: Seconds = 30.0
    max_running: int = Field(default=16, ge=1, le=10_000)
    services: tuple[Identifier, ...] = ()

    @model_validator(mode="after")
    def _check_services(self):
        if (self.backend is BackendKind.SERVICE) != bool(self.services):
            raise ValueError(
                "allowed: services named with backend 'service', none with 'engine'"
            )
        return self
