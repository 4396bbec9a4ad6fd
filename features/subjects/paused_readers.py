"""Subject: a stream whose remote side reads nothing for a while, on real sockets."""

from __future__ import annotations

import select
import socket
import time

from dotterelgate_daemon.streams import StreamService

WINDOW_BYTES = 32_768
SEGMENT_BYTES = 1460
RUN_SECONDS = 20.0


class _Poller:
    """The part of the daemon's poller that streams use, without a loop of its own."""

    def __init__(self):
        self.watches, self.readers, self.writers = {}, set(), set()

    def watch(self, source, fd, watch, *, writes=False):
        self.watches[fd] = watch
        self.readers.add(fd)
        if writes:
            self.writers.add(fd)

    def discard(self, fd):
        self.watches.pop(fd, None)
        self.readers.discard(fd)
        self.writers.discard(fd)

    def addReader(self, source, fd):
        self.readers.add(fd)

    def removeReader(self, fd):
        self.readers.discard(fd)

    def addWriter(self, source, fd):
        self.writers.add(fd)

    def removeWriter(self, fd):
        self.writers.discard(fd)

    def isWriting(self, fd):
        return fd in self.writers

    def run_once(self):
        """Wait for a moment, and call what is ready."""
        readable, writable, _ = select.select(list(self.readers), list(self.writers), [], 0.02)
        for fd in readable:
            if fd in self.watches:
                self.watches[fd].read()
        for fd in writable:
            if fd in self.watches:
                self.watches[fd].write()


class PausedReader:
    """A stream, and the remote side that reads from it.

    :param kind: ``accepted``, as of callers, or ``opened``, as to backend servers
    """

    def __init__(self, kind):
        self.poller = _Poller()
        self.service = StreamService(poller=self.poller)
        self.lost = []
        self.received = 0
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = listener.getsockname()
        if kind == "opened":
            self.stream = self.service.open(
                address="{}:{}".format(*address), ready=lambda: None, **self._list_callbacks()
            )
            self.remote, _ = listener.accept()
        else:
            self.remote = socket.socket()
            self.remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            # Segments as on Ethernet; those of loopback are larger than the window.
            self.remote.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            self.remote.connect(address)
            sock, _ = listener.accept()
            self.stream = self.service.adopt(sock=sock, **self._list_callbacks())
        listener.close()
        self.poller.run_once()

    def _list_callbacks(self):
        return {"receive": lambda data: None, "lost": lambda: self.lost.append(True)}

    def read_unacknowledged_limit(self):
        """Return the milliseconds for which sent bytes may stay unacknowledged."""
        return self.stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    def write(self, size):
        """Write bytes to the stream."""
        self.stream.write(bytes(size))

    def read_after(self, seconds, size):
        """Read nothing for some seconds, then all there is."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.poller.run_once()
        self.remote.setblocking(False)
        until = time.monotonic() + RUN_SECONDS
        while self.received < size and not self.lost and time.monotonic() < until:
            self.poller.run_once()
            try:
                self.received += len(self.remote.recv(size))
            except BlockingIOError:
                continue
            except ConnectionResetError:
                return

    def close(self):
        """Close both sides."""
        self.stream.close()
        self.remote.close()
