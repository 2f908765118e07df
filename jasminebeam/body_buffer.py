"""Buffer that holds a large body once, without copies when it grows."""

from __future__ import annotations

import mmap
import typing
import weakref

# Room by which a buffer of unknown length grows.
STEP_BYTES = 1024 * 1024

Body = bytes | memoryview


class BodyBuffer:
    """Anonymous memory that a body of unknown or known length fills.

    The operating system extends a mapping without copying it and gets it
    back as a whole. A `bytearray` would be copied when it grows, and its heap
    would stay fragmented.

    Parameters
    ----------
    room_bytes : int
        Initial room.
    """

    def __init__(self, room_bytes: int) -> None:
        self.length_bytes = 0
        self._mapping: mmap.mmap | None = mmap.mmap(
            -1, room_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )

    @property
    def room_bytes(self) -> int:
        """Bytes that fit into the buffer."""
        return len(self._mapping)

    def grow(self, room_bytes: int) -> None:
        """Enlarge the buffer."""
        self._mapping.resize(room_bytes)

    def append(self, data: Body) -> None:
        """Add data, for which there must be room."""
        end = self.length_bytes + len(data)
        self._mapping[self.length_bytes : end] = data
        self.length_bytes = end

    def finish(self, on_freed: typing.Callable[[], None]) -> memoryview:
        """Return the body; the buffer no longer refers to it.

        Parameters
        ----------
        on_freed : callable
            Called once nothing refers to the body any more.
        """
        mapping, self._mapping = self._mapping, None
        freed = weakref.finalize(mapping, on_freed)
        freed.atexit = False
        return memoryview(mapping)[: self.length_bytes].toreadonly()

    def discard(self) -> None:
        """Free the memory of an incomplete body."""
        self._mapping.close()
