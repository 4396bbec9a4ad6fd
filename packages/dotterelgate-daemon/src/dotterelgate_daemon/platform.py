"""HTTP client for a service of the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.codec import encode_request_head
from dotterelgate_daemon.exchanges import Exchange
from dotterelgate_daemon.request_bodies import RequestBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.codec import AnswerHead, HeaderList
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.pools import Pool, PoolTable
    from dotterelgate_daemon.timers import TimerService

__all__ = ["PlatformAnswer", "PlatformClient"]

CONNECTIONS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformAnswer:
    """A complete answer."""

    status: int
    headers: HeaderList
    body: bytes


class PlatformClient:
    """Sends requests to one service of the platform.

    :param timeout: seconds to wait for an answer
    :param answer_limit: largest body of an answer, in bytes
    :param channel: label of the bytes in the metrics
    """

    def __init__(
        self,
        *,
        address: str,
        pools: PoolTable,
        timers: TimerService,
        metrics: Metrics,
        timeout: float,
        answer_limit: int,
        channel: str,
    ) -> None:
        self._address = address
        self._pool: Pool = pools.find(address, limit=CONNECTIONS)
        self._timers = timers
        self._metrics = metrics
        self._timeout = timeout
        self._answer_limit = answer_limit
        self._channel = channel

    def request_document(
        self,
        *,
        method: str,
        path: str,
        document: object | None,
        on_answer: Callable[[object], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Request a JSON document, and call one of the two functions later.

        :param on_answer: gets the decoded document
        :param on_failure: gets the reason; the request may still have taken effect
        """
        body = b"" if document is None else json.dumps(document).encode("utf-8")

        def receive(answer: PlatformAnswer) -> None:
            if answer.status != HTTPStatus.OK:
                on_failure(f"{self._address} answered with status {answer.status}")
                return
            try:
                decoded = json.loads(answer.body)
            except ValueError:
                on_failure(f"{self._address} answered with invalid JSON")
                return
            on_answer(decoded)

        self.fetch(method=method, path=path, body=body, on_answer=receive, on_failure=on_failure)

    def fetch(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        on_answer: Callable[[PlatformAnswer], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Request bytes, and call one of the two functions later.

        :param on_failure: gets the reason; the request may still have taken effect
        """
        headers = [
            (b"host", self._address.encode("ascii")),
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"application/json"),
        ]
        received = bytearray()
        heads: list[AnswerHead] = []

        def finish() -> None:
            head = heads[-1]
            on_answer(
                PlatformAnswer(status=head.status, headers=head.headers, body=bytes(received))
            )

        exchange = Exchange(
            method=method,
            head=encode_request_head(method, path, headers),
            body=RequestBody(body, is_complete=True),
            begin=heads.append,
            part=received.extend,
            completed=finish,
            failed=lambda end: on_failure(end.refusal.reason),
            body_limit=self._answer_limit,
        )
        self._metrics.control_bytes.labels(channel=self._channel).inc(len(body) + len(path) + 100)
        self._pool.run(exchange, fresh=method != "GET")
        slow = Refusal(codes.DEADLINE_EXCEEDED, f"{self._address} did not answer in time")
        self._timers.call_after(delay=self._timeout, call=lambda: exchange.fail(slow))
