"""Filter that requests slots from the owner of a service's queue."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.admission import mark_admitted
from dotterelgate_core.binding import dispatch_call
from dotterelgate_core.homes.restricting import is_at_home
from dotterelgate_core.messages import CallRouted, CallSettled, Decision, Ticked
from dotterelgate_core.owners import find_owner
from dotterelgate_core.slots import (
    RequestSlot,
    SlotDenied,
    SlotGranted,
    SlotQueued,
    SlotRequest,
    WithdrawSlot,
)
from dotterelgate_core.stopping.fitting import fits_stop, settle_unfit

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.state import DaemonState

__all__ = ["AskingState", "build_request", "make_asking_filter"]

# A request is repeated after this time; an answer takes a few milliseconds.
REPEAT_SECONDS = 0.03
# Consecutive unanswered requests after which the owner counts as lost.
UNANSWERED_LIMIT = 3
# Owners tried for one call; after that this daemon chooses by its own view.
OWNERS_LIMIT = 2
# Grants of ineligible servers, such as leaving ones, after which an owner is passed over.
UNUSABLE_GRANTS_LIMIT = 3


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A call that waits for an owner's answer.

    :param requested_at: monotonic second of the newest request
    :param unanswered: requests since the owner's last answer
    :param unusable: grants that could not be used
    """

    owner: str
    requested_at: float
    unanswered: int = 1
    unusable: int = 0


@dataclass(kw_only=True, slots=True)
class AskingState:
    """Calls that wait for an owner's answer.

    :param requests: by call id
    """

    requests: dict[int, PendingRequest] = field(default_factory=dict)


def make_asking_filter(
    state: DaemonState, asking: AskingState, policies: Mapping[str, Policy]
) -> Filter:
    """Build the filter that turns routed calls into slot requests and grants into dispatches."""

    def request(message: Message) -> Iterable[Message]:
        orders: list[Message] = []
        for order in handle(message):
            if isinstance(order, CallRouted):
                orders.extend(_request_slot(state, asking, policies, order))
            else:
                orders.append(order)
        return orders

    def handle(message: Message) -> Iterable[Message]:
        if isinstance(message, SlotGranted):
            return _handle_grant(state, asking, message)
        if isinstance(message, SlotQueued):
            pending = asking.requests.get(message.call_id)
            if pending is not None:
                pending.unanswered = 0
            return ()
        if isinstance(message, SlotDenied):
            return _handle_denial(state, asking, message)
        if isinstance(message, Ticked):
            return [*_check_pending(state, asking, message.now), message]
        return (message,)

    return request


def _request_slot(
    state: DaemonState,
    asking: AskingState,
    policies: Mapping[str, Policy],
    routed: CallRouted,
) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    service = routed.service
    owner = find_owner(state, service.name, routed.now)
    is_local = call_state.requester is not None or owner == state.name
    if is_local or not policies[service.policy].granted:
        return [routed]
    if call_state.failed_owners >= OWNERS_LIMIT:
        return [routed]
    pool = state.servers.by_service.get(service.name, [])
    usable = (each for each in pool if each.is_eligible(routed.now))
    if not any(is_at_home(state, call_state, each) for each in usable):
        return [routed]
    if not call_state.admitted:
        mark_admitted(state, call_state)
    call_state.queued = True
    asking.requests[routed.call.id] = PendingRequest(owner=owner, requested_at=routed.now)
    return [build_request(call_state, owner, routed.now)]


def build_request(call_state: CallState, owner: str, now: float) -> RequestSlot:
    """Build the order to request a slot for a call."""
    routed = call_state.routed
    request = SlotRequest(
        call_id=routed.call.id,
        request_id=routed.call.request_id,
        service=routed.service.name,
        route=routed.route.name or routed.route.prefix,
        work=call_state.work,
        waited=now - call_state.arrived,
        remaining=max(0.0, routed.deadline - now),
        attempt=call_state.attempts,
        avoided=tuple(sorted(call_state.avoided)),
        organisation=call_state.organisation_name,
        organisation_priority=call_state.organisation_priority,
    )
    return RequestSlot(owner=owner, request=request)


