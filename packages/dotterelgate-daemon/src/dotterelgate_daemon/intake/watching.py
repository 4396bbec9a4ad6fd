"""Measures one caller's connection for the account of all, and gives it up when told to."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_daemon.intake.holdings import Holding, find_awaited

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import Refusal
    from dotterelgate_daemon.intake.supervision import Intake
    from dotterelgate_daemon.request_reader import RequestReader
    from dotterelgate_daemon.streams import Stream

__all__ = ["ConnectionWatch", "RequestLoad"]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLoad:
    """What the requests of a connection hold, and how far they are.

    :param held: bytes of their heads, bodies and answers
    :param has_body: whether the body of the newest is incomplete
    :param has_request: whether one was passed on, and its answer is not complete
    :param is_closing: whether the last answer was written
    """

    held: int
    has_body: bool
    has_request: bool
    is_closing: bool


class ConnectionWatch:
    """Measures one connection.

    :param describe: returns what its requests hold
    :param refuse: answers the request that arrives with a refusal, and closes the connection
    :param drop: forgets the requests of a connection that was closed
    :param resume: parses what stayed unparsed, and reads again
    """

    def __init__(
        self,
        *,
        intake: Intake,
        stream: Stream,
        reader: RequestReader,
        describe: Callable[[], RequestLoad],
        refuse: Callable[[Refusal], None],
        drop: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        now = time.monotonic()
        self.holding = Holding(
            address=_find_address(stream), opened_at=now, awaited_since=now, progressed_at=now
        )
        self._intake = intake
        self._stream = stream
        self._reader = reader
        self._describe = describe
        self._refuse = refuse
        self._drop = drop
        self._resume = resume
        stream.decide_reading = lambda: intake.decide_reading(self)
        intake.clients.add(self)

    def note_received(self, count: int) -> None:
        """Note that bytes were received."""
        self.holding.note_received(count, time.monotonic())

    def note_held(self) -> None:
        """Note what the connection holds and what it waits for; called when either changes."""
        if not self._stream.is_open:
            return
        load = self._describe()
        unsent = self._stream.held_bytes
        account = self._intake.account
        account.update(self.holding, load.held + unsent + self._reader.held_bytes)
        account.note_body(self.holding, has_body=load.has_body)
        awaited = find_awaited(
            has_unsent=unsent > 0,
            is_closing=load.is_closing,
            has_body=load.has_body,
            is_paused=self._stream.is_paused,
            is_in_head=self._reader.is_in_head,
            has_request=load.has_request,
        )
        if awaited is not self.holding.awaited:
            self.holding.note_awaited(awaited, time.monotonic())

    def update_holding(self) -> None:
        """Measure what the connection holds, and what the client has acknowledged."""
        self.holding.note_acknowledged(self._stream.measure_acknowledged(), time.monotonic())
        self.note_held()

    def refuse_body(self, length: int | None) -> Refusal | None:
        """Return the refusal of a request whose body is not read while memory is short."""
        return self._intake.refuse_body(self.holding, length)

    def give_up(self, refusal: Refusal) -> None:
        """Refuse its request, or close the connection where the request may have run."""
        load = self._describe()
        is_answering = load.has_request or load.is_closing or self._stream.held_bytes > 0
        if (self._reader.is_in_head or load.has_body) and not is_answering:
            self._reader.discard()
            self._refuse(refusal)
        else:
            self._stream.close()
            self._drop()

    def resume_reading(self) -> None:
        """Read again after memory was short."""
        self._resume()

    def free(self) -> None:
        """Free what was read, since the connection has ended."""
        self._reader.discard()
        self._intake.clients.discard(self)
        self._intake.release(self.holding)


def _find_address(stream: Stream) -> str:
    try:
        return stream.sock.getpeername()[0]
    except OSError:
        return "unknown"
