"""A daemon's decisions on callers' credentials, without a network."""

from __future__ import annotations

import itertools
import json
import socket
import zlib
from dataclasses import dataclass, field

from dotterelgate_border.datagrams import (
    ConfigurationPart,
    ConfigurationRequest,
    decode_datagram,
    encode_datagram,
)
from dotterelgate_core import messages, slots
from dotterelgate_core.configuration import BackendServer
from dotterelgate_core.organisations.credentials import digest_credential
from dotterelgate_core.owners import find_owner
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_core.store_reading import StoreReadEnded
from dotterelgate_platform.configurations import make_configuration_decoder
from subjects.store_daemon import StoreDaemon, find

HOST = "orders.example"
REPLY_SECONDS = 5.0
DATAGRAM_BYTES = 65_536


def build_route(prefix, **more):
    """Build a route's document."""
    return {
        "name": prefix.strip("/"),
        "hostname": HOST,
        "path-prefix": prefix,
        "route-type": "safe",
        "timeout": 1.0,
        "service": "stock",
        **more,
    }


def build_document():
    """Build a configuration with a route of each type, an exempt one and two organisations."""
    return {
        "config-version": 7,
        "routes": [
            build_route("/orders/"),
            build_route("/packs/", **{"route-type": "download", "service": "packs"}),
            build_route("/open/", **{"auth-exempt": True}),
        ],
        "services": [{"name": "stock"}, {"name": "packs"}],
        "tenants": [
            {"name": "one", "api-keys": ["key-one"]},
            {"name": "two", "api-keys": ["key-two"], "priority": 1},
        ],
    }


CHANGES = {
    "nothing unusual": lambda document: None,
    "an unknown route type": lambda document: document["routes"][1].update(
        {"route-type": "stream"}
    ),
    "a route to an unknown service": lambda document: document["routes"][1].update(
        {"service": "gone"}
    ),
    "a service without a name": lambda document: document["services"][1].pop("name"),
    "a route that names no host": lambda document: document["routes"][1].pop("hostname"),
    "a negative quota": lambda document: document["tenants"][1].update({"rate-per-s": -1}),
    "a quota too large": lambda document: document["tenants"][1].update({"burst": 10**300}),
    "an organisation without keys": lambda document: document["tenants"][1].update(
        {"api-keys": []}
    ),
    "keys that are not a list": lambda document: document["tenants"][1].update({"api-keys": 5}),
    "a key of two organisations": lambda document: document["tenants"][1].update(
        {"api-keys": ["key-one"]}
    ),
    "organisations that are null": lambda document: document.update({"tenants": None}),
    "an organisation that is a text": lambda document: document.update({"tenants": ["key-two"]}),
    "a key that is a number": lambda document: document["tenants"][1].update(
        {"api-keys": ["key-two", 2]}
    ),
    "a key with an escaped letter": lambda document: None,
    "a rank out of range": lambda document: document["tenants"][1].update({"priority": -(10**9)}),
}


def encode_document(what):
    """Encode a document with a change of ``CHANGES``."""
    document = build_document()
    CHANGES[what](document)
    encoded = json.dumps(document).encode()
    return encoded.replace(b"key-two", rb"k\u0065y-two") if "escaped" in what else encoded


