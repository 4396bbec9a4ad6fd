"""Subject: one daemon that hears whether others read the store, on a fake clock."""

from __future__ import annotations

from dotterelgate_core.store_reading import StoreReadEnded, StoreReadFailed, StoreUpdateReceived
from subjects.store_daemon import StoreDaemon

INTERVAL_SECONDS = 0.6
NEVER = float("-inf")
# The age of what a peer read when its update arrives.
AGE_SECONDS = 0.05


class HearingDaemon:
    """A daemon with two backend servers that is told of reads of the store."""

    def __init__(self):
        self.daemon = StoreDaemon()
        self.daemon.configure()
        for offset, name in enumerate(("i-1", "i-2"), 1):
            self.daemon.register(name, offset=offset)
        self.hear_reads(6.0)

    def hear_reads(self, seconds):
        """Hear of a peer's read at each interval."""
        until = self.daemon.now + seconds
        while self.daemon.now < until:
            self.hear_read()
            self.pass_time(min(INTERVAL_SECONDS, until - self.daemon.now))

    def hear_read(self, recovered_at=NEVER):
        """Hear of a peer's read just now.

        :param recovered_at: when the store answered that peer again
        """
        now = self.daemon.now
        update = StoreUpdateReceived(now=now, read_at=now - AGE_SECONDS, recovered_at=recovered_at)
        self.daemon.run_control(update)

    def read(self):
        """Read the store with success."""
        self.daemon.reading.read_started_at = self.daemon.now - AGE_SECONDS
        self.daemon.run_control(StoreReadEnded(now=self.daemon.now))

    def fail_reads(self, seconds, *, hears):
        """Fail to read at each interval, then read."""
        until = self.daemon.now + seconds
        while self.daemon.now < until:
            failed = StoreReadFailed(now=self.daemon.now, reason="no answer")
            self.daemon.run_control(failed)
            if hears:
                self.hear_read()
            self.pass_time(min(INTERVAL_SECONDS, until - self.daemon.now))
        self.read()

    def pass_time(self, seconds):
        """Let time pass, with a tick at its end."""
        self.daemon.now += seconds
        self.daemon.tick()

    def remove(self):
        """Read that the entry of i-1 is removed."""
        self.daemon.remove("i-1", offset=9)

    def is_removed(self):
        """Return whether i-1 may get no requests."""
        return "i-1" not in self.daemon.list_eligible()
