"""Models of the records that the project keeps on the platform's log."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from dotterelgate_border.checking import Model
from dotterelgate_border.declarations import ConfigurationModel

__all__ = [
    "Confirmation",
    "GrantModel",
    "Grants",
    "LeavingSign",
    "LogPage",
    "Publication",
    "Record",
    "VmList",
    "record_adapter",
]


class Publication(Model):
    """A configuration that an operator publishes.

    ``previous`` is the id of the configuration that it replaces; ``read_to``
    and ``oldest`` state what its writer had read of the log.
    """

    kind: Literal["publication"] = "publication"
    id: str
    previous: str | None
    revision: int = Field(ge=1)
    read_to: int = Field(ge=0)
    oldest: int = Field(ge=0)
    operator: str = ""
    configuration: ConfigurationModel


class Confirmation(Model):
    """A daemon's statement of the configuration in force at ``read_to``."""

    kind: Literal["confirmation"] = "confirmation"
    id: str
    revision: int = Field(ge=1)
    read_to: int = Field(ge=0)
    writer: str
    configuration: ConfigurationModel


class GrantModel(Model):
    """One grant of a lease."""

    id: str
    previous: str | None
    resource: str
    holder: str
    incarnation: str
    address: str
    length: float = Field(gt=0)
    transfer: str | None = None


class Grants(Model):
    """Grants that one daemon appends together."""

    kind: Literal["grants"] = "grants"
    read_to: int = Field(ge=0)
    oldest: int = Field(ge=0)
    grants: list[GrantModel]


class LeavingSign(Model):
    """A sign that a backend server is leaving or not, shared with all daemons."""

    kind: Literal["leaving"] = "leaving"
    server: str
    is_leaving: bool
    wall: float
    writer: str


Record = Annotated[Publication | Confirmation | Grants | LeavingSign, Field(discriminator="kind")]
record_adapter: TypeAdapter[Record] = TypeAdapter(Record)


class LogEntry(Model):
    """One entry as the log service returns it."""

    offset: int = Field(ge=0)
    record: dict


class LogPage(Model):
    """Answer to a read: entries, next offset and oldest retained offset."""

    entries: list[LogEntry]
    next: int = Field(ge=0)
    oldest: int = Field(ge=0)


class VmModel(Model):
    """One VM of the platform's list."""

    name: str
    role: Literal["entry", "server"]
    zone: str = ""
    address: str = Field("", description="peer address of an entry VM")
    state: Literal["live", "leaving", "gone"]


class VmList(Model):
    """The platform's list of VMs."""

    vms: list[VmModel]
