"""A backend server's load according to its reports and to other daemons."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

__all__ = ["LoadReport", "LoadView"]

# Slowdowns caused by neighbouring VMs last about this long (the platform's site files
# draw a new one every 150 ms).
SLOWDOWN_MEMORY_SECONDS = 0.15
# A peer repeats nonzero counts with each heartbeat; those of a stopped peer expire.
PEER_COUNT_SECONDS = 1.5
# Requests in a report that come from other availability zones are assumed to have
# ended after this long, the usual time of a request.
UNATTRIBUTED_SECONDS = 0.3
# Smoothing weights of one answer.
PACE_WEIGHT = 0.2
FAILURE_WEIGHT = 0.25
# Pace and share of failures decay, so that the backend server is tried again.
DECAY_SECONDS = 3.0
PACE_LIMIT = 6.0
# An idle connection is assumed usable for this long: the platform's backend servers
# close it after 10 s.
CONNECTION_REUSE_SECONDS = 8.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The load that a backend server reports.

    :param running: requests that it runs
    :param waiting: requests in its queue
    :param slots: requests that it runs concurrently
    :param slowdown: current duration of work on its VM relative to the usual one
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(kw_only=True, slots=True)
class LoadView:
    """Load of one backend server besides this daemon's own requests.

    :param peers: requests that each peer has at it, and when the peer reported them
    :param report: the newest report
    :param reported_at: monotonic second of that report
    :param unattributed: requests of the report beyond those of this daemon and its peers
    :param pace: smoothed ratio of measured to usual time
    :param failure_share: smoothed share of requests that failed
    :param learned_at: monotonic second of the last change of ``pace`` or ``failure_share``
    :param has_unsent_report: whether the report has not been sent to peers yet
    :param has_unsent_failure: whether a failure has not been sent to peers yet
    :param granted_at: monotonic second at which each peer's last request was granted
    :param unsent_pace: newest ratio, if it has not been sent to peers yet
    """

    peers: dict[str, tuple[int, float]] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    unattributed: int = 0
    pace: float = 1.0
    failure_share: float = 0.0
    learned_at: float = float("-inf")
    has_unsent_report: bool = False
    has_unsent_failure: bool = False
    unsent_pace: float | None = None
    granted_at: dict[str, float] = field(default_factory=dict)

    def count_others(self) -> int:
        """Count the requests at the backend server that are not this daemon's."""
        return self.unattributed + sum(count for count, _ in self.peers.values())

    def apply_report(self, report: LoadReport, own: int, at: float) -> None:
        """Apply a report unless a newer one was applied.

        :param own: requests that this daemon has at the backend server
        :param at: monotonic second of the report
        """
        if at < self.reported_at:
            return
        attributed = own + sum(count for count, _ in self.peers.values())
        self.report = report
        self.reported_at = at
        self.unattributed = max(0, report.running + report.waiting - attributed)

    def set_peer_count(self, peer: str, count: int, now: float) -> None:
        """Set how many requests a peer has at the backend server."""
        if count:
            self.peers[peer] = (count, now)
        else:
            self.peers.pop(peer, None)

    def add_peer_request(self, peer: str, now: float) -> None:
        """Count one request more for a peer than it reported."""
        count, _ = self.peers.get(peer, (0, now))
        self.peers[peer] = (count + 1, now)
        self.granted_at[peer] = now

    def is_connected(self, peer: str, now: float) -> bool:
        """Return whether a peer probably has an idle connection from an earlier request."""
        busy = peer in self.peers
        return (
            not busy and now - self.granted_at.get(peer, float("-inf")) < CONNECTION_REUSE_SECONDS
        )

    def remove_stale_counts(self, now: float) -> bool:
        """Remove counts that no peer repeated.

        :returns: whether slots may have become free
        """
        if not self.peers and not self.unattributed:
            return False
        before = self.count_others()
        stale = [name for name, (_, at) in self.peers.items() if now - at > PEER_COUNT_SECONDS]
        for name in stale:
            del self.peers[name]
        if now - self.reported_at > UNATTRIBUTED_SECONDS:
            self.unattributed = 0
        return self.count_others() < before

    def update_pace(self, ratio: float, now: float) -> None:
        """Update the pace with the ratio of an answer's time to the usual time."""
        self._decay(now)
        self.pace += PACE_WEIGHT * (min(ratio, PACE_LIMIT) - self.pace)

    def update_failure_share(self, *, failed: bool, now: float) -> None:
        """Update the share of failures with the outcome of a request."""
        self._decay(now)
        self.failure_share += FAILURE_WEIGHT * (float(failed) - self.failure_share)

    def estimate_slowdown(self, now: float, usual: float) -> float:
        """Estimate the slowdown for work that starts now.

        :param usual: mean slowdown over all backend servers
        """
        if self.report is None:
            return usual
        fresh = exp(-max(0.0, now - self.reported_at) / SLOWDOWN_MEMORY_SECONDS)
        return usual + (self.report.slowdown - usual) * fresh

    def estimate_pace(self, now: float) -> float:
        """Estimate the lasting slowness of the backend server itself, at least 1."""
        return 1.0 + max(0.0, self.pace - 1.0) * self._compute_decay(now)

    def estimate_failure_share(self, now: float) -> float:
        """Estimate the share of requests that fail, 0 to 1."""
        return self.failure_share * self._compute_decay(now)

    def _compute_decay(self, now: float) -> float:
        return exp(-max(0.0, now - self.learned_at) / DECAY_SECONDS)

    def _decay(self, now: float) -> None:
        weight = self._compute_decay(now)
        self.pace = 1.0 + (self.pace - 1.0) * weight
        self.failure_share *= weight
        self.learned_at = now
