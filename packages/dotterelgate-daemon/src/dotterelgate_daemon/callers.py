"""Accepts callers and keeps their connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_daemon.caller_connections import CallerConnection
from dotterelgate_daemon.connection_context import ConnectionContext

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from dotterelgate_core.configuration import CallerLimits
    from dotterelgate_core.messages import Call
    from dotterelgate_core.pipelining import RequestTraits
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.intake.supervision import IntakeLimits
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import PauseDetector

__all__ = ["CallerServer"]


class CallerServer:
    """Accepts callers and passes their requests to the gateway.

    :param head_limit: largest request head, in bytes
    :param body_limit: bytes of a request body that are buffered; larger bodies are streamed
    :param pause_detector: measures how long a request may have waited unread
    :param call_after: calls a function after a delay
    :param find_traits: returns what a call's route says of it
    :param limits: limits on what callers make the daemon hold
    :param find_caller_limits: returns the limits of the configuration in force
    :param metrics: counts callers that were refused or closed for a limit
    """

    def __init__(
        self,
        *,
        streams: StreamService,
        gateway: Gateway,
        head_limit: int,
        body_limit: int,
        pause_detector: PauseDetector,
        call_after: Callable[..., None],
        find_traits: Callable[[Call], RequestTraits],
        limits: IntakeLimits,
        find_caller_limits: Callable[[], CallerLimits | None],
        metrics: Metrics,
    ) -> None:
        self._streams = streams
        self._context = ConnectionContext(
            streams=streams,
            gateway=gateway,
            head_limit=head_limit,
            body_limit=body_limit,
            pause_detector=pause_detector,
            call_after=call_after,
            find_traits=find_traits,
            limits=limits,
            find_caller_limits=find_caller_limits,
            count_closed=lambda reason: metrics.callers_closed.labels(reason=reason).inc(),
            count_pause=lambda reason: metrics.caller_pauses.labels(reason=reason).inc(),
        )
        self.intake = self._context.intake
        self.intake.note_room = self._accept_again
        self._listener: socket.socket | None = None
        self._is_serving = False

    def count_active(self) -> int:
        """Count the connections that have, or may have, a request or a response on the way."""
        return sum(each.is_active for each in self._context.connections)

    def announce_stop(self) -> None:
        """Close connections after the answer in progress."""
        self._context.is_stopping = True

    def open(self, address: str) -> None:
        """Serve callers on ``IP:port``."""
        self.bind(address)
        self.start_serving()

    def bind(self, address: str) -> None:
        """Listen on ``IP:port``; connections wait until serving starts.

        :raises OSError: when the address cannot be bound
        """
        self._listener = self._streams.bind(address)

    def start_serving(self) -> None:
        """Start accepting connections."""
        if self._listener is not None and not self._is_serving:
            self._is_serving = True
            self._streams.start_accepting(self._listener, self._accept, self._has_room)

    def close(self) -> None:
        """Stop accepting connections and close idle ones."""
        self.start_serving()
        if self._listener is not None:
            self._streams.stop_listening(self._listener)
            self._listener = None
        for connection in list(self._context.connections):
            connection.close_if_idle()

    def end_connections(self) -> None:
        """Refuse the requests that are still arriving, and close the connections."""
        for connection in list(self._context.connections):
            connection.end()

    def close_idle(self, *, older_than: float) -> None:
        """Close connections idle since before a monotonic second."""
        for connection in list(self._context.connections):
            if connection.idle_since < older_than:
                connection.close_if_idle()

    def _accept_again(self) -> None:
        listener = self._listener
        if listener is None or not self._streams.has_paused_accepting(listener):
            return
        if self.intake.make_room():
            self._streams.resume_accepting(listener)

    def _has_room(self) -> bool:
        has_room = self.intake.make_room()
        if not has_room:
            self.intake.note_accepting_paused()
        return has_room

    def _accept(self, sock: socket.socket) -> None:
        self._context.connections.add(CallerConnection(context=self._context, sock=sock))
