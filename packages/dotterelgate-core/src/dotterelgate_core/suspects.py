"""Requests under which backend servers ended, and how long they are refused."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ServerRun", "Suspect", "SuspectTable"]

# Two servers that end under the same request, and under no other, rarely do so by chance. Where
# another request was at both, a third server has to end.
ENDED_ALONE = 2
ENDED_TOGETHER = 3
# The first refusal ends after this time, each later one after twice as long: a release of the
# servers may mend it, and each end of a refusal may cost one more server.
REFUSAL_SECONDS = 60.0
MAX_REFUSAL_SECONDS = 3600.0
# A process that has ended refuses connections at once; a later refusal has another cause.
BREAK_SECONDS = 1.0
MAX_SUSPECTS = 1024
MAX_RUNS = 16
MAX_BROKEN = 256
# Probes of one server whose connections broke: the first ones may go out on such connections.
MAX_CHECKS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRun:
    """One run of a backend server.

    :param born: Unix millisecond of its start, 0 where its entry states none
    """

    name: str
    born: int


@dataclass(kw_only=True, slots=True)
class Suspect:
    """A request under which backend servers ended.

    :param ended: monotonic second at which each of them ended
    :param cleared_at: monotonic second at which a server answered it last
    """

    ended: dict[ServerRun, float] = field(default_factory=dict)
    cleared_at: float = float("-inf")

    def list_runs(self) -> list[ServerRun]:
        """List the servers that ended under it since it was answered last."""
        return [run for run, at in self.ended.items() if at > self.cleared_at]


@dataclass(kw_only=True, slots=True)
class SuspectTable:
    """Suspects by the identity of the request.

    :param broken: connections that broke under a request, by server: when, and the identity
    :param checks: probes that were to show whether such a server ended
    """

    suspects: dict[int, Suspect] = field(default_factory=dict)
    broken: dict[ServerRun, list[tuple[float, int]]] = field(default_factory=dict)
    checks: dict[ServerRun, int] = field(default_factory=dict)

    def note_broken(self, run: ServerRun, identity: int, now: float) -> None:
        """Note that the connection broke on which a server had a request."""
        for each in list(self.broken):
            self.broken[each] = [one for one in self.broken[each] if now - one[0] < BREAK_SECONDS]
            if not self.broken[each]:
                self.note_alive(each)
        noted = self.broken.setdefault(run, [])
        if len(noted) < MAX_BROKEN:
            noted.append((now, identity))

    def has_broken(self, run: ServerRun, now: float) -> bool:
        """Return whether a connection to a server broke just now, so that it may have ended."""
        return any(now - at < BREAK_SECONDS for at, _ in self.broken.get(run, ()))

    def begin_check(self, run: ServerRun) -> bool:
        """Return whether another probe may show whether a server ended, and count it."""
        checks = self.checks[run] = self.checks.get(run, 0) + 1
        return checks <= MAX_CHECKS

    def note_alive(self, run: ServerRun) -> None:
        """Note that a server has not ended: only connections broke."""
        self.broken.pop(run, None)
        self.checks.pop(run, None)

    def note_ended(self, run: ServerRun, now: float) -> list[int]:
        """Note that a server ended.

        :returns: identities of the requests that it had, with a new suspicion
        """
        noted = self.broken.pop(run, [])
        self.checks.pop(run, None)
        recent = dict.fromkeys(each for at, each in noted if now - at < BREAK_SECONDS)
        return [each for each in recent if self.add(each, run, now)]

    def add(self, identity: int, run: ServerRun, at: float) -> bool:
        """Note that a server ended while it had a request.

        :returns: whether that is new
        """
        suspect = self.suspects.pop(identity, None) or Suspect()
        # The suspect noted last is dropped last.
        self.suspects[identity] = suspect
        if len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        if run in suspect.ended or at <= suspect.cleared_at:
            return False
        suspect.ended[run] = at
        if len(suspect.ended) > MAX_RUNS:
            del suspect.ended[next(iter(suspect.ended))]
        return True

    def clear(self, identity: int, at: float) -> bool:
        """Note that a server answered a request, so that it ends none.

        :returns: whether it was a suspect
        """
        suspect = self.suspects.get(identity)
        if suspect is None or at <= suspect.cleared_at:
            return False
        was_suspected = bool(suspect.list_runs())
        suspect.cleared_at = at
        return was_suspected

    def list_suspected(self) -> list[int]:
        """List the identities of the requests that are suspected, those noted last at the end."""
        return [each for each, suspect in self.suspects.items() if suspect.list_runs()]

    def list_refused(self, now: float) -> list[int]:
        """List the identities of the requests that are refused."""
        return [each for each in self.suspects if self.find_refusal_end(each) > now]

    def list_current(self, now: float) -> list[int]:
        """List the identities of the requests that are refused or were cleared of late."""
        return [
            identity
            for identity, suspect in self.suspects.items()
            if now - suspect.cleared_at < REFUSAL_SECONDS or self.find_refusal_end(identity) > now
        ]

    def find_refusal_end(self, identity: int) -> float:
        """Return the monotonic second until which a request is refused."""
        suspect = self.suspects.get(identity)
        runs = suspect.list_runs() if suspect is not None else []
        if suspect is None or len(runs) < ENDED_ALONE:
            return float("-inf")
        if len(runs) < ENDED_TOGETHER and self._is_shared(identity, runs):
            return float("-inf")
        seconds = REFUSAL_SECONDS * 2 ** (len(runs) - ENDED_ALONE)
        return max(suspect.ended[run] for run in runs) + min(seconds, MAX_REFUSAL_SECONDS)

    def _is_shared(self, identity: int, runs: list[ServerRun]) -> bool:
        return any(
            other != identity and set(runs) <= set(suspect.list_runs())
            for other, suspect in self.suspects.items()
        )
