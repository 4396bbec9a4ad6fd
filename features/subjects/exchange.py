"""Subject: one exchange with a backend server on a fake connection."""

from __future__ import annotations

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.exchanges import Exchange
from dotterelgate_daemon.pools import PoolTable
from dotterelgate_daemon.request_bodies import RequestBody

HEAD = b"POST /orders/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
BODY = b"body"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class FakeStream:
    """A stream whose kernel buffer accepts only some bytes."""

    def __init__(self, accepted_bytes):
        self.accepted_bytes = accepted_bytes
        self.sent_bytes = 1000

    def settle(self):
        """Note that the remote side has read everything."""

    def write(self, data):
        """Accept as many bytes as the kernel would."""
        self.sent_bytes += min(self.accepted_bytes, len(data))


class ExchangeSubject:
    """An exchange that loses its connection after some bytes."""

    def end_after(self, accepted_bytes: int) -> bool:
        """Lose the connection and return whether the request is reported as sent."""
        ends = []
        exchange = Exchange(
            method="POST",
            head=HEAD,
            body=RequestBody(BODY, is_complete=True),
            begin=lambda head: None,
            part=lambda part: None,
            completed=lambda: None,
            failed=ends.append,
        )
        exchange.start(FakeStream(accepted_bytes))
        exchange.fail(Refusal(codes.ANSWER_LOST, "lost"))
        return ends[0].sent


class FakeStreams:
    """Opens streams that accept everything and stores their callbacks."""

    def __init__(self):
        self.opened = []

    def open(self, *, address, ready, receive, lost):
        """Open a stream; ``establish`` completes it."""
        stream = OpenStream(receive=receive, lost=lost)
        self.opened.append((stream, ready))
        return stream

    def establish(self):
        """Establish the opened streams."""
        opened, self.opened = self.opened, []
        for _, ready in opened:
            ready()
        return [stream for stream, _ in opened]


class OpenStream(FakeStream):
    """A stream that accepts everything."""

    def __init__(self, *, receive, lost):
        super().__init__(accepted_bytes=1_000_000)
        self.receive = receive
        self.lost = lost
        self.is_open = True
        self.is_full = False
        self.is_paused = False
        self.held_bytes = 0
        self.received_eof = False
        self.was_refused = False
        self.drained = None

    def close(self):
        """Close the stream."""
        self.is_open = False

    def resume(self):
        """Read again; nothing was paused."""

    def reset(self):
        """Reset the stream, as the other side would."""
        self.is_open = False
        self.lost()


class PoolSubject:
    """A pool whose two connections have been idle for a while."""

    def __init__(self, *, idle):
        self.streams = FakeStreams()
        self.pool = PoolTable(streams=self.streams).find("10.0.0.1:80", limit=10)
        self.ends = []
        for _ in range(2):
            self.send_request()
        for stream in self.streams.establish():
            stream.receive(ANSWER)
        for connection in self.pool.idle:
            connection.idle_since -= idle

    def send_request(self):
        """Send a request; returns whether it opened a new connection."""
        exchange = Exchange(
            method="GET",
            head=b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
            begin=lambda head: setattr(exchange, "idle_seconds", 10.0),
            part=lambda part: None,
            completed=lambda: None,
            failed=self.ends.append,
        )
        before = len(self.streams.opened)
        self.pool.run(exchange, fresh=False)
        self.exchange = exchange
        return len(self.streams.opened) > before
