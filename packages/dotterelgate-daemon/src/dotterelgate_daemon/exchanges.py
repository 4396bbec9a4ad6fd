"""One request and its answer on one connection."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.codec import LAST_CHUNK, AnswerReader, encode_chunk
from dotterelgate_daemon.request_bodies import RequestBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.codec import AnswerHead, HeaderList
    from dotterelgate_daemon.streams import Stream

__all__ = ["Exchange", "ExchangeEnd"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEnd:
    """How an exchange ended without a complete answer.

    :param sent: whether the server may have read the complete request head
    :param refused: whether nothing listens at the server's address
    """

    sent: bool
    refusal: Refusal
    refused: bool = False


def _ignore() -> None:
    pass


class Exchange:
    """One request and its answer on one connection.

    The connection is closed unless the answer arrived complete and in turn.

    :param head: encoded request head
    :param body: body of the request, empty by default
    :param chunked: whether the body is sent in chunks
    :param begin: called with the head of the answer
    :param part: called with each part of its body
    :param completed: called once when the answer is complete
    :param failed: called once when the answer cannot be completed
    :param drained: called when more of the request's body can be sent
    :param matches_request: returns whether headers belong to the answer to this request
    :param allows_close_delimited: whether the end of the connection may end the answer's body
    :param request_id: id that the answer repeats, empty where answers name no request
    :param body_limit: largest body of the answer, in bytes; ``None`` where the body is relayed,
        so that its reader sets the pace
    """

    def __init__(
        self,
        *,
        method: str,
        head: bytes,
        body: RequestBody | None = None,
        chunked: bool = False,
        begin: Callable[[AnswerHead], None],
        part: Callable[[bytes], None],
        completed: Callable[[], None],
        failed: Callable[[ExchangeEnd], None],
        drained: Callable[[], None] | None = None,
        matches_request: Callable[[HeaderList], bool] = lambda headers: True,
        allows_close_delimited: bool = False,
        request_id: str = "",
        body_limit: int | None = None,
    ) -> None:
        self._head = head
        self._body_limit = body_limit
        self._body_bytes = 0
        self._body = body if body is not None else RequestBody(is_complete=True)
        self._body_offset = 0
        self.has_sent_body = False
        self._drained = drained
        self._chunked = chunked
        self._part = part
        self._completed = completed
        self._failed = failed
        self._reader = AnswerReader(
            method=method,
            begin=begin,
            body=self._pass_on,
            end=self._finish,
            matches_request=matches_request,
            allows_close_delimited=allows_close_delimited,
        )
        self.request_id = request_id
        self.idle_seconds: float | None = None
        self.is_failure = False
        self.has_answered = False
        self.started_at = 0.0
        self._is_ended = False
        self._is_complete = False
        self._sent_before = 0
        self.stream: Stream | None = None
        self.release: Callable[[bool], None] = lambda reuse: None

    def start(self, stream: Stream) -> None:
        """Send the request on an established stream."""
        self.stream = stream
        self.started_at = time.monotonic()
        self._sent_before = stream.sent_bytes
        stream.drained = self._drained
        if not self._body.is_complete:
            self._body.on_change = self._send_body
        self._send_body(self._head)
        if self._drained is not None and not self._is_ended and not stream.is_full:
            self._drained()

    def receive(self, data: bytes) -> None:
        """Read bytes of the answer."""
        if self._is_ended:
            return
        self.has_answered = True
        self._reader.feed(data)
        if self._is_ended:
            return
        if self._is_complete:
            self._complete()
        elif self._reader.problem is not None:
            refusal = Refusal(codes.ANSWER_INVALID, f"invalid answer: {self._reader.problem}")
            self.fail(refusal)

    def note_disconnect(
        self, refusal: Refusal, *, received_eof: bool, refused: bool = False
    ) -> None:
        """Note that the connection ended.

        :param received_eof: whether the server closed it; otherwise it was reset or lost
        :param refused: whether it was never established, since nothing listens
        """
        if self._is_ended:
            return
        if received_eof and self._reader.note_eof():
            self._complete()
        else:
            self.fail(refusal, refused=refused)

    def fail(self, refusal: Refusal, *, refused: bool = False) -> None:
        """End the exchange without a complete answer and close its connection."""
        if self._is_ended:
            return
        sent = self._may_have_been_read()
        self._end()
        self._release(False)
        self._failed(ExchangeEnd(sent=sent, refusal=refusal, refused=refused))

    def abandon(self) -> None:
        """Cancel the request by closing the connection, without calling ``failed``."""
        if not self._is_ended:
            self._end()
            self._release(False)

    def _send_body(self, prefix: bytes = b"") -> None:
        """Send what has arrived of the body, behind a prefix.

        A write may find the connection lost and start another attempt, which has to read the
        same bytes; they are released after it.
        """
        if self.stream is None or self._is_ended:
            return
        part = self._body.read_from(self._body_offset)
        data = prefix
        if part:
            data += encode_chunk(part) if self._chunked else part
        ends = self._body.is_complete and not self.has_sent_body
        if ends and self._chunked:
            data += LAST_CHUNK
        if data:
            self.stream.write(data)
        if self._is_ended:
            return
        self.has_sent_body = self.has_sent_body or ends
        self._body_offset += len(part)
        self._body.note_sent(self._body_offset)

    def _end(self) -> None:
        self._is_ended = True
        if self._body.on_change == self._send_body:
            self._body.on_change = _ignore

    def _release(self, reuse: bool) -> None:
        """Give the connection back.

        Breaks the cycles of references, which would keep bodies until a later collection.
        """
        release, self.release = self.release, lambda reuse: None
        self._reader.discard()
        release(reuse)

    def _may_have_been_read(self) -> bool:
        if self.stream is None:
            return False
        return self.stream.sent_bytes - self._sent_before >= len(self._head)

    def _pass_on(self, part: bytes) -> None:
        # A part may end the exchange; the same bytes may hold more of them.
        if self._is_ended:
            return
        self._body_bytes += len(part)
        if self._body_limit is not None and self._body_bytes > self._body_limit:
            reason = f"the body of the answer exceeds {self._body_limit} bytes"
            self.fail(Refusal(codes.ANSWER_INVALID, reason))
            return
        self._part(part)

    def _finish(self) -> None:
        self._is_complete = True

    def _complete(self) -> None:
        self._end()
        self._release(self._reader.may_reuse and self.has_sent_body)
        self._completed()
