"""Decides on a request that is not sent, on a copy of the state that the decisions use."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from dotterelgate_core.asking import OWNERS_LIMIT
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.explaining.candidates import list_candidates
from dotterelgate_core.messages import CallArrived, CallRouted, Dispatch, Forward, RefuseCall
from dotterelgate_core.routes import find_route, make_route_filter
from dotterelgate_core.slots import RequestSlot

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.codes import Refusal
    from dotterelgate_core.explaining.candidates import Candidate
    from dotterelgate_core.messages import Call
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState

__all__ = ["DryRun", "run_dry"]


@dataclass(frozen=True, kw_only=True, slots=True)
class DryRun:
    """What would become of a request now.

    :param call_state: the request as the decisions left it, ``None`` where no route takes it
    :param refusal: the refusal, if it would be refused
    :param peer: daemon that would be asked for a slot, or would get the request
    :param server: backend server that it would be sent to; where a peer decides, by the view of
        this daemon; empty while it would wait
    :param candidates: the service's backend servers
    """

    call_state: CallState | None = None
    refusal: Refusal | None = None
    peer: str = ""
    server: str = ""
    candidates: tuple[Candidate, ...] = ()


def run_dry(
    state: DaemonState, call: Call, *, now: float, wall: float, keyed: bool = False
) -> DryRun:
    """Run a call through the pipeline of requests, without any effect.

    :param keyed: as for the pipeline of the daemon's own requests
    """
    copy = deepcopy(state, _list_shared(state, call))
    (routed,) = make_route_filter(copy)(CallArrived(now=now, wall=wall, call=call))
    if not isinstance(routed, CallRouted):
        return DryRun(refusal=_find_refusal([routed]))
    call_state = copy.calls.states[call.id]
    candidates = tuple(list_candidates(copy, call_state, now))
    decide = make_request_pipeline(copy, Random(0), keyed=keyed)
    orders = list(decide(routed))
    refusal = _find_refusal(orders)
    peer = _find_peer(orders)
    if peer:
        call_state.failed_owners = OWNERS_LIMIT
        call_state.must_stay_local = True
        orders = list(decide(routed))
    return DryRun(
        call_state=call_state,
        refusal=refusal,
        peer=peer,
        server=next((each.server.name for each in orders if isinstance(each, Dispatch)), ""),
        candidates=candidates,
    )


def _list_shared(state: DaemonState, call: Call) -> dict[int, object]:
    """List what the pipeline does not change for this call, by its id, and is not copied.

    Copies of all servers, peers and calls of a large deployment would stop the loop for 0.1 s.
    """
    found = find_route(state.configuration, call)
    names = set()
    if found is not None:
        names = {found[0].name, *(part.service for part in found[1].split)}
    calls = state.calls.states.values()
    shared: list[object] = [
        state.configuration,
        *state.peers.listed.values(),
        *(each for each in state.servers.states.values() if each.service not in names),
        *(each.routed for each in calls),
        *(each for each in calls if not each.queued),
    ]
    return {id(each): each for each in shared}


def _find_refusal(orders: list[Message]) -> Refusal | None:
    return next((each.refusal for each in orders if isinstance(each, RefuseCall)), None)


def _find_peer(orders: list[Message]) -> str:
    for order in orders:
        if isinstance(order, RequestSlot):
            return order.owner
        if isinstance(order, Forward):
            return order.peer
    return ""
