"""Effects of the end of an attempt on the second attempts and on what is learned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.hedging.answer_times import note_time
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, SecondResult
from dotterelgate_core.messages import Cancel, Decision, SlotFreed
from dotterelgate_core.observing import free_slot

if TYPE_CHECKING:
    from dotterelgate_core.calls import Attempt, CallState
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState

__all__ = ["cancel_attempt", "cancel_others", "continue_other"]


def cancel_others(
    state: DaemonState, call_state: CallState, winner: str, now: float
) -> list[Message]:
    """Cancel the attempts of a call beside the one whose answer is relayed."""
    messages: list[Message] = []
    for server in [each for each in call_state.running if each != winner]:
        attempt = call_state.running[server]
        seconds = now - attempt.sent_at
        _learn_from_loser(state, call_state, attempt, seconds)
        sentence = f"{winner} answered first; the attempt at {server} is cancelled"
        messages += [
            *cancel_attempt(state, call_state, server, now),
            Decision(
                part="hedging",
                sentence=sentence,
                call_id=call_state.call.id,
                service=call_state.routed.service.name,
                target=server,
                facts={"attempt_ms": round(seconds * 1000), "second": attempt.is_second},
            ),
        ]
    return messages


def cancel_attempt(
    state: DaemonState, call_state: CallState, server: str, now: float
) -> list[Message]:
    """Cancel one attempt of a call and release its slot."""
    attempt = free_slot(state, call_state, server)
    if attempt is None:
        return []
    messages: list[Message] = [Cancel(call_id=call_state.call.id, server=server)]
    if attempt.is_second:
        messages.append(CountSecondAttempt(result=SecondResult.LOST))
    return [*messages, SlotFreed(now=now, service=call_state.routed.service.name)]


def continue_other(
    call_state: CallState, failed: str, reason: str, *, may_have_run: bool
) -> list[Message]:
    """Wait for the attempt that still runs beside one that failed."""
    call_state.avoided.add(failed)
    call_state.may_have_run = call_state.may_have_run or may_have_run
    decision = Decision(
        part="settling",
        sentence=f"{reason}; the attempt at {call_state.server} continues",
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
        target=failed,
    )
    return [decision]


def _learn_from_loser(
    state: DaemonState, call_state: CallState, attempt: Attempt, seconds: float
) -> None:
    """Count a cancelled attempt as an answer that came now.

    Otherwise a slow backend server would keep the pace of its fast answers, since the slow
    ones are cancelled.
    """
    note_time(state, call_state, attempt, seconds, attempt.expected_slowdown)
    server = state.servers.states.get(attempt.server)
    if server is None or attempt.is_second:
        return
    routed = call_state.routed
    usual = state.times.estimate(routed.service, routed.route)
    pace = seconds / max(1.0, attempt.expected_slowdown) / usual
    server.view.unsent_pace = pace
    server.view.update_pace(pace, attempt.sent_at + seconds)
