"""The configuration's data classes and the rule that puts one in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from dotterelgate_core.chain import Chain, Link

__all__ = ["BackendServer", "Configuration", "ConfigurationState", "Priority", "Route", "Service"]


class Priority(IntEnum):
    """Order in which waiting requests get a slot; lower goes first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One backend server of a service.

    :param name: unique within the configuration
    :param address: ``IP:port``
    :param zone: availability zone
    :param slots: requests that it works on at once
    :param connections: connections allowed to it over all daemons
    :param draining: whether the operator takes it out of service
    """

    name: str
    address: str
    zone: str = ""
    slots: int
    connections: int
    draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that share a path prefix and methods.

    :param prefix: path prefix, matched by whole segments
    :param methods: methods that the route covers; empty for all
    :param idempotent: whether a request may run more than once
    :param priority: order among waiting requests
    :param long: whether work is known to run long
    :param timeout: time limit in seconds when the caller names none
    """

    prefix: str
    methods: frozenset[str] = frozenset()
    idempotent: bool
    priority: Priority = Priority.NORMAL
    long: bool = False
    timeout: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of backend servers with the routes and limits that apply to it.

    :param name: unique name
    :param hosts: values of ``Host`` that select it; empty for all
    :param servers: its backend servers
    :param routes: its routes, longest prefix first
    :param policy: name of the routing policy
    :param measuring_share: share of slot time that probes may take, 0 to 1
    :param long_share: share of slots that long work may take, 0 to 1
    :param queue_limit: longest expected wait for a slot in seconds
    :param retry_share: retries allowed per request, 0 to 1
    """

    name: str
    hosts: frozenset[str] = frozenset()
    servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...]
    policy: str = "owner_queue"
    measuring_share: float = 0.03
    long_share: float = 0.5
    queue_limit: float = 0.25
    retry_share: float = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param id: unique id that its publisher chose
    :param revision: number of accepted configurations up to this one
    :param services: all services
    """

    id: str
    revision: int
    services: tuple[Service, ...]


@dataclass(kw_only=True, slots=True)
class ConfigurationState:
    """The configuration in force and the log order that decides the next.

    :param chain: order of publications as read from the log
    :param current: configuration in force, if any
    """

    chain: Chain = field(default_factory=Chain)
    current: Configuration | None = None
    _services: dict[str, Service] = field(default_factory=dict)

    def read_publication(self, link: Link) -> bool:
        """Take a publication in log order.

        :returns: whether a newer configuration came into force
        """
        self.chain.read(link)
        return self._follow_chain()

    def read_confirmation(self, link: Link) -> bool:
        """Take a statement of which configuration was in force at ``read_to``.

        :returns: whether a newer configuration came into force
        """
        self.chain.confirm(link)
        return self._follow_chain()

    def take_from_peer(self, configuration: Configuration) -> bool:
        """Take a configuration that a peer has in force.

        :returns: whether it is newer than the one here
        """
        return self._advance(configuration)

    def find_service(self, name: str) -> Service | None:
        """Find a service of the configuration in force."""
        return self._services.get(name)

    def _follow_chain(self) -> bool:
        link = self.chain.current
        if link is None or link.body is None:
            return False
        return self._advance(link.body)

    def _advance(self, configuration: Configuration) -> bool:
        if self.current is not None and configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        self._services = {service.name: service for service in configuration.services}
        return True
