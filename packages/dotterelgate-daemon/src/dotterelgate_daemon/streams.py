"""TCP streams on the loop's poller, accepted or opened."""

from __future__ import annotations

import errno
import fcntl
import socket
import termios
from array import array
from collections import deque
from typing import TYPE_CHECKING

import structlog

from dotterelgate_daemon.polling import Watch
from dotterelgate_daemon.socket_options import bind_to, set_options, set_unacknowledged_limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.polling import DirectPoller

__all__ = ["Stream", "StreamService"]

logger = structlog.get_logger("streams")

READ_BYTES = 65_536
HIGH_WATER_BYTES = 262_144
BACKLOG = 1024
ACCEPTS_PER_EVENT = 64
# What a buffered write costs beside its bytes.
WRITE_OVERHEAD_BYTES = 64
# Every receive window takes this much, so that a remote side which acknowledges less is lost.
WINDOW_BYTES = 16_384


class Stream:
    """One TCP connection.

    :param receive: called with bytes as they arrive
    :param lost: called once when the remote side or the network ended the connection
    :param ready: called once when an opened connection is established

    ``closed`` is called once when the connection ends, for whatever reason. ``decide_reading``
    returns how many bytes are read now; at 0, reading stops until ``resume``.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        service: StreamService,
        receive: Callable[[bytes], None],
        lost: Callable[[], None],
        ready: Callable[[], None] | None = None,
    ) -> None:
        self.sock = sock
        self.receive = receive
        self.lost = lost
        self.ready = ready
        self.drained: Callable[[], None] | None = None
        self.closed: Callable[[], None] = _ignore
        self.decide_reading: Callable[[], int] = lambda: READ_BYTES
        self.is_open = True
        self.received_eof = False
        self.was_refused = False
        self.sent_bytes = 0
        self._service = service
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._when_sent: Callable[[], None] | None = None
        self._paused = False
        self._settled_bytes = 0
        self._may_pause = False

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that writes take which the kernel has not accepted."""
        return self._pending_bytes + len(self._pending) * WRITE_OVERHEAD_BYTES

    @property
    def is_full(self) -> bool:
        """Whether writers should wait for ``drained``."""
        return self.held_bytes > HIGH_WATER_BYTES

    @property
    def is_paused(self) -> bool:
        """Whether reading has stopped."""
        return self._paused

    def measure_acknowledged(self) -> int:
        """Measure the bytes that the remote side has acknowledged."""
        return self.sent_bytes - self._count_unacknowledged()

    @property
    def is_sending(self) -> bool:
        """Whether the remote side has not acknowledged everything written."""
        if not self.is_open or self._pending:
            return self.is_open
        return self._count_unacknowledged() > 0

    def _count_unacknowledged(self) -> int:
        """Count the bytes that the kernel still has to send, 0 where it cannot tell."""
        if not self.is_open:
            return 0
        count = array("i", [0])
        try:
            # SIOCOUTQ has the same number.
            fcntl.ioctl(self.sock, termios.TIOCOUTQ, count)
        except OSError as error:
            self._service.note_uncounted(error)
            return 0
        return count[0]

    def write(self, data: bytes) -> None:
        """Send what the kernel accepts now, and buffer the rest."""
        if not self.is_open:
            return
        if not self._pending and self.ready is None:
            data = self._send(data)
        self._expect_pauses()
        if data and self.is_open:
            self._pending.append(data)
            self._pending_bytes += len(data)
            self._service.watch_writes(self)

    def settle(self) -> None:
        """Note that the remote side has read everything that was sent."""
        self._settled_bytes = self.sent_bytes
        if self._may_pause and self.is_open:
            self._may_pause = False
            set_unacknowledged_limit(self.sock, may_pause=False)

    def _expect_pauses(self) -> None:
        """Give the remote side time to read once it may have closed its window."""
        sent = self.sent_bytes - self._settled_bytes
        if self.is_open and not self._may_pause and sent > WINDOW_BYTES:
            self._may_pause = True
            set_unacknowledged_limit(self.sock, may_pause=True)

    def close(self) -> None:
        """Close at once; bytes not sent yet are dropped."""
        if self.is_open:
            self.is_open = False
            self._service.drop(self)
            self._pending.clear()
            self._pending_bytes = 0
            self.closed()

    def close_when_sent(self) -> None:
        """Close after everything written has been sent."""
        self.call_when_sent(self.close)

    def call_when_sent(self, call: Callable[[], None]) -> None:
        """Call a function once the kernel has accepted everything written."""
        if self._pending:
            self._when_sent = call
        else:
            call()

    def end_sending(self) -> None:
        """Tell the remote side that nothing more is sent; bytes are still received."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.end()

    def pause(self) -> None:
        """Stop reading."""
        if self.is_open and not self._paused:
            self._paused = True
            self._service.stop_reading(self)

    def resume(self) -> None:
        """Read again."""
        if self.is_open and self._paused:
            self._paused = False
            self._service.start_reading(self)

    def flush(self) -> None:
        """Send buffered bytes; called when the socket is writable."""
        if self.ready is not None and not self._establish():
            return
        while self._pending and self.is_open:
            data = self._pending.popleft()
            self._pending_bytes -= len(data)
            rest = self._send(data)
            if rest:
                self._pending.appendleft(rest)
                self._pending_bytes += len(rest)
                return
        if not self.is_open:
            return
        self._service.unwatch_writes(self)
        if self._when_sent is not None:
            call, self._when_sent = self._when_sent, None
            call()
        elif self.drained is not None:
            self.drained()

    def read(self) -> None:
        """Read once and call ``receive``; called when the socket is readable."""
        if not self.is_open or self._paused:
            return
        size = self.decide_reading()
        if not size:
            self.pause()
            return
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return
        except OSError as error:
            self._note_error(error.errno)
            self.end()
            return
        if data:
            self.receive(data)
        else:
            self.received_eof = True
            self.end()

    def end(self) -> None:
        """Close because the remote side or the network ended the connection."""
        if self.is_open:
            if self.ready is not None:
                self._note_error(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
            self.close()
            self.lost()

    def _note_error(self, number: int | None) -> None:
        self.was_refused = self.was_refused or number == errno.ECONNREFUSED

    def _establish(self) -> bool:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._note_error(error)
            self.end()
            return False
        ready, self.ready = self.ready, None
        if ready is not None:
            ready()
        return self.is_open

    def _send(self, data: bytes) -> bytes:
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return data
        except OSError:
            self.end()
            return b""
        self.sent_bytes += sent
        return data[sent:]


class StreamService:
    """All TCP streams of the daemon."""

    channel = "streams"

    def __init__(self, *, poller: DirectPoller) -> None:
        self._poller = poller
        self._listeners: dict[socket.socket, Callable[[socket.socket], None]] = {}
        self._room_checks: dict[socket.socket, Callable[[], bool]] = {}
        self._paused_listeners: set[socket.socket] = set()
        self._is_uncounted_logged = False

    def note_uncounted(self, error: OSError) -> None:
        """Log once that the kernel does not tell what it still has to send."""
        if not self._is_uncounted_logged:
            self._is_uncounted_logged = True
            logger.warning("streams: unsent bytes cannot be counted", error=str(error))

    def listen(self, *, address: str, accept: Callable[[socket.socket], None]) -> socket.socket:
        """Listen on ``IP:port`` and call ``accept`` with each new connection.

        :raises OSError: when the address cannot be bound
        """
        sock = self.bind(address)
        self.start_accepting(sock, accept)
        return sock

    @staticmethod
    def bind(address: str) -> socket.socket:
        """Listen on ``IP:port``; connections wait in the kernel until they are accepted.

        :raises OSError: when the address cannot be bound
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bind_to(sock, address)
        sock.listen(BACKLOG)
        sock.setblocking(False)
        return sock

    def start_accepting(
        self,
        sock: socket.socket,
        accept: Callable[[socket.socket], None],
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``accept`` with each connection to a listening socket.

        :param has_room: returns whether a further connection is accepted; while it is not,
            connections wait in the kernel until ``resume_accepting``
        """
        self._listeners[sock] = accept
        self._room_checks[sock] = has_room
        watch = Watch(read=lambda: self._accept(sock), write=_ignore, lost=_ignore)
        self._poller.watch(self, sock, watch)

    def stop_listening(self, sock: socket.socket) -> None:
        """Accept the connections that wait, then close the listener; accepted ones stay open."""
        if sock in self._listeners:
            self._accept(sock)
        if self._listeners.pop(sock, None) is not None:
            self._poller.discard(sock)
            self._paused_listeners.discard(sock)
            del self._room_checks[sock]
            sock.close()

    def has_paused_accepting(self, sock: socket.socket) -> bool:
        """Return whether connections to a listening socket wait in the kernel."""
        return sock in self._paused_listeners

    def resume_accepting(self, sock: socket.socket) -> None:
        """Accept connections again."""
        if sock in self._paused_listeners:
            self._paused_listeners.discard(sock)
            self._poller.addReader(self, sock)

    def adopt(
        self,
        *,
        sock: socket.socket,
        receive: Callable[[bytes], None],
        lost: Callable[[], None],
    ) -> Stream:
        """Make a stream of an accepted connection."""
        sock.setblocking(False)
        set_options(sock)
        stream = Stream(sock=sock, service=self, receive=receive, lost=lost)
        self._watch(stream, writes=False, detects_close=True)
        return stream

    def open(
        self,
        *,
        address: str,
        ready: Callable[[], None],
        receive: Callable[[bytes], None],
        lost: Callable[[], None],
    ) -> Stream | int:
        """Open a connection to ``IP:port``.

        :returns: the number of the error when it failed at once
        """
        host, port = address.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        set_options(sock)
        error = sock.connect_ex((host, int(port)))
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            return error
        stream = Stream(sock=sock, service=self, receive=receive, lost=lost, ready=ready)
        self._watch(stream, writes=True)
        return stream

    def drop(self, stream: Stream) -> None:
        """Unregister a stream and close its socket."""
        self._poller.discard(stream.sock)
        stream.sock.close()

    def watch_writes(self, stream: Stream) -> None:
        """Call ``flush`` when the socket is writable."""
        if not self._poller.isWriting(stream.sock):
            self._poller.addWriter(self, stream.sock)

    def unwatch_writes(self, stream: Stream) -> None:
        """Stop calling ``flush``."""
        if self._poller.isWriting(stream.sock):
            self._poller.removeWriter(stream.sock)

    def stop_reading(self, stream: Stream) -> None:
        """Leave arriving bytes in the kernel's buffer."""
        self._poller.removeReader(stream.sock)

    def start_reading(self, stream: Stream) -> None:
        """Read arriving bytes again."""
        self._poller.addReader(self, stream.sock)

    def _watch(self, stream: Stream, *, writes: bool, detects_close: bool = False) -> None:
        watch = Watch(
            read=stream.read, write=stream.flush, lost=stream.end, detects_close=detects_close
        )
        self._poller.watch(self, stream.sock, watch, writes=writes)

    def _accept(self, listener: socket.socket) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            if not self._room_checks[listener]():
                self._pause_accepting(listener)
                return
            try:
                sock, _address = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("streams: a connection could not be accepted", error=str(error))
                return
            self._listeners[listener](sock)

    def _pause_accepting(self, listener: socket.socket) -> None:
        if listener not in self._paused_listeners:
            self._paused_listeners.add(listener)
            self._poller.removeReader(listener)


def _ignore() -> None:
    pass
