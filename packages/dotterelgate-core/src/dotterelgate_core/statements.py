"""What backend servers state of themselves in their answers, and what peers heard of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.limits import UNLIMITED
from dotterelgate_core.messages import Decision
from dotterelgate_core.warm_up.coldness import apply_cold_answer, apply_cold_peer

if TYPE_CHECKING:
    from dotterelgate_core.control_messages import ProbeEnded
    from dotterelgate_core.messages import ServerAnswered
    from dotterelgate_core.servers import ServerState

__all__ = [
    "PeerStatements",
    "apply_answer_statements",
    "apply_peer_statements",
    "apply_probe_statements",
]

ITS_ANSWER = "its answer"
REFUSED_STATUS = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerStatements:
    """What a peer was told by one run of a backend server.

    :param born: Unix millisecond of the start of that run, if its entry states it
    :param is_leaving: whether it leaves
    :param limit: limit that an answer named, infinite for none, ``None`` without an answer
    :param limit_age: seconds since that answer
    :param pause: seconds for which it wants no requests of the peer
    :param cold_seconds: seconds for which it is still cold, ``None`` without an answer
    :param cold_age: seconds since that answer
    """

    born: int | None
    is_leaving: bool = False
    limit: float | None = None
    limit_age: float = 0.0
    pause: float = 0.0
    cold_seconds: float | None = None
    cold_age: float = 0.0


def apply_answer_statements(server: ServerState, answered: ServerAnswered) -> list[Decision]:
    """Apply what an answer states.

    :returns: a log line for each change
    """
    changes = []
    rate = answered.report.limit
    # A refusal may come from a queue that names no limit.
    if answered.ran or rate != UNLIMITED:
        if server.limit.apply_answer(rate, answered.now, is_probe=False):
            changes.append(_describe_limit(server, ITS_ANSWER))
    if answered.status == REFUSED_STATUS and answered.report.pause:
        changes += _pause(server, answered.now, answered.report.pause)
    return changes


def apply_probe_statements(server: ServerState, ended: ProbeEnded) -> list[Decision]:
    """Apply what the answer to a probe states.

    :returns: a log line for each change
    """
    changes = []
    if server.limit.apply_answer(ended.limit, ended.now, is_probe=True):
        changes.append(_describe_limit(server, ITS_ANSWER))
    changes += apply_cold_answer(server, ended.cold_seconds, ended.now)
    if ended.draining:
        changes += _mark_leaving(server, ended.wall, ITS_ANSWER)
    return changes


def apply_peer_statements(
    server: ServerState, stated: PeerStatements, now: float, peer: str
) -> list[Decision]:
    """Apply what a peer was told; what another run stated does not count.

    :returns: a log line for each change
    """
    changes: list[Decision] = []
    if stated.born != server.server.born:
        return changes
    if stated.limit is not None:
        at = now - stated.limit_age
        if server.limit.apply_statement(stated.limit, now, at=at):
            changes.append(_describe_limit(server, peer))
    if stated.cold_seconds is not None:
        changes += apply_cold_peer(server, stated.cold_seconds, now, age=stated.cold_age, peer=peer)
    if stated.pause:
        server.pauses[peer] = now + stated.pause
    if stated.is_leaving:
        changes += _mark_leaving(server, server.leaving_report_wall, peer)
    return changes


def _pause(server: ServerState, now: float, seconds: float) -> list[Decision]:
    was_paused = server.wants_pause(now)
    server.pauses[None] = max(server.pauses.get(None, 0.0), now + seconds)
    if was_paused:
        return []
    sentence = f"{server.server.name} wants no requests of this daemon for {seconds:g} s"
    return [_describe(server, f"{sentence} (from {ITS_ANSWER})")]


def _mark_leaving(server: ServerState, wall: float, source: str) -> list[Decision]:
    if not server.apply_leaving_report(is_leaving=True, wall=wall):
        return []
    sentence = f"{server.server.name} is leaving (from {source}); it gets no new requests"
    return [_describe(server, sentence)]


def _describe_limit(server: ServerState, source: str) -> Decision:
    name = server.server.name
    sentence = f"{name} names no limit any more"
    if server.limit.is_named:
        sentence = f"{name} takes {server.limit.rate:g} requests a second"
    return _describe(server, f"{sentence} (from {source})")


def _describe(server: ServerState, sentence: str) -> Decision:
    return Decision(
        part="statements",
        sentence=sentence,
        service=server.service,
        target=server.server.name,
    )
