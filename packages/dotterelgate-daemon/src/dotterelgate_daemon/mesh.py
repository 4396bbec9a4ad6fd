"""Exchanges datagrams between the daemons that share their view of the load."""

from __future__ import annotations

import random
import socket
import time
from typing import TYPE_CHECKING

import msgspec
import structlog

from dotterelgate_border.datagrams import (
    Heartbeat,
    LoadEntry,
    LoadUpdate,
    RelayRequest,
    decode_datagram,
    encode_datagram,
)
from dotterelgate_core.heartbeats import plan_heartbeats
from dotterelgate_core.owners import find_owner, list_owners, select_listeners
from dotterelgate_core.relaying import plan_relays
from dotterelgate_core.sharing import (
    HeartbeatReceived,
    find_remote_interval_factor,
)
from dotterelgate_daemon.load_messages import (
    build_announcement,
    build_load_entry,
    build_remote_entry,
    read_load_update,
)
from dotterelgate_daemon.polling import Watch
from dotterelgate_daemon.socket_options import bind_to

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.metrics import Metrics
    from dotterelgate_daemon.polling import DirectPoller
    from dotterelgate_daemon.timers import TimerService

__all__ = ["Mesh"]

logger = structlog.get_logger("mesh")

RECEIVE_BYTES = 65_535
READS_PER_EVENT = 128
# Changed request counts are sent at once; those of one pass of the loop share datagrams.
FLUSH_SECONDS = 0.001
# Reports that only a probe brought may wait, so that several share a datagram.
REPORT_FLUSH_SECONDS = 0.008
# Older reports are not relayed to other zones; the next probe brings a newer one.
MAX_RELAYED_AGE_SECONDS = 0.1
# With many peers in other zones, loads are relayed to them half as often; a zone of that
# size seldom needs backend servers of other zones.
MAX_RELAY_INTERVAL_FACTOR = 2
MILLISECONDS = 1000


