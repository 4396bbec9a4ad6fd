"""Construction of the daemon that reads a platform's keyed store."""

from __future__ import annotations

import random
import time
import uuid
from functools import partial
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core.control_messages import ConfigurationChanged, ControlTicked, Probe
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.evacuations.applying import ServersEvacuated
from dotterelgate_core.heartbeats import HEARTBEAT_SECONDS
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.messages import CredentialsChanged, Decision, SlotFreed
from dotterelgate_core.peers import PeerTable
from dotterelgate_core.registry import RegistryState, StoreRestored
from dotterelgate_core.retries import BudgetTable
from dotterelgate_core.sampling import SamplingState
from dotterelgate_core.splits import SplitTable
from dotterelgate_core.state import DaemonState, Limits
from dotterelgate_core.store_control import make_store_pipeline
from dotterelgate_core.store_reading import ReadingState, ReadStore
from dotterelgate_core.suspecting import ServerEnded, SuspectCleared
from dotterelgate_core.warm_up.shares import ShareState
from dotterelgate_daemon.common_parts import IDLE_TICK_SECONDS, build_common_parts
from dotterelgate_daemon.configuration_following import ConfigurationFollower
from dotterelgate_daemon.directory import DaemonDirectory
from dotterelgate_daemon.endpoint import Endpoint, serve_endpoint
from dotterelgate_daemon.explanation import describe_common, explain_route
from dotterelgate_daemon.keyed_reading import StoreAccess
from dotterelgate_daemon.mesh import Mesh
from dotterelgate_daemon.platform import PlatformClient
from dotterelgate_daemon.prober import Prober
from dotterelgate_daemon.quota_exchange import QuotaExchange
from dotterelgate_daemon.registry_following import RegistryFollower
from dotterelgate_daemon.running import Daemon
from dotterelgate_daemon.slot_exchange import SlotExchange
from dotterelgate_daemon.stopping import GracefulStop
from dotterelgate_daemon.store_reader import StoreReader
from dotterelgate_daemon.store_watches import watch_store_state
from dotterelgate_daemon.suspect_exchange import REMINDER_SECONDS, SuspectExchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_border.settings import StoreDaemonSettings
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_daemon.common_parts import CommonParts
    from dotterelgate_daemon.dialect import Dialect
    from dotterelgate_daemon.log_output import LineBuffer
    from dotterelgate_daemon.store import StoreCalls

__all__ = ["build_store_daemon"]

logger = structlog.get_logger("assembly")

CONTROL_TICK_SECONDS = 0.02
# Callers that connect at the start wait at most this long for the first read of the store,
# which takes some tens of milliseconds while the store answers.
FIRST_READ_SECONDS = 0.3
# Loads are sent to the other availability zones this often, because traffic between
# zones is costly.
RELAY_SECONDS = 0.06


def build_store_daemon(
    *,
    settings: StoreDaemonSettings,
    calls: StoreCalls,
    dialect: Dialect,
    lines: LineBuffer | None = None,
    reload: Callable[[], None] = lambda: None,
) -> Daemon:
    """Build a daemon; it listens already but has not read the store yet.

    :param calls: how calls of the store are encoded and decoded
    :param dialect: how the system's own headers are read and written
    :param reload: called on SIGHUP
    :raises OSError: when an address cannot be bound
    """
    incarnation = uuid.uuid4().hex[:12]
    state = _build_state(settings)
    reading = ReadingState()
    base = build_common_parts(
        settings=settings,
        state=state,
        dialect=dialect,
        decide=make_request_pipeline(state, random.Random(), keyed=False, reading=reading),
        lines=lines,
    )
    control = _connect_control(settings, calls, dialect, base, reading, incarnation)
    daemon = Daemon(timers=base.timers, lines=lines, reload=reload)
    daemon.begin_stop = GracefulStop(
        linger=settings.stop_linger,
        limit=settings.stop_limit,
        state=state,
        caller_server=base.caller_server,
        gateway=base.gateway,
        timers=base.timers,
        announce_stopping=control.mesh.send_heartbeats,
        finish=daemon.stop,
    ).begin
    base.poller.register(daemon)
    for address in {settings.endpoint, settings.metrics}:
        serve_endpoint(base.streams, address, _build_endpoint(base, incarnation))
    base.caller_server.bind(settings.callers)
    control.start()
    _serve_when_ready(base)
    logger.info("assembly: the daemon starts", daemon=settings.name, incarnation=incarnation)
    return daemon


def _serve_when_ready(base: CommonParts) -> None:
    """Accept callers once requests can be served; after a time limit, accept and refuse them."""
    deadline = time.monotonic() + FIRST_READ_SECONDS

    def check() -> None:
        if _is_ready(base.state) or time.monotonic() >= deadline:
            base.caller_server.start_serving()
        else:
            base.timers.call_after(delay=CONTROL_TICK_SECONDS, call=check)

    check()


def _build_state(settings: StoreDaemonSettings) -> DaemonState:
    return DaemonState(
        name=settings.name,
        zone=settings.zone,
        regions=settings.zones,
        limits=Limits(
            quota_window=settings.quota_window,
            hedging_share=settings.hedging_share,
            hedging_slots=settings.hedging_slots,
        ),
        peers=PeerTable(name=settings.name),
        # Requests carry no keys here and queues have no owners, so nothing is leased.
        leases=LeaseTable(holder=settings.name, incarnation="", address="", length=1.0),
        keys=KeyTable(retention=1.0, limit=0),
        retries=BudgetTable(burst=settings.retry_burst),
        splits=SplitTable(random=random.Random()),
        shares=ShareState(zones=frozenset(settings.zones)),
    )


