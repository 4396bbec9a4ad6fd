"""One caller's connection; its requests are answered in order."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.caller_responses import CallerResponse
from dotterelgate_daemon.codec import CONTINUE
from dotterelgate_daemon.incoming_requests import IncomingRequest
from dotterelgate_daemon.intake.watching import ConnectionWatch, RequestLoad
from dotterelgate_daemon.lingering import close_in_steps
from dotterelgate_daemon.pending_calls import PendingCall
from dotterelgate_daemon.request_queue import RequestQueue
from dotterelgate_daemon.request_reader import RequestReader

if TYPE_CHECKING:
    import socket

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_daemon.connection_context import ConnectionContext
    from dotterelgate_daemon.request_reader import RequestHead

__all__ = ["CallerConnection"]

# A request sent on a connection that was accepted or answered just now may not have
# arrived yet; closing earlier would cut it off.
TRANSIT_SECONDS = 0.3


class CallerConnection:
    """One caller's connection.

    Requests are read ahead within a bound. Those that may run side by side do; the responses are
    sent in the order of the requests.
    """

    def __init__(self, *, context: ConnectionContext, sock: socket.socket) -> None:
        self._context = context
        self._stream = context.streams.adopt(
            sock=sock, receive=self._receive, lost=self._drop_requests
        )
        self._stream.drained = self._resume_answer
        self._stream.closed = self._free
        self._requests = RequestQueue(context)
        self._refusal: Refusal | None = None
        self._unread_wait = 0.0
        self._is_closing = False
        self._is_advancing = False
        self.idle_since = time.monotonic()
        self._reader = RequestReader(
            head_limit=context.head_limit,
            begin=self._begin,
            body=self._receive_body,
            end=self._end_body,
            refuse=self._refuse_invalid,
            find_limits=context.find_head_limits,
            is_blocked=self._requests.is_full,
        )
        self._watch = ConnectionWatch(
            intake=context.intake,
            stream=self._stream,
            reader=self._reader,
            describe=self._describe_load,
            refuse=self._refuse_arriving,
            drop=self._drop_requests,
            resume=self._resume_reading,
        )

    @property
    def is_active(self) -> bool:
        """Whether a request is in progress, may be in transit, or has its response on the way."""
        return not self._is_closing or self._stream.is_sending

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or may be in transit."""
        if self._requests or self._is_closing:
            return
        now = time.monotonic()
        if self._stream.is_sending:
            self.idle_since = now
        if now - self.idle_since >= TRANSIT_SECONDS:
            self._close()

    def end(self) -> None:
        """Refuse a request that is still arriving and was not passed on, and close.

        Responses that were written are sent first.
        """
        if self._is_closing or not self._stream.is_open:
            return
        arriving = self._requests.arriving
        is_unstarted = arriving is not None and not arriving.is_started
        if is_unstarted or self._reader.is_in_head:
            self._reader.discard()
            self._refuse_arriving(Refusal(codes.STOPPING, "the daemon stops"))
        elif not self._requests:
            self._close()

    def _free(self) -> None:
        self._context.connections.discard(self)
        self._requests.arriving = None
        self._watch.free()

    def _describe_load(self) -> RequestLoad:
        return RequestLoad(
            held=self._requests.held_bytes,
            has_body=self._requests.arriving is not None and not self._is_closing,
            has_request=self._requests.has_started(),
            is_closing=self._is_closing,
        )

    def _receive(self, data: bytes) -> None:
        self._watch.note_received(len(data))
        self._unread_wait = self._context.pause_detector.measure()
        self._reader.feed(data)
        if self._requests.is_full() and not self._is_closing:
            self._stream.pause()
        self._watch.note_held()

    def _close(self) -> None:
        # Bytes that were not read, of this request or of later ones, would reset the connection.
        self._is_closing = True
        self._drop_requests()
        if self._requests.arriving is not None:
            self._requests.arriving.body.discard()
            self._requests.arriving = None
        self._reader.discard()
        close_in_steps(self._stream, call_after=self._context.call_after)
        self._watch.note_held()

    def _drop_requests(self) -> None:
        """Cancel the requests that were passed on, and forget the others."""
        for each in self._requests.pop_all():
            if each.pending is not None and not each.response.has_ended:
                self._context.gateway.note_disconnect(each.pending.call.id)
            elif not each.is_started:
                each.body.discard()
            each.response.free()

    def _begin(self, head: RequestHead) -> None:
        if not self._requests and not self._stream.is_sending:
            self._stream.settle()
        refusal = self._watch.refuse_body(head.length)
        if refusal is not None:
            self._reader.discard()
            self._refuse_arriving(refusal)
            return
        request = IncomingRequest(
            head=head,
            unread_wait=self._unread_wait,
            response=CallerResponse(
                method=head.method,
                name=self._context.gateway.name,
                dialect=self._context.gateway.dialect,
                stream=self._stream,
                must_close=lambda: self._must_close(request),
                may_hold=lambda: self._requests.may_hold,
                changed=self._advance,
                written=self._watch.note_held,
            ),
        )
        self._requests.arriving = request
        if not self._is_closing:
            self._requests.add(request)
        self._advance()

    def _receive_body(self, part: bytes) -> None:
        arriving = self._requests.arriving
        if arriving is None or self._is_closing:
            return
        arriving.body.add(part)
        if not arriving.is_started and self._requests.is_ready(arriving):
            self._requests.note_ready(arriving)
            self._advance()

    def _end_body(self) -> None:
        arriving, self._requests.arriving = self._requests.arriving, None
        if arriving is not None:
            arriving.body.end()
            self._requests.note_ready(arriving)
        self._advance()

    def _refuse_invalid(self, code: ResultCode, reason: str) -> None:
        if code is codes.HEAD_TOO_LARGE:
            self._context.intake.note_closed("head")
        self._refuse_arriving(Refusal(code, reason))

    def _refuse_arriving(self, refusal: Refusal) -> None:
        self._refusal = refusal
        arriving = self._requests.arriving
        if arriving is not None and arriving.is_started:
            self._stream.close()
            self._drop_requests()
            return
        self._requests.drop_arriving()
        self._advance()

    def _advance(self) -> None:
        """Send responses whose turn has come, and start requests that may start.

        Both may end a response at once and so get here again.
        """
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while not self._is_closing and self._stream.is_open and self._step():
                pass
        finally:
            self._is_advancing = False
        if self._is_closing or not self._stream.is_open:
            return
        self._resume_reading()
        if not self._requests:
            self._answer_refusal()
            return
        first = self._requests.first
        if first.head.expects_continue and not first.is_continued and not first.body.is_complete:
            first.is_continued = True
            self._stream.write(CONTINUE)

    def _step(self) -> bool:
        if self._requests:
            first = self._requests.first
            if first.response.take_turn() and first.pending is not None:
                self._context.gateway.resume_answer(first.pending.call.id)
            if first.response.has_ended:
                self._finish(self._requests.pop_first())
                return True
        startable = self._requests.find_startable()
        if startable is None or self._stream.is_full:
            return False
        self._start(startable)
        return True

    def _finish(self, request: IncomingRequest) -> None:
        self.idle_since = time.monotonic()
        closes = request.response.closes
        request.response.free()
        if closes:
            self._close()

    def _must_close(self, request: IncomingRequest) -> bool:
        if not request.body.is_complete or not request.head.keep_alive:
            return True
        if not self._context.is_stopping:
            return False
        # A stop cuts off no request that was passed on.
        return not self._requests.has_started_behind(request)

    def _answer_refusal(self) -> None:
        if self._refusal is None:
            return
        response = CallerResponse(
            method="",
            name=self._context.gateway.name,
            dialect=self._context.gateway.dialect,
            stream=self._stream,
            must_close=lambda: True,
            may_hold=lambda: True,
            changed=lambda: None,
        )
        response.take_turn()
        response.refuse(self._refusal)
        self._close()

    def _start(self, request: IncomingRequest) -> None:
        request.is_started = True
        call = request.call
        if call is None or isinstance(call, Refusal):
            if call is not None:
                request.response.refuse(call)
            return
        call = request.reduce_timeout(call, time.monotonic())
        length = request.head.length
        if call.streamed:
            request.body.stream()
        elif length is None:
            length = request.body.held_bytes
        request.pending = PendingCall(
            call=call,
            target=request.head.target,
            headers=request.list_headers(self._watch.holding.address.encode("ascii")),
            body=request.body,
            length=length,
            reply=request.response.make_reply(),
            arrived=time.monotonic(),
            resume_caller=self._resume_reading,
            note_held=self._watch.note_held,
        )
        self._context.gateway.admit(request.pending)

    def _resume_reading(self) -> None:
        if not self._requests.is_full():
            self._reader.resume()
        if not self._requests.is_full():
            self._stream.resume()
        self._watch.note_held()

    def _resume_answer(self) -> None:
        self._advance()
        if self._requests and self._requests.first.pending is not None:
            self._context.gateway.resume_answer(self._requests.first.pending.call.id)
