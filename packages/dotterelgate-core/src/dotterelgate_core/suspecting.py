"""Filters that find requests which end their backend servers, and refuse them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_core.messages import (
    CallRouted,
    CallSettled,
    Decision,
    DispatchFailed,
    ServerAnswered,
    format_identity,
)
from dotterelgate_core.sampling import build_probe
from dotterelgate_core.suspects import ServerRun

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "AnnounceSuspects",
    "CheckServer",
    "PeerSuspect",
    "ServerCheckRequested",
    "ServerEnded",
    "SuspectCleared",
    "SuspectsReceived",
    "make_check_filter",
    "make_evidence_filter",
    "make_suspect_filter",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckServer:
    """Order to check whether a backend server ended, since a connection to it broke."""

    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerCheckRequested:
    """A connection broke on which a backend server had a request; it may have ended.

    :param wall: wall-clock second
    """

    now: float
    wall: float
    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEnded:
    """A backend server's connections broke, and nothing listens at its address."""

    now: float
    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnounceSuspects:
    """Order to send what is known of some requests to all peers."""

    identities: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerSuspect:
    """What a peer knows of a request.

    :param ended: seconds since each server ended under it
    :param cleared: seconds since a server answered it, ``None`` for never
    """

    identity: int
    ended: tuple[tuple[ServerRun, float], ...]
    cleared: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectsReceived:
    """A peer sent what it knows of some requests."""

    now: float
    peer: str
    suspects: tuple[PeerSuspect, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectCleared:
    """The operator states that a request ends no server any more."""

    now: float
    identity: int


def make_evidence_filter(state: DaemonState) -> Filter:
    """Build the filter that learns under which requests backend servers end.

    A broken connection alone is no evidence; the server has to refuse connections afterwards.
    """

    def gather(message: Message) -> Iterable[Message]:
        if isinstance(message, DispatchFailed):
            return [*_note_failure(state, message), message]
        if isinstance(message, ServerAnswered):
            return [*_note_answer(state, message), message]
        if isinstance(message, ServerEnded):
            return _note_end(state, message.server, message.now)
        if isinstance(message, SuspectsReceived):
            return _merge(state, message)
        if isinstance(message, SuspectCleared):
            return _clear(state, message.identity, message.now, "the operator cleared the request")
        return (message,)

    return gather


def make_suspect_filter(state: DaemonState) -> Filter:
    """Build the filter that refuses calls under whose request backend servers ended."""

    def refuse(message: Message) -> Iterable[Message]:
        if not isinstance(message, CallRouted) or not message.call.identity:
            return (message,)
        return _refuse(state, state.calls.states[message.call.id], message.now) or (message,)

    return refuse


def make_check_filter(state: DaemonState) -> Filter:
    """Build the filter of the control pipeline that probes servers which may have ended."""

    def check(message: Message) -> Iterable[Message]:
        if isinstance(message, ServerCheckRequested):
            return _probe(state, message.server, message.wall)
        if isinstance(message, ProbeEnded):
            return [*_apply_check(state, message), message]
        return (message,)

    return check


def _find_run(server: ServerState) -> ServerRun:
    return ServerRun(name=server.server.name, born=server.server.born or 0)


def _note_failure(state: DaemonState, failed: DispatchFailed) -> list[Message]:
    server = state.servers.states.get(failed.server)
    call_state = state.calls.states.get(failed.call_id)
    # The end of a server that leaves is planned.
    if server is None or call_state is None or server.list_leaving_sources():
        return []
    if failed.refused:
        return _note_end(state, failed.server, failed.now)
    identity = call_state.call.identity
    if not failed.sent or not identity or failed.refusal.code is not codes.ANSWER_LOST:
        return []
    run = _find_run(server)
    has_broken = state.suspects.has_broken(run, failed.now)
    state.suspects.note_broken(run, identity, failed.now)
    return [] if has_broken else [CheckServer(server=failed.server)]


def _note_answer(state: DaemonState, answered: ServerAnswered) -> list[Message]:
    call_state = state.calls.states.get(answered.call_id)
    if call_state is None or not answered.ran:
        return []
    sentence = f"{answered.server} answered the request, which is cleared"
    return _clear(state, call_state.call.identity, answered.now, sentence)


def _clear(state: DaemonState, identity: int, now: float, sentence: str) -> list[Message]:
    if not state.suspects.clear(identity, now):
        return []
    return [_describe(identity, sentence), AnnounceSuspects(identities=(identity,))]


def _note_end(state: DaemonState, name: str, now: float) -> list[Message]:
    server = state.servers.states.get(name)
    if server is None:
        return []
    identities = state.suspects.note_ended(_find_run(server), now)
    if not identities:
        return []
    lines: list[Message] = [
        _describe(each, f"{name} ended while it had the request", target=name)
        for each in identities
    ]
    return [
        *lines,
        AnnounceSuspects(identities=tuple(identities)),
        *_refuse_waiting(state, identities, now),
    ]


def _merge(state: DaemonState, received: SuspectsReceived) -> list[Message]:
    changed = []
    for each in received.suspects:
        if each.cleared is not None:
            state.suspects.clear(each.identity, received.now - each.cleared)
        added = [
            state.suspects.add(each.identity, run, received.now - age) for run, age in each.ended
        ]
        if any(added):
            changed.append(each.identity)
    return _refuse_waiting(state, changed, received.now)


def _refuse_waiting(state: DaemonState, identities: list[int], now: float) -> list[Message]:
    """Refuse the calls that wait for a backend server with a request that is refused from now."""
    refused = [each for each in identities if state.suspects.find_refusal_end(each) > now]
    messages: list[Message] = []
    for identity in refused:
        seconds = state.suspects.find_refusal_end(identity) - now
        names = ", ".join(run.name for run in state.suspects.suspects[identity].list_runs())
        sentence = f"the request is refused for {seconds:.0f} s; {names} ended while they had it"
        messages.append(_describe(identity, sentence))
    calls = list(state.calls.states.values()) if refused else []
    for call_state in calls:
        if not call_state.queued or call_state.call.identity not in refused:
            continue
        call_state.queued = False
        messages += _refuse(state, call_state, now)
    return messages


def _refuse(state: DaemonState, call_state: CallState, now: float) -> list[Message]:
    seconds = state.suspects.find_refusal_end(call_state.call.identity) - now
    if seconds <= 0:
        return []
    reason = "backend servers ended while they had this request"
    refusal = Refusal(codes.ENDS_SERVERS, reason, retry_after=seconds)
    call_id = call_state.call.id
    return [CallSettled(now=now, call_id=call_id, refusal=refusal, ran=False)]


def _describe(identity: int, sentence: str, target: str = "") -> Decision:
    facts = {"identity": format_identity(identity)}
    return Decision(part="suspects", sentence=sentence, target=target, facts=facts)


def _probe(state: DaemonState, name: str, wall: float) -> list[Message]:
    server = state.servers.states.get(name)
    if server is None or not state.suspects.begin_check(_find_run(server)):
        return []
    probe = build_probe(state, server, wall)
    return [] if probe is None else [probe]


def _apply_check(state: DaemonState, ended: ProbeEnded) -> list[Message]:
    server = state.servers.states.get(ended.server)
    if server is None or not state.suspects.has_broken(_find_run(server), ended.now):
        return []
    if ended.refused:
        return [ServerEnded(now=ended.now, server=ended.server)]
    if ended.answered:
        state.suspects.note_alive(_find_run(server))
        return []
    # It was sent on a connection that had broken as well.
    return _probe(state, ended.server, ended.wall)
