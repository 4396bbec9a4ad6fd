"""Subject: where one daemon sends downloads, on a fake clock."""

from __future__ import annotations

from dotterelgate_core import messages
from dotterelgate_core.loads import LoadReport
from subjects.store_daemon import ZONE, StoreDaemon, find

SLOTS = 3
TARGET_SECONDS = 2.0
STEP_SECONDS = 0.02


class DownloadingDaemon:
    """A daemon with one server in its own zone and one in another."""

    def __init__(self, *, own):
        self.daemon = StoreDaemon()
        self.daemon.configure(target=TARGET_SECONDS, timeout=2 * TARGET_SECONDS)
        self.daemon.register("own", offset=1, zone=ZONE, draining=own == "leaving")
        self.daemon.register("other", offset=2, zone="south")
        self.server = self.daemon.state.servers.states["own"]
        self.freed_at = self.daemon.now + 0.2 if "freed" in own else float("inf")
        self.is_slow = own.startswith("slow")
        self.running = SLOTS if own.startswith("full") else 0
        for _ in range(5 if own == "failing" else 0):
            self.server.view.update_failure_share(failed=True, now=self.daemon.now)

    def report(self):
        """Let both servers report their load."""
        now = self.daemon.now
        if now >= self.freed_at:
            self.running = 0
        slowdown = 3.0 if self.is_slow else 1.0
        report = LoadReport(running=self.running, waiting=0, slots=SLOTS, slowdown=slowdown)
        self.server.view.apply_report(report, 0, now)
        idle = LoadReport(running=0, waiting=0, slots=SLOTS)
        self.daemon.state.servers.states["other"].view.apply_report(idle, 0, now)

    def send(self, kind):
        """Let a request arrive; returns the server that it is sent to."""
        self.report()
        path = "/bulk/x" if kind == "download" else "/read/x"
        _, orders = self.daemon.arrive(path, timeout=2 * TARGET_SECONDS)
        return _name_server(orders)

    def pass_time(self, seconds):
        """Let time go by; returns the server that a waiting request is sent to."""
        end = self.daemon.now + seconds
        sent_to = "nothing"
        while self.daemon.now < end:
            self.daemon.now += STEP_SECONDS
            self.report()
            server = _name_server(self.daemon.tick())
            sent_to = server if server != "nothing" else sent_to
        return sent_to


def _name_server(orders):
    dispatch = find(orders, messages.Dispatch)
    return dispatch.server.name if dispatch is not None else "nothing"
