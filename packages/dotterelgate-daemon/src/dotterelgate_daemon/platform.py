"""A service of the platform, spoken to over HTTP."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_daemon.codec import encode_request_head
from dotterelgate_daemon.exchanges import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.exchanges import Pool, PoolTable
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.timers import TimerService

__all__ = ["PlatformClient"]

CONNECTIONS = 4


class PlatformClient:
    """Asks one service of the platform for JSON documents.

    :param timeout: seconds until an answer is given up
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
        channel: str,
    ) -> None:
        self._address = address
        self._pool: Pool = pools.find(address, limit=CONNECTIONS)
        self._timers = timers
        self._metrics = metrics
        self._timeout = timeout
        self._channel = channel

    def ask(
        self,
        *,
        method: str,
        path: str,
        document: object | None,
        answered: Callable[[object], None],
        failed: Callable[[str], None],
    ) -> None:
        """Ask, and call one of the two functions later.

        :param answered: gets the decoded document
        :param failed: gets the reason; whether a request took effect is not known then
        """
        body = b"" if document is None else json.dumps(document).encode("utf-8")

        def take(status: int, received: bytes) -> None:
            if status != HTTPStatus.OK:
                failed(f"{self._address} answered with status {status}")
                return
            try:
                decoded = json.loads(received)
            except ValueError:
                failed(f"{self._address} answered with invalid JSON")
                return
            answered(decoded)

        self.fetch(method=method, path=path, body=body, answered=take, failed=failed)

    def fetch(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        answered: Callable[[int, bytes], None],
        failed: Callable[[str], None],
        patience: float = 0.0,
    ) -> None:
        """Ask for bytes, and call one of the two functions later.

        :param answered: gets the status and the body
        :param failed: gets the reason; whether a request took effect is not known then
        :param patience: seconds that the answer may take beyond the usual limit
        """
        headers = [
            (b"host", self._address.encode("ascii")),
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"application/json"),
        ]
        received = bytearray()
        statuses: list[int] = []
        exchange = Exchange(
            method=method,
            head=encode_request_head(method, path, headers),
            body=body,
            body_ended=True,
            chunked=False,
            begin=lambda head: statuses.append(head.status),
            part=received.extend,
            completed=lambda: answered(statuses[-1], bytes(received)),
            failed=lambda end: failed(end.refusal.reason),
        )
        self._metrics.control_bytes.labels(channel=self._channel).inc(len(body) + len(path) + 100)
        self._pool.run(exchange, fresh=method != "GET")
        slow = Refusal(codes.DEADLINE_EXCEEDED, f"{self._address} did not answer in time")
        self._timers.call_after(delay=self._timeout + patience, call=lambda: exchange.fail(slow))
