"""Construction of the daemon that reads the log service."""

from __future__ import annotations

import random
import time
import uuid
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core.control import CONFIGURATION_RESOURCE, make_control_pipeline
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.peers import PeerTable
from dotterelgate_core.probing import MEASURING_RESOURCES
from dotterelgate_core.state import DaemonState, Limits, LogPosition
from dotterelgate_daemon.common_parts import build_common_parts
from dotterelgate_daemon.dialect import DIALECT
from dotterelgate_daemon.endpoint import Endpoint, serve_endpoint
from dotterelgate_daemon.explanation import describe_daemon, explain_route
from dotterelgate_daemon.following import Follower
from dotterelgate_daemon.key_transfer import KeyTransfer
from dotterelgate_daemon.links import LinkService
from dotterelgate_daemon.log_service import LogClient, VmListClient
from dotterelgate_daemon.peering import Peering
from dotterelgate_daemon.platform import PlatformClient
from dotterelgate_daemon.prober import Prober
from dotterelgate_daemon.running import Daemon
from dotterelgate_daemon.stopping import GracefulStop

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_border.settings import DaemonSettings
    from dotterelgate_daemon.common_parts import CommonParts
    from dotterelgate_daemon.log_output import LineBuffer

__all__ = ["build_daemon"]

logger = structlog.get_logger("assembly")

CONTROL_TICK_SECONDS = 0.1
PEERING_TICK_SECONDS = 0.05
HOUSEKEEPING_SECONDS = 1.0
CONFIRM_INTERVAL_SECONDS = 60.0


@dataclass(kw_only=True)
class Parts:
    """The parts of a daemon under construction."""

    settings: DaemonSettings
    base: CommonParts
    position: LogPosition
    incarnation: str
    links: LinkService
    peering: Peering
    follower: Follower
    log: LogClient
    vms: VmListClient


def build_daemon(
    settings: DaemonSettings,
    lines: LineBuffer | None = None,
    reload: Callable[[], None] = lambda: None,
) -> Daemon:
    """Build a daemon; it listens already but has not read the log yet.

    :param lines: buffer of log lines
    :param reload: called on SIGHUP
    :raises OSError: when an address cannot be bound
    """
    parts = _build_parts(settings, lines)
    base = parts.base
    daemon = Daemon(timers=base.timers, lines=lines, reload=reload)
    daemon.begin_stop = GracefulStop(
        linger=settings.stop_linger,
        limit=settings.stop_limit,
        state=base.state,
        caller_server=base.caller_server,
        gateway=base.gateway,
        timers=base.timers,
        announce_stopping=parts.follower.announce_stopping,
        finish=daemon.stop,
        count_leases=lambda: _count_leases(base.state),
        retire=lambda: _retire(base.state),
    ).begin
    for component in (base.poller, parts.links):
        component.register(daemon)
    endpoint = Endpoint(
        is_healthy=lambda: _is_healthy(base.state),
        render_metrics=base.metrics.render,
        describe=lambda: describe_daemon(base.state, parts.position, parts.incarnation),
        explain=partial(explain_route, base.state, keyed=True),
    )
    serve_endpoint(base.streams, settings.endpoint, endpoint)
    _schedule(parts)
    return daemon


def _count_leases(state: DaemonState) -> int:
    if not state.peers.listed or state.leases.is_retired:
        return 0
    held = sum(lease.tenure is not None for lease in state.leases.leases.values())
    return held + (len(state.handovers.outgoing) if state.handovers is not None else 0)


def _retire(state: DaemonState) -> None:
    state.leases.is_retired = True


def _is_healthy(state: DaemonState) -> bool:
    return state.configuration.current is not None and not state.peers.leaving


def _build_state(settings: DaemonSettings, incarnation: str) -> DaemonState:
    return DaemonState(
        name=settings.name,
        zone=settings.zone,
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


def _build_parts(settings: DaemonSettings, lines: LineBuffer | None) -> Parts:
    incarnation = uuid.uuid4().hex[:12]
    state = _build_state(settings, incarnation)
    position = LogPosition(confirm_interval=CONFIRM_INTERVAL_SECONDS)
    base = build_common_parts(
        settings=settings,
        state=state,
        dialect=DIALECT,
        decide=make_request_pipeline(state, random.Random()),
        lines=lines,
    )
    gateway, metrics = base.gateway, base.metrics
    receivers: list = []
    links = LinkService(
        address=settings.peers,
        poller=base.poller,
        metrics=metrics,
        receive=lambda message: _deliver_message(receivers, message),
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
        on_slot_freed=gateway.run,
        choose=random.choice,
        on_decision=lambda decision: base.write_decision(decision, ""),
    )
    key_transfer = KeyTransfer(state=state, incarnation=incarnation, links=links, emit=follower.run)
    prober = Prober(
        dialect=DIALECT,
        pools=base.pools,
        timers=base.timers,
        metrics=metrics,
        emit=follower.run,
    )
    follower.probe = prober.probe
    gateway.announce_leaving = follower.announce_leaving
    follower.send_offer = key_transfer.send_offer
    follower.send_keys = key_transfer.send_keys
    receivers.extend((peering.receive, follower.receive, key_transfer.receive))
    log, vms = _build_platform(settings, base, follower)
    follower.log = log
    base.caller_server.open(settings.callers)
    return Parts(
        settings=settings,
        base=base,
        position=position,
        incarnation=incarnation,
        links=links,
        peering=peering,
        follower=follower,
        log=log,
        vms=vms,
    )


def _deliver_message(receivers: list, message: PeerMessage) -> None:
    for receive in receivers:
        if receive(message):
            return


def _build_platform(
    settings: DaemonSettings,
    base: CommonParts,
    follower: Follower,
) -> tuple[LogClient, VmListClient]:
    def build_client(address: str, channel: str) -> PlatformClient:
        return PlatformClient(
            address=address,
            pools=base.pools,
            timers=base.timers,
            metrics=base.metrics,
            timeout=settings.platform_timeout,
            answer_limit=settings.platform_answer_limit,
            channel=channel,
        )

    def note_log_failure(reason: str) -> None:
        logger.warning("following: the log cannot be read", reason=reason)
        follower.request_records()

    def note_vms_failure(reason: str) -> None:
        logger.warning("following: the list of VMs cannot be read", reason=reason)

    log = LogClient(
        client=build_client(settings.log, "log"),
        on_begin=follower.begin,
        on_record=follower.receive_record,
        on_read=follower.receive_position,
        on_failure=note_log_failure,
    )
    vms = VmListClient(
        client=build_client(settings.vms, "vms"),
        on_list=follower.receive_vms,
        on_failure=note_vms_failure,
    )
    return log, vms


def _schedule(parts: Parts) -> None:
    settings = parts.settings
    state = parts.base.state
    timers = parts.base.timers
    timers.subscribe(interval=PEERING_TICK_SECONDS, call=parts.peering.tick)
    timers.subscribe(interval=CONTROL_TICK_SECONDS, call=parts.follower.tick)
    timers.subscribe(
        interval=HOUSEKEEPING_SECONDS, call=lambda: state.keys.forget_old(time.monotonic())
    )
    timers.subscribe(interval=settings.log_poll, call=parts.log.poll)
    timers.subscribe(interval=settings.vms_poll, call=parts.vms.poll)
    timers.call_after(delay=0.0, call=parts.log.poll)
    timers.call_after(delay=0.0, call=parts.vms.poll)
