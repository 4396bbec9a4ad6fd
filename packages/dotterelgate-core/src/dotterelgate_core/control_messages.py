"""Messages of the control pipeline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.chain import Link
    from dotterelgate_core.configuration import BackendServer, Configuration
    from dotterelgate_core.leases import Claim
    from dotterelgate_core.loads import LoadReport

__all__ = [
    "AnnounceLeaving",
    "AppendClaims",
    "AppendConfirmation",
    "ConfigurationChanged",
    "ConfigurationReceived",
    "ConfirmationRead",
    "ControlTicked",
    "GrantRead",
    "KeysReceived",
    "LeavingReceived",
    "LogRead",
    "LogReadStarted",
    "OfferAccepted",
    "Probe",
    "ProbeEnded",
    "PublicationRead",
    "SendKeys",
    "SendOffer",
    "Vm",
    "VmsRead",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class LogReadStarted:
    """Reading the log begins, or begins again after records were lost."""

    now: float
    start: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PublicationRead:
    """A configuration stands on the log; the link's body is it."""

    now: float
    link: Link


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmationRead:
    """A daemon's statement of the configuration in force stands on the log."""

    now: float
    link: Link


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationReceived:
    """A peer has this configuration in force."""

    now: float
    peer: str
    configuration: Configuration


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRead:
    """A grant stands on the log; the link's body is it."""

    now: float
    link: Link


@dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """All records below ``read_to`` have been read."""

    now: float
    read_to: int
    oldest: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingReceived:
    """A daemon says whether a backend server is leaving.

    :param wall: wall-clock second at which that daemon saw it
    """

    now: float
    server: str
    source: str
    is_leaving: bool
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceLeaving:
    """Order to tell all daemons whether a backend server is leaving.

    :param wall: wall-clock second at which it was seen
    """

    server: str
    is_leaving: bool
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Order to measure a backend server.

    :param fence: wall-clock second after which it must not start
    :param cost: slot seconds charged for it
    :param path: path that answers it
    :param timeout: seconds until it counts as failed
    """

    service: str
    server: BackendServer
    fence: float
    cost: float
    path: str = "/_probe"
    timeout: float = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeEnded:
    """A probe ended.

    :param wall: wall-clock second at which it was sent
    :param answered: whether the backend server answered
    :param draining: whether it said that it is leaving
    :param healthy: whether it said that it is well
    :param load: its load in full, if it said so
    :param reported_name: name that it gave itself, if it did
    """

    now: float
    wall: float
    service: str
    server: str
    answered: bool
    draining: bool
    healthy: bool = True
    load: LoadReport | None = None
    reported_name: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """One VM of the platform's list."""

    name: str
    is_entry: bool
    zone: str
    address: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class VmsRead:
    """The platform's list of VMs, which lags."""

    now: float
    vms: tuple[Vm, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlTicked:
    """Time passed; leases and confirmations may be due.

    :param wall: wall-clock second read before ``now``
    """

    now: float
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendClaims:
    """Order to append grants to the log in one record."""

    claims: tuple[Claim, ...]
    read_to: int
    oldest: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendConfirmation:
    """Order to append the configuration in force to the log again."""

    configuration: Configuration
    read_to: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force here."""

    now: float
    configuration: Configuration
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendOffer:
    """Order to offer a leased range to another daemon.

    :param transfer: id of the grant that will follow
    """

    resource: str
    successor: str
    transfer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferAccepted:
    """A daemon counts its lease of an offered range from before now.

    :param incarnation: which run of that daemon takes it
    """

    resource: str
    transfer: str
    incarnation: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SendKeys:
    """Order to send all keys of a range to its new holder."""

    resource: str
    successor: str
    transfer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KeysReceived:
    """The new holder has a range's keys."""

    resource: str
    transfer: str
