"""Messages that the pipelines read and write."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelgate_core.codes import Refusal
    from dotterelgate_core.configuration import BackendServer, Route, Service
    from dotterelgate_core.loads import LoadReport

__all__ = [
    "Call",
    "CallArrived",
    "CallParked",
    "CallRouted",
    "CallSettled",
    "CallerDisconnected",
    "Cancel",
    "Decision",
    "Dispatch",
    "DispatchFailed",
    "Forward",
    "PeerAnswered",
    "PeerFailed",
    "Purpose",
    "RefuseCall",
    "Relay",
    "ReleaseCall",
    "Replay",
    "ServerAnswered",
    "ServerReport",
    "SlotFreed",
    "Ticked",
    "format_identity",
]


def format_identity(identity: int) -> str:
    """Format a request's identity as the log and the status page show it."""
    return f"{identity:016x}"


class Purpose(str, Enum):
    """Why a call is forwarded to a peer."""

    HOLD = "hold"
    OWN = "own"


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Data of one request that the decisions need.

    :param id: unique in this daemon
    :param method: HTTP method
    :param host: value of ``Host`` without the port
    :param path: path without the query, as the caller sent it
    :param key: idempotency key, if the caller sent one
    :param fingerprint: digest of method, target and body, compared under one key
    :param timeout: seconds that the caller still waits, if it sent a limit
    :param streamed: whether the body is too large to be buffered
    :param retried: whether a caller upstream already retries
    :param unread_wait: seconds that it may have waited unread while the daemon was paused
    :param purpose: why a peer forwarded it; ``None`` when from a caller
    :param holder: daemon that holds its key and set the fence, if any
    :param fence: wall-clock second after which it must not start, if its key is held
    :param request_id: the caller's own id of this request, for the log
    :param identity: digest that is the same whenever the same request comes again, 0 for none
    :param credential: digest of the caller's credential, empty for none
    """

    id: int
    method: str
    host: str
    path: str
    key: str | None = None
    fingerprint: int = 0
    timeout: float | None = None
    streamed: bool = False
    retried: bool = False
    unread_wait: float = 0.0
    purpose: Purpose | None = None
    holder: str | None = None
    fence: float | None = None
    request_id: str = ""
    identity: int = 0
    credential: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallArrived:
    """A request is complete enough to be decided on."""

    now: float
    wall: float
    call: Call


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRouted:
    """A call with the route and the time limit that apply to it."""

    now: float
    wall: float
    call: Call
    service: Service
    route: Route
    deadline: float

    @property
    def expires(self) -> float:
        """Wall-clock second of the time limit."""
        return self.wall + (self.deadline - self.now)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallParked:
    """A keyed call waits until a holder of its range is known."""

    now: float
    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection or the peer cancelled.

    :param is_body_complete: whether the whole body of its request had arrived
    """

    now: float
    call_id: int
    is_body_complete: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """State of a backend server that it reported with an answer or probe.

    :param in_flight: requests it works on or queues, if reported
    :param draining: whether it reported that it is leaving
    :param load: its complete load report, if sent
    :param limit: requests a second that it takes from all daemons, infinite where it names
        none, ``None`` where what it names is not valid
    :param pause: seconds for which it wants no requests of this daemon if it refuses this one
    :param cold_seconds: seconds for which it is still cold, ``None`` where it does not say it
    """

    in_flight: int | None = None
    draining: bool = False
    load: LoadReport | None = None
    limit: float | None = float("inf")
    pause: float = 0.0
    cold_seconds: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerAnswered:
    """A backend server's complete answer arrived.

    :param wall: wall-clock second at which it arrived
    :param ran: ``False`` when the backend server reported that it did not run it
    :param stored_answer: the answer if small enough to be stored for a key, else ``None``
    """

    now: float
    wall: float
    call_id: int
    server: str
    status: int
    ran: bool
    report: ServerReport
    stored_answer: object | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchFailed:
    """A dispatched request got no complete answer.

    :param sent: whether the backend server may have read the complete request head
    :param relay_started: whether part of the answer went to the caller already
    :param refused: whether nothing listens at the server's address
    :param is_body_whole: whether the request's body can still be sent whole
    """

    now: float
    call_id: int
    server: str
    sent: bool
    relay_started: bool
    refusal: Refusal
    refused: bool = False
    is_body_whole: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerAnswered:
    """A peer returned a backend server's answer or its own refusal.

    :param refusal: the peer's refusal, or ``None`` when the complete answer arrived
    :param stored_answer: the answer if small enough to be stored for a key, else ``None``
    """

    now: float
    call_id: int
    peer: str
    refusal: Refusal | None = None
    stored_answer: object | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerFailed:
    """A peer that a call was forwarded to cannot be reached.

    :param sent: whether the peer may have read the call
    :param relay_started: whether part of the answer went to the caller already
    """

    now: float
    call_id: int
    peer: str
    sent: bool
    relay_started: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time passed."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotFreed:
    """Backend servers of a service may have free slots for waiting requests."""

    now: float
    service: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallSettled:
    """The final outcome of a call is decided; filters release their state of it.

    :param ran: whether it ran; ``None`` when that is unknown
    """

    now: float
    call_id: int
    refusal: Refusal | None
    ran: bool | None
    stored_answer: object | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Order to dispatch a call to a backend server.

    :param deadline: monotonic second at which the answer is given up
    :param fence: wall-clock second after which the server must not start it
    :param attempt: 1 for the first dispatch of the call
    :param organisation: name of the caller's organisation, empty for none
    """

    call_id: int
    server: BackendServer
    deadline: float
    fence: float | None
    attempt: int
    idempotent: bool
    organisation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Order to forward a call to a peer.

    :param deadline: monotonic second at which the answer is given up
    :param expires: wall-clock second after which the peer must not accept it
    :param fence: wall-clock second after which no backend server must start it
    """

    call_id: int
    peer: str
    purpose: Purpose
    deadline: float
    expires: float
    fence: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """Order to stop waiting for an answer and cancel the call at its server or peer."""

    call_id: int
    server: str | None = None
    peer: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Order to relay the answer that was received for a call."""

    call_id: int
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """Order to answer a call with the answer stored for its key."""

    call_id: int
    stored_answer: object


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseCall:
    """Order to answer a call with a result code.

    :param awaits_answer: whether its backend server's answer is still awaited
    :param organisation: name of the caller's organisation for the log, empty for none
    """

    call_id: int
    refusal: Refusal
    awaits_answer: bool = False
    organisation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class CredentialsChanged:
    """A configuration came into force that may lack credentials of waiting calls."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseCall:
    """Order to release a call that nobody waits for."""

    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """A decision for the log: a fixed prefix per part and a short sentence.

    :param facts: what the decision was based on, with ages and versions
    """

    part: str
    sentence: str
    call_id: int | None = None
    service: str = ""
    target: str = ""
    facts: Mapping[str, object] = field(default_factory=dict)
