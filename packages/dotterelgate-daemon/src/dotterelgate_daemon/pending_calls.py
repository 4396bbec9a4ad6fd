"""Requests in progress, as the gateway holds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.messages import Call
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.replies import Reply, StoredAnswer
    from dotterelgate_daemon.request_bodies import RequestBody
    from dotterelgate_daemon.server_attempts import ServerAttempt
    from dotterelgate_daemon.streams import Stream

__all__ = ["PendingCall"]


@dataclass(kw_only=True)
class PendingCall:
    """Request, answer and attempts of a call in progress.

    :param target: path and query
    :param length: bytes of the body, or ``None`` when it is chunked
    :param attempts: its attempts that have not ended, by backend server
    :param status: status of the newest complete answer
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
    attempts: dict[str, ServerAttempt] = field(default_factory=dict)
    status: int = 0
    relay_started: bool = False
    peer: str | None = None
    next_part: int = 0
    complete_answer: StoredAnswer | None = None
    service: str = ""
    resume_caller: Callable[[], None] | None = None
    note_held: Callable[[], None] = lambda: None

    @property
    def stream(self) -> Stream | None:
        """Connection of its only attempt, if that has one.

        A call has no second attempt if its body is streamed, or once an answer is relayed.
        """
        attempt = next(iter(self.attempts.values()), None)
        exchange = attempt.exchange if attempt is not None else None
        return exchange.stream if exchange is not None else None

    @property
    def has_sent_body(self) -> bool:
        """Whether its attempts, at least one, have sent the whole body."""
        exchanges = [each.exchange for each in self.attempts.values()]
        return bool(exchanges) and all(
            each is not None and each.has_sent_body for each in exchanges
        )
