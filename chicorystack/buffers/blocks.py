"""Queue of bytes that are held in blocks of limited size."""

from collections import deque

from chicorystack import defaults


class BlockQueue:
    """Bytes in the order in which they were added.

    Small parts share a block, so that a queue of many small events takes
    little more memory than their bytes. A block is freed once it is taken, so
    that memory follows the size of the queue.

    Attributes:
        size: Number of bytes.
    """

    def __init__(self):
        self._blocks: deque[bytearray] = deque()
        self.size = 0

    def add(self, data: bytes) -> None:
        """Appends bytes."""
        self.size += len(data)
        rest = memoryview(data)
        while rest:
            if not self._blocks or self._room() == 0:
                self._blocks.append(bytearray())
            room = self._room()
            self._blocks[-1] += rest[:room]
            rest = rest[room:]

    def take(self) -> bytes:
        """Removes and returns the first block."""
        block = bytes(self._blocks.popleft())
        self.size -= len(block)
        return block

    def clear(self) -> None:
        """Removes all bytes."""
        self._blocks.clear()
        self.size = 0

    def _room(self) -> int:
        return defaults.HELD_BLOCK_BYTES - len(self._blocks[-1])
