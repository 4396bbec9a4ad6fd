"""One caller's connection; its requests are answered one at a time."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import Call
from dotterelgate_daemon.codec import (
    CONTINUE,
    LAST_CHUNK,
    encode_answer_head,
    encode_chunk,
    find_header,
)
from dotterelgate_daemon.identities import compute_fingerprint, compute_identity
from dotterelgate_daemon.intake.holdings import measure_call
from dotterelgate_daemon.intake.supervision import Intake, IntakeLimits
from dotterelgate_daemon.intake.watching import ConnectionWatch, RequestLoad
from dotterelgate_daemon.pending_calls import PendingCall
from dotterelgate_daemon.replies import Reply
from dotterelgate_daemon.request_bodies import RequestBody
from dotterelgate_daemon.request_reader import RequestReader
from dotterelgate_daemon.targets import read_path

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_core.configuration import CallerLimits
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.intake.heads import HeadLimits
    from dotterelgate_daemon.replies import AnswerStart, StoredAnswer
    from dotterelgate_daemon.request_reader import RequestHead
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import PauseDetector

__all__ = ["CallerConnection", "ConnectionContext"]

MAX_PIPELINED_REQUESTS = 8
# A request sent on a connection that was accepted or answered just now may not have
# arrived yet; closing earlier would cut it off.
TRANSIT_SECONDS = 0.3


@dataclass(kw_only=True)
class ConnectionContext:
    """What all connections of callers share.

    :param head_limit: largest request head, in bytes
    :param body_limit: bytes of a request body that are buffered; larger bodies are streamed
    :param pause_detector: measures how long a request may have waited unread
    :param is_stopping: whether connections close after the answer in progress
    :param connections: the open connections
    :param limits: limits on what all callers make the daemon hold
    :param find_caller_limits: returns the limits of the configuration in force
    :param count_closed: counts a caller that was refused or closed for a limit, by reason
    :param count_pause: counts a pause of reading or accepting, by reason
    """

    streams: StreamService
    gateway: Gateway
    head_limit: int
    body_limit: int
    pause_detector: PauseDetector
    is_stopping: bool = False
    connections: set[CallerConnection] = field(default_factory=set)
    limits: IntakeLimits = field(default_factory=IntakeLimits)
    find_caller_limits: Callable[[], CallerLimits | None] = lambda: None
    count_closed: Callable[[str], None] = lambda reason: None
    count_pause: Callable[[str], None] = lambda reason: None

    def __post_init__(self) -> None:
        """Build the supervision of the connections."""
        self.intake = Intake(
            limits=self.limits,
            count_closed=self.count_closed,
            count_pause=self.count_pause,
        )

    def find_head_limits(self) -> HeadLimits:
        """Return the limits on heads: those of the configuration, or else of the settings."""
        limits = self.find_caller_limits()
        size = limits.head_bytes if limits is not None else self.head_limit
        return self.intake.find_head_limits(size)


@dataclass(kw_only=True)
class _IncomingRequest:
    """A request that may still be arriving."""

    head: RequestHead
    body: RequestBody = field(default_factory=RequestBody)
    unread_wait: float = 0.0
    pending: PendingCall | None = None


class CallerConnection:
    """One caller's connection."""

    def __init__(self, *, context: ConnectionContext, sock: socket.socket) -> None:
        self._context = context
        self._stream = context.streams.adopt(
            sock=sock, receive=self._receive, lost=self._note_disconnect
        )
        self._stream.drained = self._resume_answer
        self._stream.closed = self._free
        self._waiting: deque[_IncomingRequest] = deque()
        self._arriving: _IncomingRequest | None = None
        self._current: _IncomingRequest | None = None
        self._refusal: Refusal | None = None
        self._chunked = False
        self._unread_wait = 0.0
        self.idle_since = time.monotonic()
        self._is_closing = False
        self._reader = RequestReader(
            head_limit=context.head_limit,
            begin=self._begin,
            body=self._receive_body,
            end=self._end_body,
            refuse=self._refuse_invalid,
            find_limits=context.find_head_limits,
            is_blocked=self._is_blocked,
        )
        self._watch = ConnectionWatch(
            intake=context.intake,
            stream=self._stream,
            reader=self._reader,
            describe=self._describe_load,
            refuse=self._refuse_arriving,
            drop=self._note_disconnect,
            resume=self.resume_reading,
        )

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or may be in transit."""
        if time.monotonic() - self.idle_since < TRANSIT_SECONDS:
            return
        if self._current is None and self._arriving is None:
            self._close()

    def resume_reading(self) -> None:
        """Parse what stayed unparsed, and read again."""
        self._reader.resume()
        self._stream.resume()
        self._pause_if_full()
        self._watch.note_held()

    def _describe_load(self) -> RequestLoad:
        current = self._current
        held = sum(each.head.cost + each.body.held_bytes for each in self._waiting)
        if current is not None:
            held += current.head.cost + current.body.held_bytes + measure_call(current.pending)
        return RequestLoad(
            held=held,
            has_body=self._arriving is not None,
            has_request=current is not None,
            is_closing=self._is_closing,
        )

    def _close(self) -> None:
        self._is_closing = True
        self._stream.close_when_sent()
        self._watch.note_held()

    def _free(self) -> None:
        """Free what the connection holds, since it has ended."""
        self._context.connections.discard(self)
        for each in self._waiting:
            each.body.discard()
        self._waiting.clear()
        self._arriving = None
        self._watch.free()

    def _receive(self, data: bytes) -> None:
        if self._is_closing:
            return
        self._unread_wait = self._context.pause_detector.measure()
        self._watch.note_received(len(data))
        self._reader.feed(data)
        self._pause_if_full()
        self._watch.note_held()

    def _note_disconnect(self) -> None:
        current, self._current = self._current, None
        if current is not None and current.pending is not None:
            self._context.gateway.note_disconnect(current.pending.call.id)

    def _begin(self, head: RequestHead) -> None:
        refusal = self._watch.refuse_body(head.length)
        if refusal is not None:
            self._reader.discard()
            self._refuse_arriving(refusal)
            return
        self._arriving = _IncomingRequest(head=head, unread_wait=self._unread_wait)
        self._waiting.append(self._arriving)
        if head.expects_continue and len(self._waiting) == 1 and self._current is None:
            self._stream.write(CONTINUE)

    def _receive_body(self, part: bytes) -> None:
        arriving = self._arriving
        assert arriving is not None
        arriving.body.add(part)
        if arriving.pending is None and arriving.body.held_bytes > self._context.body_limit:
            self._start_next()

    def _end_body(self) -> None:
        arriving, self._arriving = self._arriving, None
        assert arriving is not None
        arriving.body.end()
        self._start_next()

    def _refuse_invalid(self, code: ResultCode, reason: str) -> None:
        if code is codes.HEAD_TOO_LARGE:
            self._context.intake.note_closed("head")
        self._refuse_arriving(Refusal(code, reason))

    def _refuse_arriving(self, refusal: Refusal) -> None:
        self._refusal = refusal
        arriving = self._arriving
        if arriving is not None and arriving.pending is not None:
            self._stream.close()
            self._note_disconnect()
            return
        if arriving is not None and arriving in self._waiting:
            self._waiting.remove(arriving)
        self._arriving = None
        self._start_next()

    def _start_next(self) -> None:
        if self._current is not None or self._stream.is_full or self._is_closing:
            return
        if not self._waiting:
            self._answer_refusal()
            return
        incoming = self._waiting[0]
        streamed = not incoming.body.is_complete
        if streamed and incoming.body.held_bytes <= self._context.body_limit:
            return
        self._waiting.popleft()
        self._current = incoming
        self._submit(incoming, streamed=streamed)

    def _answer_refusal(self) -> None:
        if self._refusal is None:
            return
        refusal, self._refusal = self._refusal, None
        self._write_refusal(refusal, keep_alive=False, method="")
        self._close()

    def _submit(self, incoming: _IncomingRequest, *, streamed: bool) -> None:
        call = self._build_call(incoming, streamed=streamed)
        if isinstance(call, Refusal):
            self._refuse(call)
            return
        length = incoming.head.length
        if streamed:
            incoming.body.stream()
        elif length is None:
            length = incoming.body.held_bytes
        incoming.pending = PendingCall(
            call=call,
            target=incoming.head.target,
            headers=self._list_headers(incoming.head),
            body=incoming.body,
            length=length,
            reply=self._make_reply(),
            arrived=time.monotonic(),
            resume_caller=self.resume_reading,
            note_held=self._watch.note_held,
        )
        self._context.gateway.admit(incoming.pending)

    def _build_call(self, incoming: _IncomingRequest, *, streamed: bool) -> Call | Refusal:
        head = incoming.head
        terms = self._context.gateway.dialect.read_request(head.headers)
        if isinstance(terms, Refusal):
            return terms
        body = incoming.body.read_from(0)
        host = (find_header(head.headers, b"host") or b"").decode("latin-1")
        return Call(
            id=self._context.gateway.allocate_id(),
            method=head.method,
            host=host.rsplit(":", 1)[0].lower(),
            path=read_path(head.target),
            key=terms.key,
            fingerprint=compute_fingerprint(head, body) if terms.key is not None else 0,
            timeout=terms.timeout,
            streamed=streamed,
            retried=terms.retried,
            unread_wait=incoming.unread_wait,
            request_id=terms.request_id,
            identity=compute_identity(head, body, self._context.body_limit, terms.credential),
            credential=terms.credential,
        )

    def _list_headers(self, head: RequestHead) -> HeaderList:
        host = self._watch.holding.address.encode("ascii")
        return [*head.headers, (b"x-forwarded-for", host), (b"via", b"1.1 dotterelgate")]

    def _make_reply(self) -> Reply:
        return Reply(
            send_complete=self._send_complete,
            begin=self._begin_answer,
            part=self._send_part,
            end=self._end_answer,
            cut=self._abort,
            refuse=self._refuse,
            is_full=lambda: self._stream.is_full,
        )

    def _keeps_alive(self) -> bool:
        if self._current is None:
            return False
        if self._context.is_stopping or not self._current.body.is_complete:
            return False
        return self._current.head.keep_alive

    def _send_complete(self, answer: StoredAnswer) -> None:
        length = len(answer.body) if answer.body or answer.length is None else answer.length
        headers = self._list_answer_headers(answer.headers, answer.server)
        if answer.status != 204:
            headers.append((b"content-length", b"%d" % length))
        self._stream.write(encode_answer_head(answer.status, headers) + answer.body)
        self._finish()

    def _begin_answer(self, start: AnswerStart) -> None:
        headers = self._list_answer_headers(start.headers, start.server)
        self._chunked = start.length is None
        if start.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            headers.append((b"content-length", b"%d" % start.length))
        self._stream.write(encode_answer_head(start.status, headers))

    def _list_answer_headers(self, headers: HeaderList, server: str) -> HeaderList:
        listed = [*headers, *self._context.gateway.dialect.write_answer(server)]
        listed.append((b"dotterelgate-daemon", self._context.gateway.name.encode("latin-1")))
        if not self._keeps_alive():
            listed.append((b"connection", b"close"))
        return listed

    def _send_part(self, part: bytes) -> None:
        self._stream.write(encode_chunk(part) if self._chunked else part)
        self._watch.note_held()

    def _end_answer(self) -> None:
        if self._chunked:
            self._stream.write(LAST_CHUNK)
        self._finish()

    def _abort(self) -> None:
        # In HTTP, closing before the declared end marks an incomplete answer.
        self._current = None
        self._stream.close()

    def _refuse(self, refusal: Refusal) -> None:
        if self._current is None:
            return
        keep_alive = self._keeps_alive()
        self._write_refusal(refusal, keep_alive=keep_alive, method=self._current.head.method)
        self._finish()

    def _write_refusal(self, refusal: Refusal, *, keep_alive: bool, method: str) -> None:
        body = f"{refusal.code.number} {refusal.code.name}: {refusal.reason}\n".encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
            *self._context.gateway.dialect.write_refusal(refusal),
            (b"dotterelgate-daemon", self._context.gateway.name.encode("latin-1")),
        ]
        if not keep_alive:
            headers.append((b"connection", b"close"))
        head = encode_answer_head(refusal.code.status, headers)
        self._stream.write(head if method == "HEAD" else head + body)

    def _finish(self) -> None:
        keep_alive = self._keeps_alive()
        self._current = None
        self.idle_since = time.monotonic()
        if not keep_alive:
            self._close()
            return
        self._start_next()
        if self._stream.is_paused or self._reader.has_unparsed:
            self.resume_reading()
        else:
            self._watch.note_held()

    def _is_blocked(self) -> bool:
        """Return whether later requests have to wait for those before them."""
        if len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            return True
        arriving = self._arriving
        if arriving is None or arriving.pending is not None or self._current is None:
            return False
        return arriving.body.held_bytes > self._context.body_limit

    def _pause_if_full(self) -> None:
        arriving = self._arriving
        if not self._stream.is_open:
            return
        full = self._is_blocked()
        if arriving is not None and arriving.pending is not None:
            full = full or self._context.gateway.is_body_full(arriving.pending)
        if full:
            self._stream.pause()

    def _resume_answer(self) -> None:
        self._start_next()
        self._watch.note_held()
        if self._current is not None and self._current.pending is not None:
            self._context.gateway.resume_answer(self._current.pending.call.id)
