"""Guarantees of the system, checked against what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soaking.callers import Told

__all__ = ["Evidence", "Span", "check_promises"]

# Statuses that state that a request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# A leaving backend server gets no new work after this time from its entry (the platform's
# bound is 2 s from the store's answer).
LEAVING_SECONDS = 2.0
# A fault may have effects for this long after its end (the platform's stable window).
AFTERMATH_SECONDS = 3.0


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

    told: list[Told] = field(default_factory=list)
    arrivals: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    leavings: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    faults: list[Span] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)


def check_promises(evidence: Evidence) -> list[str]:
    """List each violated guarantee."""
    runs = Counter(each for arrivals in evidence.arrivals.values() for each, _ in arrivals)
    broken = [f"{each} ended by itself" for each in evidence.ended]
    broken += evidence.late
    for told in evidence.told:
        broken += check_request(evidence, told, runs[told.request_id])
    broken += check_leavings(evidence)
    for run, versions in evidence.versions.items():
        if versions != sorted(versions):
            broken.append(f"{run} went back to an older configuration: {versions}")
    return broken


def check_request(evidence: Evidence, told: Told, ran: int) -> list[str]:
    """Check the answer to one request against how often it ran."""
    broken = []
    if told.problem:
        broken.append(f"{told.request_id}: {told.problem}")
    if told.path.startswith("/write"):
        if ran > 1:
            broken.append(f"{told.request_id}: a write ran {ran} times")
        if told.status in NOT_RUN_STATUSES and ran:
            broken.append(f"{told.request_id}: told {told.status}, but it ran")
    if told.status is None and ran and is_planned_only(evidence, told):
        broken.append(f"{told.request_id}: cut off by a planned stop of {told.daemon}")
    return broken


def is_planned_only(evidence: Evidence, told: Told) -> bool:
    """Return whether only a planned stop can have cut a request off."""
    is_stop = any(overlaps(stop, told.begun, told.ended, told.daemon) for stop in evidence.stops)
    return is_stop and not any(
        fault.begun <= told.ended and told.begun <= fault.ended + AFTERMATH_SECONDS
        for fault in evidence.faults
    )


def overlaps(span: Span, begun: float, ended: float, subject: str) -> bool:
    """Return whether a span of this subject overlaps a time."""
    return span.subject == subject and span.begun <= ended and begun <= span.ended


def check_leavings(evidence: Evidence) -> list[str]:
    """Check that a leaving backend server gets no new work, except around faults."""
    broken = []
    for leaving in evidence.leavings:
        for request_id, at in evidence.arrivals.get(leaving.subject, []):
            is_late = leaving.begun + LEAVING_SECONDS < at < leaving.ended
            disturbed = any(
                fault.begun <= at and leaving.begun <= fault.ended + AFTERMATH_SECONDS
                for fault in evidence.faults
            )
            if is_late and not disturbed:
                broken.append(
                    f"{request_id} went to {leaving.subject}, "
                    f"{at - leaving.begun:.2f} s after it reported that it is leaving"
                )
    return broken
