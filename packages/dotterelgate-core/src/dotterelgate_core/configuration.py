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
    "Organisation",
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

    @classmethod
    def clamp(cls, number: int) -> Priority:
        """Return the priority nearest to a number."""
        return cls(max(cls.HIGH, min(number, cls.LOW)))


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One backend server of a service.

    :param name: unique within the configuration
    :param address: ``IP:port``
    :param zone: availability zone
    :param slots: requests that it runs concurrently
    :param connections: connection limit over all daemons
    :param draining: whether the operator is taking it out of service
    :param born: Unix millisecond of its start, if its entry states it
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
    """One destination service of a split route.

    :param weight: its share, relative to the other parts
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that share a path prefix and methods.

    :param prefix: path prefix, matched by whole segments
    :param methods: methods that the route matches; empty for all
    :param idempotent: whether a request may run more than once
    :param priority: order among requests that wait for a slot
    :param long: whether its requests are expected to run long
    :param timeout: time limit in seconds if the caller sets none
    :param name: name in log lines
    :param hosts: values of ``Host`` that select it besides the service's
    :param split: services that share its requests; empty for its own service
    :param attempts: maximum number of backend servers that one request is sent to, ``None``
        for the daemon's own limit
    :param target: latency in seconds up to which an answer is worth most, if the operator
        sets one
    :param is_bulk: whether its answers are large
    :param is_exempt: whether callers need no credential
    :param problem: why it is out of service, empty for a route that is in service
    :param homes: regions to which its requests are restricted, empty for none
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
    is_bulk: bool = False
    is_exempt: bool = False
    problem: str = ""
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of backend servers with the routes and limits that apply to it.

    :param name: unique name
    :param hosts: values of ``Host`` that select it; empty for all
    :param servers: its backend servers
    :param routes: its routes, longest prefix first
    :param policy: name of the routing policy
    :param measuring_share: share of slot time that probes may use, 0 to 1
    :param long_share: share of slots that long requests may use, 0 to 1
    :param queue_limit: longest expected wait for a slot in seconds
    :param retry_share: retries allowed per request, 0 to 1
    :param probe_path: path that answers probes
    :param connections: connection limit of each backend server over all daemons, where the
        servers register themselves
    :param warm_up_rate: requests a second that a cold backend server takes from all daemons, 0
        for no limit
    :param warm_up_seconds: seconds for which a backend server is cold after its start
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
    warm_up_rate: float = 0.0
    warm_up_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """An organisation whose callers are known by credentials.

    :param credentials: digests of its credentials
    :param priority: order among waiting requests, before that of the route; lower goes first
    :param rate: requests a second that it may send through all daemons, 0 for no limit
    :param burst: requests that it may send at once beside that rate
    :param problem: why it is out of service, empty for one that is in service
    :param homes: regions to which its requests are restricted, empty for none
    """

    name: str
    credentials: frozenset[bytes]
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    problem: str = ""
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Size and time limits on callers' requests.

    :param head_bytes: maximum size of a request head
    :param body_bytes: maximum size of a request body
    :param head_seconds: seconds within which a request head has to arrive
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
    :param revision: number of configurations accepted up to and including this one
    :param services: all services
    :param limits: limits on callers, ``None`` for those of the daemon's settings
    :param organisations: organisations of callers, ``None`` where callers need no credential
    :param problems: what of it is out of service since it cannot be used, with the reasons
    """

    id: str
    revision: int
    services: tuple[Service, ...]
    limits: CallerLimits | None = None
    organisations: tuple[Organisation, ...] | None = None
    problems: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class RouteIndex:
    """Routes by host, longest prefix first; the empty host matches any."""

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
    """The configuration in force, and the chain of publications that decides the next.

    :param chain: publications as read from the log
    :param current: configuration in force, if any
    :param organisations: organisations by the digest of each credential, ``None`` where callers
        need none
    """

    chain: Chain = field(default_factory=Chain)
    current: Configuration | None = None
    organisations: dict[bytes, Organisation] | None = None
    routes: RouteIndex = field(default_factory=RouteIndex)
    _services: dict[str, Service] = field(default_factory=dict)
    _named: dict[str, Organisation] = field(default_factory=dict)

    def read_publication(self, link: Link) -> bool:
        """Apply a publication in log order.

        :returns: whether a newer configuration came into force
        """
        self.chain.read(link)
        return self._apply_accepted()

    def read_confirmation(self, link: Link) -> bool:
        """Apply a confirmation of the configuration that was in force at ``read_to``.

        :returns: whether a newer configuration came into force
        """
        self.chain.confirm(link)
        return self._apply_accepted()

    def adopt(self, configuration: Configuration) -> bool:
        """Apply a configuration that the store holds or a peer has in force.

        :returns: whether it is newer than the one in force here
        """
        return self._apply_if_newer(configuration)

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, 0 for none."""
        return self.current.revision if self.current is not None else 0

    def find_organisation(self, name: str) -> Organisation | None:
        """Find an organisation of the configuration in force."""
        return self._named.get(name)

    def find_service(self, name: str) -> Service | None:
        """Find a service of the configuration in force."""
        return self._services.get(name)

    def _apply_accepted(self) -> bool:
        link = self.chain.current
        if link is None or link.body is None:
            return False
        return self._apply_if_newer(link.body)

    def _apply_if_newer(self, configuration: Configuration) -> bool:
        if self.current is not None and configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        self._services = {service.name: service for service in configuration.services}
        self.routes = RouteIndex.build(configuration.services)
        self.organisations = _index_organisations(configuration.organisations)
        self._named = {each.name: each for each in configuration.organisations or ()}
        return True


def _index_organisations(
    organisations: tuple[Organisation, ...] | None,
) -> dict[bytes, Organisation] | None:
    if organisations is None:
        return None
    return {digest: each for each in organisations for digest in each.credentials}
