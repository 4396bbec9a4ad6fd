"""Filter that assigns queued calls to free slots of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.calls import Attempt
from dotterelgate_core.codes import Refusal
from dotterelgate_core.downloads.placement import keep_in_zone
from dotterelgate_core.evacuations.returning import select_in_step
from dotterelgate_core.homes.restricting import is_at_home, is_restricted
from dotterelgate_core.limiting import has_allowance, use_allowance
from dotterelgate_core.messages import (
    CallSettled,
    Decision,
    Dispatch,
    SlotFreed,
    format_identity,
)
from dotterelgate_core.retry_after import choose_retry_after
from dotterelgate_core.slots import GrantSlot, SlotGrant
from dotterelgate_core.stopping.fitting import fits_stop, settle_unfit

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.queueing.fair_queues import FairQueue, WaitingCall
    from dotterelgate_core.queueing.queues import ServiceQueue
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["dispatch_call", "grant_slot", "list_report", "make_binding_filter"]

# Time past the deadline to await a keyed call's answer, so that a retry can receive it.
FENCED_GRACE_SECONDS = 10.0


def make_binding_filter(state: DaemonState, policies: Mapping[str, Policy]) -> Filter:
    """Build the filter that turns freed slots into dispatches and grants."""

    def bind(message: Message) -> Iterable[Message]:
        if not isinstance(message, SlotFreed):
            return (message,)
        return _bind_waiting(state, policies, message)

    return bind


def _bind_waiting(
    state: DaemonState, policies: Mapping[str, Policy], freed: SlotFreed
) -> list[Message]:
    queue = state.waiting.find(freed.service)
    messages: list[Message] = []
    while True:
        bound = _bind_next(state, policies, queue, freed)
        if not bound:
            return messages
        messages.extend(bound)


def _bind_next(
    state: DaemonState,
    policies: Mapping[str, Policy],
    queue: ServiceQueue,
    freed: SlotFreed,
) -> list[Message]:
    pool = state.servers.by_service.get(freed.service, [])
    found = _find_next(state, queue, pool, freed)
    if found is None:
        return []
    subqueue, waiting = found
    call_state = waiting.call_state
    policy = policies[call_state.routed.service.policy]
    allowed = [each for each in pool if has_allowance(state, each, freed.now)]
    if is_restricted(call_state):
        allowed = [each for each in allowed if is_at_home(state, call_state, each)]
    candidates = _select_candidates(allowed, call_state, freed.now, late=policy.late)
    candidates = keep_in_zone(candidates, allowed, call_state, freed.now, zone=state.zone)
    if not candidates:
        return _refuse_restricted(subqueue, waiting, freed.now)
    chosen = policy.choose(candidates, call_state, freed.now)
    if chosen is None:
        return []
    slowdown = chosen.view.estimate_slowdown(freed.now, 1.0)
    subqueue.take(waiting)
    if not fits_stop(state, call_state, freed.now, slowdown=slowdown):
        return settle_unfit(state, call_state, freed.now)
    chosen.chosen_at = freed.now
    use_allowance(chosen, freed.now)
    if call_state.requester is not None:
        return grant_slot(call_state, chosen, freed.now)
    return dispatch_call(
        state,
        call_state,
        chosen,
        freed.now,
        slowdown=slowdown,
        facts=list_report(chosen, freed.now),
    )


def _refuse_restricted(subqueue: FairQueue, waiting: WaitingCall, now: float) -> list[Message]:
    """Refuse a call whose home regions have no capacity, so that others need not wait for it."""
    call_state = waiting.call_state
    if not is_restricted(call_state):
        return []
    subqueue.take(waiting)
    call_state.queued = False
    reason = "no slot is free in the home regions of its route and organisation"
    refusal = Refusal(codes.OVERLOADED, reason, retry_after=choose_retry_after(call_state, now))
    decision = Decision(
        part="binding",
        sentence=reason,
        call_id=call_state.call.id,
        service=call_state.routed.service.name,
    )
    settled = CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=False)
    return [decision, settled]


def _find_next(
    state: DaemonState, queue: ServiceQueue, pool: list[ServerState], freed: SlotFreed
) -> tuple[FairQueue, WaitingCall] | None:
    """Find the call to serve next, and the subqueue that holds it."""
    configured = state.configuration.find_service(freed.service)
    share = 1.0 if configured is None else configured.long_share
    slots = sum(each.server.slots for each in pool)
    long_allowed = queue.long_in_flight < max(1, slots * share)
    for subqueue in queue.list_subqueues(long_allowed=long_allowed):
        waiting = subqueue.find_next(state.calls.states, freed.now)
        if waiting is not None:
            return subqueue, waiting
    return None


def _select_candidates(
    pool: list[ServerState], call_state: CallState, now: float, *, late: bool
) -> list[ServerState]:
    eligible = [each for each in pool if each.is_eligible(now, call_state.requester)]
    untried = [each for each in eligible if each.server.name not in call_state.avoided]
    candidates = untried or eligible
    if not late:
        return candidates
    return [each for each in select_in_step(candidates, now) if each.count_free() > 0]


def grant_slot(call_state: CallState, chosen: ServerState, now: float) -> list[Message]:
    """Grant a slot to a call of another daemon, which dispatches it."""
    assert call_state.requester is not None
    call_state.queued = False
    call_state.granted_at = now
    sentence = _describe_choice(chosen)
    # Counted until the requester's next load update, so that the slot is not granted twice.
    chosen.view.add_peer_request(call_state.requester, now)
    report = chosen.view.report
    grant = SlotGrant(
        server=chosen.server.name,
        slowdown=report.slowdown if report is not None else 1.0,
        report_age=now - chosen.view.reported_at if report is not None else 0.0,
    )
    facts = {
        "asker": call_state.requester,
        "asked_request": call_state.call.request_id,
        **_list_times(call_state, now),
        **list_report(chosen, now),
    }
    return [
        GrantSlot(requester=call_state.requester, call_id=call_state.call.id, grant=grant),
        Decision(
            part="granting",
            sentence=f"{sentence}, for {call_state.requester}",
            call_id=call_state.call.id,
            service=call_state.routed.service.name,
            target=chosen.server.name,
            facts=facts,
        ),
    ]


def dispatch_call(
    state: DaemonState,
    call_state: CallState,
    chosen: ServerState,
    now: float,
    *,
    slowdown: float,
    facts: dict[str, object],
    is_second: bool = False,
) -> list[Message]:
    """Dispatch a call of this daemon to a backend server.

    :param slowdown: slowdown expected there
    :param facts: the basis of the choice, for the log
    :param is_second: whether it is started beside an attempt that is slow
    """
    routed = call_state.routed
    state.servers.changed.add(chosen.server.name)
    call_state.queued = False
    call_state.running[chosen.server.name] = Attempt(
        server=chosen.server.name, sent_at=now, expected_slowdown=slowdown, is_second=is_second
    )
    call_state.attempts += 1
    chosen.in_flight += 1
    chosen.used_at = now
    if routed.route.long:
        state.waiting.find(routed.service.name).long_in_flight += 1
    grace = FENCED_GRACE_SECONDS if is_fenced(call_state) else 0.0
    return [
        Dispatch(
            call_id=routed.call.id,
            server=chosen.server,
            deadline=routed.deadline + grace,
            fence=call_state.fence if call_state.fence is not None else routed.call.fence,
            attempt=call_state.attempts,
            idempotent=routed.route.idempotent,
            organisation=call_state.organisation.name if call_state.organisation else "",
        ),
        Decision(
            part="binding",
            sentence=_describe_choice(chosen),
            call_id=routed.call.id,
            service=routed.service.name,
            target=chosen.server.name,
            facts={**_list_times(call_state, now), **facts},
        ),
    ]


def _list_times(call_state: CallState, now: float) -> dict[str, object]:
    identity = call_state.call.identity
    return {
        **({"identity": format_identity(identity)} if identity else {}),
        "route": call_state.routed.route.name or call_state.routed.route.prefix,
        **call_state.describe_organisation(),
        "attempt": call_state.attempts,
        "waited_ms": round((now - call_state.arrived) * 1000),
        "left_ms": round((call_state.routed.deadline - now) * 1000),
    }


def list_report(chosen: ServerState, now: float) -> dict[str, object]:
    """List what a choice knows of a backend server's newest report, for the log."""
    view = chosen.view
    if view.report is None:
        return {}
    return {
        "slowdown": view.report.slowdown,
        "report_age_ms": round((now - view.reported_at) * 1000),
    }


def is_fenced(call_state: CallState) -> bool:
    """Return whether the call runs under a key that some daemon holds."""
    return call_state.digest is not None or call_state.call.fence is not None


def _describe_choice(chosen: ServerState) -> str:
    return (
        f"sent to {chosen.server.name} with {chosen.count_load()} of "
        f"{chosen.server.slots} slots in use"
    )
