"""A caller's connection, and the bytes that are held for it.

Four kinds of bytes are counted: bodies of requests until their calls end,
requests that arrive while another one is served, bodies of answers that are
collected before they are sent, and what the caller has not read yet.

For the last kind, a transport of twisted has no public count of the bytes that
it has not sent. It calls `pauseProducing` of its protocol when a write leaves
more than its `bufferSize`, and `resumeProducing` once it has sent all of them.
The connection lowers `bufferSize`, writes nothing between the two calls and
keeps the rest in a queue of its own, whose size is known exactly. While the
transport is paused it holds at most `bufferSize` and one block; the connection
counts this bound. A caller that reads at once causes none of these calls.
"""

from typing import Protocol

from chicorystack import defaults
from chicorystack.buffers.budget import BufferBudget
from chicorystack.gateway.own_errors import record_error
from chicorystack.gateway.unanswered import CloseReason
from chicorystack.observe.events import emit
from chicorystack.observe.exposition import callers_disconnected_total
from chicorystack.web.channel import BoundedChannel, TrackedChannel

PAUSED_TRANSPORT_BYTES = (
    defaults.CALLER_TRANSPORT_BYTES + defaults.HELD_BLOCK_BYTES
)


class HoldingRequest(Protocol):
    """A request of a connection that may hold a part of its response."""

    def continue_sending(self) -> None:
        """Writes held bytes until the transport pauses again."""

    def record_close(self, reason: CloseReason) -> None:
        """Records that the connection has closed before the response's end."""

    def refuse_unread(self) -> None:
        """Refuses a request unless it has been read and is being served."""

    def discard(self) -> None:
        """Discards the held bytes as the caller is disconnected."""


class KeepingSite(Protocol):
    """A site that keeps no connections when its router stops.

    Attributes:
        keeps_connections: Whether connections are kept for further requests.
        open_channels: Connections that are open.
    """

    keeps_connections: bool
    open_channels: set[BoundedChannel]


class CallerChannel(TrackedChannel):
    """A caller's connection.

    Attributes:
        write_paused: Whether the transport has unsent bytes and must get no
            more for now.
        close_reason: Why the connection closes if a request is unanswered.
    """

    requests: list[HoldingRequest]

    def __init__(self, site: KeepingSite, budget: BufferBudget):
        super().__init__(site)
        self._site = site
        self._budget = budget
        self._disconnected = False
        self._early_bytes = 0
        # Request whose response is in the transport and partly unsent.
        self._unsent: HoldingRequest | None = None
        self.write_paused = False
        self.close_reason = CloseReason.CALLER_LEFT

    def connectionMade(self) -> None:
        """Lowers the limit above which the transport pauses."""
        super().connectionMade()
        self.transport.bufferSize = defaults.CALLER_TRANSPORT_BYTES

    def dataReceived(self, data: bytes) -> None:
        """Receives bytes; a request that an exception ends is refused.

        The exception would close the connection. If an earlier request is
        being served, only what follows it is not read.
        """
        try:
            super().dataReceived(data)
        except Exception as error:
            record_error("", error)
            self.persistent = False
            if self.requests:
                self.requests[0].refuse_unread()

    def rawDataReceived(self, data: bytes) -> None:
        """Counts bytes of further requests while one is served."""
        if self._handlingRequest:
            self._early_bytes += len(data)
            self.hold(len(data))
        super().rawDataReceived(data)

    def requestDone(self, request: HoldingRequest) -> None:
        """Goes on with the next request, or closes while the router stops.

        A further request that has been read is served or refused.
        """
        if not self._site.keeps_connections and not self.has_read_further:
            # With the response's last bytes the caller learns that it must go
            # elsewhere. It was not told before if the response began earlier.
            self.persistent = False
        self.release(self._early_bytes)
        self._early_bytes = 0
        if self.write_paused:
            self._unsent = request
        super().requestDone(request)

    def pauseProducing(self) -> None:
        """Called by the transport when the caller reads too slowly."""
        super().pauseProducing()
        if not self.write_paused:
            self.write_paused = True
            self.hold(PAUSED_TRANSPORT_BYTES)

    def resumeProducing(self) -> None:
        """Called by the transport once it has sent all bytes."""
        super().resumeProducing()
        if not self.write_paused:
            return
        self.write_paused = False
        self._unsent = None
        self.release(PAUSED_TRANSPORT_BYTES)
        if self.requests:
            self.requests[0].continue_sending()

    def connectionLost(self, reason) -> None:
        """Counts that nothing is held for the caller any longer."""
        self._disconnected = True
        self._budget.release_all(self)
        if self._unsent is not None:
            self._unsent.record_close(self.close_reason)
        super().connectionLost(reason)

    def _disconnect_stalled_client(self) -> None:
        self.close_reason = CloseReason.STALLED_CALLER
        super()._disconnect_stalled_client()

    def hold(self, size: int) -> None:
        """Counts held bytes; disconnects callers if they are too many.

        This connection's caller may be among them.
        """
        if self._disconnected:
            return
        self._budget.hold(self, size)
        while (victim := self._budget.victim()) is not None:
            victim.disconnect()

    def release(self, size: int) -> None:
        """Counts that bytes are no longer held."""
        self._budget.release(self, size)

    def disconnect(self) -> None:
        """Resets the connection and discards what is held for the caller."""
        emit(
            "buffers",
            "caller_disconnected",
            caller=self.transport.getPeer().host,
            held=self._budget.held_by(self),
            held_in_all=self._budget.held_bytes,
            limit=self._budget.limit_bytes,
        )
        callers_disconnected_total.inc()
        self.close_reason = CloseReason.HELD_BYTES
        self._disconnected = True
        self._budget.release_all(self)
        for request in self.requests:
            request.discard()
        self.transport.abortConnection()

    @property
    def has_read_further(self) -> bool:
        """Whether bytes of a further request have been read."""
        return bool(self._early_bytes)

    @property
    def exceeds_budget(self) -> bool:
        """Whether more is held for the caller than its budget."""
        return self._budget.exceeds(self)

    @property
    def has_room(self) -> bool:
        """Whether its budget has room for more of a response."""
        return self._budget.has_room(self)
