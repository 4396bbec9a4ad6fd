"""Filter that lets a call pass once it has a token of its organisation's quota."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.allowances.lenders import lend_tokens, list_lenders, use_safe_share
from dotterelgate_core.allowances.messages import (
    BorrowTokens,
    QuotaApplied,
    TokensLent,
    TokenSource,
)
from dotterelgate_core.allowances.table import HeldTokens, PendingLoan
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import CallRouted, CallSettled, Decision, Ticked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.configuration import Organisation
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_quota_filter"]

# A lender that has not answered after this time is passed over; an answer takes a few
# milliseconds, and ticks come every 20 ms.
ANSWER_SECONDS = 0.025
# A call waits for its token no longer than this in all.
WAIT_SECONDS = 0.1
TICK_SECONDS = 0.02
# Unanswered requests in a row after which a lender is not asked for a while.
UNANSWERED_LIMIT = 2
AVOIDED_SECONDS = 1.0
# A lender that had no token is not asked again by this daemon for at most this long.
EMPTY_SECONDS = 0.1
# Tokens beside that of the call are those for this time at the recent use.
PREFETCH_SECONDS = 0.25
MAX_PREFETCH = 20
EXPIRY_SECONDS = 0.5
USE_SECONDS = 1.0
# A caller of a daemon that reaches no lender does better at another one.
SAFE_RETRY_SECONDS = 0.5


def make_quota_filter(state: DaemonState) -> Filter:
    """Build the filter that takes, borrows or misses a token for each call with a quota."""

    def apply_quota(message: Message) -> Iterable[Message]:
        if isinstance(message, CallRouted):
            return _apply(state, message)
        if isinstance(message, TokensLent):
            return _receive(state, message)
        if isinstance(message, Ticked):
            return [*_check_pending(state, message.now), message]
        return (message,)

    return apply_quota


def _apply(state: DaemonState, routed: CallRouted) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    organisation = call_state.organisation
    if organisation is None or not organisation.rate or call_state.has_token:
        return [routed]
    now = routed.now
    held = state.quotas.held.setdefault(organisation.name, HeldTokens())
    _note_use(held, now)
    if _take_held(held, now):
        return _pass(call_state, now, TokenSource.HELD, 0.0)
    pending = PendingLoan(
        organisation=organisation.name,
        lender="",
        untried=list_lenders(state, organisation.name, now),
        asked_at=now,
        begun_at=now,
    )
    return _ask_next(state, call_state, organisation, pending, now)


def _note_use(held: HeldTokens, now: float) -> None:
    held.use = 1.0 + held.use * math.exp((held.used_at - now) / USE_SECONDS)
    held.used_at = now


def _take_held(held: HeldTokens, now: float) -> bool:
    while held.expiries:
        if held.expiries.popleft() > now:
            return True
    return False


def _ask_next(
    state: DaemonState,
    call_state: CallState,
    organisation: Organisation,
    pending: PendingLoan,
    now: float,
) -> list[Message]:
    """Ask the next lender that may have a token, or settle the call without one."""
    call_id = call_state.call.id
    state.quotas.pending.pop(call_id, None)
    while pending.untried:
        lender = pending.untried.pop(0)
        if lender == state.name:
            lent = lend_tokens(state, organisation, 1, now)
            if lent is not None and lent[0]:
                return _pass(call_state, now, TokenSource.OWN, now - pending.begun_at)
            pending.waits += [lent[1]] if lent is not None else []
            continue
        empty_until, ready_at = state.quotas.empty_until.get((lender, organisation.name), (now, 0))
        if empty_until > now:
            pending.waits.append(max(0.0, ready_at - now))
            continue
        pending.lender = lender
        pending.asked_at = now
        state.quotas.pending[call_id] = pending
        call_state.queued = True
        return [
            BorrowTokens(
                lender=lender,
                call_id=call_id,
                organisation=organisation.name,
                count=1 + _count_prefetched(state, organisation.name),
            )
        ]
    return _settle_without(state, call_state, organisation, pending, now)


def _count_prefetched(state: DaemonState, organisation: str) -> int:
    return min(MAX_PREFETCH, int(state.quotas.held[organisation].use * PREFETCH_SECONDS))


def _pass(call_state: CallState, now: float, source: TokenSource, waited: float) -> list[Message]:
    call_state.queued = False
    call_state.has_token = True
    return [QuotaApplied(source=source, waited=waited), replace(call_state.routed, now=now)]


def _settle_without(
    state: DaemonState,
    call_state: CallState,
    organisation: Organisation,
    pending: PendingLoan,
    now: float,
) -> list[Message]:
    waited = now - pending.begun_at
    wait = min(pending.waits, default=SAFE_RETRY_SECONDS)
    sentence = f"{organisation.name} has used up its quota"
    if not pending.waits:
        is_lent, wait = use_safe_share(state, organisation, now)
        if is_lent:
            return _pass(call_state, now, TokenSource.SAFE_SHARE, waited)
        wait = min(wait, SAFE_RETRY_SECONDS)
        sentence = f"no lender answers, and the safe share of {organisation.name} is used up"
    call_state.queued = False
    retry_after = min(wait, state.limits.quota_window)
    refusal = Refusal(codes.QUOTA_EXCEEDED, sentence, retry_after=retry_after)
    facts = {
        "organisation": organisation.name,
        "rate": organisation.rate,
        "burst": organisation.burst,
        "waited_ms": round(waited * 1000),
        "share": round(state.quotas.view.share, 3),
        "revision": state.configuration.revision,
    }
    return [
        QuotaApplied(source=TokenSource.NONE, waited=waited),
        Decision(part="quotas", sentence=sentence, call_id=call_state.call.id, facts=facts),
        CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=False),
    ]


def _receive(state: DaemonState, lent: TokensLent) -> list[Message]:
    quotas = state.quotas
    quotas.unanswered.pop(lent.lender, None)
    quotas.avoided_until.pop(lent.lender, None)
    pending = quotas.pending.get(lent.call_id)
    call_state = state.calls.states.get(lent.call_id)
    is_awaited = (
        pending is not None
        and call_state is not None
        and call_state.queued
        and pending.organisation == lent.organisation
    )
    _keep_tokens(state, lent, lent.count - is_awaited)
    if pending is None or call_state is None or not is_awaited:
        return []
    if lent.count:
        del quotas.pending[lent.call_id]
        return _pass(call_state, lent.now, TokenSource.LENDER, lent.now - pending.begun_at)
    if lent.wait is not None:
        pending.waits.append(lent.wait)
        empty_until = lent.now + min(lent.wait, EMPTY_SECONDS)
        quotas.empty_until[lent.lender, lent.organisation] = (empty_until, lent.now + lent.wait)
    if lent.lender != pending.lender:
        return []
    assert call_state.organisation is not None
    return _ask_next(state, call_state, call_state.organisation, pending, lent.now)


def _keep_tokens(state: DaemonState, lent: TokensLent, count: int) -> None:
    held = state.quotas.held.setdefault(lent.organisation, HeldTokens())
    held.expiries.extend([lent.now + EXPIRY_SECONDS] * max(0, count))


def _check_pending(state: DaemonState, now: float) -> list[Message]:
    orders: list[Message] = []
    for call_id, pending in list(state.quotas.pending.items()):
        call_state = state.calls.states.get(call_id)
        if call_state is None or not call_state.queued:
            # It was settled: its caller left, or its time limit passed.
            del state.quotas.pending[call_id]
        elif now - pending.asked_at >= ANSWER_SECONDS:
            orders += _pass_over(state, call_state, pending, now)
    return orders


def _pass_over(
    state: DaemonState, call_state: CallState, pending: PendingLoan, now: float
) -> list[Message]:
    quotas = state.quotas
    lines: list[Message] = []
    unanswered = quotas.unanswered.get(pending.lender, 0) + 1
    quotas.unanswered[pending.lender] = unanswered
    if unanswered >= UNANSWERED_LIMIT and quotas.avoided_until.get(pending.lender, now) <= now:
        quotas.avoided_until[pending.lender] = now + AVOIDED_SECONDS
        sentence = f"{pending.lender} does not answer and is not asked for {AVOIDED_SECONDS:g} s"
        lines.append(Decision(part="quotas", sentence=sentence, target=pending.lender))
    if now - pending.begun_at + ANSWER_SECONDS + TICK_SECONDS > WAIT_SECONDS:
        pending.untried.clear()
    assert call_state.organisation is not None
    return [*lines, *_ask_next(state, call_state, call_state.organisation, pending, now)]
