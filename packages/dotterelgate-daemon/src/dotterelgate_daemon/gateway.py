"""Carries out the orders of the request pipeline on connections and peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import AnnounceLeaving
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt, RelayBegan, TickAt
from dotterelgate_daemon.codec import (
    encode_request_head,
    select_end_to_end,
)
from dotterelgate_daemon.dialect import DispatchTerms
from dotterelgate_daemon.exchanges import Exchange
from dotterelgate_daemon.replies import NULL_REPLY, StoredAnswer
from dotterelgate_daemon.server_attempts import ServerAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_core.messages import Dispatch
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.dialect import Dialect
    from dotterelgate_daemon.exchanges import ExchangeEnd
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.pending_calls import PendingCall
    from dotterelgate_daemon.pools import PoolTable

__all__ = ["Gateway"]

logger = structlog.get_logger("gateway")

MILLISECONDS = 1000


class Gateway:
    """Carries out the orders of the request pipeline.

    :param decide: the request pipeline
    :param dialect: how the system's own headers are read and written
    :param buffer_limit: bytes of an answer body that are buffered before relaying starts
    :param call_after: calls a function after a delay
    :param stored_body_limit: largest answer body, in bytes, that is stored for a key
    """

    def __init__(
        self,
        *,
        name: str,
        decide: Filter,
        dialect: Dialect,
        pools: PoolTable,
        metrics: Metrics,
        buffer_limit: int,
        stored_body_limit: int,
        first_call_id: int,
        count_daemons: Callable[[], int],
        on_decision: Callable[[messages.Decision, str], None],
        call_after: Callable[..., None],
    ) -> None:
        self.name = name
        self.pending: dict[int, PendingCall] = {}
        self.send_call: Callable[[messages.Forward, PendingCall], None] = lambda order, pending: (
            None
        )
        self.withdraw: Callable[[int, str], None] = lambda call_id, peer: None
        self.announce_leaving: Callable[[AnnounceLeaving], None] = lambda order: None
        self.dialect = dialect
        self.after_run: Callable[[], None] = lambda: None
        self.hasten_ticks: Callable[[], None] = lambda: None
        self._decide = decide
        self._pools = pools
        self._metrics = metrics
        self._buffer_limit = buffer_limit
        self._stored_body_limit = stored_body_limit
        self._next_id = first_call_id
        self._count_daemons = count_daemons
        self._on_decision = on_decision
        self._call_after = call_after
        self._sinks: dict[type, Callable[[Message], None]] = {
            messages.Dispatch: self._dispatch,
            messages.Forward: self._forward,
            messages.Cancel: self._cancel,
            messages.Relay: self._relay,
            messages.Replay: self._replay,
            messages.RefuseCall: self._refuse,
            messages.ReleaseCall: self._release,
            messages.Decision: self._write_decision,
            AnnounceLeaving: lambda order: self.announce_leaving(order),
            CountSecondAttempt: self._count_second_attempt,
            TickAt: self._tick_at,
        }

    def add_sinks(self, sinks: dict[type, Callable[[Message], None]]) -> None:
        """Register functions that carry out further kinds of orders."""
        self._sinks.update(sinks)

    def allocate_id(self) -> int:
        """Return the next call id; ids of earlier runs are not reused."""
        self._next_id += 1
        return self._next_id

    def admit(self, pending: PendingCall) -> None:
        """Submit a request to the pipeline."""
        self.pending[pending.call.id] = pending
        wall = time.time()
        self.run(messages.CallArrived(now=time.monotonic(), wall=wall, call=pending.call))

    def note_disconnect(self, call_id: int) -> None:
        """Note that the caller or peer no longer waits for the answer."""
        pending = self.pending.get(call_id)
        if pending is None:
            return
        pending.reply = NULL_REPLY
        is_body_complete = pending.body.is_complete
        self._release_body(pending)
        message = messages.CallerDisconnected(
            now=time.monotonic(), call_id=call_id, is_body_complete=is_body_complete
        )
        self.run(message)

    @staticmethod
    def _release_body(pending: PendingCall) -> None:
        """Release what no attempt needs of the body of a call whose caller has disconnected."""
        if not pending.body.is_complete or pending.has_sent_body:
            if pending.call.key is None:
                pending.body.discard()
        elif pending.call.key is None:
            pending.body.stream()

    def run(self, message: Message) -> None:
        """Run a message through the pipeline and carry out the orders.

        An order that can't be carried out is logged and doesn't keep the others from it.
        """
        for order in self._decide(message):
            sink = self._sinks.get(type(order))
            if sink is None:
                continue
            try:
                sink(order)
            except Exception:
                logger.exception(
                    "gateway: an order could not be carried out",
                    order=type(order).__name__,
                    call_id=getattr(order, "call_id", None),
                )
        self.after_run()
        self.hasten_ticks()

    def tick(self) -> None:
        """Let the pipeline act on time limits that have passed."""
        self.run(messages.Ticked(now=time.monotonic()))

    def _tick_at(self, order: TickAt) -> None:
        self._call_after(delay=max(0.0, order.at - time.monotonic()), call=self.tick)

    def _count_second_attempt(self, order: CountSecondAttempt) -> None:
        self._metrics.second_attempts.labels(result=order.result.value).inc()

    def is_body_full(self, pending: PendingCall) -> bool:
        """Return whether reading of the request body should pause."""
        if pending.stream is None:
            return pending.body.held_bytes > self._buffer_limit
        return pending.stream.is_full

    def _dispatch(self, order: Dispatch) -> None:
        pending = self.pending.get(order.call_id)
        if pending is None:
            return
        server = order.server
        attempt = pending.attempts[server.name] = ServerAttempt(
            server=server.name, is_idempotent=order.idempotent
        )
        attempt.exchange = exchange = Exchange(
            method=pending.call.method,
            head=self._encode_head(pending, order),
            body=pending.body,
            chunked=pending.length is None,
            begin=lambda head: attempt.begin_answer(head, self.dialect.control),
            part=lambda part: self._receive_part(pending, attempt, part),
            completed=lambda: self._finish_answer(pending, attempt),
            failed=lambda end: self._fail_answer(pending, attempt, end),
            drained=pending.resume_caller if pending.call.streamed else None,
            matches_request=lambda headers: self._matches_request(pending, attempt, headers),
            allows_close_delimited=self.dialect.allows_close_delimited,
            request_id=pending.call.request_id if self.dialect.answers_name_requests else "",
        )
        limit = max(server.slots, server.connections // max(1, self._count_daemons()))
        self._metrics.dispatches.labels(server=server.name).inc()
        pool = self._pools.find(server.address, limit=limit)
        pool.run(exchange, fresh=not order.idempotent)
        if order.fence is not None:
            self._schedule_timeout(exchange, order)

    def _schedule_timeout(self, exchange: Exchange, order: Dispatch) -> None:
        # A fenced call continues after its caller was answered; this limits its exchange.
        refusal = Refusal(codes.DEADLINE_EXCEEDED, f"{order.server.name} did not answer in time")
        delay = max(0.0, order.deadline - time.monotonic())
        self._call_after(delay=delay, call=lambda: exchange.fail(refusal))

    def _encode_head(self, pending: PendingCall, order: Dispatch) -> bytes:
        headers = select_end_to_end(pending.headers, self.dialect.control)
        attempt = max(2, order.attempt) if pending.call.retried else order.attempt
        terms = DispatchTerms(
            server=order.server,
            remaining=max(0.0, order.deadline - time.monotonic()),
            fence=order.fence,
            attempt=attempt,
            organisation=order.organisation,
        )
        headers.extend(self.dialect.write_dispatch(terms))
        if pending.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif pending.length or pending.call.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % pending.length))
        return encode_request_head(pending.call.method, pending.target, headers)

    def _matches_request(
        self, pending: PendingCall, attempt: ServerAttempt, headers: HeaderList
    ) -> bool:
        """Read an answer's headers and return whether it answers this request."""
        terms = self.dialect.read_answer(headers)
        if self.dialect.is_answer_to(terms, pending.call.request_id):
            attempt.terms = terms
            return True
        logger.warning(
            "gateway: an answer to another request was dropped",
            request=pending.call.request_id,
            answered=terms.request_id,
        )
        return False

    def _receive_part(self, pending: PendingCall, attempt: ServerAttempt, part: bytes) -> None:
        if pending.relay_started:
            pending.reply.part(part)
        else:
            attempt.body += part
            pending.note_held()
            if len(attempt.body) <= self._buffer_limit:
                return
            if attempt.may_be_replaced:
                _fail(attempt, codes.ANSWER_INVALID, "a refusal with a large body")
                return
            if not self._begin_relay(pending, attempt):
                return
        if pending.reply is NULL_REPLY:
            # Nobody reads the rest, which may have no end.
            _fail(attempt, codes.CALLER_GONE, "the caller left during its answer")
            return
        if pending.reply.is_full() and pending.stream is not None:
            pending.stream.pause()

    def _begin_relay(self, pending: PendingCall, attempt: ServerAttempt) -> bool:
        """Relay what has arrived of an answer.

        :returns: whether the attempt was not cancelled instead, in favour of another
        """
        assert attempt.start is not None
        began = RelayBegan(
            now=time.monotonic(),
            call_id=pending.call.id,
            server=attempt.server,
            status=attempt.status,
        )
        self.run(began)
        if pending.attempts.get(attempt.server) is not attempt:
            return False
        pending.relay_started = True
        pending.reply.begin(attempt.start)
        pending.reply.part(bytes(attempt.body))
        attempt.body.clear()
        return True

    def resume_answer(self, call_id: int) -> None:
        """Resume reading from the backend server after the reply was full."""
        pending = self.pending.get(call_id)
        if pending is not None and pending.stream is not None:
            pending.stream.resume()

    def _finish_answer(self, pending: PendingCall, attempt: ServerAttempt) -> None:
        assert attempt.terms is not None
        pending.attempts.pop(attempt.server, None)
        pending.status = attempt.status
        pending.complete_answer = None if pending.relay_started else attempt.build_answer()
        message = messages.ServerAnswered(
            now=time.monotonic(),
            wall=time.time(),
            call_id=pending.call.id,
            server=attempt.server,
            status=attempt.status,
            ran=not attempt.is_rejection,
            report=attempt.terms.report,
            stored_answer=self._select_storable(pending.complete_answer),
        )
        self.run(message)

    def _fail_answer(self, pending: PendingCall, attempt: ServerAttempt, end: ExchangeEnd) -> None:
        pending.attempts.pop(attempt.server, None)
        message = messages.DispatchFailed(
            now=time.monotonic(),
            call_id=pending.call.id,
            server=attempt.server,
            sent=end.sent,
            relay_started=pending.relay_started,
            refusal=end.refusal,
            refused=end.refused,
            is_body_whole=pending.body.is_whole,
        )
        self.run(message)

    def finish_peer_answer(
        self, pending: PendingCall, peer: str, complete_answer: StoredAnswer | None
    ) -> None:
        """Note that a peer's answer ended.

        :param complete_answer: the answer, or ``None`` when it was relayed in parts
        """
        pending.peer = None
        pending.complete_answer = complete_answer
        message = messages.PeerAnswered(
            now=time.monotonic(),
            call_id=pending.call.id,
            peer=peer,
            stored_answer=self._select_storable(complete_answer),
        )
        self.run(message)

    def finish_peer_refusal(self, pending: PendingCall, peer: str, refusal: Refusal) -> None:
        """Note that a peer refused a call that was forwarded to it."""
        pending.peer = None
        message = messages.PeerAnswered(
            now=time.monotonic(), call_id=pending.call.id, peer=peer, refusal=refusal
        )
        self.run(message)

    def fail_peer(self, call_id: int, peer: str, *, sent: bool) -> None:
        """Note that the peer that a call was forwarded to cannot be reached."""
        pending = self.pending.get(call_id)
        if pending is None or pending.peer != peer:
            return
        pending.peer = None
        message = messages.PeerFailed(
            now=time.monotonic(),
            call_id=call_id,
            peer=peer,
            sent=sent,
            relay_started=pending.relay_started,
        )
        self.run(message)

    def _forward(self, order: messages.Forward) -> None:
        pending = self.pending.get(order.call_id)
        if pending is None:
            return
        pending.next_part = 0
        pending.peer = order.peer
        self._metrics.handovers.labels(purpose=order.purpose.value).inc()
        self.send_call(order, pending)

    def _cancel(self, order: messages.Cancel) -> None:
        pending = self.pending.get(order.call_id)
        if pending is None:
            return
        attempt = pending.attempts.pop(order.server, None) if order.server is not None else None
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.abandon()
        if order.peer is not None and pending.peer is not None:
            self.withdraw(order.call_id, pending.peer)
            pending.peer = None

    def _relay(self, order: messages.Relay) -> None:
        pending = self._remove(order.call_id)
        if pending is None:
            return
        if pending.relay_started:
            pending.reply.end()
        elif pending.complete_answer is not None:
            pending.reply.send_complete(pending.complete_answer)
        else:
            logger.error("gateway: there is no answer to relay", call_id=order.call_id)
            pending.reply.cut()
        self._log_outcome(pending, f"answered by {order.source}", status=pending.status)
        self._count_answer(pending, codes.OK.name)

    def _replay(self, order: messages.Replay) -> None:
        pending = self._remove(order.call_id)
        if pending is None:
            return
        assert isinstance(order.stored_answer, StoredAnswer)
        pending.reply.send_complete(order.stored_answer)
        self._count_answer(pending, codes.OK.name)

    def _refuse(self, order: messages.RefuseCall) -> None:
        pending = self.pending.get(order.call_id)
        if pending is None:
            return
        reply, pending.reply = pending.reply, NULL_REPLY
        if not order.awaits_answer:
            self._remove(order.call_id)
        if pending.relay_started:
            reply.cut()
        else:
            reply.refuse(order.refusal)
        self._log_outcome(
            pending,
            f"refused with {order.refusal.code.name}: {order.refusal.reason}",
            status=order.refusal.code.status,
            outcome=order.refusal.outcome.value,
            retry_after=order.refusal.retry_after,
            **({"organisation": order.organisation} if order.organisation else {}),
        )
        self._count_answer(pending, order.refusal.code.name)

    def _release(self, order: messages.ReleaseCall) -> None:
        self._remove(order.call_id)

    def _remove(self, call_id: int) -> PendingCall | None:
        pending = self.pending.pop(call_id, None)
        if pending is not None:
            # Parts that still arrive are for nobody.
            pending.body.discard()
        return pending

    def _write_decision(self, decision: messages.Decision) -> None:
        pending = self.pending.get(decision.call_id) if decision.call_id is not None else None
        self._on_decision(decision, pending.call.request_id if pending is not None else "")

    def _log_outcome(self, pending: PendingCall, sentence: str, **facts: object) -> None:
        elapsed = round((time.monotonic() - pending.arrived) * MILLISECONDS, 1)
        decision = messages.Decision(
            part="gateway",
            sentence=sentence,
            call_id=pending.call.id,
            facts={
                "elapsed_ms": elapsed,
                "identity": messages.format_identity(pending.call.identity),
                **facts,
            },
        )
        self._on_decision(decision, pending.call.request_id)

    def _count_answer(self, pending: PendingCall, result: str) -> None:
        self._metrics.answers.labels(result=result).inc()
        self._metrics.latency.observe(time.monotonic() - pending.arrived)

    def _select_storable(self, complete_answer: StoredAnswer | None) -> StoredAnswer | None:
        if complete_answer is None or len(complete_answer.body) > self._stored_body_limit:
            return None
        return complete_answer


def _fail(attempt: ServerAttempt, code: ResultCode, reason: str) -> None:
    if attempt.exchange is not None:
        attempt.exchange.fail(Refusal(code, reason))
