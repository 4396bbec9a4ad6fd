"""Requests of callers that are not answered yet."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from dotterelgate_core.codes import Refusal
from dotterelgate_core.messages import Call
from dotterelgate_core.pipelining import RequestTraits
from dotterelgate_daemon.codec import find_header
from dotterelgate_daemon.identities import compute_fingerprint, compute_identity
from dotterelgate_daemon.intake.holdings import measure_call
from dotterelgate_daemon.request_bodies import RequestBody
from dotterelgate_daemon.targets import read_path

if TYPE_CHECKING:
    from dotterelgate_daemon.caller_responses import CallerResponse
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.pending_calls import PendingCall
    from dotterelgate_daemon.request_reader import RequestHead

__all__ = ["IncomingRequest"]


@dataclass(kw_only=True)
class IncomingRequest:
    """A request that isn't answered yet, and may still be arriving.

    :param ready_at: monotonic second at which it could have started alone
    :param is_continued: whether its caller was told to send the body
    """

    head: RequestHead
    response: CallerResponse
    body: RequestBody = field(default_factory=RequestBody)
    ready_at: float | None = None
    unread_wait: float = 0.0
    call: Call | Refusal | None = None
    pending: PendingCall | None = None
    is_started: bool = False
    traits: RequestTraits = field(default_factory=RequestTraits)
    is_continued: bool = False

    @property
    def may_be_cut(self) -> bool:
        """Whether its answer is, or will be, relayed before it is complete."""
        if self.pending is None or self.response.has_ended:
            return False
        return self.traits.is_bulk or self.pending.relay_started

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that it takes, with its response."""
        held = self.head.cost + self.body.held_bytes + self.response.held_bytes
        return held + measure_call(self.pending)

    def build_call(self, *, gateway: Gateway, body_limit: int) -> Call | Refusal:
        """Build the call; a body that is not complete will be streamed.

        :param body_limit: bytes of a body that are buffered
        :returns: a refusal when its headers are not valid
        """
        head = self.head
        terms = gateway.dialect.read_request(head.headers)
        if isinstance(terms, Refusal):
            return terms
        body = self.body.read_from(0)
        host = (find_header(head.headers, b"host") or b"").decode("latin-1")
        return Call(
            id=gateway.allocate_id(),
            method=head.method,
            host=host.rsplit(":", 1)[0].lower(),
            path=read_path(head.target),
            key=terms.key,
            fingerprint=compute_fingerprint(head, body) if terms.key is not None else 0,
            timeout=terms.timeout,
            streamed=not self.body.is_complete,
            retried=terms.retried,
            unread_wait=self.unread_wait,
            request_id=terms.request_id,
            identity=compute_identity(head, body, body_limit, terms.credential),
            credential=terms.credential,
        )

    def reduce_timeout(self, call: Call, now: float) -> Call:
        """Subtract the time for which it waited behind others from the caller's limit."""
        if call.timeout is None or self.ready_at is None:
            return call
        return replace(call, timeout=max(0.0, call.timeout - (now - self.ready_at)))

    def list_headers(self, host: bytes) -> HeaderList:
        """List its headers as they are passed on.

        :param host: address of the caller
        """
        return [*self.head.headers, (b"x-forwarded-for", host), (b"via", b"1.1 dotterelgate")]
