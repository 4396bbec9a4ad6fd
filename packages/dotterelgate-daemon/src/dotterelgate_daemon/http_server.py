"""Small HTTP server on the loop's streams."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import structlog

from dotterelgate_daemon.codec import encode_answer_head
from dotterelgate_daemon.request_reader import RequestReader

if TYPE_CHECKING:
    import socket

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_daemon.codec import HeaderList
    from dotterelgate_daemon.request_reader import RequestHead
    from dotterelgate_daemon.streams import Stream, StreamService

__all__ = ["HttpRequest", "HttpServer", "answer_json"]

logger = structlog.get_logger("endpoint")

HEAD_LIMIT_BYTES = 65_536
BODY_LIMIT_BYTES = 1_048_576


@dataclass(kw_only=True)
class HttpRequest:
    """One request.

    :param connection: the connection it arrived on
    :param on_disconnect: called when the connection ends before the answer
    """

    head: RequestHead
    connection: _Connection
    body: bytearray = field(default_factory=bytearray)
    on_disconnect: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.head.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters."""
        return dict(parse_qsl(self.head.target.partition("?")[2]))

    def find_header(self, name: bytes) -> str | None:
        """Return the first value of a header by its lower-case name."""
        for each, value in self.head.headers:
            if each == name:
                return value.decode("latin-1")
        return None

    def answer(self, status: int, body: bytes = b"", headers: HeaderList | None = None) -> None:
        """Answer the request."""
        sent_headers = [*(headers or []), (b"content-length", b"%d" % len(body))]
        self.connection.write(encode_answer_head(status, sent_headers))
        self.connection.write(b"" if self.head.method == "HEAD" else body)
        self.connection.finish()


class _Connection:
    def __init__(self, *, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._requests: list[HttpRequest] = []
        self.is_new = True
        self.stream: Stream = server.streams.adopt(
            sock=sock, receive=self._receive, lost=self._note_disconnect
        )
        self._reader = RequestReader(
            head_limit=HEAD_LIMIT_BYTES,
            begin=self._begin,
            body=self._receive_body,
            end=self._end,
            refuse=self._refuse,
        )

    def write(self, data: bytes) -> None:
        """Write raw bytes."""
        self.stream.write(data)

    def close(self) -> None:
        """Close at once."""
        self._server.connections.discard(self)
        self.stream.close()

    def finish(self) -> None:
        """Remove the answered request."""
        if self._requests:
            self._requests.pop(0)

    def _receive(self, data: bytes) -> None:
        self._reader.feed(data)

    def _receive_body(self, part: bytes) -> None:
        body = self._requests[-1].body
        body.extend(part)
        limit = self._server.body_limit
        if len(body) > limit:
            logger.warning("endpoint: a request's body is too large", limit=limit)
            self._reader.discard()
            self.close()

    def _begin(self, head: RequestHead) -> None:
        self._requests.append(HttpRequest(head=head, connection=self))

    def _end(self) -> None:
        self._server.answer(self._requests[-1])

    def _refuse(self, _code: ResultCode, _reason: str) -> None:
        self.close()

    def _note_disconnect(self) -> None:
        self._server.connections.discard(self)
        for request in self._requests:
            if request.on_disconnect is not None:
                request.on_disconnect()


class HttpServer:
    """Answers requests on one address.

    :param answer: called with each complete request
    :param body_limit: largest body of a request, in bytes; beyond it the connection is closed
    """

    def __init__(
        self,
        *,
        streams: StreamService,
        address: str,
        answer: Callable[[HttpRequest], None],
        body_limit: int = BODY_LIMIT_BYTES,
    ) -> None:
        self.body_limit = body_limit
        self.streams = streams
        self.answer = answer
        self.connections: set[_Connection] = set()
        self.accepted = 0
        self._listener = streams.listen(address=address, accept=self._accept)

    def stop(self) -> None:
        """Stop listening and close all connections at once."""
        self.streams.stop_listening(self._listener)
        for connection in list(self.connections):
            connection.close()

    def _accept(self, sock: socket.socket) -> None:
        self.accepted += 1
        self.connections.add(_Connection(server=self, sock=sock))


def answer_json(request: HttpRequest, document: object, status: int = 200) -> None:
    """Answer with a JSON document."""
    body = json.dumps(document).encode("utf-8")
    request.answer(status, body, [(b"content-type", b"application/json")])
