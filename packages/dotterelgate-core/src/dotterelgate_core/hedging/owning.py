"""An owner's answers to slot requests of second attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.binding import grant_slot
from dotterelgate_core.codes import Refusal
from dotterelgate_core.granting import build_call_state, route_request
from dotterelgate_core.hedging.choosing import choose_free_server
from dotterelgate_core.slots import DenySlot

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelgate_core.pipes import Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.slots import SlotRequested
    from dotterelgate_core.state import DaemonState

__all__ = ["answer_free_request"]


def answer_free_request(
    state: DaemonState, policies: Mapping[str, Policy], requested: SlotRequested
) -> list[Message]:
    """Grant a free slot or deny it; the request is never queued."""
    routed = route_request(state, requested)
    if isinstance(routed, DenySlot):
        return [routed]
    call_state = build_call_state(state, requested, routed)
    chosen = choose_free_server(state, policies, call_state, requested.now)
    if isinstance(chosen, Refusal):
        call_id = requested.request.call_id
        return [DenySlot(requester=requested.requester, call_id=call_id, refusal=chosen)]
    return grant_slot(call_state, chosen, requested.now)
