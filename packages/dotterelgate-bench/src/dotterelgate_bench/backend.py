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

    from dotterelgate_bench.serving import Asked
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import TimerService

__all__ = ["BackendFaults", "BackendStandIn"]

PROBE_SECONDS = 0.006
CONNECTION_SECONDS = 0.001
NOT_RUN = (b"request-outcome", b"not-run")


@dataclass(kw_only=True)
class BackendFaults:
    """Ways in which it misbehaves, set with ``POST /_faults``.

    :param draining: whether it says that it is leaving
    :param shed: whether it refuses all work as not run
    :param slow: factor on all service times
    :param cut_body: answers that end in the middle of the body
    :param lose_answer: answers that are not sent though the request ran
    :param double_answer: answers that are followed by another one
    :param junk: answers that are not HTTP
    :param no_length: answers whose end is only told by closing
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
    """Works on ``slots`` requests at once and queues the rest.

    A request's service time is its query's ``ms``, or drawn from the seed.

    :param cold_seconds: time after the start in which it works at a third of its speed
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

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._started = time.monotonic()
        self._served: set[int] = set()
        self._stand_in = HttpServer(streams=self.streams, address=self.address, answer=self._answer)

    def _answer(self, asked: Asked) -> None:
        if asked.path == "/_faults":
            for name, value in json.loads(asked.body).items():
                setattr(self.faults, name, value)
            answer_json(asked, self.faults.__dict__)
        elif asked.path == "/_ledger":
            totals = {"probes": self.probes, "connections": self._stand_in.accepted}
            answer_json(asked, {"name": self.name, "ran": self.ledger, **totals})
        elif asked.path == "/_probe":
            self._probe(asked)
        else:
            self._take(asked)

    def _probe(self, asked: Asked) -> None:
        def start() -> None:
            if self._is_too_late(asked, time.monotonic()):
                asked.answer(503, b"", [*self._report(), NOT_RUN])
                self._next()
                return
            seconds = PROBE_SECONDS + self._charge_connection(asked)
            self.probes.append((time.time(), seconds))
            self.timers.call_after(delay=seconds, call=finish)

        def finish() -> None:
            asked.answer(200, b"", self._report())
            self._next()

        self._enter(start)

    def _take(self, asked: Asked) -> None:
        if self.faults.shed:
            asked.answer(503, b"", [*self._report(), NOT_RUN])
            return
        is_live = [True]

        def leave() -> None:
            is_live[0] = False

        asked.gone = leave
        arrived = time.monotonic()

        def start() -> None:
            if not is_live[0]:
                self._next()
            elif self._is_too_late(asked, arrived):
                asked.answer(503, b"", [*self._report(), NOT_RUN])
                self._next()
            else:
                self._run(asked)

        self._enter(start)

    def _is_too_late(self, asked: Asked, arrived: float) -> bool:
        fence = asked.find_header(b"request-not-after")
        if fence is not None and time.time() > float(fence):
            return True
        timeout = asked.find_header(b"request-timeout-ms")
        return timeout is not None and time.monotonic() - arrived > int(timeout) / 1000

    def _run(self, asked: Asked) -> None:
        self.ledger.append(
            {
                "method": asked.head.method,
                "path": asked.path,
                "key": asked.find_header(b"idempotency-key"),
                "id": asked.find_header(b"request-id"),
                "body_bytes": len(asked.body),
                "wall": time.time(),
            }
        )
        seconds = self._draw_seconds(asked)

        def finish() -> None:
            self._reply(asked)
            self._next()

        self.timers.call_after(delay=seconds, call=finish)

    def _draw_seconds(self, asked: Asked) -> float:
        milliseconds = asked.query.get("ms")
        if milliseconds is not None:
            seconds = float(milliseconds) / 1000
        else:
            seconds = self._random.expovariate(1000 / self.mean_ms)
        if time.monotonic() - self._started < self.cold_seconds:
            seconds *= 3
        seconds += self._charge_connection(asked)
        return seconds * self.faults.slow

    def _enter(self, start: Callable[[], None]) -> None:
        if self.busy < self.slots:
            self.busy += 1
            start()
        else:
            self.waiting.append(start)

    def _charge_connection(self, asked: Asked) -> float:
        if id(asked.connection) in self._served:
            return 0.0
        self._served.add(id(asked.connection))
        return CONNECTION_SECONDS

    def _next(self) -> None:
        self.busy -= 1
        if self.waiting:
            self.busy += 1
            self.waiting.popleft()()

    def _report(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"server-in-flight", b"%d" % (self.busy + len(self.waiting)))]
        if self.faults.draining:
            headers.append((b"server-state", b"draining"))
        return headers

    def _reply(self, asked: Asked) -> None:
        size = int(asked.query.get("bytes", "0"))
        body = self._build_body(asked, size)
        if self._misbehave(asked, body):
            return
        asked.answer(200, body, [*self._report(), (b"content-type", b"application/json")])

    def _build_body(self, asked: Asked, size: int) -> bytes:
        document = {
            "server": self.name,
            "id": asked.find_header(b"request-id"),
            "path": asked.path,
            "run": len(self.ledger),
            "body_bytes": len(asked.body),
        }
        body = json.dumps(document).encode("utf-8")
        return body + b"." * max(0, size - len(body))

    def _misbehave(self, asked: Asked, body: bytes) -> bool:
        faults = self.faults
        connection = asked.connection
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
