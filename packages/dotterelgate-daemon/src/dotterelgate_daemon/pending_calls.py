"""Requests in progress, as the gateway holds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.messages import Call
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.dialect import AnswerTerms
    from dotterelgate_daemon.exchanges import Exchange
    from dotterelgate_daemon.replies import AnswerStart, Reply, StoredAnswer
    from dotterelgate_daemon.request_bodies import RequestBody

__all__ = ["PendingCall"]


@dataclass(kw_only=True)
class PendingCall:
    """Request, answer and connections of a call in progress.

    :param target: path and query
    :param length: bytes of the body, or ``None`` when it is chunked
    :param relay_started: whether part of an answer was sent already
    :param peer: peer that the call was forwarded to
    :param next_part: number of the next answer part expected from that peer
    :param note_held: called when the call holds more of an answer
    """

    call: Call
    target: str
    headers: HeaderList
    body: RequestBody
    length: int | None
    reply: Reply
    arrived: float
    exchange: Exchange | None = None
    start: AnswerStart | None = None
    answer_body: bytearray = field(default_factory=bytearray)
    status: int = 0
    terms: AnswerTerms | None = None
    relay_started: bool = False
    peer: str | None = None
    next_part: int = 0
    complete_answer: StoredAnswer | None = None
    service: str = ""
    resume_caller: Callable[[], None] | None = None
    note_held: Callable[[], None] = lambda: None
