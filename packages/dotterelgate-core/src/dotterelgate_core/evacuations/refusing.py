"""Filter that refuses calls whose service has no backend server outside evacuated zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.evacuations.applying import ServersEvacuated
from dotterelgate_core.homes.restricting import is_at_home
from dotterelgate_core.messages import CallRouted, CallSettled, Decision
from dotterelgate_core.retry_after import choose_ranked_retry_after
from dotterelgate_core.unsent import FailUnsent

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_refusing_filter"]


def make_refusing_filter(state: DaemonState) -> Filter:
    """Build the filter that refuses new and waiting calls at once when no server is left.

    Calls that may still wait for a connection to an evacuated server are to be failed.
    """

    def refuse(message: Message) -> Iterable[Message]:
        if isinstance(message, ServersEvacuated):
            return [*_refuse_waiting(state, message), *_fail_unsent(state)]
        if isinstance(message, CallRouted):
            call_state = state.calls.states[message.call.id]
            if _is_without_server(state, call_state, message.now):
                return _refuse_call(call_state, message.now)
        return (message,)

    return refuse


def _refuse_waiting(state: DaemonState, evacuated: ServersEvacuated) -> list[Message]:
    messages: list[Message] = []
    for call_state in list(state.calls.states.values()):
        if not call_state.queued or call_state.routed.service.name not in evacuated.services:
            continue
        if _is_without_server(state, call_state, evacuated.now):
            messages.extend(_refuse_call(call_state, evacuated.now))
    return messages


def _fail_unsent(state: DaemonState) -> list[Message]:
    servers = state.servers.states
    attempts = tuple(
        (call_state.call.id, name)
        for call_state in state.calls.states.values()
        for name in call_state.running
        if name in servers and servers[name].is_evacuated
    )
    reason = "its zone was evacuated before it accepted"
    return [FailUnsent(attempts=attempts, reason=reason)] if attempts else []


def _is_without_server(state: DaemonState, call_state: CallState, now: float) -> bool:
    if not state.evacuations.list_evacuated():
        return False
    pool = state.servers.by_service.get(call_state.routed.service.name, [])
    pool = [each for each in pool if is_at_home(state, call_state, each)]
    if not any(each.is_evacuated for each in pool):
        return False
    requester = call_state.requester
    return not any(
        each.is_eligible(now, requester) or each.wants_pause(now, requester) for each in pool
    )


def _refuse_call(call_state: CallState, now: float) -> list[Message]:
    call_state.queued = False
    routed = call_state.routed
    service = routed.service.name
    refusal = Refusal(
        codes.NO_SERVER,
        f"no backend server of {service} is outside the evacuated zones",
        retry_after=choose_ranked_retry_after(call_state, now),
    )
    decision = Decision(
        part="evacuation",
        sentence=refusal.reason,
        call_id=call_state.call.id,
        service=service,
        facts={"route": routed.route.name or routed.route.prefix, "rank": routed.route.priority},
    )
    settled = CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=False)
    return [decision, settled]
