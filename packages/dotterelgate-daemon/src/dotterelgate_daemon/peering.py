"""Calls forwarded to peers and received from them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_border.handover import AnswerPart, HandedCall, Ping, Pong, Withdrawal
from dotterelgate_core import codes
from dotterelgate_core.codes import Outcome, Refusal
from dotterelgate_core.messages import Call, Purpose
from dotterelgate_daemon.codec import find_header
from dotterelgate_daemon.pending_calls import PendingCall
from dotterelgate_daemon.replies import AnswerStart, Reply, StoredAnswer
from dotterelgate_daemon.request_bodies import RequestBody
from dotterelgate_daemon.targets import read_path

if TYPE_CHECKING:
    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_core.messages import Forward
    from dotterelgate_core.peers import Peer, PeerTable
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.links import LinkService

__all__ = ["Peering"]

PING_AFTER_SECONDS = 0.2
SILENT_AFTER_SECONDS = 0.6
TICK_GAP_SECONDS = 0.3


class Peering:
    """Forwards calls to peers, sends answers back and detects silent peers.

    :param clock_error: seconds by which wall clocks of two VMs may differ
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        gateway: Gateway,
        links: LinkService,
        peers: PeerTable,
        clock_error: float,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._gateway = gateway
        self._links = links
        self._peers = peers
        self._clock_error = clock_error
        self._received_calls: dict[tuple[str, int], int] = {}
        self._ticked_at = time.monotonic()
        gateway.send_call = self.send_call
        gateway.withdraw = self.withdraw

    def send_call(self, order: Forward, pending: PendingCall) -> None:
        """Send a call to a peer."""
        call = pending.call
        message = HandedCall(
            sender=self._name,
            incarnation=self._incarnation,
            target=order.peer,
            call_id=call.id,
            purpose=order.purpose.value,
            timeout=max(0.0, order.deadline - time.monotonic()),
            expires=order.expires,
            fence=order.fence if order.fence is not None else call.fence,
            retried=call.retried,
            method=call.method,
            path=pending.target,
            headers=pending.headers,
            body=pending.body.read_from(0),
            key=call.key,
            fingerprint=call.fingerprint,
        )
        peer = self._peers.listed.get(order.peer)
        if peer is None or not self._links.send(order.peer, message, call_id=call.id):
            self._gateway.fail_peer(call.id, order.peer, sent=False)
            return
        peer.pending_calls.add(call.id)
        if peer.pinged_at is None and len(peer.pending_calls) == 1:
            peer.seen_at = time.monotonic()

    def withdraw(self, call_id: int, peer_name: str) -> None:
        """Notify a peer that nobody waits for a call any more."""
        peer = self._peers.listed.get(peer_name)
        if peer is not None:
            peer.pending_calls.discard(call_id)
        message = Withdrawal(sender=self._name, incarnation=self._incarnation, call_id=call_id)
        self._links.send(peer_name, message, call_id=call_id)

    def receive(self, message: PeerMessage) -> bool:
        """Handle a peer's message if it is about calls.

        :returns: whether it was one
        """
        self._peers.note_heartbeat(message.sender, message.incarnation, time.monotonic())
        if isinstance(message, HandedCall):
            self._receive_call(message)
        elif isinstance(message, AnswerPart):
            self._receive_part(message)
        elif isinstance(message, Withdrawal):
            self._receive_withdrawal(message)
        elif isinstance(message, Ping):
            pong = Pong(sender=self._name, incarnation=self._incarnation)
            self._links.send(message.sender, pong)
        else:
            return isinstance(message, Pong)
        return True

    def tick(self) -> None:
        """Ping silent peers, and fail the calls at those that do not answer."""
        now = time.monotonic()
        gap, self._ticked_at = now - self._ticked_at, now
        self._links.flush()
        for peer in list(self._peers.listed.values()):
            if gap > TICK_GAP_SECONDS and not peer.is_suspected:
                # This process was paused; the peer may have sent messages meanwhile.
                peer.seen_at = now
                peer.pinged_at = None
            elif peer.is_suspected:
                self._ping_again(peer, now)
            elif not peer.pending_calls:
                peer.pinged_at = None
            elif peer.pinged_at is not None:
                if now - peer.pinged_at > SILENT_AFTER_SECONDS:
                    self._suspect(peer.name)
            elif now - peer.seen_at > PING_AFTER_SECONDS:
                self._ping(peer, now)

    def _ping(self, peer: Peer, now: float) -> None:
        peer.pinged_at = now
        if not self._links.is_full(peer.name):
            ping = Ping(sender=self._name, incarnation=self._incarnation)
            self._links.send(peer.name, ping)

    def _ping_again(self, peer: Peer, now: float) -> None:
        if peer.pinged_at is None or now - peer.pinged_at > SILENT_AFTER_SECONDS:
            self._ping(peer, now)

    def _suspect(self, peer_name: str) -> None:
        peer = self._peers.listed[peer_name]
        unsent = self._links.drop_unsent(peer_name)
        waiting, peer.pending_calls = peer.pending_calls, set()
        self._peers.suspect(peer_name)
        for call_id in waiting:
            self._gateway.fail_peer(call_id, peer_name, sent=call_id not in unsent)

    def _receive_call(self, message: HandedCall) -> None:
        is_expired = time.time() > message.expires + self._clock_error
        if message.target != self._name or is_expired:
            return
        call_id = self._gateway.allocate_id()
        host = (find_header(message.headers, b"host") or b"").decode("latin-1")
        call = Call(
            id=call_id,
            method=message.method,
            host=host.rsplit(":", 1)[0].lower(),
            path=read_path(message.path),
            key=message.key,
            fingerprint=message.fingerprint,
            timeout=message.timeout,
            retried=message.retried,
            purpose=Purpose(message.purpose),
            holder=message.sender if message.fence is not None else None,
            fence=message.fence,
        )
        pending = PendingCall(
            call=call,
            target=message.path,
            headers=message.headers,
            body=RequestBody(message.body, is_complete=True),
            length=len(message.body),
            reply=self._make_reply(message),
            arrived=time.monotonic(),
        )
        self._received_calls[message.sender, message.call_id] = call_id
        self._gateway.admit(pending)

    def _make_reply(self, handed: HandedCall) -> Reply:
        part_number = 0

        def send(*, last: bool, **fields) -> None:  # type: ignore[no-untyped-def]
            nonlocal part_number
            message = AnswerPart(
                sender=self._name,
                incarnation=self._incarnation,
                call_id=handed.call_id,
                part=part_number,
                last=last,
                **fields,
            )
            part_number += 1
            if last:
                self._received_calls.pop((handed.sender, handed.call_id), None)
            self._links.send(handed.sender, message, call_id=handed.call_id)

        def send_complete(answer: StoredAnswer) -> None:
            send(
                last=True,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                server=answer.server,
                length=answer.length,
            )

        def begin(answer: AnswerStart) -> None:
            send(
                last=False,
                status=answer.status,
                headers=answer.headers,
                server=answer.server,
                length=answer.length,
            )

        def refuse(refusal: Refusal) -> None:
            attempt_only = refusal.outcome is Outcome.ATTEMPT_NOT_RUN
            send(
                last=True,
                code=refusal.code.number,
                reason=refusal.reason,
                attempt_only=attempt_only,
            )

        return Reply(
            send_complete=send_complete,
            begin=begin,
            part=lambda part: send(last=False, body=part),
            end=lambda: send(last=True),
            cut=lambda: send(last=True, cut=True),
            refuse=refuse,
            is_full=lambda: self._links.is_full(handed.sender),
        )

    def _receive_part(self, message: AnswerPart) -> None:
        pending = self._gateway.pending.get(message.call_id)
        if pending is None or pending.peer != message.sender:
            return
        if message.part != pending.next_part or message.cut:
            self._stop_waiting(message)
            self._gateway.fail_peer(message.call_id, message.sender, sent=True)
            return
        pending.next_part += 1
        if message.last:
            self._stop_waiting(message)
        if message.code:
            self._gateway.finish_peer_refusal(pending, message.sender, _read_refusal(message))
        elif message.part == 0 and message.last:
            self._gateway.finish_peer_answer(pending, message.sender, _read_complete(message))
        else:
            self._relay_part(pending, message)

    def _relay_part(self, pending: PendingCall, message: AnswerPart) -> None:
        if message.part == 0:
            pending.relay_started = True
            pending.reply.begin(_read_start(message))
            return
        if message.body:
            pending.reply.part(message.body)
        if message.last:
            self._gateway.finish_peer_answer(pending, message.sender, None)

    def _stop_waiting(self, message: AnswerPart) -> None:
        peer = self._peers.listed.get(message.sender)
        if peer is not None:
            peer.pending_calls.discard(message.call_id)

    def _receive_withdrawal(self, message: Withdrawal) -> None:
        call_id = self._received_calls.pop((message.sender, message.call_id), None)
        if call_id is not None:
            self._gateway.note_disconnect(call_id)


def _read_refusal(message: AnswerPart) -> Refusal:
    code = codes.CODES_BY_NUMBER.get(message.code, codes.PEER_LOST)
    outcome = Outcome.ATTEMPT_NOT_RUN if message.attempt_only else None
    return Refusal(code, message.reason, outcome)


def _read_complete(message: AnswerPart) -> StoredAnswer:
    return StoredAnswer(
        status=message.status,
        headers=message.headers,
        body=message.body,
        server=message.server,
        length=message.length,
    )


def _read_start(message: AnswerPart) -> AnswerStart:
    return AnswerStart(
        status=message.status,
        headers=message.headers,
        length=message.length,
        server=message.server,
    )
