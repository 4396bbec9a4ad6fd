"""Filter that starts second attempts of slow requests."""

from __future__ import annotations

import heapq
from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelgate_core.asking import build_request
from dotterelgate_core.binding import dispatch_call, list_report
from dotterelgate_core.codes import Refusal
from dotterelgate_core.hedging.choosing import accepts_second, choose_free_server
from dotterelgate_core.hedging.owning import answer_free_request
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, SecondResult
from dotterelgate_core.hedging.table import SecondRequest
from dotterelgate_core.hedging.watching import compute_due, may_have_second, order_tick
from dotterelgate_core.messages import Decision, Ticked
from dotterelgate_core.owners import find_owner
from dotterelgate_core.slots import (
    RequestSlot,
    SlotDenied,
    SlotGranted,
    SlotQueued,
    SlotRequested,
    WithdrawSlot,
)
from dotterelgate_core.stopping.fitting import has_time

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["SECOND_REQUEST_BIT", "make_hedging_filter"]

# The slot request of a second attempt has the id of its call with this bit, which no call id
# has, so that an answer to it is never taken for one to a request of the call itself.
SECOND_REQUEST_BIT = 1 << 60
# An owner answers within a few milliseconds; a slot that is granted later may be in use.
OWNER_ANSWER_SECONDS = 0.1


def make_hedging_filter(state: DaemonState, policies: Mapping[str, Policy]) -> Filter:
    """Build the filter that starts second attempts, and grants slots to those of others."""

    def hedge(message: Message) -> Iterable[Message]:
        if isinstance(message, Ticked):
            return [*_start_due(state, policies, message.now), message]
        if isinstance(message, SlotRequested) and message.request.only_free:
            return answer_free_request(state, policies, message)
        if isinstance(message, (SlotGranted, SlotDenied, SlotQueued)):
            if message.call_id & SECOND_REQUEST_BIT:
                return _handle_owner_answer(state, message)
        return (message,)

    return hedge


def _start_due(state: DaemonState, policies: Mapping[str, Policy], now: float) -> list[Message]:
    if not state.limits.hedging_share:
        return []
    table = state.hedging
    messages = _drop_unanswered(state, now)
    for call_id in table.pop_due(now):
        call_state = state.calls.states.get(call_id)
        if call_state is not None and _may_start(state, call_state, now):
            messages += _start_if_slow(state, policies, call_state, now)
    while table.due and table.due[0][1] not in state.calls.states:
        heapq.heappop(table.due)
    if table.tick_at <= now:
        table.tick_at = float("inf")
    return [*messages, *order_tick(state)]


def _may_start(state: DaemonState, call_state: CallState, now: float) -> bool:
    is_open = not call_state.has_second and may_have_second(state, call_state)
    return is_open and has_time(state, call_state, now)


def _start_if_slow(
    state: DaemonState, policies: Mapping[str, Policy], call_state: CallState, now: float
) -> list[Message]:
    due = compute_due(state, call_state, now)
    if due is not None and due > now:
        # It was retried, or its backend server reported a slowdown since.
        state.hedging.add_due(call_state.call.id, due)
        return []
    call_state.has_second = True
    service = call_state.routed.service
    if not _spend(state, call_state):
        return _deny(call_state, "the budget for second attempts is used up")
    owner = find_owner(state, service.name, now)
    if owner != state.name and policies[service.policy].granted:
        return _request_slot(state, call_state, owner, now)
    chosen = choose_free_server(state, policies, call_state, now)
    if isinstance(chosen, Refusal):
        _refund(state, service.name)
        return _deny(call_state, chosen.reason)
    slowdown = chosen.view.estimate_slowdown(now, 1.0)
    return _dispatch(state, call_state, chosen, now, slowdown, list_report(chosen, now))


def _spend(state: DaemonState, call_state: CallState) -> bool:
    """Spend a token of both budgets, or none."""
    service = call_state.routed.service
    retries = state.retries.find(service.name, service.retry_share)
    share = state.hedging.find_budget(service.name, state.limits.hedging_share)
    if not share.spend():
        return False
    if not retries.spend():
        share.refund()
        return False
    return True


