"""Filter that runs the request of each idempotency key at most once."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal, limit_to_attempt
from dotterelgate_core.keys import (
    KeyEntry,
    KeyRange,
    KeyState,
    digest_key,
    find_range,
    read_key_time,
)
from dotterelgate_core.messages import (
    CallParked,
    CallRouted,
    CallSettled,
    Decision,
    Forward,
    Purpose,
    RefuseCall,
    Replay,
    Ticked,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_holding_filter", "make_key_settling_filter", "open_range"]


def make_holding_filter(state: DaemonState) -> Filter:
    """Build the filter that routes keyed calls through the holder of their range."""
    parked: dict[int, CallRouted] = {}

    def hold(message: Message) -> Iterable[Message]:
        if isinstance(message, CallRouted):
            return _hold_call(state, parked, message)
        if isinstance(message, CallParked):
            return _park_again(state, parked, message)
        if isinstance(message, Ticked):
            return [*_retry_parked(state, parked, message.now), message]
        return (message,)

    return hold


def make_key_settling_filter(state: DaemonState) -> Filter:
    """Build the filter that stores the outcome of each key and answers joined calls."""

    def settle(message: Message) -> Iterable[Message]:
        if isinstance(message, CallSettled):
            return _settle_key(state, message)
        return (message,)

    return settle


def open_range(state: DaemonState, resource: str, *, now: float, wall: float) -> KeyRange:
    """Open a held range under its current tenure.

    Keys of an earlier tenure stay only if the previous holder handed them over.

    :param now: monotonic second
    :param wall: wall-clock second
    """
    tenure = state.leases.leases[resource].tenure
    assert tenure is not None
    key_range = state.keys.ranges.setdefault(resource, KeyRange())
    if key_range.tenure == tenure.id:
        return key_range
    if tenure.transfer is None or key_range.tenure != tenure.transfer:
        taken_over_at = wall - (now - tenure.since)
        since = taken_over_at + state.limits.clock_error
        key_range.entries = {}
        key_range.history_from = None if tenure.history_known else since
        key_range.history_until = tenure.since + state.keys.retention
    key_range.tenure = tenure.id
    return key_range


def needs_holder(routed: CallRouted) -> bool:
    """Return whether a call has to go through the holder of its key's range."""
    call = routed.call
    return call.key is not None and not routed.route.idempotent and call.holder is None


def _hold_call(
    state: DaemonState, parked: dict[int, CallRouted], routed: CallRouted
) -> list[Message]:
    call = routed.call
    call_state = state.calls.states[call.id]
    if not needs_holder(routed) or call_state.digest is not None:
        return [routed]
    if call.streamed:
        refusal = Refusal(codes.BODY_TOO_LARGE, "a request with a key must fit the body limit")
        return [RefuseCall(call_id=call.id, refusal=limit_to_attempt(refusal))]
    digest = digest_key(routed.service.name, call.key or "")
    resource = find_range(digest, state.limits.key_ranges)
    if state.leases.holds(resource, routed.now, routed.wall):
        return _claim_key(state, routed, call_state, resource, digest)
    holder = _find_other_holder(state, resource)
    if holder is None or call.purpose is Purpose.HOLD:
        return _park(state, parked, routed, resource)
    call_state.peer = holder
    return [
        Forward(
            call_id=call.id,
            peer=holder,
            purpose=Purpose.HOLD,
            deadline=routed.deadline,
            expires=routed.expires,
            fence=None,
        ),
        Decision(
            part="holding",
            sentence=f"{resource} is held by {holder}; forwarding the call",
            call_id=call.id,
            service=routed.service.name,
            target=holder,
        ),
    ]


def _find_other_holder(state: DaemonState, resource: str) -> str | None:
    grant = state.leases.find_holder(resource)
    if grant is None or grant.holder == state.name or grant.holder in state.peers.removed:
        return None
    return grant.holder if state.peers.can_use(grant.holder) else None


def _park(
    state: DaemonState, parked: dict[int, CallRouted], routed: CallRouted, resource: str
) -> list[Message]:
    call = routed.call
    arrived = state.calls.states[call.id].routed.now
    if routed.now - arrived < state.limits.holder_wait and call.purpose is None:
        parked[call.id] = routed
        return []
    refusal = Refusal(codes.NO_HOLDER, f"no daemon holds {resource} at the moment")
    return [RefuseCall(call_id=call.id, refusal=refusal)]


def _park_again(
    state: DaemonState, parked: dict[int, CallRouted], message: CallParked
) -> list[Message]:
    routed = replace(state.calls.states[message.call_id].routed, now=message.now)
    return _park(state, parked, routed, "the key's range")


def _retry_parked(state: DaemonState, parked: dict[int, CallRouted], now: float) -> list[Message]:
    messages: list[Message] = []
    for call_id, routed in list(parked.items()):
        del parked[call_id]
        if call_id not in state.calls.states or now >= routed.deadline:
            continue
        again = replace(routed, now=now, wall=routed.wall + (now - routed.now))
        messages.extend(_hold_call(state, parked, again))
    return messages


