"""How long backend servers are cold: by their entries, their answers, and what peers heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.messages import Decision
from dotterelgate_core.warm_up.limit import ENTRY_AGE_SECONDS

if TYPE_CHECKING:
    from dotterelgate_core.configuration import Service
    from dotterelgate_core.servers import ServerState

__all__ = [
    "apply_announcement",
    "apply_cold_answer",
    "apply_cold_entry",
    "apply_cold_peer",
    "follow_service",
    "is_limited_cold",
]


# A statement differs by less from one moment to the next because of delays on the way.
LENGTHENED_SECONDS = 0.5


def is_limited_cold(server: ServerState, now: float) -> bool:
    """Return whether a backend server is cold and its service limits cold ones."""
    return server.warm_up.rate > 0.0 and now < server.cold_until


def follow_service(server: ServerState, service: Service | None, now: float) -> None:
    """Take over the warm-up limit of a backend server's service."""
    warm_up = server.warm_up
    warm_up.rate = service.warm_up_rate if service is not None else 0.0
    warm_up.cold_seconds = service.warm_up_seconds if service is not None else 0.0
    if server.cold_until > now:
        server.cold_until = now + warm_up.limit_seconds(server.cold_until - now)


def apply_cold_entry(server: ServerState, seconds: float, now: float) -> list[Decision]:
    """Apply what the entry of a backend server says, unless a recent answer says it.

    :returns: a log line for a change
    """
    if seconds <= 0.0 or now - server.warm_up.stated_at < ENTRY_AGE_SECONDS:
        return []
    return _set_cold(server, seconds, now, "its entry")


def apply_cold_answer(server: ServerState, seconds: float | None, now: float) -> list[Decision]:
    """Apply what an answer says.

    :param seconds: for how long it is cold, ``None`` where the answer does not say it; a
        server that said it before is then warm
    :returns: a log line for a change
    """
    warm_up = server.warm_up
    if seconds is None:
        if warm_up.stated_at == float("-inf"):
            return []
        seconds = 0.0
    warm_up.stated_at = now
    changes = _set_cold(server, seconds, now, "its answer")
    # Repeated with each answer while cold, since a message to a peer may be lost.
    warm_up.is_unsent = warm_up.is_unsent or bool(changes) or now < server.cold_until
    return changes


def apply_cold_peer(
    server: ServerState, seconds: float, now: float, *, age: float, peer: str
) -> list[Decision]:
    """Apply what a peer heard, unless a newer statement is known.

    :param age: seconds since the answer that said it
    :returns: a log line for a change
    """
    warm_up = server.warm_up
    if now - age < warm_up.stated_at:
        return []
    warm_up.stated_at = now - age
    return _set_cold(server, seconds, now, peer)


def apply_announcement(
    server: ServerState, seconds: float, now: float, *, peer: str
) -> list[Decision]:
    """Apply what a heartbeat says, unless a recent statement of the server is known.

    Only owners get load updates; this is how the other daemons of the zone learn it.
    """
    if now - server.warm_up.stated_at < ENTRY_AGE_SECONDS:
        return []
    return _set_cold(server, seconds, now, peer)


def _set_cold(server: ServerState, seconds: float, now: float, source: str) -> list[Decision]:
    was_cold = now < server.cold_until
    until = now + server.warm_up.limit_seconds(seconds)
    if until > max(now, server.cold_until + LENGTHENED_SECONDS):
        server.warm_up.lengthened_at = now
    server.cold_until = until
    is_cold = now < server.cold_until
    if was_cold == is_cold:
        return []
    server.warm_up.begin(now)
    name = server.server.name
    sentence = f"{name} is warm"
    if is_cold:
        rate = server.warm_up.rate
        limit = f"; it takes {rate:g} requests a second" if rate else ""
        sentence = f"{name} is cold for {server.cold_until - now:.1f} s{limit}"
    return [
        Decision(
            part="warm-up",
            sentence=f"{sentence} (from {source})",
            service=server.service,
            target=name,
        )
    ]
