"""Filter that refuses calls whose wait would be too long, and queues the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.homes.restricting import is_at_home, is_restricted
from dotterelgate_core.limiting import compute_allowance_wait, count_usable_slots
from dotterelgate_core.limits import UNLIMITED
from dotterelgate_core.messages import CallRouted, CallSettled, Decision, SlotFreed, Ticked
from dotterelgate_core.retry_after import choose_retry_after
from dotterelgate_core.sharing import list_freed_slots
from dotterelgate_core.stopping.fitting import fits_stop, refuse_for_stop

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.queueing.queues import ServiceQueue
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["make_admission_filter", "mark_admitted"]

# Share of its time limit that a request may wait where daemons share their view of
# the load; it is then refused while its caller still has time to retry.
WAIT_SHARE = 0.25


def make_admission_filter(state: DaemonState, policies: Mapping[str, Policy]) -> Filter:
    """Build the filter that queues or refuses routed calls and refuses overdue ones on ticks."""

    def admit(message: Message) -> Iterable[Message]:
        if isinstance(message, Ticked):
            return [*_refuse_overdue(state, policies, message.now), message]
        if not isinstance(message, CallRouted):
            return (message,)
        return _admit(state, policies, message)

    return admit


def _admit(state: DaemonState, policies: Mapping[str, Policy], routed: CallRouted) -> list[Message]:
    call_state = state.calls.states[routed.call.id]
    queue = state.waiting.find(routed.service.name)
    if call_state.attempts or call_state.admitted:
        queue.add_first(call_state)
        return [SlotFreed(now=routed.now, service=routed.service.name)]
    queue.note_arrival(call_state)
    refusal = _find_refusal(state, policies, routed, call_state)
    if refusal is not None:
        return _settle_refused(state, call_state, refusal, routed.now)
    mark_admitted(state, call_state)
    queue.add(call_state)
    return [SlotFreed(now=routed.now, service=routed.service.name)]


def mark_admitted(state: DaemonState, call_state: CallState) -> None:
    """Mark a call as admitted to a queue, locally or at an owner.

    For a call of another daemon, that daemon keeps the retry budget and the work time.
    """
    call_state.admitted = True
    if call_state.requester is not None:
        return
    routed = call_state.routed
    state.retries.find(routed.service.name, routed.service.retry_share).earn()
    call_state.work = state.times.estimate(routed.service, routed.route)


def _find_refusal(
    state: DaemonState,
    policies: Mapping[str, Policy],
    routed: CallRouted,
    call_state: CallState,
) -> Refusal | None:
    service = routed.service
    policy = policies[service.policy]
    pool = state.servers.by_service.get(service.name, [])
    if is_restricted(call_state):
        pool = [each for each in pool if is_at_home(state, call_state, each)]
    requester = call_state.requester
    eligible = [each for each in pool if each.is_eligible(routed.now, requester)]
    if not eligible:
        code, reason = codes.NO_SERVER, f"no backend server of {service.name} can be used"
        if any(each.wants_pause(routed.now, requester) for each in pool):
            # An owner that knows no server would be passed over.
            code = codes.OVERLOADED
            reason = f"the backend servers of {service.name} want no requests for now"
        return Refusal(code, reason, retry_after=choose_retry_after(call_state, routed.now))
    wait = max(
        _estimate_wait(state, policy, call_state, eligible),
        compute_allowance_wait(state, eligible, routed.now),
    )
    allowed = min(service.queue_limit, routed.deadline - routed.now)
    if policy.shared:
        allowed = _compute_wait_limit(state, call_state)
    if not fits_stop(state, call_state, routed.now + wait):
        return refuse_for_stop(call_state, "the daemon stops before it can be served")
    if wait <= allowed:
        return None
    reason = f"the expected wait of {wait * 1000:.0f} ms is too long"
    if wait == UNLIMITED:
        reason = f"the limits of the backend servers of {service.name} leave no room"
    return Refusal(codes.OVERLOADED, reason, retry_after=choose_retry_after(call_state, routed.now))


def _estimate_wait(
    state: DaemonState, policy: Policy, call_state: CallState, eligible: list[ServerState]
) -> float:
    routed = call_state.routed
    route = routed.route
    queue = state.waiting.find(routed.service.name)
    slots = count_usable_slots(state, eligible, queue.get_slot_time(long=route.long), routed.now)
    if route.long:
        slots = max(1, int(slots * routed.service.long_share))
    if policy.shared and not policy.granted:
        # The daemons of the zone share the slots and have similar queues.
        slots = max(1, slots // state.zone_daemons)
    return queue.estimate_wait(call_state, slots=slots)


def _compute_wait_limit(state: DaemonState, call_state: CallState) -> float:
    """Compute the seconds that a call may wait before its dispatch."""
    routed = call_state.routed
    time_limit = routed.deadline - call_state.arrived
    work = call_state.work or state.times.estimate(routed.service, routed.route)
    return max(0.0, min(WAIT_SHARE * time_limit, time_limit - work))


def _refuse_overdue(
    state: DaemonState, policies: Mapping[str, Policy], now: float
) -> list[Message]:
    messages: list[Message] = []
    for service, queue in state.waiting.queues.items():
        messages.extend(_refuse_overdue_in_queue(state, policies, queue, now))
        # The servers that a call accepts change as it waits, also without load updates.
        messages.extend(list_freed_slots(state, (service,), now))
    return messages


def _refuse_overdue_in_queue(
    state: DaemonState, policies: Mapping[str, Policy], queue: ServiceQueue, now: float
) -> list[Message]:
    messages: list[Message] = []
    queue.drop_ended(state.calls.states)
    for call_state in queue.list_waiting():
        if state.calls.states.get(call_state.call.id) is not call_state or not call_state.queued:
            continue
        if not policies[call_state.routed.service.policy].shared:
            return messages
        waited = now - call_state.arrived
        if waited <= _compute_wait_limit(state, call_state):
            continue
        call_state.queued = False
        reason = f"no backend server came free within {waited * 1000:.0f} ms"
        retry_after = choose_retry_after(call_state, now)
        refusal = Refusal(codes.OVERLOADED, reason, retry_after=retry_after)
        messages.extend(_settle_refused(state, call_state, refusal, now))
    return messages


def _settle_refused(
    state: DaemonState, call_state: CallState, refusal: Refusal, now: float
) -> list[Message]:
    service = call_state.routed.service.name
    pool = state.servers.by_service.get(service, [])
    facts = {
        "route": call_state.routed.route.name or call_state.routed.route.prefix,
        **call_state.describe_organisation(),
        "revision": state.configuration.revision,
        "waiting": state.waiting.find(service).count_waiting(),
        "servers": len(pool),
        "usable": sum(each.is_eligible(now) for each in pool),
        "in_use": sum(each.count_load() for each in pool),
        "daemons": state.zone_daemons,
    }
    decision = Decision(
        part="admission",
        sentence=refusal.reason,
        call_id=call_state.call.id,
        service=service,
        facts=facts,
    )
    return [
        decision,
        CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=False),
    ]
