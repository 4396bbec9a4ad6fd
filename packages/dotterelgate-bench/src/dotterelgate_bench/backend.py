"""Stand-in for a backend server with slots, a queue and a ledger."""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from dotterelgate_bench.serving import HttpServer, answer_json
from dotterelgate_daemon.codec import encode_answer_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_bench.serving import HttpRequest
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import TimerService

__all__ = ["BackendFaults", "BackendStandIn"]

PROBE_WORK_SECONDS = 0.006
NEW_CONNECTION_SECONDS = 0.001
BODY_LIMIT_BYTES = 268_435_456
NOT_RUN = (b"request-outcome", b"not-run")


@dataclass(kw_only=True)
class BackendFaults:
    """Faults that it simulates, set with ``POST /_faults``.

    :param draining: whether it reports that it is draining
    :param shed: whether it refuses all work as not run
    :param slow: factor on all service times
    :param cut_body: number of answers that end in the middle of the body
    :param lose_answer: number of answers that are not sent though the request ran
    :param double_answer: number of answers that are sent twice
    :param junk: number of answers that are not HTTP
    :param no_length: number of answers that only end with the connection
    """

    draining: bool = False
    shed: bool = False
    slow: float = 1.0
    cut_body: int = 0
    lose_answer: int = 0
    double_answer: int = 0
    junk: int = 0
    no_length: int = 0


@dataclass(kw_only=True)
class BackendStandIn:
    """Backend server that runs ``slots`` requests at once and queues the rest.

    A request's service time is its query's ``ms``, or else drawn from ``seed``.

    :param cold_seconds: seconds after the start in which requests take three times as long
    :param probes: wall-clock second and service time of each probe
    :param draining_reports: answers in which it reported that it is draining
    """

    streams: StreamService
    timers: TimerService
    address: str
    name: str
    slots: int = 3
    mean_ms: float = 5.0
    seed: int = 1
    cold_seconds: float = 0.0
    faults: BackendFaults = field(default_factory=BackendFaults)
    ledger: list[dict] = field(default_factory=list)
    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    busy: int = 0
    probes: list[tuple[float, float]] = field(default_factory=list)
    draining_reports: int = 0

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._started = time.monotonic()
        self._used_connections: set[int] = set()
        self._server = HttpServer(
            streams=self.streams,
            address=self.address,
            answer=self._answer,
            body_limit=BODY_LIMIT_BYTES,
        )

    def _answer(self, request: HttpRequest) -> None:
        if request.path == "/_faults":
            for name, value in json.loads(request.body).items():
                setattr(self.faults, name, value)
            answer_json(request, self.faults.__dict__)
        elif request.path == "/_ledger":
            totals = {
                "probes": self.probes,
                "connections": self._server.accepted,
                "draining_reports": self.draining_reports,
            }
            answer_json(request, {"name": self.name, "ran": self.ledger, **totals})
        elif request.path == "/_probe":
            self._probe(request)
        else:
            self._handle_request(request)

    def _probe(self, request: HttpRequest) -> None:
        def start() -> None:
            if self._is_too_late(request, time.monotonic()):
                request.answer(503, b"", [*self._build_report(), NOT_RUN])
                self._start_next()
                return
            seconds = PROBE_WORK_SECONDS + self._charge_connection(request)
            self.probes.append((time.time(), seconds))
            self.timers.call_after(delay=seconds, call=finish)

        def finish() -> None:
            request.answer(200, b"", self._build_report())
            self._start_next()

        self._start_or_queue(start)

    def _handle_request(self, request: HttpRequest) -> None:
        if self.faults.shed:
            request.answer(503, b"", [*self._build_report(), NOT_RUN])
            return
        is_wanted = [True]

        def note_disconnect() -> None:
            is_wanted[0] = False

        request.on_disconnect = note_disconnect
        arrived = time.monotonic()

        def start() -> None:
            if not is_wanted[0]:
                self._start_next()
            elif self._is_too_late(request, arrived):
                request.answer(503, b"", [*self._build_report(), NOT_RUN])
                self._start_next()
            else:
                self._run(request)

        self._start_or_queue(start)

    def _is_too_late(self, request: HttpRequest, arrived: float) -> bool:
        fence = request.find_header(b"request-not-after")
        if fence is not None and time.time() > float(fence):
            return True
        timeout = request.find_header(b"request-timeout-ms")
        return timeout is not None and time.monotonic() - arrived > int(timeout) / 1000

    def _run(self, request: HttpRequest) -> None:
        self.ledger.append(
            {
                "method": request.head.method,
                "path": request.path,
                "key": request.find_header(b"idempotency-key"),
                "id": request.find_header(b"request-id"),
                "body_bytes": len(request.body),
                "wall": time.time(),
            }
        )
        seconds = self._draw_seconds(request)

        def finish() -> None:
            self._send_answer(request)
            self._start_next()

        self.timers.call_after(delay=seconds, call=finish)

    def _draw_seconds(self, request: HttpRequest) -> float:
        milliseconds = request.query.get("ms")
        if milliseconds is not None:
            seconds = float(milliseconds) / 1000
        else:
            seconds = self._random.expovariate(1000 / self.mean_ms)
        if time.monotonic() - self._started < self.cold_seconds:
            seconds *= 3
        seconds += self._charge_connection(request)
        return seconds * self.faults.slow

    def _start_or_queue(self, start: Callable[[], None]) -> None:
        if self.busy < self.slots:
            self.busy += 1
            start()
        else:
            self.waiting.append(start)

    def _charge_connection(self, request: HttpRequest) -> float:
        if id(request.connection) in self._used_connections:
            return 0.0
        self._used_connections.add(id(request.connection))
        return NEW_CONNECTION_SECONDS

    def _start_next(self) -> None:
        self.busy -= 1
        if self.waiting:
            self.busy += 1
            self.waiting.popleft()()

    def _build_report(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"server-in-flight", b"%d" % (self.busy + len(self.waiting)))]
        if self.faults.draining:
            self.draining_reports += 1
            headers.append((b"server-state", b"draining"))
        return headers

    def _send_answer(self, request: HttpRequest) -> None:
        size = int(request.query.get("bytes", "0"))
        body = self._build_body(request, size)
        if self._apply_fault(request, body):
            return
        request.answer(200, body, [*self._build_report(), (b"content-type", b"application/json")])

    def _build_body(self, request: HttpRequest, size: int) -> bytes:
        document = {
            "server": self.name,
            "id": request.find_header(b"request-id"),
            "path": request.path,
            "run": len(self.ledger),
            "body_bytes": len(request.body),
        }
        body = json.dumps(document).encode("utf-8")
        return body + b"." * max(0, size - len(body))

    def _apply_fault(self, request: HttpRequest, body: bytes) -> bool:
        faults = self.faults
        connection = request.connection
        head = encode_answer_head(200, [(b"content-length", b"%d" % len(body))])
        if faults.cut_body > 0:
            faults.cut_body -= 1
            connection.write(head + body[: len(body) // 2])
        elif faults.lose_answer > 0:
            faults.lose_answer -= 1
        elif faults.junk > 0:
            faults.junk -= 1
            connection.write(b"this is not HTTP\r\n\r\n")
        elif faults.no_length > 0:
            faults.no_length -= 1
            connection.write(encode_answer_head(200, []) + body)
        elif faults.double_answer > 0:
            faults.double_answer -= 1
            connection.write(head + body + head + body)
            connection.finish()
            return True
        else:
            return False
        connection.close()
        return True
