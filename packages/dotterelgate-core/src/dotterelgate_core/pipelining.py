"""Decisions on requests that a caller sends before the ones before them are answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.routes import find_route

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelgate_core.configuration import ConfigurationState
    from dotterelgate_core.messages import Call

__all__ = [
    "MAX_HELD_BYTES",
    "MAX_PIPELINED_REQUESTS",
    "PipelinedRequest",
    "RequestTraits",
    "find_startable",
    "find_traits",
]

MAX_PIPELINED_REQUESTS = 8
# As much as one connection's own buffer takes; further parts wait at the servers.
MAX_HELD_BYTES = 262_144


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTraits:
    """What a request's route says of it.

    :param is_idempotent: whether it may run more than once
    :param is_bulk: whether its answer is large
    """

    is_idempotent: bool = False
    is_bulk: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PipelinedRequest:
    """A request of a connection that isn't answered yet.

    :param is_ready: whether enough of its body has arrived to start it alone
    :param is_whole: whether its whole body has arrived
    :param is_idempotent: whether it may run more than once, as its route says
    :param is_started: whether it was passed on
    :param closes: whether its response says that the connection closes
    :param may_be_cut: whether its answer is, or will be, relayed before it is complete
    """

    is_ready: bool
    is_whole: bool
    is_idempotent: bool
    is_started: bool
    closes: bool = False
    may_be_cut: bool = False


def find_startable(requests: Sequence[PipelinedRequest], *, held_bytes: int) -> int | None:
    """Find the request of a connection that may start now.

    Requests start in order. One that isn't idempotent runs alone: it starts when all before it
    are answered, and none behind it starts before it is. None starts behind an answer that may be
    cut off, since the connection ends with it; it could not be responded to earlier anyway. The
    first one always may start; others only while the responses that wait for their turn are within
    their bound.

    :param requests: the requests that aren't answered, in the order of their arrival
    :param held_bytes: bytes of responses that wait for their turn
    :returns: its place in ``requests``, or ``None`` for none
    """
    for index, request in enumerate(requests[:MAX_PIPELINED_REQUESTS]):
        if not request.is_started:
            return index if _may_start(request, index, held_bytes) else None
        if not request.is_idempotent or request.closes or request.may_be_cut:
            return None
    return None


def _may_start(request: PipelinedRequest, index: int, held_bytes: int) -> bool:
    if index == 0:
        return request.is_ready
    return request.is_whole and request.is_idempotent and held_bytes <= MAX_HELD_BYTES


def find_traits(configuration: ConfigurationState, call: Call) -> RequestTraits:
    """Find what a call's route says of it; a call without a route never runs."""
    found = find_route(configuration, call)
    if found is None:
        return RequestTraits(is_idempotent=True)
    return RequestTraits(is_idempotent=found[1].idempotent, is_bulk=found[1].is_bulk)
