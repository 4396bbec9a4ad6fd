"""The library in which operators declare services, and their command."""

from __future__ import annotations

from dotterelgate_operator.declaring import (
    backend_server,
    declare,
    print_configuration,
    route,
    service,
)

__all__ = ["backend_server", "declare", "print_configuration", "route", "service"]
