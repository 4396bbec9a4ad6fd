"""Functions with which operators declare services in Python."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelgate_border.declarations import (
    ConfigurationModel,
    RouteModel,
    ServerModel,
    ServiceModel,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["backend_server", "declare", "print_configuration", "route", "service"]


def backend_server(
    name: str,
    address: str,
    *,
    slots: int,
    connections: int,
    zone: str = "",
    draining: bool = False,
) -> ServerModel:
    """Declare one backend server.

    :param name: unique within the configuration
    :param address: ``IP:port``
    :param slots: requests that it works on at once
    :param connections: connections allowed to it by all daemons together
    :param zone: availability zone
    :param draining: whether it gets no new work
    :raises pydantic.ValidationError: when a value is out of bounds
    """
    return ServerModel(
        name=name,
        address=address,
        slots=slots,
        connections=connections,
        zone=zone,
        draining=draining,
    )


def route(prefix: str, *, idempotent: bool, **options: Any) -> RouteModel:
    """Declare one route.

    :param prefix: path prefix, matched by whole segments
    :param idempotent: whether a request may run more than once
    :param options: ``methods`` (list), ``priority`` (``high``, ``normal`` or
        ``low``), ``long`` (bool) and ``timeout`` (seconds)
    :raises pydantic.ValidationError: when a value is out of bounds
    """
    return RouteModel(prefix=prefix, idempotent=idempotent, **options)


def service(
    name: str,
    *,
    servers: Iterable[ServerModel],
    routes: Iterable[RouteModel],
    **options: Any,
) -> ServiceModel:
    """Declare one service.

    :param name: unique within the configuration
    :param options: ``hosts``, ``policy``, ``measuring_share``, ``long_share``,
        ``queue_limit`` (seconds) and ``retry_share``; shares
        are from 0 to 1
    :raises pydantic.ValidationError: when a value is out of bounds
    """
    return ServiceModel(name=name, servers=list(servers), routes=list(routes), **options)


def declare(*services: ServiceModel) -> ConfigurationModel:
    """Combine services into one configuration.

    :raises pydantic.ValidationError: when two names are the same
    """
    return ConfigurationModel(services=list(services))


def print_configuration(configuration: ConfigurationModel) -> None:
    """Print a configuration as the JSON that ``dotterelgate publish`` reads."""
    print(configuration.model_dump_json(indent=2))
