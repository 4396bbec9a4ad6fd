"""Filter that updates the state of backend servers with each outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.control_messages import AnnounceLeaving
from dotterelgate_core.hedging.answer_times import note_time
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, SecondResult
from dotterelgate_core.learning import FIRST_FAILURE_STATUS, find_slowdown, learn_from_answer
from dotterelgate_core.messages import Decision, DispatchFailed, ServerAnswered, SlotFreed
from dotterelgate_core.statements import apply_answer_statements

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import Attempt, CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["free_slot", "make_observing_filter"]


def make_observing_filter(state: DaemonState) -> Filter:
    """Build the filter that updates backend servers with answers and failures."""

    def observe(message: Message) -> Iterable[Message]:
        if isinstance(message, ServerAnswered):
            return _observe_answer(state, message)
        if isinstance(message, DispatchFailed):
            return _observe_failure(state, message)
        return (message,)

    return observe


def _observe_answer(state: DaemonState, message: ServerAnswered) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    server = state.servers.states.get(message.server)
    attempt = free_slot(state, call_state, message.server) if call_state is not None else None
    if call_state is None or attempt is None:
        return []
    if server is not None:
        if message.report.in_flight is not None:
            server.reported = message.report.in_flight
    seconds = message.now - attempt.sent_at
    queue = state.waiting.find(call_state.routed.service.name)
    if message.ran:
        queue.update_slot_time(seconds, long=call_state.routed.route.long)
        if server is not None and not call_state.routed.route.long:
            server.record_success(message.now, queue.cap_straggler(seconds))
    is_good = message.ran and message.status < FIRST_FAILURE_STATUS
    if is_good and not call_state.relay_started:
        slowdown = find_slowdown(attempt, message.report)
        note_time(state, call_state, attempt, seconds, slowdown)
    if server is not None:
        learn_from_answer(state, server, call_state.routed, attempt, message)
    freed = [
        *_count_second(attempt, SecondResult.WON if is_good else SecondResult.LOST),
        SlotFreed(now=message.now, service=call_state.routed.service.name),
    ]
    if server is None:
        return [message, *freed]
    changes = apply_answer_statements(server, message)
    if not message.report.draining or server.reports_leaving:
        return [message, *changes, *freed]
    announcement = AnnounceLeaving(server=message.server, is_leaving=True, wall=message.wall)
    server.apply_leaving_report(is_leaving=True, wall=message.wall)
    sentence = f"{message.server} is leaving, according to its answer; it gets no new requests"
    decision = Decision(part="settling", sentence=sentence, target=message.server)
    return [message, *changes, announcement, decision, *freed]


def _observe_failure(state: DaemonState, message: DispatchFailed) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    server = state.servers.states.get(message.server)
    attempt = free_slot(state, call_state, message.server) if call_state is not None else None
    if call_state is None or attempt is None:
        return []
    if server is not None and message.refusal.code is not codes.CALLER_GONE:
        server.record_failure(message.now)
        server.view.update_failure_share(failed=True, now=message.now)
        server.view.has_unsent_failure = True
    return [
        message,
        *_count_second(attempt, SecondResult.LOST),
        SlotFreed(now=message.now, service=call_state.routed.service.name),
    ]


def _count_second(attempt: Attempt, result: SecondResult) -> list[Message]:
    return [CountSecondAttempt(result=result)] if attempt.is_second else []


def free_slot(state: DaemonState, call_state: CallState, server_name: str) -> Attempt | None:
    """Release the slot that a call's attempt uses at a backend server.

    :returns: the attempt, or ``None`` if the call has none there
    """
    attempt = call_state.running.pop(server_name, None)
    if attempt is None:
        return None
    state.servers.changed.add(server_name)
    server = state.servers.states.get(server_name)
    if server is not None and server.in_flight > 0:
        server.in_flight -= 1
    if call_state.routed.route.long:
        state.waiting.find(call_state.routed.service.name).long_in_flight -= 1
    return attempt