def _claim_key(
    state: DaemonState,
    routed: CallRouted,
    call_state: CallState,
    resource: str,
    digest: int,
) -> list[Message]:
    key_range = open_range(state, resource, now=routed.now, wall=routed.wall)
    entry = key_range.entries.get(digest)
    if entry is not None:
        return _answer_from_entry(routed, call_state, entry)
    refusal = _refuse_key(state, key_range, routed)
    if refusal is not None:
        return [RefuseCall(call_id=routed.call.id, refusal=refusal)]
    key_range.entries[digest] = KeyEntry(
        state=KeyState.RUNNING,
        fingerprint=routed.call.fingerprint,
        seen_at=routed.now,
        call_id=routed.call.id,
    )
    state.keys.size += 1
    call_state.digest = digest
    call_state.fence = _compute_fence(state, resource)
    return [routed]


def _compute_fence(state: DaemonState, resource: str) -> float:
    return state.leases.leases[resource].ends_wall - state.limits.clock_error


def _refuse_key(state: DaemonState, key_range: KeyRange, routed: CallRouted) -> Refusal | None:
    if state.keys.size >= state.keys.limit:
        return Refusal(codes.KEYS_FULL, "the table of idempotency keys is full")
    created_at = read_key_time(routed.call.key or "")
    clock_error = state.limits.clock_error
    if created_at is None:
        if key_range.history_from is None or routed.now >= key_range.history_until:
            return None
        return Refusal(codes.KEY_HISTORY_UNKNOWN, "an earlier holder may have run this key")
    if created_at > routed.wall + clock_error:
        return Refusal(codes.KEY_FROM_FUTURE, "the key's own time is ahead of this clock")
    if created_at < routed.wall - state.keys.retention + clock_error:
        return Refusal(codes.KEY_TOO_OLD, "the key is older than outcomes are remembered")
    if key_range.history_from is not None and created_at <= key_range.history_from + clock_error:
        return Refusal(codes.KEY_HISTORY_UNKNOWN, "an earlier holder may have run this key")
    return None


def _answer_from_entry(routed: CallRouted, call_state: CallState, entry: KeyEntry) -> list[Message]:
    call_id = routed.call.id
    if entry.fingerprint != routed.call.fingerprint:
        refusal = Refusal(codes.KEY_CONFLICT, "the key was used before with another request")
        return [RefuseCall(call_id=call_id, refusal=refusal)]
    if entry.state is KeyState.RUNNING:
        entry.joined.append(call_id)
        call_state.joined = True
        return [
            Decision(
                part="holding",
                sentence="the key's request is already running; waiting for its answer",
                call_id=call_id,
                service=routed.service.name,
            )
        ]
    if entry.state is KeyState.UNKNOWN:
        refusal = entry.refusal or Refusal(codes.ANSWER_LOST, "the outcome is not known")
        return [RefuseCall(call_id=call_id, refusal=refusal)]
    return [_repeat_answer(call_id, entry)]


def _repeat_answer(call_id: int, entry: KeyEntry) -> Message:
    if entry.stored_answer is not None:
        return Replay(call_id=call_id, stored_answer=entry.stored_answer)
    refusal = Refusal(codes.RAN_ALREADY, "the request ran; its answer is not kept")
    return RefuseCall(call_id=call_id, refusal=refusal)


def _settle_key(state: DaemonState, settled: CallSettled) -> list[Message]:
    call_state = state.calls.states.get(settled.call_id)
    if call_state is None or call_state.digest is None:
        return [settled]
    resource = find_range(call_state.digest, state.limits.key_ranges)
    entries = state.keys.ranges[resource].entries
    entry = entries.get(call_state.digest)
    if entry is None or entry.call_id != settled.call_id:
        return [settled]
    entry.seen_at = settled.now
    joined, entry.joined = entry.joined, []
    _settle_entry(state, entries, call_state.digest, settled)
    answers = [_answer_joined(call_id, entry, settled) for call_id in joined]
    return [*answers, settled]


def _settle_entry(
    state: DaemonState, entries: dict[int, KeyEntry], digest: int, settled: CallSettled
) -> None:
    entry = entries[digest]
    if settled.ran:
        entry.state = KeyState.RAN
        entry.stored_answer = settled.stored_answer
    elif settled.ran is None:
        entry.state = KeyState.UNKNOWN
        entry.refusal = settled.refusal
    else:
        del entries[digest]
        state.keys.size -= 1


def _answer_joined(call_id: int, entry: KeyEntry, settled: CallSettled) -> Message:
    if settled.ran or settled.refusal is None:
        return _repeat_answer(call_id, entry)
    return RefuseCall(call_id=call_id, refusal=settled.refusal)
