"""Decisions on which clients are refused or closed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

from dotterelgate_daemon.intake.holdings import Awaited

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_daemon.intake.holdings import Holding

__all__ = [
    "Pace",
    "choose_evicted",
    "choose_replaced",
    "compute_connection_limit",
    "compute_least_rate",
    "judge_pace",
]

AnyClient = TypeVar("AnyClient")

# Descriptors of files, which the platform counts in the limit.
FILE_DESCRIPTORS = 200
# The rest is for backend servers, peers, the store and the status.
CALLERS_SHARE = 0.6
# A client that is slow, not idle, moves bytes more often than this.
STALLED_SECONDS = 1.0
# A request that was sent when the connection was accepted has arrived by then.
TRANSIT_SECONDS = 0.3
PACE_SECONDS = 15.0
_PENDING = frozenset((Awaited.HEAD, Awaited.BODY, Awaited.READING))


class Pace(Enum):
    """Whether a client moves enough bytes."""

    UNKNOWN = "unknown"
    ENOUGH = "enough"
    TOO_SLOW = "too slow"


def compute_connection_limit(*, descriptors: int, connections: int) -> int:
    """Compute how many callers' connections are open at most.

    :param descriptors: descriptors that the process may have open
    :param connections: connections that the settings allow
    """
    available = int((descriptors - FILE_DESCRIPTORS) * CALLERS_SHARE)
    return max(1, min(connections, available))


def compute_least_rate(*, link_rate: float, connections: int) -> float:
    """Compute the bytes a second that a client has at least when all share the slowest link."""
    return link_rate / connections


def judge_pace(holding: Holding, *, now: float, least_rate: float) -> Pace:
    """Judge whether a client moved enough bytes since the start of its window.

    Only a client that the daemon waits for is judged, and only after the whole window.
    """
    if holding.awaited not in _PENDING or holding.waits_for_memory:
        return Pace.ENOUGH
    elapsed = now - holding.window_at
    if elapsed < PACE_SECONDS:
        return Pace.UNKNOWN
    moved = holding.moved - holding.moved_before
    return Pace.ENOUGH if moved >= least_rate * elapsed else Pace.TOO_SLOW


def _rank(holding: Holding, now: float, crowded: frozenset[str]) -> tuple[bool, float]:
    return holding.address not in crowded, -holding.held * (now - holding.progressed_at)


def _is_stalled(holding: Holding, now: float) -> bool:
    waits_for_client = holding.awaited in _PENDING and not holding.waits_for_memory
    return waits_for_client and now - holding.progressed_at >= STALLED_SECONDS


def choose_evicted(
    clients: Iterable[tuple[Holding, AnyClient]],
    *,
    excess: int,
    now: float,
    short_since: float,
    crowded: frozenset[str] = frozenset(),
) -> list[AnyClient]:
    """Choose the clients to close so that memory is not short any more.

    Those that make no progress go first: those of addresses with too many unfinished bodies,
    then the oldest and largest. Where that is not enough for some time, those that would make
    progress if there was memory go, the youngest first, so that the others complete.

    :param excess: bytes to free
    :param short_since: monotonic second since which memory is short
    :param crowded: addresses with too many unfinished bodies
    """
    holders = [(holding, client) for holding, client in clients if holding.held]
    stalled = [each for each in holders if _is_stalled(each[0], now)]
    stalled.sort(key=lambda each: _rank(each[0], now, crowded))
    if not stalled and now - short_since >= STALLED_SECONDS:
        waiting = [each for each in holders if each[0].waits_for_memory]
        waiting.sort(key=lambda each: -each[0].opened_at)
        stalled = waiting[: max(1, len(waiting) // 8)]
    chosen = []
    for holding, client in stalled:
        if excess <= 0:
            break
        excess -= holding.held
        chosen.append(client)
    return chosen


def choose_replaced(
    clients: Iterable[tuple[Holding, AnyClient]], *, now: float, count: int
) -> list[AnyClient]:
    """Choose the connections to close so that further callers are accepted.

    Those that are closing go first, then those that never sent anything, then idle ones, then
    those that make no progress; among them those that have been so for longest.

    :param count: number to choose at most
    """
    ranked: list[tuple[int, float, int, AnyClient]] = []
    for holding, client in clients:
        rank = _rank_replaced(holding, now)
        if rank is not None:
            ranked.append((rank, holding.progressed_at, len(ranked), client))
    return [each[-1] for each in sorted(ranked)[:count]]


def _rank_replaced(holding: Holding, now: float) -> int | None:
    if holding.awaited is Awaited.CLOSE:
        return 0
    if holding.awaited is Awaited.REQUEST and now - holding.progressed_at >= TRANSIT_SECONDS:
        return 2 if holding.received else 1
    return 3 if _is_stalled(holding, now) else None
