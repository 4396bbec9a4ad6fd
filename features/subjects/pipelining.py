"""Subject: requests that callers send ahead on one connection."""

from __future__ import annotations

from dataclasses import replace

from dotterelgate_core.pipelining import PipelinedRequest, find_startable
from subjects.caller_connections import CallerConnections, encode_request

READ_BYTES = 65_536
PATHS = {"r": "/read/x", "w": "/write/x", "b": "/bulk/x"}


class PipelinedDecisions:
    """The decisions on one connection's requests, without a network."""

    def __init__(self, letters):
        self.requests = [
            PipelinedRequest(
                is_ready=True,
                is_whole=letter != "i",
                is_idempotent=letter.lower() != "w",
                is_started=letter.isupper(),
                closes=letter == "C",
                may_be_cut=letter == "B",
            )
            for letter in letters
        ]

    def list_startable(self, held):
        """List the places, from 1, of the requests that start before a response comes."""
        places = []
        while (index := find_startable(self.requests, held_bytes=held)) is not None:
            places.append(index + 1)
            self.requests[index] = replace(self.requests[index], is_started=True)
        return places


class PipelinedCaller:
    """A caller that sends requests ahead, and the servers that answer them."""

    def __init__(self, connections: CallerConnections):
        self.connections = connections
        self.stream = connections.connect()
        self.servers = {}
        self.unread = {}

    def send(self, letters, **headers):
        """Send requests at once; each path ends with its place, from 1."""
        heads = [
            encode_request(method="GET", path=f"{PATHS[letter]}{place}", **headers)
            for place, letter in enumerate(letters, 1)
        ]
        self.stream.receive(b"".join(heads))
        self.establish()

    def establish(self):
        """Establish the connections to servers, and note which has which request last."""
        self.connections.streams.establish()
        for stream in self.connections.streams.to_servers:
            path = bytes(stream.written).rpartition(b" HTTP/1.1\r\n")[0].rpartition(b" ")[2]
            self.servers[int(path[-1:])] = stream

    def answer(self, place, *, size=0, sent=None):
        """Let a server answer a request with its place and more bytes.

        :param sent: bytes of the body that are sent, all by default
        """
        body = b"%d" % place + bytes(size)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.unread[place] = head + body[:sent]
        self.read_on()

    def read_on(self):
        """Let the daemon read what servers have sent, unless it has paused their connections."""
        for place in list(self.unread):
            stream = self.servers[place]
            while self.unread[place] and not stream.is_paused:
                part, self.unread[place] = (
                    self.unread[place][:READ_BYTES],
                    self.unread[place][READ_BYTES:],
                )
                stream.receive(part)
            if not self.unread[place]:
                del self.unread[place]
        self.establish()

    def list_answered(self):
        """List the places of the requests in the order of their complete responses."""
        places = []
        rest = bytes(self.stream.written)
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            assert len(rest) >= length, (length, len(rest))
            places.append(int(rest[:1]))
            rest = rest[length:]
        return places
