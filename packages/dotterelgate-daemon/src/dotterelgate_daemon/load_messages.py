"""Load updates between daemons: what they say of each backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_border.datagrams import LoadEntry, LoadUpdate, ServerStatements
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.sharing import LoadsReceived, ServerLoad
from dotterelgate_core.statements import PeerStatements

if TYPE_CHECKING:
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["build_announcement", "build_load_entry", "build_remote_entry", "read_load_update"]

PERCENT = 100
MILLISECONDS = 1000
# Other zones are told for this long that a backend server is warm; a message may be lost.
COLDNESS_REPEAT_SECONDS = 1.0


def build_announcement(state: DaemonState, now: float) -> dict[str, int]:
    """Build what a heartbeat says of cold backend servers: milliseconds by name."""
    servers = state.servers.states
    return {
        name: int(max(0.0, servers[name].cold_until - now) * MILLISECONDS)
        for name in state.shares.announced
        if name in servers
    }


def build_load_entry(server: ServerState, now: float) -> LoadEntry:
    """Build a backend server's entry for peers, and mark its new data as sent."""
    view = server.view
    report = view.report if view.has_unsent_report else None
    entry = LoadEntry(
        server=server.server.name,
        in_flight=server.in_flight,
        running=-1 if report is None else report.running,
        waiting=0 if report is None else report.waiting,
        slots=0 if report is None else report.slots,
        slowdown_percent=PERCENT if report is None else int(report.slowdown * PERCENT),
        age_ms=int((now - view.reported_at) * MILLISECONDS) if report is not None else 0,
        failed=view.has_unsent_failure,
        pace_percent=int(view.unsent_pace * PERCENT) if view.unsent_pace is not None else 0,
        statements=_build_statements(
            server,
            now,
            has_limit=server.limit.is_unsent,
            has_coldness=server.warm_up.is_unsent,
            pause=max(0.0, server.pauses.get(None, 0.0) - now),
        ),
    )
    view.has_unsent_report = False
    view.has_unsent_failure = False
    view.unsent_pace = None
    server.limit.is_unsent = False
    server.warm_up.is_unsent = False
    return entry


def build_remote_entry(server: ServerState, now: float) -> LoadEntry:
    """Build a backend server's entry for another zone, with its total load."""
    report = server.view.report
    return LoadEntry(
        server=server.server.name,
        in_flight=0,
        running=server.count_load(),
        slots=server.server.slots,
        slowdown_percent=PERCENT if report is None else int(report.slowdown * PERCENT),
        age_ms=int((now - server.view.reported_at) * MILLISECONDS),
        statements=_build_statements(
            server,
            now,
            has_limit=server.limit.stated_at > float("-inf"),
            has_coldness=_is_coldness_recent(server, now),
        ),
    )


def _build_statements(
    server: ServerState, now: float, *, has_limit: bool, has_coldness: bool, pause: float = 0.0
) -> ServerStatements | None:
    if not (has_limit or has_coldness or server.reports_leaving or pause):
        return None
    cold_age = now - server.warm_up.stated_at
    return ServerStatements(
        born=server.server.born,
        is_leaving=server.reports_leaving,
        limit=server.limit.rate if has_limit else None,
        limit_age_ms=int((now - server.limit.stated_at) * MILLISECONDS) if has_limit else 0,
        pause_ms=int(pause * MILLISECONDS),
        cold_ms=int(max(0.0, server.cold_until - now) * MILLISECONDS) if has_coldness else -1,
        cold_age_ms=int(cold_age * MILLISECONDS) if has_coldness else 0,
    )


def _is_coldness_recent(server: ServerState, now: float) -> bool:
    """Return whether other zones need to be told for how long a backend server is cold."""
    warm_up = server.warm_up
    if warm_up.stated_at == float("-inf"):
        return False
    return now < server.cold_until + COLDNESS_REPEAT_SECONDS


def read_load_update(message: LoadUpdate, now: float) -> LoadsReceived:
    """Convert a peer's update to a message of the control pipeline."""
    loads = tuple(_read_load(entry) for entry in message.loads)
    return LoadsReceived(
        now=now, peer=message.sender, loads=loads, is_remote_zone=message.is_remote_zone
    )


def _read_load(entry: LoadEntry) -> ServerLoad:
    report = None
    if entry.running >= 0:
        report = LoadReport(
            running=entry.running,
            waiting=entry.waiting,
            slots=entry.slots,
            slowdown=entry.slowdown_percent / PERCENT,
        )
    return ServerLoad(
        server=entry.server,
        in_flight=entry.in_flight,
        report=report,
        age=entry.age_ms / MILLISECONDS,
        failed=entry.failed,
        pace=entry.pace_percent / PERCENT if entry.pace_percent else None,
        statements=_read_statements(entry.statements),
    )


def _read_statements(statements: ServerStatements | None) -> PeerStatements | None:
    if statements is None:
        return None
    return PeerStatements(
        born=statements.born,
        is_leaving=statements.is_leaving,
        limit=statements.limit,
        limit_age=statements.limit_age_ms / MILLISECONDS,
        pause=statements.pause_ms / MILLISECONDS,
        cold_seconds=statements.cold_ms / MILLISECONDS if statements.cold_ms >= 0 else None,
        cold_age=statements.cold_age_ms / MILLISECONDS,
    )
