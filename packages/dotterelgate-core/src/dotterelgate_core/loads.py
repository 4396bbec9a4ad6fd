"""What reports and other daemons say of a backend server's load."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

__all__ = ["LoadReport", "LoadView"]

# Spans of slow work that neighbours cause last about this long (the platform's
# site files: a new draw every 150 ms).
SLOWDOWN_MEMORY_SECONDS = 0.15
# A peer repeats counts above zero at its heartbeat; one that stopped lets go.
PEER_COUNT_SECONDS = 1.5
# Requests of other availability zones that a report showed are reckoned to have
# ended after this long, a usual request's time.
UNEXPLAINED_SECONDS = 0.3
# Weight of one answer in the pace and in the share of failures.
PACE_WEIGHT = 0.2
FAILURE_WEIGHT = 0.25
# What was learned of a backend server fades, so that it is tried again.
FADING_SECONDS = 3.0
PACE_LIMIT = 6.0
# Connections are used again for about so long: the platform's backend servers close idle
# ones after 10 s.
CONNECTED_SECONDS = 8.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A backend server's own figures.

    :param running: requests that it works on
    :param waiting: requests in its queue
    :param slots: requests that it works on at once
    :param slowdown: how many times longer than usual work takes on its VM now
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(kw_only=True, slots=True)
class LoadView:
    """Load of one backend server besides this daemon's own requests.

    :param peers: requests that each peer has at it, and when the peer said so
    :param report: the newest report
    :param reported_at: monotonic second of that report
    :param unexplained: requests of the report that no known daemon accounts for
    :param pace: smoothed ratio of measured to usual time
    :param failing: smoothed share of requests that failed
    :param learned_at: monotonic second of the last change of the two
    :param is_untold: whether the report is not told to peers yet
    :param untold_failure: whether a failure is not told to peers yet
    :param granted_at: monotonic second at which each peer's last request was granted
    :param untold_pace: newest ratio that is not told to peers yet
    """

    peers: dict[str, tuple[int, float]] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    unexplained: int = 0
    pace: float = 1.0
    failing: float = 0.0
    learned_at: float = float("-inf")
    is_untold: bool = False
    untold_failure: bool = False
    untold_pace: float | None = None
    granted_at: dict[str, float] = field(default_factory=dict)

    def count_others(self) -> int:
        """Count the requests at the backend server that are not this daemon's."""
        return self.unexplained + sum(count for count, _ in self.peers.values())

    def note_report(self, report: LoadReport, own: int, at: float) -> None:
        """Take a report unless a newer one is known.

        :param own: requests that this daemon has at the backend server
        :param at: monotonic second of the report
        """
        if at < self.reported_at:
            return
        known = own + sum(count for count, _ in self.peers.values())
        self.report = report
        self.reported_at = at
        self.unexplained = max(0, report.running + report.waiting - known)

    def note_peer(self, peer: str, count: int, now: float) -> None:
        """Take how many requests a peer has at the backend server."""
        if count:
            self.peers[peer] = (count, now)
        else:
            self.peers.pop(peer, None)

    def add_peer_request(self, peer: str, now: float) -> None:
        """Count one request more of a peer than it said."""
        count, _ = self.peers.get(peer, (0, now))
        self.peers[peer] = (count + 1, now)
        self.granted_at[peer] = now

    def is_connected(self, peer: str, now: float) -> bool:
        """Tell whether a peer has an idle connection left of an earlier request, most likely."""
        busy = peer in self.peers
        return not busy and now - self.granted_at.get(peer, float("-inf")) < CONNECTED_SECONDS

    def forget_old(self, now: float) -> bool:
        """Let go of counts that nobody repeated.

        :returns: whether room may have come free
        """
        if not self.peers and not self.unexplained:
            return False
        before = self.count_others()
        stale = [name for name, (_, at) in self.peers.items() if now - at > PEER_COUNT_SECONDS]
        for name in stale:
            del self.peers[name]
        if now - self.reported_at > UNEXPLAINED_SECONDS:
            self.unexplained = 0
        return self.count_others() < before

    def note_pace(self, ratio: float, now: float) -> None:
        """Learn from the ratio of an answer's time to the usual time."""
        self._fade(now)
        self.pace += PACE_WEIGHT * (min(ratio, PACE_LIMIT) - self.pace)

    def note_outcome(self, *, failed: bool, now: float) -> None:
        """Learn from a request that ended well or failed."""
        self._fade(now)
        self.failing += FAILURE_WEIGHT * (float(failed) - self.failing)

    def estimate_slowdown(self, now: float, usual: float) -> float:
        """Estimate the slowdown that work started now meets.

        :param usual: mean slowdown over all backend servers
        """
        if self.report is None:
            return usual
        fresh = exp(-max(0.0, now - self.reported_at) / SLOWDOWN_MEMORY_SECONDS)
        return usual + (self.report.slowdown - usual) * fresh

    def estimate_pace(self, now: float) -> float:
        """Estimate the lasting slowness of the backend server itself, at least 1."""
        return 1.0 + max(0.0, self.pace - 1.0) * self._find_weight(now)

    def estimate_failing(self, now: float) -> float:
        """Estimate the share of requests that fail, 0 to 1."""
        return self.failing * self._find_weight(now)

    def _find_weight(self, now: float) -> float:
        return exp(-max(0.0, now - self.learned_at) / FADING_SECONDS)

    def _fade(self, now: float) -> None:
        weight = self._find_weight(now)
        self.pace = 1.0 + (self.pace - 1.0) * weight
        self.failing *= weight
        self.learned_at = now
