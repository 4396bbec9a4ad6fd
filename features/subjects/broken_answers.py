"""Subject: one exchange whose backend server sends broken answers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.dialect import DIALECT
from dotterelgate_daemon.exchanges import Exchange
from dotterelgate_daemon.metrics import Metrics
from dotterelgate_daemon.platform import PlatformClient
from dotterelgate_daemon.pools import PoolTable
from dotterelgate_daemon.request_reader import RequestReader
from dotterelgate_daemon.timers import TimerService
from subjects.exchange import FakeStreams

NAMING_DIALECT = replace(DIALECT, answers_name_requests=True, allows_close_delimited=True)
ADDRESS = "10.0.0.1:80"
OWN_ID = "own-1"
OTHER_ID = "other-1"


def encode_answer(*, request_id: str | None, body: bytes, framing: str, not_run: bool) -> bytes:
    """Encode an answer.

    :param framing: ``length``, ``chunks`` or ``close``
    """
    lines = [b"HTTP/1.1 503 Busy" if not_run else b"HTTP/1.1 200 OK"]
    if not_run:
        lines.append(b"Request-Outcome: not-run")
    if request_id is not None:
        lines.append(b"Request-Id: " + request_id.encode())
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
        encoded = body
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        encoded = b"%x\r\n%b\r\n0\r\nX-Check: 1\r\n\r\n" % (len(body), body)
    else:
        encoded = body
    return b"\r\n".join([*lines, b"", b""]) + encoded


@dataclass
class Outcome:
    """What the exchange made of the bytes.

    :param completed: status and body, if the answer was complete
    :param not_run: whether it was a refusal
    """

    completed: tuple[int, bytes] | None = None
    not_run: bool = False
    failure: Refusal | None = None


class BrokenAnswers:
    """A pool and one exchange on a new or a kept connection."""

    def __init__(
        self, *, kept: bool = False, names: bool = True, body_limit: int | None = None
    ) -> None:
        self.body_limit = body_limit
        self.streams = FakeStreams()
        self.pool = PoolTable(streams=self.streams).find(ADDRESS, limit=10)
        self.names = names
        self.outcome = Outcome()
        if kept:
            self.send("earlier")
            self.receive(self.encode("earlier"))
        self.outcome = Outcome()

    def encode(self, request_id: str, *, not_run: bool = False) -> bytes:
        """Encode an answer with a length, which names its request where answers do."""
        named = request_id if self.names else None
        return encode_answer(request_id=named, body=b"", framing="length", not_run=not_run)

    def send(self, request_id: str) -> bool:
        """Send a request; returns whether it opened a new connection."""
        outcome = self.outcome = Outcome()
        body = bytearray()
        statuses: list[int] = []

        def begin(head) -> None:
            terms = NAMING_DIALECT.read_answer(head.headers)
            statuses.append(head.status)
            outcome.not_run = terms.not_run
            self.exchange.is_failure = terms.not_run

        def complete() -> None:
            outcome.completed = (statuses[-1], bytes(body))

        def matches(headers) -> bool:
            terms = NAMING_DIALECT.read_answer(headers)
            return not self.names or NAMING_DIALECT.is_answer_to(terms, request_id)

        self.exchange = Exchange(
            method="POST",
            head=b"POST / HTTP/1.1\r\nhost: a\r\n\r\n",
            begin=begin,
            part=body.extend,
            completed=complete,
            failed=lambda end: setattr(outcome, "failure", end.refusal),
            matches_request=matches,
            allows_close_delimited=True,
            request_id=request_id if self.names else "",
            body_limit=self.body_limit,
        )
        self.pool.run(self.exchange, fresh=False)
        return bool(self.streams.establish())

    def measure_headers(self) -> int:
        """Measure the bytes of headers that the exchange's reader holds."""
        headers = self.exchange._reader._headers
        return sum(len(name) + len(value) for name, value in headers)

    def receive(self, data: bytes) -> None:
        """Receive bytes of the server."""
        if self.exchange.stream.is_open:
            self.exchange.stream.receive(data)

    def end(self, *, received_eof: bool) -> None:
        """End the connection from the server's side."""
        stream = self.exchange.stream
        if stream.is_open:
            stream.received_eof = received_eof
            stream.reset()


