"""Responses to callers: their encoding, and their order on one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_daemon.codec import LAST_CHUNK, encode_answer_head, encode_chunk
from dotterelgate_daemon.replies import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import Refusal
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.dialect import Dialect
    from dotterelgate_daemon.replies import AnswerStart, StoredAnswer
    from dotterelgate_daemon.streams import Stream

__all__ = ["CallerResponse"]

NO_CONTENT = 204


class CallerResponse:
    """The response to one request, which is held until those before it are sent.

    :param method: method of the request; a response to HEAD has no body
    :param name: name of this daemon
    :param must_close: returns whether the connection closes after this response
    :param may_hold: returns whether more bytes may be held
    :param changed: called when bytes were held, and when the response has ended
    :param written: called when bytes were written to the stream
    """

    def __init__(
        self,
        *,
        method: str,
        name: str,
        dialect: Dialect,
        stream: Stream,
        must_close: Callable[[], bool],
        may_hold: Callable[[], bool],
        changed: Callable[[], None],
        written: Callable[[], None] = lambda: None,
    ) -> None:
        self.closes = False
        self.has_ended = False
        self._method = method
        self._name = name.encode("latin-1")
        self._dialect = dialect
        self._stream = stream
        self._must_close = must_close
        self._may_hold = may_hold
        self._changed = changed
        self._written = written
        self._held = bytearray()
        self._has_turn = False
        self._chunked = False

    @property
    def held_bytes(self) -> int:
        """Bytes that wait for the turn of this response."""
        return len(self._held)

    def make_reply(self) -> Reply:
        """Build the functions by which the gateway responds."""
        return Reply(
            send_complete=self._send_complete,
            begin=self._begin,
            part=self._send_part,
            end=self._end,
            cut=self._cut,
            refuse=self.refuse,
            is_full=self._is_full,
        )

    def take_turn(self) -> bool:
        """Send what is held, and all that follows at once.

        :returns: whether the turn began with this call
        """
        if self._has_turn:
            return False
        self._has_turn = True
        self._stream.write(bytes(self._held))
        self._held.clear()
        return True

    def free(self) -> None:
        """Drop what is held and the callbacks, which refer to the request and so to this object."""
        self._held = bytearray()
        self._must_close = self._may_hold = lambda: False
        self._changed = self._written = lambda: None

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a result code."""
        if self.has_ended:
            return
        body = f"{refusal.code.number} {refusal.code.name}: {refusal.reason}\n".encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
            *self._dialect.write_refusal(refusal),
        ]
        head = self._encode_head(refusal.code.status, headers)
        self._write(head if self._method == "HEAD" else head + body)
        self._finish()

    def _send_complete(self, answer: StoredAnswer) -> None:
        length = len(answer.body) if answer.body or answer.length is None else answer.length
        headers = [*answer.headers, *self._dialect.write_answer(answer.server)]
        if answer.status != NO_CONTENT:
            headers.append((b"content-length", b"%d" % length))
        self._write(self._encode_head(answer.status, headers) + answer.body)
        self._finish()

    def _begin(self, start: AnswerStart) -> None:
        headers = [*start.headers, *self._dialect.write_answer(start.server)]
        self._chunked = start.length is None
        if start.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            headers.append((b"content-length", b"%d" % start.length))
        self._write(self._encode_head(start.status, headers))

    def _send_part(self, part: bytes) -> None:
        self._write(encode_chunk(part) if self._chunked else part)

    def _end(self) -> None:
        if self._chunked:
            self._write(LAST_CHUNK)
        self._finish()

    def _cut(self) -> None:
        # In HTTP, closing before the declared end marks an incomplete response.
        self.closes = True
        self._finish()

    def _finish(self) -> None:
        self.has_ended = True
        self._changed()

    def _encode_head(self, status: int, headers: HeaderList) -> bytes:
        headers.append((b"dotterelgate-daemon", self._name))
        self.closes = self._must_close()
        if self.closes:
            headers.append((b"connection", b"close"))
        return encode_answer_head(status, headers)

    def _write(self, data: bytes) -> None:
        if self._has_turn:
            self._stream.write(data)
            self._written()
        else:
            self._held += data
            self._changed()

    def _is_full(self) -> bool:
        return self._stream.is_full if self._has_turn else not self._may_hold()
