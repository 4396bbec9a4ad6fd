"""Filter that settles the calls which a planned stop leaves no time for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.outcomes import cancel_attempt
from dotterelgate_core.messages import Cancel, Ticked
from dotterelgate_core.stopping.awaiting import Awaited, find_awaited
from dotterelgate_core.stopping.fitting import (
    DELIVERY_SECONDS,
    fits_stop,
    settle_for_stop,
    settle_unfit,
)
from dotterelgate_core.unsent import fail_unsent_attempts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["StopReached", "make_stop_filter"]


@dataclass(frozen=True, kw_only=True, slots=True)
class StopReached:
    """The time for calls in progress is over; each gets its final answer now."""

    now: float


def make_stop_filter(state: DaemonState) -> Filter:
    """Build the filter that refuses calls as soon as they can't be answered before the stop."""

    def settle(message: Message) -> Iterable[Message]:
        if isinstance(message, StopReached):
            return _settle_all(state, message.now)
        if isinstance(message, Ticked) and state.stop is not None:
            return [*_refuse_unfit(state, message.now), message]
        return (message,)

    return settle


def _refuse_unfit(state: DaemonState, now: float) -> list[Message]:
    assert state.stop is not None
    messages: list[Message] = []
    for call_state in list(state.calls.states.values()):
        awaited = find_awaited(state, call_state)
        if awaited.is_before_dispatch and not fits_stop(state, call_state, now):
            messages += settle_unfit(state, call_state, now)
    if now + DELIVERY_SECONDS > state.stop.ends_at:
        # Their calls get a refusal that says so, and nothing is sent late.
        messages += fail_unsent_attempts(
            state.calls.states.values(), "the daemon stops before it accepted"
        )
    return messages


def _settle_all(state: DaemonState, now: float) -> list[Message]:
    messages: list[Message] = []
    for call_state in list(state.calls.states.values()):
        awaited = find_awaited(state, call_state)
        if awaited.is_dispatched:
            messages += _end_dispatched(state, call_state, awaited, now)
        else:
            messages += settle_unfit(state, call_state, now)
    return messages


def _end_dispatched(
    state: DaemonState, call_state: CallState, awaited: Awaited, now: float
) -> list[Message]:
    messages: list[Message] = []
    if call_state.peer is not None:
        messages.append(Cancel(call_id=call_state.call.id, peer=call_state.peer))
    for server in list(call_state.running):
        messages += cancel_attempt(state, call_state, server, now)
    reason = f"the daemon stops; it waited for {awaited.value}"
    refusal = Refusal(codes.CUT_BY_STOP, reason)
    return [*messages, *settle_for_stop(call_state, refusal, now, ran=None)]
