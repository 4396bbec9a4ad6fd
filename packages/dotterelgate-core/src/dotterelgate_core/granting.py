"""Filters of a queue's owner: calls of other daemons are queued like its own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.calls import CallState
from dotterelgate_core.codes import Refusal
from dotterelgate_core.configuration import Priority
from dotterelgate_core.messages import Call, CallRouted, CallSettled, Ticked
from dotterelgate_core.slots import (
    DenySlot,
    GrantSlot,
    QueueSlot,
    SlotRequested,
    SlotWithdrawn,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.configuration import Route, Service
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.slots import SlotRequest
    from dotterelgate_core.state import DaemonState

__all__ = [
    "GrantingState",
    "build_call_state",
    "make_granting_filter",
    "make_reply_filter",
    "route_request",
]

# Time for which a repeated request gets the same grant, since the first may be lost.
GRANT_REPEAT_SECONDS = 1.0


@dataclass(kw_only=True, slots=True)
class GrantingState:
    """Slots granted to calls of other daemons.

    :param granted: grants by call id, with the monotonic second of each
    """

    granted: dict[int, tuple[float, GrantSlot]] = field(default_factory=dict)


def make_granting_filter(state: DaemonState, granting: GrantingState) -> Filter:
    """Build the filter that turns other daemons' slot requests into routed calls."""

    def grant(message: Message) -> Iterable[Message]:
        if isinstance(message, SlotRequested):
            return _handle_request(state, granting, message)
        if isinstance(message, SlotWithdrawn):
            _withdraw(state, granting, message.call_id)
            return ()
        if isinstance(message, Ticked):
            _drop_old_grants(granting, message.now)
        return (message,)

    return grant


def make_reply_filter(state: DaemonState, granting: GrantingState) -> Filter:
    """Build the filter that stores grants and turns refusals into denials for the requester."""

    def reply(message: Message) -> Iterable[Message]:
        if isinstance(message, GrantSlot):
            call_state = state.calls.states.pop(message.call_id, None)
            if call_state is not None:
                granting.granted[message.call_id] = (call_state.granted_at, message)
            return (message,)
        if isinstance(message, CallSettled):
            return _reply_settled(state, message)
        return (message,)

    return reply


def _reply_settled(state: DaemonState, settled: CallSettled) -> list[Message]:
    call_state = state.calls.states.get(settled.call_id)
    if call_state is None or call_state.requester is None or settled.refusal is None:
        return [settled]
    del state.calls.states[settled.call_id]
    return [
        DenySlot(requester=call_state.requester, call_id=settled.call_id, refusal=settled.refusal)
    ]


def _handle_request(
    state: DaemonState, granting: GrantingState, requested: SlotRequested
) -> list[Message]:
    request = requested.request
    previous = granting.granted.get(request.call_id)
    if previous is not None and previous[1].grant.server not in request.avoided:
        return [previous[1]]
    granting.granted.pop(request.call_id, None)
    if request.call_id in state.calls.states:
        return [QueueSlot(requester=requested.requester, call_id=request.call_id)]
    routed = route_request(state, requested)
    if isinstance(routed, CallRouted):
        call_state = build_call_state(state, requested, routed)
        state.calls.add_state(call_state)
        state.times.routed_at[request.service] = requested.now
    return [routed]


def route_request(state: DaemonState, requested: SlotRequested) -> CallRouted | DenySlot:
    """Route the call of a slot request, or deny it if this daemon has no such route."""
    request = requested.request
    found = _find_route(state, request)
    if found is None:
        reason = f"the owner knows no route {request.route} of {request.service}"
        refusal = Refusal(codes.NO_CONFIGURATION, reason)
        return DenySlot(requester=requested.requester, call_id=request.call_id, refusal=refusal)
    service, route = found
    return CallRouted(
        now=requested.now,
        wall=requested.wall,
        call=Call(id=request.call_id, method="", host="", path="", request_id=request.request_id),
        service=service,
        route=route,
        deadline=requested.now + request.remaining,
    )


def build_call_state(state: DaemonState, requested: SlotRequested, routed: CallRouted) -> CallState:
    """Build the state of a call of another daemon."""
    request = requested.request
    return CallState(
        routed=routed,
        requester=requested.requester,
        arrived=requested.now - request.waited,
        work=request.work,
        attempts=request.attempt,
        avoided=set(request.avoided),
        organisation=state.configuration.find_organisation(request.organisation),
        organisation_name=request.organisation,
        organisation_priority=Priority.clamp(request.organisation_priority),
    )


def _find_route(state: DaemonState, request: SlotRequest) -> tuple[Service, Route] | None:
    service = state.configuration.find_service(request.service)
    if service is None or state.configuration.current is None:
        return None
    # A split route is listed under its first part only.
    for each in (service, *state.configuration.current.services):
        for route in each.routes:
            if request.route in (route.name, route.prefix):
                return service, route
    return None


def _withdraw(state: DaemonState, granting: GrantingState, call_id: int) -> None:
    granting.granted.pop(call_id, None)
    call_state = state.calls.states.get(call_id)
    if call_state is not None and call_state.requester is not None:
        call_state.queued = False
        del state.calls.states[call_id]


def _drop_old_grants(granting: GrantingState, now: float) -> None:
    # Entries are in the order of their grants.
    while granting.granted:
        call_id, (granted_at, _) = next(iter(granting.granted.items()))
        if now - granted_at <= GRANT_REPEAT_SECONDS:
            return
        del granting.granted[call_id]
