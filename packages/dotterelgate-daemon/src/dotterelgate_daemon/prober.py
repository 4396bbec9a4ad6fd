"""Sends probes to backend servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_daemon.codec import encode_request_head
from dotterelgate_daemon.exchanges import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.control_messages import Probe
    from dotterelgate_core.pipes import Message
    from dotterelgate_daemon.codec import AnswerHead
    from dotterelgate_daemon.dialect import AnswerTerms, Dialect
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.pools import PoolTable
    from dotterelgate_daemon.timers import TimerService

__all__ = ["Prober"]

# Interval at which overdue probes are failed.
SWEEP_SECONDS = 0.12
PROBES = "probes"
# The body of a probe's answer is not used; servers send a few words at most.
BODY_LIMIT_BYTES = 65_536


class Prober:
    """Sends probes and reports their results.

    :param dialect: how the system's own headers are read and written
    :param emit: runs a message through the control pipeline
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        pools: PoolTable,
        timers: TimerService,
        metrics: Metrics,
        emit: Callable[[Message], None],
    ) -> None:
        self._dialect = dialect
        self._pools = pools
        self._pending: list[tuple[float, Exchange, str]] = []
        timers.subscribe(interval=SWEEP_SECONDS, call=self._fail_overdue)
        self._metrics = metrics
        self._emit = emit

    def probe(self, order: Probe) -> None:
        """Send a probe and emit its result."""
        sent_wall = time.time()
        server = order.server
        self._metrics.measuring_seconds.labels(service=order.service).inc(order.cost)
        answers: list[AnswerTerms] = []
        statuses: list[int] = []

        def report_end(*, answered: bool, refused: bool = False) -> None:
            message = ProbeEnded(
                now=time.monotonic(),
                wall=sent_wall,
                service=order.service,
                server=server.name,
                answered=answered,
                draining=any(each.report.draining for each in answers),
                healthy=statuses == [200],
                load=answers[0].report.load if answers else None,
                reported_name=answers[0].server if answers else None,
                limit=answers[0].report.limit if answers else None,
                refused=refused,
                cold_seconds=answers[0].report.cold_seconds if answers else None,
            )
            self._emit(message)

        def begin(head: AnswerHead) -> None:
            answers.append(self._dialect.read_answer(head.headers))
            statuses.append(head.status)
            exchange.idle_seconds = answers[0].idle_seconds

        headers = self._dialect.write_probe(server, order.fence)
        exchange = Exchange(
            method="GET",
            head=encode_request_head("GET", order.path, headers),
            begin=begin,
            part=lambda part: None,
            completed=lambda: report_end(answered=True),
            failed=lambda end: report_end(answered=False, refused=end.refused),
            body_limit=BODY_LIMIT_BYTES,
            matches_request=lambda received: self._dialect.is_answer_to(
                self._dialect.read_answer(received), ""
            ),
        )
        # An answer that names no request could be taken for one to a probe, or the reverse.
        purpose = "" if self._dialect.answers_name_requests else PROBES
        pool = self._pools.find(server.address, limit=server.connections, purpose=purpose)
        pool.run(exchange, fresh=False)
        self._pending.append((time.monotonic() + order.timeout, exchange, server.name))

    def _fail_overdue(self) -> None:
        now = time.monotonic()
        overdue = [each for each in self._pending if each[0] <= now]
        self._pending = [each for each in self._pending if each[0] > now]
        for _, exchange, name in overdue:
            reason = f"{name} did not answer a probe in time"
            exchange.fail(Refusal(codes.DEADLINE_EXCEEDED, reason))
