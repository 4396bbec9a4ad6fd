"""One daemon put together from its parts."""

from __future__ import annotations

import random
import signal
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog
from circuits import Component, handler

from dotterelgate_core.control import CONFIGURATION_RESOURCE, make_control_pipeline
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.peers import PeerTable
from dotterelgate_core.probing import MEASURING_RESOURCES
from dotterelgate_core.state import DaemonState, Limits, LogPosition
from dotterelgate_daemon.callers import CallerGate
from dotterelgate_daemon.endpoint import Endpoint, serve_endpoint
from dotterelgate_daemon.exchanges import PoolTable
from dotterelgate_daemon.explanation import describe_daemon, explain_route
from dotterelgate_daemon.following import Follower
from dotterelgate_daemon.gateway import Gateway
from dotterelgate_daemon.handing import KeyHanding
from dotterelgate_daemon.journal import make_decision_writer
from dotterelgate_daemon.links import LinkService
from dotterelgate_daemon.measuring import Prober
from dotterelgate_daemon.metrics import Metrics
from dotterelgate_daemon.peering import Peering
from dotterelgate_daemon.platform import LogClient, PlatformClient, VmListClient
from dotterelgate_daemon.stopping import GracefulStop
from dotterelgate_daemon.streams import StreamService, make_poller
from dotterelgate_daemon.timers import PauseWatch, TimerService

if TYPE_CHECKING:
    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_border.settings import DaemonSettings

__all__ = ["Daemon", "build_daemon"]

logger = structlog.get_logger("assembly")

CALL_ID_BITS = 40
TICK_SECONDS = 0.05
CONTROL_TICK_SECONDS = 0.1
HOUSEKEEPING_SECONDS = 1.0
REMEMBERED_BODY_BYTES = 16_384
CONFIRM_INTERVAL_SECONDS = 60.0


@dataclass(kw_only=True)
class Parts:
    """The parts that the stop and the status need."""

    settings: DaemonSettings
    state: DaemonState
    position: LogPosition
    incarnation: str
    timers: TimerService
    streams: StreamService
    pools: PoolTable
    metrics: Metrics
    gateway: Gateway
    gate: CallerGate
    links: LinkService
    peering: Peering
    follower: Follower
    log: LogClient
    vms: VmListClient


class Daemon(Component):
    """Root component; runs until it is told to stop."""

    channel = "daemon"

    def __init__(self, *, parts: Parts) -> None:
        super().__init__()
        self.parts = parts
        self._stop = GracefulStop(parts=parts, finish=self.stop)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo: int, _frame: object) -> None:  # type: ignore[no-untyped-def]
        if signo in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self._stop.begin()


def build_daemon(settings: DaemonSettings) -> Daemon:
    """Build a daemon; it listens already but has read nothing.

    :raises OSError: when an address cannot be bound
    """
    parts = _build_parts(settings)
    daemon = Daemon(parts=parts)
    poller = parts.streams._poller
    for component in (poller, parts.timers, parts.streams, parts.links):
        component.register(daemon)
    endpoint = Endpoint(
        is_healthy=lambda: _is_healthy(parts),
        render_metrics=parts.metrics.render,
        describe=lambda: describe_daemon(parts.state, parts.position, parts.incarnation),
        explain=lambda method, host, path: explain_route(parts.state, method, host, path),
    )
    serve_endpoint(daemon, settings.endpoint, endpoint)
    _schedule(parts)
    return daemon


def _is_healthy(parts: Parts) -> bool:
    return parts.state.configuration.current is not None and not parts.state.peers.leaving


def _build_state(settings: DaemonSettings, incarnation: str) -> DaemonState:
    return DaemonState(
        name=settings.name,
        limits=Limits(
            key_ranges=settings.key_ranges,
            clock_error=settings.clock_error,
            holder_wait=settings.holder_wait,
        ),
        peers=PeerTable(name=settings.name),
        leases=LeaseTable(
            holder=settings.name,
            incarnation=incarnation,
            address=settings.peers,
            length=settings.lease_length,
        ),
        keys=KeyTable(retention=settings.key_retention, limit=settings.key_limit),
    )