def _build_endpoint(base: CommonParts, incarnation: str) -> Endpoint:
    return Endpoint(
        is_healthy=lambda: _is_ready(base.state),
        render_metrics=base.metrics.render,
        describe=lambda: describe_common(base.state, incarnation),
        explain=partial(explain_route, base.state),
        clear_suspect=lambda identity: base.gateway.run(
            SuspectCleared(now=time.monotonic(), identity=identity)
        ),
    )


def _is_ready(state: DaemonState) -> bool:
    return state.can_decide and not state.peers.leaving


class StoreControl:
    """Feeds the control pipeline and carries out its orders.

    :param decide: the control pipeline
    :param sampling: which backend servers this daemon samples
    :param on_request_order: carries out an order that concerns requests
    """

    def __init__(
        self,
        *,
        decide: Filter,
        base: CommonParts,
        prober: Prober,
        sampling: SamplingState,
        on_request_order: Callable[[Message], None],
    ) -> None:
        self.mesh: Mesh
        self.reader: StoreReader
        self.directory: DaemonDirectory
        self._decide = decide
        self._base = base
        self._sampling = sampling
        self._sinks: dict[type, Callable[[Message], None]] = {
            ReadStore: lambda order: self.reader.read(),
            StoreRestored: lambda order: self.directory.check_later(),
            Probe: prober.probe,
            ConfigurationChanged: self._change_configuration,
            SlotFreed: on_request_order,
            ServersEvacuated: on_request_order,
            ServerEnded: on_request_order,
            CredentialsChanged: on_request_order,
            Decision: lambda decision: base.write_decision(decision, ""),
        }

    def run(self, message: Message) -> None:
        """Run a message through the pipeline and carry out the orders."""
        for order in self._decide(message):
            sink = self._sinks.get(type(order))
            if sink is not None:
                sink(order)
        self.mesh.note_changes()
        self.mesh.announce_change()

    def start(self) -> None:
        """Start reading the store, ticking and sending heartbeats."""
        timers = self._base.timers
        timers.subscribe(
            interval=CONTROL_TICK_SECONDS,
            call=self._tick,
            idle_interval=IDLE_TICK_SECONDS,
            is_idle=lambda: not self._sampling.selected,
        )
        timers.subscribe(interval=HEARTBEAT_SECONDS, call=self.mesh.send_heartbeats)
        timers.subscribe(interval=RELAY_SECONDS, call=self.mesh.relay)
        timers.call_after(delay=0.0, call=self.directory.start)

    def _tick(self) -> None:
        wall = time.time()
        self.run(ControlTicked(now=time.monotonic(), wall=wall))

    def _change_configuration(self, change: ConfigurationChanged) -> None:
        self._base.metrics.revision.set(change.configuration.revision)
        self._base.metrics.configuration_problems.set(len(change.configuration.problems))


def _connect_control(
    settings: StoreDaemonSettings,
    calls: StoreCalls,
    dialect: Dialect,
    base: CommonParts,
    reading: ReadingState,
    incarnation: str,
) -> StoreControl:
    state = base.state
    registry = RegistryState()
    sampling = SamplingState()
    prober = Prober(
        dialect=dialect,
        pools=base.pools,
        timers=base.timers,
        metrics=base.metrics,
        emit=lambda message: control.run(message),
    )
    control = StoreControl(
        decide=make_store_pipeline(state, registry, reading, sampling),
        base=base,
        prober=prober,
        sampling=sampling,
        on_request_order=base.gateway.run,
    )
    client = PlatformClient(
        address=settings.store,
        pools=base.pools,
        timers=base.timers,
        metrics=base.metrics,
        timeout=settings.platform_timeout,
        answer_limit=settings.platform_answer_limit,
        channel="store",
    )
    watch_store_state(state, registry, reading, base.metrics)
    control.mesh = mesh = Mesh(
        address=settings.peers,
        incarnation=incarnation,
        state=state,
        poller=base.poller,
        timers=base.timers,
        metrics=base.metrics,
        emit=control.run,
    )
    access = StoreAccess(
        state=state, calls=calls, client=client, mesh=mesh, emit=control.run, era=registry.era
    )
    configuration = ConfigurationFollower(access=access)
    entries = RegistryFollower(
        access=access,
        registry=registry,
        reading=reading,
        send_configuration=configuration.send_to_those_behind,
    )
    control.reader = StoreReader(
        access=access, reading=reading, configuration=configuration, registry=entries
    )
    control.directory = DaemonDirectory(
        own=(settings.name, settings.peers),
        access=access,
        timers=base.timers,
        random=random.Random(),
    )
    exchange = SlotExchange(state=state, mesh=mesh, emit=base.gateway.run)
    base.gateway.add_sinks(exchange.sinks)
    suspects = SuspectExchange(
        state=state,
        mesh=mesh,
        timers=base.timers,
        emit=base.gateway.run,
        emit_control=control.run,
        random=random.Random(),
    )
    base.gateway.add_sinks(suspects.sinks)
    base.timers.subscribe(interval=REMINDER_SECONDS, call=suspects.remind)
    quotas = QuotaExchange(state=state, mesh=mesh, metrics=base.metrics, emit=base.gateway.run)
    base.gateway.add_sinks(quotas.sinks)

    def deliver_message(message: Datagram) -> None:
        exchange.receive(message)
        suspects.receive(message)
        quotas.receive(message)
        entries.receive(message)
        configuration.receive(message)

    mesh.on_message = deliver_message
    base.gateway.after_run = mesh.note_changes
    return control
