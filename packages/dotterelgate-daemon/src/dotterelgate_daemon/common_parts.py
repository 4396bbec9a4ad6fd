"""The parts that every daemon has, whatever the source of its configuration."""

from __future__ import annotations

import random
import resource
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from dotterelgate_core.pipelining import find_traits
from dotterelgate_core.unsent import FailUnsent
from dotterelgate_daemon.callers import CallerServer
from dotterelgate_daemon.gateway import Gateway
from dotterelgate_daemon.intake.closing import compute_connection_limit, compute_least_rate
from dotterelgate_daemon.intake.holdings import compute_account_limit
from dotterelgate_daemon.intake.supervision import IntakeLimits
from dotterelgate_daemon.log_output import make_decision_writer
from dotterelgate_daemon.metrics import Metrics
from dotterelgate_daemon.polling import DirectPoller
from dotterelgate_daemon.pools import PoolTable
from dotterelgate_daemon.streams import StreamService
from dotterelgate_daemon.timers import PauseDetector, TimerService
from dotterelgate_daemon.unsent_attempts import fail_unsent

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.settings import CommonSettings
    from dotterelgate_core.configuration import CallerLimits
    from dotterelgate_core.messages import Decision
    from dotterelgate_core.pipes import Filter
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.dialect import Dialect
    from dotterelgate_daemon.log_output import LineBuffer

__all__ = ["IDLE_TICK_SECONDS", "CommonParts", "build_common_parts"]

CALL_ID_BITS = 40
TICK_SECONDS = 0.02
# Wake-ups of an idle daemon cost as much as those of a busy one. All intervals of an idle
# daemon are multiples of this one, so that they share wake-ups.
IDLE_TICK_SECONDS = 0.06
PAUSE_CHECK_SECONDS = 0.12
HOUSEKEEPING_SECONDS = 1.2
LOG_WRITE_SECONDS = 0.12
STORED_BODY_BYTES = 16_384


@dataclass(kw_only=True)
class CommonParts:
    """Callers, backend servers, timers, metrics and log of one daemon."""

    state: DaemonState
    poller: DirectPoller
    timers: TimerService
    streams: StreamService
    pools: PoolTable
    metrics: Metrics
    gateway: Gateway
    caller_server: CallerServer
    write_decision: Callable[[Decision, str], None]


def build_common_parts(
    *,
    settings: CommonSettings,
    state: DaemonState,
    dialect: Dialect,
    decide: Filter,
    lines: LineBuffer | None,
) -> CommonParts:
    """Build the parts; nothing listens yet.

    :param decide: the request pipeline
    :param lines: buffer of log lines
    """
    write_decision = make_decision_writer(settings.name)
    timers = TimerService()
    poller = DirectPoller(timers=timers)
    pause_detector = PauseDetector()
    metrics = Metrics()
    streams = StreamService(poller=poller)
    pools = PoolTable(streams=streams)
    gateway = Gateway(
        name=settings.name,
        decide=decide,
        dialect=dialect,
        pools=pools,
        metrics=metrics,
        buffer_limit=settings.kept_body_limit,
        stored_body_limit=STORED_BODY_BYTES,
        first_call_id=random.SystemRandom().getrandbits(CALL_ID_BITS) << 16,
        count_daemons=lambda: 1 + len(state.peers.listed),
        on_decision=write_decision,
        call_after=timers.call_after,
    )
    gateway.add_sinks({FailUnsent: partial(fail_unsent, gateway)})
    metrics.in_flight.set_function(lambda: len(gateway.pending))
    limits = _build_intake_limits(settings)
    caller_server = CallerServer(
        streams=streams,
        gateway=gateway,
        head_limit=settings.head_limit,
        body_limit=settings.kept_body_limit,
        pause_detector=pause_detector,
        call_after=timers.call_after,
        find_traits=lambda call: find_traits(state.configuration, call),
        limits=limits,
        find_caller_limits=lambda: _find_caller_limits(state),
        metrics=metrics,
    )
    _supervise_callers(caller_server, state, timers, pause_detector, metrics)
    timers.subscribe(interval=PAUSE_CHECK_SECONDS, call=pause_detector.check)
    gateway.hasten_ticks = timers.subscribe(
        interval=TICK_SECONDS,
        call=gateway.tick,
        idle_interval=IDLE_TICK_SECONDS,
        is_idle=lambda: not state.calls.has_queued(),
    )
    if lines is not None:
        lines.count_dropped = metrics.log_lines_dropped.inc
        timers.subscribe(interval=LOG_WRITE_SECONDS, call=lines.write_out)

    def close_idle_connections() -> None:
        now = time.monotonic()
        pools.close_idle(older_than=now - settings.connection_idle)
        caller_limits = _find_caller_limits(state)
        if caller_limits is not None:
            caller_server.close_idle(older_than=now - caller_limits.idle_seconds)

    timers.subscribe(interval=HOUSEKEEPING_SECONDS, call=close_idle_connections)
    return CommonParts(
        state=state,
        poller=poller,
        timers=timers,
        streams=streams,
        pools=pools,
        metrics=metrics,
        gateway=gateway,
        caller_server=caller_server,
        write_decision=write_decision,
    )


def _find_caller_limits(state: DaemonState) -> CallerLimits | None:
    current = state.configuration.current
    return current.limits if current is not None else None


def _build_intake_limits(settings: CommonSettings) -> IntakeLimits:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = settings.descriptor_limit
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    connections = compute_connection_limit(
        descriptors=descriptors, connections=settings.caller_connections
    )
    return IntakeLimits(
        memory=compute_account_limit(settings.memory_limit),
        connections=connections,
        least_rate=compute_least_rate(
            link_rate=settings.caller_link_rate, connections=settings.caller_connections
        ),
        head_lines=settings.head_line_limit,
        empty_lines=settings.empty_line_limit,
        unfinished=settings.unfinished_body_limit,
    )


def _supervise_callers(
    caller_server: CallerServer,
    state: DaemonState,
    timers: TimerService,
    pause_detector: PauseDetector,
    metrics: Metrics,
) -> None:
    intake = caller_server.intake

    def check_pace() -> None:
        caller_limits = _find_caller_limits(state)
        head_seconds = caller_limits.head_seconds if caller_limits is not None else None
        intake.check_pace(head_seconds=head_seconds)
        intake.report()

    def unless_paused(check: Callable[[], None]) -> Callable[[], None]:
        # What arrived while this process did not run has not been read yet.
        return lambda: intake.restart() if pause_detector.measure() else check()

    timers.subscribe(interval=PAUSE_CHECK_SECONDS, call=unless_paused(intake.check_memory))
    timers.subscribe(interval=HOUSEKEEPING_SECONDS, call=unless_paused(check_pace))
    metrics.caller_memory.labels(kind="held").set_function(lambda: intake.account.used)
    metrics.caller_memory.labels(kind="limit").set(intake.account.limit)
    metrics.caller_connections.labels(kind="open").set_function(lambda: len(intake.clients))
    metrics.caller_connections.labels(kind="limit").set(intake.limits.connections)
