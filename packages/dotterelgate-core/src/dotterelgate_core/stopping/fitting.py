"""Whether a call can still be served before this daemon has stopped, and its refusal if not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.calls import CALLER_NETWORK_SECONDS
from dotterelgate_core.codes import Refusal, limit_to_attempt
from dotterelgate_core.messages import CallSettled, Decision
from dotterelgate_core.stopping.awaiting import find_awaited

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState

__all__ = [
    "DELIVERY_SECONDS",
    "fits_stop",
    "has_time",
    "refuse_for_stop",
    "settle_for_stop",
    "settle_unfit",
]

# From an answer to its last byte at the caller, on a busy VM.
DELIVERY_SECONDS = 0.2


def fits_stop(
    state: DaemonState, call_state: CallState, now: float, *, slowdown: float = 1.0
) -> bool:
    """Return whether a call that is dispatched now is expected to be answered before the stop.

    :param now: monotonic second of the dispatch
    :param slowdown: slowdown expected on the backend server
    """
    if state.stop is None or call_state.requester is not None:
        return True
    routed = call_state.routed
    # One that doesn't fit can be served elsewhere; one that is cut off may have run.
    work = state.times.estimate_longest(routed.service, routed.route)
    return now + work * slowdown + DELIVERY_SECONDS <= state.stop.ends_at


def has_time(state: DaemonState, call_state: CallState, now: float) -> bool:
    """Return whether a dispatch now is expected to be answered before deadline and stop."""
    is_in_time = now + call_state.work + CALLER_NETWORK_SECONDS <= call_state.routed.deadline
    return is_in_time and fits_stop(state, call_state, now)


def settle_unfit(state: DaemonState, call_state: CallState, now: float) -> list[Message]:
    """Refuse a call that was not dispatched and can't be answered before the stop."""
    awaited = find_awaited(state, call_state)
    call_state.queued = False
    reason = f"the daemon stops before it can be served; it waited for {awaited.value}"
    return settle_for_stop(call_state, refuse_for_stop(call_state, reason), now, ran=False)


def settle_for_stop(
    call_state: CallState, refusal: Refusal, now: float, *, ran: bool | None
) -> list[Message]:
    """Settle a call because of the stop, with a line for the log.

    :param ran: whether it ran, ``None`` when that is unknown
    """
    decision = Decision(
        part="stopping",
        sentence=refusal.reason,
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
    )
    settled = CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=ran)
    return [decision, settled]


def refuse_for_stop(call_state: CallState, reason: str) -> Refusal:
    """Build the refusal of a call that was not dispatched.

    Its caller may retry at once: other daemons serve on.
    """
    refusal = Refusal(codes.STOPPING, reason)
    return limit_to_attempt(refusal) if call_state.call.key is not None else refusal
