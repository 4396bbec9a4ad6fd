"""Filter that updates the state of backend servers with each outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.control_messages import AnnounceLeaving
from dotterelgate_core.learning import learn_from_answer
from dotterelgate_core.messages import Decision, DispatchFailed, ServerAnswered, SlotFreed
from dotterelgate_core.statements import apply_answer_statements

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
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
    if call_state is None:
        return []
    if server is not None:
        if message.report.in_flight is not None:
            server.reported = message.report.in_flight
    seconds = message.now - call_state.sent_at
    queue = state.waiting.find(call_state.routed.service.name)
    if message.ran:
        queue.update_slot_time(seconds, long=call_state.routed.route.long)
        if server is not None and not call_state.routed.route.long:
            server.record_success(message.now, queue.cap_straggler(seconds))
    free_slot(state, call_state, message.server)
    if server is not None:
        learn_from_answer(state, server, call_state, message, seconds)
    freed = SlotFreed(now=message.now, service=call_state.routed.service.name)
    if server is None:
        return [message, freed]
    changes = apply_answer_statements(server, message)
    if not message.report.draining or server.reports_leaving:
        return [message, *changes, freed]
    announcement = AnnounceLeaving(server=message.server, is_leaving=True, wall=message.wall)
    server.apply_leaving_report(is_leaving=True, wall=message.wall)
    sentence = f"{message.server} is leaving, according to its answer; it gets no new requests"
    decision = Decision(part="settling", sentence=sentence, target=message.server)
    return [message, *changes, announcement, decision, freed]


def _observe_failure(state: DaemonState, message: DispatchFailed) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    server = state.servers.states.get(message.server)
    if call_state is None:
        return []
    if server is not None and message.refusal.code is not codes.CALLER_GONE:
        server.record_failure(message.now)
        server.view.update_failure_share(failed=True, now=message.now)
        server.view.has_unsent_failure = True
    free_slot(state, call_state, message.server)
    return [message, SlotFreed(now=message.now, service=call_state.routed.service.name)]


def free_slot(state: DaemonState, call_state: CallState, server_name: str) -> None:
    """Release the slot that a call uses at its backend server."""
    if call_state.server != server_name:
        return
    call_state.server = None
    state.servers.changed.add(server_name)
    server = state.servers.states.get(server_name)
    if server is not None and server.in_flight > 0:
        server.in_flight -= 1
    if call_state.routed.route.long:
        state.waiting.find(call_state.routed.service.name).long_in_flight -= 1
