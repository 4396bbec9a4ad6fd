"""The requests of one caller's connection that are not answered yet."""

from __future__ import annotations

import time
from collections import deque
from itertools import dropwhile, islice
from typing import TYPE_CHECKING

from dotterelgate_core.codes import Refusal
from dotterelgate_core.pipelining import (
    MAX_HELD_BYTES,
    MAX_PIPELINED_REQUESTS,
    PipelinedRequest,
    find_startable,
)

if TYPE_CHECKING:
    from dotterelgate_daemon.connection_context import ConnectionContext
    from dotterelgate_daemon.incoming_requests import IncomingRequest

__all__ = ["RequestQueue"]


class RequestQueue:
    """The requests of one connection that are not answered yet, in the order of their arrival.

    ``arriving`` is the newest one while its body is incomplete.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._requests: deque[IncomingRequest] = deque()
        self.arriving: IncomingRequest | None = None

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def first(self) -> IncomingRequest:
        """The request whose response is sent next."""
        return self._requests[0]

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the requests and their responses take."""
        return sum(each.held_bytes for each in self._requests)

    @property
    def response_bytes(self) -> int:
        """Bytes of responses that wait for their turn."""
        return sum(each.response.held_bytes for each in self._requests)

    @property
    def may_hold(self) -> bool:
        """Whether further bytes of responses may wait for their turn."""
        return self.response_bytes <= MAX_HELD_BYTES

    def add(self, request: IncomingRequest) -> None:
        """Append a request whose head has arrived."""
        self._requests.append(request)

    def pop_first(self) -> IncomingRequest:
        """Remove the first request, which was answered."""
        return self._requests.popleft()

    def pop_all(self) -> list[IncomingRequest]:
        """Remove all requests."""
        requests, self._requests = self._requests, deque()
        return list(requests)

    def drop_arriving(self) -> None:
        """Forget the request that is arriving, which was not passed on."""
        arriving = self.arriving
        if arriving is not None and arriving in self._requests:
            self._requests.remove(arriving)
            arriving.body.discard()
            arriving.response.free()

    def has_started(self) -> bool:
        """Return whether a request was passed on."""
        return any(each.is_started for each in self._requests)

    def has_started_behind(self, request: IncomingRequest) -> bool:
        """Return whether a request behind another one was passed on."""
        behind = dropwhile(lambda each: each is not request, self._requests)
        return any(each.is_started for each in behind if each is not request)

    def is_ready(self, request: IncomingRequest) -> bool:
        """Return whether enough of a request's body has arrived to start it alone."""
        return request.body.is_complete or request.body.held_bytes > self._context.body_limit

    def note_ready(self, request: IncomingRequest) -> None:
        """Note from when on a request only waits for its turn."""
        if request.ready_at is None:
            request.ready_at = time.monotonic()

    def find_startable(self) -> IncomingRequest | None:
        """Find the request that may start now, ``None`` for none."""
        ahead = list(islice(self._requests, MAX_PIPELINED_REQUESTS))
        described = [self._describe(each, is_first=each is ahead[0]) for each in ahead]
        index = find_startable(described, held_bytes=self.response_bytes)
        return None if index is None else ahead[index]

    def is_full(self) -> bool:
        """Return whether reading should pause."""
        if len(self._requests) >= MAX_PIPELINED_REQUESTS:
            return True
        arriving = self.arriving
        if arriving is not None and arriving.pending is not None:
            return self._context.gateway.is_body_full(arriving.pending)
        unstarted = (each.body.held_bytes for each in self._requests if not each.is_started)
        return sum(unstarted) > self._context.body_limit

    def _describe(self, request: IncomingRequest, *, is_first: bool) -> PipelinedRequest:
        is_ready = self.is_ready(request) if is_first else request.body.is_complete
        if request.call is None and is_ready:
            request.call = request.build_call(
                gateway=self._context.gateway, body_limit=self._context.body_limit
            )
            if not isinstance(request.call, Refusal):
                request.traits = self._context.find_traits(request.call)
        return PipelinedRequest(
            is_ready=is_ready,
            is_whole=request.body.is_complete,
            is_idempotent=request.traits.is_idempotent or isinstance(request.call, Refusal),
            is_started=request.is_started,
            closes=request.response.closes,
            may_be_cut=request.may_be_cut,
        )
