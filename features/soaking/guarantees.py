"""Guarantees of the system, checked against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soaking.callers import RequestResult

__all__ = ["Evidence", "Span", "check_guarantees"]

# Statuses that state that a request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# A leaving backend server gets no new work after this time from its entry (the platform's
# bound is 2 s from the store's answer).
LEAVING_SECONDS = 2.0
# A fault may have effects for this long after its end (the platform's stable window).
FAULT_EFFECT_SECONDS = 3.0
# A request that crosses the close of its connection may get no answer (the platform's loss-slack).
UNANSWERED_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class Span:
    """A time span in which something was disturbed.

    :param subject: name of a daemon, a link, or "all"
    """

    subject: str
    begun: float
    ended: float
    what: str


@dataclass
class Evidence:
    """What was recorded during a run.

    :param arrivals: ids and seconds of the requests that each backend server ran
    :param leavings: spans in which a backend server reported that it is leaving
    :param stops: planned stops of daemons
    :param faults: all other disturbances
    :param versions: configuration versions that each run of a daemon served, in order
    :param ended: daemons that ended by themselves
    :param late: what did not recover or end in time
    """

    results: list[RequestResult] = field(default_factory=list)
    arrivals: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    leavings: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    faults: list[Span] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)


def check_guarantees(evidence: Evidence) -> list[str]:
    """List each violated guarantee."""
    runs = Counter(each for arrivals in evidence.arrivals.values() for each, _ in arrivals)
    violations = [f"{each} ended by itself" for each in evidence.ended]
    violations += evidence.late
    for result in evidence.results:
        violations += check_request(evidence, result, runs[result.request_id])
    violations += check_leavings(evidence)
    for run, versions in evidence.versions.items():
        if versions != sorted(versions):
            violations.append(f"{run} returned to an older configuration: {versions}")
    return violations


def check_request(evidence: Evidence, result: RequestResult, ran: int) -> list[str]:
    """Check the answer to one request against how often it ran."""
    violations = []
    if result.problem:
        violations.append(f"{result.request_id}: {result.problem}")
    if result.path.startswith("/write"):
        if ran > 1:
            violations.append(f"{result.request_id}: a write ran {ran} times")
        if result.status in NOT_RUN_STATUSES and ran:
            violations.append(f"{result.request_id}: refused with {result.status}, but it ran")
    if result.status is None and ran and is_planned_only(evidence, result):
        violations.append(f"{result.request_id}: cut off by a planned stop of {result.daemon}")
    waited = result.ended - result.begun
    if result.status is None and not ran and waited > UNANSWERED_SECONDS:
        if is_planned_only(evidence, result):
            violations.append(
                f"{result.request_id}: waited {waited:.2f} s, and a planned stop of "
                f"{result.daemon} gave it no answer"
            )
    return violations


def is_planned_only(evidence: Evidence, result: RequestResult) -> bool:
    """Return whether only a planned stop can have cut a request off."""
    is_stop = any(
        overlaps(stop, result.begun, result.ended, result.daemon) for stop in evidence.stops
    )
    return is_stop and not any(
        fault.begun <= result.ended and result.begun <= fault.ended + FAULT_EFFECT_SECONDS
        for fault in evidence.faults
    )


def overlaps(span: Span, begun: float, ended: float, subject: str) -> bool:
    """Return whether a span of this subject overlaps a time."""
    return span.subject == subject and span.begun <= ended and begun <= span.ended


def check_leavings(evidence: Evidence) -> list[str]:
    """Check that a leaving backend server gets no new work, except around faults."""
    violations = []
    for leaving in evidence.leavings:
        for request_id, at in evidence.arrivals.get(leaving.subject, []):
            is_late = leaving.begun + LEAVING_SECONDS < at < leaving.ended
            is_disturbed = any(
                fault.begun <= at and leaving.begun <= fault.ended + FAULT_EFFECT_SECONDS
                for fault in evidence.faults
            )
            if is_late and not is_disturbed:
                violations.append(
                    f"{request_id} went to {leaving.subject}, "
                    f"{at - leaving.begun:.2f} s after it reported that it is leaving"
                )
    return violations
