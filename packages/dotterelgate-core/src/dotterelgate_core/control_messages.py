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
    """Reading of the log starts, or restarts after records were lost."""

    now: float
    start: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PublicationRead:
    """A publication was read from the log; the link's body is the configuration."""

    now: float
    link: Link


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmationRead:
    """A confirmation of the configuration in force was read from the log."""

    now: float
    link: Link


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationReceived:
    """A peer sent the configuration that it has in force."""

    now: float
    peer: str
    configuration: Configuration


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRead:
    """A grant was read from the log; it is the link's body."""

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
    """A daemon announced whether a backend server is leaving.

    :param wall: wall-clock second at which that daemon learned it
    """

    now: float
    server: str
    source: str
    is_leaving: bool
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceLeaving:
    """Order to announce to all daemons whether a backend server is leaving.

    :param wall: wall-clock second at which this daemon learned it
    """

    server: str
    is_leaving: bool
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Order to probe a backend server.

    :param fence: wall-clock second after which the probe must not start
    :param cost: slot seconds charged for it
    :param path: path to request
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
    :param draining: whether the answer reports that it is leaving
    :param healthy: whether the answer reports that it is healthy
    :param load: its load, if the answer reports all of it
    :param reported_name: its name, if the answer reports one
    :param limit: requests a second that it takes, as in ``ServerReport``
    :param refused: whether nothing listens at its address
    :param cold_seconds: seconds for which it is still cold, as in ``ServerReport``
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
    limit: float | None = float("inf")
    refused: bool = False
    cold_seconds: float | None = None


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
    """The platform's list of VMs was read; it lags behind."""

    now: float
    vms: tuple[Vm, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlTicked:
    """A periodic tick, on which leases, confirmations, probes and reads may be due.

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
    """A newer configuration came into force here."""

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
    """A daemon accepted an offered range; its lease counts from before this message.

    :param incarnation: which run of that daemon accepted it
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
    """The new holder received the keys of a range."""

    resource: str
    transfer: str
