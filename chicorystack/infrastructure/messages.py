"""Messages of the platform's log service and VM list."""

from typing import Literal, NotRequired, TypedDict

VmState = Literal["live", "leaving"]
VmRole = Literal["router", "agent"]


class AppendRequest(TypedDict):
    """Appends one record to a stream.

    Attributes:
        stream: Name of the stream, made on first use.
        record: The record, which the service does not look into; JSON here.
    """

    stream: str
    record: str


class AppendReply(TypedDict):
    """Says at which offset the record stands."""

    offset: int


class LogEntry(TypedDict):
    """One record as the log service returns it.

    Attributes:
        offset: Position in the stream, rising by one.
        time: The service's clock at the append, in seconds since 1970.
        record: The record.
    """

    offset: int
    time: float
    record: str


class ReadPage(TypedDict):
    """Some records of a stream, in order.

    Attributes:
        first_offset: Oldest offset that the service still keeps.
        next_offset: Offset to read from next.
        end_offset: Offset that the next append will get.
        entries: The records.
    """

    first_offset: int
    next_offset: int
    end_offset: int
    entries: list[LogEntry]


class Vm(TypedDict):
    """One VM of the platform's list.

    Attributes:
        name: Unique name, never used again by another VM at the same time.
        role: Which program of the system runs there.
        site: Site of the VM.
        data_centre: Data centre of the VM.
        address: IP address.
        port: TCP port of the program for the fleet.
        caller_port: TCP port for callers, routers only.
        state: Whether the platform is about to take the VM away.
    """

    name: str
    role: VmRole
    site: str
    data_centre: str
    address: str
    port: int
    caller_port: NotRequired[int]
    state: VmState


class VmList(TypedDict):
    """The platform's list of VMs, some seconds late.

    Attributes:
        version: Rises with each change.
        vms: The VMs.
    """

    version: int
    vms: list[Vm]
