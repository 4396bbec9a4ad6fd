"""Models of the configuration that operators publish."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from dotterelgate_border.checking import Model
from dotterelgate_border.settings import Address, Name
from dotterelgate_core.configuration import (
    BackendServer,
    Configuration,
    Priority,
    Route,
    Service,
)
from dotterelgate_core.policies import POLICY_NAMES

__all__ = ["ConfigurationModel", "build_configuration"]

_PRIORITIES = {"high": Priority.HIGH, "normal": Priority.NORMAL, "low": Priority.LOW}


class ServerModel(Model):
    """One backend server."""

    name: Name
    address: Address
    zone: str = ""
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)
    draining: bool = False


class RouteModel(Model):
    """One route; ``timeout`` is in seconds."""

    prefix: str = Field(pattern=r"^/")
    methods: list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]] = []
    idempotent: bool
    priority: Literal["high", "normal", "low"] = "normal"
    long: bool = False
    timeout: float = Field(10.0, gt=0, le=3600)


class ServiceModel(Model):
    """One service; shares are from 0 to 1, ``queue_limit`` is in seconds."""

    name: Name
    hosts: list[str] = []
    servers: list[ServerModel]
    routes: list[RouteModel] = Field(min_length=1)
    policy: str = "owner_queue"
    measuring_share: float = Field(0.03, ge=0, le=1)
    long_share: float = Field(0.5, gt=0, le=1)
    queue_limit: float = Field(0.25, ge=0, le=60)
    retry_share: float = Field(0.1, ge=0, le=1)

    @model_validator(mode="after")
    def _check_policy(self) -> ServiceModel:
        if self.policy not in POLICY_NAMES:
            raise ValueError(f"policy must be one of {', '.join(POLICY_NAMES)}")
        return self


class ConfigurationModel(Model):
    """The document that ``dotterelgate print`` writes and ``publish`` reads."""

    services: list[ServiceModel]

    @model_validator(mode="after")
    def _check_names(self) -> ConfigurationModel:
        services = [service.name for service in self.services]
        servers = [server.name for service in self.services for server in service.servers]
        for kind, names in (("service", services), ("backend server", servers)):
            repeated = sorted({name for name in names if names.count(name) > 1})
            if repeated:
                raise ValueError(f"{kind} names must be unique; {', '.join(repeated)} used twice")
        return self


def build_configuration(model: ConfigurationModel, *, id: str, revision: int) -> Configuration:
    """Build the configuration of the core from a checked document."""
    services = tuple(_build_service(service) for service in model.services)
    return Configuration(id=id, revision=revision, services=services)


def _build_service(model: ServiceModel) -> Service:
    return Service(
        name=model.name,
        hosts=frozenset(model.hosts),
        servers=tuple(BackendServer(**server.model_dump()) for server in model.servers),
        routes=tuple(_build_route(route) for route in model.routes),
        policy=model.policy,
        measuring_share=model.measuring_share,
        long_share=model.long_share,
        queue_limit=model.queue_limit,
        retry_share=model.retry_share,
    )


def _build_route(model: RouteModel) -> Route:
    return Route(
        prefix=model.prefix,
        methods=frozenset(model.methods),
        idempotent=model.idempotent,
        priority=_PRIORITIES[model.priority],
        long=model.long,
        timeout=model.timeout,
    )
