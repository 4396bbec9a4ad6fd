"""Settings of one daemon, read from JSON."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import AfterValidator, Field

from dotterelgate_border.checking import Model

__all__ = ["Address", "DaemonSettings", "FrontSettings", "StoreDaemonSettings"]

_ADDRESS = re.compile(r"^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$")
_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
HIGHEST_PORT = 65535
HIGHEST_OCTET = 255


def _check_address(value: str) -> str:
    match = _ADDRESS.match(value)
    if match is None:
        raise ValueError("must be an IPv4 number and a port such as 10.0.0.5:8080")
    octets = [int(part) for part in match.group(1).split(".")]
    if max(octets) > HIGHEST_OCTET or int(match.group(2)) > HIGHEST_PORT:
        raise ValueError("must be an IPv4 number and a port such as 10.0.0.5:8080")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=_NAME)]


class FrontSettings(Model):
    """Settings that every daemon has; times are in seconds, sizes in bytes."""

    name: Name = Field(description="name of this VM, as the platform lists it")
    zone: str = Field(description="availability zone of this VM")
    callers: Address = Field(description="address on which callers are served")
    peers: Address = Field(description="address on which other daemons are heard")
    endpoint: Address = Field(description="address of health, metrics and status")
    platform_timeout: float = Field(2.0, ge=0.1, le=60)
    head_limit: int = Field(32_768, ge=1024, le=1_048_576)
    kept_body_limit: int = Field(262_144, ge=0, le=16_777_216)
    stop_limit: float = Field(60.0, ge=0, le=3600, description="longest graceful stop")
    stop_linger: float = Field(2.0, ge=0, le=120, description="seconds that the balancer needs")
    connection_idle: float = Field(30.0, ge=0.1, le=3600)
    caller_connections: int = Field(2000, ge=1, le=60_000)


class DaemonSettings(FrontSettings):
    """All settings of ``dotterelgated``."""

    log: Address = Field(description="address of the platform's log service")
    vms: Address = Field(description="address of the platform's list of VMs")
    log_poll: float = Field(0.25, ge=0.01, le=10, description="seconds between log reads")
    vms_poll: float = Field(1.0, ge=0.05, le=60, description="seconds between VM list reads")
    lease_length: float = Field(900.0, ge=2, le=7200, description="seconds of a lease")
    key_ranges: int = Field(32, ge=1, le=1024, description="the same on every daemon")
    key_retention: float = Field(600.0, ge=1, le=86400)
    key_limit: int = Field(200_000, ge=1, le=5_000_000)
    clock_error: float = Field(0.25, ge=0, le=10, description="wall clocks differ at most so")
    holder_wait: float = Field(2.0, ge=0, le=30)


class StoreDaemonSettings(FrontSettings):
    """All settings of a daemon that follows a platform's keyed store."""

    store: Address = Field(description="address of the platform's store")
    metrics: Address = Field(description="address of the metrics for the platform")
    retry_share: float = Field(0.1, ge=0, le=1, description="retries allowed per request")
    retry_burst: float = Field(
        1.5, ge=0, le=100, description="retries that each daemon may save up for a service"
    )