def _handle_grant(state: DaemonState, asking: AskingState, granted: SlotGranted) -> list[Message]:
    pending = asking.requests.get(granted.call_id)
    call_state = state.calls.states.get(granted.call_id)
    name = granted.grant.server
    if pending is None or call_state is None or call_state.server is not None:
        # The owner counts a request that does not exist; the next load update corrects it.
        state.servers.changed.add(name)
        return []
    server = state.servers.states.get(name)
    is_usable = server is not None and server.is_eligible(granted.now)
    if server is None or not is_usable or not is_at_home(state, call_state, server):
        state.servers.changed.add(name)
        return _request_another(state, asking, pending, call_state, name, granted.now)
    del asking.requests[granted.call_id]
    if not fits_stop(state, call_state, granted.now, slowdown=granted.grant.slowdown):
        # The owner counts the slot as used; the next load update corrects it.
        state.servers.changed.add(name)
        return settle_unfit(state, call_state, granted.now)
    facts = {
        "owner": granted.owner,
        "slowdown": granted.grant.slowdown,
        "report_age_ms": round(granted.grant.report_age * 1000),
    }
    slowdown = granted.grant.slowdown
    return dispatch_call(state, call_state, server, granted.now, slowdown=slowdown, facts=facts)


def _request_another(
    state: DaemonState,
    asking: AskingState,
    pending: PendingRequest,
    call_state: CallState,
    unusable: str,
    now: float,
) -> list[Message]:
    call_state.avoided.add(unusable)
    pending.unusable += 1
    if pending.unusable < UNUSABLE_GRANTS_LIMIT:
        pending.requested_at = now
        return [build_request(call_state, pending.owner, now)]
    return _skip_owner(asking, call_state, now, "its grants cannot be used")


def _handle_denial(state: DaemonState, asking: AskingState, denied: SlotDenied) -> list[Message]:
    pending = asking.requests.get(denied.call_id)
    call_state = state.calls.states.get(denied.call_id)
    if pending is None or call_state is None or call_state.server is not None:
        return []
    if denied.refusal.code in (codes.NO_CONFIGURATION, codes.NO_SERVER, codes.STOPPING):
        # This daemon has a route and backend servers; the owner has older data, or ends.
        return _skip_owner(asking, call_state, denied.now, denied.refusal.reason)
    del asking.requests[denied.call_id]
    call_state.queued = False
    decision = Decision(
        part="asking",
        sentence=f"{pending.owner} refused: {denied.refusal.reason}",
        call_id=denied.call_id,
        service=call_state.routed.service.name,
        facts={
            "owner": pending.owner,
            "attempts": call_state.attempts,
            **call_state.describe_organisation(),
        },
    )
    settled = CallSettled(now=denied.now, call_id=denied.call_id, refusal=denied.refusal, ran=False)
    return [decision, settled]


def _check_pending(state: DaemonState, asking: AskingState, now: float) -> list[Message]:
    messages: list[Message] = []
    for call_id, pending in list(asking.requests.items()):
        call_state = state.calls.states.get(call_id)
        if call_state is None:
            del asking.requests[call_id]
            messages.append(WithdrawSlot(owner=pending.owner, call_id=call_id))
        elif now - pending.requested_at >= REPEAT_SECONDS:
            messages.extend(_repeat_request(state, asking, pending, call_state, now))
    return messages


def _repeat_request(
    state: DaemonState,
    asking: AskingState,
    pending: PendingRequest,
    call_state: CallState,
    now: float,
) -> list[Message]:
    if pending.unanswered >= UNANSWERED_LIMIT:
        state.owners.suspect(pending.owner, now)
        return _skip_owner(asking, call_state, now, "it does not answer")
    pending.unanswered += 1
    pending.requested_at = now
    return [build_request(call_state, pending.owner, now)]


def _skip_owner(
    asking: AskingState, call_state: CallState, now: float, reason: str
) -> list[Message]:
    """Try the next owner, or choose locally after ``OWNERS_LIMIT`` owners."""
    call_id = call_state.call.id
    pending = asking.requests.pop(call_id)
    call_state.failed_owners += 1
    decision = Decision(
        part="asking",
        sentence=f"{pending.owner} is passed over as owner: {reason}",
        call_id=call_id,
        service=call_state.routed.service.name,
        target=pending.owner,
    )
    withdrawal = WithdrawSlot(owner=pending.owner, call_id=call_id)
    return [decision, withdrawal, replace(call_state.routed, now=now)]
