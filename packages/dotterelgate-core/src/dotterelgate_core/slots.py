"""Messages between a daemon and the owner of a service's queue in its zone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.codes import Refusal

__all__ = [
    "DenySlot",
    "GrantSlot",
    "QueueSlot",
    "RequestSlot",
    "SlotDenied",
    "SlotGrant",
    "SlotGranted",
    "SlotQueued",
    "SlotRequest",
    "SlotRequested",
    "SlotWithdrawn",
    "WithdrawSlot",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Data of a call that the owner needs to choose a slot.

    :param call_id: id of the call at the daemon that has it
    :param request_id: the caller's own id of the request, for the log
    :param route: name or prefix of the route
    :param work: expected seconds on a backend server without slowdown
    :param waited: seconds since the call was routed first
    :param remaining: seconds until its time limit
    :param attempt: dispatches so far
    :param avoided: backend servers that failed it
    :param organisation: name of the caller's organisation, empty for none
    :param organisation_priority: priority of that organisation
    :param only_free: whether to deny it unless a slot is free now
    """

    call_id: int
    request_id: str
    service: str
    route: str
    work: float
    waited: float
    remaining: float
    attempt: int = 0
    avoided: tuple[str, ...] = ()
    organisation: str = ""
    organisation_priority: int = 0
    only_free: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """A slot of a backend server, and the load report that the owner chose it by.

    :param slowdown: slowdown that the backend server reported last
    :param report_age: seconds since that report
    """

    server: str
    slowdown: float = 1.0
    report_age: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSlot:
    """Order to request a slot from the owner."""

    owner: str
    request: SlotRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawSlot:
    """Order to notify the owner that a call no longer needs a slot."""

    owner: str
    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantSlot:
    """Order to grant a slot to a daemon's call."""

    requester: str
    call_id: int
    grant: SlotGrant


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueSlot:
    """Order to notify a daemon that its call is queued."""

    requester: str
    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DenySlot:
    """Order to notify a daemon that its call gets no slot."""

    requester: str
    call_id: int
    refusal: Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequested:
    """A daemon of the zone requested a slot."""

    now: float
    wall: float
    requester: str
    request: SlotRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotWithdrawn:
    """A daemon's call no longer needs a slot."""

    now: float
    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotGranted:
    """The owner granted a slot."""

    now: float
    owner: str
    call_id: int
    grant: SlotGrant


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotQueued:
    """The owner queued the call."""

    now: float
    call_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDenied:
    """The owner refused the call; nothing of it was sent."""

    now: float
    call_id: int
    refusal: Refusal
