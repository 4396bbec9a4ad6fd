"""Filter that turns settled calls into final orders and releases their state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import CallSettled, RefuseCall, Relay, ReleaseCall, Replay

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_finishing_filter"]


def make_finishing_filter(state: DaemonState) -> Filter:
    """Build the filter that turns settled calls into final orders and releases their state."""

    def finish(message: Message) -> Iterable[Message]:
        if isinstance(message, CallSettled):
            return _finish_settled(state, message)
        if isinstance(message, (RefuseCall, Replay)):
            return _finish_answered(state, message)
        if isinstance(message, Relay):
            call_state = state.calls.states.pop(message.call_id, None)
            if call_state is None or call_state.caller_disconnected:
                return (ReleaseCall(call_id=message.call_id),)
        return (message,)

    return finish


def _finish_settled(state: DaemonState, settled: CallSettled) -> list[Message]:
    if settled.refusal is None:
        return []
    call_state = state.calls.states.pop(settled.call_id, None)
    if call_state is None or call_state.caller_disconnected:
        return [ReleaseCall(call_id=settled.call_id)]
    refusal = settled.refusal
    if call_state.may_have_run and refusal.outcome is codes.Outcome.NOT_RUN:
        refusal = Refusal(codes.REPEAT_FAILED, refusal.reason)
    organisation = call_state.organisation_name
    return [RefuseCall(call_id=settled.call_id, refusal=refusal, organisation=organisation)]


def _finish_answered(state: DaemonState, message: RefuseCall | Replay) -> list[Message]:
    if isinstance(message, RefuseCall) and message.awaits_answer:
        return [message]
    state.calls.states.pop(message.call_id, None)
    return [message]