def ask_configuration(address):
    """Ask a daemon for its configuration as a peer does; returns the document that it sends."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as channel:
        channel.bind(("127.0.0.1", 0))
        channel.settimeout(REPLY_SECONDS)
        request = ConfigurationRequest(
            sender="peer", address="{}:{}".format(*channel.getsockname())
        )
        host, port = address.rsplit(":", 1)
        channel.sendto(encode_datagram(request), (host, int(port)))
        part = None
        while not isinstance(part, ConfigurationPart):
            part = decode_datagram(channel.recv(DATAGRAM_BYTES))
    assert part.parts == 1
    return zlib.decompress(part.body)


@dataclass
class IdentifiedCalls:
    """Calls at one daemon whose configuration was read from a document."""

    daemon: StoreDaemon = field(default_factory=StoreDaemon)
    last_id: int = 0

    def read_document(self, document):
        """Read a document from the store, with a backend server for each of its services.

        :returns: the orders for the request pipeline
        """
        configuration = make_configuration_decoder(0.2)(document)
        assert configuration.revision == json.loads(document)["config-version"], configuration
        self.problems = configuration.problems
        self.read_store()
        self.lines = self.daemon.run_control(
            ConfigurationStored(now=self.daemon.now, configuration=configuration, source="a test")
        )
        for number, service in enumerate(configuration.services):
            server = BackendServer(name=f"s-{number}", address="10.0.0.9:1", slots=3, connections=9)
            self.daemon.state.servers.add_or_update(service.name, server)
        kinds = (messages.CredentialsChanged, messages.SlotFreed)
        events = [message for message in self.lines if isinstance(message, kinds)]
        return [order for message in events for order in self.daemon.run(message)]

    def read_store(self):
        """Let the daemon read the store to its end, with nothing new."""
        self.daemon.reading.read_started_at = self.daemon.now
        self.daemon.run_control(StoreReadEnded(now=self.daemon.now))

    def send(self, path, credential):
        """Send a call and return what became of it."""
        digest = digest_credential(credential.encode()) if credential != "none" else b""
        self.last_id += 1
        call = messages.Call(id=self.last_id, method="GET", host=HOST, path=path, credential=digest)
        arrived = messages.CallArrived(now=self.daemon.now, wall=0.0, call=call)
        return describe(self.daemon.run(arrived))


def describe(orders):
    """Describe what became of a call."""
    for order in orders:
        if isinstance(order, messages.Dispatch):
            return f"routed for {order.organisation or 'none'}"
        if isinstance(order, slots.RequestSlot):
            return f"routed for {order.request.organisation}"
        if isinstance(order, messages.RefuseCall):
            return order.refusal.code.name
        if isinstance(order, messages.Relay):
            return "answered"
    return "waiting"


class RevokedCall(IdentifiedCalls):
    """A call with key-two, which a newer configuration removes."""

    def bring_into(self, state):
        """Let the call arrive so that it is in a state."""
        self.read_document(encode_document("nothing unusual"))
        self.owner = self.daemon.state.name
        names = (f"front-{number}" for number in itertools.count(2))
        while "owner" in state and self.owner == self.daemon.state.name:
            self.daemon.receive_heartbeat(next(names))
            self.daemon.now += 0.3
            self.owner = find_owner(self.daemon.state, "stock", self.daemon.now)
        taken = 3 if state == "waits here" else 0
        outcomes = [self.send("/orders/1", "key-one") for _ in range(taken)]
        outcomes.append(self.send("/orders/1", "key-two"))
        assert outcomes[-1] == ("waiting" if taken else "routed for two")
        self.call_id = self.last_id

    def revoke(self, event):
        """Put a configuration without key-two in force, and let an event follow."""
        document = build_document()
        document["config-version"] = 8
        document["tenants"][1]["api-keys"] = []
        self.orders = self.read_document(json.dumps(document).encode())
        if "grants" in event:
            withdrawn = find(self.daemon.tick(), slots.WithdrawSlot)
            assert (withdrawn.owner, withdrawn.call_id) == (self.owner, self.call_id)
            granted = slots.SlotGranted(
                now=self.daemon.now,
                owner=self.owner,
                call_id=self.call_id,
                grant=slots.SlotGrant(server="s-0"),
            )
            self.orders += self.daemon.run(granted)
            return
        if "older" in event:
            self.orders += self.read_document(encode_document("nothing unusual"))
        answered = self.call_id if "its backend server" in event else 1
        self.orders += self.daemon.answer(answered, "s-0", ran="rejects" not in event)

    def describe(self):
        """Describe what became of the call."""
        return describe(
            order for order in self.orders if getattr(order, "call_id", None) == self.call_id
        )
