"""Library for declaring services, and the operators' command."""

from __future__ import annotations

from dotterelgate_operator.declaring import (
    backend_server,
    declare,
    print_configuration,
    route,
    service,
)

__all__ = ["backend_server", "declare", "print_configuration", "route", "service"]
