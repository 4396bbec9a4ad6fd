"""Connects the control pipeline with the log, the VM list and the peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import structlog
from pydantic import ValidationError

from dotterelgate_border.declarations import ConfigurationModel, build_configuration
from dotterelgate_border.handover import (
    ConfigurationOffer,
    LeavingNotice,
    Ping,
    RecordsAsked,
    RecordsTold,
)
from dotterelgate_border.records import (
    Confirmation,
    GrantModel,
    Grants,
    LeavingSign,
    LogPage,
    Publication,
    record_adapter,
)
from dotterelgate_core import control_messages as control
from dotterelgate_core.chain import Link
from dotterelgate_core.leases import Grant
from dotterelgate_core.messages import Decision, SlotFreed

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_border.records import Record, VmList
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState, LogPosition
    from dotterelgate_daemon.links import LinkService
    from dotterelgate_daemon.log_service import LogClient
    from dotterelgate_daemon.metrics import Metrics

__all__ = ["Follower", "build_grant_model"]

logger = structlog.get_logger("following")


class Follower:
    """Feeds the control pipeline and carries out its orders.

    :param decide: the control pipeline
    :param choose: chooses the peer to request records from
    :param on_slot_freed: called when a service may have room for waiting requests
    """

    def __init__(
        self,
        *,
        state: DaemonState,
        position: LogPosition,
        incarnation: str,
        decide: Filter,
        links: LinkService,
        metrics: Metrics,
        on_slot_freed: Callable[[SlotFreed], None],
        choose: Callable[[list[str]], str],
        on_decision: Callable[[Decision], None],
    ) -> None:
        self.log: LogClient | None = None
        self.documents: dict[str, ConfigurationModel] = {}
        self.send_offer: Callable[[control.SendOffer], None] = lambda order: None
        self.probe: Callable[[control.Probe], None] = lambda order: None
        self.send_keys: Callable[[control.SendKeys], None] = lambda order: None
        self._state = state
        self._position = position
        self._identity: dict[str, Any] = {"sender": state.name, "incarnation": incarnation}
        self._decide = decide
        self._choose = choose
        self._links = links
        self._metrics = metrics
        self._sinks: dict[type, Callable[[Message], None]] = {
            control.AppendClaims: self._append_claims,
            control.AppendConfirmation: self._append_confirmation,
            control.SendOffer: lambda order: self.send_offer(order),
            control.AnnounceLeaving: self.announce_leaving,
            control.Probe: lambda order: self.probe(order),
            control.SendKeys: lambda order: self.send_keys(order),
            control.ConfigurationChanged: self._change_configuration,
            SlotFreed: on_slot_freed,
            Decision: on_decision,
        }

    def run(self, message: Message) -> None:
        """Run a message through the pipeline and carry out the orders."""
        for order in self._decide(message):
            sink = self._sinks.get(type(order))
            if sink is not None:
                sink(order)

    def begin(self, start: int) -> None:
        """Note that reading the log begins at an offset."""
        self.run(control.LogReadStarted(now=time.monotonic(), start=start))
        self.request_configuration()

    def receive_record(self, offset: int, document: dict) -> None:
        """Handle one record of the log; records that match no model are skipped."""
        try:
            record = record_adapter.validate_python(document)
        except ValidationError:
            logger.debug("following: a record that matches no model is skipped", offset=offset)
            return
        for message in self._read_record(offset, record):
            self.run(message)

    def receive_position(self, read_to: int, oldest: int) -> None:
        """Note that every retained record below an offset was read."""
        self.run(control.LogRead(now=time.monotonic(), read_to=read_to, oldest=oldest))

    def receive_vms(self, vm_list: VmList) -> None:
        """Handle the platform's list of VMs."""
        vms = tuple(
            control.Vm(
                name=vm.name,
                is_entry=vm.role == "entry",
                zone=vm.zone,
                address=vm.address,
                state=vm.state,
            )
            for vm in vm_list.vms
        )
        self.run(control.VmsRead(now=time.monotonic(), vms=vms))
        for peer in self._state.peers.listed.values():
            if self._links.connect_peer(peer.name, peer.address):
                # The first message carries this daemon's incarnation to the peer.
                self._links.send(peer.name, Ping(**self._identity))
        for name in self._state.peers.removed:
            self._links.disconnect_peer(name)
        self.request_configuration()

    def request_configuration(self) -> None:
        """Request the configuration from peers while the log does not show it."""
        configuration = self._state.configuration
        if configuration.current is not None and configuration.chain.known:
            return
        request = ConfigurationOffer(**self._identity)
        for name in self._state.peers.listed:
            self._links.send(name, request)

    def request_records(self) -> None:
        """Request records from one peer, because the log cannot be read."""
        usable = [each for each in self._state.peers.select_usable() if each != self._state.name]
        if usable and self.log is not None:
            request = RecordsAsked(**self._identity, start=self.log.next)
            self._links.send(self._choose(usable), request)

    def receive(self, message: PeerMessage) -> bool:
        """Handle a peer's message if it is about control.

        :returns: whether it was one
        """
        if isinstance(message, ConfigurationOffer):
            self._receive_offer(message)
        elif isinstance(message, RecordsAsked):
            self._send_records(message)
        elif isinstance(message, RecordsTold):
            self._receive_records(message)
        elif isinstance(message, LeavingNotice):
            self._receive_leaving(message)
        else:
            return False
        return True

    def tick(self) -> None:
        """Run the pipeline's periodic checks, such as of leases and confirmations."""
        wall = time.time()
        self.run(control.ControlTicked(now=time.monotonic(), wall=wall))

    def announce_leaving(self, order: control.AnnounceLeaving) -> None:
        """Report to the peers and the log that a backend server is leaving, or no longer is."""
        received = control.LeavingReceived(
            now=time.monotonic(),
            server=order.server,
            source=self._state.name,
            is_leaving=order.is_leaving,
            wall=order.wall,
        )
        self.run(received)
        notice = LeavingNotice(
            **self._identity, server=order.server, is_leaving=order.is_leaving, wall=order.wall
        )
        for name in self._state.peers.listed:
            self._links.send(name, notice)
        sign = LeavingSign(
            server=order.server,
            is_leaving=order.is_leaving,
            wall=order.wall,
            writer=self._state.name,
        )
        self._append(sign.model_dump())

    def announce_stopping(self) -> None:
        """Notify the peers that this daemon accepts no new work."""
        notice = LeavingNotice(**self._identity)
        for name in self._state.peers.listed:
            self._links.send(name, notice)

    def _read_record(self, offset: int, record: Record) -> list[Message]:
        now = time.monotonic()
        if isinstance(record, Publication):
            self.documents[record.id] = record.configuration
            return [control.PublicationRead(now=now, link=_link_publication(offset, record))]
        if isinstance(record, Confirmation):
            self.documents[record.id] = record.configuration
            return [control.ConfirmationRead(now=now, link=_link_confirmation(offset, record))]
        if isinstance(record, Grants):
            return [
                control.GrantRead(now=now, link=_link_grant(offset, record, grant))
                for grant in record.grants
            ]
        received = control.LeavingReceived(
            now=now,
            server=record.server,
            source=record.writer,
            is_leaving=record.is_leaving,
            wall=record.wall,
        )
        return [received]

    def _send_records(self, message: RecordsAsked) -> None:
        assert self.log is not None
        page = self.log.build_page(message.start)
        if page is None or (message.start is not None and page.next <= message.start):
            return
        reply = RecordsTold(**self._identity, page=page.model_dump_json().encode("utf-8"))
        self._links.send(message.sender, reply)

    def _receive_records(self, message: RecordsTold) -> None:
        assert self.log is not None
        try:
            page = LogPage.model_validate_json(message.page)
        except ValidationError:
            logger.warning("following: a peer's records are not valid", peer=message.sender)
            return
        self.log.receive_from_peer(page)

    def _receive_offer(self, message: ConfigurationOffer) -> None:
        if message.id:
            model = ConfigurationModel.model_validate_json(message.document)
            self.documents[message.id] = model
            configuration = build_configuration(model, id=message.id, revision=message.revision)
            received = control.ConfigurationReceived(
                now=time.monotonic(), peer=message.sender, configuration=configuration
            )
            self.run(received)
            return
        current = self._state.configuration.current
        if current is None:
            return
        offer = ConfigurationOffer(
            **self._identity,
            id=current.id,
            revision=current.revision,
            document=self.documents[current.id].model_dump_json().encode("utf-8"),
        )
        self._links.send(message.sender, offer)

    def _receive_leaving(self, message: LeavingNotice) -> None:
        if message.server:
            received = control.LeavingReceived(
                now=time.monotonic(),
                server=message.server,
                source=message.sender,
                is_leaving=message.is_leaving,
                wall=message.wall,
            )
            self.run(received)
            return
        peer = self._state.peers.listed.get(message.sender)
        if peer is not None:
            peer.leaving = True

    def _append_claims(self, order: control.AppendClaims) -> None:
        grants = [
            build_grant_model(claim.id, claim.previous, claim.grant) for claim in order.claims
        ]
        record = Grants(read_to=order.read_to, oldest=order.oldest, grants=grants)
        self._append(record.model_dump())

    def _append_confirmation(self, order: control.AppendConfirmation) -> None:
        configuration = order.configuration
        record = Confirmation(
            id=configuration.id,
            revision=configuration.revision,
            read_to=order.read_to,
            writer=self._state.name,
            configuration=self.documents[configuration.id],
        )
        self._append(record.model_dump())

    def _append(self, record: dict) -> None:
        assert self.log is not None
        self.log.append(record, lambda _done: None)

    def _change_configuration(self, change: control.ConfigurationChanged) -> None:
        self._metrics.revision.set(change.configuration.revision)
        current_id = change.configuration.id
        self.documents = {current_id: self.documents[current_id]}


