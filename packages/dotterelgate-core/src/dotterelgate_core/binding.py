"""Filter that gives waiting calls a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.messages import Decision, Dispatch, SlotFreed

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Iterable, Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.queues import ServiceQueue
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["make_binding_filter"]

HELD_GRACE_SECONDS = 10.0


def make_binding_filter(state: DaemonState, policies: Mapping[str, Policy]) -> Filter:
    """Make the filter from freed slots to dispatches."""

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
    line = _find_line(state, queue, pool, freed.service)
    if line is None:
        return []
    call_state = state.calls.states[line[0]]
    policy = policies[call_state.routed.service.policy]
    candidates = _select_candidates(pool, call_state, freed.now, late=policy.late)
    if not candidates:
        return []
    chosen = policy.choose(candidates, call_state, freed.now)
    if chosen is None:
        return []
    line.popleft()
    state.servers.changed.add(chosen.server.name)
    return _dispatch(queue, call_state, chosen, freed.now)


def _find_line(
    state: DaemonState, queue: ServiceQueue, pool: list[ServerState], service: str
) -> deque[int] | None:
    configured = state.configuration.find_service(service)
    share = 1.0 if configured is None else configured.long_share
    slots = sum(each.server.slots for each in pool)
    long_allowed = queue.long_in_flight < max(1, slots * share)
    for line in queue.list_lines(long_allowed=long_allowed):
        _drop_ended(state, line)
        if line:
            return line
    return None


def _drop_ended(state: DaemonState, line: deque[int]) -> None:
    while line:
        call_state = state.calls.states.get(line[0])
        if call_state is not None and call_state.queued:
            return
        line.popleft()


def _select_candidates(
    pool: list[ServerState], call_state: CallState, now: float, *, late: bool
) -> list[ServerState]:
    eligible = [each for each in pool if each.is_eligible(now)]
    fresh = [each for each in eligible if each.server.name not in call_state.avoided]
    candidates = fresh or eligible
    if not late:
        return candidates
    return [each for each in candidates if each.count_free() > 0]


def _dispatch(
    queue: ServiceQueue, call_state: CallState, chosen: ServerState, now: float
) -> list[Message]:
    routed = call_state.routed
    call_state.queued = False
    call_state.server = chosen.server.name
    call_state.sent_at = now
    call_state.attempts += 1
    call_state.expected = chosen.view.estimate_slowdown(now, 1.0)
    chosen.in_flight += 1
    chosen.used_at = now
    if routed.route.long:
        queue.long_in_flight += 1
    grace = HELD_GRACE_SECONDS if is_fenced(call_state) else 0.0
    return [
        Dispatch(
            call_id=routed.call.id,
            server=chosen.server,
            deadline=routed.deadline + grace,
            fence=call_state.fence if call_state.fence is not None else routed.call.fence,
            attempt=call_state.attempts,
            idempotent=routed.route.idempotent,
        ),
        Decision(
            part="binding",
            sentence=_explain(chosen),
            call_id=routed.call.id,
            service=routed.service.name,
            target=chosen.server.name,
            facts=_list_facts(call_state, chosen, now),
        ),
    ]


def _list_facts(call_state: CallState, chosen: ServerState, now: float) -> dict[str, object]:
    view = chosen.view
    facts: dict[str, object] = {
        "route": call_state.routed.route.name or call_state.routed.route.prefix,
        "attempt": call_state.attempts,
        "waited_ms": round((now - call_state.arrived) * 1000),
        "left_ms": round((call_state.routed.deadline - now) * 1000),
    }
    if view.report is not None:
        facts["slowdown"] = view.report.slowdown
        facts["report_age_ms"] = round((now - view.reported_at) * 1000)
    return facts


def is_fenced(call_state: CallState) -> bool:
    """Tell whether the call runs under a key that some daemon holds."""
    return call_state.digest is not None or call_state.call.fence is not None


def _explain(chosen: ServerState) -> str:
    return (
        f"sent to {chosen.server.name} with {chosen.count_load()} of "
        f"{chosen.server.slots} slots in use"
    )
