"""A daemon's decisions on callers' credentials, without a network."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from dotterelgate_core import messages
from dotterelgate_core.configuration import BackendServer
from dotterelgate_core.organisations.credentials import digest_credential
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_platform.configurations import make_configuration_decoder
from subjects.store_daemon import StoreDaemon

HOST = "orders.example"


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
            {"name": "one", "api-keys": ["key-one"], "rate-per-s": 5, "burst": 5},
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
    "a rank out of range": lambda document: document["tenants"][1].update({"priority": -(10**9)}),
}


@dataclass
class IdentifiedCalls:
    """Calls at one daemon whose configuration was read from a document."""

    daemon: StoreDaemon = field(default_factory=StoreDaemon)

    def read_document(self, document):
        """Put a document's configuration in force, with a backend server for each service."""
        configuration = make_configuration_decoder(0.2)(json.dumps(document).encode())
        assert configuration.revision == 7, configuration
        self.problems = configuration.problems
        state = self.daemon.state
        self.lines = self.daemon.run_control(
            ConfigurationStored(now=self.daemon.now, configuration=configuration, source="a test")
        )
        for number, service in enumerate(configuration.services):
            server = BackendServer(name=f"s-{number}", address="10.0.0.9:1", slots=3, connections=9)
            state.servers.add_or_update(service.name, server)

    def send(self, path, credential):
        """Send a call and return what became of it."""
        digest = digest_credential(credential.encode()) if credential != "none" else b""
        call = messages.Call(id=1, method="GET", host=HOST, path=path, credential=digest)
        orders = self.daemon.run(messages.CallArrived(now=self.daemon.now, wall=0.0, call=call))
        for order in orders:
            if isinstance(order, messages.Dispatch):
                return f"routed for {order.organisation or 'none'}"
            if isinstance(order, messages.RefuseCall):
                return order.refusal.code.name
        raise AssertionError(orders)
