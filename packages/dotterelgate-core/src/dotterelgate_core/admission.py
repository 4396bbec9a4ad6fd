"""Filter that refuses early what would wait too long, and queues the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import CallRouted, Settled, SlotFreed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_admission_filter"]


def make_admission_filter(state: DaemonState) -> Filter:
    """Make the filter from routed calls to waiting ones."""

    def admit(message: Message) -> Iterable[Message]:
        if not isinstance(message, CallRouted):
            return (message,)
        return _admit(state, message)

    return admit


def _admit(state: DaemonState, routed: CallRouted) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    queue = state.waiting.find(routed.service.name)
    if call_state.attempts:
        queue.add_first(call_state)
        return [SlotFreed(now=routed.now, service=routed.service.name)]
    refusal = _refuse(state, routed)
    if refusal is not None:
        return [Settled(now=routed.now, call_id=routed.call.id, refusal=refusal, ran=False)]
    state.retries.find(routed.service.name, routed.service.retry_share).earn()
    queue.add(call_state)
    return [SlotFreed(now=routed.now, service=routed.service.name)]


def _refuse(state: DaemonState, routed: CallRouted) -> Refusal | None:
    service = routed.service
    pool = state.servers.by_service.get(service.name, [])
    eligible = [each for each in pool if each.is_eligible(routed.now)]
    if not eligible:
        return Refusal(codes.NO_SERVER, f"no backend server of {service.name} can be used")
    slots = sum(each.server.slots for each in eligible)
    route = routed.route
    if route.long:
        slots = max(1, int(slots * service.long_share))
    queue = state.waiting.find(service.name)
    wait = queue.estimate_wait(route.priority, long=route.long, slots=slots)
    allowed = min(service.queue_limit, routed.deadline - routed.now)
    if wait <= allowed:
        return None
    return Refusal(codes.OVERLOADED, f"the expected wait of {wait * 1000:.0f} ms is too long")
