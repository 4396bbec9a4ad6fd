"""Subject: two daemons that start second attempts, as processes."""

from __future__ import annotations

import httpx
from prometheus_client.parser import text_string_to_metric_families
from stand_ins.fleet import PlatformPath

from dotterelgate_bench.fleet import wait_until

DAEMONS = ("front-1", "front-2")
SHARE = 0.2
# Reads after which a backend server that is chosen at all has been chosen.
MAX_READS = 100
USUAL_READS = 20


class HedgingPlatform:
    """A store, backend servers, and daemons of one zone, of which one grants the slots."""

    def __init__(self, *, servers):
        self._servers = servers
        self._platform = PlatformPath()
        self.statuses = []
        self.silent = {}

    def start(self):
        """Start all processes."""
        self._platform.start(servers=self._servers)
        self._platform.publish(10, "/orders/", route_type="safe")
        for name in DAEMONS:
            self._platform.start_daemon(name, hedging_share=SHARE, hedging_slots=0.0)
        for name in DAEMONS:
            self._platform.wait_ready(name)

    def stop(self):
        """Kill all processes."""
        self._platform.stop()

    def send_usual(self, count):
        """Send reads that are answered in the usual time."""
        for number in range(count):
            for name in DAEMONS:
                answer = self._platform.request(name, "/orders/x", f"{name}-usual-{number}")
                assert answer.status_code == 200, answer

    def send_until_silent(self, server):
        """Send reads through each daemon until a backend server has not answered one of it.

        On a busy machine another server may be slow first, and the one without an answer be the
        second attempt, which nothing replaces; then a further read is sent.
        """
        for name in DAEMONS:
            self._platform.add_fault(server, "no answer")
            for number in range(MAX_READS):
                request_id = f"{name}-{number}"
                answer = self._platform.request(name, "/orders/x", request_id)
                self.statuses.append(answer.status_code)
                if request_id not in self._platform.read_endless():
                    continue
                if self._was_second(name, request_id, server):
                    # Usual reads earn the budget that the second attempt used.
                    self.send_usual(USUAL_READS)
                    self._platform.add_fault(server, "no answer")
                    continue
                self.silent[name] = request_id
                break

    def _was_second(self, name, request_id, server):
        """Return whether a read's attempt at a server was the second one."""

        def find_first():
            lines = self._platform.read_log(name)
            events = [each["event"] for each in lines if each.get("request") == request_id]
            starts = [each for each in events if each.endswith("a second attempt is started")]
            return starts[0] if starts else None

        wait_until(find_first, seconds=3, what="the second attempt is logged")
        return not find_first().startswith(f"hedging: {server} ")

    def are_closed(self):
        """Return whether each daemon closed the connection of its read without an answer."""
        endless = self._platform.read_endless()
        states = [endless[request_id][0] for request_id in self.silent.values()]
        return len(states) == len(DAEMONS) and not any(states)

    def is_logged(self):
        """Return whether each daemon's log shows the second attempt and what it replaced."""
        for name, request_id in self.silent.items():
            lines = self._platform.read_log(name)
            events = [each["event"] for each in lines if each.get("request") == request_id]
            for part in ("a second attempt is started", "answered first; the attempt at i-1"):
                if not any(each.startswith("hedging: ") and part in each for each in events):
                    return False
        return True

    def read_count(self, name, result):
        """Read from a daemon's metrics how many second attempts had a result."""
        url = f"http://{self._platform.settings[name]['endpoint']}/metrics"
        families = text_string_to_metric_families(httpx.get(url, timeout=5).text)
        return sum(
            sample.value
            for family in families
            for sample in family.samples
            if sample.name == "dotterelgate_second_attempts_total"
            and sample.labels["result"] == result
        )