def _refund(state: DaemonState, service: str) -> None:
    for budgets in (state.retries.budgets, state.hedging.budgets):
        if service in budgets:
            budgets[service].refund()


def _request_slot(
    state: DaemonState, call_state: CallState, owner: str, now: float
) -> list[Message]:
    call_id = call_state.call.id
    order = build_request(call_state, owner, now)
    request_id = call_id | SECOND_REQUEST_BIT
    avoided = tuple(sorted({*call_state.avoided, *call_state.running}))
    request = replace(order.request, call_id=request_id, avoided=avoided, only_free=True)
    state.hedging.requests[request_id] = SecondRequest(
        call_id=call_id, service=request.service, owner=owner, requested_at=now
    )
    return [RequestSlot(owner=owner, request=request)]


def _handle_owner_answer(
    state: DaemonState, answer: SlotGranted | SlotDenied | SlotQueued
) -> list[Message]:
    request = state.hedging.requests.pop(answer.call_id, None)
    if isinstance(answer, SlotGranted):
        # Corrects the owner's count of this daemon's requests if the grant is not used.
        state.servers.changed.add(answer.grant.server)
    if request is None:
        return []
    call_state = state.calls.states.get(request.call_id)
    if isinstance(answer, SlotGranted):
        return _use_grant(state, request, call_state, answer)
    _refund(state, request.service)
    if isinstance(answer, SlotDenied):
        return _deny(call_state, f"{request.owner} refused: {answer.refusal.reason}")
    # A daemon of an earlier build queues it.
    withdrawal = WithdrawSlot(owner=request.owner, call_id=answer.call_id)
    return [withdrawal, *_deny(call_state, f"{request.owner} has no slot free")]


def _use_grant(
    state: DaemonState,
    request: SecondRequest,
    call_state: CallState | None,
    granted: SlotGranted,
) -> list[Message]:
    now = granted.now
    grant = granted.grant
    server = state.servers.states.get(grant.server)
    problem = ""
    if call_state is None or not may_have_second(state, call_state):
        problem = "the grant came after the call or its first attempt had ended"
    elif not has_time(state, call_state, now):
        problem = "the grant came too late for the time limit"
    elif server is None or not accepts_second(server, now):
        problem = f"{grant.server} was granted and cannot be used"
    elif grant.server in call_state.running or grant.server in call_state.avoided:
        problem = f"{grant.server} was granted and has been tried"
    if problem or call_state is None or server is None:
        _refund(state, request.service)
        return _deny(call_state, problem)
    facts: dict[str, object] = {
        "owner": granted.owner,
        "slowdown": grant.slowdown,
        "report_age_ms": round(grant.report_age * 1000),
    }
    return _dispatch(state, call_state, server, now, grant.slowdown, facts)


def _dispatch(
    state: DaemonState,
    call_state: CallState,
    chosen: ServerState,
    now: float,
    slowdown: float,
    facts: dict[str, object],
) -> list[Message]:
    first = next(iter(call_state.running.values()))
    decision = Decision(
        part="hedging",
        sentence=f"{first.server} is slower than usual; a second attempt is started",
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
        target=chosen.server.name,
        facts={"first_ms": round((now - first.sent_at) * 1000)},
    )
    dispatched = dispatch_call(
        state, call_state, chosen, now, slowdown=slowdown, facts=facts, is_second=True
    )
    return [decision, CountSecondAttempt(result=SecondResult.STARTED), *dispatched]


def _deny(call_state: CallState | None, reason: str) -> list[Message]:
    count = CountSecondAttempt(result=SecondResult.DENIED)
    if call_state is None:
        return [count]
    decision = Decision(
        part="hedging",
        sentence=f"no second attempt: {reason}",
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
    )
    return [decision, count]


def _drop_unanswered(state: DaemonState, now: float) -> list[Message]:
    messages: list[Message] = []
    requests = state.hedging.requests
    while requests:
        request_id, request = next(iter(requests.items()))
        if now - request.requested_at < OWNER_ANSWER_SECONDS:
            break
        del requests[request_id]
        _refund(state, request.service)
        messages.append(WithdrawSlot(owner=request.owner, call_id=request_id))
        call_state = state.calls.states.get(request.call_id)
        messages += _deny(call_state, f"{request.owner} did not answer")
    return messages
