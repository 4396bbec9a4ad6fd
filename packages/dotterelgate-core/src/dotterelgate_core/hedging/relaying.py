"""Filter that binds a call to the attempt whose answer is relayed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.hedging.answer_times import note_time
from dotterelgate_core.hedging.outcomes import cancel_attempt, cancel_others, continue_other
from dotterelgate_core.hedging.second_attempts import RelayBegan
from dotterelgate_core.learning import FIRST_FAILURE_STATUS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_relay_filter"]


def make_relay_filter(state: DaemonState) -> Filter:
    """Build the filter that cancels the other attempt when part of an answer is relayed."""

    def bind(message: Message) -> Iterable[Message]:
        if isinstance(message, RelayBegan):
            return _settle_relay_start(state, message)
        return (message,)

    return bind


def _settle_relay_start(state: DaemonState, message: RelayBegan) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    attempt = call_state.running.get(message.server) if call_state is not None else None
    if call_state is None or attempt is None:
        return []
    if message.status >= FIRST_FAILURE_STATUS and len(call_state.running) > 1:
        cancelled = cancel_attempt(state, call_state, message.server, message.now)
        reason = f"{message.server} answered {message.status}"
        others = continue_other(call_state, message.server, reason, may_have_run=True)
        return [*cancelled, *others]
    call_state.relay_started = True
    if message.status < FIRST_FAILURE_STATUS:
        seconds = message.now - attempt.sent_at
        note_time(state, call_state, attempt, seconds, attempt.expected_slowdown)
    return cancel_others(state, call_state, message.server, message.now)
