"""Bounds the memory of large values: of those buffered until they are complete, and of those forwarded."""

from __future__ import annotations

from typing import Final

MIN_WINDOW_BYTES: Final = 8192  # of a forwarded value, however many there are
# A value is in memory up to this many times its window: read and not yet taken, with the piece that reached
# the window, and in the write buffer of its client, with the piece on top of the high-water mark.
COPIES: Final = 5


class ForwardingWindow:
    """How much of each forwarded value is read ahead of its client, so that all stay within a bound."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        """Nothing is forwarded."""
        self._values = 0

    def open(self) -> None:
        """A value is forwarded from now on."""
        self._values += 1

    def close(self) -> None:
        """A value was taken completely, or is given up."""
        self._values -= 1

    def size_bytes(self, bound_bytes: int, max_bytes: int) -> int:
        """Returns the window of each value. bound_bytes: of all values together; max_bytes: of one value."""
        share_bytes = bound_bytes // (COPIES * max(1, self._values))
        return max(MIN_WINDOW_BYTES, min(max_bytes, share_bytes))


class Reservation:
    """Memory reserved for one value; shrinks while the value is written."""

    __slots__ = ("_memory", "size_bytes", "is_head")

    def __init__(self, memory: ValueMemory, size_bytes: int, *, is_head: bool) -> None:
        """Created by `ValueMemory.reserve`."""
        self._memory = memory
        self.size_bytes = size_bytes
        self.is_head = is_head

    def shrink(self, size_bytes: int) -> None:
        """Releases what exceeds `size_bytes`; a larger size than reserved changes nothing."""
        released_bytes = self.size_bytes - size_bytes
        if released_bytes > 0:
            self.size_bytes = size_bytes
            self._memory.release(released_bytes, is_head=self.is_head)


class ValueMemory:
    """The memory for buffered values of one process.

    A value whose answer is the next one of its connection may use all of it, other values together half. So
    values that wait for an earlier one of their connection can't keep that one from being buffered.
    """

    __slots__ = ("reserved_bytes", "_waiting_bytes")

    def __init__(self) -> None:
        """Nothing is reserved."""
        self.reserved_bytes = 0
        self._waiting_bytes = 0  # the part that was reserved for values that were not next

    def reserve(self, size_bytes: int, limit_bytes: int, *, is_head: bool) -> Reservation | None:
        """Reserves memory for a value, or returns None if there is not enough.

        limit_bytes: bounds the sum of all reservations; is_head: no earlier answer of its connection is
        pending.
        """
        fits = self.reserved_bytes + size_bytes <= limit_bytes
        if not is_head:
            fits = fits and self._waiting_bytes + size_bytes <= limit_bytes // 2
        if not fits:
            return None
        self.reserved_bytes += size_bytes
        if not is_head:
            self._waiting_bytes += size_bytes
        return Reservation(self, size_bytes, is_head=is_head)

    def release(self, size_bytes: int, *, is_head: bool) -> None:
        """Returns a part of a reservation; called by `Reservation.shrink`."""
        self.reserved_bytes -= size_bytes
        if not is_head:
            self._waiting_bytes -= size_bytes
