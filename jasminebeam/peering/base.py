"""Base class of the messages that nodes exchange with each other."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of the messages between nodes."""