def build_grant_model(claim_id: str, previous: str | None, grant: Grant) -> GrantModel:
    """Build the record form of a grant."""
    return GrantModel(
        id=claim_id,
        previous=previous,
        resource=grant.resource,
        holder=grant.holder,
        incarnation=grant.incarnation,
        address=grant.address,
        length=grant.length,
        transfer=grant.transfer,
    )


def _link_publication(offset: int, record: Publication) -> Link:
    body = build_configuration(record.configuration, id=record.id, revision=record.revision)
    return Link(
        id=record.id,
        previous=record.previous,
        offset=offset,
        read_to=record.read_to,
        oldest=record.oldest,
        body=body,
    )


def _link_confirmation(offset: int, record: Confirmation) -> Link:
    body = build_configuration(record.configuration, id=record.id, revision=record.revision)
    return Link(
        id=record.id,
        previous=None,
        offset=offset,
        read_to=record.read_to,
        oldest=0,
        body=body,
    )


def _link_grant(offset: int, record: Grants, grant: GrantModel) -> Link:
    body = Grant(
        resource=grant.resource,
        holder=grant.holder,
        incarnation=grant.incarnation,
        address=grant.address,
        length=grant.length,
        transfer=grant.transfer,
    )
    return Link(
        id=grant.id,
        previous=grant.previous,
        offset=offset,
        read_to=record.read_to,
        oldest=record.oldest,
        body=body,
    )