@dataclass
class Conversation:
    """Random bytes of a broken server in answer to one request, repeatable by its seed.

    The server writes answers to this and to other requests in any order, repeats them, puts
    other bytes between them, and may stop in the middle; the bytes arrive in random parts.

    :param whole: status, body and "not run" of each answer to this request that it wrote whole
    """

    seed: int
    parts: list[bytes] = field(default_factory=list)
    whole: set[tuple[int, bytes, bool]] = field(default_factory=set)
    received_eof: bool = False

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self.received_eof = self._random.random() < 0.5
        data = b"".join(self._write_piece() for _ in range(self._random.randint(1, 6)))
        if self._random.random() < 0.4:
            self._write_cut()
            data += self._cut
        size = self._random.choice((1, 3, 50, 100_000))
        self.parts = [data[at : at + size] for at in range(0, len(data), size)]

    def play(self) -> BrokenAnswers:
        """Send a request on a kept connection, and receive the bytes."""
        subject = BrokenAnswers(kept=True)
        subject.send(OWN_ID)
        for part in self.parts:
            subject.receive(part)
        subject.end(received_eof=self.received_eof)
        return subject

    def _write_piece(self) -> bytes:
        kind = self._random.choice(("answer", "answer", "answer", "interim", "junk"))
        if kind == "interim":
            return b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
        if kind == "junk":
            return self._random.choice((b"\r\n", b"junk\r\n\r\n", b"x: y\r\n" * 20_000, b"\x00"))
        return self._write_answer(self._random.choice(("length", "chunks")))

    def _write_answer(self, framing: str) -> bytes:
        request_id = self._random.choice((OWN_ID, OTHER_ID, None))
        not_run = self._random.random() < 0.4
        body = b"%d" % self._random.randrange(1_000_000)
        if request_id == OWN_ID:
            self.whole.add((503 if not_run else 200, body, not_run))
        return encode_answer(request_id=request_id, body=body, framing=framing, not_run=not_run)

    def _write_cut(self) -> None:
        whole = set(self.whole)
        answer = self._write_answer(self._random.choice(("length", "chunks")))
        self._cut = answer[: self._random.randrange(len(answer))]
        self.whole = whole


class RequestTrailers:
    """A reader of requests that arrive from a broken caller."""

    def __init__(self, *, head_limit: int) -> None:
        self.refusals: list = []
        self.reader = RequestReader(
            head_limit=head_limit,
            begin=lambda head: setattr(self, "head", head),
            body=lambda part: None,
            end=lambda: None,
            refuse=lambda code, reason: self.refusals.append(code),
        )

    def receive_trailers(self, size: int) -> None:
        """Receive a chunked request and ``size`` bytes of trailers."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
        self.reader.feed(head)
        line = b"x: y\r\n"
        for _ in range(size // len(line)):
            self.reader.feed(line)


class LimitedClient:
    """A client of a platform service on fake streams."""

    def __init__(self, *, limit: int) -> None:
        self.streams = FakeStreams()
        self.failures: list[str] = []
        self.client = PlatformClient(
            address=ADDRESS,
            pools=PoolTable(streams=self.streams),
            timers=TimerService(),
            metrics=Metrics(),
            timeout=1.0,
            answer_limit=limit,
            channel="store",
        )

    def receive(self, size: int) -> None:
        """Fetch a document, and receive ``size`` bytes of a body ten times as long."""
        self.client.fetch(
            method="GET",
            path="/",
            body=b"",
            on_answer=lambda answer: None,
            on_failure=self.failures.append,
        )
        (self.stream,) = self.streams.establish()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (size * 10)
        self.stream.receive(head + b"x" * size)
