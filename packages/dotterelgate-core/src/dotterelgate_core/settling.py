"""Filter that settles each call: relay an answer, retry, or refuse."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.outcomes import cancel_attempt, cancel_others, continue_other
from dotterelgate_core.learning import FIRST_FAILURE_STATUS
from dotterelgate_core.messages import (
    CallerDisconnected,
    CallParked,
    CallSettled,
    Cancel,
    Decision,
    DispatchFailed,
    PeerAnswered,
    PeerFailed,
    RefuseCall,
    Relay,
    ServerAnswered,
    Ticked,
)
from dotterelgate_core.retry_after import choose_retry_after
from dotterelgate_core.statuses import promises_not_run
from dotterelgate_core.stopping.fitting import has_time
from dotterelgate_core.unsent import fail_unsent_attempts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_settling_filter"]


# Failed connections of one call, with nothing sent, that do not count as attempts.
UNSENT_ATTEMPTS_LIMIT = 3


def make_settling_filter(state: DaemonState) -> Filter:
    """Build the filter that turns outcomes of calls into settled or retried calls."""

    def settle(message: Message) -> Iterable[Message]:
        if isinstance(message, ServerAnswered):
            return _settle_answer(state, message)
        if isinstance(message, DispatchFailed):
            return _settle_failure(state, message)
        if isinstance(message, PeerAnswered):
            return _settle_peer_answer(state, message)
        if isinstance(message, PeerFailed):
            return _settle_peer_failure(state, message)
        if isinstance(message, CallerDisconnected):
            return _settle_disconnect(state, message)
        if isinstance(message, Ticked):
            return [*_settle_deadlines(state, message.now), message]
        return (message,)

    return settle


def _settle_answer(state: DaemonState, message: ServerAnswered) -> list[Message]:
    call_state = state.calls.states[message.call_id]
    failed = not message.ran or message.status >= FIRST_FAILURE_STATUS
    if failed and call_state.running:
        reason = f"{message.server} answered {message.status}"
        return continue_other(call_state, message.server, reason, may_have_run=message.ran)
    if message.ran:
        if _is_retryable_answer(call_state, message) and _may_retry(state, call_state, message.now):
            call_state.may_have_run = True
            sentence = f"{message.server} answered {message.status}"
            return _retry_call(call_state, message.now, sentence, message.server)
        if not call_state.routed.route.idempotent and promises_not_run(message.status):
            return _refuse(message.now, message.call_id, _doubt(message), ran=None)
        return [
            *cancel_others(state, call_state, message.server, message.now),
            *_relay(message.now, message.call_id, message.server, message.stored_answer),
        ]
    refusal = Refusal(codes.SHED, f"{message.server} said that it did not run the request")
    return _retry_or_refuse(state, call_state, message.now, refusal, message.server)


def _doubt(message: ServerAnswered) -> Refusal:
    reason = f"{message.server} answered {message.status} without stating that it did not run it"
    return Refusal(codes.UNPROVEN_REFUSAL, reason)


def _relay(now: float, call_id: int, source: str, stored_answer: object | None) -> list[Message]:
    return [
        CallSettled(now=now, call_id=call_id, refusal=None, ran=True, stored_answer=stored_answer),
        Relay(call_id=call_id, source=source),
    ]


def _settle_failure(state: DaemonState, message: DispatchFailed) -> list[Message]:
    call_state = state.calls.states[message.call_id]
    if call_state.running:
        reason = message.refusal.reason
        return continue_other(call_state, message.server, reason, may_have_run=message.sent)
    if message.relay_started:
        return _refuse(message.now, message.call_id, message.refusal, ran=None)
    may_have_run = message.sent and not call_state.routed.route.idempotent
    if may_have_run:
        return _refuse(message.now, message.call_id, message.refusal, ran=None)
    if message.sent:
        call_state.may_have_run = True
        return _retry_or_refuse(state, call_state, message.now, message.refusal, message.server)
    return _settle_unsent(state, call_state, message)


def _is_retryable_answer(call_state: CallState, message: ServerAnswered) -> bool:
    failed = message.status >= FIRST_FAILURE_STATUS and message.stored_answer is not None
    return failed and call_state.routed.route.idempotent


def _settle_unsent(
    state: DaemonState, call_state: CallState, message: DispatchFailed
) -> list[Message]:
    """Choose another server without counting an attempt, since nothing was sent."""
    refusal = Refusal(codes.CONNECT_FAILED, message.refusal.reason)
    if not message.is_body_whole:
        return _refuse_unsent(call_state, message.now, refusal)
    if call_state.unsent_attempts >= UNSENT_ATTEMPTS_LIMIT or call_state.attempts > 1:
        return _retry_or_refuse(state, call_state, message.now, refusal, message.server)
    if call_state.caller_disconnected or not _has_untried_server(state, call_state, message):
        return _retry_or_refuse(state, call_state, message.now, refusal, message.server)
    call_state.unsent_attempts += 1
    call_state.attempts -= 1
    return _retry_call(call_state, message.now, refusal.reason, message.server)


def _has_untried_server(state: DaemonState, call_state: CallState, message: DispatchFailed) -> bool:
    if message.now >= call_state.routed.deadline:
        return False
    pool = state.servers.by_service.get(call_state.routed.service.name, [])
    tried = {*call_state.avoided, message.server}
    return any(each.is_eligible(message.now) and each.server.name not in tried for each in pool)


def _retry_or_refuse(
    state: DaemonState,
    call_state: CallState,
    now: float,
    refusal: Refusal,
    server: str,
) -> list[Message]:
    if not _may_retry(state, call_state, now):
        if refusal.code.outcome is codes.Outcome.NOT_RUN:
            return _refuse_unsent(call_state, now, refusal)
        return _refuse(now, call_state.call.id, refusal, ran=None)
    return _retry_call(call_state, now, refusal.reason, server)


def _refuse_unsent(call_state: CallState, now: float, refusal: Refusal) -> list[Message]:
    refusal = replace(refusal, retry_after=choose_retry_after(call_state, now))
    return _refuse(now, call_state.call.id, refusal, ran=False)


def _retry_call(call_state: CallState, now: float, reason: str, server: str) -> list[Message]:
    call_state.avoided.add(server)
    decision = Decision(
        part="settling",
        sentence=f"{reason}; trying another backend server",
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
        target=server,
    )
    return [replace(call_state.routed, now=now), decision]


def _may_retry(state: DaemonState, call_state: CallState, now: float) -> bool:
    routed = call_state.routed
    if not call_state.allows_attempt(state.limits.retry_attempts) or routed.call.retried:
        return False
    if routed.call.streamed or call_state.caller_disconnected and call_state.digest is None:
        return False
    if not has_time(state, call_state, now):
        # A retry would end too late: report this outcome while the caller waits.
        return False
    return state.retries.find(routed.service.name, routed.service.retry_share).spend()


def _settle_peer_answer(state: DaemonState, message: PeerAnswered) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    if call_state is None or call_state.peer != message.peer:
        return []
    call_state.peer = None
    refusal = message.refusal
    if refusal is None:
        return _relay(message.now, message.call_id, message.peer, message.stored_answer)
    if refusal.code is codes.NO_HOLDER and call_state.call.purpose is None:
        return [CallParked(now=message.now, call_id=message.call_id)]
    if refusal.code is codes.STOPPING:
        return _handle_locally(call_state, message.now)
    ran = False if refusal.code.outcome is codes.Outcome.NOT_RUN else None
    return _refuse(message.now, message.call_id, refusal, ran=ran)


def _settle_peer_failure(state: DaemonState, message: PeerFailed) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    if call_state is None or call_state.peer != message.peer:
        return []
    call_state.peer = None
    state.peers.suspect(message.peer)
    held_elsewhere = call_state.call.key is not None and call_state.digest is None
    if held_elsewhere and not call_state.routed.route.idempotent:
        return _settle_holder_failure(message, call_state)
    if message.relay_started or (message.sent and not call_state.routed.route.idempotent):
        refusal = Refusal(codes.PEER_LOST, f"{message.peer} stopped answering")
        return _refuse(message.now, message.call_id, refusal, ran=None)
    return _handle_locally(call_state, message.now)


def _settle_holder_failure(message: PeerFailed, call_state: CallState) -> list[Message]:
    if not message.sent:
        return [CallParked(now=message.now, call_id=message.call_id)]
    refusal = Refusal(codes.HOLDER_SILENT, f"{message.peer} holds the key and is silent")
    return _refuse(message.now, message.call_id, refusal, ran=None)


def _handle_locally(call_state: CallState, now: float) -> list[Message]:
    call_state.must_stay_local = True
    decision = Decision(
        part="settling",
        sentence="the owner cannot be used; dispatching locally",
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
    )
    return [replace(call_state.routed, now=now), decision]


def _settle_disconnect(state: DaemonState, message: CallerDisconnected) -> list[Message]:
    call_state = state.calls.states.get(message.call_id)
    if call_state is None:
        return []
    call_state.caller_disconnected = True
    refusal = Refusal(codes.CALLER_GONE, "the caller closed its connection")
    if not message.is_body_complete:
        # No server can get the rest of the body.
        return _cancel_call(state, call_state, message.now, refusal)
    if call_state.digest is not None:
        # A retry with the same key gets its answer.
        return []
    if not call_state.routed.route.idempotent and not call_state.queued:
        return [*fail_unsent_attempts([call_state], "the caller left before it accepted")]
    return _cancel_call(state, call_state, message.now, refusal)


def _settle_deadlines(state: DaemonState, now: float) -> list[Message]:
    messages: list[Message] = []
    for call_state in state.calls.pop_due(now):
        messages.extend(_settle_deadline(state, call_state, now))
    return messages


def _settle_deadline(state: DaemonState, call_state: CallState, now: float) -> list[Message]:
    dispatched = call_state.server is not None or call_state.peer is not None
    if not dispatched and not call_state.joined:
        # A slot that is freed at the same moment must not go to this call.
        call_state.queued = False
        refusal = Refusal(codes.DEADLINE_PASSED, "the time limit passed while waiting")
        return _refuse(now, call_state.call.id, _limit_to_attempt(call_state, refusal), ran=False)
    refusal = Refusal(codes.DEADLINE_EXCEEDED, "the time limit passed after dispatch")
    if call_state.digest is not None:
        # The dispatch is not cancelled, so that a retry with the same key gets its answer.
        call_state.caller_disconnected = True
        return [RefuseCall(call_id=call_state.call.id, refusal=refusal, awaits_answer=True)]
    return _cancel_call(state, call_state, now, refusal)


def _limit_to_attempt(call_state: CallState, refusal: Refusal) -> Refusal:
    if call_state.call.key is None or call_state.digest is not None:
        return refusal
    return Refusal(codes.NO_HOLDER, refusal.reason)


def _cancel_call(
    state: DaemonState, call_state: CallState, now: float, refusal: Refusal
) -> list[Message]:
    call_id = call_state.call.id
    messages: list[Message] = []
    if call_state.peer is not None:
        messages.append(Cancel(call_id=call_id, peer=call_state.peer))
    for server in list(call_state.running):
        messages += cancel_attempt(state, call_state, server, now)
    call_state.queued = False
    ran = None if messages else False
    return [*messages, CallSettled(now=now, call_id=call_id, refusal=refusal, ran=ran)]


def _refuse(now: float, call_id: int, refusal: Refusal, *, ran: bool | None) -> list[Message]:
    return [CallSettled(now=now, call_id=call_id, refusal=refusal, ran=ran)]
