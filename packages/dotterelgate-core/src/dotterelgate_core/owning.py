"""Filter that forwards a call to the daemon that owns the service's queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.messages import CallRouted, Decision, Forward, Purpose
from dotterelgate_core.peers import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.state import DaemonState

__all__ = ["make_owning_filter"]


def make_owning_filter(state: DaemonState, policies: Mapping[str, Policy]) -> Filter:
    """Build the filter that forwards calls of services with an owned queue."""

    def own(message: Message) -> Iterable[Message]:
        if not isinstance(message, CallRouted):
            return (message,)
        if not policies[message.service.policy].owned or not _may_forward(state, message):
            return (message,)
        owner = find_owner(state, message.service.name)
        if owner == state.name:
            return (message,)
        return _forward_call(state, message, owner)

    return own


def find_owner(state: DaemonState, service: str) -> str:
    """Return the owner of a forwarded service's queue: the first in rank of the usable daemons."""
    usable = state.peers.select_usable()
    if not usable:
        return state.name
    return rank_by_rendezvous(service, usable)[0]


def _may_forward(state: DaemonState, routed: CallRouted) -> bool:
    call = routed.call
    if call.streamed or call.purpose is Purpose.OWN:
        return False
    return not state.calls.states[call.id].must_stay_local


def _forward_call(state: DaemonState, routed: CallRouted, owner: str) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    call_state.peer = owner
    return [
        Forward(
            call_id=routed.call.id,
            peer=owner,
            purpose=Purpose.OWN,
            deadline=routed.deadline,
            expires=routed.expires,
            fence=call_state.fence,
        ),
        Decision(
            part="owning",
            sentence=f"{owner} owns the queue of {routed.service.name}; handing the call over",
            call_id=routed.call.id,
            service=routed.service.name,
            target=owner,
        ),
    ]
