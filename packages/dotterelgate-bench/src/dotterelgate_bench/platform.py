"""Stand-ins for the platform's log service and list of VMs."""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_bench.serving import HttpServer, answer_json

if TYPE_CHECKING:
    from dotterelgate_bench.serving import HttpRequest
    from dotterelgate_daemon.streams import StreamService
    from dotterelgate_daemon.timers import TimerService

__all__ = ["LogFaults", "LogStandIn", "VmListStandIn"]


@dataclass(kw_only=True)
class LogFaults:
    """Faults that the log simulates, set with ``POST /faults``.

    :param down: whether every request fails
    :param delay: seconds by which every answer is delayed
    :param lose_answers: number of appends that take effect but are answered with a failure
    :param lose_appends: number of appends that fail without effect
    :param retention: seconds for which records are retained
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_appends: int = 0
    retention: float = 3600.0


class LogStandIn:
    """Append-only log with offsets, limited retention and outages."""

    def __init__(self, *, streams: StreamService, timers: TimerService, address: str) -> None:
        self.faults = LogFaults()
        self._timers = timers
        self._records: deque[tuple[int, float, dict]] = deque()
        self._next_offset = 0
        self._append_count = 0
        HttpServer(streams=streams, address=address, answer=self._answer)

    def _answer(self, request: HttpRequest) -> None:
        if request.path == "/faults":
            if request.head.method == "POST":
                for name, value in json.loads(request.body).items():
                    setattr(self.faults, name, value)
            answer_json(request, {**self.faults.__dict__, "appends": self._append_count})
        elif self.faults.down:
            answer_json(request, {"error": "the log is down"}, status=503)
        elif self.faults.delay:
            self._timers.call_after(
                delay=self.faults.delay, call=lambda: self._answer_records(request)
            )
        else:
            self._answer_records(request)

    def _answer_records(self, request: HttpRequest) -> None:
        if request.head.method == "POST":
            self._append(request)
            return
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "500"))
        answer_json(request, self._read(start, limit))

    def _append(self, request: HttpRequest) -> None:
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            answer_json(request, {"error": "not appended"}, status=503)
            return
        offset = self._next_offset
        self._next_offset += 1
        self._append_count += 1
        self._records.append((offset, time.monotonic(), json.loads(request.body)))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            answer_json(request, {"error": "the answer is lost"}, status=504)
            return
        answer_json(request, {"offset": offset})

    def _read(self, start: int, limit: int) -> dict:
        expired = time.monotonic() - self.faults.retention
        while self._records and self._records[0][1] < expired:
            self._records.popleft()
        oldest = self._records[0][0] if self._records else self._next_offset
        skipped = max(0, start - oldest)
        entries = [
            {"offset": offset, "record": record}
            for offset, _, record in list(self._records)[skipped : skipped + limit]
        ]
        next_offset = oldest + skipped + len(entries) if entries else self._next_offset
        return {"entries": entries, "next": next_offset, "oldest": oldest}


@dataclass(kw_only=True)
class VmListStandIn:
    """List of live and leaving VMs whose updates become visible after a lag.

    ``POST /vms`` sets the list; ``POST /faults`` sets ``lag`` (seconds) and ``down``.
    """

    streams: StreamService
    address: str
    lag: float = 0.0
    down: bool = False
    versions: list[tuple[float, list[dict]]] = field(default_factory=lambda: [(0.0, [])])

    def __post_init__(self) -> None:
        HttpServer(streams=self.streams, address=self.address, answer=self._answer)

    def _answer(self, request: HttpRequest) -> None:
        if request.path == "/faults":
            faults = json.loads(request.body)
            self.lag = faults.get("lag", self.lag)
            self.down = faults.get("down", self.down)
            answer_json(request, {})
        elif request.head.method == "POST":
            self.versions.append((time.monotonic(), json.loads(request.body)["vms"]))
            answer_json(request, {})
        elif self.down:
            answer_json(request, {"error": "the list is down"}, status=503)
        else:
            answer_json(request, {"vms": self._find_visible_vms()})

    def _find_visible_vms(self) -> list[dict]:
        visible = [vms for at, vms in self.versions if at <= time.monotonic() - self.lag]
        return visible[-1] if visible else []
