"""The configuration's data classes and the rule that puts one in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from dotterelgate_core.chain import Chain, Link

__all__ = [
    "BackendServer",
    "CallerLimits",
    "Configuration",
    "ConfigurationState",
    "Priority",
    "Route",
    "Service",
    "SplitPart",
]


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
    :param born: Unix millisecond of its start, if it said so
    """

    name: str
    address: str
    zone: str = ""
    slots: int
    connections: int
    draining: bool = False
    born: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SplitPart:
    """One service that a split route sends requests to.

    :param weight: its share, relative to the other parts
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that share a path prefix and methods.

    :param prefix: path prefix, matched by whole segments
    :param methods: methods that the route covers; empty for all
    :param idempotent: whether a request may run more than once
    :param priority: order among waiting requests
    :param long: whether work is known to run long
    :param timeout: time limit in seconds when the caller names none
    :param name: name for the log
    :param hosts: values of ``Host`` that select it besides the service's
    :param split: services that share its requests; empty for the service it stands under
    :param attempts: backend servers that one request may be sent to, ``None`` for
        the daemon's own limit
    :param target: seconds within which an answer is worth most, if the operator said so
    """

    prefix: str
    methods: frozenset[str] = frozenset()
    idempotent: bool
    priority: Priority = Priority.NORMAL
    long: bool = False
    timeout: float
    name: str = ""
    hosts: frozenset[str] = frozenset()
    split: tuple[SplitPart, ...] = ()
    attempts: int | None = None
    target: float | None = None


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
    :param probe_path: path that answers probes
    :param connections: connections allowed to each backend server over all
        daemons, where the servers register themselves
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
    probe_path: str = "/_probe"
    connections: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take.

    :param head_bytes: bytes of a request head
    :param body_bytes: bytes of a request body
    :param head_seconds: seconds for a request head to arrive
    :param idle_seconds: seconds that a connection may stay idle
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param id: unique id that its publisher chose
    :param revision: number of accepted configurations up to this one
    :param services: all services
    :param limits: bounds on callers, ``None`` for the daemon's settings
    """

    id: str
    revision: int
    services: tuple[Service, ...]
    limits: CallerLimits | None = None


@dataclass(kw_only=True, slots=True)
class RouteIndex:
    """Routes by host, longest prefix first; the empty host stands for any."""

    by_host: dict[str, list[tuple[Service, Route]]] = field(default_factory=dict)

    @classmethod
    def build(cls, services: tuple[Service, ...]) -> RouteIndex:
        """Build the index of a configuration."""
        by_host: dict[str, list[tuple[Service, Route]]] = {}
        for service in services:
            for route in service.routes:
                for host in route.hosts or service.hosts or ("",):
                    by_host.setdefault(host, []).append((service, route))
        for routes in by_host.values():
            routes.sort(key=lambda each: len(each[1].prefix), reverse=True)
        return cls(by_host=by_host)

    def list_candidates(self, host: str) -> list[tuple[Service, Route]]:
        """List the routes of a host and those for any host, longest prefix first."""
        own = self.by_host.get(host, [])
        general = self.by_host.get("", []) if host else []
        if not own or not general:
            return own or general
        return sorted([*own, *general], key=lambda each: len(each[1].prefix), reverse=True)


@dataclass(kw_only=True, slots=True)
class ConfigurationState:
    """The configuration in force and the log order that decides the next.

    :param chain: order of publications as read from the log
    :param current: configuration in force, if any
    """

    chain: Chain = field(default_factory=Chain)
    current: Configuration | None = None
    routes: RouteIndex = field(default_factory=RouteIndex)
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
        self.routes = RouteIndex.build(configuration.services)
        return True