def _build_parts(settings: DaemonSettings) -> Parts:
    incarnation = uuid.uuid4().hex[:12]
    state = _build_state(settings, incarnation)
    position = LogPosition(confirm_interval=CONFIRM_INTERVAL_SECONDS)
    write_decision = make_decision_writer(settings.name)
    poller = make_poller()
    timers = TimerService()
    watch = PauseWatch()
    timers.subscribe(interval=TICK_SECONDS, call=watch.beat)
    metrics = Metrics()
    streams = StreamService(poller=poller)
    pools = PoolTable(streams=streams)
    gateway = Gateway(
        name=settings.name,
        decide=make_request_pipeline(state, random.Random()),
        pools=pools,
        metrics=metrics,
        keep_limit=settings.kept_body_limit,
        remember_limit=REMEMBERED_BODY_BYTES,
        first_call_id=random.SystemRandom().getrandbits(CALL_ID_BITS) << 16,
        count_daemons=lambda: 1 + len(state.peers.listed),
        on_decision=write_decision,
        call_after=timers.call_after,
    )
    metrics.in_flight.set_function(lambda: len(gateway.pending))
    gate = CallerGate(
        streams=streams,
        gateway=gateway,
        head_limit=settings.head_limit,
        body_limit=settings.kept_body_limit,
        connection_limit=settings.caller_connections,
        watch=watch,
    )
    hearers: list = []
    links = LinkService(
        address=settings.peers,
        poller=poller,
        metrics=metrics,
        hear=lambda message: _hear(hearers, message),
    )
    peering = Peering(
        name=settings.name,
        incarnation=incarnation,
        gateway=gateway,
        links=links,
        peers=state.peers,
        clock_error=settings.clock_error,
    )
    keys = [f"keys/{number}" for number in range(settings.key_ranges)]
    resources = [*keys, *MEASURING_RESOURCES, CONFIGURATION_RESOURCE]
    follower = Follower(
        state=state,
        position=position,
        incarnation=incarnation,
        decide=make_control_pipeline(state, position, resources),
        links=links,
        metrics=metrics,
        free=gateway.run,
        choose=random.choice,
        on_decision=write_decision,
    )
    handing = KeyHanding(state=state, incarnation=incarnation, links=links, tell=follower.run)
    prober = Prober(pools=pools, timers=timers, metrics=metrics, tell=follower.run)
    follower.probe = prober.probe
    gateway.tell_leaving = follower.tell_leaving
    follower.send_offer = handing.send_offer
    follower.send_keys = handing.send_keys
    hearers.extend((peering.hear, follower.hear, handing.hear))
    log, vms = _build_platform(settings, pools, timers, metrics, follower)
    follower.log = log
    gate.open(settings.callers)
    return Parts(
        settings=settings,
        state=state,
        position=position,
        incarnation=incarnation,
        timers=timers,
        streams=streams,
        pools=pools,
        metrics=metrics,
        gateway=gateway,
        gate=gate,
        links=links,
        peering=peering,
        follower=follower,
        log=log,
        vms=vms,
    )


def _hear(hearers: list, message: PeerMessage) -> None:
    for hear in hearers:
        if hear(message):
            return


def _build_platform(
    settings: DaemonSettings,
    pools: PoolTable,
    timers: TimerService,
    metrics: Metrics,
    follower: Follower,
) -> tuple[LogClient, VmListClient]:
    def make_client(address: str, channel: str) -> PlatformClient:
        return PlatformClient(
            address=address,
            pools=pools,
            timers=timers,
            metrics=metrics,
            timeout=settings.platform_timeout,
            channel=channel,
        )

    def lose_log(reason: str) -> None:
        logger.warning("following: the log cannot be read", reason=reason)
        follower.ask_records()

    def lose_vms(reason: str) -> None:
        logger.warning("following: the list of VMs cannot be read", reason=reason)

    log = LogClient(
        client=make_client(settings.log, "log"),
        begin=follower.begin,
        take=follower.take_record,
        read=follower.take_position,
        lost=lose_log,
    )
    vms = VmListClient(
        client=make_client(settings.vms, "vms"), take=follower.take_vms, lost=lose_vms
    )
    return log, vms


def _schedule(parts: Parts) -> None:
    settings = parts.settings

    def keep_house() -> None:
        now = time.monotonic()
        parts.state.keys.forget_old(now)
        parts.pools.close_idle(older_than=now - settings.connection_idle)

    timers = parts.timers
    timers.subscribe(interval=TICK_SECONDS, call=parts.gateway.tick)
    timers.subscribe(interval=TICK_SECONDS, call=parts.peering.tick)
    timers.subscribe(interval=CONTROL_TICK_SECONDS, call=parts.follower.tick)
    timers.subscribe(interval=HOUSEKEEPING_SECONDS, call=keep_house)
    timers.subscribe(interval=settings.log_poll, call=parts.log.poll)
    timers.subscribe(interval=settings.vms_poll, call=parts.vms.poll)
    parts.timers.call_after(delay=0.0, call=parts.log.poll)
    parts.timers.call_after(delay=0.0, call=parts.vms.poll)
