"""Filter that lets a call pass once it has a token of its organisation's quota."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.allowances.buckets import ROUNDING
from dotterelgate_core.allowances.holding import (
    count_prefetched,
    keep_tokens,
    return_expired,
    return_tokens,
    take_held,
)
from dotterelgate_core.allowances.lenders import lend_tokens, list_lenders, use_safe_share
from dotterelgate_core.allowances.messages import (
    BorrowTokens,
    QuotaApplied,
    TokensLent,
    TokenSource,
)
from dotterelgate_core.allowances.table import PendingLoan
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import CallRouted, CallSettled, Decision, Ticked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.configuration import Organisation
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_quota_filter"]

# A lender that has not answered by the first tick after this time is passed over; an answer
# takes a few milliseconds. One that answers later is not lost: its token is held.
ANSWER_SECONDS = 0.015
# A call waits for its token no longer than this in all.
WAIT_SECONDS = 0.1
TICK_SECONDS = 0.02
# Unanswered requests in a row after which a lender is not asked for a while.
UNANSWERED_LIMIT = 2
AVOIDED_SECONDS = 1.0
# A lender that had no token is not asked again by this daemon for at most this long.
EMPTY_SECONDS = 0.1
# A caller that returns sooner finds the token under way.
LEAST_RETRY_SECONDS = 0.01
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
            expired = return_expired(state, message.now)
            return [*expired, *_check_pending(state, message.now), message]
        return (message,)

    return apply_quota


def _apply(state: DaemonState, routed: CallRouted) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    organisation = call_state.organisation
    if organisation is None or not organisation.rate or call_state.has_token:
        return [routed]
    now = routed.now
    if take_held(state, organisation.name, now):
        return _pass(call_state, now, TokenSource.HELD, 0.0)
    pending = PendingLoan(
        organisation=organisation.name,
        lender="",
        untried=list_lenders(state, organisation.name, now),
        asked_at=now,
        begun_at=now,
    )
    return _ask_next(state, call_state, organisation, pending, now)


def _ask_next(
    state: DaemonState,
    call_state: CallState,
    organisation: Organisation,
    pending: PendingLoan,
    now: float,
) -> list[Message]:
    """Ask the next lender that may have a token, or settle the call without one."""
    call_id = call_state.call.id
    name = organisation.name
    state.quotas.pending.pop(call_id, None)
    while pending.untried:
        lender = pending.untried.pop(0)
        if lender == state.name:
            lent = lend_tokens(state, organisation, 1.0 - pending.collected, now)
            if lent is not None and _collect(pending, *lent):
                return _pass(call_state, now, TokenSource.OWN, now - pending.begun_at)
            continue
        empty_until, ready_at = state.quotas.empty_until.get((lender, name), (now, now))
        if empty_until > now:
            pending.waits.append(ready_at - now)
            continue
        pending.lender = lender
        pending.asked_at = now
        state.quotas.pending[call_id] = pending
        call_state.queued = True
        count = 1.0 - pending.collected
        if not pending.collected:
            count += count_prefetched(state, name)
        order = BorrowTokens(lender=lender, call_id=call_id, organisation=name, count=count)
        return [order]
    return _settle_without(state, call_state, organisation, pending, now)


def _collect(pending: PendingLoan, count: float, wait: float) -> bool:
    """Add a loan to what lenders lent before; return whether it makes a whole token."""
    pending.collected += count
    if pending.collected + ROUNDING >= 1.0:
        return True
    pending.waits.append(wait)
    return False


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
    returned = return_tokens(state, organisation.name, pending.collected, now)
    retry_after = max(LEAST_RETRY_SECONDS, min(wait, state.limits.quota_window))
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
        *returned,
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
    if pending is None or call_state is None or not call_state.queued:
        return keep_tokens(state, lent.organisation, lent.count, lent.now)
    if lent.wait is None:
        return _ask_after(state, call_state, pending, lent)
    if _collect(pending, lent.count, lent.wait):
        del quotas.pending[lent.call_id]
        rest = pending.collected - 1.0
        kept = keep_tokens(state, lent.organisation, rest, lent.now) if rest > ROUNDING else []
        waited = lent.now - pending.begun_at
        return [*kept, *_pass(call_state, lent.now, TokenSource.LENDER, waited)]
    empty_until = lent.now + min(lent.wait, EMPTY_SECONDS)
    quotas.empty_until[lent.lender, lent.organisation] = (empty_until, lent.now + lent.wait)
    return _ask_after(state, call_state, pending, lent)


def _ask_after(
    state: DaemonState, call_state: CallState, pending: PendingLoan, lent: TokensLent
) -> list[Message]:
    """Ask the next lender, unless a late answer came while that was done already."""
    if lent.lender != pending.lender:
        return []
    assert call_state.organisation is not None
    return _ask_next(state, call_state, call_state.organisation, pending, lent.now)


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
    if not pending.is_repeated or not pending.waits:
        # The request or its answer may only have been lost.
        pending.is_repeated = True
        pending.untried.append(pending.lender)
    if now - pending.begun_at + TICK_SECONDS > WAIT_SECONDS:
        pending.untried.clear()
    assert call_state.organisation is not None
    return [*lines, *_ask_next(state, call_state, call_state.organisation, pending, now)]
