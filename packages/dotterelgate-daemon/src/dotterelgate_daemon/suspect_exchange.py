"""Shares between daemons which requests end backend servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_border.datagrams import (
    ConfigurationRequest,
    EndedRun,
    Heartbeat,
    RegistryRequest,
    SuspectEntry,
    SuspectUpdate,
    encode_datagram,
)
from dotterelgate_core.suspecting import (
    AnnounceSuspects,
    CheckServer,
    PeerSuspect,
    ServerCheckRequested,
    SuspectsReceived,
)
from dotterelgate_core.suspects import ServerRun

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.mesh import Mesh
    from dotterelgate_daemon.timers import TimerService

__all__ = ["REMINDER_SECONDS", "SuspectExchange"]

MILLISECONDS = 1000
# An update is sent again after these times, since datagrams may be lost.
REPEAT_SECONDS = (0.1, 0.5, 1.5)
# Each daemon reminds one peer this often, so each is reminded about twice a second: one that was
# cut off knows what is refused before the platform counts it as in touch again, after 3 s.
REMINDER_SECONDS = 0.48
# A daemon that starts gets the newest suspects, which fit into one datagram.
MAX_SENT = 64


class SuspectExchange:
    """Sends all peers the suspects that this daemon has evidence of, and feeds it theirs.

    :param emit: runs a message through the request pipeline
    :param emit_control: runs a message through the control pipeline
    :param random: chooses the peers that are reminded
    """

    def __init__(
        self,
        *,
        state: DaemonState,
        mesh: Mesh,
        timers: TimerService,
        emit: Callable[[Message], None],
        emit_control: Callable[[Message], None],
        random: Random,
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._timers = timers
        self._emit = emit
        self._emit_control = emit_control
        self._random = random
        self._incarnations: dict[str, str] = {}
        self.sinks: dict[type, Callable[[Message], None]] = {
            AnnounceSuspects: self._announce,
            CheckServer: self._check,
        }

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        if isinstance(message, SuspectUpdate):
            self._emit(_read_update(message, time.monotonic()))
        elif isinstance(message, Heartbeat) and self._is_new_run(message):
            self._send_known(message.address)
        elif isinstance(message, (ConfigurationRequest, RegistryRequest)):
            # A daemon that starts while the store is away serves with what peers send it.
            self._send_known(message.address)

    def remind(self) -> None:
        """Send one peer the requests that are refused, since it may have missed the updates."""
        current = self._state.suspects.list_current(time.monotonic())[-MAX_SENT:]
        peers = list(self._state.peers.listed.values())
        if current and peers:
            peer = self._random.choice(peers)
            self._mesh.send_message(peer.address, self._build_update(current))

    def _is_new_run(self, heartbeat: Heartbeat) -> bool:
        known = self._incarnations.get(heartbeat.sender)
        self._incarnations[heartbeat.sender] = heartbeat.incarnation
        return known != heartbeat.incarnation or heartbeat.wants_reply

    def _send_known(self, address: str) -> None:
        known = self._state.suspects.list_suspected()[-MAX_SENT:]
        if known:
            self._mesh.send_message(address, self._build_update(known))

    def _announce(self, order: AnnounceSuspects) -> None:
        def send() -> None:
            known = [each for each in order.identities if each in self._state.suspects.suspects]
            if not known:
                return
            addresses = [each.address for each in self._state.peers.listed.values()]
            self._mesh.send_to_all(addresses, encode_datagram(self._build_update(known)))

        send()
        for delay in REPEAT_SECONDS:
            self._timers.call_after(delay=delay, call=send)

    def _check(self, order: CheckServer) -> None:
        def emit() -> None:
            message = ServerCheckRequested(
                now=time.monotonic(), wall=time.time(), server=order.server
            )
            self._emit_control(message)

        # The probe may end at once, which runs the request pipeline.
        self._timers.call_after(delay=0.0, call=emit)

    def _build_update(self, identities: list[int]) -> SuspectUpdate:
        entries = [self._build_entry(each, time.monotonic()) for each in identities]
        return SuspectUpdate(sender=self._state.name, suspects=entries)

    def _build_entry(self, identity: int, now: float) -> SuspectEntry:
        suspect = self._state.suspects.suspects[identity]
        is_cleared = suspect.cleared_at > float("-inf")
        return SuspectEntry(
            identity=identity,
            ended=[
                EndedRun(
                    name=run.name,
                    born=run.born,
                    age_ms=int((now - suspect.ended[run]) * MILLISECONDS),
                )
                for run in suspect.list_runs()
            ],
            cleared_ms=int((now - suspect.cleared_at) * MILLISECONDS) if is_cleared else -1,
        )


def _read_update(update: SuspectUpdate, now: float) -> SuspectsReceived:
    suspects = tuple(
        PeerSuspect(
            identity=each.identity,
            ended=tuple(
                (ServerRun(name=run.name, born=run.born), run.age_ms / MILLISECONDS)
                for run in each.ended
            ),
            cleared=each.cleared_ms / MILLISECONDS if each.cleared_ms >= 0 else None,
        )
        for each in update.suspects
    )
    return SuspectsReceived(now=now, peer=update.sender, suspects=suspects)
