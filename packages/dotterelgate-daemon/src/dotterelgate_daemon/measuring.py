"""Probes of backend servers on their way."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import ProbeAnswered
from dotterelgate_daemon.codec import encode_request_head
from dotterelgate_daemon.exchanges import Exchange
from dotterelgate_daemon.gateway import read_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.control_messages import Probe
    from dotterelgate_core.messages import ServerReport
    from dotterelgate_core.pipes import Message
    from dotterelgate_daemon.codec import AnswerHead
    from dotterelgate_daemon.exchanges import PoolTable
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.timers import TimerService

__all__ = ["Prober"]

PROBE_PATH = "/_probe"
TIMEOUT_SECONDS = 2.0


class Prober:
    """Carries out probes.

    :param tell: runs a message through the control pipeline
    """

    def __init__(
        self,
        *,
        pools: PoolTable,
        timers: TimerService,
        metrics: Metrics,
        tell: Callable[[Message], None],
    ) -> None:
        self._pools = pools
        self._timers = timers
        self._metrics = metrics
        self._tell = tell

    def probe(self, order: Probe) -> None:
        """Send a probe and tell what became of it."""
        sent_wall = time.time()
        server = order.server
        self._metrics.measuring_seconds.labels(service=order.service).inc(order.cost)
        reports: list[ServerReport] = []

        def tell(*, answered: bool) -> None:
            message = ProbeAnswered(
                now=time.monotonic(),
                wall=sent_wall,
                service=order.service,
                server=server.name,
                answered=answered,
                draining=any(report.draining for report in reports),
            )
            self._tell(message)

        def begin(head: AnswerHead) -> None:
            reports.append(read_report(head))

        headers = [
            (b"host", server.address.encode("ascii")),
            (b"request-not-after", b"%.3f" % order.fence),
        ]
        exchange = Exchange(
            method="GET",
            head=encode_request_head("GET", PROBE_PATH, headers),
            body=b"",
            body_ended=True,
            chunked=False,
            begin=begin,
            part=lambda part: None,
            whole=lambda: tell(answered=True),
            failed=lambda end: tell(answered=False),
        )
        pool = self._pools.find(server.address, limit=server.connections)
        pool.run(exchange, fresh=False)
        slow = Refusal(codes.DEADLINE_EXCEEDED, f"{server.name} did not answer a probe in time")
        self._timers.call_after(delay=TIMEOUT_SECONDS, call=lambda: exchange.fail(slow))