class Mesh:
    """Sends datagrams to the other daemons and receives theirs; a lost one only delays data.

    :param address: address on which this daemon receives datagrams
    :param emit: runs a message through the control pipeline
    """

    channel = "mesh"

    def __init__(
        self,
        *,
        address: str,
        incarnation: str,
        state: DaemonState,
        poller: DirectPoller,
        timers: TimerService,
        metrics: Metrics,
        emit: Callable[[Message], None],
    ) -> None:
        self.address = address
        self.on_message: Callable[[Datagram], None] = lambda message: None
        self._incarnation = incarnation
        self._state = state
        self._timers = timers
        self._metrics = metrics
        self._sent_bytes = metrics.control_bytes.labels(channel="mesh")
        self._emit = emit
        self._random = random.Random()
        self._heartbeats = 0
        self._relay_count = 0
        self._has_announced_stop = False
        self._announced_can_decide = False
        self._flush_at = float("inf")
        self._failed_sends = 0
        self._socket = self._bind(address)
        watch = Watch(read=self._read, write=_ignore, lost=_ignore)
        poller.watch(self, self._socket, watch)

    def note_changes(self) -> None:
        """Schedule sending the changed loads."""
        servers = self._state.servers
        now = time.monotonic()
        if servers.changed:
            due = now + FLUSH_SECONDS
        elif servers.sampled:
            due = now + REPORT_FLUSH_SECONDS
        else:
            return
        if due < self._flush_at - FLUSH_SECONDS:
            self._flush_at = due
            self._timers.call_after(delay=due - now, call=self._flush)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the peers whose turn it is.

        A daemon that stops notifies all at once, as one that starts does with its first
        heartbeats; one that can or cannot decide any more notifies its zone.
        """
        state = self._state
        announces_stop = state.peers.leaving and not self._has_announced_stop
        self._has_announced_stop = self._has_announced_stop or announces_stop
        announces_change = state.can_decide != self._announced_can_decide
        self._announced_can_decide = state.can_decide
        planned = plan_heartbeats(
            state,
            time.monotonic(),
            self._heartbeats,
            to_all=announces_stop,
            to_zone=announces_change,
        )
        self._heartbeats += 1
        encoded: dict[tuple[bool, float], bytes] = {}
        for each in planned:
            key = (each.peer.zone == state.zone, each.interval)
            if key not in encoded:
                counts, interval = key
                message = self._build_heartbeat(counts=counts, interval=interval)
                encoded[key] = encode_datagram(message)
            self.send(each.peer.address, encoded[key])

    def announce_change(self) -> None:
        """Send heartbeats at once if this daemon can decide since the last ones, or cannot."""
        if self._state.can_decide != self._announced_can_decide:
            self.send_heartbeats()

    def relay(self) -> None:
        """Send the loads of the own zone to the owners of each other zone."""
        now = time.monotonic()
        state = self._state
        self._relay_count += 1
        if self._relay_count % min(find_remote_interval_factor(state), MAX_RELAY_INTERVAL_FACTOR):
            return
        zones = {peer.zone for peer in state.peers.listed.values()} - {state.zone}
        for service, pool in state.servers.by_service.items():
            if find_owner(state, service, now) != state.name:
                continue
            loads = [build_remote_entry(each, now) for each in pool if _is_recent(each, state, now)]
            if loads:
                self._relay(service, loads, zones, now)

    def _relay(self, service: str, loads: list[LoadEntry], zones: set[str], now: float) -> None:
        state = self._state
        update = LoadUpdate(
            sender=state.name, incarnation=self._incarnation, loads=loads, is_remote_zone=True
        )
        data = encode_datagram(update)
        for zone in zones:
            for name in list_owners(state, service, now, zone)[:1]:
                self.send(state.peers.listed[name].address, data)

    def send_first_heartbeat(self, address: str) -> None:
        """Send a heartbeat that requests one in reply."""
        message = self._build_heartbeat(counts=False, wants_reply=True)
        self.send(address, encode_datagram(message))

    def send(self, address: str, data: bytes) -> None:
        """Send bytes; what the kernel does not accept is dropped and counted."""
        host, port = address.rsplit(":", 1)
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            self._failed_sends += 1
            self._metrics.datagrams_dropped.inc()
            if self._failed_sends == 1:
                logger.warning(
                    "mesh: a datagram could not be sent", address=address, reason=str(error)
                )
            return
        self._failed_sends = 0
        self._sent_bytes.inc(len(data))

    def send_message(self, address: str, message: Datagram) -> None:
        """Send one message."""
        self.send(address, encode_datagram(message))

    def send_to_all(self, addresses: list[str], data: bytes) -> None:
        """Send an encoded message to many peers; some relay a long one to others."""
        for group in plan_relays(addresses, len(data), self._random):
            if group.receivers:
                request = RelayRequest(
                    sender=self._state.name, receivers=list(group.receivers), body=data
                )
                self.send(group.relay, encode_datagram(request))
            else:
                self.send(group.relay, data)

    @staticmethod
    def _bind(address: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        bind_to(sock, address)
        return sock

    def _build_heartbeat(
        self, *, counts: bool, wants_reply: bool = False, interval: float = 0.0
    ) -> Heartbeat:
        state = self._state
        servers = state.servers.states.items() if counts else ()
        return Heartbeat(
            sender=state.name,
            incarnation=self._incarnation,
            address=self.address,
            zone=state.zone,
            is_leaving=state.peers.leaving,
            revision=state.configuration.revision,
            in_flight={name: each.in_flight for name, each in servers if each.in_flight},
            wants_reply=wants_reply,
            can_decide=state.can_decide,
            interval_ms=round(interval * MILLISECONDS),
            votes=state.shares.votes if counts else {},
            cold_ms=build_announcement(state, time.monotonic()) if counts else {},
        )

    def _flush(self) -> None:
        self._flush_at = float("inf")
        servers = self._state.servers
        changed = servers.changed | servers.sampled
        now = time.monotonic()
        states = self._state.servers.states
        servers.changed.clear()
        servers.sampled.clear()
        by_listener: dict[str, list[LoadEntry]] = {}
        for name in changed:
            server = states.get(name)
            if server is None:
                continue
            entry = build_load_entry(server, now)
            for listener in select_listeners(self._state, server.service, now):
                by_listener.setdefault(listener, []).append(entry)
        for listener, loads in by_listener.items():
            update = LoadUpdate(sender=self._state.name, incarnation=self._incarnation, loads=loads)
            self.send_message(self._state.peers.listed[listener].address, update)

    def _read(self) -> None:
        for _ in range(READS_PER_EVENT):
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("mesh: a datagram could not be received", reason=str(error))
                return
            self._handle(data)

    def _handle(self, data: bytes, *, is_relayed: bool = False) -> None:
        try:
            message = decode_datagram(data)
        except msgspec.MsgspecError as error:
            logger.warning("mesh: a datagram is not valid", reason=str(error))
            return
        if message.sender == self._state.name:
            return
        if isinstance(message, RelayRequest):
            self._relay_message(message, is_relayed=is_relayed)
        elif isinstance(message, LoadUpdate):
            self._emit(read_load_update(message, time.monotonic()))
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(message)
        else:
            self.on_message(message)

    def _relay_message(self, request: RelayRequest, *, is_relayed: bool) -> None:
        if is_relayed:
            logger.warning("mesh: a message to relay holds another one", peer=request.sender)
            return
        for address in request.receivers:
            self.send(address, request.body)
        self._handle(request.body, is_relayed=True)

    def _handle_heartbeat(self, message: Heartbeat) -> None:
        received = HeartbeatReceived(
            now=time.monotonic(),
            peer=message.sender,
            incarnation=message.incarnation,
            address=message.address,
            zone=message.zone,
            is_leaving=message.is_leaving,
            in_flight=message.in_flight,
            can_decide=message.can_decide,
            interval=message.interval_ms / MILLISECONDS,
            revision=message.revision,
            votes=message.votes,
            cold={name: each / MILLISECONDS for name, each in message.cold_ms.items()},
        )
        self._emit(received)
        if message.wants_reply:
            self.send_message(message.address, self._build_heartbeat(counts=True))
        self.on_message(message)


def _ignore() -> None:
    pass


def _is_recent(server: ServerState, state: DaemonState, now: float) -> bool:
    is_own_zone = server.server.zone == state.zone
    return is_own_zone and now - server.view.reported_at < MAX_RELAYED_AGE_SECONDS
