"""Messages of the platform's log service and VM list."""

from typing import Literal, NotRequired, TypedDict

VmState = Literal["live", "leaving"]
VmRole = Literal["router", "agent"]


class AppendRequest(TypedDict):
    """Request to append one record to a stream.

    Attributes:
        stream: Name of the stream, which is created on first use.
        record: The record, opaque to the service; JSON here.
    """

    stream: str
    record: str


class AppendReply(TypedDict):
    """Reply to AppendRequest.

    Attributes:
        offset: Offset of the record.
    """

    offset: int


class LogEntry(TypedDict):
    """One record as the log service returns it.

    Attributes:
        offset: Position in the stream; increases by one per record.
        time: Time of the append on the service's clock, in seconds since 1970.
        record: The record.
    """

    offset: int
    time: float
    record: str


class ReadPage(TypedDict):
    """Consecutive records of a stream.

    Attributes:
        first_offset: Oldest offset that the service retains.
        next_offset: Offset to read from next.
        end_offset: Offset that the next append will get.
        entries: The records, in order.
    """

    first_offset: int
    next_offset: int
    end_offset: int
    entries: list[LogEntry]


class Vm(TypedDict):
    """One VM of the platform's list.

    Attributes:
        name: Name, unique among the VMs that exist at the same time.
        role: Program of the system that runs on it.
        site: Site of the VM.
        data_centre: Data centre of the VM.
        address: IP address.
        port: TCP port for other programs of the fleet.
        caller_port: TCP port for callers; routers only.
        state: Whether the platform is about to remove the VM.
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
    """The platform's list of VMs, which lags by some seconds.

    Attributes:
        version: Increases with each change.
        vms: The VMs.
    """

    version: int
    vms: list[Vm]
